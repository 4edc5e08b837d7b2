use super::*;

#[test]
fn a_third_of_the_quota_and_no_more_over_an_outage() {
    let t0 = Point::from_secs(10.0);
    let mut a = Allowance::start(t0, 2.0, 4.0, 1.0, 1.0 / 3.0);
    let mut taken = 0.0;
    for i in 0..6000 {
        if a.take(t0.later(i as f64 * 0.01), 1.0) {
            taken += 1.0;
        }
    }
    // 60 s at 2 units a second, a third of it, plus what the room held: 40 units, one store of slack.
    assert!((39.0..=41.0).contains(&taken), "{taken}");
    assert!(a.wait(t0.later(60.0), 1.0) > 0.0);
    let mut none = Allowance::start(t0, 0.0, 0.0, 0.0, 1.0);
    assert!(!none.take(t0, 1.0));
    assert_eq!(none.wait(t0, 1.0), f64::INFINITY);
}
