//! A model in virtual time of gateways with the real decision module and of the real holder of the counters: how a
//! customer's quota is kept while calls go unanswered, holders change, and gateways are paused, killed and restarted.

use lupinledge::control::Control;
use lupinledge::interface::*;
use lupinledge::state::Basis;
use lupinledge::time::{Span, Timestamp};
use lupinledge_counters::handover::HandoverPart;
use lupinledge_counters::holder::{CounterHolder, GatewayStatus, HandoverStatus};
use lupinledge_counters::local_sums::LocalSums;
use lupinledge_counters::store::Quota;
use lupinledge_counters::{Node, Total};
use std::collections::BTreeMap;

const CUSTOMER: u64 = 7;
pub const RATE: f64 = 20.0;
pub const BURST: f64 = 10.0;
/// The burst that a gateway decides by, as the data plane's terms set it.
const STORE: f64 = 13.0;
const WINDOW: usize = 5_000;
/// The most requests in a window by the rule: 1.1 times what rate and burst give, and 20.
pub const ALLOWED: usize = ((RATE * WINDOW as f64 / 1e3 + BURST) * 1.1 + 20.0) as usize;
/// Milliseconds until an answer, and until a call ends without one.
const TRIP: u64 = 3;
const CALL_WAIT: u64 = 350;
/// The length of a run, milliseconds.
pub const SPAN: u64 = 20_000;
/// When a run begins, on the shared clock.
pub const BEGIN: u64 = 40_000;

/// The state of a gateway's link to the holder of the counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Sound,
    /// Calls are received, and their answers come too late.
    Late,
    /// Nothing is received in either direction.
    Cut,
}

/// The load and faults of a run.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// Longest time for which a gateway's calls are answered, and for which they are not, milliseconds.
    pub answered: u64,
    pub unanswered: u64,
    /// Another holder takes over after about this time, milliseconds; 0: never.
    pub holders: u64,
    /// A gateway is paused about once in this time, milliseconds; 0: never.
    pub pauses: u64,
    /// Requests a second at each gateway.
    pub load: Vec<u32>,
    /// Pools of each gateway that the customer's requests come through.
    pub pools: usize,
    /// Requests come for the first of these times and none for the second, alternating, milliseconds.
    pub bursts: (u64, u64),
    pub kills: Vec<Kill>,
    /// Times without a holder of the counters, from the beginning of the run: from, until, milliseconds.
    pub no_holder: Vec<(u64, u64)>,
}

/// Gateways that are killed at once and restart, each at its own time.
#[derive(Clone, Copy, Debug)]
pub struct Kill {
    /// Milliseconds from the beginning of the run.
    pub at: u64,
    /// How many, chosen at random.
    pub gateways: usize,
    /// The longest time until the restart, milliseconds.
    pub downtime: u64,
}

/// One pool of a gateway: it decides by itself; its counts are sent with those of the other pools of the process.
struct Pool {
    control: Control,
    due: BTreeMap<u64, Vec<Event>>,
}

/// A call of a pool: name and sum.
type Call = (usize, u64, f64);

/// A gateway process.
struct Gateway {
    node: Node,
    incarnation: u32,
    /// It is down until then.
    down_until: u64,
    pools: Vec<Pool>,
    /// Its link, and until when it stays so.
    link: (Link, u64),
    /// It is paused until then.
    paused_until: u64,
    sums: LocalSums,
    /// The tag of its last call.
    tag: u64,
    /// Calls that wait until the totals of a new holder are complete, by tag, with their time-outs.
    waiting: BTreeMap<u64, (Call, u64)>,
}

impl Gateway {
    /// Schedules an event of a pool.
    fn schedule(&mut self, pool: usize, at: u64, event: Event) {
        self.pools[pool].due.entry(at).or_default().push(event);
    }

    /// Ends the calls that have timed out, without a total.
    fn end_calls(&mut self, now: u64) {
        let ended: Vec<u64> =
            self.waiting.iter().filter(|(_, call)| call.1 <= now).map(|(tag, _)| *tag).collect();
        for tag in ended {
            let Some(((pool, name, _), _)) = self.waiting.remove(&tag) else { continue };
            self.schedule(
                pool,
                now,
                Event::Counted { name, total: 0.0, level: None, outcome: Outcome::TimedOut },
            );
        }
    }

    /// Whether it exchanges messages with the holder.
    fn reachable(&self, now: u64) -> bool {
        self.link.0 != Link::Cut && now >= self.paused_until && now >= self.down_until
    }

    /// Restarts at `at` with an empty state.
    fn restart(&mut self, seed: u64, gateways: usize, at: u64) {
        self.pools = pools(seed, gateways, self.pools.len(), at);
        (self.sums, self.tag, self.paused_until, self.down_until) = (LocalSums::default(), 0, 0, at);
        self.incarnation += 1;
        self.waiting.clear();
    }

    /// Ends all waiting calls.
    fn end_all(&mut self, now: u64) {
        self.waiting.values_mut().for_each(|call| call.1 = now);
        self.end_calls(now);
    }

    /// Applies a total and schedules its event.
    fn apply_total(&mut self, at: u64, (pool, name, sum): Call, total: Total) {
        self.sums.record_total(at as f64 / 1e3, name, sum, total);
        let Total { counted, level } = total;
        self.schedule(pool, at, Event::Counted { name, total: counted, level, outcome: Outcome::Passed });
    }
}

/// The holder of the counters, as the control plane drives it.
struct Holder {
    counter_holder: CounterHolder,
    epoch: u64,
    next_poll: u64,
    takeover: u64,
    /// There is no holder until then.
    absent_until: u64,
}

impl Holder {
    /// Takes a call, and answers it in time if the link and the state of the totals allow it.
    fn call(&mut self, now: u64, gateway: &mut Gateway, pool: usize, (name, amount, life): (u64, f64, f64)) {
        let secs = now as f64 / 1e3;
        let Some(sum) = gateway.sums.add(secs, name, amount, life) else { return };
        gateway.tag += 1;
        let link = if now < self.absent_until { Link::Cut } else { gateway.link.0 };
        let (from, tag) = ((gateway.node, gateway.incarnation), gateway.tag);
        let late = Event::Counted { name, total: 0.0, level: None, outcome: Outcome::TimedOut };
        if link == Link::Cut {
            return gateway.schedule(pool, now + CALL_WAIT, late);
        }
        match self.counter_holder.apply_call(secs, from, tag, [(name, sum, life)].into_iter()) {
            Some(totals) if link == Link::Sound => {
                gateway.apply_total(now + TRIP, (pool, name, sum), totals[0])
            }
            Some(_) => gateway.schedule(pool, now + CALL_WAIT, late),
            None => {
                // it ends with its time-out or when the totals are complete, whichever is first
                gateway.waiting.insert(tag, ((pool, name, sum), now + CALL_WAIT));
            }
        }
    }

    /// Polls the real holder, and sends it what the reachable gateways hand over.
    fn poll(&mut self, now: u64, gateways: &mut [Gateway]) {
        let secs = now as f64 / 1e3;
        for gateway in gateways.iter().filter(|g| g.reachable(now)) {
            self.counter_holder.counters().unwrap().record_contact(secs, gateway.node);
        }
        let statuses: Vec<GatewayStatus> = gateways
            .iter()
            .map(|g| GatewayStatus { node: g.node, alive: g.reachable(now), leaving: false, gone: false })
            .collect();
        let send_part = |counter_holder: &mut CounterHolder, epoch: u64, nodes: Vec<Node>| {
            for gateway in gateways.iter().filter(|g| nodes.contains(&g.node) && g.reachable(now)) {
                counter_holder.receive_handover(
                    secs,
                    epoch,
                    (gateway.node, gateway.incarnation),
                    &HandoverPart::single(gateway.sums.handover(secs)),
                );
            }
        };
        self.next_poll = now + 250;
        match self.counter_holder.poll(secs, &statuses) {
            HandoverStatus::Serving(nodes) => send_part(&mut self.counter_holder, self.epoch, nodes),
            HandoverStatus::Collecting(nodes) => {
                self.next_poll = now + 50;
                send_part(&mut self.counter_holder, self.epoch, nodes);
            }
            HandoverStatus::Completed(answers, _) => {
                for answer in answers {
                    let Some(gateway) = gateways.iter_mut().find(|g| g.node == answer.from.0) else {
                        continue;
                    };
                    if gateway.link.0 == Link::Sound {
                        let Some((call, _)) = gateway.waiting.remove(&answer.tag) else { continue };
                        gateway.apply_total(now + TRIP, call, answer.totals[0]);
                    }
                }
            }
        }
    }
}

fn terms(seed: u64, gateways: usize) -> Terms {
    let frontend = Frontend {
        effect: Effect::Replayable,
        dedup_scope: DedupScope::All,
        dedup_memory: Span::ZERO,
        target: Span::millis(1_000),
        late_value: 0.3,
        value: 1.0,
        timeout: Span::millis(2_000),
        max_dispatches: 2,
    };
    let plan = Plan {
        rate: RATE,
        burst: STORE,
        price: 1.0,
        at_once: 50,
        overrun_value: 0.0,
        overrun_cost: 9.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
    };
    Terms {
        seed,
        gateways,
        zones: 1,
        frontends: vec![frontend],
        plans: vec![plan],
        counter: true,
        count_wait: Span::millis(CALL_WAIT as i64),
        max_units: 1.0,
        may_duplicate: true,
        may_cancel: true,
        may_hint: true,
        longest_hint: Span::from_secs(1.0),
        warmup_time: Span::millis(1),
        overload_window: Span::from_secs(4.0),
        start_limit: 4.0,
        awaits_late_answers: true,
        window: Some(16.0 * 3600.0),
        ..Terms::default()
    }
}

fn list() -> Event {
    let row = |server| ServerEntry {
        server,
        zone: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started_at: None,
    };
    Event::List { kind: ListKind::Full, rows: (1..=8).map(row).collect() }
}

/// The pools of a gateway process that starts at `from`.
fn pools(seed: u64, gateways: usize, count: usize, from: u64) -> Vec<Pool> {
    let pool = |pool| Pool {
        control: Control::new(terms(seed + pool, gateways)),
        due: BTreeMap::from([(from, vec![list()])]),
    };
    (0..count as u64).map(pool).collect()
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Most requests that were sent in any window.
    pub densest: usize,
    /// How many were sent in all.
    pub all: usize,
    /// When the densest window began, and its requests by the basis of their admission.
    pub details: String,
}

/// Runs a fleet.
pub fn run(seed: u64, conditions: &Conditions) -> Sent {
    let rng = &mut fastrand::Rng::with_seed(seed);
    let count = conditions.load.len();
    let pool_count = conditions.pools;
    let new_pools = |nth: u64| pools(seed * 10 + nth * pool_count as u64, count, pool_count, BEGIN);
    let mut gateways: Vec<Gateway> = (0..count)
        .map(|nth| Gateway {
            node: nth as Node + 1,
            incarnation: 1,
            down_until: 0,
            pools: new_pools(nth as u64),
            link: (Link::Sound, BEGIN + 1_500 + rng.u64(..1_000)),
            paused_until: 0,
            sums: LocalSums::default(),
            tag: 0,
            waiting: BTreeMap::new(),
        })
        .collect();
    let first = if conditions.holders > 0 { BEGIN + 2_000 + rng.u64(..conditions.holders) } else { u64::MAX };
    let mut holder = Holder {
        counter_holder: CounterHolder::default(),
        epoch: 0,
        next_poll: BEGIN,
        takeover: BEGIN,
        absent_until: 0,
    };
    let (mut sends, mut next): (Vec<(usize, usize)>, u64) = (Vec::new(), 0);
    for now in BEGIN..BEGIN + SPAN {
        let secs = now as f64 / 1e3;
        for (_, until) in conditions.no_holder.iter().filter(|(from, _)| BEGIN + from == now) {
            (holder.absent_until, holder.takeover) = (BEGIN + until, BEGIN + until);
            gateways.iter_mut().for_each(|g| g.end_all(now));
        }
        if now >= holder.takeover {
            holder.takeover = match conditions.holders {
                _ if now == BEGIN => first,
                0 => u64::MAX,
                span => now + span / 2 + rng.u64(..span),
            };
            holder.epoch += 1;
            holder.next_poll = now;
            holder.counter_holder.start_epoch(secs, holder.epoch);
            holder.counter_holder.counters().unwrap().set_quota(CUSTOMER, Quota { rate: RATE, size: STORE });
            gateways.iter_mut().for_each(|g| g.end_all(now));
        }
        if now >= holder.next_poll && now >= holder.absent_until {
            holder.poll(now, &mut gateways);
        }
        for kill in conditions.kills.iter().filter(|kill| BEGIN + kill.at == now) {
            let mut killed: Vec<usize> = (0..count).collect();
            rng.shuffle(&mut killed);
            for nth in killed.into_iter().take(kill.gateways) {
                let at = now + 1 + rng.u64(..kill.downtime.max(1));
                gateways[nth].restart(rng.u64(..1 << 32), count, at);
            }
        }
        for (nth, gateway) in gateways.iter_mut().enumerate() {
            if now >= gateway.link.1 {
                let sound = gateway.link.0 != Link::Sound;
                let fault = if rng.bool() { Link::Late } else { Link::Cut };
                let most = if sound { conditions.answered } else { conditions.unanswered };
                gateway.link = (if sound { Link::Sound } else { fault }, now + 20 + rng.u64(..most));
            }
            if conditions.pauses > 0
                && now >= gateway.paused_until + 1_000
                && rng.u64(..conditions.pauses) == 0
            {
                gateway.paused_until = now + 200 + rng.u64(..4_000);
            }
            if now < gateway.down_until {
                continue;
            }
            if now < gateway.paused_until {
                // what comes due meanwhile is handled at the end of the pause
                for pool in &mut gateway.pools {
                    if let Some(events) = pool.due.remove(&now) {
                        let end = pool.due.entry(gateway.paused_until).or_default();
                        let rest = std::mem::replace(end, events);
                        end.extend(rest);
                    }
                }
                continue;
            }
            gateway.end_calls(now);
            let (busy, idle) = conditions.bursts;
            if rng.u32(..1_000) < conditions.load[nth] && (now - BEGIN) % (busy + idle) < busy {
                let pool = if rng.u32(..10) < 6 { 0 } else { rng.usize(1..pool_count) };
                gateway.schedule(
                    pool,
                    now,
                    Event::Req(NewRequest {
                        id: next,
                        frontend: 0,
                        repeat: false,
                        units: 1.0,
                        customer: CUSTOMER,
                        plan: 0,
                        spread: (count * pool_count) as f64,
                        time_left: Span::millis(2_000),
                        zones: u64::MAX,
                    }),
                );
                next += 1;
            }
            for pool in 0..pool_count {
                let Some(events) = gateway.pools[pool].due.remove(&now) else { continue };
                let mut actions = Vec::new();
                let before = gateway.pools[pool].control.admissions();
                gateway.pools[pool].control.round(Timestamp::from_secs(secs), events, &mut actions);
                let after = gateway.pools[pool].control.admissions();
                for (basis, (before, after)) in before.into_iter().zip(after).enumerate() {
                    sends.extend((before..after).map(|_| (now as usize, basis)));
                }
                for action in actions {
                    match action {
                        Action::Count { name, amount, life } => {
                            holder.call(now, gateway, pool, (name, amount, life.secs()))
                        }
                        Action::Dispatch { id, .. } => {
                            let took = Span::millis(5);
                            let ended = Ended {
                                id,
                                nth: 0,
                                outcome: Outcome::Passed,
                                took,
                                closed: true,
                                billed: 0.0,
                            };
                            gateway.schedule(pool, now + 5, Event::Ended(ended, Vec::new()));
                        }
                        Action::Timer { after, .. } => {
                            let after = (after.secs() * 1e3).ceil().max(1.0) as u64;
                            gateway.schedule(pool, now + after, Event::Timer { token: 0 });
                        }
                        _ => {}
                    }
                }
            }
        }
    }
    let within = |from: usize| sends.iter().filter(move |send| (from..from + WINDOW).contains(&send.0));
    let windows = sends.iter().map(|send| (within(send.0).count(), send.0));
    let (densest, at) = windows.max_by_key(|window| window.0).unwrap_or_default();
    let mut by_basis: BTreeMap<&str, u64> = BTreeMap::new();
    within(at).for_each(|send| *by_basis.entry(Basis::NAMES[send.1]).or_default() += 1);
    let details = format!("at {} ms: {by_basis:?}", (at as u64).saturating_sub(BEGIN));
    Sent { densest, all: sends.len(), details }
}
