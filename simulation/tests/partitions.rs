//! Core members cut off for twenty seconds while operators send commands to every member, by seed, with and without
//! injected faults.

use lupinledge_simulation::{run_partitions, Flaw, PartitionCoverage, PartitionSchedule};
use std::sync::Mutex;

/// Number of runs per test. The runs are divided among four tests, which run in parallel.
const RUNS_PER_TEST: u64 = 100;
/// Number of runs within which an injected fault must be detected.
const DETECTION_LIMIT: u64 = 300;

/// Runs the `nth` quarter of the seeds, and checks that enough happened in them.
fn run_quarter(nth: u64) {
    let mut coverage = PartitionCoverage::default();
    for seed in nth * RUNS_PER_TEST..(nth + 1) * RUNS_PER_TEST {
        match run_partitions(&PartitionSchedule::new(seed), Flaw::None) {
            Ok(run) => coverage.add(&run),
            Err(what) => panic!("{what}"),
        }
    }
    eprintln!("{coverage:?}");
    let least = [coverage.commands, coverage.unknown, coverage.answered].into_iter().min();
    assert!(
        least > Some(10 * RUNS_PER_TEST) && coverage.redirected > RUNS_PER_TEST,
        "the runs cover too little: {coverage:?}"
    );
}

macro_rules! quarters {
    ($($name:ident $nth:expr),*) => { $(#[test] fn $name() { run_quarter($nth); })* };
}

quarters!(first_quarter 0, second_quarter 1, third_quarter 2, fourth_quarter 3);

#[test]
fn each_injected_fault_is_detected() {
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for flaw in Flaw::PARTITIONS {
            let results = &results;
            scope.spawn(move || {
                let detected = (0..DETECTION_LIMIT).find_map(|seed| {
                    run_partitions(&PartitionSchedule::new(seed), flaw).err().map(|what| (seed + 1, what))
                });
                results.lock().unwrap().push((flaw, detected));
            });
        }
    });
    let results = results.into_inner().unwrap();
    results.iter().for_each(|(flaw, detected)| eprintln!("{flaw:?}: {detected:?}"));
    let missed: Vec<Flaw> = results.iter().filter(|r| r.1.is_none()).map(|r| r.0).collect();
    assert!(missed.is_empty(), "not detected: {missed:?}");
}

/// Runs the seeds of a range:
/// `FROM=0 TO=2000 [MODEL_FLAW=LeadsAlone] cargo test -p lupinledge-simulation --test partitions -- --ignored --nocapture`
#[test]
#[ignore = "the duration depends on the number of seeds"]
fn seeds_of_a_range() {
    let bound =
        |name: &str, default| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default);
    let (from, to): (u64, u64) = (bound("FROM", 4 * RUNS_PER_TEST), bound("TO", 20 * RUNS_PER_TEST));
    let flaw = std::env::var("MODEL_FLAW").unwrap_or_default();
    let flaw = Flaw::PARTITIONS.into_iter().find(|f| format!("{f:?}") == flaw).unwrap_or_default();
    let (mut coverage, mut failures) = (PartitionCoverage::default(), 0);
    for seed in from..to {
        match run_partitions(&PartitionSchedule::new(seed), flaw) {
            Ok(run) => coverage.add(&run),
            Err(what) => {
                println!("{what}");
                failures += 1;
            }
        }
    }
    println!("{coverage:?}");
    assert!(failures == 0, "{failures} of {} seeds failed", to - from);
}
