//! Each check finds what it is there for, and finds nothing in a run in which nothing was broken.

use lupinledge_soak::checks::{Evidence, Scope};
use lupinledge_soak::configuration::bounds::KEY_WINDOW;
use lupinledge_soak::configuration::{
    moving_to, rotating_key, FREE, HOMED, LIMITED, MOVING, PAY, READ, UNKNOWN_KEY,
};
use lupinledge_soak::operation_checks::Operations;
use lupinledge_soak::record::{
    Arrival, Ending, Evacuation, OperationProbe, OperationRun, OperationTry, Process, Seen, Sent, Trouble,
    Version,
};
use test_case::test_case;

fn answered(status: u16) -> Ending {
    Ending::Answered { status, fault: None }
}

/// A request long after the start of the run.
fn sent(prefix: &str, at: f64, ending: Ending) -> Sent {
    let id = format!("id-{at}");
    let (path, repeatable) = (format!("{prefix}{id}"), prefix == READ || prefix == MOVING);
    let (key, deadline, ended) = (FREE.1.to_string(), at + 2.0, at + 0.1);
    Sent { id, path, repeatable, key, edge: 0, at, ended, deadline, ending }
}

/// Its run at a server.
fn run(sent: &Sent, server: &str) -> Arrival {
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
        sent: acknowledged - 0.1,
        acknowledged: Some(acknowledged),
        refused: false,
        moving_to: moving_to(number),
        key: rotating_key(number, 0),
        body: Vec::new(),
    }
}

/// A run with one good request of each kind, under one configuration.
fn sound() -> Seen {
    let mut seen = Seen { versions: vec![version(2, 1.0)], ..Seen::default() };
    for (prefix, at) in [(READ, 20.0), (PAY, 21.0), (HOMED, 22.0), (MOVING, 23.0)] {
        let sent = sent(prefix, at, answered(200));
        seen.arrivals.push(run(&sent, "i-1"));
        seen.sent.push(sent);
    }
    // the first runs, the second is its repeat through another edge process, the third was never served
    operation(&mut seen, "served", 24.0, answered(200));
    seen.operation_runs.push(operation_run("served", 24.0));
    operation(&mut seen, "served", 25.0, answered(200));
    operation(&mut seen, "refused", 26.0, answered(503));
    seen.operation_probes
        .push(OperationProbe { edge: 0, operations: vec!["refused".into(), "served".into()] });
    seen
}

fn attempt(operation: &str, at: f64) -> String {
    format!("{operation}.{at}")
}

/// One more try of an operation; a success has the stamp and body of the run at 24.0.
fn operation(seen: &mut Seen, operation: &str, at: f64, ending: Ending) {
    let success = matches!(ending, Ending::Answered { status: 200..300, .. });
    seen.operation_tries.push(OperationTry {
        operation: operation.into(),
        attempt: attempt(operation, at),
        edge: 0,
        at,
        ended: at + 0.5,
        ending,
        stamp: success.then(|| "stamp-24".into()),
        body: if success { 24 } else { 0 },
    });
}

/// The run of the try that was sent at that time.
fn operation_run(operation: &str, at: f64) -> OperationRun {
    OperationRun {
        operation: operation.into(),
        attempt: attempt(operation, at),
        server: "i-1".into(),
        at: at + 0.02,
        stamp: format!("stamp-{at}"),
        body: at as u64,
    }
}

fn found(seen: &Seen) -> Vec<String> {
    Evidence::new(seen).violations(Scope::All)
}

/// One more request, with its runs.
fn add(seen: &mut Seen, sent: Sent, servers: &[&str]) {
    seen.arrivals.extend(servers.iter().map(|s| run(&sent, s)));
    seen.sent.push(sent);
}

fn trouble(process: Process, from: f64, until: f64, planned: bool) -> Trouble {
    Trouble { what: "test".into(), process: Some(process), from, until, planned }
}

#[test]
fn a_sound_run() {
    assert_eq!(found(&sound()), Vec::<String>::new());
}

type Change = fn(&mut Seen);

#[test_case("TWICE", |s| add(s, sent(PAY, 30.0, answered(200)), &["i-1", "i-2"]); "ran twice")]
#[test_case("REFUSED", |s| add(s, sent(PAY, 30.0, answered(503)), &["i-1"]); "refused and ran")]
#[test_case("MIXED", |s| add(s, sent(READ, 30.0, answered(200)), &[]); "a success of nobody")]
#[test_case("MIXED", |s| add(s, sent(READ, 30.0, Ending::Answered { status: 200, fault: Some("body") }), &["i-1"]); "a wrong body")]
#[test_case("DENIED", |s| add(s, sent(READ, 30.0, answered(404)), &[]); "a proper one denied")]
#[test_case("BUDGET", |s| add(s, sent(READ, 30.0, answered(200)), &["i-1", "i-2", "i-3"]); "too many servers")]
#[test_case("CONFIG", |s| add(s, sent(READ, 30.0, Ending::Silent), &[]); "no answer")]
#[test_case("LOST", |s| add(s, sent(PAY, 30.0, Ending::Broken), &["i-1"]); "broken")]
#[test_case("ROUTE", |s| add(s, Sent { key: UNKNOWN_KEY.into(), ..sent(READ, 30.0, answered(200)) }, &["i-1"]); "an unknown key")]
#[test_case("ROUTE", |s| s.arrivals[0].service = "beta".into(); "another service")]
#[test_case("HOME", |s| s.arrivals[2].zone = "south-1".into(); "away from home")]
#[test_case("UNASKED", |s| s.arrivals[0].fault = Some("a key was passed on"); "a key passed on")]
#[test_case("UNASKED", |s| s.arrivals[0].tenant = Some("other".into()); "an unknown tenant")]
#[test_case("CONFIG", |s| s.versions.push(version(3, 10.0)); "an older route")]
#[test_case("CONFIG", |s| {
    s.versions.extend([version(3, 10.0), version(4, 11.0)]);
    let old = rotating_key(2, 0);
    add(s, Sent { key: old, ..sent(READ, 30.0, answered(200)) }, &["i-1"]);
}; "an older key")]
#[test_case("EVAC", |s| s.evacuations.push(Evacuation { zone: "north-1".into(), acknowledged: Some(5.0), taken_back: None }); "an evacuated zone")]
#[test_case("QUOTA", |s| for nth in 0..200 {
    let sent = sent(READ, 30.0 + f64::from(nth) / 100.0, answered(200));
    s.arrivals.push(Arrival { tenant: Some(LIMITED.0.into()), ..run(&sent, "i-1") });
}; "over the quota")]
#[test_case("BUDGET", |s| for nth in 0..200 {
    add(s, sent(READ, 30.0 + f64::from(nth) / 100.0, answered(200)), &["i-1", "i-2"]);
}; "over the budget of further tries")]
#[test_case("GONE", |s| for nth in 0..8 {
    let left = sent(READ, 30.0 + f64::from(nth), Ending::Left);
    s.arrivals.push(Arrival { worked_until: left.ended + 2.0, ..run(&left, "i-1") });
    s.sent.push(left);
}; "work for nobody")]
#[test_case("TWICE", |s| s.operation_runs.push(operation_run("served", 25.0)); "a key ran twice")]
#[test_case("TWICE", |s| s.operation_runs.extend([26.0, 26.0 + KEY_WINDOW - 1.0].map(|at| operation_run("other", at))); "a key ran twice within its window")]
#[test_case("MIXED", |s| s.operation_runs[0].stamp = "another".into(); "stamps of no run")]
#[test_case("MIXED", |s| s.operation_runs[0].body = 7; "bodies of no run")]
#[test_case("MIXED", |s| s.operation_runs[0].operation = "other".into(); "another key's run")]
#[test_case("MIXED", |s| operation(s, "other", 27.0, Ending::Answered { status: 200, fault: Some("body") }); "a keyed answer with a fault")]
#[test_case("DENIED", |s| operation(s, "served", 27.0, answered(422)); "a proper repeat was taken for another request")]
#[test_case("DENIED", |s| operation(s, "other", 27.0, answered(400)); "a proper key denied")]
#[test_case("REFUSED", |s| {
    operation(s, "other", 27.0, answered(503));
    s.operation_runs.push(operation_run("other", 27.0));
}; "a key refused and ran")]
#[test_case("REFUSED", |s| {
    operation(s, "other", 27.0, answered(429));
    s.operation_runs.push(operation_run("other", 27.0));
}; "a key over quota and ran")]
#[test_case("LOST", |s| operation(s, "other", 27.0, Ending::Broken); "a keyed one broken")]
#[test_case("RECOVER", |s| s.operation_probes[0].operations.truncate(1); "no fresh key served")]
#[test_case("RECOVER", |s| s.operation_probes[0].operations.clear(); "no fresh key tried")]
#[test_case("RECOVER", |s| s.operation_tries[1].ending = answered(502); "a repeat not answered")]
#[test_case("noted", |s| s.violations.push("noted".into()); "seen as it happened")]
fn found_alone(what: &str, change: Change) {
    let mut seen = sound();
    change(&mut seen);
    let found = found(&seen);
    assert!(!found.is_empty() && found.iter().all(|f| f.starts_with(what)), "{found:?}");
}

/// Successes that are each a run's own, but not alike; both faults are told.
#[test]
fn repeats_that_are_answered_differently() {
    let mut seen = sound();
    seen.operation_probes.clear();
    seen.operation_runs.push(operation_run("served", 25.0));
    let repeat = &mut seen.operation_tries[1];
    (repeat.stamp, repeat.body) = (Some("stamp-25".into()), 25);
    let found = found(&seen);
    let told = |what: &str| found.iter().filter(|f| f.starts_with(what)).count();
    assert!(found.len() == 2 && told("MIXED") == 1 && told("TWICE") == 1, "{found:?}");
}

/// Repeats count as calm unless a trouble of a process came between.
#[test]
fn repeats_in_calm() {
    let mut seen = sound();
    operation(&mut seen, "served", 28.0, answered(502));
    assert_eq!(Operations::new(&seen).calm_repeats(), (1, 2));
    seen.troubles.push(trouble(Process::Edge(2), 27.0, 27.5, true));
    assert_eq!(Operations::new(&seen).calm_repeats(), (1, 1));
}

/// A run after the key's window is a new operation's; a refusal and a repeat elsewhere are no fault.
#[test]
fn what_keyed_requests_may_meet() {
    let mut seen = sound();
    seen.operation_runs.push(operation_run("late", 30.0));
    seen.operation_runs.push(operation_run("late", 30.0 + KEY_WINDOW + 1.0));
    for (at, status) in [(31.0, 409), (32.0, 429), (33.0, 500), (34.0, 502), (35.0, 503)] {
        operation(&mut seen, "late", at, answered(status));
    }
    assert_eq!(found(&seen), Vec::<String>::new());
}

/// Promises with a bound in time are for edge processes in touch; planned work excuses no broken request.
#[test]
fn what_excuses() {
    let broken = || {
        let mut seen = sound();
        add(&mut seen, sent(PAY, 30.0, Ending::Broken), &["i-1"]);
        seen
    };
    let mut seen = broken();
    seen.troubles.push(trouble(Process::Edge(0), 29.0, 29.5, false));
    assert_eq!(found(&seen), Vec::<String>::new(), "it was killed shortly before");
    let mut seen = broken();
    seen.troubles
        .extend([trouble(Process::Edge(1), 29.0, 29.5, false), trouble(Process::Edge(0), 29.0, 31.0, true)]);
    assert_eq!(found(&seen).len(), 1, "another one was, and it was told to end");
    let mut seen = sound();
    seen.versions.push(version(3, 10.0));
    seen.troubles.push(trouble(Process::Core(1), 19.0, 19.5, false));
    assert_eq!(found(&seen), Vec::<String>::new(), "the core was not settled");
}

/// What has a bound in time is left out of the verdict where the machine's load may decide it.
#[test]
fn untimed() {
    let mut seen = sound();
    add(&mut seen, sent(PAY, 30.0, Ending::Broken), &["i-1"]);
    add(&mut seen, sent(PAY, 31.0, answered(200)), &["i-1", "i-2"]);
    let found = Evidence::new(&seen).violations(Scope::Untimed);
    assert!(found.len() == 1 && found[0].starts_with("TWICE"), "{found:?}");
}
