//! A counter that keeps the stores of the quotas: what a gateway tells it, and what it goes by while it is not answered.

use lupinledge::control::Control;
use lupinledge::interface::*;
use lupinledge::time::{Span, Timestamp};

const RATE: f64 = 100.0;
const BURST: f64 = 1_000.0;

/// One pool of a gateway.
struct Pool {
    control: Control,
    /// Milliseconds.
    now: u64,
    next: u64,
    sent: u64,
    /// Units told of each customer's use, answered or not.
    told: std::collections::BTreeMap<u64, f64>,
    /// Calls without an end.
    calls: Vec<u64>,
}

impl Pool {
    fn new(gateways: usize) -> Pool {
        let frontend = Frontend {
            effect: Effect::Replayable,
            group: DedupScope::All,
            memory: Span::ZERO,
            target: Span::millis(1_000),
            late_value: 0.3,
            value: 1.0,
            timeout: Span::millis(2_000),
            max_dispatches: 1,
        };
        let plan = Plan {
            rate: RATE,
            burst: BURST,
            price: 1.0,
            at_once: 0,
            overrun_value: 0.0,
            overrun_cost: 9.0,
            ceiling_rate: 0.0,
            ceiling_burst: 0.0,
        };
        let terms = Terms {
            seed: 1,
            gateways,
            zones: 1,
            frontends: vec![frontend],
            plans: vec![plan],
            counter: true,
            count_wait: Span::millis(350),
            max_units: 1.0,
            may_hint: true,
            longest_hint: Span::from_secs(1.0),
            warm_after: Span::millis(1),
            fall_window: Span::from_secs(4.0),
            start_limit: 4.0 * gateways as f64,
            window: Some(16.0 * 3600.0),
            ..Terms::default()
        };
        let (control, told) = (Control::new(terms), Default::default());
        let mut pool = Pool { control, now: 40_000, next: 0, sent: 0, told, calls: Vec::new() };
        let row = |server| ServerEntry {
            server,
            zone: 0,
            cell: 0,
            state: ServerState::Ready,
            weight: 1.0,
            started_at: None,
        };
        pool.round(vec![Event::List { kind: ListKind::Full, rows: (1..=20).map(row).collect() }]);
        pool
    }

    fn round(&mut self, events: Vec<Event>) {
        let mut acts = Vec::new();
        self.control.round(Timestamp::from_secs(self.now as f64 / 1e3), events, &mut acts);
        let mut ended = Vec::new();
        for act in acts {
            match act {
                Action::Count { name, amount, .. } => {
                    *self.told.entry(name >> 24).or_default() += amount;
                    self.calls.push(name);
                }
                Action::Dispatch { id, .. } => {
                    self.sent += 1;
                    let took = Span::millis(0);
                    let end = Ended { id, nth: 0, outcome: Outcome::Passed, took, closed: true, billed: 0.0 };
                    ended.push(Event::Ended(end, Vec::new()));
                }
                _ => {}
            }
        }
        if !ended.is_empty() {
            self.round(ended);
        }
    }

    /// A request of a customer, `after` milliseconds later; whether the counter was called.
    fn request(&mut self, after: u64, customer: u64, spread: f64) -> bool {
        self.now += after;
        self.next += 1;
        let time_left = Span::millis(2_000);
        let (id, zones) = (self.next, u64::MAX);
        let request = NewRequest {
            id,
            frontend: 0,
            repeat: false,
            units: 1.0,
            customer,
            plan: 0,
            spread,
            time_left,
            zones,
        };
        let before = self.calls.len();
        self.round(vec![Event::Req(request)]);
        self.calls.len() > before
    }

    /// All calls end: with what is left in the store, or without an answer.
    fn end_calls(&mut self, level: Option<f64>) {
        self.now += 2;
        let outcome = if level.is_some() { Outcome::Passed } else { Outcome::TimedOut };
        let total = level.map_or(0.0, |_| 100_000.0);
        let ended = |name| Event::Counted { name, total, level, outcome };
        let events = std::mem::take(&mut self.calls).into_iter().map(ended).collect();
        self.round(events);
    }
}

#[test]
fn a_crowd_ends_with_a_few_answers() {
    let mut pool = Pool::new(1);
    pool.request(10, 7, 1.0);
    pool.end_calls(None);
    let mut asked = 0;
    for _ in 0..200 {
        asked += u32::from(pool.request(100, 7, 1.0));
        pool.end_calls(Some(BURST));
    }
    assert!(asked > 150, "{asked} of 200 were asked for");
}

/// What is let through unasked, while the counter seems crowded, is told with the next call.
#[test]
fn all_that_is_sent_is_told() {
    let mut pool = Pool::new(1);
    pool.request(10, 7, 1.0);
    pool.end_calls(None);
    // answers of another customer's leave this one's store unread
    let mut unasked = 0;
    for _ in 0..400 {
        unasked += u32::from(!pool.request(5, 7, 1.0));
        let before = pool.calls.len();
        if before > 0 {
            pool.end_calls(None);
            pool.now += 400;
            pool.request(5, 8, 1.0);
            pool.end_calls(Some(BURST));
        }
    }
    // the last are told by a call that is made for certain
    for _ in 0..40 {
        pool.request(100, 7, 1.0);
        pool.end_calls(Some(BURST));
    }
    assert!(unasked > 100, "{unasked} unasked");
    let told: f64 = pool.told.values().sum();
    // but for what had filled up again by the time that it was told
    let sent = pool.sent as f64;
    assert!(told > 0.9 * sent && told < sent + 1e-6, "{told} told, {sent} sent");
}

/// Behind a silence what was charged for refused requests of any customer is given back at once.
#[test]
fn refunds_do_not_wait_for_another_request() {
    let mut pool = Pool::new(1_000);
    let refused = 1_000.0 * RATE;
    // one of very many: its part is far below a whole request
    let customers = [7, 11, 12];
    let pending = |pool: &Pool| customers.iter().map(|customer| pool.told[customer]).sum::<f64>();
    assert!(customers.iter().all(|customer| pool.request(10, *customer, refused)));
    pool.end_calls(None);
    assert!(pending(&pool) > 1.5, "{:?}", pool.told);
    for _ in 0..40 {
        pool.request(100, 9, refused);
        let called = !pool.calls.is_empty();
        pool.end_calls(Some(0.0));
        if called {
            break;
        }
    }
    assert!(pending(&pool).abs() < 0.5, "{:?}", pool.told);
}

/// Far from its quota a tenant is served by each of very many pools while the counter is away; near it, or not met, by
/// few of them.
#[test]
fn a_part_of_a_full_store_is_rounded_up() {
    const VERY_MANY: f64 = 20_000.0;
    let sent_alone = |level: Option<f64>| {
        let mut pool = Pool::new(1);
        for customer in 1..=20 {
            if level.is_some() {
                pool.request(10, customer, VERY_MANY);
                pool.end_calls(level);
            }
        }
        let before = pool.sent;
        for customer in 1..=20 {
            pool.request(10, customer, VERY_MANY);
        }
        pool.end_calls(None);
        pool.sent - before
    };
    assert_eq!(sent_alone(Some(0.9 * BURST)), 20);
    assert!(sent_alone(Some(0.05 * BURST)) < 8);
    assert!(sent_alone(None) < 8);
}

/// In a silence a gateway goes by 0.85 of its part: each has seen others rest.
#[test]
fn a_part_is_smaller_in_a_silence() {
    const LEFT: f64 = 20.0;
    let mut pool = Pool::new(1);
    pool.request(10, 7, 1.0);
    pool.end_calls(Some(LEFT));
    let read_at = pool.now;
    let mut unanswered = 0;
    while unanswered < 3 {
        unanswered += u32::from(pool.request(10, 7, 1.0));
        pool.end_calls(None);
    }
    let before = pool.sent;
    pool.now += 600;
    (0..300).for_each(|_| _ = pool.request(0, 7, 1.0));
    let room = LEFT + RATE * (pool.now - read_at) as f64 / 1e3;
    let part = (pool.sent - before) as f64 / room;
    // its part by what it has seen of the totals is 0.44
    assert!((0.34..0.41).contains(&part), "{part} of {room}");
}
