//! Runs with many changes while a core member is absent, by seed, with and without injected faults.

use lupinledge_simulation::absent_member::{run_absence, CATCH_UP};
use lupinledge_simulation::Flaw;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;

/// Number of changes in a long run.
const CHANGES: usize = 1_000;
/// Number of changes in the shorter runs, which are also used to detect the injected faults.
const FEWER_CHANGES: usize = 120;
/// Number of long runs.
const RUNS: u64 = 21;
/// Number of runs within which an injected fault must be detected.
const DETECTION_LIMIT: u64 = 70;

#[test]
fn a_member_absent_for_a_thousand_changes_catches_up_and_leads() {
    let (next, summaries) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Relaxed);
                if seed >= RUNS {
                    return;
                }
                let summary = run_absence(seed, CHANGES, Flaw::None)
                    .unwrap_or_else(|what| panic!("seed {seed}: {what}"));
                summaries.lock().unwrap().push((seed, summary));
            });
        }
    });
    let mut summaries = summaries.into_inner().unwrap();
    summaries.sort_by_key(|summary| summary.0);
    summaries.iter().for_each(|summary| eprintln!("{summary:?}"));
    assert!(
        summaries.iter().all(|(_, summary)| summary.coverage.acks >= CHANGES as u64 * 9 / 10),
        "too few changes"
    );
    let led = summaries.iter().filter(|(_, summary)| summary.led).count();
    assert!(led as u64 > RUNS / 2, "the member led in only {led} of {RUNS} runs");
    assert!(summaries.iter().all(|(_, summary)| summary.caught_up <= CATCH_UP));
}

#[test]
fn members_catch_up_in_many_shorter_runs() {
    for seed in 1_000..1_100 {
        run_absence(seed, FEWER_CHANGES, Flaw::None).unwrap_or_else(|what| panic!("seed {seed}: {what}"));
    }
}

#[test]
fn each_injected_fault_is_detected() {
    let results: Vec<_> = std::thread::scope(|scope| {
        let detect = |flaw| {
            (0..DETECTION_LIMIT)
                .find_map(|seed| run_absence(seed, FEWER_CHANGES, flaw).err().map(|what| (seed + 1, what)))
        };
        let threads = Flaw::ABSENT_MEMBER.map(|flaw| scope.spawn(move || (flaw, detect(flaw))));
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    results.iter().for_each(|(flaw, detected)| eprintln!("{flaw:?}: {detected:?}"));
    let missed: Vec<Flaw> = results.iter().filter(|r| r.1.is_none()).map(|r| r.0).collect();
    assert!(missed.is_empty(), "not detected: {missed:?}");
}

/// Runs the seeds of a range: `FROM=2000 TO=9000 cargo test -p lupinledge-simulation --test absent_member -- --ignored`.
#[test]
#[ignore = "the duration depends on the number of seeds"]
fn seeds_of_a_range() {
    let bound =
        |name: &str, default| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default);
    let (next, to): (AtomicU64, u64) = (AtomicU64::new(bound("FROM", 2_000)), bound("TO", 4_000));
    let failures = Mutex::new(0);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Relaxed);
                if seed >= to {
                    return;
                }
                if let Err(what) = run_absence(seed, FEWER_CHANGES, Flaw::None) {
                    println!("{seed}: {what}");
                    *failures.lock().unwrap() += 1;
                }
            });
        }
    });
    assert_eq!(failures.into_inner().unwrap(), 0);
}
