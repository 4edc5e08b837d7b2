//! The update store: it never goes back to older versions, and takes over later versions of the same
//! document.

use lupinledge_membership::{Digest, Update, UpdateStore};
use std::rc::Rc;

fn state(epoch: u64, index: u64) -> Update {
    Update { state: Some(((epoch, index), Rc::from([index as u8]))), ..Update::default() }
}

/// Older updates change nothing, in whatever order updates arrive, and a core member accepts documents only
/// from the agreement.
#[test]
fn older_updates_change_nothing() {
    let (no_update, mut store) = (Update::default(), UpdateStore::new(true));
    assert_eq!(store.take(false, state(1, 2)), state(1, 2));
    assert_eq!(
        (store.take(false, state(1, 2)), store.take(false, state(1, 1))),
        (no_update.clone(), no_update.clone())
    );
    let mut core = UpdateStore::new(false);
    assert_eq!(core.take(false, state(1, 2)), no_update);
    assert!(!core.lacks(&store.digest()));
    assert_eq!(core.take(true, state(1, 1)), state(1, 1));
    assert!(
        store.newer_than(&core.digest()).state.is_some() && core.newer_than(&store.digest()) == no_update
    );
}

/// The same document under a later epoch changes the version, without its bytes being sent.
#[test]
fn a_recommitted_document_only_changes_its_version() {
    let (no_update, mut store, mut holder) =
        (Update::default(), UpdateStore::new(true), UpdateStore::new(false));
    store.take(false, state(1, 2));
    let old_digest = store.digest();
    holder.take(true, state(1, 2));
    assert_eq!(holder.take(true, state(4, 2)), no_update);
    assert_eq!((holder.digest().state, holder.newer_than(&old_digest)), ((4, 2), no_update.clone()));
    assert_eq!(store.take_digest(&holder.digest()), no_update);
    assert_eq!((store.digest().state, store.lacks(&holder.digest())), ((4, 2), false));
    // A process without a document fetches it, whatever its index.
    assert!(holder.newer_than(&Digest::default()).state.is_some());
    let mut empty = UpdateStore::new(true);
    empty.take_digest(&holder.digest());
    assert!(empty.lacks(&holder.digest()));
}
