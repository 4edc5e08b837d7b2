//! News as patches: what is built is the very piece or nothing, what can't be built is asked for, and memory and
//! words stay bounded.

mod net;

use lupinledge_membership::shelf::{Built, Shelf, BYTES, PIECES};
use lupinledge_membership::{
    Digest, Disseminator, GossipMessage, Outgoing, Patch, Patches, Settings, Source, Update, UpdateStore,
    ASKED,
};
use net::{card, node};
use std::rc::Rc;

/// A document of a grown site's length of which a change turns a few numbers, far apart from each other.
fn document(n: u64) -> Rc<[u8]> {
    let mut chance = fastrand::Rng::with_seed(7);
    let mut text = format!("version {n};");
    for tenant in 0..300 {
        let key: String = (0..32).map(|_| chance.alphanumeric()).collect();
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
fn a_patch_gives_the_piece_or_nothing() {
    bolero::check!().exhaustive().with_generator(0u64..400).for_each(|&seed| {
        let mut chance = fastrand::Rng::with_seed(seed);
        let base: Vec<u8> = (0..chance.usize(0..6000)).map(|_| chance.u8(..)).collect();
        let mut piece = base.clone();
        for _ in 0..chance.usize(0..5) {
            let (at, cut) = (chance.usize(0..=piece.len()), chance.usize(0..40));
            let to = (at + cut).min(piece.len());
            piece.splice(at..to, (0..chance.usize(0..40)).map(|_| b'x'));
        }
        piece.push(1);
        let Some(patch) = Patch::new(Some(&base), &piece) else {
            return assert!(base.len() < 80, "{} bytes of random content", base.len());
        };
        assert_eq!(patch.apply(Some(&base)).as_deref(), Some(&piece[..]));
        // another base, none, a bit turned, a length too short or too long
        let mut other = base.clone();
        other.iter_mut().for_each(|b| *b ^= 0x55);
        for wrong in [Some(&other[..]), None] {
            assert!(patch.apply(wrong).is_none_or(|got| *got == piece[..]));
        }
        let mut spoilt: Vec<u8> = patch.bytes.to_vec();
        let at = chance.usize(0..spoilt.len());
        spoilt[at] ^= 1 << chance.u32(0..8);
        let spoilt = Patch { bytes: spoilt.into(), ..patch.clone() };
        assert!(spoilt.apply(Some(&base)).is_none_or(|got| *got == piece[..]));
        for len in [0, patch.len - 1, u32::MAX] {
            assert_eq!(Patch { len, ..patch.clone() }.apply(Some(&base)), None);
        }
    });
}

#[test]
fn a_change_of_a_few_numbers_is_short() {
    let whole = document(1).len();
    let (patch, packed) =
        (Patch::new(Some(&document(1)), &document(2)).unwrap(), Patch::new(None, &document(2)).unwrap());
    println!("{whole} bytes, packed {}, patch {}", packed.bytes.len(), patch.bytes.len());
    assert!(patch.bytes.len() * 50 < whole && packed.bytes.len() * 5 < whole * 4);
}

#[test]
fn few_pieces_are_kept() {
    let mut shelf = Shelf::default();
    for n in 1..1000 {
        shelf.put((1, n), document(n));
        assert!(shelf.bytes() <= PIECES * document(n).len());
    }
    let old = Patch::new(Some(&document(1)), &document(999)).unwrap();
    assert_eq!(shelf.build(&old), Built::NoBase);
    let large = |n: u8| Rc::from(vec![n; 2 * BYTES]);
    (1..9).for_each(|n| shelf.put((2, n.into()), large(n)));
    assert!(shelf.bytes() <= 5 * BYTES, "{}", shelf.bytes());
    let last = Patch::new(Some(&large(7)), &large(8)).unwrap();
    assert_eq!(shelf.build(&last), Built::Piece(large(8)));
}

fn spread(i: usize, core: bool) -> Disseminator {
    let mut card = card(i, 1);
    card.core = core;
    Disseminator::new(0.0, Settings::new(node(i), 1, card, vec![node(0)], i as u64), !core)
}

/// The documents that a word brings, as patches or whole.
fn patched(sends: &Outgoing) -> Vec<&Patch> {
    sends
        .iter()
        .filter_map(|(_, said)| match said {
            GossipMessage::Patches { patches: Patches { state: Some(s), .. }, .. } => Some(&s.1),
            _ => None,
        })
        .collect()
}

/// One that does not hold what a patch builds on asks; what it is answered builds on what it holds; and where even
/// that is not what it seems, it gets the whole.
#[test]
fn what_lacks_its_base_is_asked_for() {
    let (mut holder, mut edge) = (spread(0, true), spread(1, false));
    holder.publish(state(1), Source::Origin);
    edge.publish(state(1), Source::Settled);
    (2..=PIECES as u64).for_each(|n| drop(holder.publish(state(n), Source::Origin)));
    // built on the one before, which the edge node does not hold
    let mut held = UpdateStore::new(false);
    held.take(true, state(PIECES as u64 - 1));
    held.take(true, state(PIECES as u64));
    let (patches, whole) = held.patches(state(PIECES as u64), None);
    assert_eq!(whole, Update::default());
    let digest = held.digest();
    let (fresh, sends) = edge.receive(1.0, node(0), GossipMessage::Patches { digest, patches });
    assert_eq!(fresh, None);
    let [(to, want @ GossipMessage::Fetch(_))] = &sends[..] else { panic!("{sends:?}") };
    assert_eq!(*to, node(0));
    let (_, sends) = holder.receive(1.0, node(1), want.clone());
    assert!(patched(&sends)[0].base.is_some() && patched(&sends)[0].bytes.len() < 500);
    let (_, said) = sends.into_iter().next().unwrap();
    let (fresh, _) = edge.receive(1.1, node(0), said);
    assert_eq!(fresh.unwrap().state, state(PIECES as u64).state);

    // same number, other bytes: as after a fault in memory
    let mut strange = spread(2, false);
    let bytes: Rc<[u8]> = Rc::from([1, 2, 3]);
    strange.publish(Update { state: Some(((1, 1), bytes)), ..Update::default() }, Source::Settled);
    let mut said = GossipMessage::Fetch(strange.store().digest());
    for (turn, packed) in [(1, false), (2, false), (3, true)] {
        let (_, sends) = holder.receive(f64::from(turn), node(2), said);
        assert_eq!(patched(&sends)[0].base.is_none(), packed, "turn {turn}");
        let (_, answer) = sends.into_iter().next().unwrap();
        let (fresh, sends) = strange.receive(f64::from(turn), node(0), answer);
        assert_eq!(fresh.is_some(), packed, "turn {turn}");
        said = sends.into_iter().next().map_or(GossipMessage::Fetch(Digest::default()), |s| s.1);
    }
    assert_eq!(strange.store().newest().state, state(PIECES as u64).state);
}

/// Both kinds; a later stamp for what is held needs no base; what is older changes nothing.
#[test]
fn never_back_by_patches() {
    let mut from = UpdateStore::new(false);
    let mut edge = UpdateStore::new(true);
    let mut old = Vec::new();
    for n in 1..39 {
        from.take(true, state(n));
        from.take(true, list(n));
        let news = Update { epoch: None, ..from.newest().clone() };
        let (patches, whole) = from.patches(news, Some(&edge.digest()));
        assert_eq!(whole, Update::default());
        if n % 3 != 0 {
            let opened = edge.apply_patches(patches.clone());
            assert_eq!(opened.missed, (false, false), "{n}");
            edge.take(false, opened.news);
            assert_eq!((&edge.newest().state, &edge.newest().list), (&state(n).state, &list(n).list));
        }
        old.push(patches);
        for patches in &old[..old.len() - 1] {
            let opened = edge.apply_patches(patches.clone());
            assert_eq!(edge.take(false, opened.news), Update::default());
        }
    }
    let held = edge.newest().state.clone().unwrap();
    let again = from.patches(Update { state: Some((held.0, held.1.clone())), ..Update::default() }, None).0;
    let stamp = again.state.map(|(_, patch)| ((7, held.0 .1), patch));
    let opened = edge.apply_patches(Patches { state: stamp, list: None });
    assert_eq!((edge.take(false, opened.news), edge.digest().state), (Update::default(), (7, held.0 .1)));
}

/// While many are ahead, few are asked at once.
#[test]
fn few_are_asked_at_once() {
    let mut edge = spread(1, false);
    let mut wants = 0;
    for i in 2..60 {
        let mut other = spread(i, false);
        other.publish(state(5), Source::Settled);
        let digest = other.store().digest();
        let patch = Patch::new(Some(&document(4)), &document(5)).unwrap();
        let said =
            GossipMessage::Patches { digest, patches: Patches { state: Some(((1, 5), patch)), list: None } };
        let (_, sends) = edge.receive(1.0 + i as f64 * 0.001, node(i), said);
        wants += sends.iter().filter(|s| matches!(s.1, GossipMessage::Fetch(_))).count();
    }
    assert_eq!(wants, ASKED);
}
