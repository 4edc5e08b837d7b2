//! Helpers shared by the tests of a single replica.

use lupinledge_consensus::{Ballot, Msg, Output, Replica};

/// Answers a replica that started with a saved state, for all other members, that they have nothing newer.
pub fn resume(replica: &mut Replica, now: f64) {
    let mut out = Vec::new();
    replica.tick(now, &mut out);
    for output in std::mem::take(&mut out) {
        let Output::Send(other, Msg::Resume { nonce, .. }) = output else { continue };
        let (promised, ballot, value, incarnations) = (0, Ballot::default(), None, Vec::new());
        let answer = Msg::ResumeReply { nonce, promised, ballot, value, incarnations, forgotten: false };
        replica.handle_message(now, other, answer, &mut out);
    }
    assert!(!replica.is_resuming() && out.is_empty(), "{out:?}");
}
