//! The fault injector: injects random troubles of all kinds, several at a time, with calm periods in between. A trouble
//! is one injected fault with the span in which it affects a process or the whole system.

use crate::checks::Scope;
use crate::cluster::{Cluster, ClusterSize, Signal};
use crate::configuration::bounds;
use crate::platform::Platform;
use crate::record::{Process, Record};
use std::ops::Range;
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

/// Default pause in milliseconds between the troubles of a spell.
pub const DEFAULT_PAUSE_MS: Range<u64> = 150..1100;
/// Length of the periods with and without troubles, in seconds.
const SPELL_S: Range<u64> = 4..9;
const CALM_S: Range<u64> = 4..8;

/// How long a successor may take to become a core member before its predecessor is terminated anyway.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause in milliseconds between restarts in series.
const SERIES_PAUSE_MS: Range<u64> = 50..1_000;

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Kills an edge process and starts it again.
    KillEdge,
    /// Kills up to half of the edge processes at once and starts them again.
    KillEdges,
    /// Terminates up to a third of the edge processes one after the other, each with a restart.
    RestartEdges,
    /// Reloads the settings of several edge processes in quick succession.
    ReloadEdges,
    /// Stops an edge process with SIGSTOP for a while.
    FreezeEdge,
    /// Terminates an edge process and starts it again.
    RestartEdge,
    /// Reloads the settings of an edge process, which may be cut short.
    ReloadEdge,
    /// Reloads the settings of a core member, which may be cut short.
    ReloadCore,
    /// Kills a core member and starts it again.
    KillCore,
    /// Kills all core members at once and starts them again.
    KillCores,
    /// Kills all processes at once and starts them again.
    KillAll,
    /// Stops a core member with SIGSTOP for a while.
    FreezeCore,
    /// Terminates a core member and starts it again.
    RestartCore,
    /// Kills core members at once and removes their disks.
    WipeCore,
    /// Replaces a core member as planned by an empty machine at another address.
    ReplaceCore,
    /// Kills a core member for good, then replaces it by an empty machine at another address.
    LoseCore,
    /// Stops any process with SIGSTOP for a while, also during another trouble of that process.
    FreezeAny,
    /// Cuts an edge process off from the core.
    CutEdge,
    /// Cuts a core member off from the other core members.
    CutCore,
    /// Cuts a core member off from all other processes.
    CutServices,
    /// Crashes a server, which is replaced.
    CrashServer,
    /// Replaces a server as planned.
    ReplaceServer,
    /// Resets all connections of a server.
    ResetServer,
    /// Lets the platform leave requests for the list of servers unanswered for a while.
    SilencePlatform,
}

/// All kinds of trouble.
pub const KINDS: [Kind; 24] = [
    Kind::KillEdge,
    Kind::KillEdges,
    Kind::RestartEdges,
    Kind::ReloadEdges,
    Kind::FreezeEdge,
    Kind::RestartEdge,
    Kind::ReloadEdge,
    Kind::ReloadCore,
    Kind::KillCore,
    Kind::KillCores,
    Kind::KillAll,
    Kind::FreezeCore,
    Kind::RestartCore,
    Kind::WipeCore,
    Kind::ReplaceCore,
    Kind::LoseCore,
    Kind::FreezeAny,
    Kind::CutEdge,
    Kind::CutCore,
    Kind::CutServices,
    Kind::CrashServer,
    Kind::ReplaceServer,
    Kind::ResetServer,
    Kind::SilencePlatform,
];

impl FromStr for Kind {
    type Err = eyre::Report;

    /// Parses the name of a kind; case and hyphens are ignored.
    fn from_str(name: &str) -> eyre::Result<Kind> {
        let normalize = |text: &str| text.replace('-', "").to_lowercase();
        let found = KINDS.into_iter().find(|kind| normalize(&format!("{kind:?}")) == normalize(name));
        found.ok_or_else(|| eyre::eyre!("unknown kind of trouble {name:?}; expected one of {KINDS:?}"))
    }
}

/// Which troubles a run has, and the pauses between them.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The kinds to choose from; a kind listed twice is chosen twice as often.
    pub kinds: Vec<Kind>,
    /// Pause in milliseconds between the troubles of a spell.
    pub pause: Range<u64>,
}

impl Default for Schedule {
    fn default() -> Schedule {
        Schedule { kinds: KINDS.to_vec(), pause: DEFAULT_PAUSE_MS }
    }
}

/// Injects troubles into the cluster and the platform.
pub struct Injector {
    pub record: Arc<Record>,
    pub cluster: Arc<Cluster>,
    pub platform: Arc<Platform>,
    /// Set to stop the injection of further troubles.
    pub stop: AtomicBool,
    pub seed: u64,
    schedule: Schedule,
    /// Whether bounds in time are checked.
    check_times: bool,
    /// Processes that a trouble has claimed. Only one trouble at a time starts, stops or freezes a process, as these don't
    /// make sense on a process that another trouble has already stopped.
    busy: Mutex<Vec<Process>>,
    /// Pairs of processes that are cut off from each other.
    cuts: Mutex<Vec<(Process, Process)>>,
}

/// Marks a process as claimed by a trouble until it is dropped.
struct Claim<'a>(&'a Injector, Process);

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        self.0.busy.lock().unwrap_or_else(|p| p.into_inner()).retain(|process| *process != self.1);
    }
}

/// Random edge processes, from one to `max_count` of them.
fn random_edges(edges: usize, max_count: usize, rng: &mut fastrand::Rng) -> Vec<Process> {
    let mut all: Vec<Process> = (0..edges).map(Process::Edge).collect();
    rng.shuffle(&mut all);
    all.truncate(rng.usize(1..=max_count));
    all
}

/// Random core members, at most as many as may lose their disks at once.
fn random_cores(size: ClusterSize, rng: &mut fastrand::Rng) -> Vec<Process> {
    let mut all: Vec<Process> = size.core().collect();
    rng.shuffle(&mut all);
    all.truncate(rng.usize(1..=size.max_lost_disks()));
    all
}

impl Injector {
    /// An injector without any active trouble.
    pub fn new(
        record: Arc<Record>,
        cluster: Arc<Cluster>,
        platform: Arc<Platform>,
        seed: u64,
        schedule: Schedule,
        scope: Scope,
    ) -> Arc<Injector> {
        let (busy, cuts) = Default::default();
        Arc::new(Injector {
            record,
            cluster,
            platform,
            stop: AtomicBool::new(false),
            seed,
            schedule,
            check_times: scope == Scope::All,
            busy,
            cuts,
        })
    }

    /// Claims a process unless another trouble has claimed it.
    fn claim(&self, process: Process) -> Option<Claim<'_>> {
        let mut busy = self.busy.lock().unwrap_or_else(|p| p.into_inner());
        if busy.contains(&process) {
            return None;
        }
        busy.push(process);
        Some(Claim(self, process))
    }

    /// Injects troubles until the run stops; returns when all of them have ended.
    pub fn run(self: &Arc<Injector>) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ 0xfa17);
        let mut running: Vec<JoinHandle<()>> = Vec::new();
        while !self.stop.load(Ordering::SeqCst) {
            let spell_end = Instant::now() + Duration::from_secs(rng.u64(SPELL_S));
            while Instant::now() < spell_end && !self.stop.load(Ordering::SeqCst) {
                let kinds = &self.schedule.kinds;
                let (kind, seed, injector) = (kinds[rng.usize(0..kinds.len())], rng.u64(..), self.clone());
                running.push(std::thread::spawn(move || {
                    injector.inject(kind, &mut fastrand::Rng::with_seed(seed))
                }));
                sleep(Duration::from_millis(rng.u64(self.schedule.pause.clone())));
            }
            running.drain(..).for_each(|trouble| drop(trouble.join()));
            let calm_end = Instant::now() + Duration::from_secs(rng.u64(CALM_S));
            while Instant::now() < calm_end && !self.stop.load(Ordering::SeqCst) {
                self.cluster.check_unexpected_exits();
                sleep(Duration::from_millis(50));
            }
        }
    }

    /// Records a trouble of a process that begins now; returns its index.
    fn begin_trouble(&self, description: &str, process: Process, planned: bool) -> usize {
        self.record.begin_trouble(format!("{description} {process:?}"), Some(process), planned)
    }

    /// Injects one trouble and returns when it has ended.
    fn inject(&self, kind: Kind, rng: &mut fastrand::Rng) {
        let size = self.cluster.size();
        let edge = Process::Edge(rng.usize(0..size.edges));
        let core = Process::Core(rng.usize(0..size.cores));
        let downtime = Duration::from_millis(rng.u64(50..1500));
        let duration = Duration::from_millis(rng.u64(50..4000));
        match kind {
            Kind::KillEdge => self.kill(&[edge], downtime, "kill"),
            Kind::KillCore => self.kill(&[core], downtime, "kill"),
            Kind::KillCores => self.kill(&size.core().collect::<Vec<_>>(), downtime, "kill all cores:"),
            Kind::KillAll => self.kill(&size.processes().collect::<Vec<_>>(), downtime, "kill all:"),
            Kind::KillEdges => {
                let half = random_edges(size.edges, size.edges.div_ceil(2), rng);
                self.kill(&half, downtime, "kill half of the edges:")
            }
            Kind::RestartEdges => {
                self.restart_in_series(&random_edges(size.edges, size.edges.div_ceil(3), rng), rng)
            }
            Kind::ReloadEdges => self.reload_in_series(&random_edges(size.edges, size.edges, rng), rng),
            Kind::FreezeEdge => self.freeze(edge, duration),
            Kind::FreezeCore => self.freeze(core, duration),
            Kind::RestartEdge => self.restart(edge, downtime),
            Kind::RestartCore => self.restart(core, downtime),
            Kind::ReloadEdge => self.reload(edge, rng.bool()),
            Kind::ReloadCore => self.reload(core, rng.bool()),
            Kind::WipeCore => self.wipe(&random_cores(size, rng), downtime),
            Kind::ReplaceCore => self.replace(rng.usize(0..size.cores), true, downtime),
            Kind::LoseCore => self.replace(rng.usize(0..size.cores), false, downtime),
            Kind::FreezeAny => {
                let any: Vec<Process> = size.processes().collect();
                self.freeze_unclaimed(any[rng.usize(0..any.len())], Duration::from_millis(rng.u64(50..1200)));
            }
            Kind::CutEdge => self.cut_off(edge, size.core().collect(), duration),
            Kind::CutCore => self.cut_off(core, size.core().collect(), duration),
            Kind::CutServices => self.cut_off(core, size.processes().collect(), duration),
            Kind::CrashServer => self.platform.crash(rng.usize(..)),
            Kind::ReplaceServer => self.platform.replace(rng.usize(..)),
            Kind::ResetServer => self.platform.reset_connections(rng.usize(..)),
            Kind::SilencePlatform => {
                self.platform.silent.store(true, Ordering::SeqCst);
                sleep(duration);
                self.platform.silent.store(false, Ordering::SeqCst);
            }
        }
    }

    /// Kills those of these processes that no other trouble has claimed, all at once, and starts them again.
    fn kill(&self, processes: &[Process], downtime: Duration, description: &str) {
        let claims: Vec<Claim> = processes.iter().filter_map(|p| self.claim(*p)).collect();
        let trouble_indices: Vec<usize> =
            claims.iter().map(|c| self.begin_trouble(description, c.1, false)).collect();
        claims.iter().for_each(|c| self.cluster.signal(c.1, Signal::Kill));
        claims.iter().for_each(|c| self.cluster.kill(c.1));
        sleep(downtime);
        claims.iter().for_each(|c| self.start(c.1));
        trouble_indices.into_iter().for_each(|trouble_index| self.record.end_trouble(trouble_index));
    }

    fn start(&self, process: Process) {
        if let Err(e) = self.cluster.start(process, false) {
            self.record.violation(format!("harness: {process:?} could not be started: {e:#}"));
        }
    }

    /// Freezes a process unless another trouble has claimed it.
    fn freeze(&self, process: Process, duration: Duration) {
        let Some(_claim) = self.claim(process) else { return };
        let trouble_index = self.begin_trouble("freeze", process, false);
        self.cluster.signal(process, Signal::Stop);
        sleep(duration);
        self.cluster.signal(process, Signal::Continue);
        self.record.end_trouble(trouble_index);
    }

    /// Freezes a process even if another trouble has claimed it, for instance while it starts or terminates.
    fn freeze_unclaimed(&self, process: Process, duration: Duration) {
        let trouble_index = self.begin_trouble("freeze", process, false);
        self.cluster.signal(process, Signal::Stop);
        sleep(duration);
        self.cluster.signal(process, Signal::Continue);
        self.record.end_trouble(trouble_index);
    }

    /// Terminates a process, checks that it exits in time with success, and starts it again.
    fn restart(&self, process: Process, downtime: Duration) {
        let Some(_claim) = self.claim(process) else { return };
        let trouble_index = self.begin_trouble("terminate", process, true);
        let requested_at = self.record.now();
        let ended = self.cluster.terminate(process);
        let disturbed = self.record.had_unplanned_trouble(process, requested_at);
        if let Some((elapsed, exited_cleanly)) = ended.filter(|_| !disturbed) {
            let elapsed = elapsed.as_secs_f64();
            if !exited_cleanly || self.check_times && elapsed > bounds::GRACE {
                self.record.violation(format!(
                    "LOST: {process:?} took {elapsed:.1} s to exit after SIGTERM, successful exit: {exited_cleanly}"
                ));
            }
        }
        // the process is down from here on, and new requests fail: unlike the shutdown, this is not planned work
        self.record.end_trouble(trouble_index);
        let away_index = self.begin_trouble("away", process, false);
        sleep(downtime);
        self.start(process);
        self.record.end_trouble(away_index);
    }

    /// Restarts these processes one after the other; the next begins after a pause, even if the one before still runs.
    fn restart_in_series(&self, processes: &[Process], rng: &mut fastrand::Rng) {
        std::thread::scope(|scope| {
            for process in processes {
                let downtime = Duration::from_millis(rng.u64(50..4_000));
                scope.spawn(move || self.restart(*process, downtime));
                sleep(Duration::from_millis(rng.u64(SERIES_PAUSE_MS)));
            }
        });
    }

    /// Makes these processes reload their settings in quick succession; some find a file that is cut short.
    fn reload_in_series(&self, processes: &[Process], rng: &mut fastrand::Rng) {
        std::thread::scope(|scope| {
            for process in processes {
                let complete = rng.u8(0..4) > 0;
                scope.spawn(move || self.reload(*process, complete));
                sleep(Duration::from_millis(rng.u64(0..20)));
            }
        });
    }

    /// Makes a process reload its settings from a file that may be cut short, then writes the complete file.
    fn reload(&self, process: Process, complete: bool) {
        let Some(_claim) = self.claim(process) else { return };
        let trouble_index =
            self.begin_trouble(if complete { "reload" } else { "reload of half a file" }, process, true);
        let written = self.cluster.write_settings(process, complete);
        self.cluster.signal(process, Signal::Hangup);
        sleep(Duration::from_millis(300));
        let restored = self.cluster.write_settings(process, true);
        if let Err(e) = written.and(restored) {
            self.record.violation(format!("harness: settings of {process:?}: {e:#}"));
        }
        self.record.end_trouble(trouble_index);
    }

    /// Claims the whole core if all members are healthy, unclaimed, and were undisturbed for the time in which a member
    /// that has returned or is new catches up. This keeps the number of disks lost at once within the permitted one.
    fn claim_healthy_core(&self) -> Option<Vec<Claim<'_>>> {
        let cores = self.cluster.size().cores;
        let claims: Vec<Claim> = self.cluster.size().core().filter_map(|p| self.claim(p)).collect();
        let since = self.record.now() - bounds::CATCH_UP;
        let is_healthy = |c: &Claim| {
            let metric_is = |figure: &str, value: u64| self.cluster.metric(c.1, figure) == Some(value);
            let settled = metric_is("core.member", 1)
                && metric_is("core.settled", 1)
                && metric_is("core.members", cores as u64);
            let votes = metric_is("operations.votes", 1);
            settled && votes && !self.record.had_unplanned_trouble(c.1, since)
        };
        (claims.len() == cores && claims.iter().all(is_healthy)).then_some(claims)
    }

    /// Replaces a core member by an empty machine at another address. As planned, the new one starts first and the old
    /// one is terminated then; otherwise the old one is killed first.
    fn replace(&self, core: usize, planned: bool, downtime: Duration) {
        let Some(claims) = self.claim_healthy_core() else { return };
        let process = Process::Core(core);
        let trouble_index =
            self.begin_trouble(if planned { "replace" } else { "lose for good" }, process, false);
        if !planned {
            self.cluster.kill(process);
            sleep(downtime);
        }
        let claims: Vec<Claim> = claims.into_iter().filter(|c| c.1 == process).collect();
        let successor = match self.cluster.start_successor(core) {
            Ok(successor) => successor,
            Err(e) => return self.record.violation(format!("harness: successor: {e:#}")),
        };
        if planned {
            // like a platform, terminates the old one a while after it has started the new one
            let began = Instant::now();
            while !self.cluster.is_core_member(&successor) && began.elapsed() < SUCCESSOR_TIMEOUT {
                sleep(Duration::from_millis(50));
            }
            // the old process is gone after this even if another trouble affects it, so the result doesn't matter
            let _ = self.cluster.terminate(process);
        }
        self.cluster.promote_successor(successor);
        self.record.end_trouble(trouble_index);
        drop(claims);
    }

    /// Kills core members at once, removes their disks and starts them again.
    fn wipe(&self, cores: &[Process], downtime: Duration) {
        let Some(claims) = self.claim_healthy_core() else { return };
        let trouble_indices: Vec<usize> =
            cores.iter().map(|core| self.begin_trouble("wipe", *core, false)).collect();
        cores.iter().for_each(|core| self.cluster.signal(*core, Signal::Kill));
        cores.iter().for_each(|core| self.cluster.kill(*core));
        self.remove_disks(cores);
        // other troubles may affect the other members from here on, but their disks are kept
        let claims: Vec<Claim> = claims.into_iter().filter(|c| cores.contains(&c.1)).collect();
        sleep(downtime);
        cores.iter().for_each(|core| self.start(*core));
        trouble_indices.into_iter().for_each(|trouble_index| self.record.end_trouble(trouble_index));
        drop(claims);
    }

    fn remove_disks(&self, cores: &[Process]) {
        for core in cores {
            if let Err(e) = self.cluster.remove_data(*core) {
                self.record.violation(format!("harness: {e:#}"));
            }
        }
    }

    /// Cuts a process off from these other processes for a while.
    fn cut_off(&self, process: Process, others: Vec<Process>, duration: Duration) {
        let pairs: Vec<(Process, Process)> =
            others.into_iter().filter(|o| *o != process).map(|o| (process, o)).collect();
        let trouble_indices: Vec<usize> = match process {
            Process::Core(_) => {
                self.cluster.size().core().map(|p| self.begin_trouble("cut", p, false)).collect()
            }
            Process::Edge(_) => vec![self.begin_trouble("cut", process, false)],
        };
        self.change_cuts(|cuts| cuts.extend(&pairs));
        sleep(duration);
        self.change_cuts(|cuts| {
            for pair in &pairs {
                if let Some(i) = cuts.iter().position(|cut| cut == pair) {
                    cuts.swap_remove(i);
                }
            }
        });
        trouble_indices.into_iter().for_each(|trouble_index| self.record.end_trouble(trouble_index));
    }

    fn change_cuts(&self, change: impl FnOnce(&mut Vec<(Process, Process)>)) {
        let mut cuts = self.cuts.lock().unwrap_or_else(|p| p.into_inner());
        change(&mut cuts);
        if let Err(e) = self.cluster.write_cuts(&cuts) {
            self.record.violation(format!("harness: cuts: {e:#}"));
        }
    }

    /// The last fault of a run: kills all core members, or all processes, at once, and may remove disks of the core.
    pub fn inject_closing_fault(&self, rng: &mut fastrand::Rng) {
        let kills_all_processes = rng.bool();
        let victims: Vec<Process> = match kills_all_processes {
            true => self.cluster.size().processes().collect(),
            false => self.cluster.size().core().collect(),
        };
        let wiped = rng.bool().then(|| random_cores(self.cluster.size(), rng));
        // more disks may be removed only when the core has recovered from earlier losses
        let wiped = wiped.filter(|_| self.claim_healthy_core().is_some()).unwrap_or_default();
        let trouble_indices: Vec<usize> =
            victims.iter().map(|v| self.begin_trouble("closing fault", *v, false)).collect();
        victims.iter().for_each(|v| self.cluster.signal(*v, Signal::Kill));
        victims.iter().for_each(|v| self.cluster.kill(*v));
        self.remove_disks(&wiped);
        sleep(Duration::from_millis(rng.u64(100..1500)));
        victims.iter().for_each(|v| self.start(*v));
        trouble_indices.into_iter().for_each(|trouble_index| self.record.end_trouble(trouble_index));
    }
}
