//! The lab finds broken rules by itself: a deliberately broken gateway is caught, the real one is not, and the
//! same seed gives the same verdict.

use lupinledge_testbed::fleet::Build;
use lupinledge_testbed::rules::Rule;
use lupinledge_testbed::run::{run, Bench};
use lupinledge_testbed::scenario::Scenario;
use lupinledge_testbed::terms::LabTerms;

fn bench(build: Build) -> Bench {
    Bench {
        build,
        terms: LabTerms::parse(include_str!("../../example/config.json")).unwrap(),
        progress: false,
    }
}

fn small() -> Scenario {
    Scenario::parse(include_str!("../scenarios/ci-small.toml")).expect("the CI scenario")
}

fn broken() -> Build {
    Build { program: env!("CARGO_BIN_EXE_lupinledge-lab").into(), args: vec!["broken-gateway".into()] }
}

#[test]
fn a_broken_gateway_is_named_by_the_rules_it_breaks_every_time() {
    for _ in 0..2 {
        let sum = run(&small(), &bench(broken())).expect("a run");
        assert!(!sum.kept());
        assert!(sum.verdict[&Rule::NoEffectTwice].count > 0, "{}", sum.markdown());
        assert!(sum.verdict[&Rule::NothingToGoneSrv].count > 0, "{}", sum.markdown());
        assert!(sum.markdown().contains("RULE BROKEN"));
        assert!(sum.markdown().contains("2 no effect twice"));
    }
}

#[test]
fn the_gateway_keeps_the_rules_through_the_same_faults() {
    let build = Build::beside();
    assert!(build.program.exists(), "{} is built by `cargo test --workspace`", build.program.display());
    let sum = run(&small(), &bench(build)).expect("a run");
    assert!(sum.kept(), "{}", sum.markdown());
    assert!(sum.counts[&lupinledge_testbed::record::End::Passed] > sum.reqs / 2, "{}", sum.markdown());
}
