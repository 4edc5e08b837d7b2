//! A fleet of gateways with the real decisions, the counters' holder and its sums, in virtual time: what becomes of a
//! tenant's quota while calls go unanswered, holders change, and gateways stand still, are killed and start again.

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
/// What a gateway goes by of that burst, as the data plane's terms give it.
const STORE: f64 = 13.0;
const WINDOW: usize = 5_000;
/// 1.1 times what rate and burst give in a window, and 20.
pub const ALLOWED: usize = ((RATE * WINDOW as f64 / 1e3 + BURST) * 1.1 + 20.0) as usize;
/// Milliseconds.
const TRIP: u64 = 3;
const CALL_WAIT: u64 = 350;
pub const SPAN: u64 = 20_000;
/// When a play begins, on the clock that all share.
pub const BEGIN: u64 = 40_000;

/// What becomes of a gateway's words to the holder of the counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Sound,
    /// The holder hears them, and its answers come too late.
    Late,
    /// Nothing is heard either way.
    Cut,
}

/// What is in store for a play.
#[derive(Clone, Debug)]
pub struct Weather {
    /// Longest time for which a gateway's calls are answered, and for which they are not, milliseconds.
    pub sound: u64,
    pub silent: u64,
    /// A holder takes over after some such time, milliseconds; 0: never.
    pub holders: u64,
    /// A gateway stands still about once in so many milliseconds; 0: never.
    pub freezes: u64,
    /// Requests a second at each gateway.
    pub load: Vec<u32>,
    /// Pools of each gateway that the customer's requests come through.
    pub pools: usize,
    /// Requests come for so long, and then none for so long, milliseconds.
    pub spells: (u64, u64),
    pub kills: Vec<Kill>,
    /// Nobody holds the counters then, from the begin of the play: from, until, milliseconds.
    pub no_holder: Vec<(u64, u64)>,
}

/// Gateways that are killed at once, and start again, each at a time of its own.
#[derive(Clone, Copy, Debug)]
pub struct Kill {
    /// Milliseconds from the begin of the play.
    pub at: u64,
    /// How many, by lot.
    pub gateways: usize,
    /// They are away so long at the most, milliseconds.
    pub away: u64,
}

/// One pool of a gateway: it decides by itself, and what it counts is told with what the others of the process count.
struct Pool {
    control: Control,
    due: BTreeMap<u64, Vec<Event>>,
}

/// A call of a pool: name and sum.
type Call = (usize, u64, f64);

struct Gateway {
    node: Node,
    incarnation: u32,
    /// It is away until then.
    away: u64,
    pools: Vec<Pool>,
    link: (Link, u64),
    /// It stands still until then.
    frozen: u64,
    own: LocalSums,
    tag: u64,
    /// Calls that wait until the totals of a new holder are whole, by tag, and until when.
    waiting: BTreeMap<u64, (Call, u64)>,
}

impl Gateway {
    fn hears(&mut self, pool: usize, at: u64, event: Event) {
        self.pools[pool].due.entry(at).or_default().push(event);
    }

    /// Calls that have waited until then end without a total.
    fn end_calls(&mut self, now: u64) {
        let ended: Vec<u64> =
            self.waiting.iter().filter(|(_, call)| call.1 <= now).map(|(tag, _)| *tag).collect();
        for tag in ended {
            let Some(((pool, name, _), _)) = self.waiting.remove(&tag) else { continue };
            self.hears(
                pool,
                now,
                Event::Counted { name, total: 0.0, level: None, outcome: Outcome::TimedOut },
            );
        }
    }

    fn there(&self, now: u64) -> bool {
        self.link.0 != Link::Cut && now >= self.frozen && now >= self.away
    }

    /// Another life of it begins at `back`; nothing of the one before is left.
    fn start_anew(&mut self, seed: u64, gateways: usize, back: u64) {
        self.pools = pools(seed, gateways, self.pools.len(), back);
        (self.own, self.tag, self.frozen, self.away) = (LocalSums::default(), 0, 0, back);
        self.incarnation += 1;
        self.waiting.clear();
    }

    fn end_all(&mut self, now: u64) {
        self.waiting.values_mut().for_each(|call| call.1 = now);
        self.end_calls(now);
    }

    fn answered(&mut self, at: u64, (pool, name, sum): Call, total: Total) {
        self.own.record_total(at as f64 / 1e3, name, sum, total);
        let Total { counted, level } = total;
        self.hears(pool, at, Event::Counted { name, total: counted, level, outcome: Outcome::Passed });
    }
}

/// The holder of the counters, as the control plane drives it.
struct Holder {
    duty: CounterHolder,
    epoch: u64,
    look_at: u64,
    take_over: u64,
    /// Until then nobody holds the counters.
    away: u64,
}

impl Holder {
    /// Takes a call, and answers it in time if it may.
    fn call(&mut self, now: u64, gateway: &mut Gateway, pool: usize, (name, amount, life): (u64, f64, f64)) {
        let secs = now as f64 / 1e3;
        let Some(sum) = gateway.own.add(secs, name, amount, life) else { return };
        gateway.tag += 1;
        let link = if now < self.away { Link::Cut } else { gateway.link.0 };
        let (from, tag) = ((gateway.node, gateway.incarnation), gateway.tag);
        let late = Event::Counted { name, total: 0.0, level: None, outcome: Outcome::TimedOut };
        if link == Link::Cut {
            return gateway.hears(pool, now + CALL_WAIT, late);
        }
        match self.duty.apply_call(secs, from, tag, [(name, sum, life)].into_iter()) {
            Some(totals) if link == Link::Sound => gateway.answered(now + TRIP, (pool, name, sum), totals[0]),
            Some(_) => gateway.hears(pool, now + CALL_WAIT, late),
            None => {
                // the first of its own time-out and of the totals being whole
                gateway.waiting.insert(tag, ((pool, name, sum), now + CALL_WAIT));
            }
        }
    }

    fn look(&mut self, now: u64, gateways: &mut [Gateway]) {
        let secs = now as f64 / 1e3;
        for gateway in gateways.iter().filter(|g| g.there(now)) {
            self.duty.counters().unwrap().record_contact(secs, gateway.node);
        }
        let seen: Vec<GatewayStatus> = gateways
            .iter()
            .map(|g| GatewayStatus { node: g.node, alive: g.there(now), leaving: false, gone: false })
            .collect();
        let tell = |duty: &mut CounterHolder, epoch: u64, asked: Vec<Node>| {
            for gateway in gateways.iter().filter(|g| asked.contains(&g.node) && g.there(now)) {
                duty.receive_handover(
                    secs,
                    epoch,
                    (gateway.node, gateway.incarnation),
                    &HandoverPart::single(gateway.own.handover(secs)),
                );
            }
        };
        self.look_at = now + 250;
        match self.duty.poll(secs, &seen) {
            HandoverStatus::Serving(asked) => tell(&mut self.duty, self.epoch, asked),
            HandoverStatus::Collecting(asked) => {
                self.look_at = now + 50;
                tell(&mut self.duty, self.epoch, asked);
            }
            HandoverStatus::Completed(answers, _) => {
                for answer in answers {
                    let Some(gateway) = gateways.iter_mut().find(|g| g.node == answer.from.0) else {
                        continue;
                    };
                    if gateway.link.0 == Link::Sound {
                        let Some((call, _)) = gateway.waiting.remove(&answer.tag) else { continue };
                        gateway.answered(now + TRIP, call, answer.totals[0]);
                    }
                }
            }
        }
    }
}

fn terms(seed: u64, gateways: usize) -> Terms {
    let frontend = Frontend {
        effect: Effect::Replayable,
        group: DedupScope::All,
        memory: Span::ZERO,
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
        warm_after: Span::millis(1),
        fall_window: Span::from_secs(4.0),
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

/// Those of one life of a gateway that begins at `from`.
fn pools(seed: u64, gateways: usize, count: usize, from: u64) -> Vec<Pool> {
    let pool = |pool| Pool {
        control: Control::new(terms(seed + pool, gateways)),
        due: BTreeMap::from([(from, vec![list()])]),
    };
    (0..count as u64).map(pool).collect()
}

/// What came of a play.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Most requests that were sent in any window.
    pub densest: usize,
    /// How many were sent in all.
    pub all: usize,
    /// When the densest window began, and how many of its requests rested on what.
    pub story: String,
}

/// Plays it.
pub fn play(seed: u64, weather: &Weather) -> Sent {
    let rng = &mut fastrand::Rng::with_seed(seed);
    let count = weather.load.len();
    let pool_count = weather.pools;
    let of_pools = |nth: u64| pools(seed * 10 + nth * pool_count as u64, count, pool_count, BEGIN);
    let mut gateways: Vec<Gateway> = (0..count)
        .map(|nth| Gateway {
            node: nth as Node + 1,
            incarnation: 1,
            away: 0,
            pools: of_pools(nth as u64),
            link: (Link::Sound, BEGIN + 1_500 + rng.u64(..1_000)),
            frozen: 0,
            own: LocalSums::default(),
            tag: 0,
            waiting: BTreeMap::new(),
        })
        .collect();
    let first = if weather.holders > 0 { BEGIN + 2_000 + rng.u64(..weather.holders) } else { u64::MAX };
    let mut holder =
        Holder { duty: CounterHolder::default(), epoch: 0, look_at: BEGIN, take_over: BEGIN, away: 0 };
    let (mut sends, mut next): (Vec<(usize, usize)>, u64) = (Vec::new(), 0);
    for now in BEGIN..BEGIN + SPAN {
        let secs = now as f64 / 1e3;
        for (_, until) in weather.no_holder.iter().filter(|(from, _)| BEGIN + from == now) {
            (holder.away, holder.take_over) = (BEGIN + until, BEGIN + until);
            gateways.iter_mut().for_each(|g| g.end_all(now));
        }
        if now >= holder.take_over {
            holder.take_over = match weather.holders {
                _ if now == BEGIN => first,
                0 => u64::MAX,
                span => now + span / 2 + rng.u64(..span),
            };
            holder.epoch += 1;
            holder.look_at = now;
            holder.duty.start_epoch(secs, holder.epoch);
            holder.duty.counters().unwrap().set_quota(CUSTOMER, Quota { rate: RATE, size: STORE });
            gateways.iter_mut().for_each(|g| g.end_all(now));
        }
        if now >= holder.look_at && now >= holder.away {
            holder.look(now, &mut gateways);
        }
        for kill in weather.kills.iter().filter(|kill| BEGIN + kill.at == now) {
            let mut killed: Vec<usize> = (0..count).collect();
            rng.shuffle(&mut killed);
            for nth in killed.into_iter().take(kill.gateways) {
                let back = now + 1 + rng.u64(..kill.away.max(1));
                gateways[nth].start_anew(rng.u64(..1 << 32), count, back);
            }
        }
        for (nth, gateway) in gateways.iter_mut().enumerate() {
            if now >= gateway.link.1 {
                let sound = gateway.link.0 != Link::Sound;
                let silence = if rng.bool() { Link::Late } else { Link::Cut };
                let most = if sound { weather.sound } else { weather.silent };
                gateway.link = (if sound { Link::Sound } else { silence }, now + 20 + rng.u64(..most));
            }
            if weather.freezes > 0 && now >= gateway.frozen + 1_000 && rng.u64(..weather.freezes) == 0 {
                gateway.frozen = now + 200 + rng.u64(..4_000);
            }
            if now < gateway.away {
                continue;
            }
            if now < gateway.frozen {
                // what comes due meanwhile is met at the end of the standstill
                for pool in &mut gateway.pools {
                    if let Some(events) = pool.due.remove(&now) {
                        let end = pool.due.entry(gateway.frozen).or_default();
                        let rest = std::mem::replace(end, events);
                        end.extend(rest);
                    }
                }
                continue;
            }
            gateway.end_calls(now);
            let (busy, quiet) = weather.spells;
            if rng.u32(..1_000) < weather.load[nth] && (now - BEGIN) % (busy + quiet) < busy {
                let pool = if rng.u32(..10) < 6 { 0 } else { rng.usize(1..pool_count) };
                gateway.hears(
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
                let mut acts = Vec::new();
                let before = gateway.pools[pool].control.admissions();
                gateway.pools[pool].control.round(Timestamp::from_secs(secs), events, &mut acts);
                let after = gateway.pools[pool].control.admissions();
                for (basis, (before, after)) in before.into_iter().zip(after).enumerate() {
                    sends.extend((before..after).map(|_| (now as usize, basis)));
                }
                for act in acts {
                    match act {
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
                            gateway.hears(pool, now + 5, Event::Ended(ended, Vec::new()));
                        }
                        Action::Timer { after, .. } => {
                            let after = (after.secs() * 1e3).ceil().max(1.0) as u64;
                            gateway.hears(pool, now + after, Event::Timer { token: 0 });
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
    let story = format!("at {} ms: {by_basis:?}", (at as u64).saturating_sub(BEGIN));
    Sent { densest, all: sends.len(), story }
}
