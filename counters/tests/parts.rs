//! A new holder is told what gateways counted of a great many customers, in parts that come in any order, more than once
//! and with others between them.

use lupinledge_counters::handover::{HandoverPart, PART_MOST};
use lupinledge_counters::local_sums::LocalSums;
use lupinledge_counters::{Counters, Node, Total};

const TENANTS: u64 = 18_000;
const GATEWAYS: Node = 3;
const LIFE: f64 = 60.0;
/// Bytes of a name with its figures in a message, at the most.
const NAME_BYTES: usize = 48;

/// A window of use and one of what is in flight, of a customer whose number is that of a hash.
fn names(tenant: u64) -> [u64; 2] {
    let customer = tenant.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 26;
    [customer << 24 | 2, customer << 24 | 3]
}

/// What each gateway has counted before the holder changes, one after the other, with the total that it was told.
fn gateways() -> Vec<LocalSums> {
    let mut own: Vec<LocalSums> = (0..GATEWAYS).map(|_| LocalSums::default()).collect();
    for name in (0..TENANTS).flat_map(names) {
        let mut total = 0.0;
        for gateway in &mut own {
            total += 1.0;
            let sum = gateway.add(1.0, name, 1.0, LIFE).expect("there is room");
            gateway.record_total(1.0, name, sum, Total { counted: total, level: None });
        }
    }
    own
}

#[test]
fn all_of_18_000_tenants_are_taken_over() {
    let rng = &mut fastrand::Rng::with_seed(3);
    let mut counters = Counters::new(2);
    let mut parts: Vec<(Node, HandoverPart)> = Vec::new();
    for (node, own) in (1..).zip(&gateways()) {
        let cut = HandoverPart::split(own.handover(1.0));
        assert_eq!(cut.iter().map(|part| part.entries.len() as u64).sum::<u64>(), 2 * TENANTS);
        parts.extend(cut.into_iter().map(|part| (node, part)));
    }
    let largest = parts.iter().map(|(_, part)| part.entries.len()).max().unwrap();
    assert!(largest <= 2 * PART_MOST, "{largest} names in a part");
    assert!(largest * NAME_BYTES <= 64 << 10, "{} bytes in a message", largest * NAME_BYTES);
    // some come twice, and none in order
    let again: Vec<_> = parts.iter().filter(|_| rng.bool()).cloned().collect();
    parts.extend(again);
    rng.shuffle(&mut parts);
    let last: Vec<_> = (1..=GATEWAYS).map(|node| parts.iter().rposition(|part| part.0 == node)).collect();
    for (nth, (node, part)) in parts.iter().enumerate() {
        counters.tell(2.0, (*node, 1), part);
        assert!(counters.told(*node) || last[*node as usize - 1] != Some(nth), "{node} has told all");
    }
    counters.close(2.0, &[]);
    for name in (0..TENANTS).flat_map(names) {
        assert_eq!(counters.total(name), f64::from(GATEWAYS), "{name:x}");
    }
}

/// A gateway counts as one that has told only with its last part; until then others may wait for it.
#[test]
fn a_part_is_not_the_whole() {
    let own = gateways().remove(0);
    let mut counters = Counters::new(2);
    let parts = HandoverPart::split(own.handover(1.0));
    assert!(parts.len() > 1);
    for (nth, part) in parts.iter().enumerate() {
        assert!(!counters.told(1), "after {nth} of {}", parts.len());
        counters.tell(2.0, (1, 1), part);
    }
    assert!(counters.told(1));
}

/// A part that names itself outside of its number, or of more parts than there may be, adds sums and nothing else.
#[test]
fn a_part_that_can_t_be_is_none() {
    let told = gateways().remove(0).handover(1.0);
    for (index, count) in [(1, 1), (0, 0), (64, 65), (200, 255)] {
        let mut counters = Counters::new(2);
        counters.tell(2.0, (1, 1), &HandoverPart { index, count, entries: told[..4].to_vec() });
        assert!(!counters.told(1), "{index} of {count}");
    }
}

/// A part that is told again adds nothing to what is known of the former totals: what one that doesn't tell had counted
/// stays counted.
#[test]
fn a_part_told_again_takes_nothing_off() {
    let mut counters = Counters::new(2);
    for (node, own) in (1..).zip(&gateways()).skip(1) {
        let parts = HandoverPart::split(own.handover(1.0));
        for part in parts.iter().flat_map(|part| [part, part]) {
            counters.tell(2.0, (node, 1), part);
        }
    }
    counters.close(2.0, &[1]);
    for name in (0..TENANTS).flat_map(names).filter(|name| name & 1 == 0) {
        assert_eq!(counters.total(name), f64::from(GATEWAYS), "{name:x}");
    }
}
