use super::*;

#[test]
fn back_off_grows_to_its_cap_and_the_budget_bounds_tries() {
    let mut r = Retry::new(1, Span::millis(50), Span::millis(2000), 5.0);
    let t0 = Point::from_secs(100.0);
    let mut tries = 0;
    let mut t = t0;
    while t < t0.later(10.0) {
        if r.may(t) {
            tries += 1;
            r.failed(t);
        }
        t = t.later(0.001);
    }
    // Full jitter with a 2 s cap averages 1 s a try once capped: far fewer than the 50 the budget allows.
    assert!((5..=40).contains(&tries), "{tries}");
    r.answered();
    assert_eq!(r.failures(), 0);
    let mut storm = Retry::new(2, Span::ZERO, Span::ZERO, 5.0);
    let allowed = (0..10_000).filter(|i| storm.may(t0.later(*i as f64 * 0.001))).count();
    assert!((50..=56).contains(&allowed), "the budget alone: {allowed} in 10 s");
}

#[test]
fn the_same_seed_gives_the_same_waits() {
    let waits = |seed| {
        let mut r = Retry::new(seed, Span::millis(50), Span::millis(2000), 100.0);
        (0..8)
            .map(|_| {
                r.failed(Point::default());
                r.next
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(waits(7), waits(7));
    assert_ne!(waits(7), waits(8));
}
