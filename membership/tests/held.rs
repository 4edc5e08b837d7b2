//! What is held: never back, and a later stamp for what is held.

use lupinledge_membership::{Digest, Update, UpdateStore};
use std::rc::Rc;

fn state(epoch: u64, index: u64) -> Update {
    Update { state: Some(((epoch, index), Rc::from([index as u8]))), ..Update::default() }
}

/// What is older changes nothing, in whatever order news come, and a core member takes documents from the
/// agreement alone.
#[test]
fn never_back() {
    let (none, mut held) = (Update::default(), UpdateStore::new(true));
    assert_eq!(held.take(false, state(1, 2)), state(1, 2));
    assert_eq!((held.take(false, state(1, 2)), held.take(false, state(1, 1))), (none.clone(), none.clone()));
    let mut core = UpdateStore::new(false);
    assert_eq!(core.take(false, state(1, 2)), none);
    assert!(!core.lacks(&held.digest()));
    assert_eq!(core.take(true, state(1, 1)), state(1, 1));
    assert!(held.newer_than(&core.digest()).state.is_some() && core.newer_than(&held.digest()) == none);
}

/// The same document under a later epoch costs a stamp, not its bytes.
#[test]
fn committed_again() {
    let (none, mut held, mut holder) = (Update::default(), UpdateStore::new(true), UpdateStore::new(false));
    held.take(false, state(1, 2));
    let late = held.digest();
    holder.take(true, state(1, 2));
    assert_eq!(holder.take(true, state(4, 2)), none);
    assert_eq!((holder.digest().state, holder.newer_than(&late)), ((4, 2), none.clone()));
    assert_eq!(held.take_digest(&holder.digest()), none);
    assert_eq!((held.digest().state, held.lacks(&holder.digest())), ((4, 2), false));
    // one without any document asks for it, whatever its index
    assert!(holder.newer_than(&Digest::default()).state.is_some());
    let mut new = UpdateStore::new(true);
    new.take_digest(&holder.digest());
    assert!(new.lacks(&holder.digest()));
}
