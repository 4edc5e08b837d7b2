//! Planted faults of news that come as patches: what an edge node takes that works by them.

use crate::Flaw;
use lupinledge_config::Document;
use lupinledge_membership::patch::{checksum, Checksum};
use lupinledge_membership::{GossipMessage, Patch, Update, UpdateStore, Version};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Documents by their sums, as a node keeps them that takes older news.
pub type Old = BTreeMap<Checksum, Rc<[u8]>>;

/// News within so many seconds of the last are forgotten by an edge node that merges badly.
const MERGE: f64 = 0.6;

/// What a node with the flaw takes for the document that these words bring; none where the flaw has no say.
pub fn spoilt(flaw: Flaw, held: &UpdateStore, said: &GossipMessage) -> Option<(Version, Rc<[u8]>)> {
    let GossipMessage::Patches { patches, .. } = said else { return None };
    let (stamp, patch) = patches.state.as_ref()?;
    let newest = held.newest().state.as_ref()?;
    // what does not read at all is no fault of this kind
    let reads = |bytes: &Vec<u8>| rmp_serde::from_slice::<Document>(bytes).is_ok();
    let built =
        |patch: &Patch, base: &[u8]| patch.unpack(patch.base.map(|_| base)).filter(reads).map(Rc::from);
    match flaw {
        Flaw::AnyPatchBase if *stamp > newest.0 => Some((*stamp, built(patch, &newest.1)?)),
        Flaw::PatchTwice if *stamp == newest.0 => Some((*stamp, built(patch, &newest.1)?)),
        _ => None,
    }
}

/// What a node takes that takes whatever comes.
pub fn older(flaw: Flaw, old: &mut Old, said: &GossipMessage) -> Option<(Version, Rc<[u8]>)> {
    if flaw != Flaw::OlderNews {
        return None;
    }
    let (stamp, bytes) = match said {
        GossipMessage::Update { state: Some((stamp, bytes)), .. } => (*stamp, bytes.clone()),
        GossipMessage::Patches { patches, .. } => {
            let (stamp, patch) = patches.state.as_ref()?;
            let base = patch.base.map(|sum| old.get(&sum).cloned());
            let base = if let Some(base) = base { Some(base?) } else { None };
            (*stamp, patch.apply(base.as_deref())?)
        }
        _ => return None,
    };
    old.insert(checksum(&bytes), bytes.clone());
    Some((stamp, bytes))
}

/// What is left of what came, `last` being when something was taken last.
pub fn merged(flaw: Flaw, now: f64, last: &mut f64, mut fresh: Update) -> Update {
    if fresh.state.is_some() {
        if flaw == Flaw::MergedAway && now - *last < MERGE {
            fresh.state = None;
        } else {
            *last = now;
        }
    }
    fresh
}
