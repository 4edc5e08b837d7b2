//! One round of events and actions a case: what the terms to come would have decided otherwise is counted.

use lupinledge::interface::*;
use lupinledge::time::{Span, Timestamp};
use lupinledge_shadow::{Divergence, ShadowCounter};
use Outcome::{Error, NoConnection, Passed};

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(100.0 + secs)
}

fn terms(effect: Effect, change: impl FnOnce(&mut Terms)) -> Terms {
    let (target, timeout) = (Span::from_secs(1.0), Span::from_secs(3.0));
    let memory = Span::from_secs(2.0);
    let (group, late_value, value, max_dispatches) = (DedupScope::Zone, 0.0, 1.0, 3);
    let f = Frontend { effect, group, memory, target, late_value, value, timeout, max_dispatches };
    let plan = Plan {
        rate: 0.0,
        burst: 0.0,
        price: 1.0,
        at_once: 0,
        overrun_value: 0.0,
        overrun_cost: 1.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
    };
    let mut t = Terms {
        frontends: vec![f],
        plans: vec![plan],
        may_duplicate: true,
        marks_repeats: true,
        may_hint: true,
        longest_hint: Span::from_secs(1.0),
        ..Terms::default()
    };
    change(&mut t);
    t
}

fn watch(effect: Effect, change: impl FnOnce(&mut Terms)) -> ShadowCounter {
    let mut w = ShadowCounter::new(terms(effect, change));
    let row = |server: u32, zone| ServerEntry {
        server,
        zone,
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started_at: None,
    };
    let rows = vec![row(1, 0), row(2, 0), row(3, 1)];
    w.record_events(at(0.0), &[Event::List { kind: ListKind::Full, rows }]);
    w
}

fn req(id: u64, repeat: bool) -> Event {
    let time_left = Span::from_secs(3.0);
    let (units, customer, spread, zones) = (2.0, 7, 2.0, u64::MAX);
    Event::Req(NewRequest { id, frontend: 0, repeat, units, customer, plan: 0, spread, time_left, zones })
}

fn ended(id: u64, nth: u16, outcome: Outcome) -> Event {
    let closed = outcome == Passed;
    Event::Ended(Ended { id, nth, outcome, took: Span::ZERO, closed, billed: 0.0 }, Vec::new())
}

fn send(id: u64, server: u32) -> Action {
    Action::Dispatch { id, server, limit: Span::ZERO }
}

fn counts(w: &ShadowCounter) -> Vec<(&'static str, u64)> {
    Divergence::ALL.iter().filter(|k| w.count(**k) > 0).map(|k| (k.name(), w.count(*k))).collect()
}

#[test]
fn second_copies_and_attempts() {
    let mut w = watch(Effect::Replayable, |t| (t.may_duplicate, t.frontends[0].max_dispatches) = (false, 2));
    w.record_events(at(0.1), &[req(1, false)]);
    w.record_actions(at(0.1), &[send(1, 1)]);
    w.record_actions(at(0.4), &[send(1, 2)]);
    assert_eq!(counts(&w), [("second_copy", 1)]);
    w.record_events(at(0.5), &[ended(1, 0, Error), ended(1, 1, Error)]);
    w.record_actions(at(0.5), &[send(1, 3)]);
    assert_eq!(counts(&w), [("second_copy", 1), ("attempts", 1)]);
    // as long as nothing of it is out, a req that has ended is not kept
    w.record_events(at(0.6), &[ended(1, 2, Passed)]);
    assert_eq!(w.open(), 0);
}

#[test]
fn what_must_not_run_twice() {
    let mut w = watch(Effect::NonReplayable, |_| {});
    w.record_events(at(0.1), &[req(1, false), req(2, false)]);
    w.record_actions(at(0.1), &[send(1, 1), send(2, 1)]);
    w.record_events(at(0.2), &[ended(1, 0, NoConnection), ended(2, 0, Error)]);
    w.record_actions(at(0.2), &[send(1, 2)]); // it never ran
    assert_eq!(counts(&w), []);
    w.record_actions(at(0.2), &[send(2, 2)]);
    w.record_events(at(0.3), &[ended(2, 1, Error)]);
    w.record_actions(at(0.3), &[Action::Deny { id: 2, back_off: Span::ZERO }]);
    assert_eq!(counts(&w), [("repeat", 1), ("denial", 1)]);
}

#[test]
fn a_uniqued_req_stays_in_its_zone_and_memory() {
    let mut w = watch(Effect::Deduplicated, |t| t.frontends[0].max_dispatches = 9);
    w.record_events(at(0.1), &[req(1, false)]);
    w.record_actions(at(0.1), &[send(1, 1)]);
    w.record_events(at(0.2), &[ended(1, 0, Error)]);
    w.record_actions(at(0.2), &[send(1, 2)]);
    assert_eq!(counts(&w), []);
    w.record_actions(at(0.3), &[send(1, 3)]);
    assert_eq!(counts(&w), [("repeat", 1)]);
    w.record_actions(at(2.2), &[send(1, 2)]);
    assert_eq!(counts(&w), [("repeat", 2)]);
}

#[test]
fn slices_of_a_ceiling_start_empty_and_fill() {
    let mut w = watch(Effect::Replayable, |t| {
        (t.plans[0].ceiling_rate, t.plans[0].ceiling_burst) = (4.0, 8.0);
    });
    w.record_events(at(0.5), &[req(1, false), req(2, false), req(3, false), req(4, false)]);
    w.record_actions(at(0.5), &[send(1, 1)]); // one unit of two is there
    assert_eq!(counts(&w), [("ceiling", 1)]);
    w.record_actions(at(1.5), &[send(2, 1)]);
    assert_eq!(counts(&w), [("ceiling", 1)]);
    w.record_actions(at(1.5), &[send(3, 1)]);
    assert_eq!(counts(&w), [("ceiling", 2)]);
    // a further dispatch of the same req takes nothing
    w.record_events(at(1.6), &[ended(3, 0, Error)]);
    w.record_actions(at(1.6), &[send(3, 2)]);
    assert_eq!(counts(&w), [("ceiling", 2)]);
}

#[test]
fn marks_and_hints() {
    let mut w = watch(Effect::Replayable, |t| {
        (t.marks_repeats, t.longest_hint) = (false, Span::from_secs(0.2));
    });
    w.record_events(at(0.1), &[req(1, true), req(2, false)]);
    let hint = |id, secs| Action::Deny { id, back_off: Span::from_secs(secs) };
    w.record_actions(at(0.1), &[hint(1, 0.1), hint(2, 0.3)]);
    assert_eq!(counts(&w), [("unmarked", 1), ("hint", 1)]);
    assert_eq!(w.open(), 0);
}

#[test]
fn the_same_terms_count_nothing() {
    let mut w = watch(Effect::Replayable, |_| {});
    w.record_events(at(0.1), &[req(1, true)]);
    w.record_actions(at(0.1), &[send(1, 1), send(1, 2)]);
    w.record_events(at(0.2), &[Event::Left { id: 1 }, ended(1, 0, Outcome::Cancelled)]);
    w.record_events(at(0.3), &[ended(1, 1, Outcome::Cancelled)]);
    assert_eq!((counts(&w), w.open()), (vec![], 0));
}
