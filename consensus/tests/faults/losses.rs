//! Losses right after repairs and replacements: at each moment, as many members may be lost as the tolerated number
//! leaves. A majority with state must remain, and it must soon acknowledge proposals again.

use crate::world::World;
use lupinledge_consensus::Node;
use std::collections::BTreeMap;

/// A proposal has to be acknowledged within this time after the last event, seconds.
const RECOVERY_TIMEOUT: f64 = 4.0;
/// The platform kills a process that has not stopped this long after it was told to shut down, seconds.
const TERMINATION_GRACE: f64 = 3.0;
/// Time between two checks of the state, seconds.
const CHECK_INTERVAL: f64 = 0.05;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// A new machine is started; after its time to catch up, an old one is told to shut down for good.
    PlannedReplacement { leader: bool },
    /// A machine is gone for good, and a new one is started soon after.
    UnplannedReplacement,
    /// `count` machines lose their disks at once and come back.
    Wipe { count: usize, leader: bool },
    /// All machines lose power and come back.
    PowerLoss,
    /// A machine is told to shut down and starts again with its disk.
    Restart { leader: bool },
    /// A process is paused.
    Pause,
    /// A machine is cut off from the network.
    Isolate,
}

/// A scheduled action.
enum Pending {
    Start(Node),
    /// Tell the machine to shut down; true if it is to start again.
    Leave(Node, bool),
    Stop(Node, bool),
    Reconnect,
}

/// The cluster, with the losses and the scheduled actions.
struct Cluster {
    world: World,
    /// The machines that are not lost for good.
    nodes: Vec<Node>,
    /// The time until which each machine counts as lost.
    lost: BTreeMap<Node, f64>,
    pending: Vec<(f64, Pending)>,
    /// Time for which a machine counts as lost after it came back: 4 s in a cluster of three, 6 s in one of five.
    catch_up: f64,
    hinted_at: f64,
    /// The time until which all machines count as lost after a power loss.
    power_loss_until: f64,
    new_machines: u32,
    /// The time from which the next acknowledgement is due: the last event, the last acknowledgement, or the last
    /// moment with more losses than tolerated.
    last_progress: f64,
    acknowledgements: u64,
    /// The first violation found, if any.
    violation: Option<String>,
}

impl Cluster {
    fn new(seed: u64, founders: usize, all: usize) -> Cluster {
        let nodes: Vec<Node> = (1..=all as Node).map(|n| 10 * n).collect();
        let world = World::tolerating(seed, &nodes[..founders], (all - 1) / 2);
        let pending = Vec::new();
        let lost = BTreeMap::new();
        let mut cluster = Cluster {
            world,
            nodes,
            lost,
            pending,
            catch_up: all as f64 + 1.0,
            hinted_at: 0.0,
            power_loss_until: 0.0,
            new_machines: 0,
            last_progress: 0.0,
            acknowledgements: 0,
            violation: None,
        };
        cluster.world.net.max_delay = [0.003, 0.03, 0.06][cluster.world.rng.usize(..3)];
        for &node in &cluster.nodes[founders..] {
            cluster.world.start(node);
        }
        let all_admitted = cluster.world.run_until(8.0, |world| {
            world.leaders().into_iter().for_each(|node| world.propose(node));
            let newest = world.observer.log.values().next_back();
            newest.is_some_and(|value| value.members.len() == all && value.outgoing.is_empty())
        });
        assert!(all_admitted, "not all machines were admitted");
        cluster.last_progress = cluster.world.now;
        cluster
    }

    fn current_losses(&self) -> usize {
        self.lost.values().filter(|&&until| until > self.world.now).count()
    }

    /// Number of further machines that may be lost now.
    fn remaining_losses(&self) -> usize {
        self.world.tolerate.saturating_sub(self.current_losses())
    }

    fn mark_lost(&mut self, node: Node, until: f64) {
        let lost_until = self.lost.entry(node).or_insert(until);
        *lost_until = lost_until.max(until);
    }

    /// Returns a machine that is neither lost nor about to leave; with `leader`, only the leader if there is one.
    fn random_member(&mut self, leader: bool) -> Option<Node> {
        let now = self.world.now;
        let is_leaving = |node: Node| {
            self.pending.iter().any(
                |(_, pending)| matches!(pending, Pending::Leave(n, _) | Pending::Stop(n, _) if *n == node),
            )
        };
        let is_available =
            |node: &Node| self.lost.get(node).is_none_or(|until| *until <= now) && !is_leaving(*node);
        let available: Vec<Node> = self.nodes.iter().copied().filter(is_available).collect();
        if leader {
            return self.world.leaders().into_iter().find(|node| available.contains(node));
        }
        (!available.is_empty()).then(|| available[self.world.rng.usize(..available.len())])
    }

    /// Adds a machine whose address ranks before, among or after the others.
    fn new_machine(&mut self) -> Node {
        self.new_machines += 1;
        let new = [0, 30, 100][self.world.rng.usize(..3)] + self.new_machines;
        self.nodes.push(new);
        new
    }

    /// Applies the event if the remaining losses allow it; returns whether they did.
    fn apply(&mut self, event: Event) -> bool {
        let now = self.world.now;
        match event {
            Event::PlannedReplacement { leader } => {
                if self.new_machines >= 6 || self.nodes.len() >= 2 * self.world.tolerate + 3 {
                    return false;
                }
                let Some(old) = self.random_member(leader) else { return false };
                let new = self.new_machine();
                self.start(new);
                self.pending.push((now + self.catch_up, Pending::Leave(old, false)));
            }
            Event::UnplannedReplacement => {
                if self.new_machines >= 6 || self.remaining_losses() == 0 {
                    return false;
                }
                let Some(old) = self.random_member(false) else { return false };
                self.remove_machine(old);
                let new = self.new_machine();
                let at = now + self.world.rng.f64();
                self.pending.push((at, Pending::Start(new)));
                self.mark_lost(old, at + self.catch_up);
            }
            Event::Wipe { count, leader } => {
                if self.remaining_losses() < count {
                    return false;
                }
                let downtime = self.world.rng.f64() * 2.0;
                for nth in 0..count {
                    let Some(node) = self.random_member(leader && nth == 0) else { return false };
                    self.world.wipe(node);
                    self.pending.push((now + downtime, Pending::Start(node)));
                    self.mark_lost(node, now + downtime + self.catch_up);
                }
            }
            Event::PowerLoss => {
                let unfinished = self
                    .pending
                    .iter()
                    .filter(|(_, pending)| matches!(pending, Pending::Stop(_, false)))
                    .count();
                if unfinished > self.remaining_losses() || now < self.power_loss_until {
                    return false;
                }
                let downtime = self.world.rng.f64();
                self.power_loss_until = now + downtime + self.catch_up;
                // Machines that were catching up start again, and so does the replacement of a lost machine.
                let recovering = self.lost.values_mut().filter(|until| **until > now);
                recovering.for_each(|until| *until = until.max(now + downtime + self.catch_up));
                for node in self.nodes.clone() {
                    let is_final_stop =
                        |due: &(f64, Pending)| matches!(due.1, Pending::Stop(n, false) if n == node);
                    if let Some(nth) = self.pending.iter().position(is_final_stop) {
                        // It was not removed yet, so it is one more loss.
                        self.pending.swap_remove(nth);
                        self.remove_machine(node);
                        self.mark_lost(node, now + downtime + self.catch_up);
                    } else if self.world.process(node).is_some() {
                        self.world.kill(node);
                        self.pending.push((now + downtime, Pending::Start(node)));
                    }
                }
            }
            Event::Restart { leader } => {
                if self.remaining_losses() == 0 {
                    return false;
                }
                let Some(node) = self.random_member(leader) else { return false };
                self.mark_lost(node, f64::INFINITY);
                self.pending.push((now, Pending::Leave(node, true)));
            }
            Event::Pause | Event::Isolate => {
                if self.remaining_losses() == 0 {
                    return false;
                }
                let Some(node) = self.random_member(false) else { return false };
                let span = 0.5 + self.world.rng.f64() * 4.5;
                self.mark_lost(node, now + span + self.catch_up);
                if event == Event::Pause {
                    self.world.freeze(node, span);
                } else {
                    self.world.cut(&[node]);
                    self.pending.push((now + span, Pending::Reconnect));
                }
            }
        }
        self.last_progress = self.world.now;
        true
    }

    /// Starts the process of a machine that is not lost for good; its settings name three of the current other
    /// machines.
    fn start(&mut self, node: Node) {
        if self.world.process(node).is_none() && self.nodes.contains(&node) {
            let mut others: Vec<Node> = self.nodes.iter().copied().filter(|&other| other != node).collect();
            self.world.rng.shuffle(&mut others);
            others.truncate(3);
            self.world.seeds = others;
            self.world.start(node);
        }
    }

    fn remove_machine(&mut self, node: Node) {
        self.world.kill(node);
        self.nodes.retain(|&other| other != node);
    }

    fn execute(&mut self, pending: Pending) {
        let now = self.world.now;
        match pending {
            Pending::Start(node) => self.start(node),
            Pending::Reconnect => self.world.net.cuts.clear(),
            Pending::Leave(node, false) if self.world.process(node).is_none() => {
                if self.remaining_losses() == 0 {
                    return self.pending.push((now + CHECK_INTERVAL, Pending::Leave(node, false)));
                }
                // It is taken away while it is down, so it is one more loss.
                self.remove_machine(node);
                self.mark_lost(node, now + self.catch_up);
            }
            Pending::Leave(node, restart) => {
                self.world.leave(node);
                self.pending.push((now + TERMINATION_GRACE, Pending::Stop(node, restart)));
            }
            Pending::Stop(node, false) => self.remove_machine(node),
            Pending::Stop(node, true) => {
                self.world.kill(node);
                let at = now + self.world.rng.f64() * 0.5;
                self.pending.push((at, Pending::Start(node)));
                self.lost.insert(node, at + self.catch_up);
            }
        }
        self.last_progress = now;
    }

    /// Runs for `span`, proposes entries, executes the scheduled actions that are due, and checks every state.
    fn run_for(&mut self, span: f64) {
        let end = self.world.now + span;
        while self.world.now < end && self.violation.is_none() {
            let now = self.world.now;
            let may_stop =
                |node: Node| self.world.process(node).is_none_or(|member| member.replica.can_stop());
            let ready = |pending: &(f64, Pending)| match pending {
                (at, Pending::Stop(node, _)) => *at <= now || may_stop(*node),
                (at, _) => *at <= now,
            };
            let ready: Vec<usize> = (0..self.pending.len()).filter(|&n| ready(&self.pending[n])).collect();
            for nth in ready.into_iter().rev() {
                let (_, pending) = self.pending.swap_remove(nth);
                self.execute(pending);
            }
            for node in self.world.leaders() {
                self.world.propose(node);
            }
            if now >= self.hinted_at + 1.0 {
                self.hinted_at = now;
                self.nodes.clone().into_iter().for_each(|node| self.world.hint(node, &self.nodes));
            }
            self.world.run(CHECK_INTERVAL);
            if self.world.observer.acknowledgements > self.acknowledgements {
                (self.acknowledgements, self.last_progress) =
                    (self.world.observer.acknowledgements, self.world.now);
            }
            self.check_state();
        }
    }

    /// Checks that enough members have state to tolerate the remaining losses, and that proposals are acknowledged.
    fn check_state(&mut self) {
        let (now, remaining_losses) = (self.world.now, self.remaining_losses());
        if self.current_losses() > self.world.tolerate {
            self.last_progress = now;
            return;
        }
        if now - self.last_progress > RECOVERY_TIMEOUT {
            self.violation = Some(format!("no acknowledgement since {:.2}", self.last_progress));
        }
        let Some(value) = self.world.observer.log.values().next_back() else { return };
        let is_present = |m: &&Node| {
            let lost = self.lost.get(m).is_some_and(|until| *until > now);
            self.nodes.contains(m) && !lost
        };
        for members in [&value.members, &value.outgoing] {
            let present = members.iter().filter(is_present).count();
            if !members.is_empty() && present.saturating_sub(remaining_losses) <= members.len() / 2 {
                self.violation = Some(format!(
                    "{present} of {members:?} present, too few for {remaining_losses} more losses; present {:?}, lost {:?}",
                    self.nodes, self.lost
                ));
            }
        }
    }

    /// The last fault: as many machines as may be lost lose their disks, while all others lose power.
    fn final_losses(&mut self) {
        let wipes = self.remaining_losses();
        self.apply(Event::Wipe { count: wipes, leader: true });
        self.apply(Event::PowerLoss);
        self.run_for(12.0);
    }
}

fn permutations(events: &[Event]) -> Vec<Vec<Event>> {
    if events.is_empty() {
        return vec![Vec::new()];
    }
    (0..events.len())
        .flat_map(|first| {
            let mut rest = events.to_vec();
            let head = rest.remove(first);
            permutations(&rest).into_iter().map(move |tail| [vec![head], tail].concat())
        })
        .collect()
}

/// Applies the events in this order, each as soon as the remaining losses allow it but at least `gap` after the
/// previous one; then the last fault.
fn run_order(seed: u64, (founders, all): (usize, usize), gap: f64, order: &[Event]) {
    let mut cluster = Cluster::new(seed, founders, all);
    for &event in order {
        cluster.run_for(gap);
        while cluster.violation.is_none() && !cluster.apply(event) {
            cluster.run_for(CHECK_INTERVAL);
        }
    }
    while cluster.violation.is_none() && (cluster.current_losses() > 0 || !cluster.pending.is_empty()) {
        cluster.run_for(CHECK_INTERVAL);
    }
    if cluster.violation.is_none() {
        cluster.final_losses();
    }
    if let Some(violation) = cluster.violation {
        let now = cluster.world.now;
        panic!("seed {seed}, {founders} of {all}, gap {gap}: {order:?}: at {now:.2}: {violation}");
    }
}

const FIVE_REPLACED_AND_WIPED: [Event; 5] = [
    Event::PlannedReplacement { leader: false },
    Event::PlannedReplacement { leader: true },
    Event::Wipe { count: 1, leader: false },
    Event::PowerLoss,
    Event::Wipe { count: 2, leader: true },
];

/// Guards against a lost majority after two planned replacements, the second of the leader, one lost disk, and two more
/// at the end.
#[test]
fn five_members_two_replaced_two_wiped() {
    for seed in 0..20 {
        run_order(seed, (3, 5), 6.0, &FIVE_REPLACED_AND_WIPED[..4]);
    }
}

#[test]
fn every_order_of_two_replaced_and_two_wiped() {
    for (nth, order) in permutations(&FIVE_REPLACED_AND_WIPED).iter().enumerate() {
        for (gap, founders) in [(0.1, 3), (1.5, 5), (4.5, 3)] {
            run_order(nth as u64, (founders, 5), gap, order);
        }
    }
}

#[test]
fn every_order_on_three_members() {
    let events = [
        Event::PlannedReplacement { leader: true },
        Event::UnplannedReplacement,
        Event::Wipe { count: 1, leader: true },
        Event::PowerLoss,
        Event::Restart { leader: true },
    ];
    for (nth, order) in permutations(&events).iter().enumerate() {
        for gap in [0.1, 1.5, 4.5] {
            run_order(nth as u64, (3, 3), gap, order);
        }
    }
}

#[test]
fn all_members_are_restarted_one_after_the_other() {
    for seed in 0..20 {
        for sizes in [(3, 3), (3, 5)] {
            let mut cluster = Cluster::new(seed, sizes.0, sizes.1);
            for node in cluster.nodes.clone() {
                cluster.mark_lost(node, f64::INFINITY);
                cluster.pending.push((cluster.world.now, Pending::Leave(node, true)));
                cluster.run_for(CHECK_INTERVAL);
                while cluster.violation.is_none() && cluster.current_losses() > 0 {
                    cluster.run_for(CHECK_INTERVAL);
                }
            }
            cluster.final_losses();
            assert_eq!(cluster.violation, None, "seed {seed}");
        }
    }
}

/// Applies random events, each if the remaining losses allow it; returns the number of applied events.
fn run_schedule(seed: u64) -> Result<u64, String> {
    let mut cluster = Cluster::new(seed, [3, 3, 5][seed as usize % 3], [3, 5, 5][seed as usize % 3]);
    let mut events = 0;
    while cluster.violation.is_none() && cluster.world.now < 60.0 {
        let leader = cluster.world.rng.bool();
        let count = 1 + cluster.world.rng.usize(..2);
        let event = match cluster.world.rng.u32(..8) {
            0 | 1 => Event::PlannedReplacement { leader },
            2 => Event::UnplannedReplacement,
            3 => Event::Wipe { count, leader },
            4 => Event::PowerLoss,
            5 => Event::Restart { leader },
            6 => Event::Pause,
            _ => Event::Isolate,
        };
        events += u64::from(cluster.apply(event));
        let span = cluster.world.rng.f64() * [0.5, 3.0][cluster.world.rng.usize(..2)];
        cluster.run_for(span);
    }
    while cluster.violation.is_none() && (cluster.current_losses() > 0 || !cluster.pending.is_empty()) {
        cluster.run_for(CHECK_INTERVAL);
    }
    if cluster.violation.is_none() {
        cluster.final_losses();
    }
    match cluster.violation {
        Some(violation) => Err(format!("seed {seed}: at {:.2}: {violation}", cluster.world.now)),
        None => Ok(events),
    }
}

#[test]
fn random_losses_within_the_tolerated_number() {
    let mut events = 0;
    for seed in 0..300 {
        events += run_schedule(seed).unwrap_or_else(|violation| panic!("{violation}"));
    }
    eprintln!("{events} events");
    assert!(events > 300 * 10, "too few events were applied for a meaningful test");
}

/// More schedules, by seed: `FROM=1000 TO=100000 cargo test --release -p lupinledge-consensus losses -- --ignored`.
#[test]
#[ignore = "duration depends on FROM and TO"]
fn more_schedules() {
    let limit = |name: &str, or| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(or);
    let (from, to): (u64, u64) = (limit("FROM", 300), limit("TO", 3000));
    let failed: Vec<String> = (from..to).filter_map(|seed| run_schedule(seed).err()).collect();
    failed.iter().take(20).for_each(|violation| println!("{violation}"));
    assert!(failed.is_empty(), "{} of {}", failed.len(), to - from);
}
