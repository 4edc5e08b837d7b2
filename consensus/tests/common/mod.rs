//! What the tests of single members share.

use lupinledge_consensus::{Ballot, Msg, Out, Queen};

/// Lets a member that started with a state hear from all others that they hold nothing newer.
pub fn resume(queen: &mut Queen, now: f64) {
    let mut out = Vec::new();
    queen.tick(now, &mut out);
    for order in std::mem::take(&mut out) {
        let Out::Send(other, Msg::Resume { nonce, .. }) = order else { continue };
        let (promised, ballot, value, incarnations) = (0, Ballot::default(), None, Vec::new());
        let answer = Msg::Resumed { nonce, promised, ballot, value, incarnations, forgotten: false };
        queen.heard(now, other, answer, &mut out);
    }
    assert!(!queen.resuming() && out.is_empty(), "{out:?}");
}
