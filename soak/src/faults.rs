//! The fault injector: troubles of all kinds at random, several at a time, with calm spells between.

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

/// Troubles follow each other within a spell after so many milliseconds, unless told otherwise.
pub const DEFAULT_PAUSE_MS: Range<u64> = 150..1100;
/// Spells of trouble and of calm, in seconds.
const SPELL_S: Range<u64> = 4..9;
const CALM_S: Range<u64> = 4..8;

/// A successor is waited for so long before the one that it follows is told to end.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(3);

/// Restarts in series follow each other after so many milliseconds.
const SERIES_PAUSE_MS: Range<u64> = 50..1_000;

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    KillEdge,
    KillEdges,
    RestartEdges,
    ReloadEdges,
    FreezeEdge,
    RestartEdge,
    ReloadEdge,
    ReloadCore,
    KillCore,
    KillCores,
    KillAll,
    FreezeCore,
    RestartCore,
    WipeCore,
    ReplaceCore,
    LoseCore,
    FreezeAny,
    CutEdge,
    CutCore,
    CutServices,
    CrashServer,
    ReplaceServer,
    ResetServer,
    SilencePlatform,
}

/// All kinds.
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

    /// A kind by its name, without regard to case and hyphens.
    fn from_str(name: &str) -> eyre::Result<Kind> {
        let normalize = |text: &str| text.replace('-', "").to_lowercase();
        let found = KINDS.into_iter().find(|kind| normalize(&format!("{kind:?}")) == normalize(name));
        found.ok_or_else(|| eyre::eyre!("no kind of trouble: {name}; there are {KINDS:?}"))
    }
}

/// What troubles a run has, and how close together.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub kinds: Vec<Kind>,
    /// Milliseconds from one trouble of a spell to the next.
    pub pause: Range<u64>,
}

impl Default for Schedule {
    fn default() -> Schedule {
        Schedule { kinds: KINDS.to_vec(), pause: DEFAULT_PAUSE_MS }
    }
}

/// See the module.
pub struct Injector {
    pub record: Arc<Record>,
    pub cluster: Arc<Cluster>,
    pub platform: Arc<Platform>,
    pub stop: AtomicBool,
    pub seed: u64,
    schedule: Schedule,
    /// Whether a bound in time is judged.
    check_times: bool,
    /// One trouble at a time starts, stops or freezes a process: none of these makes sense on another's remains.
    busy: Mutex<Vec<Process>>,
    cuts: Mutex<Vec<(Process, Process)>>,
}

/// Marks a process as in another trouble's hands until dropped.
struct Claim<'a>(&'a Injector, Process);

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        self.0.busy.lock().unwrap_or_else(|p| p.into_inner()).retain(|process| *process != self.1);
    }
}

/// Edge processes by lot, from one to so many.
fn random_edges(edges: usize, max_count: usize, rng: &mut fastrand::Rng) -> Vec<Process> {
    let mut all: Vec<Process> = (0..edges).map(Process::Edge).collect();
    rng.shuffle(&mut all);
    all.truncate(rng.usize(1..=max_count));
    all
}

/// Members of the core by lot, no more than may lose their disks at once.
fn random_cores(size: ClusterSize, rng: &mut fastrand::Rng) -> Vec<Process> {
    let mut all: Vec<Process> = size.core().collect();
    rng.shuffle(&mut all);
    all.truncate(rng.usize(1..=size.max_lost_disks()));
    all
}

impl Injector {
    /// With no trouble yet.
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

    fn claim(&self, process: Process) -> Option<Claim<'_>> {
        let mut busy = self.busy.lock().unwrap_or_else(|p| p.into_inner());
        if busy.contains(&process) {
            return None;
        }
        busy.push(process);
        Some(Claim(self, process))
    }

    /// Makes trouble until the run stops; ends when all of it is over.
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

    fn begin_trouble(&self, description: &str, process: Process, planned: bool) -> usize {
        self.record.begin_trouble(format!("{description} {process:?}"), Some(process), planned)
    }

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

    /// Kills all of these that no other trouble has, at once, and starts them again.
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

    fn freeze(&self, process: Process, duration: Duration) {
        let Some(_claim) = self.claim(process) else { return };
        let trouble_index = self.begin_trouble("freeze", process, false);
        self.cluster.signal(process, Signal::Stop);
        sleep(duration);
        self.cluster.signal(process, Signal::Continue);
        self.record.end_trouble(trouble_index);
    }

    /// Freezes a process that other troubles may have in hand: one that starts, or that was asked to end.
    fn freeze_unclaimed(&self, process: Process, duration: Duration) {
        let trouble_index = self.begin_trouble("freeze", process, false);
        self.cluster.signal(process, Signal::Stop);
        sleep(duration);
        self.cluster.signal(process, Signal::Continue);
        self.record.end_trouble(trouble_index);
    }

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
                    "LOST: {process:?} took {elapsed:.1} s to end, in order: {exited_cleanly}"
                ));
            }
        }
        // from here on it is away, which is more than planned work on what it had
        self.record.end_trouble(trouble_index);
        let away_index = self.begin_trouble("away", process, false);
        sleep(downtime);
        self.start(process);
        self.record.end_trouble(away_index);
    }

    /// Tells these to end one after the other, each a while after the one before and while that may still be at it.
    fn restart_in_series(&self, processes: &[Process], rng: &mut fastrand::Rng) {
        std::thread::scope(|scope| {
            for process in processes {
                let downtime = Duration::from_millis(rng.u64(50..4_000));
                scope.spawn(move || self.restart(*process, downtime));
                sleep(Duration::from_millis(rng.u64(SERIES_PAUSE_MS)));
            }
        });
    }

    /// Has these read their settings anew, one right after the other; some find half a file.
    fn reload_in_series(&self, processes: &[Process], rng: &mut fastrand::Rng) {
        std::thread::scope(|scope| {
            for process in processes {
                let complete = rng.u8(0..4) > 0;
                scope.spawn(move || self.reload(*process, complete));
                sleep(Duration::from_millis(rng.u64(0..20)));
            }
        });
    }

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

    /// The whole core, if all of it is sound, in no other trouble's hands, and was so for the time that one that was
    /// away or is new has to catch up: no more disks are to be lost at once than may be.
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

    /// A member of the core is replaced by an empty machine at another address: as planned, the new one first and the
    /// old one told to end, or lost for good before.
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
            // as a platform would: the old one is told to end a while after the new one was started
            let began = Instant::now();
            while !self.cluster.is_core_member(&successor) && began.elapsed() < SUCCESSOR_TIMEOUT {
                sleep(Duration::from_millis(50));
            }
            // whatever else befalls it, it is gone after this
            let _ = self.cluster.terminate(process);
        }
        self.cluster.promote_successor(successor);
        self.record.end_trouble(trouble_index);
        drop(claims);
    }

    /// Members of the core lose their disks at once.
    fn wipe(&self, cores: &[Process], downtime: Duration) {
        let Some(claims) = self.claim_healthy_core() else { return };
        let trouble_indices: Vec<usize> =
            cores.iter().map(|core| self.begin_trouble("wipe", *core, false)).collect();
        cores.iter().for_each(|core| self.cluster.signal(*core, Signal::Kill));
        cores.iter().for_each(|core| self.cluster.kill(*core));
        self.remove_disks(cores);
        // the others may be in other troubles from here on, but keep their disks
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

    /// Cuts a process off from these others for a while.
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

    /// What strikes at the end: processes of the core, or all, are killed at once, and disks may be lost with it.
    pub fn inject_closing_fault(&self, rng: &mut fastrand::Rng) {
        let all = rng.bool();
        let victims: Vec<Process> = match all {
            true => self.cluster.size().processes().collect(),
            false => self.cluster.size().core().collect(),
        };
        let wiped = rng.bool().then(|| random_cores(self.cluster.size(), rng));
        // disks may be lost only where those before were made up for
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
