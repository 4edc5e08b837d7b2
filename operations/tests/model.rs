//! Random schedules of claims under faults: no key runs twice, and calm brings service back.

#[path = "model/world.rs"]
mod world;

use world::{Flaw, Plan, Violation, World};

const FIVE: Plan =
    Plan { voters: 5, gateways: 4, tolerate: 2, seconds: 25.0, replacements: false, flaw: Flaw::None };
const THREE: Plan = Plan { voters: 3, tolerate: 1, ..FIVE };
const REPLACED: Plan = Plan { replacements: true, ..FIVE };
const THREE_REPLACED: Plan = Plan { replacements: true, ..THREE };
/// Schedules that each test plays; `SCHEDULES` in the environment sets another number.
const SCHEDULES: u64 = 150;

fn schedules() -> u64 {
    std::env::var("SCHEDULES").ok().and_then(|number| number.parse().ok()).unwrap_or(SCHEDULES)
}

/// The first schedule that broke something, and what; with the claims granted and the answers repeated in all.
fn first_broken(plan: Plan) -> (Option<(u64, Violation)>, u64, u64) {
    let (mut granted, mut repeated) = (0, 0);
    for seed in 0..schedules() {
        let mut world = World::new(seed, plan);
        world.play();
        granted += world.granted;
        repeated += world.repeated;
        if let Some(violation) = world.violations.first().cloned() {
            if plan.flaw == Flaw::None {
                println!("seed {seed} at the end:\n{}", world.describe());
            }
            return (Some((seed, violation)), granted, repeated);
        }
    }
    (None, granted, repeated)
}

fn holds(plan: Plan) {
    let (broken, granted, repeated) = first_broken(plan);
    assert_eq!(broken, None, "{plan:?}");
    assert!(repeated > 10 * schedules(), "only {repeated} answers were repeated");
    assert!(granted > 50 * schedules(), "only {granted} claims were granted");
}

#[test]
fn no_key_runs_twice_among_five_voters() {
    holds(FIVE);
}

#[test]
fn no_key_runs_twice_among_three_voters() {
    holds(THREE);
}

#[test]
fn no_key_runs_twice_while_members_are_replaced() {
    holds(REPLACED);
    holds(THREE_REPLACED);
}

#[test]
fn each_planted_fault_is_caught() {
    let flaws = [
        Flaw::UnsyncedVotes,
        Flaw::NoLearning,
        Flaw::EmptyLessons,
        Flaw::MixedElectorates,
        Flaw::ReleasedAfterRun,
        Flaw::ShortKeep,
    ];
    for flaw in flaws {
        let plans = [Plan { flaw, ..FIVE }, Plan { flaw, ..THREE }, Plan { flaw, ..REPLACED }];
        let twice = |plan: &Plan| matches!(first_broken(*plan).0, Some((_, Violation::Twice { .. })));
        assert!(plans.iter().any(twice), "{flaw:?} went unseen");
    }
}

#[test]
fn an_answer_of_another_operation_is_caught() {
    let (broken, ..) = first_broken(Plan { flaw: Flaw::SwappedAnswers, ..FIVE });
    assert!(matches!(broken, Some((_, Violation::Mixed { .. }))), "{broken:?}");
}
