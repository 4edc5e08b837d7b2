//! Runs in which core members are cut off for twenty seconds, while operators send commands to every member.
//!
//! A cut goes around one member or several, the holder or not, in both directions or in one. Edge nodes are on either
//! side, or only the core is divided. A change may be in progress when the cut begins, and either side may restart
//! during it with seeds of its own side only. [`crate::ReferenceModel`] checks that the answers to operators are true of
//! the cluster. This module checks that a member without a majority gives no answer on behalf of the cluster, where it
//! redirects callers to, and how soon the side with a majority accepts changes again.

use crate::core::{Core, ZONES};
use crate::process::{Command, Process, Reply};
use crate::runner::{check_recovery, run_until};
use crate::{Cluster, Flaw, Node, Schedule};
use fastrand::Rng;
use lupinledge_membership::Standing;
use std::collections::BTreeMap;

/// Duration of a cut, seconds.
const CUT_DURATION: f64 = 20.0;
/// Seconds from the start of a cut, or from a restart of the side with a majority, until that side must accept commands
/// again.
const SERVICE_TIMEOUT: f64 = 5.0;
/// Longest time since the target of a redirect led with a majority, seconds; an edge node may name it until then.
const REDIRECT_STALENESS: f64 = 3.0;
/// Number of redirects that a caller follows.
const MAX_REDIRECTS: u8 = 2;
/// Seconds after a change of the holder until callers must get by with [`MAX_REDIRECTS`].
const REDIRECTS_SETTLE_TIME: f64 = 4.0;
/// Longest time for which a member lists an edge node that died, seconds, whatever the member is cut off from.
const DEAD_EDGE_LISTED: f64 = 3.0;
/// Seconds between two commands, and between two checks of the replies.
const COMMAND_INTERVAL: f64 = 0.15;
const CHECK_INTERVAL: f64 = 0.02;

/// Which messages between the two sides are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Both,
    /// Messages to the nodes that are cut off.
    Inbound,
    /// Messages from the nodes that are cut off.
    Outbound,
}

/// Which members are cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutTarget {
    Member(u8),
    Holder,
    /// The largest number that leaves a majority; with the holder if the flag is set.
    Minority(bool),
}

/// Which processes restart during a cut. From then on their seeds are members of their own side only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restart {
    Neither,
    /// The processes that are cut off.
    Isolated,
    /// The processes that are cut off, then all others.
    Both,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Cut {
    target: CutTarget,
    direction: Direction,
    /// Bit mask of the edge nodes that are cut off with the members; `None`: only the core is divided.
    edges: Option<u8>,
    /// A change is sent this many seconds before the cut.
    change_before: Option<f64>,
    restart: Restart,
    /// Seconds from the start of the cut until the restart, and for which the processes are down.
    restart_at: (f64, f64),
    /// An edge node that dies this many seconds after the start of the cut, if no process restarts. It starts again at
    /// the end of the cut.
    edge_death: Option<(u8, f64)>,
}

/// A run with two cuts.
#[derive(Clone, Debug, PartialEq)]
pub struct PartitionSchedule {
    machines: Schedule,
    cuts: Vec<Cut>,
}

/// How often each kind of event was seen, and the longest delays.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PartitionCoverage {
    /// Commands of operators.
    pub commands: u64,
    /// Commands sent to a member without a majority whose reply was that the outcome is unknown.
    pub unknown: u64,
    /// Commands sent to a member without a majority that were redirected.
    pub redirected: u64,
    /// Commands answered during a cut by the side with a majority.
    pub answered: u64,
    /// Callers that were redirected a third time.
    pub third_redirects: u64,
    /// Longest time until the side with a majority accepted commands again, seconds.
    pub service_delay: f64,
    /// Longest time from the end of a cut until all nodes agreed, seconds.
    pub agreement_delay: f64,
    /// Longest time for which a member listed an edge node that had died, seconds.
    pub dead_edge_listed: f64,
    /// Longest time since the target of a redirect had led with a majority, seconds.
    pub redirect_staleness: f64,
}

impl PartitionCoverage {
    /// Adds the counts of another run, and keeps the longer delays.
    pub fn add(&mut self, other: &PartitionCoverage) {
        self.commands += other.commands;
        self.unknown += other.unknown;
        self.redirected += other.redirected;
        self.answered += other.answered;
        self.third_redirects += other.third_redirects;
        self.service_delay = self.service_delay.max(other.service_delay);
        self.agreement_delay = self.agreement_delay.max(other.agreement_delay);
        self.redirect_staleness = self.redirect_staleness.max(other.redirect_staleness);
        self.dead_edge_listed = self.dead_edge_listed.max(other.dead_edge_listed);
    }
}

impl PartitionSchedule {
    /// The schedule of a seed.
    pub fn new(seed: u64) -> PartitionSchedule {
        let mut rng = Rng::with_seed(seed ^ 0x6375_7473);
        let count = [3, 3, 5][rng.usize(..3)];
        let (edges, max_delay_ms) = (rng.usize(2..5), [3, 30, 120][rng.usize(..3)]);
        let machines = Schedule { seed, cores: (count, count), edges, max_delay_ms, steps: Vec::new() };
        let cuts = (0..2).map(|_| Cut::new(&mut rng)).collect();
        PartitionSchedule { machines, cuts }
    }
}

impl Cut {
    fn new(rng: &mut Rng) -> Cut {
        let target = match rng.u32(..8) {
            0..3 => CutTarget::Member(rng.u8(..)),
            3..6 => CutTarget::Holder,
            _ => CutTarget::Minority(rng.bool()),
        };
        let direction =
            [Direction::Both, Direction::Both, Direction::Inbound, Direction::Outbound][rng.usize(..4)];
        let edges = rng.bool().then(|| rng.u8(..));
        let change_before = rng.bool().then(|| rng.f64() * 0.2);
        let restart = [Restart::Neither, Restart::Neither, Restart::Isolated, Restart::Both][rng.usize(..4)];
        let restart_at = (0.5 + rng.f64() * 9.0, 0.1 + rng.f64());
        let edge_death = (restart == Restart::Neither).then(|| (rng.u8(..), 0.2 + rng.f64() * 12.0));
        Cut { target, direction, edges, change_before, restart, restart_at, edge_death }
    }
}

/// A command in progress, and how often its caller was redirected.
struct Caller {
    node: Node,
    command: Command,
    redirects: u8,
    sent_at: f64,
}

/// A run in progress.
struct PartitionRun<'a> {
    cluster: &'a mut Cluster,
    coverage: PartitionCoverage,
    callers: BTreeMap<u64, Caller>,
    rng: Rng,
    next_command: f64,
    /// When the last cut began.
    cut_at: f64,
    /// The time from which the side with a majority should accept commands; `None` once it has accepted one.
    awaiting_service_since: Option<f64>,
    /// When the holder last changed or a process last started.
    holder_changed_at: f64,
    leaders: Vec<Node>,
    /// The edge node that died, and when.
    dead_edge: Option<(Node, f64)>,
    /// When each node last led or tried to lead, connected to a majority.
    last_led: BTreeMap<Node, f64>,
}

impl PartitionRun<'_> {
    /// Whether a member has no majority of members that it can exchange messages with in both directions.
    fn lacks_majority(&self, node: Node) -> bool {
        let members = self.cluster.members();
        let cuts = &self.cluster.world.net.cuts;
        let reachable = |m: &&Node| {
            let routes = [(node, **m), (**m, node)];
            **m == node
                || routes.iter().all(|route| !cuts.contains(route))
                    && self.cluster.world.process(**m).is_some()
        };
        members.iter().filter(reachable).count() <= members.len() / 2
    }

    /// Whether a node considers itself the leader and can reach a majority of the members.
    fn leads_with_majority(&self, node: Node) -> bool {
        let core = self.cluster.world.process(node).and_then(Process::core);
        core.and_then(|core| core.replica.leader(0.0)).is_some_and(|(holder, _)| holder == node)
            && !self.lacks_majority(node)
    }

    /// Runs for `duration` seconds with commands, and checks the replies.
    fn run(&mut self, duration: f64) {
        let end = self.cluster.world.now + duration;
        while self.cluster.world.now < end && self.cluster.world.observer.violation.is_none() {
            if self.cluster.world.now >= self.next_command {
                self.next_command = self.cluster.world.now + COMMAND_INTERVAL;
                self.send_next_command();
            }
            self.cluster.run(CHECK_INTERVAL.min(end - self.cluster.world.now));
            self.check_dead_edge();
            let leaders = self.cluster.leaders();
            let with_majority: Vec<Node> =
                self.cluster.cores.iter().copied().filter(|node| self.leads_with_majority(*node)).collect();
            self.last_led.extend(with_majority.into_iter().map(|node| (node, self.cluster.world.now)));
            if leaders != self.leaders {
                (self.leaders, self.holder_changed_at) = (leaders, self.cluster.world.now);
            }
            let replies = self.cluster.world.observer.replies.replace(Vec::new()).unwrap_or_default();
            replies.into_iter().for_each(|(at, node, id, reply)| self.handle_reply(at, node, id, reply));
        }
    }

    /// Checks that no member lists the dead edge node for too long. A member lists the edge nodes that it considers
    /// alive.
    fn check_dead_edge(&mut self) {
        let Some((edge, died_at)) = self.dead_edge else { return };
        let alive = |core: &Core| {
            core.disseminator.membership().member(edge).is_some_and(|m| m.standing == Standing::Alive)
        };
        let lists =
            |node: &Node| self.cluster.world.process(*node).and_then(Process::core).is_some_and(alive);
        if let Some(node) = self.cluster.cores.iter().copied().find(lists) {
            let elapsed = self.cluster.world.now - died_at;
            self.coverage.dead_edge_listed = self.coverage.dead_edge_listed.max(elapsed);
            if elapsed > DEAD_EDGE_LISTED {
                self.cluster
                    .world
                    .observer
                    .fail(format!("{node} lists {edge}, which died {elapsed:.2} s ago"));
            }
        }
    }

    /// Sends a random command to a random member.
    fn send_next_command(&mut self) {
        let node = self.cluster.core_at(self.rng.u8(..));
        let newest = self.cluster.world.observer.version(0);
        let zone = ZONES[self.rng.usize(..ZONES.len())];
        let command = match self.rng.u32(..8) {
            0..3 => self.cluster.new_config(newest),
            3 => self.cluster.new_config(self.cluster.world.observer.version(1)),
            4..6 => Command::Get,
            6 => Command::Evacuate(zone),
            _ => Command::Restore(zone),
        };
        self.call(node, command, 0);
    }

    fn call(&mut self, node: Node, command: Command, redirects: u8) {
        let id = self.cluster.send_command_to(node, command.clone());
        self.coverage.commands += u64::from(redirects == 0);
        self.callers.insert(id, Caller { node, command, redirects, sent_at: self.cluster.world.now });
    }

    fn handle_reply(&mut self, at: f64, node: Node, id: u64, reply: Reply) {
        let Some(caller) = self.callers.remove(&id) else { return };
        let during_cut = !self.cluster.world.net.cuts.is_empty();
        let isolated = during_cut && caller.sent_at >= self.cut_at && self.lacks_majority(caller.node);
        match reply {
            Reply::Answer(_) if isolated => {
                let text = format!("{node} answers on behalf of the cluster without reaching a majority");
                self.cluster.world.observer.fail(text);
            }
            Reply::Answer(_) => {
                self.coverage.answered += u64::from(during_cut);
                if let Some(since) = self.awaiting_service_since.filter(|since| caller.sent_at >= *since) {
                    self.coverage.service_delay = self.coverage.service_delay.max(at - since);
                    self.awaiting_service_since = None;
                }
            }
            Reply::Unknown => self.coverage.unknown += u64::from(isolated),
            Reply::Redirect(to) => {
                self.coverage.redirected += u64::from(isolated);
                self.check_redirect(at, node, to);
                if caller.redirects < MAX_REDIRECTS {
                    return self.call(to, caller.command, caller.redirects + 1);
                }
                self.coverage.third_redirects += 1;
                if at - self.holder_changed_at > REDIRECTS_SETTLE_TIME {
                    self.cluster
                        .world
                        .observer
                        .fail(format!("a caller is redirected a third time, by {node} to {to}"));
                }
            }
        }
    }

    /// Checks that the target of a redirect leads with a majority, or did not long ago.
    fn check_redirect(&mut self, at: f64, node: Node, to: Node) {
        let staleness = self.last_led.get(&to).map_or(f64::INFINITY, |led_at| at - led_at);
        self.coverage.redirect_staleness = self.coverage.redirect_staleness.max(staleness);
        if staleness > REDIRECT_STALENESS {
            let text =
                format!("{node} redirects callers to {to}, which does not lead and led {staleness:.2} s ago");
            self.cluster.world.observer.fail(text);
        }
    }

    /// Cuts the routes between two sides; returns the side that is cut off, and the other side.
    fn cut(&mut self, cut: &Cut) -> (Vec<Node>, Vec<Node>) {
        let cores = self.cluster.cores.clone();
        let minority = (cores.len() - 1) / 2;
        let holder = self.leaders.first().copied().unwrap_or(cores[0]);
        let mut others: Vec<Node> = cores.iter().copied().filter(|node| *node != holder).collect();
        self.rng.shuffle(&mut others);
        let mut isolated = match cut.target {
            CutTarget::Member(index) => vec![self.cluster.core_at(index)],
            CutTarget::Holder => vec![holder],
            CutTarget::Minority(true) => [&[holder], &others[..minority - 1]].concat(),
            CutTarget::Minority(false) => others[..minority].to_vec(),
        };
        let mut rest: Vec<Node> = cores.into_iter().filter(|node| !isolated.contains(node)).collect();
        if let Some(mask) = cut.edges {
            for (index, edge) in self.cluster.edges.iter().enumerate() {
                if mask >> index & 1 == 1 { &mut isolated } else { &mut rest }.push(*edge);
            }
        }
        let now = self.cluster.world.now;
        self.cluster.cuts_and_degradation_end_at.0 = now + CUT_DURATION;
        self.cut_at = now;
        for &a in &isolated {
            for &b in &rest {
                let (inbound, outbound) = ((b, a), (a, b));
                self.cluster
                    .world
                    .net
                    .cuts
                    .extend([inbound].into_iter().filter(|_| cut.direction != Direction::Outbound));
                self.cluster
                    .world
                    .net
                    .cuts
                    .extend([outbound].into_iter().filter(|_| cut.direction != Direction::Inbound));
            }
        }
        // All edge nodes that are not cut off stay in touch, once the core has recovered from the cut.
        self.cluster.disturb(SERVICE_TIMEOUT);
        for edge in isolated.iter().filter(|node| self.cluster.edges.contains(node)) {
            self.cluster.world.observer.edge_disturbed_until.insert(*edge, now + CUT_DURATION);
        }
        self.awaiting_service_since = Some(now);
        (isolated, rest)
    }

    /// Kills the processes of one side and starts them again after `down` seconds, with only core members of that side
    /// as seeds.
    fn restart(&mut self, side: &[Node], down: f64, majority: bool) {
        let (cores, edges): (Vec<Node>, Vec<Node>) =
            side.iter().partition(|node| self.cluster.cores.contains(node));
        for node in &cores {
            self.cluster.kill(*node);
        }
        for edge in &edges {
            self.cluster.kill_edge(*edge);
        }
        side.iter().for_each(|node| drop(self.cluster.seeds_by_node.insert(*node, cores.clone())));
        self.callers.retain(|_, caller| !cores.contains(&caller.node));
        self.run(down);
        self.cluster.start_cores();
        self.cluster.start_edges();
        self.holder_changed_at = self.cluster.world.now;
        if majority {
            self.cluster.disturb(SERVICE_TIMEOUT);
            self.awaiting_service_since = Some(self.cluster.world.now);
        }
    }

    /// Runs one cut from a serving cluster to agreement after its end.
    fn run_cut(&mut self, cut: &Cut) {
        let serving =
            |cluster: &mut Cluster| cluster.leaders().len() == 1 && cluster.world.observer.coverage.acks > 0;
        let begun = self.cluster.world.now;
        while !serving(self.cluster) && self.cluster.world.now < begun + SERVICE_TIMEOUT {
            self.run(0.1);
        }
        if let Some(delay) = cut.change_before {
            let put = self.cluster.new_config(self.cluster.world.observer.version(0));
            let node = self.cluster.core_at(self.rng.u8(..));
            self.call(node, put, 0);
            self.run(delay);
        }
        let (isolated, rest) = self.cut(cut);
        let (at, down) = cut.restart_at;
        if cut.restart != Restart::Neither {
            self.run(at);
            self.restart(&isolated, down, false);
        }
        if cut.restart == Restart::Both {
            self.run(at.min(4.0));
            self.restart(&rest, down, true);
        }
        if let Some((index, after)) = cut.edge_death {
            self.run(after);
            let edge = self.cluster.edge_at(index);
            self.cluster.kill_edge(edge);
            self.dead_edge = Some((edge, self.cluster.world.now));
        }
        let remaining = self.cluster.cuts_and_degradation_end_at.0 - self.cluster.world.now;
        self.run((remaining - CHECK_INTERVAL).max(0.0));
        if self.dead_edge.take().is_some() {
            self.cluster.start_edges();
        }
        if let Some(since) =
            self.awaiting_service_since.filter(|since| self.cluster.world.now - since > SERVICE_TIMEOUT)
        {
            let text = format!(
                "the side with a majority accepts no commands after {} s",
                self.cluster.world.now - since
            );
            self.cluster.world.observer.fail(text);
        }
        if self.coverage.service_delay > SERVICE_TIMEOUT {
            self.cluster
                .world
                .observer
                .fail(format!("commands are accepted again only after {} s", self.coverage.service_delay));
        }
        self.awaiting_service_since = None;
        self.cluster.disturb(2.0 * CHECK_INTERVAL);
        self.run(2.0 * CHECK_INTERVAL);
        let healed = self.cluster.world.now;
        // Operators go on sending commands.
        self.run(1.0);
        run_until(self.cluster, crate::runner::AGREEMENT_TIMEOUT, |cluster| {
            crate::runner::disagreement(cluster).is_none()
        });
        self.coverage.agreement_delay = self.coverage.agreement_delay.max(self.cluster.world.now - healed);
    }
}

/// Runs a schedule with cuts; returns the first violation.
pub fn run_partitions(schedule: &PartitionSchedule, flaw: Flaw) -> Result<PartitionCoverage, String> {
    let mut cluster = Cluster::new(&schedule.machines, flaw);
    cluster.world.observer.replies = Some(Vec::new());
    let mut run = PartitionRun {
        rng: Rng::with_seed(schedule.machines.seed),
        coverage: PartitionCoverage::default(),
        callers: BTreeMap::new(),
        next_command: 1.5,
        cut_at: 0.0,
        awaiting_service_since: None,
        holder_changed_at: 0.0,
        leaders: Vec::new(),
        dead_edge: None,
        last_led: BTreeMap::new(),
        cluster: &mut cluster,
    };
    for cut in &schedule.cuts {
        if run.cluster.world.observer.violation.is_none() {
            run.run_cut(cut);
        }
    }
    let coverage = run.coverage;
    if cluster.world.observer.violation.is_none() {
        check_recovery(&mut cluster);
    }
    match cluster.world.observer.violation.take() {
        Some(what) => Err(format!(
            "seed {} at {:.3} s: {what}; {:?}",
            schedule.machines.seed, cluster.world.now, schedule.cuts
        )),
        None => Ok(coverage),
    }
}
