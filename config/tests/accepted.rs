//! Configurations that are sent again, compared with a simple model: an unbounded list of all accepted ones.

use lupinledge_config::accepted::{body_hash, MAX_ACCEPTED};
use lupinledge_config::{Decision, Document, ErrorKind, Order, PutResult};
use std::collections::BTreeSet;

/// A configuration of this version on top of `base`; the body differs for each `nth`.
fn body(version: u64, base: u64, nth: u64) -> Vec<u8> {
    format!(
        "{{\"version\":\"r{version}\",\"base_version\":\"r{base}\",\"nth\":{nth},\"listeners\":[],\"clusters\":[]}}"
    )
    .into_bytes()
}

/// The accepted configurations, oldest first: version, base, body.
#[derive(Default)]
struct Model {
    accepted: Vec<(u64, u64, Vec<u8>)>,
}

impl Model {
    fn current(&self) -> u64 {
        self.accepted.last().map_or(0, |last| last.0)
    }

    /// Whether the result of putting this body is correct; `remembered` is the length of the history.
    fn allows(
        &self,
        (version, base): (u64, u64),
        body: &[u8],
        result: &PutResult,
        remembered: usize,
    ) -> bool {
        let oldest = self.accepted.len().saturating_sub(remembered);
        let position = self.accepted.iter().position(|entry| entry.2 == body);
        let newest_forgotten = self.accepted[..oldest].last().map_or(0, |last| last.0);
        match (position, result) {
            (Some(index), PutResult::AlreadyAccepted) => index >= oldest || index + 1 == self.accepted.len(),
            (Some(index), PutResult::Refused { kind: ErrorKind::Unsettled, .. }) => index < oldest,
            (Some(_), _) => false,
            (None, PutResult::Accepted(next)) => {
                base == self.current() && version > base && next.version == version && next.config.is_some()
            }
            (None, PutResult::Refused { kind: ErrorKind::Stale, .. }) => base != self.current(),
            (None, PutResult::Refused { kind: ErrorKind::Invalid, .. }) => {
                base == self.current() && version <= base
            }
            // the document doesn't know that it was never accepted
            (None, PutResult::Refused { kind: ErrorKind::Unsettled, .. }) => {
                base < version && version <= newest_forgotten
            }
            (None, _) => false,
        }
    }
}

/// Makes random changes with uneven version steps. Before each one, puts old and new bodies and checks the results.
/// Sometimes the document is serialized and read again.
fn run_changes(seed: u64, changes: usize, puts_per_change: usize) -> Document {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut doc, mut model, mut nth) = (Document::default(), Model::default(), 0);
    for change in 0..changes {
        for _ in 0..puts_per_change {
            nth += 1;
            let (version, base, sent) = match model.accepted.len() {
                n @ 1.. if rng.bool() => model.accepted[rng.usize(..n)].clone(),
                n => {
                    let index = n.saturating_sub(rng.usize(..6)).saturating_sub(1);
                    let (old_version, old_base, _) = model.accepted.get(index).cloned().unwrap_or_default();
                    let base = [old_version, old_base, model.current(), rng.u64(..model.current() + 9)]
                        [rng.usize(..4)];
                    let version =
                        [old_version, base + rng.u64(..5), rng.u64(..model.current() + 9)][rng.usize(..3)];
                    (version, base, body(version, base, nth))
                }
            };
            let result = doc.put(&sent);
            assert!(
                model.allows((version, base), &sent, &result, MAX_ACCEPTED),
                "seed {seed}, after {change} changes: {result:?} for {version} on {base}"
            );
        }
        nth += 1;
        let base = model.current();
        let version = base + [1, 1 + rng.u64(..400)][rng.usize(..2)];
        let sent = body(version, base, nth);
        let PutResult::Accepted(next) = doc.put(&sent) else { panic!("{version} on {base}") };
        model.accepted.push((version, base, sent));
        doc = next;
        if rng.usize(..20) == 0 {
            doc = rmp_serde::from_slice(&rmp_serde::to_vec(&doc).unwrap()).unwrap();
        }
    }
    doc
}

#[test]
fn results_match_an_unbounded_history() {
    bolero::check!().with_type::<u64>().with_iterations(300).for_each(|seed| drop(run_changes(*seed, 30, 8)));
}

/// Beyond the bound of the history too, an accepted configuration is never reported as stale or invalid, and no other
/// one is reported as accepted.
#[test]
fn a_forgotten_configuration_is_reported_as_unsettled() {
    let doc = run_changes(7, MAX_ACCEPTED + 300, 3);
    assert_eq!(doc.accepted.len(), MAX_ACCEPTED);
    let bytes = rmp_serde::to_vec(&doc).unwrap().len();
    assert!(bytes < 19 * MAX_ACCEPTED, "{bytes} bytes");
}

/// The history covers a day with the planned number of changes.
#[test]
fn the_history_covers_a_day() {
    let mut doc = Document::default();
    for version in 1..=2_100 {
        let PutResult::Accepted(next) = doc.put(&body(version, version - 1, 0)) else { panic!("{version}") };
        doc = next;
    }
    for version in 1..=2_100 {
        assert_eq!(doc.put(&body(version, version - 1, 0)), PutResult::AlreadyAccepted, "{version}");
        let PutResult::Refused { kind, .. } = doc.put(&body(version, version - 1, 1)) else {
            panic!("{version}")
        };
        assert_eq!(kind, ErrorKind::Stale, "another body under {version}");
    }
}

/// The edge is not sent the history, and a document is complete again when the history is put back.
#[test]
fn the_edge_gets_no_history() {
    let doc = run_changes(11, 40, 0);
    let whole = rmp_serde::to_vec(&doc).unwrap().len();
    let (for_edge, accepted) = doc.clone().split_accepted();
    assert_eq!((accepted.len(), for_edge.accepted.len()), (40, 0));
    assert!(rmp_serde::to_vec(&for_edge).unwrap().len() + 17 * 40 <= whole);
    assert_eq!(Document { accepted, ..for_edge }, doc);
}

/// In a document of an earlier build the history has pairs that can't be used. A configuration that was accepted then
/// must not be reported as stale.
#[test]
fn a_history_of_an_earlier_build_is_read_as_empty() {
    let config = serde_bytes::ByteBuf::from(body(9, 4, 0));
    let former =
        |pairs: Vec<(u64, u64)>| rmp_serde::to_vec(&(&config, 9_u64, vec!["a"], 3_u64, pairs)).unwrap();
    for pairs in
        [vec![], vec![(9, 1)], vec![(4, 1 << 60), (9, 2)], vec![(4, 1), (9, 2)], vec![(1, 1), (4, 3), (9, 2)]]
    {
        let doc: Document = rmp_serde::from_slice(&former(pairs)).unwrap();
        assert_eq!((doc.version, doc.serial, doc.accepted.len()), (9, 3, 0));
        let kind = |sent: &[u8]| match doc.put(sent) {
            PutResult::Refused { kind, .. } => Some(kind),
            _ => None,
        };
        assert_eq!(doc.put(&body(9, 4, 0)), PutResult::AlreadyAccepted);
        assert_eq!(kind(&body(9, 4, 1)), Some(ErrorKind::Stale));
        assert_eq!(kind(&body(4, 1, 1)), Some(ErrorKind::Unsettled));
        assert_eq!(kind(&body(10, 4, 1)), Some(ErrorKind::Stale));
        assert!(matches!(doc.put(&body(10, 9, 1)), PutResult::Accepted(_)));
    }
}

/// The hashes of 200,000 bodies differ, also in their last 64 bits, and every bit takes both values.
#[test]
fn hashes_of_different_bodies_differ() {
    let hashes: BTreeSet<_> = (0..200_000_u64).map(|nth| body_hash(&body(7, 5, nth))).collect();
    assert_eq!(hashes.len(), 200_000);
    let last_halves: BTreeSet<_> =
        hashes.iter().map(|h| u64::from_be_bytes(h[8..].try_into().unwrap())).collect();
    assert_eq!(last_halves.len(), 200_000);
    let (or, and) = hashes.iter().map(|h| u128::from_be_bytes(*h)).fold((0, !0), |(a, b), h| (a | h, b & h));
    assert_eq!((or, and), (!0, 0));
    assert_eq!(body_hash(b"abc")[..4], [0xba, 0x78, 0x16, 0xbf]); // FIPS 180-4
}

/// An order about a zone that was carried out is answered as done when it is sent again, and an evacuation can be
/// undone, even if the zone has left the settings since.
#[test]
fn a_zone_removed_from_the_settings_can_still_be_restored() {
    let Decision::Propose(doc) = Document::default().decide(Order::Evacuate("a"), |_| true) else { panic!() };
    let done = Decision::ReplyIfNewest(lupinledge_config::Answer::Done);
    assert_eq!(doc.decide(Order::Evacuate("a"), |_| false), done);
    let Decision::Propose(restored) = doc.decide(Order::Restore("a"), |_| false) else { panic!() };
    assert!(restored.evacuated_zones.is_empty());
    assert_eq!(restored.decide(Order::Restore("a"), |_| true), done);
    assert!(matches!(restored.decide(Order::Evacuate("b"), |_| false), Decision::Reply(_)));
}
