//! Commands sent again until they have a clear answer, by seed, with and without injected faults.

use lupinledge_simulation::resends::{run_resends, ResendCoverage};
use lupinledge_simulation::Flaw;
use std::sync::Mutex;

/// Number of runs per test.
const RUNS_PER_TEST: u64 = 250;
/// Number of runs within which an injected fault must be detected.
const DETECTION_LIMIT: u64 = 400;

/// Runs the `nth` quarter of the seeds, and checks that enough happened in them.
fn run_quarter(nth: u64) {
    let mut coverage = ResendCoverage::default();
    for seed in nth * RUNS_PER_TEST..(nth + 1) * RUNS_PER_TEST {
        match run_resends(seed, Flaw::None) {
            Ok(run) => coverage.add(&run),
            Err(what) => panic!("{what}"),
        }
    }
    eprintln!("{coverage:?}");
    let least = [coverage.accepted, coverage.refused, coverage.repeated, coverage.replaced, coverage.zones]
        .into_iter()
        .min();
    assert!(least > Some(RUNS_PER_TEST), "the runs cover too little: {coverage:?}");
}

macro_rules! quarters {
    ($($name:ident $nth:expr),*) => { $(#[test] fn $name() { run_quarter($nth); })* };
}

quarters!(first_quarter 0, second_quarter 1, third_quarter 2, fourth_quarter 3);

#[test]
fn the_same_seed_gives_the_same_run() {
    for seed in 0..10 {
        assert_eq!(run_resends(seed, Flaw::None), run_resends(seed, Flaw::None), "seed {seed}");
    }
}

#[test]
fn each_injected_fault_is_detected() {
    let missed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for flaw in Flaw::RESENDS {
            let missed = &missed;
            scope.spawn(move || {
                let detected = (0..DETECTION_LIMIT)
                    .find_map(|seed| run_resends(seed, flaw).err().map(|what| (seed + 1, what)));
                eprintln!("{flaw:?}: {detected:?}");
                if detected.is_none() {
                    missed.lock().unwrap().push(flaw);
                }
            });
        }
    });
    let missed = missed.into_inner().unwrap();
    assert!(missed.is_empty(), "not detected: {missed:?}");
}

/// Runs the seeds of a range: `FROM=1000 TO=20000 cargo test --release -p lupinledge-simulation --test resends -- --ignored`.
#[test]
#[ignore = "the duration depends on the number of seeds"]
fn seeds_of_a_range() {
    let bound =
        |name: &str, default| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default);
    let (from, to): (u64, u64) = (bound("FROM", 4 * RUNS_PER_TEST), bound("TO", 8 * RUNS_PER_TEST));
    let failures: Vec<String> = (from..to).filter_map(|seed| run_resends(seed, Flaw::None).err()).collect();
    failures.iter().for_each(|what| println!("{what}"));
    assert!(failures.is_empty(), "{} of {} seeds failed", failures.len(), to - from);
}
