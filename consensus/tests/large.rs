//! A large value on its way to members that don't answer, or wanted from a holder that doesn't: how often it is sent,
//! or asked for, again.

mod common;

use common::resume;
use lupinledge_consensus::{Ballot, Msg, Node, Output, PersistentState, Replica, Settings, Value};
use std::collections::BTreeMap;
use std::rc::Rc;

const OTHERS: [Node; 2] = [2, 3];

/// How often each member was sent the value in ten seconds, of a holder that nobody votes for.
fn sent(body: usize) -> BTreeMap<Node, usize> {
    let settings = Settings { me: 1, seeds: vec![1, 2, 3], bootstrap: true, seed: 7, tolerate: 1 };
    let mut queen = Replica::new(0.0, settings, None);
    let (mut now, mut proposed, mut counts) = (0.0, None, BTreeMap::new());
    while proposed.is_none_or(|at| now < at + 10.0) {
        now += 0.01;
        let mut out = Vec::new();
        queen.tick(now, &mut out);
        if proposed.is_none() && queen.leading_epoch(now).is_some() {
            proposed = Some(now);
            queen.propose(now, 1, vec![0; body], &mut out);
        }
        while let Some(order) = (!out.is_empty()).then(|| out.remove(0)) {
            let (to, msg) = match order {
                Output::Send(to, msg) if OTHERS.contains(&to) => (to, msg),
                Output::Save(ticket, _) => {
                    queen.save_finished(now, ticket, true, &mut out);
                    continue;
                }
                _ => continue,
            };
            let (ballot, incarnation, incarnations) = (Ballot::default(), 0, Vec::new());
            let answer = match msg {
                Msg::PreVote { n, .. } => Msg::PreVoteGranted { n, promised: 0 },
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
            queen.handle_message(now, to, answer, &mut out);
        }
        assert!(now < 60.0, "nobody leads");
    }
    counts
}

#[test]
fn a_small_value_is_sent_again_soon() {
    assert!(sent(10_000).values().all(|times| (35..=42).contains(times)));
}

#[test]
fn copies_of_a_large_value_do_not_queue_on_a_slow_link() {
    for body in [1 << 20, 3 << 20] {
        let counts = sent(body);
        assert_eq!(counts.len(), 2);
        // 2.1 Mbit/s and one copy ahead
        let most = |times: &usize| *times * body <= 2_560_000 + body;
        assert!(counts.values().all(most), "{body} bytes: {counts:?}");
    }
}

/// How often a member that is behind asks for the newest in ten seconds, of a holder that does not answer that.
fn asked(body: usize) -> usize {
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
    let (mut queen, mut out) = (Replica::new(0.0, settings, Some(kept)), Vec::new());
    resume(&mut queen, 0.0);
    for nth in 1..=100 {
        let commit = Ballot { epoch, index: 1 + nth };
        queen.handle_message(
            nth as f64 * 0.1,
            2,
            Msg::Heartbeat { epoch, commit, nonce: nth, cluster: 0 },
            &mut out,
        );
    }
    out.iter().filter(|out| matches!(out, Output::Send(2, Msg::Fetch { .. }))).count()
}

#[test]
fn a_large_value_is_not_asked_for_again_before_it_can_be_here() {
    assert!((45..=50).contains(&asked(10_000)));
    assert!((2..=3).contains(&asked(1 << 20)), "{}", asked(1 << 20));
}
