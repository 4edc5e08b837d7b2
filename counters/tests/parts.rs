//! Handover of the counters of many customers to a new holder, in parts that arrive in any order, repeatedly and mixed
//! with those of other gateways.

use lupinledge_counters::handover::{HandoverPart, NAMES_PER_PART};
use lupinledge_counters::local_sums::LocalSums;
use lupinledge_counters::{Counters, Node, Total};

const TENANTS: u64 = 18_000;
const GATEWAYS: Node = 3;
const LIFETIME: f64 = 60.0;
/// Maximum size of one entry in a message, in bytes.
const MAX_ENTRY_BYTES: usize = 48;

/// A usage name and an in-flight name of a customer; its number is a hash, as in production.
fn names(tenant: u64) -> [u64; 2] {
    let customer = tenant.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 26;
    [customer << 24 | 2, customer << 24 | 3]
}

/// The sums of each gateway before the holder changes; they count one after the other and receive the running total.
fn gateways() -> Vec<LocalSums> {
    let mut gateways: Vec<LocalSums> = (0..GATEWAYS).map(|_| LocalSums::default()).collect();
    for name in (0..TENANTS).flat_map(names) {
        let mut total = 0.0;
        for gateway in &mut gateways {
            total += 1.0;
            let sum = gateway.add(1.0, name, 1.0, LIFETIME).expect("there is room");
            gateway.record_total(1.0, name, sum, Total { counted: total, level: None });
        }
    }
    gateways
}

#[test]
fn the_counters_of_18_000_tenants_are_handed_over() {
    let rng = &mut fastrand::Rng::with_seed(3);
    let mut counters = Counters::new(2);
    let mut parts: Vec<(Node, HandoverPart)> = Vec::new();
    for (node, sums) in (1..).zip(&gateways()) {
        let split = HandoverPart::split(sums.handover(1.0));
        assert_eq!(split.iter().map(|part| part.entries.len() as u64).sum::<u64>(), 2 * TENANTS);
        parts.extend(split.into_iter().map(|part| (node, part)));
    }
    let largest = parts.iter().map(|(_, part)| part.entries.len()).max().unwrap();
    assert!(largest <= 2 * NAMES_PER_PART, "{largest} names in a part");
    assert!(largest * MAX_ENTRY_BYTES <= 64 << 10, "{} bytes in a message", largest * MAX_ENTRY_BYTES);
    // half of the parts arrive twice, all in random order
    let repeated: Vec<_> = parts.iter().filter(|_| rng.bool()).cloned().collect();
    parts.extend(repeated);
    rng.shuffle(&mut parts);
    let last: Vec<_> = (1..=GATEWAYS).map(|node| parts.iter().rposition(|part| part.0 == node)).collect();
    for (nth, (node, part)) in parts.iter().enumerate() {
        counters.receive_handover(2.0, (*node, 1), part);
        assert!(
            counters.has_handover_from(*node) || last[*node as usize - 1] != Some(nth),
            "all parts of {node} were received"
        );
    }
    counters.complete_handover(2.0, &[]);
    for name in (0..TENANTS).flat_map(names) {
        assert_eq!(counters.total(name), f64::from(GATEWAYS), "{name:x}");
    }
}

/// A handover is finished only with its last part; until then the holder may wait for it.
#[test]
fn a_handover_is_finished_with_its_last_part() {
    let sums = gateways().remove(0);
    let mut counters = Counters::new(2);
    let parts = HandoverPart::split(sums.handover(1.0));
    assert!(parts.len() > 1);
    for (nth, part) in parts.iter().enumerate() {
        assert!(!counters.has_handover_from(1), "after {nth} of {}", parts.len());
        counters.receive_handover(2.0, (1, 1), part);
    }
    assert!(counters.has_handover_from(1));
}

/// A part whose index is not below its count, or whose count is above the maximum, contributes its sums and nothing
/// else.
#[test]
fn an_invalid_part_does_not_finish_a_handover() {
    let entries = gateways().remove(0).handover(1.0);
    for (index, count) in [(1, 1), (0, 0), (64, 65), (200, 255)] {
        let mut counters = Counters::new(2);
        counters.receive_handover(
            2.0,
            (1, 1),
            &HandoverPart { index, count, entries: entries[..4].to_vec() },
        );
        assert!(!counters.has_handover_from(1), "{index} of {count}");
    }
}

/// A repeated part changes nothing in the previous totals: what a gateway without a handover had counted stays counted.
#[test]
fn a_repeated_part_subtracts_nothing() {
    let mut counters = Counters::new(2);
    for (node, sums) in (1..).zip(&gateways()).skip(1) {
        let parts = HandoverPart::split(sums.handover(1.0));
        for part in parts.iter().flat_map(|part| [part, part]) {
            counters.receive_handover(2.0, (node, 1), part);
        }
    }
    counters.complete_handover(2.0, &[1]);
    for name in (0..TENANTS).flat_map(names).filter(|name| name & 1 == 0) {
        assert_eq!(counters.total(name), f64::from(GATEWAYS), "{name:x}");
    }
}
