//! Rounds of events and actions, with the decisions counted that the proposed terms would have taken differently.

use lupinledge::interface::*;
use lupinledge::time::{Span, Timestamp};
use lupinledge_shadow::{Divergence, ShadowCounter};
use Outcome::{Error, NoConnection, Passed};

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(100.0 + secs)
}

fn terms(effect: Effect, change: impl FnOnce(&mut Terms)) -> Terms {
    let (target, timeout) = (Span::from_secs(1.0), Span::from_secs(3.0));
    let dedup_memory = Span::from_secs(2.0);
    let (dedup_scope, late_value, value, max_dispatches) = (DedupScope::Zone, 0.0, 1.0, 3);
    let f =
        Frontend { effect, dedup_scope, dedup_memory, target, late_value, value, timeout, max_dispatches };
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

fn shadow_counter(effect: Effect, change: impl FnOnce(&mut Terms)) -> ShadowCounter {
    let mut counter = ShadowCounter::new(terms(effect, change));
    let row = |server: u32, zone| ServerEntry {
        server,
        zone,
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started_at: None,
    };
    let rows = vec![row(1, 0), row(2, 0), row(3, 1)];
    counter.record_events(at(0.0), &[Event::List { kind: ListKind::Full, rows }]);
    counter
}

fn request(id: u64, repeat: bool) -> Event {
    let time_left = Span::from_secs(3.0);
    let (units, customer, spread, zones) = (2.0, 7, 2.0, u64::MAX);
    Event::Req(NewRequest { id, frontend: 0, repeat, units, customer, plan: 0, spread, time_left, zones })
}

fn ended(id: u64, nth: u16, outcome: Outcome) -> Event {
    let closed = outcome == Passed;
    Event::Ended(Ended { id, nth, outcome, took: Span::ZERO, closed, billed: 0.0 }, Vec::new())
}

fn dispatch(id: u64, server: u32) -> Action {
    Action::Dispatch { id, server, limit: Span::ZERO }
}

fn counts(counter: &ShadowCounter) -> Vec<(&'static str, u64)> {
    Divergence::ALL.iter().filter(|k| counter.count(**k) > 0).map(|k| (k.name(), counter.count(*k))).collect()
}

#[test]
fn counts_second_copies_and_excess_attempts() {
    let mut counter =
        shadow_counter(Effect::Replayable, |t| (t.may_duplicate, t.frontends[0].max_dispatches) = (false, 2));
    counter.record_events(at(0.1), &[request(1, false)]);
    counter.record_actions(at(0.1), &[dispatch(1, 1)]);
    counter.record_actions(at(0.4), &[dispatch(1, 2)]);
    assert_eq!(counts(&counter), [("second_copy", 1)]);
    counter.record_events(at(0.5), &[ended(1, 0, Error), ended(1, 1, Error)]);
    counter.record_actions(at(0.5), &[dispatch(1, 3)]);
    assert_eq!(counts(&counter), [("second_copy", 1), ("attempts", 1)]);
    // a request that has ended and has no running attempt is removed
    counter.record_events(at(0.6), &[ended(1, 2, Passed)]);
    assert_eq!(counter.open(), 0);
}

#[test]
fn counts_repeats_and_denials_of_requests_that_may_have_run() {
    let mut counter = shadow_counter(Effect::NonReplayable, |_| {});
    counter.record_events(at(0.1), &[request(1, false), request(2, false)]);
    counter.record_actions(at(0.1), &[dispatch(1, 1), dispatch(2, 1)]);
    counter.record_events(at(0.2), &[ended(1, 0, NoConnection), ended(2, 0, Error)]);
    counter.record_actions(at(0.2), &[dispatch(1, 2)]); // the first attempt never ran
    assert_eq!(counts(&counter), []);
    counter.record_actions(at(0.2), &[dispatch(2, 2)]);
    counter.record_events(at(0.3), &[ended(2, 1, Error)]);
    counter.record_actions(at(0.3), &[Action::Deny { id: 2, back_off: Span::ZERO }]);
    assert_eq!(counts(&counter), [("repeat", 1), ("denial", 1)]);
}

#[test]
fn a_deduplicated_request_may_repeat_only_in_its_zone_and_memory() {
    let mut counter = shadow_counter(Effect::Deduplicated, |t| t.frontends[0].max_dispatches = 9);
    counter.record_events(at(0.1), &[request(1, false)]);
    counter.record_actions(at(0.1), &[dispatch(1, 1)]);
    counter.record_events(at(0.2), &[ended(1, 0, Error)]);
    counter.record_actions(at(0.2), &[dispatch(1, 2)]);
    assert_eq!(counts(&counter), []);
    counter.record_actions(at(0.3), &[dispatch(1, 3)]);
    assert_eq!(counts(&counter), [("repeat", 1)]);
    counter.record_actions(at(2.2), &[dispatch(1, 2)]);
    assert_eq!(counts(&counter), [("repeat", 2)]);
}

#[test]
fn ceiling_shares_start_empty_and_fill() {
    let mut counter = shadow_counter(Effect::Replayable, |t| {
        (t.plans[0].ceiling_rate, t.plans[0].ceiling_burst) = (4.0, 8.0);
    });
    counter.record_events(
        at(0.5),
        &[request(1, false), request(2, false), request(3, false), request(4, false)],
    );
    counter.record_actions(at(0.5), &[dispatch(1, 1)]); // needs two units; one is available
    assert_eq!(counts(&counter), [("ceiling", 1)]);
    counter.record_actions(at(1.5), &[dispatch(2, 1)]);
    assert_eq!(counts(&counter), [("ceiling", 1)]);
    counter.record_actions(at(1.5), &[dispatch(3, 1)]);
    assert_eq!(counts(&counter), [("ceiling", 2)]);
    // another dispatch of the same request takes nothing
    counter.record_events(at(1.6), &[ended(3, 0, Error)]);
    counter.record_actions(at(1.6), &[dispatch(3, 2)]);
    assert_eq!(counts(&counter), [("ceiling", 2)]);
}

#[test]
fn counts_unexpected_marks_and_long_hints() {
    let mut counter = shadow_counter(Effect::Replayable, |t| {
        (t.marks_repeats, t.longest_hint) = (false, Span::from_secs(0.2));
    });
    counter.record_events(at(0.1), &[request(1, true), request(2, false)]);
    let hint = |id, secs| Action::Deny { id, back_off: Span::from_secs(secs) };
    counter.record_actions(at(0.1), &[hint(1, 0.1), hint(2, 0.3)]);
    assert_eq!(counts(&counter), [("unmarked", 1), ("hint", 1)]);
    assert_eq!(counter.open(), 0);
}

#[test]
fn counts_nothing_for_identical_terms() {
    let mut counter = shadow_counter(Effect::Replayable, |_| {});
    counter.record_events(at(0.1), &[request(1, true)]);
    counter.record_actions(at(0.1), &[dispatch(1, 1), dispatch(1, 2)]);
    counter.record_events(at(0.2), &[Event::Left { id: 1 }, ended(1, 0, Outcome::Cancelled)]);
    counter.record_events(at(0.3), &[ended(1, 1, Outcome::Cancelled)]);
    assert_eq!((counts(&counter), counter.open()), (vec![], 0));
}
