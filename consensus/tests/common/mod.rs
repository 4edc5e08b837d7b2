//! What the tests of single members share.

use lupinledge_consensus::{Ballot, Msg, Output, Replica};

/// Lets a member that started with a state hear from all others that they hold nothing newer.
pub fn resume(queen: &mut Replica, now: f64) {
    let mut out = Vec::new();
    queen.tick(now, &mut out);
    for order in std::mem::take(&mut out) {
        let Output::Send(other, Msg::Resume { nonce, .. }) = order else { continue };
        let (promised, ballot, value, incarnations) = (0, Ballot::default(), None, Vec::new());
        let answer = Msg::ResumeReply { nonce, promised, ballot, value, incarnations, forgotten: false };
        queen.handle_message(now, other, answer, &mut out);
    }
    assert!(!queen.is_resuming() && out.is_empty(), "{out:?}");
}
