use super::*;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

fn poll(ask: &mut ProgressQuery) -> Poll<Progress> {
    let answer = pin!(ask.answer());
    answer.poll(&mut Context::from_waker(Waker::noop()))
}

/// An answer counts once for each node that was asked, and under its own tag.
#[test]
fn only_those_that_were_asked_answer() {
    let asks = ProgressQueries::new(7);
    let mut ask = asks.open(&[1, 2]);
    asks.told(3, ask.tag, Progress::Running);
    asks.told(1, ask.tag + 1, Progress::Running);
    asks.told(1, ask.tag, Progress::Unknown);
    asks.told(1, ask.tag, Progress::Running);
    assert_eq!(poll(&mut ask), Poll::Pending);
    asks.told(2, ask.tag, Progress::Lost);
    assert_eq!(poll(&mut ask), Poll::Ready(Progress::Lost));
}

/// Nothing is known once nobody that was asked knows anything; a question that is dropped is forgotten.
#[test]
fn nobody_knows() {
    let asks = ProgressQueries::new(7);
    let mut ask = asks.open(&[1, 2]);
    asks.told(2, ask.tag, Progress::Unknown);
    assert_eq!(poll(&mut ask), Poll::Pending);
    asks.told(1, ask.tag, Progress::Unknown);
    assert_eq!(poll(&mut ask), Poll::Ready(Progress::Unknown));
    drop((asks.open(&[3]), ask));
    assert!(asks.open.borrow().is_empty());
}
