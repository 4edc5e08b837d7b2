//! One run: starts the system, runs traffic, troubles and the operator concurrently, injects a closing fault, and checks
//! the observations.

use crate::admissions::{self, Sampler};
use crate::backend::Behaviour;
use crate::checks::{Evidence, Scope};
use crate::client::{
    max_answer_wait, run_misbehaving_client, run_well_behaved_client, ClientContext, DEFAULT_LIMITED_DRAWS,
};
use crate::cluster::{Cluster, ClusterSize, Programs};
use crate::configuration::bounds::RECOVER;
use crate::configuration::{LIMITED, UNKNOWN_KEY};
use crate::faults::{Injector, Schedule};
use crate::keyed_client::{probe_edges, run_keyed_client};
use crate::operation_checks::Operations;
use crate::operator::Operator;
use crate::platform::Platform;
use crate::record::{Observations, Outcome, Process, Record, SentRequest};
use eyre::{bail, WrapErr};
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Time within which the system has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Default number of clients that keep to the protocol.
pub const DEFAULT_CLIENTS: u64 = 10;
/// Default number of clients of the keyed route.
const DEFAULT_KEYED_CLIENTS: u64 = 4;
const MISBEHAVING_CLIENTS: u64 = 2;
/// Percentage of requests that servers don't answer properly.
const FAULTY_PERCENT: u64 = 8;
/// How long traffic continues after the recovery from the closing fault.
const TRAFFIC_AFTER_RECOVERY: Duration = Duration::from_secs(3);
/// Minimum time for the probes of the keyed route.
const MIN_PROBE_SECONDS: f64 = 5.0;
/// Recovery timeout where bounds in time are not checked. A system that has not recovered by then never does, however
/// busy the machine is.
const UNTIMED_RECOVERY_TIMEOUT: f64 = 120.0;
/// Limits on a process at the end of a run, when all clients have disconnected.
const MAX_RESIDENT_MB: u64 = 160;
const MAX_DESCRIPTORS: usize = 400;

/// What to run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    /// How long troubles are injected.
    pub trouble_duration: Duration,
    pub programs: Programs,
    pub size: ClusterSize,
    /// Number of clients that keep to the protocol.
    pub clients: u64,
    /// Number of clients of the keyed route.
    pub keyed: u64,
    /// How many of 20 requests have the limited tenant's key.
    pub limited: u8,
    pub schedule: Schedule,
    /// Which promises are checked.
    pub scope: Scope,
    /// Folder for settings, disks and logs; the caller may remove it after a run without violations.
    pub folder: PathBuf,
}

impl Plan {
    /// A run of the default size and load, with troubles of all kinds.
    pub fn with_defaults(
        seed: u64,
        trouble_duration: Duration,
        programs: Programs,
        scope: Scope,
        folder: PathBuf,
    ) -> Plan {
        let (size, schedule) = (ClusterSize::default(), Schedule::default());
        Plan {
            seed,
            trouble_duration,
            programs,
            size,
            clients: DEFAULT_CLIENTS,
            keyed: DEFAULT_KEYED_CLIENTS,
            limited: DEFAULT_LIMITED_DRAWS,
            schedule,
            scope,
            folder,
        }
    }
}

/// The result of a run.
#[derive(Debug)]
pub struct Verdict {
    pub violations: Vec<String>,
    /// A line of counts for the report.
    pub summary: String,
}

/// Carries out one run.
pub fn run(plan: &Plan) -> eyre::Result<Verdict> {
    let record = Arc::new(Record::default());
    let behaviour = Behaviour { seed: plan.seed, faulty_percent: FAULTY_PERCENT };
    let (platform, at) = Platform::start(record.clone(), behaviour).wrap_err("platform")?;
    let cluster = Cluster::new(record.clone(), plan.programs.clone(), plan.folder.clone(), at, plan.size)?;
    cluster.write_cuts(&[])?;
    plan.size.processes().try_for_each(|p| cluster.start(p, matches!(p, Process::Core(_))))?;
    let rotating_key: Arc<Mutex<String>> = Arc::default();
    let operator = Arc::new(Operator {
        record: record.clone(),
        cluster: cluster.clone(),
        rotating_key: rotating_key.clone(),
        stop: AtomicBool::new(false),
        seed: plan.seed,
    });
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    if !operator.change_configuration(&mut rng) {
        bail!("the first configuration was not acknowledged");
    }
    wait_until_ready(&cluster)?;
    let sampler = Sampler::start(&record, &cluster);
    let context = Arc::new(ClientContext {
        record: record.clone(),
        cluster: cluster.clone(),
        rotating_key,
        stop: AtomicBool::new(false),
        seed: plan.seed,
        limited: plan.limited,
    });
    let mut clients = Vec::new();
    for nth in 0..plan.clients {
        let context = context.clone();
        clients.push(spawn(move || run_well_behaved_client(context, nth)));
    }
    for nth in 0..plan.keyed {
        let context = context.clone();
        clients.push(spawn(move || run_keyed_client(context, nth)));
    }
    for nth in 0..MISBEHAVING_CLIENTS {
        let context = context.clone();
        clients.push(spawn(move || run_misbehaving_client(context, nth)));
    }
    let injector = Injector::new(
        record.clone(),
        cluster.clone(),
        platform,
        plan.seed,
        plan.schedule.clone(),
        plan.scope,
    );
    let (injector_handle, operator_handle) = (injector.clone(), operator.clone());
    let (injector_thread, operator_thread) =
        (spawn(move || injector_handle.run()), spawn(move || operator_handle.run()));
    sleep(plan.trouble_duration);
    injector.stop.store(true, Ordering::SeqCst);
    operator.stop.store(true, Ordering::SeqCst);
    if injector_thread.join().is_err() || operator_thread.join().is_err() {
        bail!("the fault injector or the operator panicked");
    }
    operator.change_configuration(&mut rng);
    sleep(Duration::from_millis(rng.u64(0..300)));
    injector.inject_closing_fault(&mut rng);
    let closing_fault_ended = record.now();
    let recovery_timeout = if plan.scope == Scope::All { RECOVER } else { UNTIMED_RECOVERY_TIMEOUT };
    check_recovery(&record, &operator, &mut rng, closing_fault_ended, recovery_timeout);
    probe_edges(
        &record,
        &cluster,
        behaviour,
        (closing_fault_ended + recovery_timeout).max(record.now() + MIN_PROBE_SECONDS),
    );
    sleep(TRAFFIC_AFTER_RECOVERY);
    context.stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    check_final_state(&record, &cluster);
    sampler.stop_and_join();
    std::fs::write(plan.folder.join("timeline"), timeline(&record, plan.size)).wrap_err("timeline")?;
    let operation_lines = Operations::new(&record.observations()).describe_all();
    std::fs::write(plan.folder.join("operations"), operation_lines).wrap_err("operations")?;
    Ok(conclude(&record, &cluster, plan.scope))
}

/// Troubles, acknowledged configurations, runs of the limited tenant and admissions in order of time, for the analysis
/// of a run with violations.
fn timeline(record: &Record, size: ClusterSize) -> String {
    let observations = record.observations();
    let mut lines: Vec<(f64, String)> = Vec::new();
    lines.extend(
        observations.troubles.iter().map(|t| (t.from, format!("{} until {:.3}", t.description, t.until))),
    );
    let acknowledged = observations
        .versions
        .iter()
        .filter_map(|v| Some((v.acknowledged?, format!("r{} acknowledged", v.number))));
    lines.extend(acknowledged);
    lines.extend(limited_runs(&observations, size));
    lines.extend(admissions::sums_by_half_second(&observations));
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    lines.into_iter().map(|(at, description)| format!("{at:.3} {description}\n")).collect()
}

/// Counts the limited tenant's runs by half second and edge process.
fn limited_runs(observations: &Observations, size: ClusterSize) -> Vec<(f64, String)> {
    let edges: HashMap<&str, usize> =
        observations.requests.iter().map(|request| (request.id.as_str(), request.edge)).collect();
    let mut runs: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    let limited_arrivals =
        observations.arrivals.iter().filter(|a| a.ran && a.tenant.as_deref() == Some(LIMITED.0));
    for arrival in limited_arrivals {
        if let Some(edge) = edges.get(arrival.id.as_str()) {
            runs.entry((arrival.at * 2.0) as u64).or_insert_with(|| vec![0; size.edges])[*edge] += 1;
        }
    }
    runs.into_iter()
        .map(|(half_second, by_edge)| (half_second as f64 / 2.0, format!("limited runs {by_edge:?}")))
        .collect()
}

/// Waits until all edge processes report that they are ready.
fn wait_until_ready(cluster: &Cluster) -> eyre::Result<()> {
    let began = Instant::now();
    while !(0..cluster.size().edges).all(|edge| cluster.ready(edge)) {
        if began.elapsed() > READY_TIMEOUT {
            bail!("the edge processes were not ready within the start timeout");
        }
        sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Checks the promises RECOVER (traffic is served again in time) and CONFIG (the configuration can be read and is no
/// older than the newest acknowledged one).
fn check_recovery(
    record: &Record,
    operator: &Operator,
    rng: &mut fastrand::Rng,
    closing_fault_ended: f64,
    recovery_timeout: f64,
) {
    let is_served = || {
        let (now, observations) = (record.now(), record.observations());
        // requests that a quota or an unknown key may refuse don't show whether the system serves
        let unlimited =
            |request: &&SentRequest| request.api_key != LIMITED.1 && request.api_key != UNKNOWN_KEY;
        let recent_requests = observations
            .requests
            .iter()
            .filter(unlimited)
            .filter(|request| request.at > closing_fault_ended && request.at > now - 2.0);
        let (served, total) = recent_requests.fold((0, 0), |(served, total), request| {
            (
                served + usize::from(matches!(request.outcome, Outcome::Answered { status: 200, .. })),
                total + 1,
            )
        });
        total > 10 && served * 5 > total * 2
    };
    while !is_served() {
        if record.now() > closing_fault_ended + recovery_timeout {
            record.violation(format!("RECOVER: traffic not served within {recovery_timeout} s after the closing fault at {closing_fault_ended:.1}"));
            break;
        }
        sleep(Duration::from_millis(100));
    }
    if operator.read_configuration(rng).is_none() {
        record.violation("CONFIG: no configuration could be read after the closing fault".into());
    }
}

/// Checks the processes for leaks and unexpected exits once all clients have disconnected.
fn check_final_state(record: &Record, cluster: &Cluster) {
    sleep(Duration::from_secs_f64(max_answer_wait() + 0.5));
    cluster.check_unexpected_exits();
    for process in cluster.size().processes() {
        if let Process::Edge(_) = process {
            let unanswered = cluster.metric(process, "requests.unanswered");
            if unanswered != Some(0) {
                record.violation(format!(
                    "leak: {process:?} holds {unanswered:?} unanswered requests though all clients have disconnected"
                ));
            }
        }
        match cluster.resources(process) {
            Ok((resident, descriptors)) if resident > MAX_RESIDENT_MB || descriptors > MAX_DESCRIPTORS => {
                record.violation(format!(
                    "leak: {process:?} has {resident} MB resident memory and {descriptors} open descriptors"
                ));
            }
            Ok(_) => {}
            Err(e) => record.violation(format!("own end: {process:?}: {e:#}")),
        }
    }
}

/// Log lines in which the programs report a broken invariant, a panic or a failure.
fn log_violations(cluster: &Cluster) -> Vec<String> {
    let mut found = Vec::new();
    for process in cluster.size().processes() {
        let log = std::fs::read_to_string(cluster.log_path(process)).unwrap_or_default();
        let is_fault = |line: &&str| {
            line.contains("invariant_violated") || line.contains("panicked") || line.contains("event=failed")
        };
        found.extend(log.lines().filter(is_fault).map(|line| format!("log of {process:?}: {line}")));
    }
    found
}

/// Runs all checks and sums up the run.
fn conclude(record: &Record, cluster: &Cluster, scope: Scope) -> Verdict {
    let observations = record.observations();
    let evidence = Evidence::new(&observations);
    let mut violations = evidence.violations(scope);
    let (at, limited) = evidence.busiest_limited_window().unwrap_or_default();
    violations.extend(log_violations(cluster));
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for sent in &observations.requests {
        let outcome = match &sent.outcome {
            Outcome::Answered { status, .. } => status.to_string(),
            other => format!("{other:?}").to_lowercase(),
        };
        *outcomes.entry(outcome).or_default() += 1;
    }
    let acknowledged = observations.versions.iter().filter(|v| v.acknowledged.is_some()).count();
    let (requests, runs, troubles) = (
        observations.requests.len(),
        observations.arrivals.iter().filter(|a| a.ran).count(),
        observations.troubles.len(),
    );
    let summary = format!(
        "requests={requests} runs={runs} endings={outcomes:?} versions={acknowledged}/{} troubles={troubles} most_limited={limited}@{at:.1} {}",
        observations.versions.len(),
        Operations::new(&observations).summary()
    );
    Verdict { violations, summary }
}
