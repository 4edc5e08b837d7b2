use super::*;

#[test]
fn no_more_is_sent_than_the_rate_and_the_burst() {
    let mut budget = ByteBudget::new(1000.0);
    let sent = (0..1000).filter(|nth| budget.take(f64::from(*nth) * 0.01, 500)).count();
    assert!((22..=24).contains(&sent), "{sent} of 500 bytes in 10 s, with 2 s kept");
    assert!(!budget.take(1000.0, 2001), "more than the largest burst");
}
