use super::*;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

fn poll(query: &mut ProgressQuery) -> Poll<Progress> {
    let answer = pin!(query.answer());
    answer.poll(&mut Context::from_waker(Waker::noop()))
}

/// An answer counts once for each node that was asked, and only under its own tag.
#[test]
fn only_nodes_that_were_asked_count() {
    let queries = ProgressQueries::new(7);
    let mut query = queries.open(&[1, 2]);
    queries.on_answer(3, query.tag, Progress::Running);
    queries.on_answer(1, query.tag + 1, Progress::Running);
    queries.on_answer(1, query.tag, Progress::Unknown);
    queries.on_answer(1, query.tag, Progress::Running);
    assert_eq!(poll(&mut query), Poll::Pending);
    queries.on_answer(2, query.tag, Progress::Lost);
    assert_eq!(poll(&mut query), Poll::Ready(Progress::Lost));
}

/// The result is unknown once all nodes that were asked have answered so; a query that is dropped is
/// forgotten.
#[test]
fn unknown_once_all_nodes_say_so() {
    let queries = ProgressQueries::new(7);
    let mut query = queries.open(&[1, 2]);
    queries.on_answer(2, query.tag, Progress::Unknown);
    assert_eq!(poll(&mut query), Poll::Pending);
    queries.on_answer(1, query.tag, Progress::Unknown);
    assert_eq!(poll(&mut query), Poll::Ready(Progress::Unknown));
    drop((queries.open(&[3]), query));
    assert!(queries.open_queries.borrow().is_empty());
}
