//! Orders sent again, beside a slow plain model: a list, without bound, of all that was ever taken.

use lupinledge_config::accepted::{body_hash, MAX_ACCEPTED};
use lupinledge_config::{Decision, Document, ErrorKind, Order, Verdict};
use std::collections::BTreeSet;

/// A configuration of this number on top of another; no two with different `nth` are alike.
fn body(version: u64, base: u64, nth: u64) -> Vec<u8> {
    format!(
        "{{\"version\":\"r{version}\",\"base_version\":\"r{base}\",\"nth\":{nth},\"listeners\":[],\"clusters\":[]}}"
    )
    .into_bytes()
}

/// What was taken, oldest first: number, base, body.
#[derive(Default)]
struct Plain {
    all: Vec<(u64, u64, Vec<u8>)>,
}

impl Plain {
    fn current(&self) -> u64 {
        self.all.last().map_or(0, |last| last.0)
    }

    /// Whether the document may say that of this body; `remembered`: how many are to be.
    fn allows(&self, (version, base): (u64, u64), body: &[u8], said: &Verdict, remembered: usize) -> bool {
        let from = self.all.len().saturating_sub(remembered);
        let place = self.all.iter().position(|taken| taken.2 == body);
        let before = self.all[..from].last().map_or(0, |last| last.0);
        match (place, said) {
            (Some(place), Verdict::Already) => place >= from || place + 1 == self.all.len(),
            (Some(place), Verdict::Refuse { kind: ErrorKind::Unsettled, .. }) => place < from,
            (Some(_), _) => false,
            (None, Verdict::Take(next)) => {
                base == self.current() && version > base && next.version == version && next.config.is_some()
            }
            (None, Verdict::Refuse { kind: ErrorKind::Stale, .. }) => base != self.current(),
            (None, Verdict::Refuse { kind: ErrorKind::Invalid, .. }) => {
                base == self.current() && version <= base
            }
            // not told from one that was taken, though it could be
            (None, Verdict::Refuse { kind: ErrorKind::Unsettled, .. }) => base < version && version <= before,
            (None, _) => false,
        }
    }
}

/// Any order, again or for the first time, at any place in a chain of changes with uneven steps, also after the
/// document went over the disk or the wire.
fn course(seed: u64, changes: usize, asked: usize) -> Document {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut doc, mut plain, mut nth) = (Document::default(), Plain::default(), 0);
    for change in 0..changes {
        for _ in 0..asked {
            nth += 1;
            let (version, base, sent) = match plain.all.len() {
                n @ 1.. if rng.bool() => plain.all[rng.usize(..n)].clone(),
                n => {
                    let near = n.saturating_sub(rng.usize(..6)).saturating_sub(1);
                    let (old, older, _) = plain.all.get(near).cloned().unwrap_or_default();
                    let base = [old, older, plain.current(), rng.u64(..plain.current() + 9)][rng.usize(..4)];
                    let version = [old, base + rng.u64(..5), rng.u64(..plain.current() + 9)][rng.usize(..3)];
                    (version, base, body(version, base, nth))
                }
            };
            let said = doc.put(&sent);
            assert!(
                plain.allows((version, base), &sent, &said, MAX_ACCEPTED),
                "seed {seed}, after {change} changes: {said:?} to {version} on {base}"
            );
        }
        nth += 1;
        let base = plain.current();
        let version = base + [1, 1 + rng.u64(..400)][rng.usize(..2)];
        let sent = body(version, base, nth);
        let Verdict::Take(next) = doc.put(&sent) else { panic!("{version} on {base}") };
        plain.all.push((version, base, sent));
        doc = next;
        if rng.usize(..20) == 0 {
            doc = rmp_serde::from_slice(&rmp_serde::to_vec(&doc).unwrap()).unwrap();
        }
    }
    doc
}

#[test]
fn orders_sent_again_are_those_of_an_endless_list() {
    bolero::check!().with_type::<u64>().with_iterations(300).for_each(|seed| drop(course(*seed, 30, 8)));
}

/// Beyond the bound too: one that was taken is never refused, and none is taken for it.
#[test]
fn what_is_forgotten_is_left_without_an_answer() {
    let doc = course(7, MAX_ACCEPTED + 300, 3);
    assert_eq!(doc.accepted.len(), MAX_ACCEPTED);
    let bytes = rmp_serde::to_vec(&doc).unwrap().len();
    assert!(bytes < 19 * MAX_ACCEPTED, "{bytes} bytes");
}

/// Of a day at the planned size nothing is forgotten.
#[test]
fn a_day_is_remembered() {
    let mut doc = Document::default();
    for version in 1..=2_100 {
        let Verdict::Take(next) = doc.put(&body(version, version - 1, 0)) else { panic!("{version}") };
        doc = next;
    }
    for version in 1..=2_100 {
        assert_eq!(doc.put(&body(version, version - 1, 0)), Verdict::Already, "{version}");
        let Verdict::Refuse { kind, .. } = doc.put(&body(version, version - 1, 1)) else {
            panic!("{version}")
        };
        assert_eq!(kind, ErrorKind::Stale, "another body under {version}");
    }
}

/// The edge is not told the memory, and a document that it was split from works on.
#[test]
fn the_edge_is_told_no_memory() {
    let doc = course(11, 40, 0);
    let whole = rmp_serde::to_vec(&doc).unwrap().len();
    let (told, taken) = doc.clone().split_accepted();
    assert_eq!((taken.len(), told.accepted.len()), (40, 0));
    assert!(rmp_serde::to_vec(&told).unwrap().len() + 17 * 40 <= whole);
    assert_eq!(Document { accepted: taken, ..told }, doc);
}

/// A document of the build before: its pairs tell nothing, and what was taken then is not refused.
#[test]
fn a_former_memory_is_read_as_none() {
    let config = serde_bytes::ByteBuf::from(body(9, 4, 0));
    let former =
        |taken: Vec<(u64, u64)>| rmp_serde::to_vec(&(&config, 9_u64, vec!["a"], 3_u64, taken)).unwrap();
    for pairs in
        [vec![], vec![(9, 1)], vec![(4, 1 << 60), (9, 2)], vec![(4, 1), (9, 2)], vec![(1, 1), (4, 3), (9, 2)]]
    {
        let doc: Document = rmp_serde::from_slice(&former(pairs)).unwrap();
        assert_eq!((doc.version, doc.serial, doc.accepted.len()), (9, 3, 0));
        let kind = |sent: &[u8]| match doc.put(sent) {
            Verdict::Refuse { kind, .. } => Some(kind),
            _ => None,
        };
        assert_eq!(doc.put(&body(9, 4, 0)), Verdict::Already);
        assert_eq!(kind(&body(9, 4, 1)), Some(ErrorKind::Stale));
        assert_eq!(kind(&body(4, 1, 1)), Some(ErrorKind::Unsettled));
        assert_eq!(kind(&body(10, 4, 1)), Some(ErrorKind::Stale));
        assert!(matches!(doc.put(&body(10, 9, 1)), Verdict::Take(_)));
    }
}

/// 128 bits that differ where the bodies do: those of 200,000 bodies, and each bit is used.
#[test]
fn hashes_tell_bodies_apart() {
    let hashes: BTreeSet<_> = (0..200_000_u64).map(|nth| body_hash(&body(7, 5, nth))).collect();
    assert_eq!(hashes.len(), 200_000);
    let short: BTreeSet<_> = hashes.iter().map(|h| u64::from_be_bytes(h[8..].try_into().unwrap())).collect();
    assert_eq!(short.len(), 200_000);
    let (any, all) = hashes.iter().map(|h| u128::from_be_bytes(*h)).fold((0, !0), |(a, b), h| (a | h, b & h));
    assert_eq!((any, all), (!0, 0));
    assert_eq!(body_hash(b"abc")[..4], [0xba, 0x78, 0x16, 0xbf]); // FIPS 180-4
}

/// Zones: what was done is said again whatever the settings say by now, and can always be undone.
#[test]
fn a_zone_that_left_the_settings_is_no_refusal_of_what_was_done() {
    let Decision::Propose(doc) = Document::default().decide(Order::Evacuate("a"), |_| true) else { panic!() };
    let done = Decision::ReplyIfNewest(lupinledge_config::Answer::Done);
    assert_eq!(doc.decide(Order::Evacuate("a"), |_| false), done);
    let Decision::Propose(back) = doc.decide(Order::Restore("a"), |_| false) else { panic!() };
    assert!(back.evacuated_zones.is_empty());
    assert_eq!(back.decide(Order::Restore("a"), |_| true), done);
    assert!(matches!(back.decide(Order::Evacuate("b"), |_| false), Decision::Reply(_)));
}
