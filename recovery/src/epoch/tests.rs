use super::*;

fn at(s: f64) -> Point {
    Point::from_secs(s)
}

#[test]
fn a_total_below_what_this_gateway_holds_is_a_restart_and_only_its_part_is_added_back() {
    let mut e = Epoch::new(Span::from_secs(2.0));
    assert_eq!(e.answered(at(1.0), 1.0, 1.0, true), Seen::Whole);
    assert_eq!(e.answered(at(1.1), 1.0, 5.0, true), Seen::Whole, "others hold three");
    assert_eq!(e.answered(at(1.2), -1.0, 4.0, true), Seen::Whole);
    // The counter came back at zero: this gateway holds 2 (1 + 1 - 1 + 1) and the total says 1.
    let mut ended = e.clone();
    assert_eq!(e.answered(at(1.3), 1.0, 1.0, true), Seen::Restarted { add_back: 1.0 });
    assert_eq!(e.restarts, 1);
    // The same answer where the name may have ended its life at the counter: nothing to add back.
    assert_eq!(ended.answered(at(1.3), 1.0, 1.0, false), Seen::Whole);
    assert_eq!(ended.restarts, 0);
}

#[test]
fn adds_past_the_life_are_forgotten_as_the_counter_forgets_them() {
    let mut e = Epoch::new(Span::from_secs(2.0));
    e.answered(at(1.0), 3.0, 3.0, true);
    assert_eq!(e.own(at(2.9)), 3.0);
    assert_eq!(e.answered(at(3.5), 1.0, 1.0, true), Seen::Whole, "the name was new again");
    assert_eq!(e.own(at(3.5)), 1.0);
}

#[test]
fn rounding_of_large_totals_is_no_restart_and_memory_is_bounded() {
    let mut e = Epoch::new(Span::from_secs(60.0));
    for i in 0..1000 {
        let own = (i + 1) as f64 * 1000.0;
        let total = (own as f32 * 0.9999999) as f64;
        assert_eq!(e.answered(at(i as f64 * 0.01), 1000.0, total, true), Seen::Whole);
    }
    assert!(e.adds.len() <= MOST_ADDS);
    assert!((e.own(at(10.0)) - 1e6).abs() < 1e-6);
}
