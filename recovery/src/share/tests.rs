use super::*;

/// Three gateways; this one adds one unit in `of` of the fleet's.
fn learn(s: &mut Share, of: usize, periods: usize) {
    let mut total = 0.0;
    for _ in 0..periods * 12 {
        total += of as f64;
        s.answered(1.0, total);
    }
}

#[test]
fn an_even_fleet_teaches_the_even_share_and_half_a_fleet_is_a_split() {
    let mut s = Share::new(3.0);
    learn(&mut s, 3, 30);
    assert!((s.alone() - 1.0 / 3.0).abs() < 0.02, "{}", s.alone());
    assert!(!s.split());
    let mut half = Share::new(4.0);
    learn(&mut half, 2, 30);
    assert!(half.split(), "{}", half.alone());
    assert!((half.alone() - 0.5).abs() < 0.05);
}

#[test]
fn a_fallen_total_starts_a_new_period_and_teaches_nothing() {
    let mut s = Share::new(2.0);
    s.answered(1.0, 100.0);
    s.answered(1.0, 1.0);
    assert_eq!(s.alone(), 0.5);
    assert_eq!(Share::new(0.0).even(), 1.0);
}
