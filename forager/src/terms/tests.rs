use super::*;

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
        let (all, (ratio, slack)) = (gateways as f64, t.further.unwrap());
        assert!(ratio < s.bounds.retry_ratio && 2.0 * all * slack < s.bounds.retry_slack);
        assert!(2.0 * all * t.cold_sends.unwrap() < 4.0 * s.bounds.warmup_excess + s.bounds.warmup_slack);
    }
    for (rate, burst) in [(1.0, 0.0), (2.0, 2.0), (61.0, 61.0), (900.0, 400.0)] {
        let (name, homes) = ("t".to_string(), Vec::new());
        let p = plan(&Tenant { name, customer: 1, rate, burst, priority: 0, homes }, 4.0);
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
        homes: Vec::new(),
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
