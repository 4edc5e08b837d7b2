//! Days on which members of the core are cut off for twenty seconds, with operators at every member all the time.
//!
//! A cut goes around one member or several, the holder or not, in both directions or in one, with edge nodes on either
//! side or with the core alone divided, with a change under way as it begins, and with restarts of either side during
//! it, whose new seeds lie on their own side. What operators are told is looked at from outside: [`crate::ReferenceModel`] sees
//! that it is true of the whole, this module that who reaches no majority says nothing for the whole, whom it sends
//! callers to, and how soon those that have one take orders again.

use crate::core::{Core, ZONES};
use crate::process::{Command, Process, Reply};
use crate::runner::{end, until};
use crate::{Cluster, Flaw, Node, Schedule};
use fastrand::Rng;
use lupinledge_membership::Standing;
use std::collections::BTreeMap;

/// A cut stands for so long, seconds.
const FOR: f64 = 20.0;
/// The side with a majority takes orders again so soon after the cut began, or after a restart on it, seconds.
const AGAIN: f64 = 5.0;
/// Callers are sent to who holds the duty, or led with a majority so long ago at the most, seconds: an edge node may
/// name it until then.
const LED: f64 = 3.0;
/// Callers follow so many redirects.
const HOPS: u8 = 2;
/// So soon after a change of the holder callers meet no more redirects than that, seconds.
const CALM: f64 = 4.0;
/// No member names an edge node that died so long ago, seconds, whatever it is cut off from.
const NAMED: f64 = 3.0;
/// The operators' pause, and how often callers' answers are looked at, seconds.
const EACH: f64 = 0.15;
const GRAIN: f64 = 0.02;

/// Which words are lost between the two sides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Both,
    /// Those to the ones that are cut off.
    Deaf,
    /// Those from them.
    Mute,
}

/// Whom a cut goes around.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Around {
    Member(u8),
    Holder,
    /// As many as leave a bare majority; with the holder or without.
    Minority(bool),
}

/// Which processes restart during a cut, whose seeds are of their own side from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restart {
    Nobody,
    /// Those that are cut off.
    Off,
    /// Those, then all others.
    Both,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Cut {
    around: Around,
    way: Way,
    /// Edge nodes by their places that are cut off with the members; none: the core alone is divided.
    edges: Option<u8>,
    /// A change is sent so many seconds before.
    before: Option<f64>,
    restart: Restart,
    /// So many seconds after the cut began, and for how long they are down.
    restart_at: (f64, f64),
    /// This edge node dies so many seconds after the cut began, if nobody restarts, and comes back at its end.
    dies: Option<(u8, f64)>,
}

/// A day with two cuts.
#[derive(Clone, Debug, PartialEq)]
pub struct PartitionSchedule {
    cluster: Schedule,
    cuts: Vec<Cut>,
}

/// How much was seen on how many days, and the longest spans.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PartitionCoverage {
    /// Orders of operators, and what came of them at members that reached no majority.
    pub orders: u64,
    /// Of those, at members that reached no majority: answered that nobody can tell, sent to another one.
    pub later: u64,
    /// See above.
    pub elsewhere: u64,
    /// Orders taken or read back on the side with a majority while a cut stood.
    pub said: u64,
    /// Callers that met a third redirect.
    pub thirds: u64,
    /// Longest span until the side with a majority took orders again, seconds.
    pub again: f64,
    /// Longest span from the end of a cut until all were of one mind, seconds.
    pub whole: f64,
    /// Longest span for which a member named an edge node that had died, seconds.
    pub named: f64,
    /// Longest span after which a caller was sent to one that did not lead any more, seconds.
    pub stale: f64,
}

impl PartitionCoverage {
    /// Adds what was seen elsewhere.
    pub fn add(&mut self, other: &PartitionCoverage) {
        self.orders += other.orders;
        self.later += other.later;
        self.elsewhere += other.elsewhere;
        self.said += other.said;
        self.thirds += other.thirds;
        self.again = self.again.max(other.again);
        self.whole = self.whole.max(other.whole);
        self.stale = self.stale.max(other.stale);
        self.named = self.named.max(other.named);
    }
}

impl PartitionSchedule {
    /// The day of a seed.
    pub fn new(seed: u64) -> PartitionSchedule {
        let mut rng = Rng::with_seed(seed ^ 0x6375_7473);
        let count = [3, 3, 5][rng.usize(..3)];
        let (edges, delay) = (rng.usize(2..5), [3, 30, 120][rng.usize(..3)]);
        let cluster = Schedule { seed, cores: (count, count), edges, delay, steps: Vec::new() };
        let cuts = (0..2).map(|_| Cut::new(&mut rng)).collect();
        PartitionSchedule { cluster, cuts }
    }
}

impl Cut {
    fn new(rng: &mut Rng) -> Cut {
        let around = match rng.u32(..8) {
            0..3 => Around::Member(rng.u8(..)),
            3..6 => Around::Holder,
            _ => Around::Minority(rng.bool()),
        };
        let way = [Way::Both, Way::Both, Way::Deaf, Way::Mute][rng.usize(..4)];
        let edges = rng.bool().then(|| rng.u8(..));
        let before = rng.bool().then(|| rng.f64() * 0.2);
        let restart = [Restart::Nobody, Restart::Nobody, Restart::Off, Restart::Both][rng.usize(..4)];
        let restart_at = (0.5 + rng.f64() * 9.0, 0.1 + rng.f64());
        let dies = (restart == Restart::Nobody).then(|| (rng.u8(..), 0.2 + rng.f64() * 12.0));
        Cut { around, way, edges, before, restart, restart_at, dies }
    }
}

/// An order under way, and how often its caller was sent on.
struct Caller {
    node: Node,
    command: Command,
    hops: u8,
    at: f64,
}

/// One day under way.
struct Day<'a> {
    cluster: &'a mut Cluster,
    seen: PartitionCoverage,
    callers: BTreeMap<u64, Caller>,
    rng: Rng,
    next: f64,
    /// Since when ways have been cut.
    since: f64,
    /// Since when nothing but the cut keeps the side with a majority from taking orders, and whether it has taken one.
    open: Option<f64>,
    /// The last change of the holder, or start of a process.
    moved: f64,
    leaders: Vec<Node>,
    /// The edge node that died, and when.
    dead: Option<(Node, f64)>,
    /// When each held the duty last, or sought it with a majority.
    led: BTreeMap<Node, f64>,
}

impl Day<'_> {
    /// Does a member reach no majority and come back from it with an answer?
    fn off(&self, node: Node) -> bool {
        let members = self.cluster.members();
        let cuts = &self.cluster.world.net.cuts;
        let reached = |m: &&Node| {
            let ways = [(node, **m), (**m, node)];
            **m == node
                || ways.iter().all(|way| !cuts.contains(way)) && self.cluster.world.process(**m).is_some()
        };
        members.iter().filter(reached).count() <= members.len() / 2
    }

    /// Does it hold the duty, or seek it, and is it not cut off from a majority?
    fn holds(&self, node: Node) -> bool {
        let core = self.cluster.world.process(node).and_then(Process::core);
        core.and_then(|core| core.replica.leader(0.0)).is_some_and(|(holder, _)| holder == node)
            && !self.off(node)
    }

    fn pass(&mut self, span: f64) {
        let end = self.cluster.world.now + span;
        while self.cluster.world.now < end && self.cluster.world.observer.violation.is_none() {
            if self.cluster.world.now >= self.next {
                self.next = self.cluster.world.now + EACH;
                self.order();
            }
            self.cluster.run(GRAIN.min(end - self.cluster.world.now));
            self.names();
            let leaders = self.cluster.leaders();
            let holders: Vec<Node> =
                self.cluster.cores.iter().copied().filter(|node| self.holds(*node)).collect();
            self.led.extend(holders.into_iter().map(|node| (node, self.cluster.world.now)));
            if leaders != self.leaders {
                (self.leaders, self.moved) = (leaders, self.cluster.world.now);
            }
            let answers = self.cluster.world.observer.replies.replace(Vec::new()).unwrap_or_default();
            answers.into_iter().for_each(|(at, node, id, reply)| self.answered(at, node, id, reply));
        }
    }

    /// The directory of a member names edge nodes that it takes for alive.
    fn names(&mut self) {
        let Some((edge, died)) = self.dead else { return };
        let alive = |core: &Core| {
            core.disseminator.membership().member(edge).is_some_and(|m| m.standing == Standing::Alive)
        };
        let names =
            |node: &Node| self.cluster.world.process(*node).and_then(Process::core).is_some_and(alive);
        if let Some(node) = self.cluster.cores.iter().copied().find(names) {
            let span = self.cluster.world.now - died;
            self.seen.named = self.seen.named.max(span);
            if span > NAMED {
                self.cluster.world.observer.fail(format!("{node} names {edge}, which died {span:.2} s ago"));
            }
        }
    }

    /// An operator's next order, at any member.
    fn order(&mut self) {
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

    fn call(&mut self, node: Node, command: Command, hops: u8) {
        let id = self.cluster.send_command_to(node, command.clone());
        self.seen.orders += u64::from(hops == 0);
        self.callers.insert(id, Caller { node, command, hops, at: self.cluster.world.now });
    }

    fn answered(&mut self, at: f64, node: Node, id: u64, reply: Reply) {
        let Some(caller) = self.callers.remove(&id) else { return };
        let cut = !self.cluster.world.net.cuts.is_empty();
        let off = cut && caller.at >= self.since && self.off(caller.node);
        match reply {
            Reply::Answer(_) if off => {
                let text = format!("{node} says what only the whole can, without reaching a majority");
                self.cluster.world.observer.fail(text);
            }
            Reply::Answer(_) => {
                self.seen.said += u64::from(cut);
                if let Some(since) = self.open.filter(|since| caller.at >= *since) {
                    self.seen.again = self.seen.again.max(at - since);
                    self.open = None;
                }
            }
            Reply::Unknown => self.seen.later += u64::from(off),
            Reply::Redirect(to) => {
                self.seen.elsewhere += u64::from(off);
                self.sent_on(at, node, to);
                if caller.hops < HOPS {
                    return self.call(to, caller.command, caller.hops + 1);
                }
                self.seen.thirds += 1;
                if at - self.moved > CALM {
                    self.cluster
                        .world
                        .observer
                        .fail(format!("a caller is sent on a third time, by {node} to {to}"));
                }
            }
        }
    }

    /// Callers are sent to one that holds the duty, or did with a majority not long ago.
    fn sent_on(&mut self, at: f64, node: Node, to: Node) {
        let led = self.led.get(&to).map_or(f64::INFINITY, |led| at - led);
        self.seen.stale = self.seen.stale.max(led);
        if led > LED {
            let text = format!("{node} sends callers to {to}, which does not lead and led {led:.2} s ago");
            self.cluster.world.observer.fail(text);
        }
    }

    /// Cuts ways, and returns who is cut off.
    fn cut(&mut self, cut: &Cut) -> (Vec<Node>, Vec<Node>) {
        let cores = self.cluster.cores.clone();
        let few = (cores.len() - 1) / 2;
        let holder = self.leaders.first().copied().unwrap_or(cores[0]);
        let mut others: Vec<Node> = cores.iter().copied().filter(|node| *node != holder).collect();
        self.rng.shuffle(&mut others);
        let mut off = match cut.around {
            Around::Member(place) => vec![self.cluster.core_at(place)],
            Around::Holder => vec![holder],
            Around::Minority(true) => [&[holder], &others[..few - 1]].concat(),
            Around::Minority(false) => others[..few].to_vec(),
        };
        let mut rest: Vec<Node> = cores.into_iter().filter(|node| !off.contains(node)).collect();
        if let Some(mask) = cut.edges {
            for (place, edge) in self.cluster.edges.iter().enumerate() {
                if mask >> place & 1 == 1 { &mut off } else { &mut rest }.push(*edge);
            }
        }
        let now = self.cluster.world.now;
        self.cluster.heal_at.0 = now + FOR;
        self.since = now;
        for &a in &off {
            for &b in &rest {
                let (to, from) = ((b, a), (a, b));
                self.cluster.world.net.cuts.extend([to].into_iter().filter(|_| cut.way != Way::Mute));
                self.cluster.world.net.cuts.extend([from].into_iter().filter(|_| cut.way != Way::Deaf));
            }
        }
        // all but the edge nodes that are cut off stay in touch, once the core has come to itself
        self.cluster.disturb(AGAIN);
        for edge in off.iter().filter(|node| self.cluster.edges.contains(node)) {
            self.cluster.world.observer.edge_disturbed_until.insert(*edge, now + FOR);
        }
        self.open = Some(now);
        (off, rest)
    }

    /// Processes of one side are killed and start again, with seeds of that side alone.
    fn restart(&mut self, side: &[Node], down: f64, majority: bool) {
        let (cores, edges): (Vec<Node>, Vec<Node>) =
            side.iter().partition(|node| self.cluster.cores.contains(node));
        for node in &cores {
            self.cluster.kill(*node);
        }
        for edge in &edges {
            self.cluster.kill_edge(*edge);
        }
        side.iter().for_each(|node| drop(self.cluster.own_seeds.insert(*node, cores.clone())));
        self.callers.retain(|_, caller| !cores.contains(&caller.node));
        self.pass(down);
        self.cluster.start_cores();
        self.cluster.start_edges();
        self.moved = self.cluster.world.now;
        if majority {
            self.cluster.disturb(AGAIN);
            self.open = Some(self.cluster.world.now);
        }
    }

    fn play(&mut self, cut: &Cut) {
        let calm =
            |cluster: &mut Cluster| cluster.leaders().len() == 1 && cluster.world.observer.seen.acks > 0;
        let begun = self.cluster.world.now;
        while !calm(self.cluster) && self.cluster.world.now < begun + AGAIN {
            self.pass(0.1);
        }
        if let Some(span) = cut.before {
            let put = self.cluster.new_config(self.cluster.world.observer.version(0));
            let node = self.cluster.core_at(self.rng.u8(..));
            self.call(node, put, 0);
            self.pass(span);
        }
        let (off, rest) = self.cut(cut);
        let (at, down) = cut.restart_at;
        if cut.restart != Restart::Nobody {
            self.pass(at);
            self.restart(&off, down, false);
        }
        if cut.restart == Restart::Both {
            self.pass(at.min(4.0));
            self.restart(&rest, down, true);
        }
        if let Some((place, after)) = cut.dies {
            self.pass(after);
            let edge = self.cluster.edge_at(place);
            self.cluster.kill_edge(edge);
            self.dead = Some((edge, self.cluster.world.now));
        }
        let left = self.cluster.heal_at.0 - self.cluster.world.now;
        self.pass((left - GRAIN).max(0.0));
        if self.dead.take().is_some() {
            self.cluster.start_edges();
        }
        if let Some(since) = self.open.filter(|since| self.cluster.world.now - since > AGAIN) {
            let text =
                format!("those with a majority take no orders, {} s after", self.cluster.world.now - since);
            self.cluster.world.observer.fail(text);
        }
        if self.seen.again > AGAIN {
            self.cluster.world.observer.fail(format!("orders are taken again after {} s", self.seen.again));
        }
        self.open = None;
        self.cluster.disturb(2.0 * GRAIN);
        self.pass(2.0 * GRAIN);
        let healed = self.cluster.world.now;
        // operators go on
        self.pass(1.0);
        until(self.cluster, crate::runner::WHOLE, |cluster| crate::runner::apart(cluster).is_none());
        self.seen.whole = self.seen.whole.max(self.cluster.world.now - healed);
    }
}

/// Plays a day, and returns what was wrong first.
pub fn run_partitions(plan: &PartitionSchedule, flaw: Flaw) -> Result<PartitionCoverage, String> {
    let mut cluster = Cluster::new(&plan.cluster, flaw);
    cluster.world.observer.replies = Some(Vec::new());
    let mut day = Day {
        rng: Rng::with_seed(plan.cluster.seed),
        seen: PartitionCoverage::default(),
        callers: BTreeMap::new(),
        next: 1.5,
        since: 0.0,
        open: None,
        moved: 0.0,
        leaders: Vec::new(),
        dead: None,
        led: BTreeMap::new(),
        cluster: &mut cluster,
    };
    for cut in &plan.cuts {
        if day.cluster.world.observer.violation.is_none() {
            day.play(cut);
        }
    }
    let seen = day.seen;
    if cluster.world.observer.violation.is_none() {
        end(&mut cluster);
    }
    match cluster.world.observer.violation.take() {
        Some(what) => {
            Err(format!("seed {} at {:.3} s: {what}; {:?}", plan.cluster.seed, cluster.world.now, plan.cuts))
        }
        None => Ok(seen),
    }
}
