//! Guards against unbounded memory while the disk stalls and other nodes keep sending requests: neither the pending
//! replies nor the values that they retain may grow with the number of requests.

mod common;

use common::resume;
use lupinledge_consensus::{Ballot, Msg, Node, Output, PersistentState, Replica, Settings, Value};
use std::rc::{Rc, Weak};

const ME: Node = 1;
const LEADER: Node = 2;
const CHANGES: u64 = 1_000;

fn value(body: u64) -> Rc<Value> {
    Rc::new(Value {
        members: vec![1, 2, 3],
        outgoing: Vec::new(),
        body: body.to_le_bytes().to_vec(),
        cluster: 0,
    })
}

fn replica_with_state() -> Replica {
    let kept = PersistentState {
        ballot: Ballot { epoch: 1 << 32 | 2, index: 1 },
        value: value(0),
        ..PersistentState::default()
    };
    let settings = Settings { me: ME, seeds: vec![1, 2, 3], bootstrap: false, seed: 7, tolerate: 1 };
    let mut replica = Replica::new(0.0, settings, Some(kept));
    resume(&mut replica, 0.0);
    replica
}

fn saves(out: &[Output]) -> Vec<u64> {
    out.iter()
        .filter_map(|out| if let Output::Save(ticket, _) = out { Some(*ticket) } else { None })
        .collect()
}

#[test]
fn repeated_request_gets_one_reply() {
    let (mut replica, mut out) = (replica_with_state(), Vec::new());
    let epoch = 2 << 32 | u64::from(LEADER);
    for round in 0..CHANGES {
        let now = round as f64 * 0.25;
        replica.handle_message(
            now,
            LEADER,
            Msg::Prepare { epoch, have: Ballot::default(), cluster: 0 },
            &mut out,
        );
    }
    let [ticket] = saves(&out)[..] else { panic!("one save at a time") };
    out.clear();
    replica.save_finished(CHANGES as f64, ticket, true, &mut out);
    let promises = out.iter().filter(|out| matches!(out, Output::Send(LEADER, Msg::Promise { .. })));
    assert_eq!(promises.count(), 1);
}

#[test]
fn few_values_are_retained_while_the_disk_stalls() {
    let (mut replica, mut out) = (replica_with_state(), Vec::new());
    let epoch = 2 << 32 | u64::from(LEADER);
    let mut values: Vec<Weak<Value>> = Vec::new();
    for index in 2..CHANGES {
        let now = index as f64 * 0.1;
        replica.handle_message(
            now,
            LEADER,
            Msg::Prepare { epoch, have: Ballot::default(), cluster: 0 },
            &mut out,
        );
        let value = value(index);
        values.push(Rc::downgrade(&value));
        replica.handle_message(
            now,
            LEADER,
            Msg::Accept { ballot: Ballot { epoch, index }, value, incarnation: 0 },
            &mut out,
        );
        // Only the state that is being saved is retained by the disk, at most one.
        out.retain(|out| matches!(out, Output::Save(..)));
    }
    let [ticket] = saves(&out)[..] else { panic!("one save at a time") };
    let retained = values.iter().filter(|value| value.strong_count() > 0).count();
    assert!(retained <= 4, "{retained} values are retained");
    // In the end the replica votes for the newest value.
    out.clear();
    replica.save_finished(CHANGES as f64 * 0.1, ticket, true, &mut out);
    let [ticket] = saves(&out)[..] else { panic!("the newest state is saved next") };
    out.clear();
    replica.save_finished(CHANGES as f64 * 0.1, ticket, true, &mut out);
    let newest = Ballot { epoch, index: CHANGES - 1 };
    let accepts_newest =
        |out: &Output| matches!(out, Output::Send(LEADER, Msg::Accepted { ballot, .. }) if *ballot == newest);
    assert!(out.iter().any(accepts_newest));
}
