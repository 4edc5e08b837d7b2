//! Updates as patches: the result is the exact content or nothing, a patch that cannot be applied leads to a
//! fetch, and memory and messages stay bounded.

mod net;

use lupinledge_membership::history::{BuildResult, History, MAX_OLD_BYTES, MAX_VERSIONS};
use lupinledge_membership::{
    Digest, Disseminator, GossipMessage, Outgoing, Patch, Patches, Settings, Source, Update, UpdateStore,
    MAX_RECENT_REQUESTS,
};
use net::{card, node};
use std::rc::Rc;

/// A document of realistic length; consecutive versions differ in a few numbers far apart.
fn document(n: u64) -> Rc<[u8]> {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut text = format!("version {n};");
    for tenant in 0..300 {
        let key: String = (0..32).map(|_| rng.alphanumeric()).collect();
        let weight = if tenant % 90 == 0 { n } else { 1 };
        text += &format!("tenant {tenant} key {key} weight {weight};");
    }
    text += &format!("taken {n}");
    text.into_bytes().into()
}

fn state(n: u64) -> Update {
    Update { state: Some(((1, n), document(n))), ..Update::default() }
}

fn list(n: u64) -> Update {
    Update { list: Some(((1, n), document(n))), ..Update::default() }
}

#[test]
fn a_patch_rebuilds_the_exact_content_or_nothing() {
    bolero::check!().exhaustive().with_generator(0u64..400).for_each(|&seed| {
        let mut rng = fastrand::Rng::with_seed(seed);
        let base: Vec<u8> = (0..rng.usize(0..6000)).map(|_| rng.u8(..)).collect();
        let mut changed = base.clone();
        for _ in 0..rng.usize(0..5) {
            let (at, cut) = (rng.usize(0..=changed.len()), rng.usize(0..40));
            let to = (at + cut).min(changed.len());
            changed.splice(at..to, (0..rng.usize(0..40)).map(|_| b'x'));
        }
        changed.push(1);
        let Some(patch) = Patch::new(Some(&base), &changed) else {
            return assert!(base.len() < 80, "{} bytes of random content", base.len());
        };
        assert_eq!(patch.apply(Some(&base)).as_deref(), Some(&changed[..]));
        // Another base, no base, a flipped bit, and a wrong length.
        let mut other = base.clone();
        other.iter_mut().for_each(|b| *b ^= 0x55);
        for wrong in [Some(&other[..]), None] {
            assert!(patch.apply(wrong).is_none_or(|got| *got == changed[..]));
        }
        let mut corrupt: Vec<u8> = patch.bytes.to_vec();
        let at = rng.usize(0..corrupt.len());
        corrupt[at] ^= 1 << rng.u32(0..8);
        let corrupt = Patch { bytes: corrupt.into(), ..patch.clone() };
        assert!(corrupt.apply(Some(&base)).is_none_or(|got| *got == changed[..]));
        for len in [0, patch.len - 1, u32::MAX] {
            assert_eq!(Patch { len, ..patch.clone() }.apply(Some(&base)), None);
        }
    });
}

#[test]
fn a_patch_for_a_few_changed_numbers_is_small() {
    let full = document(1).len();
    let (patch, compressed) =
        (Patch::new(Some(&document(1)), &document(2)).unwrap(), Patch::new(None, &document(2)).unwrap());
    println!("{full} bytes, compressed {}, patch {}", compressed.bytes.len(), patch.bytes.len());
    assert!(patch.bytes.len() * 50 < full && compressed.bytes.len() * 5 < full * 4);
}

#[test]
fn the_history_is_bounded() {
    let mut history = History::default();
    for n in 1..1000 {
        history.insert((1, n), document(n));
        assert!(history.bytes() <= MAX_VERSIONS * document(n).len());
    }
    let old = Patch::new(Some(&document(1)), &document(999)).unwrap();
    assert_eq!(history.apply(&old), BuildResult::NoBase);
    let large_content = |n: u8| Rc::from(vec![n; 2 * MAX_OLD_BYTES]);
    (1..9).for_each(|n| history.insert((2, n.into()), large_content(n)));
    assert!(history.bytes() <= 5 * MAX_OLD_BYTES, "{}", history.bytes());
    let last = Patch::new(Some(&large_content(7)), &large_content(8)).unwrap();
    assert_eq!(history.apply(&last), BuildResult::Content(large_content(8)));
}

fn disseminator(i: usize, core: bool) -> Disseminator {
    let mut card = card(i, 1);
    card.core = core;
    Disseminator::new(0.0, Settings::new(node(i), 1, card, vec![node(0)], i as u64), !core)
}

/// Returns the patches of documents in messages that carry a document as a patch.
fn document_patches(messages: &Outgoing) -> Vec<&Patch> {
    messages
        .iter()
        .filter_map(|(_, message)| match message {
            GossipMessage::Patches { patches: Patches { state: Some(s), .. }, .. } => Some(&s.1),
            _ => None,
        })
        .collect()
}

/// A process without the base of a patch fetches, and the reply builds on what it holds. If its content
/// differs from what its version says, it finally gets the full document.
#[test]
fn a_patch_without_its_base_is_replaced_by_a_fetch() {
    let (mut holder, mut edge) = (disseminator(0, true), disseminator(1, false));
    holder.publish(state(1), Source::Origin);
    edge.publish(state(1), Source::Settled);
    (2..=MAX_VERSIONS as u64).for_each(|n| drop(holder.publish(state(n), Source::Origin)));
    // The patch is to the previous version, which the edge node does not hold.
    let mut store = UpdateStore::new(false);
    store.take(true, state(MAX_VERSIONS as u64 - 1));
    store.take(true, state(MAX_VERSIONS as u64));
    let (patches, full) = store.patches(state(MAX_VERSIONS as u64), None);
    assert_eq!(full, Update::default());
    let digest = store.digest();
    let (fresh, messages) = edge.receive(1.0, node(0), GossipMessage::Patches { digest, patches });
    assert_eq!(fresh, None);
    let [(to, fetch @ GossipMessage::Fetch(_))] = &messages[..] else { panic!("{messages:?}") };
    assert_eq!(*to, node(0));
    let (_, messages) = holder.receive(1.0, node(1), fetch.clone());
    assert!(
        document_patches(&messages)[0].base.is_some() && document_patches(&messages)[0].bytes.len() < 500
    );
    let (_, message) = messages.into_iter().next().unwrap();
    let (fresh, _) = edge.receive(1.1, node(0), message);
    assert_eq!(fresh.unwrap().state, state(MAX_VERSIONS as u64).state);

    // The same version with other bytes, as after a memory fault.
    let mut diverged = disseminator(2, false);
    let bytes: Rc<[u8]> = Rc::from([1, 2, 3]);
    diverged.publish(Update { state: Some(((1, 1), bytes)), ..Update::default() }, Source::Settled);
    let mut message = GossipMessage::Fetch(diverged.store().digest());
    for (round, is_full) in [(1, false), (2, false), (3, true)] {
        let (_, messages) = holder.receive(f64::from(round), node(2), message);
        assert_eq!(document_patches(&messages)[0].base.is_none(), is_full, "round {round}");
        let (_, answer) = messages.into_iter().next().unwrap();
        let (fresh, messages) = diverged.receive(f64::from(round), node(0), answer);
        assert_eq!(fresh.is_some(), is_full, "round {round}");
        message = messages.into_iter().next().map_or(GossipMessage::Fetch(Digest::default()), |s| s.1);
    }
    assert_eq!(diverged.store().newest().state, state(MAX_VERSIONS as u64).state);
}

/// Older patches of documents and lists change nothing; a later version of the document held needs no base.
#[test]
fn older_patches_change_nothing() {
    let mut from = UpdateStore::new(false);
    let mut edge = UpdateStore::new(true);
    let mut old = Vec::new();
    for n in 1..39 {
        from.take(true, state(n));
        from.take(true, list(n));
        let update = Update { epoch: None, ..from.newest().clone() };
        let (patches, full) = from.patches(update, Some(&edge.digest()));
        assert_eq!(full, Update::default());
        if n % 3 != 0 {
            let applied = edge.apply_patches(patches.clone());
            assert_eq!(applied.failed, (false, false), "{n}");
            edge.take(false, applied.updates);
            assert_eq!((&edge.newest().state, &edge.newest().list), (&state(n).state, &list(n).list));
        }
        old.push(patches);
        for patches in &old[..old.len() - 1] {
            let applied = edge.apply_patches(patches.clone());
            assert_eq!(edge.take(false, applied.updates), Update::default());
        }
    }
    let current = edge.newest().state.clone().unwrap();
    let same_document =
        from.patches(Update { state: Some((current.0, current.1.clone())), ..Update::default() }, None).0;
    let recommitted = same_document.state.map(|(_, patch)| ((7, current.0 .1), patch));
    let applied = edge.apply_patches(Patches { state: recommitted, list: None });
    assert_eq!(
        (edge.take(false, applied.updates), edge.digest().state),
        (Update::default(), (7, current.0 .1))
    );
}

/// While many peers are ahead, only a few are asked at once.
#[test]
fn only_a_few_peers_are_asked_at_once() {
    let mut edge = disseminator(1, false);
    let mut fetches = 0;
    for i in 2..60 {
        let mut other = disseminator(i, false);
        other.publish(state(5), Source::Settled);
        let digest = other.store().digest();
        let patch = Patch::new(Some(&document(4)), &document(5)).unwrap();
        let message =
            GossipMessage::Patches { digest, patches: Patches { state: Some(((1, 5), patch)), list: None } };
        let (_, messages) = edge.receive(1.0 + i as f64 * 0.001, node(i), message);
        fetches += messages.iter().filter(|s| matches!(s.1, GossipMessage::Fetch(_))).count();
    }
    assert_eq!(fetches, MAX_RECENT_REQUESTS);
}

/// Guards against DRAIN: a list in one message with a document waited in a link where documents wait.
#[test]
fn a_fetched_list_has_a_message_of_its_own() {
    let mut core = disseminator(0, true);
    core.publish(Update { list: list(1).list, ..state(1) }, Source::Origin);
    let (_, messages) = core.receive(0.0, node(1), GossipMessage::Fetch(Digest::default()));
    let is_list = |message: &GossipMessage| match message {
        GossipMessage::Patches { patches, .. } => patches.state.is_none() && patches.list.is_some(),
        GossipMessage::Update { state, list, .. } => state.is_none() && list.is_some(),
        _ => false,
    };
    let lists = messages.iter().filter(|(_, message)| is_list(message)).count();
    assert_eq!((messages.len(), lists), (2, 1));
}
