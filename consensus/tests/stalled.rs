//! A disk that does nothing while others go on asking: what waits for it does not grow with them.

mod common;

use common::resume;
use lupinledge_consensus::{Ballot, Msg, Node, Output, PersistentState, Replica, Settings, Value};
use std::rc::{Rc, Weak};

const ME: Node = 1;
const HOLDER: Node = 2;
const CHANGES: u64 = 1_000;

fn value(body: u64) -> Rc<Value> {
    Rc::new(Value {
        members: vec![1, 2, 3],
        outgoing: Vec::new(),
        body: body.to_le_bytes().to_vec(),
        cluster: 0,
    })
}

fn member() -> Replica {
    let kept = PersistentState {
        ballot: Ballot { epoch: 1 << 32 | 2, index: 1 },
        value: value(0),
        ..PersistentState::default()
    };
    let settings = Settings { me: ME, seeds: vec![1, 2, 3], bootstrap: false, seed: 7, tolerate: 1 };
    let mut queen = Replica::new(0.0, settings, Some(kept));
    resume(&mut queen, 0.0);
    queen
}

fn saves(out: &[Output]) -> Vec<u64> {
    out.iter()
        .filter_map(|out| if let Output::Save(ticket, _) = out { Some(*ticket) } else { None })
        .collect()
}

#[test]
fn a_question_sent_again_is_answered_once() {
    let (mut queen, mut out) = (member(), Vec::new());
    let epoch = 2 << 32 | u64::from(HOLDER);
    for nth in 0..CHANGES {
        let now = nth as f64 * 0.25;
        queen.handle_message(
            now,
            HOLDER,
            Msg::Prepare { epoch, have: Ballot::default(), cluster: 0 },
            &mut out,
        );
    }
    let [ticket] = saves(&out)[..] else { panic!("one save at a time") };
    out.clear();
    queen.save_finished(CHANGES as f64, ticket, true, &mut out);
    let promises = out.iter().filter(|out| matches!(out, Output::Send(HOLDER, Msg::Promise { .. })));
    assert_eq!(promises.count(), 1);
}

#[test]
fn values_that_wait_for_a_stalled_disk_are_few() {
    let (mut queen, mut out) = (member(), Vec::new());
    let epoch = 2 << 32 | u64::from(HOLDER);
    let mut values: Vec<Weak<Value>> = Vec::new();
    for index in 2..CHANGES {
        let now = index as f64 * 0.1;
        queen.handle_message(
            now,
            HOLDER,
            Msg::Prepare { epoch, have: Ballot::default(), cluster: 0 },
            &mut out,
        );
        let value = value(index);
        values.push(Rc::downgrade(&value));
        queen.handle_message(
            now,
            HOLDER,
            Msg::Accept { ballot: Ballot { epoch, index }, value, incarnation: 0 },
            &mut out,
        );
        // what it ordered is with the disk, which holds one state at the most
        out.retain(|out| matches!(out, Output::Save(..)));
    }
    let [ticket] = saves(&out)[..] else { panic!("one save at a time") };
    let held = values.iter().filter(|value| value.strong_count() > 0).count();
    assert!(held <= 4, "{held} values are held");
    // and the newest of all is what is voted for in the end
    out.clear();
    queen.save_finished(CHANGES as f64 * 0.1, ticket, true, &mut out);
    let [ticket] = saves(&out)[..] else { panic!("the newest is saved next") };
    out.clear();
    queen.save_finished(CHANGES as f64 * 0.1, ticket, true, &mut out);
    let newest = Ballot { epoch, index: CHANGES - 1 };
    let voted =
        |out: &Output| matches!(out, Output::Send(HOLDER, Msg::Accepted { ballot, .. }) if *ballot == newest);
    assert!(out.iter().any(voted));
}
