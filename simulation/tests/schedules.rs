//! Schedules of faults and commands, by seed, against the system's deterministic parts, with and without injected
//! faults.

use lupinledge_simulation::{failure_report, run_schedule, Coverage, Flaw, RunSummary, Schedule};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;

/// Number of schedules per test. The schedules are divided among eight tests, which run in parallel.
const RUNS_PER_TEST: u64 = 500;
/// Number of schedules within which an injected fault must be detected.
const DETECTION_LIMIT: u64 = 400;

/// Runs the `nth` eighth of the seeds, and checks that enough happened in them.
fn run_eighth(nth: u64) {
    let total = Mutex::new(Coverage::default());
    bolero::check!()
        .exhaustive()
        .with_generator(nth * RUNS_PER_TEST..(nth + 1) * RUNS_PER_TEST)
        .cloned()
        .for_each(|seed| {
            let schedule = Schedule::new(seed);
            match run_schedule(&schedule, Flaw::None) {
                Ok(RunSummary { coverage, .. }) => total.lock().unwrap().add(&coverage),
                Err(what) => panic!("{}", failure_report(&schedule, Flaw::None, &what)),
            }
        });
    let total = total.into_inner().unwrap();
    eprintln!("{total:?}");
    let least =
        [total.acks, total.reads, total.refusals, total.counter_replies, total.epochs_won].into_iter().min();
    assert!(least > Some(RUNS_PER_TEST), "the schedules cover too little: {total:?}");
}

macro_rules! eighths {
    ($($name:ident $nth:expr),*) => { $(#[test] fn $name() { run_eighth($nth); })* };
}

eighths!(
    first_eighth 0, second_eighth 1, third_eighth 2, fourth_eighth 3,
    fifth_eighth 4, sixth_eighth 5, seventh_eighth 6, last_eighth 7
);

#[test]
fn the_same_seed_gives_the_same_run() {
    for seed in 0..20 {
        let schedule = Schedule::new(seed);
        assert_eq!(run_schedule(&schedule, Flaw::None), run_schedule(&schedule, Flaw::None), "seed {seed}");
    }
}

/// The number of schedules until the checks detect a fault, and the violation.
fn detect(flaw: Flaw) -> Option<(u64, String)> {
    (0..DETECTION_LIMIT)
        .find_map(|seed| run_schedule(&Schedule::new(seed), flaw).err().map(|what| (seed + 1, what)))
}

#[test]
fn each_injected_fault_is_detected() {
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for flaw in Flaw::SCHEDULES {
            let results = &results;
            scope.spawn(move || {
                let detected = detect(flaw);
                results.lock().unwrap().push((flaw, detected));
            });
        }
    });
    let results = results.into_inner().unwrap();
    results.iter().for_each(|(flaw, detected)| eprintln!("{flaw:?}: {detected:?}"));
    let missed: Vec<Flaw> = results.iter().filter(|r| r.1.is_none()).map(|r| r.0).collect();
    assert!(missed.is_empty(), "not detected: {missed:?}");
}

/// Runs one schedule, or only the steps in MODEL_KEEP of it:
/// `MODEL_SEED=17 [MODEL_KEEP=0,4,9] [MODEL_FLAW=DiskLies] cargo test -p lupinledge-simulation replay -- --nocapture`
#[test]
fn replay() {
    let Ok(seed) = std::env::var("MODEL_SEED") else { return };
    let mut schedule = Schedule::new(seed.parse().expect("MODEL_SEED is a number"));
    if let Ok(keep) = std::env::var("MODEL_KEEP") {
        let indexes: Vec<usize> = keep.split(',').filter_map(|index| index.parse().ok()).collect();
        schedule = schedule.with_steps(&indexes);
    }
    let flaw = std::env::var("MODEL_FLAW").unwrap_or_default();
    let flaw = Flaw::SCHEDULES.into_iter().find(|f| format!("{f:?}") == flaw).unwrap_or_default();
    println!("{schedule:#?}");
    match run_schedule(&schedule, flaw) {
        Ok(summary) => println!("{summary:?}"),
        Err(what) => panic!("{}", failure_report(&schedule, flaw, &what)),
    }
}

/// Runs the seeds of a range: `FROM=2000 TO=100000 cargo test --release -p lupinledge-simulation -- --ignored`.
#[test]
#[ignore = "the duration depends on the number of seeds"]
fn seeds_of_a_range() {
    let bound =
        |name: &str, default| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default);
    let (from, to): (u64, u64) = (bound("FROM", 8 * RUNS_PER_TEST), bound("TO", 80 * RUNS_PER_TEST));
    let (next, failures) = (AtomicU64::new(from), Mutex::new(0));
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads.div_ceil(2) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Relaxed);
                if seed >= to {
                    return;
                }
                if let Err(what) = run_schedule(&Schedule::new(seed), Flaw::None) {
                    println!("{seed}: {what}");
                    *failures.lock().unwrap() += 1;
                }
            });
        }
    });
    let failures = failures.into_inner().unwrap();
    assert!(failures == 0, "{failures} of {} seeds failed", to - from);
}
