//! Guards against flooding a slow link with a large value: it must not be resent to members that don't answer, or
//! fetched again from a leader that doesn't, before it can have been transferred.

mod common;

use common::resume;
use lupinledge_consensus::{Ballot, Msg, Node, Output, PersistentState, Replica, Settings, Value};
use std::collections::BTreeMap;
use std::rc::Rc;

const OTHERS: [Node; 2] = [2, 3];

/// Counts how often a leader that gets no votes sends the value to each member within ten seconds.
fn count_sends(body: usize) -> BTreeMap<Node, usize> {
    let settings = Settings { me: 1, seeds: vec![1, 2, 3], bootstrap: true, seed: 7, tolerate: 1 };
    let mut replica = Replica::new(0.0, settings, None);
    let (mut now, mut proposed, mut counts) = (0.0, None, BTreeMap::new());
    while proposed.is_none_or(|at| now < at + 10.0) {
        now += 0.01;
        let mut out = Vec::new();
        replica.tick(now, &mut out);
        if proposed.is_none() && replica.leading_epoch(now).is_some() {
            proposed = Some(now);
            replica.propose(now, 1, vec![0; body], &mut out);
        }
        while let Some(output) = (!out.is_empty()).then(|| out.remove(0)) {
            let (to, msg) = match output {
                Output::Send(to, msg) if OTHERS.contains(&to) => (to, msg),
                Output::Save(ticket, _) => {
                    replica.save_finished(now, ticket, true, &mut out);
                    continue;
                }
                _ => continue,
            };
            let (ballot, incarnation, incarnations) = (Ballot::default(), 0, Vec::new());
            let answer = match msg {
                Msg::PreVote { nonce, .. } => Msg::PreVoteGranted { nonce, promised: 0 },
                Msg::Prepare { epoch, .. } => {
                    Msg::Promise { epoch, ballot, value: None, incarnation, incarnations }
                }
                Msg::Heartbeat { epoch, nonce, .. } => Msg::HeartbeatOk { epoch, nonce },
                Msg::Accept { ballot, .. } if proposed.is_none() => {
                    Msg::Accepted { ballot, incarnation, incarnations }
                }
                Msg::Accept { .. } => {
                    *counts.entry(to).or_default() += 1;
                    continue;
                }
                _ => continue,
            };
            replica.handle_message(now, to, answer, &mut out);
        }
        assert!(now < 60.0, "no leader was elected");
    }
    counts
}

#[test]
fn small_value_is_resent_quickly() {
    assert!(count_sends(10_000).values().all(|times| (35..=42).contains(times)));
}

#[test]
fn resent_large_values_do_not_queue_on_a_slow_link() {
    for body in [1 << 20, 3 << 20] {
        let counts = count_sends(body);
        assert_eq!(counts.len(), 2);
        // 2.1 Mbit/s, and one copy that may be sent at the start.
        let within_link_rate = |times: &usize| *times * body <= 2_560_000 + body;
        assert!(counts.values().all(within_link_rate), "{body} bytes: {counts:?}");
    }
}

/// Counts how often a member that is behind fetches the newest value within ten seconds from a leader that doesn't
/// answer.
fn count_fetches(body: usize) -> usize {
    let (epoch, index) = (1 << 32 | 2, 1);
    let value =
        Rc::new(Value { members: vec![1, 2, 3], outgoing: Vec::new(), body: vec![0; body], cluster: 0 });
    let kept = PersistentState {
        promised: epoch,
        ballot: Ballot { epoch, index },
        value,
        ..PersistentState::default()
    };
    let settings = Settings { me: 1, seeds: vec![1, 2, 3], bootstrap: false, seed: 7, tolerate: 1 };
    let (mut replica, mut out) = (Replica::new(0.0, settings, Some(kept)), Vec::new());
    resume(&mut replica, 0.0);
    for round in 1..=100 {
        let commit = Ballot { epoch, index: 1 + round };
        replica.handle_message(
            round as f64 * 0.1,
            2,
            Msg::Heartbeat { epoch, commit, nonce: round, cluster: 0 },
            &mut out,
        );
    }
    out.iter().filter(|out| matches!(out, Output::Send(2, Msg::Fetch { .. }))).count()
}

#[test]
fn large_value_is_not_fetched_again_before_it_can_have_arrived() {
    assert!((45..=50).contains(&count_fetches(10_000)));
    assert!((2..=3).contains(&count_fetches(1 << 20)), "{}", count_fetches(1 << 20));
}
