//! Members of the core cut off for twenty seconds, by seed, with operators at every member, and planted faults.

use lupinledge_simulation::{run_partitions, Flaw, PartitionCoverage, PartitionSchedule};
use std::sync::Mutex;

/// Days of one test; four tests share the cores of a machine.
const EACH: u64 = 100;
/// A planted fault is caught within so many days.
const CAUGHT: u64 = 300;

fn quarter(nth: u64) {
    let mut sums = PartitionCoverage::default();
    for seed in nth * EACH..(nth + 1) * EACH {
        match run_partitions(&PartitionSchedule::new(seed), Flaw::None) {
            Ok(seen) => sums.add(&seen),
            Err(what) => panic!("{what}"),
        }
    }
    eprintln!("{sums:?}");
    let least = [sums.orders, sums.later, sums.said].into_iter().min();
    assert!(
        least > Some(10 * EACH) && sums.elsewhere > EACH,
        "too little was done to say anything: {sums:?}"
    );
}

macro_rules! quarters {
    ($($name:ident $nth:expr),*) => { $(#[test] fn $name() { quarter($nth); })* };
}

quarters!(first 0, second 1, third 2, fourth 3);

#[test]
fn each_planted_fault_is_caught() {
    let found = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for flaw in Flaw::CUTS {
            let found = &found;
            scope.spawn(move || {
                let caught = (0..CAUGHT).find_map(|seed| {
                    run_partitions(&PartitionSchedule::new(seed), flaw).err().map(|w| (seed + 1, w))
                });
                found.lock().unwrap().push((flaw, caught));
            });
        }
    });
    let found = found.into_inner().unwrap();
    found.iter().for_each(|(flaw, caught)| eprintln!("{flaw:?}: {caught:?}"));
    let missed: Vec<Flaw> = found.iter().filter(|f| f.1.is_none()).map(|f| f.0).collect();
    assert!(missed.is_empty(), "not caught: {missed:?}");
}

/// `FROM=0 TO=2000 [MODEL_FLAW=LeadsAlone] cargo test -p lupinledge-simulation --test cuts -- --ignored --nocapture`
#[test]
#[ignore = "takes as long as it is told to"]
fn many_more() {
    let bound = |name: &str, or| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(or);
    let (from, to): (u64, u64) = (bound("FROM", 4 * EACH), bound("TO", 20 * EACH));
    let flaw = std::env::var("MODEL_FLAW").unwrap_or_default();
    let flaw = Flaw::CUTS.into_iter().find(|f| format!("{f:?}") == flaw).unwrap_or_default();
    let (mut sums, mut bad) = (PartitionCoverage::default(), 0);
    for seed in from..to {
        match run_partitions(&PartitionSchedule::new(seed), flaw) {
            Ok(seen) => sums.add(&seen),
            Err(what) => {
                println!("{what}");
                bad += 1;
            }
        }
    }
    println!("{sums:?}");
    assert!(bad == 0, "{bad} of {} seeds", to - from);
}
