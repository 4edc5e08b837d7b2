use super::*;
use lupinledge::interface::Outcome;

/// A burst of one status is cut, tells of what was cut in the next second, and leaves other statuses alone.
#[test]
fn a_burst_is_cut_and_counted() {
    let failures = Failures::default();
    let told = (0..100).filter(|_| failures.turn(7, 429).is_some()).count();
    assert_eq!(told, LINES_PER_SECOND as usize);
    assert_eq!(failures.turn(7, 502), Some(0));
    assert_eq!(failures.turn(8, 429), Some(96));
    assert_eq!(failures.turn(8, 429), Some(0));
}

#[test]
fn attempts_are_described_in_order() {
    let attempt =
        |server: &str, outcome, ms| Attempt { server: server.into(), outcome, duration: Span::millis(ms) };
    let attempts = [attempt("i-1", Outcome::Full, 3), attempt("i-2", Outcome::Reset, 40)];
    assert_eq!(described(&attempts), "i-1:Full:3,i-2:Reset:40");
    assert_eq!(described(&[]), "");
}
