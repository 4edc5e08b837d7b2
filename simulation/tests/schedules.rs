//! Schedules of faults and orders by seed against the whole system's pure parts, and planted faults.

use lupinledge_simulation::{failure_report, run_schedule, Coverage, Flaw, RunSummary, Schedule};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;

/// Schedules of one test; eight tests share the cores of a machine.
const EACH: u64 = 500;
/// A planted fault is caught within so many schedules.
const CAUGHT: u64 = 400;

fn eighth(nth: u64) {
    let sums = Mutex::new(Coverage::default());
    bolero::check!().exhaustive().with_generator(nth * EACH..(nth + 1) * EACH).cloned().for_each(|seed| {
        let plan = Schedule::new(seed);
        match run_schedule(&plan, Flaw::None) {
            Ok(RunSummary { seen, .. }) => sums.lock().unwrap().add(&seen),
            Err(what) => panic!("{}", failure_report(&plan, Flaw::None, &what)),
        }
    });
    let sums = sums.into_inner().unwrap();
    eprintln!("{sums:?}");
    let least = [sums.acks, sums.reads, sums.stale, sums.counted, sums.wins].into_iter().min();
    assert!(least > Some(EACH), "too little was done to say anything: {sums:?}");
}

macro_rules! eighths {
    ($($name:ident $nth:expr),*) => { $(#[test] fn $name() { eighth($nth); })* };
}

eighths!(first 0, second 1, third 2, fourth 3, fifth 4, sixth 5, seventh 6, eighth_ 7);

#[test]
fn the_same_seed_goes_the_same_way() {
    for seed in 0..20 {
        let plan = Schedule::new(seed);
        assert_eq!(run_schedule(&plan, Flaw::None), run_schedule(&plan, Flaw::None), "seed {seed}");
    }
}

/// After how many schedules the checks catch a fault, and by what.
fn caught(flaw: Flaw) -> Option<(u64, String)> {
    (0..CAUGHT).find_map(|seed| run_schedule(&Schedule::new(seed), flaw).err().map(|what| (seed + 1, what)))
}

#[test]
fn each_planted_fault_is_caught() {
    let found = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for flaw in Flaw::ALL {
            let found = &found;
            scope.spawn(move || {
                let caught = caught(flaw);
                found.lock().unwrap().push((flaw, caught));
            });
        }
    });
    let found = found.into_inner().unwrap();
    found.iter().for_each(|(flaw, caught)| eprintln!("{flaw:?}: {caught:?}"));
    let missed: Vec<Flaw> = found.iter().filter(|f| f.1.is_none()).map(|f| f.0).collect();
    assert!(missed.is_empty(), "not caught: {missed:?}");
}

/// `MODEL_SEED=17 [MODEL_KEEP=0,4,9] [MODEL_FLAW=DiskLies] cargo test -p lupinledge-simulation replay -- --nocapture`
#[test]
fn replay() {
    let Ok(seed) = std::env::var("MODEL_SEED") else { return };
    let mut plan = Schedule::new(seed.parse().expect("MODEL_SEED is a number"));
    if let Ok(keep) = std::env::var("MODEL_KEEP") {
        let places: Vec<usize> = keep.split(',').filter_map(|place| place.parse().ok()).collect();
        plan = plan.only(&places);
    }
    let flaw = std::env::var("MODEL_FLAW").unwrap_or_default();
    let flaw = Flaw::ALL.into_iter().find(|f| format!("{f:?}") == flaw).unwrap_or_default();
    println!("{plan:#?}");
    match run_schedule(&plan, flaw) {
        Ok(course) => println!("{course:?}"),
        Err(what) => panic!("{}", failure_report(&plan, flaw, &what)),
    }
}

/// As many more as wanted: `FROM=2000 TO=100000 cargo test --release -p lupinledge-simulation -- --ignored`.
#[test]
#[ignore = "takes as long as it is told to"]
fn many_more() {
    let bound = |name: &str, or| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(or);
    let (from, to): (u64, u64) = (bound("FROM", 8 * EACH), bound("TO", 80 * EACH));
    let (next, bad) = (AtomicU64::new(from), Mutex::new(0));
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
                    *bad.lock().unwrap() += 1;
                }
            });
        }
    });
    let bad = bad.into_inner().unwrap();
    assert!(bad == 0, "{bad} of {} seeds", to - from);
}
