//! The fault injector: troubles of all kinds at random, several at a time, with calm spells between.

use crate::checks::Scope;
use crate::cluster::{Cluster, Signal, Size};
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
pub const PAUSE_MS: Range<u64> = 150..1100;
/// Spells of trouble and of calm, in seconds.
const SPELL: Range<u64> = 4..9;
const CALM: Range<u64> = 4..8;

/// A successor is waited for so long before the one that it follows is told to end.
const SUCCESSION: Duration = Duration::from_secs(3);

/// Restarts in series follow each other after so many milliseconds.
const SERIES_MS: Range<u64> = 50..1_000;

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
        let plain = |text: &str| text.replace('-', "").to_lowercase();
        let found = KINDS.into_iter().find(|kind| plain(&format!("{kind:?}")) == plain(name));
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
        Schedule { kinds: KINDS.to_vec(), pause: PAUSE_MS }
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
    timed: bool,
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
fn some_edges(edges: usize, most: usize, rng: &mut fastrand::Rng) -> Vec<Process> {
    let mut all: Vec<Process> = (0..edges).map(Process::Edge).collect();
    rng.shuffle(&mut all);
    all.truncate(rng.usize(1..=most));
    all
}

/// Members of the core by lot, no more than may lose their disks at once.
fn some_cores(size: Size, rng: &mut fastrand::Rng) -> Vec<Process> {
    let mut all: Vec<Process> = size.core().collect();
    rng.shuffle(&mut all);
    all.truncate(rng.usize(1..=size.disks_to_lose()));
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
            timed: scope == Scope::All,
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
    pub fn act(self: &Arc<Injector>) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ 0xfa17);
        let mut running: Vec<JoinHandle<()>> = Vec::new();
        while !self.stop.load(Ordering::SeqCst) {
            let spell = Instant::now() + Duration::from_secs(rng.u64(SPELL));
            while Instant::now() < spell && !self.stop.load(Ordering::SeqCst) {
                let kinds = &self.schedule.kinds;
                let (kind, seed, me) = (kinds[rng.usize(0..kinds.len())], rng.u64(..), self.clone());
                running
                    .push(std::thread::spawn(move || me.trouble(kind, &mut fastrand::Rng::with_seed(seed))));
                sleep(Duration::from_millis(rng.u64(self.schedule.pause.clone())));
            }
            running.drain(..).for_each(|trouble| drop(trouble.join()));
            let calm = Instant::now() + Duration::from_secs(rng.u64(CALM));
            while Instant::now() < calm && !self.stop.load(Ordering::SeqCst) {
                self.cluster.look_for_own_ends();
                sleep(Duration::from_millis(50));
            }
        }
    }

    fn note(&self, what: &str, process: Process, planned: bool) -> usize {
        self.record.trouble(format!("{what} {process:?}"), Some(process), planned)
    }

    fn trouble(&self, kind: Kind, rng: &mut fastrand::Rng) {
        let size = self.cluster.size();
        let edge = Process::Edge(rng.usize(0..size.edges));
        let core = Process::Core(rng.usize(0..size.cores));
        let down = Duration::from_millis(rng.u64(50..1500));
        let frozen = Duration::from_millis(rng.u64(50..4000));
        match kind {
            Kind::KillEdge => self.kill(&[edge], down, "kill"),
            Kind::KillCore => self.kill(&[core], down, "kill"),
            Kind::KillCores => self.kill(&size.core().collect::<Vec<_>>(), down, "kill all cores:"),
            Kind::KillAll => self.kill(&size.processes().collect::<Vec<_>>(), down, "kill all:"),
            Kind::KillEdges => {
                let half = some_edges(size.edges, size.edges.div_ceil(2), rng);
                self.kill(&half, down, "kill half of the edges:")
            }
            Kind::RestartEdges => {
                self.restart_in_series(&some_edges(size.edges, size.edges.div_ceil(3), rng), rng)
            }
            Kind::ReloadEdges => self.reload_in_series(&some_edges(size.edges, size.edges, rng), rng),
            Kind::FreezeEdge => self.freeze(edge, frozen),
            Kind::FreezeCore => self.freeze(core, frozen),
            Kind::RestartEdge => self.restart(edge, down),
            Kind::RestartCore => self.restart(core, down),
            Kind::ReloadEdge => self.reload(edge, rng.bool()),
            Kind::ReloadCore => self.reload(core, rng.bool()),
            Kind::WipeCore => self.wipe(&some_cores(size, rng), down),
            Kind::ReplaceCore => self.replace(rng.usize(0..size.cores), true, down),
            Kind::LoseCore => self.replace(rng.usize(0..size.cores), false, down),
            Kind::FreezeAny => {
                let any: Vec<Process> = size.processes().collect();
                self.freeze_within_others(
                    any[rng.usize(0..any.len())],
                    Duration::from_millis(rng.u64(50..1200)),
                );
            }
            Kind::CutEdge => self.cut(edge, size.core().collect(), frozen),
            Kind::CutCore => self.cut(core, size.core().collect(), frozen),
            Kind::CutServices => self.cut(core, size.processes().collect(), frozen),
            Kind::CrashServer => self.platform.crash(rng.usize(..)),
            Kind::ReplaceServer => self.platform.replace(rng.usize(..)),
            Kind::ResetServer => self.platform.reset_connections(rng.usize(..)),
            Kind::SilencePlatform => {
                self.platform.silent.store(true, Ordering::SeqCst);
                sleep(frozen);
                self.platform.silent.store(false, Ordering::SeqCst);
            }
        }
    }

    /// Kills all of these that no other trouble has, at once, and starts them again.
    fn kill(&self, processes: &[Process], down: Duration, what: &str) {
        let claims: Vec<Claim> = processes.iter().filter_map(|p| self.claim(*p)).collect();
        let notes: Vec<usize> = claims.iter().map(|c| self.note(what, c.1, false)).collect();
        claims.iter().for_each(|c| self.cluster.signal(c.1, Signal::Kill));
        claims.iter().for_each(|c| self.cluster.kill(c.1));
        sleep(down);
        claims.iter().for_each(|c| self.start(c.1));
        notes.into_iter().for_each(|note| self.record.over(note));
    }

    fn start(&self, process: Process) {
        if let Err(e) = self.cluster.start(process, false) {
            self.record.violation(format!("harness: {process:?} could not be started: {e:#}"));
        }
    }

    fn freeze(&self, process: Process, span: Duration) {
        let Some(_claim) = self.claim(process) else { return };
        let note = self.note("freeze", process, false);
        self.cluster.signal(process, Signal::Stop);
        sleep(span);
        self.cluster.signal(process, Signal::Continue);
        self.record.over(note);
    }

    /// Freezes a process that other troubles may have in hand: one that starts, or that was asked to end.
    fn freeze_within_others(&self, process: Process, span: Duration) {
        let note = self.note("freeze", process, false);
        self.cluster.signal(process, Signal::Stop);
        sleep(span);
        self.cluster.signal(process, Signal::Continue);
        self.record.over(note);
    }

    fn restart(&self, process: Process, down: Duration) {
        let Some(_claim) = self.claim(process) else { return };
        let note = self.note("terminate", process, true);
        let asked = self.record.now();
        let ended = self.cluster.terminate(process);
        let disturbed = self.record.disturbed(process, asked);
        if let Some((took, in_order)) = ended.filter(|_| !disturbed) {
            let took = took.as_secs_f64();
            if !in_order || self.timed && took > bounds::GRACE {
                self.record
                    .violation(format!("LOST: {process:?} took {took:.1} s to end, in order: {in_order}"));
            }
        }
        // from here on it is away, which is more than planned work on what it had
        self.record.over(note);
        let away = self.note("away", process, false);
        sleep(down);
        self.start(process);
        self.record.over(away);
    }

    /// Tells these to end one after the other, each a while after the one before and while that may still be at it.
    fn restart_in_series(&self, processes: &[Process], rng: &mut fastrand::Rng) {
        std::thread::scope(|scope| {
            for process in processes {
                let down = Duration::from_millis(rng.u64(50..4_000));
                scope.spawn(move || self.restart(*process, down));
                sleep(Duration::from_millis(rng.u64(SERIES_MS)));
            }
        });
    }

    /// Has these read their settings anew, one right after the other; some find half a file.
    fn reload_in_series(&self, processes: &[Process], rng: &mut fastrand::Rng) {
        std::thread::scope(|scope| {
            for process in processes {
                let whole = rng.u8(0..4) > 0;
                scope.spawn(move || self.reload(*process, whole));
                sleep(Duration::from_millis(rng.u64(0..20)));
            }
        });
    }

    fn reload(&self, process: Process, whole: bool) {
        let Some(_claim) = self.claim(process) else { return };
        let note = self.note(if whole { "reload" } else { "reload of half a file" }, process, true);
        let written = self.cluster.write_settings(process, whole);
        self.cluster.signal(process, Signal::Hangup);
        sleep(Duration::from_millis(300));
        let mended = self.cluster.write_settings(process, true);
        if let Err(e) = written.and(mended) {
            self.record.violation(format!("harness: settings of {process:?}: {e:#}"));
        }
        self.record.over(note);
    }

    /// The whole core, if all of it is sound, in no other trouble's hands, and was so for the time that one that was
    /// away or is new has to catch up: no more disks are to be lost at once than may be.
    fn claim_sound_core(&self) -> Option<Vec<Claim<'_>>> {
        let cores = self.cluster.size().cores;
        let claims: Vec<Claim> = self.cluster.size().core().filter_map(|p| self.claim(p)).collect();
        let since = self.record.now() - bounds::CATCH_UP;
        let counts = |c: &Claim| {
            let says = |figure: &str, value: u64| self.cluster.metric(c.1, figure) == Some(value);
            let settled =
                says("core.member", 1) && says("core.settled", 1) && says("core.members", cores as u64);
            let votes = says("operations.votes", 1);
            settled && votes && !self.record.disturbed(c.1, since)
        };
        (claims.len() == cores && claims.iter().all(counts)).then_some(claims)
    }

    /// A member of the core is replaced by an empty machine at another address: as planned, the new one first and the
    /// old one told to end, or lost for good before.
    fn replace(&self, core: usize, planned: bool, down: Duration) {
        let Some(claims) = self.claim_sound_core() else { return };
        let process = Process::Core(core);
        let note = self.note(if planned { "replace" } else { "lose for good" }, process, false);
        if !planned {
            self.cluster.kill(process);
            sleep(down);
        }
        let claims: Vec<Claim> = claims.into_iter().filter(|c| c.1 == process).collect();
        let successor = match self.cluster.start_successor(core) {
            Ok(successor) => successor,
            Err(e) => return self.record.violation(format!("harness: successor: {e:#}")),
        };
        if planned {
            // as a platform would: the old one is told to end a while after the new one was started
            let began = Instant::now();
            while !self.cluster.counts(&successor) && began.elapsed() < SUCCESSION {
                sleep(Duration::from_millis(50));
            }
            // whatever else befalls it, it is gone after this
            let _ = self.cluster.terminate(process);
        }
        self.cluster.take_place(successor);
        self.record.over(note);
        drop(claims);
    }

    /// Members of the core lose their disks at once.
    fn wipe(&self, cores: &[Process], down: Duration) {
        let Some(claims) = self.claim_sound_core() else { return };
        let notes: Vec<usize> = cores.iter().map(|core| self.note("wipe", *core, false)).collect();
        cores.iter().for_each(|core| self.cluster.signal(*core, Signal::Kill));
        cores.iter().for_each(|core| self.cluster.kill(*core));
        self.remove_disks(cores);
        // the others may be in other troubles from here on, but keep their disks
        let claims: Vec<Claim> = claims.into_iter().filter(|c| cores.contains(&c.1)).collect();
        sleep(down);
        cores.iter().for_each(|core| self.start(*core));
        notes.into_iter().for_each(|note| self.record.over(note));
        drop(claims);
    }

    fn remove_disks(&self, cores: &[Process]) {
        for core in cores {
            if let Err(e) = self.cluster.wipe(*core) {
                self.record.violation(format!("harness: {e:#}"));
            }
        }
    }

    /// Cuts a process off from these others for a while.
    fn cut(&self, process: Process, others: Vec<Process>, span: Duration) {
        let pairs: Vec<(Process, Process)> =
            others.into_iter().filter(|o| *o != process).map(|o| (process, o)).collect();
        let notes: Vec<usize> = match process {
            Process::Core(_) => self.cluster.size().core().map(|p| self.note("cut", p, false)).collect(),
            Process::Edge(_) => vec![self.note("cut", process, false)],
        };
        self.change_cuts(|cuts| cuts.extend(&pairs));
        sleep(span);
        self.change_cuts(|cuts| {
            for pair in &pairs {
                if let Some(i) = cuts.iter().position(|cut| cut == pair) {
                    cuts.swap_remove(i);
                }
            }
        });
        notes.into_iter().for_each(|note| self.record.over(note));
    }

    fn change_cuts(&self, change: impl FnOnce(&mut Vec<(Process, Process)>)) {
        let mut cuts = self.cuts.lock().unwrap_or_else(|p| p.into_inner());
        change(&mut cuts);
        if let Err(e) = self.cluster.cut(&cuts) {
            self.record.violation(format!("harness: cuts: {e:#}"));
        }
    }

    /// What strikes at the end: processes of the core, or all, are killed at once, and disks may be lost with it.
    pub fn closing(&self, rng: &mut fastrand::Rng) {
        let all = rng.bool();
        let victims: Vec<Process> = match all {
            true => self.cluster.size().processes().collect(),
            false => self.cluster.size().core().collect(),
        };
        let wiped = rng.bool().then(|| some_cores(self.cluster.size(), rng));
        // disks may be lost only where those before were made up for
        let wiped = wiped.filter(|_| self.claim_sound_core().is_some()).unwrap_or_default();
        let notes: Vec<usize> = victims.iter().map(|v| self.note("closing fault", *v, false)).collect();
        victims.iter().for_each(|v| self.cluster.signal(*v, Signal::Kill));
        victims.iter().for_each(|v| self.cluster.kill(*v));
        self.remove_disks(&wiped);
        sleep(Duration::from_millis(rng.u64(100..1500)));
        victims.iter().for_each(|v| self.start(*v));
        notes.into_iter().for_each(|note| self.record.over(note));
    }
}
