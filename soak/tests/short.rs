//! The short form of the soak test: runs the workspace's programs as the tests build them with some seconds of
//! overlapping troubles for each seed, and checks the promises without a bound in time. `docs/soak.md` describes the
//! long form.

use lupinledge_soak::checks::Scope;
use lupinledge_soak::cluster::{ClusterSize, Programs};
use lupinledge_soak::faults::{Kind, Schedule};
use lupinledge_soak::run::{run, Plan};
use std::path::PathBuf;
use std::time::Duration;
use test_case::test_case;

/// The workspace's programs, in the folder two levels above this test's own program.
fn programs() -> Programs {
    let test_program = std::env::current_exe().expect("this program");
    let folder: PathBuf = test_program.ancestors().nth(2).expect("the folder of the programs").into();
    let programs = Programs::within(&folder);
    for program in [&programs.core, &programs.edge] {
        assert!(program.exists(), "{}: not built; `cargo test --workspace` builds it", program.display());
    }
    programs
}

/// Carries out a run and asserts that it has no violations.
fn assert_no_violations(plan: &Plan) {
    let verdict = run(plan).expect("the run completes");
    assert!(verdict.violations.is_empty(), "{}\n{:#?}", verdict.summary, verdict.violations);
    std::fs::remove_dir_all(&plan.folder).expect("the folder can be removed");
}

/// A run of some seconds with a folder of its own.
fn short_plan(seed: u64, name: &str) -> Plan {
    let folder = std::env::temp_dir().join(format!("lupinledge-soak-{}-{name}-{seed}", std::process::id()));
    Plan::with_defaults(seed, Duration::from_secs(8), programs(), Scope::Untimed, folder)
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn promises_are_kept_under_overlapping_troubles(seed: u64) {
    assert_no_violations(&short_plan(seed, "usual"));
}

/// Many edge processes that are killed, restarted and reloaded in series, together with core members.
#[test]
fn promises_are_kept_during_series_of_edge_restarts() {
    use Kind::{KillCores, KillEdges, ReloadEdges, RestartCore, RestartEdges};
    let kinds = vec![KillEdges, RestartEdges, RestartEdges, ReloadEdges, RestartCore, KillCores];
    let schedule = Schedule { kinds, pause: 200..1_500 };
    let size = ClusterSize { edges: 16, ..ClusterSize::default() };
    assert_no_violations(&Plan { size, schedule, clients: 20, limited: 12, ..short_plan(4, "fleet") });
}
