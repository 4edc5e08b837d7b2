//! The rule checks of the lab detect a deliberately broken gateway on every run, and report no violation by the real
//! gateway under the same faults.

use lupinledge_testbed::fleet::GatewayCommand;
use lupinledge_testbed::gateway_settings::GatewaySettings;
use lupinledge_testbed::rules::Rule;
use lupinledge_testbed::run::{run, RunOptions};
use lupinledge_testbed::scenario::Scenario;

fn run_options(build: GatewayCommand) -> RunOptions {
    RunOptions {
        build,
        settings: GatewaySettings::parse(include_str!("../../example/config.json")).unwrap(),
        progress: false,
    }
}

fn ci_scenario() -> Scenario {
    Scenario::parse(include_str!("../scenarios/ci-small.toml")).expect("the CI scenario is valid")
}

fn broken_gateway() -> GatewayCommand {
    GatewayCommand {
        program: env!("CARGO_BIN_EXE_lupinledge-lab").into(),
        args: vec!["broken-gateway".into()],
    }
}

#[test]
fn every_run_of_a_broken_gateway_reports_the_violated_rules() {
    for _ in 0..2 {
        let summary = run(&ci_scenario(), &run_options(broken_gateway())).expect("a run");
        assert!(!summary.rules_kept());
        assert!(summary.verdict[&Rule::NoDuplicateEffect].count > 0, "{}", summary.markdown());
        assert!(summary.verdict[&Rule::NothingToDrainedServer].count > 0, "{}", summary.markdown());
        assert!(summary.markdown().contains("RULE BROKEN"));
        assert!(summary.markdown().contains("2 no effect twice"));
    }
}

#[test]
fn the_gateway_keeps_the_rules_through_the_same_faults() {
    let build = GatewayCommand::next_to_this_program();
    assert!(build.program.exists(), "{} is built by `cargo test --workspace`", build.program.display());
    let summary = run(&ci_scenario(), &run_options(build)).expect("a run");
    assert!(summary.rules_kept(), "{}", summary.markdown());
    assert!(
        summary.counts[&lupinledge_testbed::record::Outcome::Passed] > summary.requests / 2,
        "{}",
        summary.markdown()
    );
}
