//! A counter that keeps the level of each quota: what a gateway charges on it, and by what it decides without answers.

use lupinledge::control::Control;
use lupinledge::interface::*;
use lupinledge::time::{Span, Timestamp};

const RATE: f64 = 100.0;
const BURST: f64 = 1_000.0;

/// One pool of a gateway, with a counter that the test answers for.
struct Pool {
    control: Control,
    /// Milliseconds.
    now: u64,
    next_id: u64,
    sent: u64,
    /// Units charged for each customer, answered or not.
    charged: std::collections::BTreeMap<u64, f64>,
    /// Counter calls that have not ended.
    calls: Vec<u64>,
}

impl Pool {
    fn new(gateways: usize) -> Pool {
        let frontend = Frontend {
            effect: Effect::Replayable,
            dedup_scope: DedupScope::All,
            dedup_memory: Span::ZERO,
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
            warmup_time: Span::millis(1),
            overload_window: Span::from_secs(4.0),
            start_limit: 4.0 * gateways as f64,
            window: Some(16.0 * 3600.0),
            ..Terms::default()
        };
        let (control, charged) = (Control::new(terms), Default::default());
        let mut pool = Pool { control, now: 40_000, next_id: 0, sent: 0, charged, calls: Vec::new() };
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
        let mut actions = Vec::new();
        self.control.round(Timestamp::from_secs(self.now as f64 / 1e3), events, &mut actions);
        let mut ended = Vec::new();
        for action in actions {
            match action {
                Action::Count { name, amount, .. } => {
                    *self.charged.entry(name >> 24).or_default() += amount;
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

    /// Sends a request of a customer `after` milliseconds later; returns whether the counter was called.
    fn request(&mut self, after: u64, customer: u64, spread: f64) -> bool {
        self.now += after;
        self.next_id += 1;
        let time_left = Span::millis(2_000);
        let (id, zones) = (self.next_id, u64::MAX);
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

    /// Ends all calls: with the quota left, or without an answer.
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
fn congestion_ends_with_a_few_answers() {
    let mut pool = Pool::new(1);
    pool.request(10, 7, 1.0);
    pool.end_calls(None);
    let mut called = 0;
    for _ in 0..200 {
        called += u32::from(pool.request(100, 7, 1.0));
        pool.end_calls(Some(BURST));
    }
    assert!(called > 150, "{called} of 200 requests called the counter");
}

/// Requests admitted without a call, while the counter seems congested, are charged with the next call.
#[test]
fn all_requests_sent_are_charged() {
    let mut pool = Pool::new(1);
    pool.request(10, 7, 1.0);
    pool.end_calls(None);
    // answers for another customer leave this one's quota unread
    let mut uncalled = 0;
    for _ in 0..400 {
        uncalled += u32::from(!pool.request(5, 7, 1.0));
        let before = pool.calls.len();
        if before > 0 {
            pool.end_calls(None);
            pool.now += 400;
            pool.request(5, 8, 1.0);
            pool.end_calls(Some(BURST));
        }
    }
    // the last ones are charged by a call that is certain to be made
    for _ in 0..40 {
        pool.request(100, 7, 1.0);
        pool.end_calls(Some(BURST));
    }
    assert!(uncalled > 100, "{uncalled} without a call");
    let charged: f64 = pool.charged.values().sum();
    // except for what had refilled by the time of the charge
    let sent = pool.sent as f64;
    assert!(charged > 0.9 * sent && charged < sent + 1e-6, "{charged} charged, {sent} sent");
}

/// After an outage the charges of refused requests of any customer are given back at once.
#[test]
fn refunds_do_not_wait_for_another_request() {
    let mut pool = Pool::new(1_000);
    let refused = 1_000.0 * RATE;
    // one gateway of very many: its share is far below one request
    let customers = [7, 11, 12];
    let pending = |pool: &Pool| customers.iter().map(|customer| pool.charged[customer]).sum::<f64>();
    assert!(customers.iter().all(|customer| pool.request(10, *customer, refused)));
    pool.end_calls(None);
    assert!(pending(&pool) > 1.5, "{:?}", pool.charged);
    for _ in 0..40 {
        pool.request(100, 9, refused);
        let called = !pool.calls.is_empty();
        pool.end_calls(Some(0.0));
        if called {
            break;
        }
    }
    assert!(pending(&pool).abs() < 0.5, "{:?}", pool.charged);
}

/// While the counter does not answer, a customer far from its quota is served by each of very many pools; one near it, or
/// with a quota not yet read, by few of them.
#[test]
fn a_share_of_a_full_quota_is_rounded_up() {
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

/// In an outage a gateway uses 0.85 of its share, as each has seen the idle times of the others.
#[test]
fn a_share_is_smaller_in_an_outage() {
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
    let share = (pool.sent - before) as f64 / room;
    // its share by the totals read is 0.44
    assert!((0.34..0.41).contains(&share), "{share} of {room}");
}
