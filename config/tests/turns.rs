//! ChangeQueue of changes beside a plain model: who is told what, in which order, and that places are given back.

use lupinledge_config::change_queue::{CallerId, MAX_QUEUED, MAX_QUEUED_BYTES};
use lupinledge_config::ChangeQueue;
use std::collections::BTreeMap;

/// A change as the model has it: a configuration's body, or a zone's order.
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

/// Any arrivals, callers that go, and settlements: every caller that stays is told once, of its own change; no two
/// changes run at once; a zone's order without a caller is not run, and a configuration is, once.
#[test]
fn everybody_is_told_of_their_own_change() {
    bolero::check!().with_type::<u64>().with_iterations(2000).for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let mut turns = ChangeQueue::default();
        let (mut waits, mut running) = (BTreeMap::<CallerId, Change>::new(), None::<Change>);
        // what waits, as the model has it: zones first, each in its order
        let (mut zones, mut puts) = (Vec::<(CallerId, Change)>::new(), Vec::<Change>::new());
        for nth in 0..rng.u64(..80) {
            match rng.usize(..10) {
                0..5 => {
                    let change = match rng.bool() {
                        true => Change::Put(vec![rng.u8(..6); 1 + rng.usize(..2)]),
                        false => Change::Zone(nth),
                    };
                    let Some(caller) = turns.enqueue(change.clone(), change.body()) else {
                        assert!(zones.len() + puts.len() >= MAX_QUEUED, "seed {seed}: refused with room");
                        continue;
                    };
                    assert!(waits.insert(caller, change.clone()).is_none(), "seed {seed}: a number twice");
                    match change.body() {
                        None => zones.push((caller, change)),
                        Some(_) if running.as_ref() == Some(&change) || puts.contains(&change) => {}
                        Some(_) => puts.push(change),
                    }
                }
                5..7 => {
                    let Some(caller) = waits.keys().nth(rng.usize(..8)).copied() else { continue };
                    turns.remove_caller(caller);
                    waits.remove(&caller);
                    zones.retain(|zone| zone.0 != caller);
                }
                7..9 => {
                    let began = turns.start_next();
                    let due = match (&running, zones.is_empty(), puts.is_empty()) {
                        (Some(_), ..) | (None, true, true) => None,
                        (None, false, _) => Some(zones.remove(0).1),
                        (None, true, false) => Some(puts.remove(0)),
                    };
                    assert_eq!(began, due, "seed {seed}");
                    running = running.or(began);
                }
                _ => {
                    let told = turns.finish();
                    let own: Vec<CallerId> = match running.take() {
                        Some(change) => waits.iter().filter(|w| *w.1 == change).map(|w| *w.0).collect(),
                        None => Vec::new(),
                    };
                    assert_eq!(told, own, "seed {seed}");
                    told.iter().for_each(|caller| drop(waits.remove(caller)));
                }
            }
            assert_eq!(turns.queued(), zones.len() + puts.len(), "seed {seed}");
            assert_eq!(turns.is_running(), running.is_some(), "seed {seed}");
            let wanted = running.as_ref().is_some_and(|change| waits.values().any(|w| w == change));
            assert_eq!(turns.has_waiting_callers(), wanted, "seed {seed}");
        }
    });
}

/// The same order at two gateways at once runs once and both are told; another body under its number waits.
#[test]
fn the_same_order_twice_is_one_change() {
    let mut turns = ChangeQueue::default();
    let one = turns.enqueue("a", Some(b"a")).unwrap();
    assert_eq!(turns.start_next(), Some("a"));
    let two = turns.enqueue("a", Some(b"a")).unwrap();
    let other = turns.enqueue("b", Some(b"b")).unwrap();
    assert_eq!((turns.start_next(), turns.queued()), (None, 1));
    assert_eq!(turns.finish(), [one, two]);
    assert_eq!((turns.start_next(), turns.finish()), (Some("b"), vec![other]));
}

/// Orders about zones go ahead, never wait with each other, and fall away with their callers.
#[test]
fn zones_go_ahead_while_their_callers_wait() {
    let mut turns = ChangeQueue::default();
    turns.enqueue("config", Some(b"c")).unwrap();
    let gone = turns.enqueue("evacuate", None).unwrap();
    turns.enqueue("evacuate again", None).unwrap();
    turns.remove_caller(gone);
    assert_eq!(turns.start_next(), Some("evacuate again"));
    turns.finish();
    assert_eq!((turns.start_next(), turns.queued()), (Some("config"), 0));
}

/// Bounded in number and in bytes, with places given back.
#[test]
fn the_queue_is_bounded() {
    let mut turns = ChangeQueue::default();
    let zones: Vec<CallerId> = (0..MAX_QUEUED).filter_map(|_| turns.enqueue((), None)).collect();
    assert_eq!((zones.len(), turns.enqueue((), None)), (MAX_QUEUED, None));
    zones.into_iter().for_each(|caller| turns.remove_caller(caller));
    assert_eq!(turns.queued(), 0);
    let large = |n: u8| vec![n; 3 << 20];
    let taken = (0..64).filter(|n| turns.enqueue((), Some(&large(*n))).is_some()).count();
    assert_eq!(taken, MAX_QUEUED_BYTES / (3 << 20));
    assert!(turns.enqueue((), Some(&large(0))).is_some(), "one that waits already needs no place");
    let mut lone = ChangeQueue::default();
    assert!(lone.enqueue((), Some(&vec![0; MAX_QUEUED_BYTES + 1])).is_some());
}
