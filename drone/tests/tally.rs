//! What is told apart, and what it is taken to weigh.

use lupinledge_drone::tally::{headers, payload, Kind, Line, Sums, With};
use lupinledge_messaging::{encode, Patched, Word};
use lupinledge_waggle::{Body, Digest, Packet};
use serde_bytes::ByteBuf;

fn probe(body: Body) -> Word {
    let (from, incarnation, turn, load, digest) = (7, 1, 0, 0, Digest::default());
    Word::Probe(Packet { from, incarnation, turn, load, digest, card: None, body, rumours: Vec::new() })
}

fn news(state: Option<usize>, list: Option<usize>) -> Word {
    let piece = |n: usize| ((1, 2), ByteBuf::from(vec![1; n]));
    Word::News { digest: Digest::default(), state: state.map(piece), list: list.map(piece) }
}

fn patches(state: bool, list: bool) -> Word {
    let bytes = ByteBuf::from(vec![1; 40]);
    let patch = ((1, 2), Patched { base: None, gives: (3, 4), len: 9, bytes });
    Word::Patches {
        digest: Digest::default(),
        state: state.then(|| patch.clone()),
        list: list.then(|| patch.clone()),
    }
}

fn bytes(word: &Word) -> usize {
    let mut bytes = Vec::new();
    encode(word, &mut bytes).expect("it can be sent");
    bytes.len()
}

#[test]
fn kinds_are_told_apart() {
    let hello = Body::Hello { n: 1, all: false, known: vec![] };
    let kinds = [
        (probe(Body::Ping { n: 1 }), Kind::Probe),
        (probe(hello), Kind::Members),
        (news(Some(9), None), Kind::Document),
        (news(Some(9), Some(9)), Kind::Document),
        (news(None, Some(9)), Kind::List),
        (patches(true, false), Kind::DocumentPatch),
        (patches(true, true), Kind::DocumentPatch),
        (patches(false, true), Kind::ListPatch),
        (Word::Hold { epoch: 1 }, Kind::Hold),
    ];
    for (word, kind) in kinds {
        assert_eq!(Kind::of(&word), kind);
    }
}

/// What is sent again and again is weighed to the byte; news, which are not encoded for it, to a part in twenty.
#[test]
fn weights_are_those_of_the_wire() {
    let calls = vec![(1 << 40, 16, 60_000), (1 << 40 | 1, 16, 60)];
    for word in
        [patches(true, true), probe(Body::Ping { n: 1 }), Word::Count { tag: 1, incarnation: 1, calls }]
    {
        assert_eq!(payload(&word), bytes(&word));
    }
    for word in [news(Some(3000), None), news(None, Some(100_000)), news(Some(9000), Some(9000))] {
        let (taken, sent) = (payload(&word) as f64, bytes(&word) as f64);
        assert!((taken / sent - 1.0).abs() < 0.05, "{taken} for {sent}");
    }
    assert_eq!(headers(Kind::Probe, 100), 28);
    assert_eq!((headers(Kind::Count, 40), headers(Kind::List, 100_000)), (56, 4 + 52 * 70));
}

#[test]
fn sums_add_up_and_begin_anew() {
    let line = |far| Line { out: true, kind: Kind::Probe, with: With::Edge, far };
    let (word, mut sums) = (probe(Body::Ping { n: 1 }), Sums::default());
    let one = payload(&word) as u64;
    (0..3).for_each(|i| sums.add(line(i == 0), &word));
    assert_eq!(sums.of(|l| !l.far), [2, 2 * one, 2 * (one + 28)]);
    let (tally, mut other) = (sums.take(), Sums::default());
    assert_eq!(sums.of(|_| true), [0; 3]);
    (0..2).for_each(|_| other.join(&tally));
    assert_eq!(other.of(|_| true), [6, 6 * one, 6 * (one + 28)]);
}
