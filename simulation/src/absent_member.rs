//! A run_absence of many changes with one member of the core away, that comes back and is needed at once.

use crate::process::Process;
use crate::runner::end;
use crate::{Cluster, Coverage, Flaw, Node, Schedule, Step};
use fastrand::Rng;

/// So soon after its return a member has what was acknowledged, and from then on lags no more than that, seconds.
pub const CATCH_UP: f64 = 1.5;
/// So soon there is a holder again after a loss, seconds.
const BACK: f64 = 4.0;
/// An operator who got no answer goes on after this, seconds.
const PATIENCE: f64 = 0.3;
const LOOK: f64 = 0.02;
/// Bad weather at a return, seconds.
const STORM: f64 = 0.6;
/// Machines that hold the duty one after the other, once the member is back.
const ROUNDS: usize = 4;

/// How the member is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbsenceKind {
    Down,
    Frozen,
    /// Its disk does nothing.
    Stalled,
    /// A save takes most of a second.
    Slow,
    /// Its disk takes nothing.
    Full,
    Cut,
    /// It lost its disk, too.
    Wiped,
}

impl AbsenceKind {
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

/// How a run_absence went, if nothing was wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AbsenceSummary {
    /// What was seen.
    pub seen: Coverage,
    /// How long after its return, or after somebody led again if nobody did then, the member had what was
    /// acknowledged by then, seconds.
    pub caught_up: f64,
    /// Whether it won an epoch after that.
    pub led: bool,
    /// Seconds that passed in the model.
    pub seconds: f64,
}

struct AbsenceRun {
    cluster: Cluster,
    rng: Rng,
    /// The one that goes away.
    away: Node,
    /// When it came back first.
    since: f64,
    /// Since when it runs and somebody leads, after that.
    back: Option<f64>,
    caught_up: Option<f64>,
    led: bool,
}

/// Plays a run_absence of so many changes; the seed says how the member is away, among what, and what comes after.
pub fn run_absence(seed: u64, changes: usize, flaw: Flaw) -> Result<AbsenceSummary, String> {
    let mut rng = Rng::with_seed(seed ^ 0x0061_7761_7921);
    let kind = AbsenceKind::ALL[seed as usize % AbsenceKind::ALL.len()];
    let cores = [(3, 3), (3, 3), (5, 5)][rng.usize(..3)];
    let delay = [3, 30, 60][rng.usize(..3)];
    let plan = Schedule { seed, cores, edges: 2, delay, steps: Vec::new() };
    let cluster = Cluster::new(&plan, flaw);
    // the first in order stands first where no holder is heard
    let mut course =
        AbsenceRun { cluster, rng, away: 10, since: 0.0, back: None, caught_up: None, led: false };
    course.play(kind, changes);
    let AbsenceRun { mut cluster, caught_up, led, .. } = course;
    match cluster.world.observer.violation.take() {
        Some(what) => Err(format!("{kind:?}, at {:.3} s: {what}", cluster.world.now)),
        None => {
            let (seen, seconds) = (cluster.world.observer.seen, cluster.world.now);
            Ok(AbsenceSummary { seen, caught_up: caught_up.unwrap_or(f64::NAN), led, seconds })
        }
    }
}

impl AbsenceRun {
    fn play(&mut self, kind: AbsenceKind, changes: usize) {
        self.serves("as it begins");
        let (first, last) = (changes / 20, changes / 10);
        self.changes(first, |_| ());
        match kind {
            AbsenceKind::Down => self.cluster.apply_step(&Step::Kill(0)),
            AbsenceKind::Wiped => self.cluster.apply_step(&Step::Wipe(0)),
            _ => {}
        }
        self.changes(changes - first - last, |cluster| match kind {
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
        // what is under way at that moment may be half there
        self.cluster.run(self.rng.f64() * 0.2);
        self.cluster.heal();
        self.since = self.cluster.world.now;
        self.back = Some(self.since);
        // it is needed at once, while changes go on, or while nothing else tells it of one
        match self.rng.u8(..4) {
            0 => {
                let span = self.rng.f64() * 0.3;
                self.quiet(span);
            }
            1 => self.changes(last / 4, |_| ()),
            2 => self.quiet(CATCH_UP + 0.5),
            _ => {
                // half of the words get lost, and no change comes that would tell it of the last one
                self.cluster.apply_step(&Step::DegradeNetwork(50, 0, (STORM * 1000.0) as u16));
                self.back = Some(self.since + STORM);
                self.quiet(STORM + CATCH_UP + 0.5);
            }
        }
        for round in 0..ROUNDS {
            self.hand_over(round);
            self.changes(last / ROUNDS / 2, |_| ());
        }
        self.cluster.apply_step(&Step::KillAll);
        self.cluster.apply_step(&Step::Start);
        self.back = Some(self.cluster.world.now);
        self.serves("after all were killed");
        if !self.broken() {
            end(&mut self.cluster);
        }
    }

    fn broken(&self) -> bool {
        self.cluster.world.observer.violation.is_some()
    }

    /// Changes one after the other, each as soon as the one before is acknowledged.
    fn changes(&mut self, count: usize, mut each: impl FnMut(&mut Cluster)) {
        for _ in 0..count {
            let acks = self.cluster.world.observer.seen.acks;
            let put = self.cluster.new_config(self.cluster.world.observer.version(0));
            self.cluster.send_command(None, put);
            let most = self.cluster.world.now + PATIENCE;
            while self.cluster.world.observer.seen.acks == acks && self.cluster.world.now < most {
                if self.broken() {
                    return;
                }
                each(&mut self.cluster);
                self.pass(LOOK);
            }
        }
    }

    fn quiet(&mut self, span: f64) {
        let end = self.cluster.world.now + span;
        while self.cluster.world.now < end && !self.broken() {
            self.pass(LOOK);
        }
    }

    /// The holder ends, and with five machines one more; they come back once another holds the duty.
    fn hand_over(&mut self, round: usize) {
        // a lost disk and one more that is down are more than the system promises to bear
        let most = self.cluster.world.now + BACK;
        while self.cluster.impaired_members() > 0 && !self.broken() {
            if self.cluster.world.now >= most {
                return self.cluster.world.observer.fail("a lost disk is not learnt anew".into());
            }
            self.quiet(0.1);
        }
        let Some(holder) = self.cluster.leaders().first().copied() else {
            return self.serves("before a loss");
        };
        let second = self.cluster.cores.iter().copied().find(|node| *node != holder && *node != self.away);
        if self.rng.bool() {
            // who promises or votes first after it loses power right then
            self.cluster.apply_step(&Step::KillOnVote(1500));
        }
        self.cluster.kill(holder);
        if self.cluster.cores.len() > 3 {
            second.into_iter().for_each(|node| self.cluster.kill(node));
        }
        self.serves(["after the first loss", "after a loss"][round.min(1)]);
        self.led |= self.cluster.leaders().contains(&self.away);
        self.cluster.apply_step(&Step::Start);
        self.back = self.back.map(|back| if holder == self.away { self.cluster.world.now } else { back });
        // the one that comes back now was away for as long as that took
        let span = self.rng.f64() * 0.4;
        self.quiet(span);
    }

    /// A change is acknowledged in time.
    fn serves(&mut self, when: &str) {
        let (acks, most) = (self.cluster.world.observer.seen.acks, self.cluster.world.now + BACK);
        while self.cluster.world.observer.seen.acks == acks && !self.broken() {
            if self.cluster.world.now >= most {
                return self.cluster.world.observer.fail(format!("no service {when}"));
            }
            let put = self.cluster.new_config(self.cluster.world.observer.version(0));
            self.cluster.send_command(None, put);
            self.quiet(0.1);
        }
    }

    /// Lets the time pass, and looks at the member that came back.
    fn pass(&mut self, span: f64) {
        self.cluster.run(span);
        let Some(back) = self.back else { return };
        let now = self.cluster.world.now;
        let Some(core) = self.cluster.world.process(self.away).and_then(Process::core) else {
            self.back = Some(now);
            return;
        };
        let held = core.replica.committed().map_or(0, |(ballot, _)| ballot.index);
        if self.caught_up.is_none() && held >= self.cluster.world.observer.acked_by(now) {
            self.caught_up = Some((now - back).max(0.0));
        }
        if self.cluster.leaders().is_empty() {
            // nobody is there to tell it
            self.back = Some(now);
        }
        let needed = self.cluster.world.observer.acked_by(now - CATCH_UP);
        if now >= back + CATCH_UP && held < needed {
            let text =
                format!("{} holds {held}, but {needed} was acknowledged {CATCH_UP} s before", self.away);
            self.cluster.world.observer.fail(text);
        }
    }
}
