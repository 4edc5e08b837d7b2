//! Injected faults in how edge nodes apply updates, in particular updates that arrive as patches.

use crate::Flaw;
use lupinledge_config::Document;
use lupinledge_membership::patch::{checksum, Checksum};
use lupinledge_membership::{GossipMessage, Patch, Update, UpdateStore, Version};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The documents that a node with [`Flaw::OlderNews`] keeps as bases for patches, by checksum.
pub type DocumentsByChecksum = BTreeMap<Checksum, Rc<[u8]>>;

/// With [`Flaw::MergedAway`] a document that arrives within this time of the one before is dropped, seconds.
const DROP_INTERVAL: f64 = 0.6;

/// The document that a node with [`Flaw::AnyPatchBase`] or [`Flaw::PatchTwice`] makes of a message; `None` if the flaw
/// has no effect on it.
pub fn misapplied(flaw: Flaw, store: &UpdateStore, message: &GossipMessage) -> Option<(Version, Rc<[u8]>)> {
    let GossipMessage::Patches { patches, .. } = message else { return None };
    let (version, patch) = patches.state.as_ref()?;
    let newest = store.newest().state.as_ref()?;
    // A result that cannot be decoded would be noticed, so it is not a fault of this kind.
    let decodes = |bytes: &Vec<u8>| rmp_serde::from_slice::<Document>(bytes).is_ok();
    let unpacked =
        |patch: &Patch, base: &[u8]| patch.unpack(patch.base.map(|_| base)).filter(decodes).map(Rc::from);
    match flaw {
        Flaw::AnyPatchBase if *version > newest.0 => Some((*version, unpacked(patch, &newest.1)?)),
        Flaw::PatchTwice if *version == newest.0 => Some((*version, unpacked(patch, &newest.1)?)),
        _ => None,
    }
}

/// The document that a node with [`Flaw::OlderNews`] takes from a message, even if it is older than its own.
pub fn accept_older(
    flaw: Flaw,
    documents: &mut DocumentsByChecksum,
    message: &GossipMessage,
) -> Option<(Version, Rc<[u8]>)> {
    if flaw != Flaw::OlderNews {
        return None;
    }
    let (version, bytes) = match message {
        GossipMessage::Update { state: Some((version, bytes)), .. } => (*version, bytes.clone()),
        GossipMessage::Patches { patches, .. } => {
            let (version, patch) = patches.state.as_ref()?;
            let base = patch.base.map(|sum| documents.get(&sum).cloned());
            let base = if let Some(base) = base { Some(base?) } else { None };
            (*version, patch.apply(base.as_deref())?)
        }
        _ => return None,
    };
    documents.insert(checksum(&bytes), bytes.clone());
    Some((version, bytes))
}

/// Removes the document from an update if the node has [`Flaw::MergedAway`] and received the previous one, at
/// `last_received`, just before.
pub fn drop_rapid_state(flaw: Flaw, now: f64, last_received: &mut f64, mut update: Update) -> Update {
    if update.state.is_some() {
        if flaw == Flaw::MergedAway && now - *last_received < DROP_INTERVAL {
            update.state = None;
        } else {
            *last_received = now;
        }
    }
    update
}
