//! One run: founds the system, lets traffic, troubles and the operator go on at once, strikes a last time, and judges.

use crate::admissions::{self, Sampler};
use crate::backend::Behaviour;
use crate::checks::{Evidence, Scope};
use crate::client::{honest, longest_wait, misbehaving, Crowd, LIMITED_PLACES};
use crate::cluster::{Cluster, Programs, Size};
use crate::configuration::bounds::RECOVER;
use crate::configuration::{LIMITED, UNKNOWN_KEY};
use crate::faults::{Injector, Schedule};
use crate::keyed_client::{keyed, probe};
use crate::operation_checks::Operations;
use crate::operator::Operator;
use crate::platform::Platform;
use crate::record::{Ending, Process, Record, Seen, Sent};
use eyre::{bail, WrapErr};
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The system is to be ready within this.
const START: Duration = Duration::from_secs(60);
/// Clients that keep to the protocol, unless told otherwise.
pub const CLIENTS: u64 = 10;
/// Clients of the keyed route.
const KEYED_CLIENTS: u64 = 4;
const MISBEHAVING: u64 = 2;
/// Of a hundred requests, how many servers do not answer well.
const FAULTY_IN_100: u64 = 8;
/// After the last fault traffic goes on for this long beyond the recovery.
const AFTER: Duration = Duration::from_secs(3);
/// Probes of the keyed route have at least so many seconds.
const PROBE: f64 = 5.0;
/// What has not come by then never does, however busy the machine is.
const UNTIMED_RECOVER: f64 = 120.0;
/// What a process may hold at the end of a run, when no client is there any more.
const RESIDENT_MB: u64 = 160;
const DESCRIPTORS: usize = 400;

/// What to run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    /// Troubles go on for so long.
    pub trouble: Duration,
    pub programs: Programs,
    pub size: Size,
    /// Clients that keep to the protocol.
    pub clients: u64,
    /// Clients of the keyed route.
    pub keyed: u64,
    /// Of 20 requests, how many bear the limited tenant's key.
    pub limited: u8,
    pub schedule: Schedule,
    /// Which promises are judged.
    pub scope: Scope,
    /// For settings, disks and logs; removed where nothing was broken.
    pub folder: PathBuf,
}

impl Plan {
    /// A run of the usual size and load, with troubles of all kinds.
    pub fn usual(seed: u64, trouble: Duration, programs: Programs, scope: Scope, folder: PathBuf) -> Plan {
        let (size, schedule) = (Size::default(), Schedule::default());
        Plan {
            seed,
            trouble,
            programs,
            size,
            clients: CLIENTS,
            keyed: KEYED_CLIENTS,
            limited: LIMITED_PLACES,
            schedule,
            scope,
            folder,
        }
    }
}

/// What came of a run.
#[derive(Debug)]
pub struct Verdict {
    pub violations: Vec<String>,
    /// A line of figures.
    pub summary: String,
}

/// Plays one run.
pub fn run(plan: &Plan) -> eyre::Result<Verdict> {
    let record = Arc::new(Record::default());
    let behaviour = Behaviour { seed: plan.seed, faulty_in_100: FAULTY_IN_100 };
    let (platform, at) = Platform::start(record.clone(), behaviour).wrap_err("platform")?;
    let cluster = Cluster::new(record.clone(), plan.programs.clone(), plan.folder.clone(), at, plan.size)?;
    cluster.cut(&[])?;
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
    if !operator.change(&mut rng) {
        bail!("the first configuration was not taken");
    }
    wait_until_ready(&cluster)?;
    let sampler = Sampler::start(&record, &cluster);
    let crowd = Arc::new(Crowd {
        record: record.clone(),
        cluster: cluster.clone(),
        rotating_key,
        stop: AtomicBool::new(false),
        seed: plan.seed,
        limited: plan.limited,
    });
    let mut clients = Vec::new();
    for nth in 0..plan.clients {
        let crowd = crowd.clone();
        clients.push(spawn(move || honest(crowd, nth)));
    }
    for nth in 0..plan.keyed {
        let crowd = crowd.clone();
        clients.push(spawn(move || keyed(crowd, nth)));
    }
    for nth in 0..MISBEHAVING {
        let crowd = crowd.clone();
        clients.push(spawn(move || misbehaving(crowd, nth)));
    }
    let injector = Injector::new(
        record.clone(),
        cluster.clone(),
        platform,
        plan.seed,
        plan.schedule.clone(),
        plan.scope,
    );
    let (acts, orders) = (injector.clone(), operator.clone());
    let (troubles, orders) = (spawn(move || acts.act()), spawn(move || orders.act()));
    sleep(plan.trouble);
    injector.stop.store(true, Ordering::SeqCst);
    operator.stop.store(true, Ordering::SeqCst);
    if troubles.join().is_err() || orders.join().is_err() {
        bail!("the harness broke");
    }
    operator.change(&mut rng);
    sleep(Duration::from_millis(rng.u64(0..300)));
    injector.closing(&mut rng);
    let back = record.now();
    let within = if plan.scope == Scope::All { RECOVER } else { UNTIMED_RECOVER };
    recover(&record, &operator, &mut rng, back, within);
    probe(&record, &cluster, behaviour, (back + within).max(record.now() + PROBE));
    sleep(AFTER);
    crowd.stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    look_at_the_end(&record, &cluster);
    sampler.end();
    std::fs::write(plan.folder.join("timeline"), timeline(&record, plan.size)).wrap_err("timeline")?;
    let stories = Operations::new(&record.seen()).stories();
    std::fs::write(plan.folder.join("operations"), stories).wrap_err("operations")?;
    Ok(judge(&record, &cluster, plan.scope))
}

/// What befell whom when, and when configurations were acknowledged, for who looks into a broken run.
fn timeline(record: &Record, size: Size) -> String {
    let seen = record.seen();
    let mut lines: Vec<(f64, String)> = Vec::new();
    lines.extend(seen.troubles.iter().map(|t| (t.from, format!("{} until {:.3}", t.what, t.until))));
    let acknowledged =
        seen.versions.iter().filter_map(|v| Some((v.acknowledged?, format!("r{} acknowledged", v.number))));
    lines.extend(acknowledged);
    lines.extend(limited_runs(&seen, size));
    lines.extend(admissions::by_half_second(&seen));
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    lines.into_iter().map(|(at, what)| format!("{at:.3} {what}\n")).collect()
}

/// Runs of the limited tenant, by half a second and edge process.
fn limited_runs(seen: &Seen, size: Size) -> Vec<(f64, String)> {
    let edges: HashMap<&str, usize> = seen.sent.iter().map(|s| (s.id.as_str(), s.edge)).collect();
    let mut runs: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    let of_tenant = seen.arrivals.iter().filter(|a| a.ran && a.tenant.as_deref() == Some(LIMITED.0));
    for arrival in of_tenant {
        if let Some(edge) = edges.get(arrival.id.as_str()) {
            runs.entry((arrival.at * 2.0) as u64).or_insert_with(|| vec![0; size.edges])[*edge] += 1;
        }
    }
    runs.into_iter().map(|(half, by_edge)| (half as f64 / 2.0, format!("limited runs {by_edge:?}"))).collect()
}

fn wait_until_ready(cluster: &Cluster) -> eyre::Result<()> {
    let began = Instant::now();
    while !(0..cluster.size().edges).all(|edge| cluster.ready(edge)) {
        if began.elapsed() > START {
            bail!("the system was not ready in time");
        }
        sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// RECOVER and LOST: traffic is served again in time, and what was acknowledged is still there.
fn recover(record: &Record, operator: &Operator, rng: &mut fastrand::Rng, back: f64, within: f64) {
    let serves = || {
        let (now, seen) = (record.now(), record.seen());
        // what a quota or a key may refuse says nothing of service
        let unlimited = |s: &&Sent| s.key != LIMITED.1 && s.key != UNKNOWN_KEY;
        let late = seen.sent.iter().filter(unlimited).filter(|s| s.at > back && s.at > now - 2.0);
        let (served, all) = late.fold((0, 0), |(served, all), s| {
            (served + usize::from(matches!(s.ending, Ending::Answered { status: 200, .. })), all + 1)
        });
        all > 10 && served * 5 > all * 2
    };
    while !serves() {
        if record.now() > back + within {
            record.violation(format!("RECOVER: not served {within} s after the closing fault at {back:.1}"));
            break;
        }
        sleep(Duration::from_millis(100));
    }
    if operator.read(rng).is_none() {
        record.violation("CONFIG: no configuration could be read after the closing fault".into());
    }
}

/// What the processes hold and say of themselves once no client is there.
fn look_at_the_end(record: &Record, cluster: &Cluster) {
    sleep(Duration::from_secs_f64(longest_wait() + 0.5));
    cluster.look_for_own_ends();
    for process in cluster.size().processes() {
        if let Process::Edge(_) = process {
            let unanswered = cluster.metric(process, "requests.unanswered");
            if unanswered != Some(0) {
                record.violation(format!(
                    "leak: {process:?} holds {unanswered:?} requests of clients that are gone"
                ));
            }
        }
        match cluster.resources(process) {
            Ok((resident, descriptors)) if resident > RESIDENT_MB || descriptors > DESCRIPTORS => {
                record.violation(format!(
                    "leak: {process:?} holds {resident} MB and {descriptors} descriptors"
                ));
            }
            Ok(_) => {}
            Err(e) => record.violation(format!("own end: {process:?}: {e:#}")),
        }
    }
}

/// Lines of the programs' logs that tell of a fault of their own.
fn of_logs(cluster: &Cluster) -> Vec<String> {
    let mut found = Vec::new();
    for process in cluster.size().processes() {
        let log = std::fs::read_to_string(cluster.log(process)).unwrap_or_default();
        let tells = |line: &&str| {
            line.contains("invariant_violated") || line.contains("panicked") || line.contains("event=failed")
        };
        found.extend(log.lines().filter(tells).map(|line| format!("log of {process:?}: {line}")));
    }
    found
}

fn judge(record: &Record, cluster: &Cluster, scope: Scope) -> Verdict {
    let seen = record.seen();
    let evidence = Evidence::new(&seen);
    let mut violations = evidence.violations(scope);
    let (at, limited) = evidence.most_limited().unwrap_or_default();
    violations.extend(of_logs(cluster));
    let mut endings: BTreeMap<String, usize> = BTreeMap::new();
    for sent in &seen.sent {
        let ending = match &sent.ending {
            Ending::Answered { status, .. } => status.to_string(),
            other => format!("{other:?}").to_lowercase(),
        };
        *endings.entry(ending).or_default() += 1;
    }
    let acknowledged = seen.versions.iter().filter(|v| v.acknowledged.is_some()).count();
    let (requests, runs, troubles) =
        (seen.sent.len(), seen.arrivals.iter().filter(|a| a.ran).count(), seen.troubles.len());
    let summary = format!(
        "requests={requests} runs={runs} endings={endings:?} versions={acknowledged}/{} troubles={troubles} most_limited={limited}@{at:.1} {}",
        seen.versions.len(),
        Operations::new(&seen).summary()
    );
    Verdict { violations, summary }
}
