//! Each check reports violations of its rule, and reports nothing for a run without violations.

use lupinledge_soak::checks::{Evidence, Scope};
use lupinledge_soak::configuration::bounds::KEY_WINDOW;
use lupinledge_soak::configuration::{
    moving_to, rotating_key, FREE, HOMED, LIMITED, MOVING, PAY, READ, UNKNOWN_KEY,
};
use lupinledge_soak::operation_checks::Operations;
use lupinledge_soak::record::{
    Arrival, Evacuation, Observations, OperationProbe, OperationRun, OperationTry, Outcome, Process,
    SentRequest, Trouble, Version,
};
use test_case::test_case;

fn answered(status: u16) -> Outcome {
    Outcome::Answered { status, fault: None }
}

/// A request that is sent at `at`.
fn sent(prefix: &str, at: f64, outcome: Outcome) -> SentRequest {
    let id = format!("id-{at}");
    let (path, repeatable) = (format!("{prefix}{id}"), prefix == READ || prefix == MOVING);
    let (api_key, deadline, ended_at) = (FREE.1.to_string(), at + 2.0, at + 0.1);
    SentRequest { id, path, repeatable, api_key, edge: 0, at, ended_at, deadline, outcome }
}

/// The run of a request at a server.
fn arrival_of(sent: &SentRequest, server: &str) -> Arrival {
    let service = if sent.path.starts_with(HOMED) { "beta" } else { "alpha" };
    Arrival {
        id: sent.id.clone(),
        path: sent.path.clone(),
        server: server.into(),
        service: service.into(),
        zone: "north-1".into(),
        at: sent.at + 0.02,
        ran: true,
        tenant: Some(FREE.0.into()),
        fault: None,
        worked_until: sent.at + 0.05,
        stopped: false,
    }
}

fn version(number: u64, acknowledged: f64) -> Version {
    Version {
        number,
        base: number - 1,
        sent_at: acknowledged - 0.1,
        acknowledged: Some(acknowledged),
        refused: false,
        moving_to: moving_to(number),
        key: rotating_key(number, 0),
        body: Vec::new(),
    }
}

/// A run with one successful request of each kind, under one configuration.
fn run_without_violations() -> Observations {
    let mut observations = Observations { versions: vec![version(2, 1.0)], ..Observations::default() };
    for (prefix, at) in [(READ, 20.0), (PAY, 21.0), (HOMED, 22.0), (MOVING, 23.0)] {
        let sent = sent(prefix, at, answered(200));
        observations.arrivals.push(arrival_of(&sent, "i-1"));
        observations.requests.push(sent);
    }
    // the first try runs, the second repeats it, and the third is for an operation that is never served
    add_operation_try(&mut observations, "served", 24.0, answered(200));
    observations.operation_runs.push(operation_run("served", 24.0));
    add_operation_try(&mut observations, "served", 25.0, answered(200));
    add_operation_try(&mut observations, "refused", 26.0, answered(503));
    observations
        .operation_probes
        .push(OperationProbe { edge: 0, operations: vec!["refused".into(), "served".into()] });
    observations
}

fn attempt_id(operation: &str, at: f64) -> String {
    format!("{operation}.{at}")
}

/// Adds a try of an operation; a success has the stamp and body of the run at 24.0.
fn add_operation_try(observations: &mut Observations, operation: &str, at: f64, outcome: Outcome) {
    let success = matches!(outcome, Outcome::Answered { status: 200..300, .. });
    observations.operation_tries.push(OperationTry {
        operation: operation.into(),
        attempt: attempt_id(operation, at),
        edge: 0,
        at,
        ended_at: at + 0.5,
        outcome,
        stamp: success.then(|| "stamp-24".into()),
        body: if success { 24 } else { 0 },
    });
}

/// The run of the try that was sent at `at`.
fn operation_run(operation: &str, at: f64) -> OperationRun {
    OperationRun {
        operation: operation.into(),
        attempt: attempt_id(operation, at),
        server: "i-1".into(),
        at: at + 0.02,
        stamp: format!("stamp-{at}"),
        body: at as u64,
    }
}

fn violations(observations: &Observations) -> Vec<String> {
    Evidence::new(observations).violations(Scope::All)
}

/// Adds a request with its runs.
fn add_request(observations: &mut Observations, sent: SentRequest, servers: &[&str]) {
    observations.arrivals.extend(servers.iter().map(|server| arrival_of(&sent, server)));
    observations.requests.push(sent);
}

fn trouble(process: Process, from: f64, until: f64, planned: bool) -> Trouble {
    Trouble { description: "test".into(), process: Some(process), from, until, planned }
}

#[test]
fn a_run_without_faults_has_no_violations() {
    assert_eq!(violations(&run_without_violations()), Vec::<String>::new());
}

type Change = fn(&mut Observations);

#[test_case("TWICE", |observations| add_request(observations, sent(PAY, 30.0, answered(200)), &["i-1", "i-2"]); "ran twice")]
#[test_case("REFUSED", |observations| add_request(observations, sent(PAY, 30.0, answered(503)), &["i-1"]); "refused but run")]
#[test_case("MIXED", |observations| add_request(observations, sent(READ, 30.0, answered(200)), &[]); "a success without a run")]
#[test_case("MIXED", |observations| add_request(observations, sent(READ, 30.0, Outcome::Answered { status: 200, fault: Some("body") }), &["i-1"]); "a wrong body")]
#[test_case("DENIED", |observations| add_request(observations, sent(READ, 30.0, answered(404)), &[]); "an allowed request denied")]
#[test_case("BUDGET", |observations| add_request(observations, sent(READ, 30.0, answered(200)), &["i-1", "i-2", "i-3"]); "too many servers")]
#[test_case("CONFIG", |observations| add_request(observations, sent(READ, 30.0, Outcome::Silent), &[]); "no answer")]
#[test_case("LOST", |observations| add_request(observations, sent(PAY, 30.0, Outcome::Broken), &["i-1"]); "connection broken")]
#[test_case("ROUTE", |observations| add_request(observations, SentRequest { api_key: UNKNOWN_KEY.into(), ..sent(READ, 30.0, answered(200)) }, &["i-1"]); "an unknown key")]
#[test_case("ROUTE", |observations| observations.arrivals[0].service = "beta".into(); "another service")]
#[test_case("HOME", |observations| observations.arrivals[2].zone = "south-1".into(); "outside the home regions")]
#[test_case("UNASKED", |observations| observations.arrivals[0].fault = Some("a key was passed on"); "a key passed on")]
#[test_case("UNASKED", |observations| observations.arrivals[0].tenant = Some("other".into()); "an unknown tenant")]
#[test_case("CONFIG", |observations| observations.versions.push(version(3, 10.0)); "an older route")]
#[test_case("CONFIG", |observations| {
    observations.versions.extend([version(3, 10.0), version(4, 11.0)]);
    let old = rotating_key(2, 0);
    add_request(observations, SentRequest { api_key: old, ..sent(READ, 30.0, answered(200)) }, &["i-1"]);
}; "an older key")]
#[test_case("EVAC", |observations| observations.evacuations.push(Evacuation { zone: "north-1".into(), acknowledged: Some(5.0), revoked: None }); "an evacuated zone")]
#[test_case("QUOTA", |observations| for nth in 0..200 {
    let sent = sent(READ, 30.0 + f64::from(nth) / 100.0, answered(200));
    observations.arrivals.push(Arrival { tenant: Some(LIMITED.0.into()), ..arrival_of(&sent, "i-1") });
}; "over the quota")]
#[test_case("BUDGET", |observations| for nth in 0..200 {
    add_request(observations, sent(READ, 30.0 + f64::from(nth) / 100.0, answered(200)), &["i-1", "i-2"]);
}; "over the retry budget")]
#[test_case("GONE", |observations| for nth in 0..8 {
    let left = sent(READ, 30.0 + f64::from(nth), Outcome::Left);
    observations.arrivals.push(Arrival { worked_until: left.ended_at + 2.0, ..arrival_of(&left, "i-1") });
    observations.requests.push(left);
}; "work for a client that has left")]
#[test_case("TWICE", |observations| observations.operation_runs.push(operation_run("served", 25.0)); "a key ran twice")]
#[test_case("TWICE", |observations| observations.operation_runs.extend([26.0, 26.0 + KEY_WINDOW - 1.0].map(|at| operation_run("other", at))); "a key ran twice within its window")]
#[test_case("MIXED", |observations| observations.operation_runs[0].stamp = "another".into(); "stamps of no run")]
#[test_case("MIXED", |observations| observations.operation_runs[0].body = 7; "bodies of no run")]
#[test_case("MIXED", |observations| observations.operation_runs[0].operation = "other".into(); "the run of another key")]
#[test_case("MIXED", |observations| add_operation_try(observations, "other", 27.0, Outcome::Answered { status: 200, fault: Some("body") }); "a keyed answer with a fault")]
#[test_case("DENIED", |observations| add_operation_try(observations, "served", 27.0, answered(422)); "an allowed repeat refused as a different request")]
#[test_case("DENIED", |observations| add_operation_try(observations, "other", 27.0, answered(400)); "an allowed key denied")]
#[test_case("REFUSED", |observations| {
    add_operation_try(observations, "other", 27.0, answered(503));
    observations.operation_runs.push(operation_run("other", 27.0));
}; "a key refused but run")]
#[test_case("REFUSED", |observations| {
    add_operation_try(observations, "other", 27.0, answered(429));
    observations.operation_runs.push(operation_run("other", 27.0));
}; "a key over quota but run")]
#[test_case("LOST", |observations| add_operation_try(observations, "other", 27.0, Outcome::Broken); "connection of a keyed request broken")]
#[test_case("RECOVER", |observations| observations.operation_probes[0].operations.truncate(1); "no new key served")]
#[test_case("RECOVER", |observations| observations.operation_probes[0].operations.clear(); "no new key tried")]
#[test_case("RECOVER", |observations| observations.operation_tries[1].outcome = answered(502); "a repeat not answered")]
#[test_case("noted", |observations| observations.violations.push("noted".into()); "recorded during the run")]
fn only_the_broken_rule_is_reported(rule: &str, change: Change) {
    let mut observations = run_without_violations();
    change(&mut observations);
    let violations = violations(&observations);
    assert!(
        !violations.is_empty() && violations.iter().all(|violation| violation.starts_with(rule)),
        "{violations:?}"
    );
}

/// Two successes with the answers of different runs break two rules, and both are reported.
#[test]
fn repeats_that_are_answered_differently() {
    let mut observations = run_without_violations();
    observations.operation_probes.clear();
    observations.operation_runs.push(operation_run("served", 25.0));
    let repeat = &mut observations.operation_tries[1];
    (repeat.stamp, repeat.body) = (Some("stamp-25".into()), 25);
    let violations = violations(&observations);
    let count_of = |rule: &str| violations.iter().filter(|violation| violation.starts_with(rule)).count();
    assert!(violations.len() == 2 && count_of("MIXED") == 1 && count_of("TWICE") == 1, "{violations:?}");
}

/// A repeat isn't counted if a process had a trouble between the first success and the repeat.
#[test]
fn repeats_during_troubles_are_not_counted() {
    let mut observations = run_without_violations();
    add_operation_try(&mut observations, "served", 28.0, answered(502));
    assert_eq!(Operations::new(&observations).undisturbed_repeats(), (1, 2));
    observations.troubles.push(trouble(Process::Edge(2), 27.0, 27.5, true));
    assert_eq!(Operations::new(&observations).undisturbed_repeats(), (1, 1));
}

/// After the key's window an operation may run again; refusals and failures of repeats are not violations.
#[test]
fn permitted_outcomes_of_keyed_requests() {
    let mut observations = run_without_violations();
    observations.operation_runs.push(operation_run("late", 30.0));
    observations.operation_runs.push(operation_run("late", 30.0 + KEY_WINDOW + 1.0));
    for (at, status) in [(31.0, 409), (32.0, 429), (33.0, 500), (34.0, 502), (35.0, 503)] {
        add_operation_try(&mut observations, "late", at, answered(status));
    }
    assert_eq!(violations(&observations), Vec::<String>::new());
}

/// Promises with a bound in time hold only for undisturbed edge processes; planned work excuses no broken request.
#[test]
fn troubles_that_excuse_violations() {
    let broken = || {
        let mut observations = run_without_violations();
        add_request(&mut observations, sent(PAY, 30.0, Outcome::Broken), &["i-1"]);
        observations
    };
    let mut observations = broken();
    observations.troubles.push(trouble(Process::Edge(0), 29.0, 29.5, false));
    assert_eq!(violations(&observations), Vec::<String>::new(), "the edge process was killed shortly before");
    let mut observations = broken();
    observations
        .troubles
        .extend([trouble(Process::Edge(1), 29.0, 29.5, false), trouble(Process::Edge(0), 29.0, 31.0, true)]);
    assert_eq!(
        violations(&observations).len(),
        1,
        "another edge process was killed, and this one was asked to terminate"
    );
    let mut observations = run_without_violations();
    observations.versions.push(version(3, 10.0));
    observations.troubles.push(trouble(Process::Core(1), 19.0, 19.5, false));
    assert_eq!(violations(&observations), Vec::<String>::new(), "a core member was disturbed");
}

/// Checks with a bound in time are omitted where the machine's load may decide their result.
#[test]
fn the_untimed_scope_omits_timed_checks() {
    let mut observations = run_without_violations();
    add_request(&mut observations, sent(PAY, 30.0, Outcome::Broken), &["i-1"]);
    add_request(&mut observations, sent(PAY, 31.0, answered(200)), &["i-1", "i-2"]);
    let violations = Evidence::new(&observations).violations(Scope::Untimed);
    assert!(violations.len() == 1 && violations[0].starts_with("TWICE"), "{violations:?}");
}
