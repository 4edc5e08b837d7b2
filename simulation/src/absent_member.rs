//! Runs with many changes while one core member is absent. It returns and is needed as a member at once.

use crate::process::Process;
use crate::runner::check_recovery;
use crate::{Cluster, Coverage, Flaw, Node, Schedule, Step};
use fastrand::Rng;

/// Seconds after its return until a member must hold what was acknowledged; from then on it may not lag behind by more.
pub const CATCH_UP: f64 = 1.5;
/// Seconds after a loss until a change must be acknowledged again.
const SERVICE_TIMEOUT: f64 = 4.0;
/// Seconds after which an operator without a reply goes on with the next change.
const REPLY_TIMEOUT: f64 = 0.3;
/// Seconds between two checks of the member.
const CHECK_INTERVAL: f64 = 0.02;
/// Duration of heavy message loss at a return, seconds.
const LOSS_DURATION: f64 = 0.6;
/// Number of times that the holder is killed after the return of the member.
const ROUNDS: usize = 4;

/// How the member is absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbsenceKind {
    /// Its process is killed.
    Down,
    /// Its process is paused.
    Frozen,
    /// Its disk stalls.
    Stalled,
    /// Each save takes most of a second.
    Slow,
    /// All saves fail.
    Full,
    /// It is cut off from all others.
    Cut,
    /// Its process is killed and its disk lost.
    Wiped,
}

impl AbsenceKind {
    /// All kinds.
    pub const ALL: [AbsenceKind; 7] = [
        AbsenceKind::Down,
        AbsenceKind::Frozen,
        AbsenceKind::Stalled,
        AbsenceKind::Slow,
        AbsenceKind::Full,
        AbsenceKind::Cut,
        AbsenceKind::Wiped,
    ];
}

/// Results of a run without violations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AbsenceSummary {
    /// How often each kind of event was seen.
    pub coverage: Coverage,
    /// Seconds from the return of the member until it held what was acknowledged by then. If there was no leader at
    /// the return, the time starts when there was one.
    pub caught_up: f64,
    /// Whether the member led after its return.
    pub led: bool,
    /// Virtual duration of the run, seconds.
    pub seconds: f64,
}

struct AbsenceRun {
    cluster: Cluster,
    rng: Rng,
    /// The member that is absent.
    member: Node,
    /// When it first returned.
    returned_at: f64,
    /// The time, after its return, since which the member has run and there has been a leader.
    available_since: Option<f64>,
    caught_up: Option<f64>,
    led: bool,
}

/// Runs `changes` changes; the seed selects how the member is absent, the cluster, and what follows the return.
pub fn run_absence(seed: u64, changes: usize, flaw: Flaw) -> Result<AbsenceSummary, String> {
    let mut rng = Rng::with_seed(seed ^ 0x0061_7761_7921);
    let kind = AbsenceKind::ALL[seed as usize % AbsenceKind::ALL.len()];
    let cores = [(3, 3), (3, 3), (5, 5)][rng.usize(..3)];
    let max_delay_ms = [3, 30, 60][rng.usize(..3)];
    let schedule = Schedule { seed, cores, edges: 2, max_delay_ms, steps: Vec::new() };
    let cluster = Cluster::new(&schedule, flaw);
    // The member with the lowest address is the first to become a candidate when there is no leader.
    let mut run = AbsenceRun {
        cluster,
        rng,
        member: 10,
        returned_at: 0.0,
        available_since: None,
        caught_up: None,
        led: false,
    };
    run.run_all(kind, changes);
    let AbsenceRun { mut cluster, caught_up, led, .. } = run;
    match cluster.world.observer.violation.take() {
        Some(what) => Err(format!("{kind:?}, at {:.3} s: {what}", cluster.world.now)),
        None => {
            let (coverage, seconds) = (cluster.world.observer.coverage, cluster.world.now);
            Ok(AbsenceSummary { coverage, caught_up: caught_up.unwrap_or(f64::NAN), led, seconds })
        }
    }
}

impl AbsenceRun {
    fn run_all(&mut self, kind: AbsenceKind, changes: usize) {
        self.expect_service("at the start");
        let (first, last) = (changes / 20, changes / 10);
        self.make_changes(first, |_| ());
        match kind {
            AbsenceKind::Down => self.cluster.apply_step(&Step::Kill(0)),
            AbsenceKind::Wiped => self.cluster.apply_step(&Step::Wipe(0)),
            _ => {}
        }
        self.make_changes(changes - first - last, |cluster| match kind {
            AbsenceKind::Frozen => cluster.apply_step(&Step::Freeze(0, 400)),
            AbsenceKind::Stalled => cluster.apply_step(&Step::Stall(0, 400)),
            AbsenceKind::Full => cluster.apply_step(&Step::FailSaves(0, 1)),
            AbsenceKind::Cut => cluster.apply_step(&Step::Cut(1, 400)),
            AbsenceKind::Slow => {
                let now = cluster.world.now;
                let disk = &mut cluster.world.machines.get_mut(&10).expect("the first machine").disk;
                if now >= disk.stalled_until + 0.05 {
                    disk.stalled_until = now + 0.8;
                }
                cluster.disturb(0.0);
            }
            AbsenceKind::Down | AbsenceKind::Wiped => {}
        });
        // A change in progress may have been received only partly when the member returns.
        self.cluster.run(self.rng.f64() * 0.2);
        self.cluster.heal();
        self.returned_at = self.cluster.world.now;
        self.available_since = Some(self.returned_at);
        // The member is needed at once, while changes go on, or while no further change informs it of the last one.
        match self.rng.u8(..4) {
            0 => {
                let duration = self.rng.f64() * 0.3;
                self.run_without_changes(duration);
            }
            1 => self.make_changes(last / 4, |_| ()),
            2 => self.run_without_changes(CATCH_UP + 0.5),
            _ => {
                // Half of the messages are lost, and no further change informs the member of the last one.
                self.cluster.apply_step(&Step::DegradeNetwork(50, 0, (LOSS_DURATION * 1000.0) as u16));
                self.available_since = Some(self.returned_at + LOSS_DURATION);
                self.run_without_changes(LOSS_DURATION + CATCH_UP + 0.5);
            }
        }
        for round in 0..ROUNDS {
            self.kill_holder(round);
            self.make_changes(last / ROUNDS / 2, |_| ());
        }
        self.cluster.apply_step(&Step::KillAll);
        self.cluster.apply_step(&Step::Start);
        self.available_since = Some(self.cluster.world.now);
        self.expect_service("after all processes were killed");
        if !self.failed() {
            check_recovery(&mut self.cluster);
        }
    }

    fn failed(&self) -> bool {
        self.cluster.world.observer.violation.is_some()
    }

    /// Makes changes one after the other, each once the previous one is acknowledged or has timed out.
    fn make_changes(&mut self, count: usize, mut each_interval: impl FnMut(&mut Cluster)) {
        for _ in 0..count {
            let acks = self.cluster.world.observer.coverage.acks;
            let put = self.cluster.new_config(self.cluster.world.observer.version(0));
            self.cluster.send_command(None, put);
            let deadline = self.cluster.world.now + REPLY_TIMEOUT;
            while self.cluster.world.observer.coverage.acks == acks && self.cluster.world.now < deadline {
                if self.failed() {
                    return;
                }
                each_interval(&mut self.cluster);
                self.run(CHECK_INTERVAL);
            }
        }
    }

    fn run_without_changes(&mut self, duration: f64) {
        let end = self.cluster.world.now + duration;
        while self.cluster.world.now < end && !self.failed() {
            self.run(CHECK_INTERVAL);
        }
    }

    /// Kills the holder, and in a cluster of five one more member. They start again once another node leads.
    fn kill_holder(&mut self, round: usize) {
        // A lost disk together with another member that is down exceeds what the cluster tolerates.
        let deadline = self.cluster.world.now + SERVICE_TIMEOUT;
        while self.cluster.impaired_members() > 0 && !self.failed() {
            if self.cluster.world.now >= deadline {
                return self
                    .cluster
                    .world
                    .observer
                    .fail("the member with a lost disk has not recovered".into());
            }
            self.run_without_changes(0.1);
        }
        let Some(holder) = self.cluster.leaders().first().copied() else {
            return self.expect_service("before a loss");
        };
        let second = self.cluster.cores.iter().copied().find(|node| *node != holder && *node != self.member);
        if self.rng.bool() {
            // The first process that promises or votes after the loss is killed at that moment.
            self.cluster.apply_step(&Step::KillOnVote(1500));
        }
        self.cluster.kill(holder);
        if self.cluster.cores.len() > 3 {
            second.into_iter().for_each(|node| self.cluster.kill(node));
        }
        self.expect_service(["after the first loss", "after a loss"][round.min(1)]);
        self.led |= self.cluster.leaders().contains(&self.member);
        self.cluster.apply_step(&Step::Start);
        self.available_since =
            self.available_since
                .map(|since| if holder == self.member { self.cluster.world.now } else { since });
        // The process that starts now was absent until another node led.
        let duration = self.rng.f64() * 0.4;
        self.run_without_changes(duration);
    }

    /// Checks that a change is acknowledged in time.
    fn expect_service(&mut self, when: &str) {
        let (acks, deadline) =
            (self.cluster.world.observer.coverage.acks, self.cluster.world.now + SERVICE_TIMEOUT);
        while self.cluster.world.observer.coverage.acks == acks && !self.failed() {
            if self.cluster.world.now >= deadline {
                return self.cluster.world.observer.fail(format!("no change is acknowledged {when}"));
            }
            let put = self.cluster.new_config(self.cluster.world.observer.version(0));
            self.cluster.send_command(None, put);
            self.run_without_changes(0.1);
        }
    }

    /// Runs for `duration` seconds, and checks that the member catches up after its return and stays up to date.
    fn run(&mut self, duration: f64) {
        self.cluster.run(duration);
        let Some(since) = self.available_since else { return };
        let now = self.cluster.world.now;
        let Some(core) = self.cluster.world.process(self.member).and_then(Process::core) else {
            self.available_since = Some(now);
            return;
        };
        let held = core.replica.committed().map_or(0, |(ballot, _)| ballot.index);
        if self.caught_up.is_none() && held >= self.cluster.world.observer.acked_by(now) {
            self.caught_up = Some((now - since).max(0.0));
        }
        if self.cluster.leaders().is_empty() {
            // Without a leader no node sends it what it lacks.
            self.available_since = Some(now);
        }
        let required = self.cluster.world.observer.acked_by(now - CATCH_UP);
        if now >= since + CATCH_UP && held < required {
            let text = format!(
                "{} holds index {held}, but {required} was acknowledged {CATCH_UP} s before",
                self.member
            );
            self.cluster.world.observer.fail(text);
        }
    }
}
