//! The short form of the soak test: the workspace's programs as the tests build them, some seconds of overlapping
//! troubles a seed, and the promises that have no bound in time. `docs/soak.md` tells of the long form.

use lupinledge_soak::checks::Scope;
use lupinledge_soak::cluster::Programs;
use lupinledge_soak::run::{run, Plan};
use std::path::PathBuf;
use std::time::Duration;
use test_case::test_case;

/// The folder into which the workspace's programs are built, two above that of this test's own program.
fn programs() -> Programs {
    let own = std::env::current_exe().expect("this program");
    let folder: PathBuf = own.ancestors().nth(2).expect("its folder").into();
    let programs = Programs::within(&folder);
    for program in [&programs.core, &programs.edge] {
        assert!(program.exists(), "{}: not built; `cargo test --workspace` builds it", program.display());
    }
    programs
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn promises_are_kept_under_overlapping_troubles(seed: u64) {
    let folder = std::env::temp_dir().join(format!("lupinledge-soak-{}-{seed}", std::process::id()));
    let trouble = Duration::from_secs(8);
    let plan = Plan::usual(seed, trouble, programs(), Scope::Untimed, folder.clone());
    let verdict = run(&plan).expect("a run");
    assert!(verdict.violations.is_empty(), "{}\n{:#?}", verdict.summary, verdict.violations);
    std::fs::remove_dir_all(folder).expect("its folder goes");
}
