use super::*;
use lupinledge::interface::Outcome;

/// Lines past the limit for one status are left out, the next second's first line gives their number, and
/// other statuses are not affected.
#[test]
fn lines_past_the_limit_are_counted() {
    let failures = FailureLog::default();
    let written = (0..100).filter(|_| failures.admit(7, 429).is_some()).count();
    assert_eq!(written, LINES_PER_SECOND as usize);
    assert_eq!(failures.admit(7, 502), Some(0));
    assert_eq!(failures.admit(8, 429), Some(96));
    assert_eq!(failures.admit(8, 429), Some(0));
}

#[test]
fn attempts_are_formatted_in_order() {
    let attempt =
        |server: &str, outcome, ms| Attempt { server: server.into(), outcome, duration: Span::millis(ms) };
    let attempts = [attempt("i-1", Outcome::Full, 3), attempt("i-2", Outcome::Reset, 40)];
    assert_eq!(format_attempts(&attempts), "i-1:Full:3,i-2:Reset:40");
    assert_eq!(format_attempts(&[]), "");
}
