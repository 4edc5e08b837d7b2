//! Orders sent again until they have a clear answer, by seed, and planted faults.

use lupinledge_simulation::resends::{resends, ResendCoverage};
use lupinledge_simulation::Flaw;
use std::sync::Mutex;

/// Schedules of one test.
const EACH: u64 = 250;
/// A planted fault is caught within so many schedules.
const CAUGHT: u64 = 400;

fn quarter(nth: u64) {
    let mut sums = ResendCoverage::default();
    for seed in nth * EACH..(nth + 1) * EACH {
        match resends(seed, Flaw::None) {
            Ok(tally) => sums.add(&tally),
            Err(what) => panic!("{what}"),
        }
    }
    eprintln!("{sums:?}");
    let least = [sums.taken, sums.refused, sums.again, sums.replaced, sums.zones].into_iter().min();
    assert!(least > Some(EACH), "too little was done to say anything: {sums:?}");
}

macro_rules! quarters {
    ($($name:ident $nth:expr),*) => { $(#[test] fn $name() { quarter($nth); })* };
}

quarters!(first 0, second 1, third 2, fourth 3);

#[test]
fn the_same_seed_goes_the_same_way() {
    for seed in 0..10 {
        assert_eq!(resends(seed, Flaw::None), resends(seed, Flaw::None), "seed {seed}");
    }
}

#[test]
fn each_planted_fault_is_caught() {
    let missed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for flaw in Flaw::RESENDS {
            let missed = &missed;
            scope.spawn(move || {
                let caught =
                    (0..CAUGHT).find_map(|seed| resends(seed, flaw).err().map(|what| (seed + 1, what)));
                eprintln!("{flaw:?}: {caught:?}");
                if caught.is_none() {
                    missed.lock().unwrap().push(flaw);
                }
            });
        }
    });
    let missed = missed.into_inner().unwrap();
    assert!(missed.is_empty(), "not caught: {missed:?}");
}

/// As many more as wanted: `FROM=1000 TO=20000 cargo test --release -p lupinledge-simulation --test resends -- --ignored`.
#[test]
#[ignore = "takes as long as it is told to"]
fn many_more() {
    let bound = |name: &str, or| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(or);
    let (from, to): (u64, u64) = (bound("FROM", 4 * EACH), bound("TO", 8 * EACH));
    let bad: Vec<String> = (from..to).filter_map(|seed| resends(seed, Flaw::None).err()).collect();
    bad.iter().for_each(|what| println!("{what}"));
    assert!(bad.is_empty(), "{} of {} seeds", bad.len(), to - from);
}
