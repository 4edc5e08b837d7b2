use super::*;
use lupinledge::control::Control;
use lupinledge::interface::{Action, Ended, Event, ListKind, NewRequest, Outcome, ServerEntry, ServerState};
use lupinledge::time::Timestamp;
use std::collections::BTreeMap;

/// What gateways may do by themselves adds up to less than the rules allow all of them, however many there are,
/// also where each has its part twice; a plan's store lets no more through than its tenant's quota.
#[test]
fn parts_add_up() {
    let told =
        br#"{"ip": "10.0.0.1", "zone": "a", "region": "r", "zones": {"a": "r"}, "port_range": [1, 2]}"#;
    let s = Settings::parse(told).unwrap();
    let (name, health_path) = ("s".to_string(), "/health".to_string());
    let service = Service { name, health_path, max_conns: 9, warmup_s: 3.0, warmup_per_s: 4.0 };
    for gateways in [1, 2, 9, 60] {
        let t = terms(&s, &World::new(&s, 1), (0, &service), gateways, &Lines::default());
        let (all, (ratio, slack)) = (gateways as f64, t.retry_budget.unwrap());
        assert!(ratio < s.bounds.retry_ratio && 2.0 * all * slack < s.bounds.retry_slack);
        assert!(2.0 * all * t.cold_send_rate.unwrap() < 4.0 * s.bounds.warmup_excess + s.bounds.warmup_slack);
    }
    for (rate, burst) in [(1.0, 0.0), (2.0, 2.0), (61.0, 61.0), (900.0, 400.0)] {
        let (name, homes) = ("t".to_string(), Vec::new());
        let p = plan(&Tenant { name, id: 1, rate, burst, priority: 0, home_regions: homes }, 4.0);
        let (b, most) = (&s.bounds, rate * s.bounds.quota_window_s + burst);
        assert!(
            p.rate == rate
                && p.rate * b.quota_window_s + p.burst < (1.0 + b.quota_excess) * most + b.quota_slack
        );
    }
}

/// TWICE: of a keyed route nothing is sent again that may have run.
#[test]
fn keyed_requests_are_not_replayed() {
    let route = |kind| Route {
        name: "r".into(),
        key: "a.example/".into(),
        host_len: 9,
        services: vec![(0, 1.0)],
        kind,
        timeout: 5.0,
        target: 1.0,
        priority: 0,
        public: false,
        max_attempts: 2,
        home_regions: Vec::new(),
    };
    let replayable = |kind| matches!(frontend(&route(kind)).effect, Effect::Replayable);
    let kinds = [RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::Keyed];
    assert_eq!(kinds.map(replayable), [true, false, false]);
}

/// A name keeps its place through changes; a place is given to another only when nothing open can mean the
/// first.
#[test]
fn places_stay() {
    let mut p = Places::default();
    assert_eq!(p.renew(["a", "b"].into_iter()), 2);
    assert_eq!(p.renew(["b", "c"].into_iter()), 3, "one that just went keeps its place");
    assert_eq!((p.of("a"), p.of("b"), p.of("c")), (Some(0), Some(1), Some(2)));
    p.renew(["b"].into_iter());
    assert_eq!(p.of("a"), None);
    assert_eq!((p.renew(["b", "d"].into_iter()), p.of("d")), (3, Some(0)));
}

const GATEWAYS: usize = 59;
const DEADLINE_MS: u64 = 5_000;

/// The decisions of one gateway of many, by the terms that it is given here, on virtual time.
struct Pool {
    control: Control,
    /// By milliseconds.
    due: BTreeMap<u64, Vec<Event>>,
}

/// What became of the requests.
#[derive(Default)]
struct Outcomes {
    sent: usize,
    denied: usize,
    /// By server.
    sent_to: BTreeMap<u32, usize>,
}

impl Pool {
    fn new() -> Pool {
        let told =
            br#"{"ip": "10.0.0.1", "zone": "a", "region": "r", "zones": {"a": "r"}, "port_range": [1, 2]}"#;
        let settings = Settings::parse(told).unwrap();
        let (name, health_path) = ("s".to_string(), "/health".to_string());
        let service = Service { name, health_path, max_conns: 410, warmup_s: 3.0, warmup_per_s: 5.2 };
        let target = Span::millis(800);
        let timeout = Span::millis(DEADLINE_MS as i64);
        let frontend = Frontend { target, timeout, late_value: 0.3, ..NOWHERE };
        let lines = (vec![(frontend, vec![0])], vec![FREE]);
        let world = World::new(&settings, 1);
        let control = Control::new(terms(&settings, &world, (0, &service), GATEWAYS, &lines));
        Pool { control, due: BTreeMap::new() }
    }

    fn event(&mut self, at: u64, event: Event) {
        self.due.entry(at).or_default().push(event);
    }

    fn servers(&mut self, at: u64, servers: std::ops::RangeInclusive<u32>) {
        let row = |server| ServerEntry {
            server,
            zone: 0,
            cell: 0,
            state: ServerState::Ready,
            weight: 4.0,
            started_at: None,
        };
        self.event(at, Event::List { kind: ListKind::Full, rows: servers.map(row).collect() });
    }

    /// A request each so many milliseconds.
    fn requests(&mut self, between: u64, until: u64) {
        for (id, at) in (1..).zip((between..until).step_by(between as usize)) {
            let time_left = Span::millis(DEADLINE_MS as i64);
            let (frontend, plan, customer, zones) = (0, 0, 0, u64::MAX);
            let (repeat, units, spread) = (false, 1.0, 1.0);
            let request =
                NewRequest { id, frontend, repeat, units, customer, plan, spread, time_left, zones };
            self.event(at, Event::Req(request));
        }
    }

    /// Plays until then; each request sent is answered after so long, by the server.
    fn play(&mut self, until: u64, answered_after: impl Fn(u32) -> u64) -> Outcomes {
        let mut outcomes = Outcomes::default();
        while self.due.first_key_value().is_some_and(|(now, _)| *now < until) {
            let Some((now, events)) = self.due.pop_first() else { break };
            let mut actions = Vec::new();
            self.control.round(Timestamp::from_secs(now as f64 / 1e3), events, &mut actions);
            for action in actions {
                match action {
                    Action::Dispatch { id, server, .. } => {
                        outcomes.sent += 1;
                        *outcomes.sent_to.entry(server).or_default() += 1;
                        let answered_after = answered_after(server);
                        let (took, outcome) = (Span::millis(answered_after as i64), Outcome::Passed);
                        let ended = Ended { id, nth: 0, outcome, took, closed: true, billed: 0.0 };
                        self.event(now + answered_after, Event::Ended(ended, Vec::new()));
                    }
                    Action::Timer { after, token } => {
                        let at = now + (after.secs() * 1e3).ceil().max(1.0) as u64;
                        self.event(at, Event::Timer { token });
                    }
                    Action::Deny { .. } | Action::Abort { .. } => outcomes.denied += 1,
                    _ => {}
                }
            }
        }
        outcomes
    }
}

/// A gateway whose own link is full has answers late, though its servers are idle. A place in the pool is held all
/// that time. Clients whose requests are refused for want of a place ask again, which fills the link further.
#[test]
fn answers_that_are_late_on_the_own_link_do_not_close_an_idle_pool() {
    let mut pool = Pool::new();
    pool.servers(0, 1..=137);
    pool.requests(100, 40_000);
    let Outcomes { sent, denied, .. } = pool.play(40_000, |_| 900);
    assert!(denied * 50 < sent, "{denied} denied, {sent} sent");
}

/// Servers that join get requests beside others that are known to be quick: a gateway sends few requests at a time, and
/// a quick one is nearly always idle.
#[test]
fn servers_that_join_get_requests_beside_quick_ones() {
    const OLD: u32 = 44;
    const ALL: u32 = 55;
    let mut pool = Pool::new();
    pool.servers(0, 1..=OLD);
    pool.servers(15_000, 1..=ALL);
    pool.requests(66, 30_000);
    let speeds = [0.5, 1.0, 1.0, 1.5];
    let answered_after = |srv: u32| 20 + (230.0 * speeds[srv as usize % speeds.len()]) as u64;
    pool.play(15_000, answered_after);
    let Outcomes { sent, sent_to, .. } = pool.play(30_000, answered_after);
    let to_joiners: usize = sent_to.range(OLD + 1..=ALL).map(|(_, sent)| sent).sum();
    // a quarter of their even part
    assert!(to_joiners * 20 > sent, "{to_joiners} of {sent} requests went to a fifth of the servers");
}
