//! A quota over several gateways while the counters fall silent for them again and again, each at its own times, and
//! the holder of the counters changes: what all send of a customer in any window stays within the rule.

use lupinledge::control::Control;
use lupinledge::link::*;
use lupinledge::time::{Point, Span};
use lupinledge_nectar::duty::{Duty, Look, Seen};
use lupinledge_nectar::own::Own;
use lupinledge_nectar::told::Part;
use lupinledge_nectar::Node;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;

const CUSTOMER: u64 = 7;
const RATE: f64 = 20.0;
const BURST: f64 = 10.0;
/// What a gateway goes by of that burst, as the data plane's terms give it.
const STORE: f64 = 13.0;
const WINDOW: usize = 5_000;
/// 1.1 times what rate and burst give in a window, and 20.
const ALLOWED: usize = 141;
/// Milliseconds.
const TRIP: u64 = 3;
/// Pools of each gateway that the customer's requests come through.
const POOLS: usize = 2;
const CALL_WAIT: u64 = 350;
const SPAN: u64 = 20_000;
const BEGIN: u64 = 40_000;

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
#[derive(Clone, Copy, Debug)]
struct Weather {
    /// Longest time for which a gateway's calls are answered, and for which they are not, milliseconds.
    sound: u64,
    silent: u64,
    /// A holder takes over after some such time, milliseconds; 0: never.
    holders: u64,
    /// A gateway stands still about once in so many milliseconds; 0: never.
    freezes: u64,
    /// Requests a second at each gateway.
    load: [u32; 3],
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
    pools: Vec<Pool>,
    link: (Link, u64),
    /// It stands still until then.
    frozen: u64,
    own: Own,
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
            self.hears(pool, now, Event::Counted { name, total: 0.0, how: Outcome::TimedOut });
        }
    }

    fn there(&self, now: u64) -> bool {
        self.link.0 != Link::Cut && now >= self.frozen
    }

    fn end_all(&mut self, now: u64) {
        self.waiting.values_mut().for_each(|call| call.1 = now);
        self.end_calls(now);
    }

    fn answered(&mut self, at: u64, (pool, name, sum): Call, total: f64) {
        self.own.total(name, sum, total);
        self.hears(pool, at, Event::Counted { name, total, how: Outcome::Passed });
    }
}

/// The holder of the counters, as the control plane drives it.
struct Holder {
    duty: Duty,
    epoch: u64,
    look_at: u64,
    take_over: u64,
}

impl Holder {
    /// Takes a call, and answers it in time if it may.
    fn call(&mut self, now: u64, gateway: &mut Gateway, pool: usize, (name, amount, life): (u64, f64, f64)) {
        let secs = now as f64 / 1e3;
        let Some(sum) = gateway.own.add(secs, name, amount, life) else { return };
        gateway.tag += 1;
        let (link, from, tag) = (gateway.link.0, (gateway.node, 1), gateway.tag);
        let late = Event::Counted { name, total: 0.0, how: Outcome::TimedOut };
        if link == Link::Cut {
            return gateway.hears(pool, now + CALL_WAIT, late);
        }
        match self.duty.count(secs, from, tag, [(name, sum, life)].into_iter()) {
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
            self.duty.counters().unwrap().heard(secs, gateway.node);
        }
        let seen: Vec<Seen> = gateways
            .iter()
            .map(|g| Seen { node: g.node, alive: g.there(now), leaving: false, gone: false })
            .collect();
        let tell = |duty: &mut Duty, epoch: u64, asked: Vec<Node>| {
            for gateway in gateways.iter().filter(|g| asked.contains(&g.node) && g.there(now)) {
                duty.tell(secs, epoch, (gateway.node, 1), &Part::whole(gateway.own.told(secs)));
            }
        };
        self.look_at = now + 250;
        match self.duty.look(secs, &seen) {
            Look::Whole(asked) => tell(&mut self.duty, self.epoch, asked),
            Look::Ask(asked) => {
                self.look_at = now + 50;
                tell(&mut self.duty, self.epoch, asked);
            }
            Look::Closed(answers, _) => {
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
        group: Group::All,
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
        largest: 1.0,
        may_duplicate: true,
        may_cancel: true,
        may_hint: true,
        longest_hint: Span::from_secs(1.0),
        warm_after: Span::millis(1),
        fall_window: Span::from_secs(4.0),
        start_each: 4.0,
        patient: true,
        window: Some(16.0 * 3600.0),
        ..Terms::default()
    }
}

/// Most requests that were sent in any window, and how many were sent in all.
fn play(seed: u64, weather: Weather) -> (usize, usize) {
    let rng = &mut fastrand::Rng::with_seed(seed);
    let count = weather.load.len();
    let row = |srv| SrvRow { srv, zone: 0, cell: 0, state: SrvState::Ready, weight: 1.0, born: None };
    let list = || Event::List { kind: ListKind::Full, rows: (1..=8).map(row).collect() };
    let pools = |nth: u64| {
        let pool = |pool| Pool {
            control: Control::new(terms(seed * 10 + nth * POOLS as u64 + pool, count)),
            due: BTreeMap::from([(BEGIN, vec![list()])]),
        };
        (0..POOLS as u64).map(pool).collect()
    };
    let mut gateways: Vec<Gateway> = (0..count)
        .map(|nth| Gateway {
            node: nth as Node + 1,
            pools: pools(nth as u64),
            link: (Link::Sound, BEGIN + 1_500 + rng.u64(..1_000)),
            frozen: 0,
            own: Own::default(),
            tag: 0,
            waiting: BTreeMap::new(),
        })
        .collect();
    let first = if weather.holders > 0 { BEGIN + 2_000 + rng.u64(..weather.holders) } else { u64::MAX };
    let mut holder = Holder { duty: Duty::default(), epoch: 0, look_at: BEGIN, take_over: BEGIN };
    let (mut sends, mut next) = (Vec::new(), 0);
    for now in BEGIN..BEGIN + SPAN {
        let secs = now as f64 / 1e3;
        if now >= holder.take_over {
            holder.take_over =
                if now == BEGIN { first } else { now + weather.holders / 2 + rng.u64(..weather.holders) };
            holder.epoch += 1;
            holder.look_at = now;
            holder.duty.hold(secs, holder.epoch);
            holder.duty.counters().unwrap().quota(CUSTOMER, RATE);
            gateways.iter_mut().for_each(|g| g.end_all(now));
        }
        if now >= holder.look_at {
            holder.look(now, &mut gateways);
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
            if rng.u32(..1_000) < weather.load[nth] {
                let pool = if rng.u32(..10) < 6 { 0 } else { POOLS - 1 };
                gateway.hears(
                    pool,
                    now,
                    Event::Req(NewReq {
                        id: next,
                        frontend: 0,
                        repeat: false,
                        units: 1.0,
                        customer: CUSTOMER,
                        plan: 0,
                        spread: (count * POOLS) as f64,
                        left: Span::millis(2_000),
                        zones: u64::MAX,
                    }),
                );
                next += 1;
            }
            for pool in 0..POOLS {
                let Some(events) = gateway.pools[pool].due.remove(&now) else { continue };
                let mut acts = Vec::new();
                gateway.pools[pool].control.round(Point::from_secs(secs), events, &mut acts);
                for act in acts {
                    match act {
                        Action::Count { name, amount, life } => {
                            holder.call(now, gateway, pool, (name, amount, life.secs()))
                        }
                        Action::Dispatch { id, .. } => {
                            sends.push(now as usize);
                            let took = Span::millis(5);
                            let ended =
                                Ended { id, nth: 0, how: Outcome::Passed, took, closed: true, billed: 0.0 };
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
    let densest = |&from: &usize| sends.iter().filter(|at| (from..from + WINDOW).contains(at)).count();
    (sends.iter().map(densest).max().unwrap_or(0), sends.len())
}

fn any(seed: u64) -> Weather {
    let rng = &mut fastrand::Rng::with_seed(seed ^ 0x5eed);
    let one = |rng: &mut fastrand::Rng, of: &[u64]| of[rng.usize(..of.len())];
    let load = [[30, 30, 30], [60, 60, 60], [100, 20, 20], [20, 20, 5]][rng.usize(..4)];
    Weather {
        sound: one(rng, &[60_000, 3_000, 1_000, 300, 100]),
        silent: one(rng, &[1, 600, 1_200, 2_000, 4_000]),
        holders: one(rng, &[0, 2_000, 6_000]),
        freezes: one(rng, &[0, 3_000, 10_000]),
        load,
    }
}

/// Plays that broke the rule before what goes out in silences was bounded: 142 to 162 in a window.
const BROKEN: [u64; 12] = [5493, 6120, 6787, 7605, 9254, 10829, 11135, 12003, 14948, 21824, 22512, 22525];

#[test]
fn the_quota_holds_over_silences_that_follow_each_other() {
    for seed in BROKEN.into_iter().chain(0..60) {
        let (densest, _) = play(seed, any(seed));
        assert!(densest <= ALLOWED, "{densest} in a window, {ALLOWED} allowed: seed {seed}, {:?}", any(seed));
    }
}

#[test]
fn in_calm_times_the_quota_is_used() {
    for load in [[30, 30, 30], [60, 60, 60], [100, 20, 20], [20, 20, 5]] {
        let calm = Weather { sound: SPAN, silent: 1, holders: 0, freezes: 0, load };
        let (densest, sent) = play(1, calm);
        let given = RATE * SPAN as f64 / 1e3;
        assert!(sent as f64 > 0.97 * given, "{sent} sent of {given} and more");
        assert!(densest as f64 <= (RATE * 5.0 + BURST) * 1.1 + 5.0, "{densest} in a window");
    }
}

/// As many more as wanted: `FROM=0 TO=24000 cargo test --release --test silences -- --ignored --nocapture`.
#[test]
#[ignore = "takes as long as it is told to"]
fn many_more() {
    let bound = |name: &str, or| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(or);
    let (next, to) = (AtomicU64::new(bound("FROM", 0)), bound("TO", 2_000));
    let plays = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from).div_ceil(2) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Relaxed);
                if seed >= to {
                    return;
                }
                let (densest, sent) = play(seed, any(seed));
                plays.lock().unwrap().push((densest, sent, seed));
            });
        }
    });
    let mut plays = plays.into_inner().unwrap();
    plays.sort_unstable();
    let sent: usize = plays.iter().map(|play| play.1).sum();
    let at = |part: usize| plays[(plays.len() - 1) * part / 1_000].0;
    println!("{} plays, {:.0} sent in each", plays.len(), sent as f64 / plays.len() as f64);
    println!("densest: p50 {}, p99 {}, p99.9 {}, most {}", at(500), at(990), at(999), at(1_000));
    let broken: Vec<_> = plays.iter().filter(|play| play.0 > ALLOWED).collect();
    assert!(broken.is_empty(), "{} broke the rule: {broken:?}", broken.len());
}
