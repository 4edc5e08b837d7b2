//! The queue of changes compared with a simple model: order of the changes, callers that get the result, bounds.

use lupinledge_config::change_queue::{CallerId, MAX_QUEUED, MAX_QUEUED_BYTES};
use lupinledge_config::ChangeQueue;
use std::collections::BTreeMap;

/// A change: the body of a configuration, or an order about a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Change {
    Put(Vec<u8>),
    Zone(u64),
}

impl Change {
    fn body(&self) -> Option<&[u8]> {
        match self {
            Change::Put(body) => Some(body),
            Change::Zone(_) => None,
        }
    }
}

/// With any sequence of arrivals, departures and results, every caller that stays gets one result, that of its own
/// change; no two changes run at once; an order about a zone is not run without a caller, and a configuration is run
/// once, with or without one.
#[test]
fn every_caller_gets_the_result_of_its_own_change() {
    bolero::check!().with_type::<u64>().with_iterations(2000).for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let mut queue = ChangeQueue::default();
        let (mut waiting, mut running) = (BTreeMap::<CallerId, Change>::new(), None::<Change>);
        // the queue of the model: orders about zones first, each kind in order of arrival
        let (mut zone_orders, mut configs) = (Vec::<(CallerId, Change)>::new(), Vec::<Change>::new());
        for nth in 0..rng.u64(..80) {
            match rng.usize(..10) {
                0..5 => {
                    let change = match rng.bool() {
                        true => Change::Put(vec![rng.u8(..6); 1 + rng.usize(..2)]),
                        false => Change::Zone(nth),
                    };
                    let Some(caller) = queue.enqueue(change.clone(), change.body()) else {
                        assert!(
                            zone_orders.len() + configs.len() >= MAX_QUEUED,
                            "seed {seed}: refused although the queue has room"
                        );
                        continue;
                    };
                    assert!(
                        waiting.insert(caller, change.clone()).is_none(),
                        "seed {seed}: a caller id was assigned twice"
                    );
                    match change.body() {
                        None => zone_orders.push((caller, change)),
                        Some(_) if running.as_ref() == Some(&change) || configs.contains(&change) => {}
                        Some(_) => configs.push(change),
                    }
                }
                5..7 => {
                    let Some(caller) = waiting.keys().nth(rng.usize(..8)).copied() else { continue };
                    queue.remove_caller(caller);
                    waiting.remove(&caller);
                    zone_orders.retain(|order| order.0 != caller);
                }
                7..9 => {
                    let started = queue.start_next();
                    let expected = match (&running, zone_orders.is_empty(), configs.is_empty()) {
                        (Some(_), ..) | (None, true, true) => None,
                        (None, false, _) => Some(zone_orders.remove(0).1),
                        (None, true, false) => Some(configs.remove(0)),
                    };
                    assert_eq!(started, expected, "seed {seed}");
                    running = running.or(started);
                }
                _ => {
                    let callers = queue.finish();
                    let expected: Vec<CallerId> = match running.take() {
                        Some(change) => waiting.iter().filter(|w| *w.1 == change).map(|w| *w.0).collect(),
                        None => Vec::new(),
                    };
                    assert_eq!(callers, expected, "seed {seed}");
                    callers.iter().for_each(|caller| drop(waiting.remove(caller)));
                }
            }
            assert_eq!(queue.queued(), zone_orders.len() + configs.len(), "seed {seed}");
            assert_eq!(queue.is_running(), running.is_some(), "seed {seed}");
            let has_callers = running.as_ref().is_some_and(|change| waiting.values().any(|w| w == change));
            assert_eq!(queue.has_waiting_callers(), has_callers, "seed {seed}");
        }
    });
}

/// A configuration that is sent twice is run once, and both callers get the result. A different one is queued.
#[test]
fn the_same_configuration_twice_is_one_change() {
    let mut queue = ChangeQueue::default();
    let first = queue.enqueue("a", Some(b"a")).unwrap();
    assert_eq!(queue.start_next(), Some("a"));
    let second = queue.enqueue("a", Some(b"a")).unwrap();
    let other = queue.enqueue("b", Some(b"b")).unwrap();
    assert_eq!((queue.start_next(), queue.queued()), (None, 1));
    assert_eq!(queue.finish(), [first, second]);
    assert_eq!((queue.start_next(), queue.finish()), (Some("b"), vec![other]));
}

/// Orders about zones go ahead of configurations, are not merged with each other, and are removed with their callers.
#[test]
fn orders_about_zones_go_ahead_while_their_callers_wait() {
    let mut queue = ChangeQueue::default();
    queue.enqueue("config", Some(b"c")).unwrap();
    let leaving = queue.enqueue("evacuate", None).unwrap();
    queue.enqueue("evacuate again", None).unwrap();
    queue.remove_caller(leaving);
    assert_eq!(queue.start_next(), Some("evacuate again"));
    queue.finish();
    assert_eq!((queue.start_next(), queue.queued()), (Some("config"), 0));
}

/// The queue is bounded in number and in bytes, and has room again when callers leave.
#[test]
fn the_queue_is_bounded() {
    let mut queue = ChangeQueue::default();
    let callers: Vec<CallerId> = (0..MAX_QUEUED).filter_map(|_| queue.enqueue((), None)).collect();
    assert_eq!((callers.len(), queue.enqueue((), None)), (MAX_QUEUED, None));
    callers.into_iter().for_each(|caller| queue.remove_caller(caller));
    assert_eq!(queue.queued(), 0);
    let large_body = |n: u8| vec![n; 3 << 20];
    let accepted = (0..64).filter(|n| queue.enqueue((), Some(&large_body(*n))).is_some()).count();
    assert_eq!(accepted, MAX_QUEUED_BYTES / (3 << 20));
    assert!(
        queue.enqueue((), Some(&large_body(0))).is_some(),
        "a queued configuration sent again needs no room"
    );
    let mut empty_queue = ChangeQueue::default();
    assert!(empty_queue.enqueue((), Some(&vec![0; MAX_QUEUED_BYTES + 1])).is_some());
}
