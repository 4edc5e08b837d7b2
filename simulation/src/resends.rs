//! Operators that send each command until it has a clear answer. Up to eight commands are in progress at once, sent to
//! any member; replies are lost on the way, two bodies use the same version, and commands that were answered long ago
//! are sent again. Meanwhile processes are killed or paused, disks are lost or stall, and the network is cut. The checks
//! use only what is visible from outside:
//!
//! - no two bodies are ever acknowledged on the same base or with the same version;
//! - no body is both refused and acknowledged, or refused and in force at any time, before or after;
//! - a zone stays as it was last acknowledged, as long as no command for it is in progress;
//! - after the cluster is healed, each command gets a clear answer.

use crate::cluster::OPERATOR;
use crate::core::ZONES;
use crate::process::{Command, Message, Reply};
use crate::runner::{check_recovery, run_until};
use crate::{Cluster, Flaw, Node, Schedule, Step};
use fastrand::Rng;
use lupinledge_config::Answer;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Maximum number of commands in progress.
const MAX_OPEN: usize = 8;
/// Seconds until an operator sends a command again, without a reply and after the reply that the outcome is unknown.
const REPLY_TIMEOUT: f64 = 1.0;
const RETRY_DELAY: f64 = 0.3;
/// Seconds between two checks by the operators.
const CHECK_INTERVAL: f64 = 0.05;
/// Seconds after which a message without a reply is lost, or the process that received it has ended.
const MESSAGE_LIFETIME: f64 = 9.0;
/// Seconds after healing until each command must have a clear answer.
const ANSWER_TIMEOUT: f64 = 6.0;
/// Percentage of replies that are lost.
const REPLY_LOSS_PERCENT: u32 = 50;

/// How often each kind of event was seen. Tests check it, so that a run in which nothing happened does not pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResendCoverage {
    /// Configurations that operators put.
    pub puts: u64,
    /// Configurations that were accepted.
    pub accepted: u64,
    /// Configurations that were refused.
    pub refused: u64,
    /// Attempts to send a command.
    pub attempts: u64,
    /// Replies that were lost.
    pub lost: u64,
    /// Successful replies to a command whose earlier reply was lost.
    pub repeated: u64,
    /// Successful replies for a configuration that had been replaced already.
    pub replaced: u64,
    /// Zone commands that got a clear answer.
    pub zones: u64,
    /// Delayed copies of zone commands that were carried out after the command had its answer.
    pub late: u64,
}

impl ResendCoverage {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &ResendCoverage) {
        self.puts += other.puts;
        self.accepted += other.accepted;
        self.refused += other.refused;
        self.attempts += other.attempts;
        self.lost += other.lost;
        self.repeated += other.repeated;
        self.replaced += other.replaced;
        self.zones += other.zones;
        self.late += other.late;
    }
}

/// One attempt to send a command.
struct Attempt {
    id: u64,
    sent_at: f64,
    /// Whether the reply is lost on the way.
    reply_lost: bool,
    /// Whether the reply, lost or not, was processed by the checks.
    reply_seen: bool,
}

/// A command with all attempts to send it.
struct TrackedCommand {
    command: Command,
    /// Base version and version of a configuration.
    versions: (u64, u64),
    attempts: Vec<Attempt>,
    next_attempt: f64,
    /// The node to send to next; `None`: any node.
    to: Option<Node>,
    answered: bool,
}

/// All operators, and what they were answered.
struct Operators {
    rng: Rng,
    open: Vec<TrackedCommand>,
    /// The commands that have a clear answer.
    closed: Vec<TrackedCommand>,
    /// Whether each zone was acknowledged as evacuated; no entry while that is unknown.
    zones: BTreeMap<&'static str, bool>,
    /// The bodies that were acknowledged, by base and by version, also if the reply was lost.
    acked_by_base: BTreeMap<u64, Rc<[u8]>>,
    acked_by_version: BTreeMap<u64, Rc<[u8]>>,
    /// The bodies that were refused, also if the reply was lost.
    refused_bodies: BTreeSet<Rc<[u8]>>,
    /// The bodies that were acknowledged, also if the reply was lost. A body in both sets is a violation.
    acked_bodies: BTreeSet<Rc<[u8]>>,
    bodies_made: u64,
    healed: bool,
    coverage: ResendCoverage,
}

fn body(version: u64, base: u64, nth: u64) -> Rc<[u8]> {
    let text = format!(
        "{{\"version\":\"r{version}\",\"base_version\":\"r{base}\",\"nth\":{nth},\"listeners\":[],\"clusters\":[]}}"
    );
    text.into_bytes().into()
}

impl Operators {
    fn new(seed: u64) -> Operators {
        Operators {
            rng: Rng::with_seed(seed ^ 0x7265_7365_6e64),
            open: Vec::new(),
            closed: Vec::new(),
            zones: BTreeMap::new(),
            acked_by_base: BTreeMap::new(),
            acked_by_version: BTreeMap::new(),
            refused_bodies: BTreeSet::new(),
            acked_bodies: BTreeSet::new(),
            bodies_made: 0,
            healed: false,
            coverage: ResendCoverage::default(),
        }
    }

    /// Opens new commands at random, up to [`MAX_OPEN`].
    fn open_commands(&mut self, cluster: &Cluster) {
        while self.open.len() < MAX_OPEN && self.rng.usize(..3) == 0 {
            let now = cluster.world.now;
            let (command, versions) = match self.rng.usize(..10) {
                0 => (Command::Get, (0, 0)),
                1..3 => {
                    let zone = ZONES[self.rng.usize(..ZONES.len())];
                    let busy = self.open.iter().any(|o| zone_of(&o.command) == Some(zone));
                    if busy {
                        continue;
                    }
                    let evacuated = self.zones.remove(zone).unwrap_or(self.rng.bool());
                    let command = if evacuated { Command::Restore(zone) } else { Command::Evacuate(zone) };
                    (command, (0, 0))
                }
                // Repeats a command that has its answer.
                3 if !self.closed.is_empty() => {
                    let old = self.rng.usize(..self.closed.len());
                    match &self.closed[old] {
                        TrackedCommand { command: Command::Put(body), versions, .. } => {
                            (Command::Put(body.clone()), *versions)
                        }
                        _ => continue,
                    }
                }
                // The versions are chosen from two, so that commands often have the same.
                _ => {
                    let base = cluster.world.observer.version(usize::from(self.rng.usize(..12) == 0));
                    let version = base + 1 + self.rng.u64(..2);
                    self.bodies_made += 1;
                    self.coverage.puts += 1;
                    (Command::Put(body(version, base, self.bodies_made)), (base, version))
                }
            };
            self.open.push(TrackedCommand {
                command,
                versions,
                attempts: Vec::new(),
                next_attempt: now,
                to: None,
                answered: false,
            });
        }
    }

    /// Sends the commands that are due.
    fn send_due(&mut self, cluster: &mut Cluster) {
        let now = cluster.world.now;
        for tracked in self.open.iter_mut().filter(|tracked| tracked.next_attempt <= now) {
            let any = cluster.cores[self.rng.usize(..cluster.cores.len())];
            let to = tracked.to.take().unwrap_or(any);
            let id = cluster.world.next_id();
            let reply_lost = !self.healed && self.rng.u32(..100) < REPLY_LOSS_PERCENT;
            tracked.attempts.push(Attempt { id, sent_at: now, reply_lost, reply_seen: false });
            tracked.next_attempt = now + REPLY_TIMEOUT + RETRY_DELAY * self.rng.f64();
            self.coverage.attempts += 1;
            cluster.world.observer.command_sent(id, tracked.command.clone());
            cluster.world.send(OPERATOR, to, Message::Command(id, tracked.command.clone()), true);
        }
    }

    /// Checks all new replies, also those that are lost on the way.
    fn handle_replies(&mut self, cluster: &mut Cluster) -> Result<(), String> {
        let now = cluster.world.now;
        let mut commands: Vec<TrackedCommand> = self.open.drain(..).chain(self.closed.drain(..)).collect();
        for tracked in &mut commands {
            for nth in 0..tracked.attempts.len() {
                let Attempt { id, sent_at, reply_lost, reply_seen } = tracked.attempts[nth];
                let Some(reply) =
                    cluster.world.observer.replies_by_command.get(&id).filter(|_| !reply_seen).cloned()
                else {
                    continue;
                };
                tracked.attempts[nth].reply_seen = true;
                if let Reply::Answer(answer) = &reply {
                    let newest = cluster.world.observer.version(0);
                    self.check_answer(tracked, nth, answer, newest)?;
                    if let Some(zone) = zone_of(&tracked.command).filter(|_| tracked.answered) {
                        self.coverage.late += 1;
                        self.zones.remove(zone);
                    }
                }
                let newest = nth + 1 == tracked.attempts.len();
                if reply_lost || tracked.answered || now - sent_at > REPLY_TIMEOUT {
                    self.coverage.lost += u64::from(reply_lost);
                    continue;
                }
                match reply {
                    Reply::Answer(_) => {
                        tracked.answered = true;
                        if let Some(zone) = zone_of(&tracked.command) {
                            self.coverage.zones += 1;
                            self.zones.insert(zone, matches!(tracked.command, Command::Evacuate(_)));
                        }
                    }
                    Reply::Redirect(_) if newest => {
                        (tracked.to, tracked.next_attempt) =
                            (cluster.leaders().first().copied(), now + CHECK_INTERVAL / 2.0);
                    }
                    Reply::Unknown if newest => tracked.next_attempt = now + RETRY_DELAY,
                    _ => {}
                }
            }
        }
        (self.closed, self.open) = commands.into_iter().partition(|tracked| tracked.answered);
        self.check_state(cluster)
    }

    /// Checks one answer, whether or not it reaches the operator.
    fn check_answer(
        &mut self,
        tracked: &TrackedCommand,
        nth: usize,
        answer: &Answer,
        newest: u64,
    ) -> Result<(), String> {
        let Command::Put(body) = &tracked.command else { return Ok(()) };
        let (base, version) = tracked.versions;
        let error = |what: &str| Err(format!("version {version} on base {base}: {what}"));
        match answer {
            Answer::Done => {
                self.coverage.accepted += u64::from(self.acked_bodies.insert(body.clone()));
                self.coverage.repeated +=
                    u64::from(tracked.attempts[..nth].iter().any(|a| a.reply_seen && a.reply_lost));
                self.coverage.replaced += u64::from(newest != version);
                if *self.acked_by_base.entry(base).or_insert_with(|| body.clone()) != *body {
                    return error("acknowledged, although another body was acknowledged on its base");
                }
                if *self.acked_by_version.entry(version).or_insert_with(|| body.clone()) != *body {
                    return error("acknowledged, although another body was acknowledged with its version");
                }
            }
            Answer::Refused { .. } => {
                self.coverage.refused += u64::from(self.refused_bodies.insert(body.clone()))
            }
            Answer::Config(_) => {}
        }
        match self.refused_bodies.contains(body) && self.acked_bodies.contains(body) {
            true => error("refused and acknowledged"),
            false => Ok(()),
        }
    }

    /// Checks the committed documents against the answers.
    fn check_state(&self, cluster: &Cluster) -> Result<(), String> {
        let model = &cluster.world.observer;
        if let Some(body) = model.bodies().find(|body| self.refused_bodies.contains(*body)) {
            let text = String::from_utf8_lossy(&body[..body.len().min(50)]).into_owned();
            return Err(format!("refused and in force: {text}"));
        }
        let Some((_, _, document)) = model.newest() else { return Ok(()) };
        for (zone, evacuated) in &self.zones {
            let in_progress = |tracked: &TrackedCommand| {
                let in_flight =
                    |a: &Attempt| !a.reply_seen && cluster.world.now - a.sent_at < MESSAGE_LIFETIME;
                zone_of(&tracked.command) == Some(zone)
                    && (!tracked.answered || tracked.attempts.iter().any(in_flight))
            };
            if self.open.iter().chain(&self.closed).any(in_progress) {
                continue;
            }
            if document.evacuated_zones.iter().any(|z| z == zone) != *evacuated {
                return Err(format!(
                    "{zone} was last acknowledged with evacuated = {evacuated}, and the committed document differs"
                ));
            }
        }
        Ok(())
    }
}

/// The zone that a command is about.
fn zone_of(command: &Command) -> Option<&'static str> {
    match command {
        Command::Evacuate(zone) | Command::Restore(zone) => Some(zone),
        Command::Put(_) | Command::Get => None,
    }
}

/// Injects a random fault of the core or the network, or starts the core processes that are down.
fn inject_fault(rng: &mut Rng, cluster: &mut Cluster) {
    let index = rng.u8(..);
    let step = match rng.u32(..100) {
        0..10 => Step::Kill(index),
        10..13 => Step::KillAll,
        13..20 => Step::Wipe(index),
        20..28 => Step::Freeze(index, 300 + rng.u16(..4000)),
        28..36 => Step::Cut(rng.u16(..), 500 + rng.u16(..5000)),
        36..40 => Step::CutOneWay(500 + rng.u16(..4000)),
        40..44 => Step::KillOnVote(1000 + rng.u16(..3000)),
        44..47 => Step::FailSaves(index, 2 + rng.u8(..3)),
        47..49 => Step::Replace(index),
        49..52 => Step::DegradeNetwork(rng.u8(..30), rng.u8(..10), 500 + rng.u16(..3000)),
        // The disks of all members but the holder stall: the holder goes on, but no change is committed.
        52..60 => {
            let (holders, duration) = (cluster.leaders(), 300 + rng.u16(..5000));
            let others = (0..cluster.cores.len() as u8).filter(|&n| !holders.contains(&cluster.core_at(n)));
            let others: Vec<u8> = others.collect();
            others.into_iter().for_each(|n| cluster.apply_step(&Step::Stall(n, duration)));
            return;
        }
        // The holder alone is cut off from all others.
        60..66 => {
            let holder = cluster.leaders().first().copied();
            let Some(index) = cluster.cores.iter().position(|node| Some(*node) == holder) else { return };
            Step::Cut(1 << index, 500 + rng.u16(..6000))
        }
        _ => Step::Start,
    };
    cluster.apply_step(&step);
}

/// Runs the schedule of a seed; returns the first violation.
pub fn run_resends(seed: u64, flaw: Flaw) -> Result<ResendCoverage, String> {
    let schedule = Schedule { edges: 2, ..Schedule::new(seed).with_steps(&[]) };
    let mut cluster = Cluster::new(&schedule, flaw);
    let mut operators = Operators::new(seed);
    let mut rng = Rng::with_seed(seed ^ 0x0074_726f_7562_6c65);
    let (end, mut next_fault) = (10.0 + rng.f64() * 20.0, 3.0);
    let check_violation = |cluster: &mut Cluster, now: f64| match cluster.world.observer.violation.take() {
        Some(what) => Err(format!("seed {seed}, at {now:.3} s: {what}")),
        None => Ok(()),
    };
    while cluster.world.now < end {
        if cluster.world.now >= next_fault {
            next_fault = cluster.world.now + 0.1 + rng.f64();
            inject_fault(&mut rng, &mut cluster);
        }
        operators.open_commands(&cluster);
        operators.send_due(&mut cluster);
        cluster.run(CHECK_INTERVAL);
        let now = cluster.world.now;
        check_violation(&mut cluster, now)?;
        operators
            .handle_replies(&mut cluster)
            .map_err(|what| format!("seed {seed}, at {now:.3} s: {what}"))?;
    }
    cluster.heal();
    operators.healed = true;
    let mut error = None;
    let done = run_until(&mut cluster, ANSWER_TIMEOUT, |cluster| {
        operators.send_due(cluster);
        error = error.take().or(operators.handle_replies(cluster).err());
        error.is_some() || operators.open.is_empty()
    });
    let now = cluster.world.now;
    check_violation(&mut cluster, now)?;
    if let Some(what) = error {
        return Err(format!("seed {seed}, at {now:.3} s: {what}"));
    }
    if !done {
        return Err(format!("seed {seed}: {} commands without a clear answer", operators.open.len()));
    }
    check_recovery(&mut cluster);
    check_violation(&mut cluster, now)?;
    operators.handle_replies(&mut cluster).map_err(|what| format!("seed {seed}, at the end: {what}"))?;
    Ok(operators.coverage)
}
