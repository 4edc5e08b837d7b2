//! Days of many changes with a member of the core away, and planted faults.

use lupinledge_simulation::absent_member::{run_absence, CATCH_UP};
use lupinledge_simulation::Flaw;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;

/// Changes of a day, and of those that planted faults are looked for in.
const CHANGES: usize = 1_000;
const FEWER: usize = 120;
const DAYS: u64 = 21;
const CAUGHT: u64 = 70;

#[test]
fn a_member_that_was_away_for_a_thousand_changes_catches_up_and_leads() {
    let (next, days) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Relaxed);
                if seed >= DAYS {
                    return;
                }
                let day = run_absence(seed, CHANGES, Flaw::None)
                    .unwrap_or_else(|what| panic!("seed {seed}: {what}"));
                days.lock().unwrap().push((seed, day));
            });
        }
    });
    let mut days = days.into_inner().unwrap();
    days.sort_by_key(|day| day.0);
    days.iter().for_each(|day| eprintln!("{day:?}"));
    assert!(days.iter().all(|(_, day)| day.seen.acks >= CHANGES as u64 * 9 / 10), "too few changes");
    let led = days.iter().filter(|(_, day)| day.led).count();
    assert!(led as u64 > DAYS / 2, "it held the duty on {led} days");
    assert!(days.iter().all(|(_, day)| day.caught_up <= CATCH_UP));
}

#[test]
fn many_shorter_days() {
    for seed in 1_000..1_100 {
        run_absence(seed, FEWER, Flaw::None).unwrap_or_else(|what| panic!("seed {seed}: {what}"));
    }
}

#[test]
fn each_planted_fault_is_caught() {
    let found: Vec<_> = std::thread::scope(|scope| {
        let look = |flaw| {
            (0..CAUGHT).find_map(|seed| run_absence(seed, FEWER, flaw).err().map(|what| (seed + 1, what)))
        };
        let threads = Flaw::AWAY.map(|flaw| scope.spawn(move || (flaw, look(flaw))));
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    found.iter().for_each(|(flaw, caught)| eprintln!("{flaw:?}: {caught:?}"));
    let missed: Vec<Flaw> = found.iter().filter(|f| f.1.is_none()).map(|f| f.0).collect();
    assert!(missed.is_empty(), "not caught: {missed:?}");
}

/// As many more as wanted: `FROM=2000 TO=9000 cargo test -p lupinledge-simulation --test away -- --ignored`.
#[test]
#[ignore = "takes as long as it is told to"]
fn many_more() {
    let bound = |name: &str, or| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(or);
    let (next, to): (AtomicU64, u64) = (AtomicU64::new(bound("FROM", 2_000)), bound("TO", 4_000));
    let bad = Mutex::new(0);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Relaxed);
                if seed >= to {
                    return;
                }
                if let Err(what) = run_absence(seed, FEWER, Flaw::None) {
                    println!("{seed}: {what}");
                    *bad.lock().unwrap() += 1;
                }
            });
        }
    });
    assert_eq!(bad.into_inner().unwrap(), 0);
}
