//! Voters, gateways, their disks and the network between them, on virtual time with random faults.

use fastrand::Rng;
use lupinledge_operations::claims::{Action as ClaimsAction, ClaimRequest, Claims};
use lupinledge_operations::voter::{Action as VoterAction, Settings, Voter};
use lupinledge_operations::{ClaimId, Entry, Fingerprint, Key, Message, Node, Progress};
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

/// Seconds within which a key may run once.
pub const WINDOW: f64 = 20.0;
/// Seconds after its grant within which a gateway sends a request, at the latest.
const HOLD: f64 = 3.0;
/// Seconds for which a gateway asks the voters to keep a key.
const KEEP: f64 = WINDOW + HOLD + 1.0;
/// Seconds for which a gateway tries to have a claim granted.
const PATIENCE: f64 = 1.5;
const FIRST_VOTER: Node = 1;
const FIRST_GATEWAY: Node = 100;

/// A fault planted into the system under test, which the checks have to catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// Votes go out before the journal is on disk.
    UnsyncedVotes,
    /// A voter whose disk was lost votes without learning.
    NoLearning,
    /// What a learner is told lacks its records.
    EmptyLessons,
    /// Votes count together whatever electorate they were given under.
    MixedElectorates,
    /// A gateway releases claims that have run.
    ReleasedAfterRun,
    /// Keys are kept for less than the window.
    ShortKeep,
    /// A voter gives the answer of one operation for another one.
    SwappedAnswers,
}

/// What a schedule plays.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub voters: usize,
    pub gateways: usize,
    /// Voters that may be lost at once.
    pub tolerate: usize,
    /// Seconds with faults, followed by calm ones.
    pub seconds: f64,
    /// Whether members are replaced.
    pub replacements: bool,
    pub flaw: Flaw,
}

/// What was seen to be wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A key ran at these times.
    Twice { key: Key, first: f64, second: f64 },
    /// A repeat got an answer that its key's run did not give.
    Mixed { key: Key, answer: u64 },
    /// After the faults were over, a fresh key was not granted.
    Unavailable { key: Key },
    /// After the faults were over, a key that was released was not granted again.
    NotReleased { key: Key },
}

enum Event {
    Deliver {
        from: Node,
        to: Node,
        message: Message,
        life: u64,
    },
    Synced {
        voter: Node,
        life: u64,
        number: u64,
    },
    Members {
        voter: Node,
        step: usize,
    },
    Tick,
    Request,
    Fault,
    Back {
        node: Node,
    },
    Thaw {
        node: Node,
    },
    Wipe {
        node: Node,
    },
    /// A run ends with an answer.
    Answered {
        gateway: Node,
        life: u64,
        claim: ClaimId,
        key: Key,
        answer: u64,
    },
}

struct Due {
    at: f64,
    order: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.order == other.order
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}

/// A voter's machine.
struct Core {
    voter: Option<Voter>,
    /// Each process has another one.
    life: u64,
    /// Entries that were appended, and up to which of them they are on disk.
    journal: Vec<Entry>,
    synced: usize,
    /// Number of the first entry of this process in the journal.
    base: usize,
    frozen: bool,
    /// Up to which change of the members it has heard.
    step: usize,
    /// Until when it counts as lost.
    lost_until: f64,
    removed: bool,
}

struct Gateway {
    claims: Claims,
    life: u64,
    frozen: bool,
    up: bool,
    requests: HashMap<ClaimId, (Key, f64)>,
}

/// A schedule as it is played.
pub struct World {
    plan: Plan,
    rng: Rng,
    now: f64,
    order: u64,
    due: BinaryHeap<Due>,
    cores: BTreeMap<Node, Core>,
    gateways: BTreeMap<Node, Gateway>,
    /// Agreed members by step: members, and those before while they change.
    steps: Vec<(Vec<Node>, Vec<Node>)>,
    cuts: BTreeSet<(Node, Node)>,
    runs: HashMap<Key, Vec<f64>>,
    /// The answers that runs of a key gave.
    answers: HashMap<Key, Vec<u64>>,
    /// What is asked: by its tag, the key.
    asked: HashMap<u64, Key>,
    /// Answers that repeats got.
    pub repeated: u64,
    last_answer: Vec<u8>,
    /// Claims that were granted.
    pub granted: u64,
    next_key: u64,
    next_node: Node,
    lives: u64,
    recent: Vec<Key>,
    pub violations: Vec<Violation>,
    calm: bool,
    /// A key that servers refuse to run.
    refuses: Option<Key>,
}

impl World {
    pub fn new(seed: u64, plan: Plan) -> World {
        let members: Vec<Node> = (0..plan.voters as Node).map(|nth| FIRST_VOTER + nth).collect();
        let mut world = World {
            plan,
            rng: Rng::with_seed(seed),
            now: 0.0,
            order: 0,
            due: BinaryHeap::new(),
            cores: BTreeMap::new(),
            gateways: BTreeMap::new(),
            steps: vec![(members.clone(), Vec::new())],
            cuts: BTreeSet::new(),
            runs: HashMap::new(),
            answers: HashMap::new(),
            asked: HashMap::new(),
            repeated: 0,
            last_answer: Vec::new(),
            granted: 0,
            next_key: 0,
            next_node: FIRST_VOTER + plan.voters as Node,
            lives: 0,
            recent: Vec::new(),
            violations: Vec::new(),
            calm: false,
            refuses: None,
        };
        for node in members {
            world.add_core(node, true);
        }
        for nth in 0..plan.gateways as Node {
            world.add_gateway(FIRST_GATEWAY + nth);
        }
        world.at(0.05, Event::Tick);
        world.at(0.1, Event::Request);
        world.at(0.5, Event::Fault);
        world
    }

    /// Plays all, with a calm end.
    pub fn play(&mut self) {
        self.play_until(self.plan.seconds);
        self.closing_fault();
        self.settle();
        let calm = self.now;
        self.play_until(calm + 6.0);
        self.check_calm();
    }

    fn play_until(&mut self, end: f64) {
        while let Some(due) = self.due.pop() {
            if due.at > end {
                self.due.push(due);
                break;
            }
            self.now = due.at;
            self.step(due.event);
        }
        self.now = end;
    }

    fn at(&mut self, after: f64, event: Event) {
        self.order += 1;
        self.due.push(Due { at: self.now + after, order: self.order, event });
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, message, life } => self.deliver(from, to, message, life),
            Event::Synced { voter, life, number } => self.synced(voter, life, number),
            Event::Members { voter, step } => self.members(voter, step),
            Event::Tick => self.tick(),
            Event::Request => self.request(),
            Event::Fault => self.fault(),
            Event::Back { node } => self.back(node),
            Event::Thaw { node } => self.thaw(node),
            Event::Wipe { node } => self.wipe(node, 0.02, 0.1),
            Event::Answered { gateway, life, claim, key, answer } => {
                self.answered(gateway, life, claim, key, answer)
            }
        }
    }

    fn life(&mut self) -> u64 {
        self.lives += 1;
        self.lives
    }

    fn add_core(&mut self, node: Node, founder: bool) {
        let life = self.life();
        let core = Core {
            voter: None,
            life,
            journal: Vec::new(),
            synced: 0,
            base: 0,
            frozen: false,
            step: 0,
            lost_until: 0.0,
            removed: false,
        };
        self.cores.insert(node, core);
        self.start_core(node, founder);
    }

    fn start_core(&mut self, node: Node, founder: bool) {
        let founder = founder || self.plan.flaw == Flaw::NoLearning;
        let life = self.life();
        let seed = self.rng.u64(..);
        let settings = Settings { me: node, seed, founder, max_records: 1 << 20, max_answer_bytes: 1 << 20 };
        let mut out = Vec::new();
        let Some(core) = self.cores.get_mut(&node) else { return };
        core.life = life;
        core.base = core.journal.len();
        core.frozen = false;
        core.voter = Some(Voter::new(self.now, settings, core.journal.clone(), &mut out));
        let step = core.step;
        self.carry_out(node, out);
        let later = self.rng.f64() * 0.5;
        self.at(later, Event::Members { voter: node, step });
    }

    fn add_gateway(&mut self, node: Node) {
        let life = self.life();
        let claims = Claims::new(self.now, node, life as u32);
        let gateway = Gateway { claims, life, frozen: false, up: true, requests: HashMap::new() };
        self.gateways.insert(node, gateway);
    }

    fn life_of(&self, node: Node) -> Option<u64> {
        let core = self.cores.get(&node).filter(|core| core.voter.is_some()).map(|core| core.life);
        core.or_else(|| self.gateways.get(&node).filter(|gateway| gateway.up).map(|gateway| gateway.life))
    }

    /// Messages are lost, late, reordered and repeated.
    fn send(&mut self, from: Node, to: Node, message: Message) {
        let message = self.spoilt(message);
        let Some(life) = self.life_of(from) else { return };
        let loss = if self.calm { 0.0 } else { 0.03 };
        if self.cuts.contains(&(from.min(to), from.max(to))) || self.rng.f64() < loss {
            return;
        }
        if !self.calm && self.rng.f64() < 0.03 {
            let late = self.rng.f64() * 3.0;
            self.at(late, Event::Deliver { from, to, message: message.clone(), life });
        }
        let span = 0.005 + self.rng.f64() * if self.calm { 0.05 } else { 0.15 };
        self.at(span, Event::Deliver { from, to, message, life });
    }

    /// What a planted fault makes of a message.
    fn spoilt(&mut self, message: Message) -> Message {
        match (self.plan.flaw, message) {
            (Flaw::EmptyLessons, Message::Records { incarnation, electorate, transfer, part, parts, .. }) => {
                Message::Records { incarnation, electorate, transfer, part, parts, records: Vec::new() }
            }
            (Flaw::MixedElectorates, Message::Vote { claim, verdict, .. }) => {
                let all = self.steps.last().cloned().unwrap_or_default();
                let one =
                    lupinledge_operations::Electorate { index: 1, members: all.0, ..Default::default() };
                Message::Vote { claim, electorate: one.id(), known: Some(one), verdict }
            }
            (Flaw::SwappedAnswers, Message::ProgressReply { tag, progress: Progress::Answered(answer) }) => {
                let other = std::mem::replace(&mut self.last_answer, answer.to_vec());
                Message::ProgressReply { tag, progress: Progress::Answered(ByteBuf::from(other)) }
            }
            (_, message) => message,
        }
    }

    fn deliver(&mut self, from: Node, to: Node, message: Message, life: u64) {
        // a link between two processes ends with either
        let sent_by_this = self.life_of(from) == Some(life) || self.rng.f64() < 0.5;
        if !sent_by_this || self.cuts.contains(&(from.min(to), from.max(to))) {
            return;
        }
        if let Some(core) = self.cores.get_mut(&to) {
            if core.frozen {
                return self.at(0.5, Event::Deliver { from, to, message, life });
            }
            let mut out = Vec::new();
            if let Some(voter) = &mut core.voter {
                voter.on_message(self.now, from, message, &mut out);
            }
            self.carry_out(to, out);
        } else if let Some(gateway) = self.gateways.get_mut(&to) {
            if gateway.frozen {
                return self.at(0.5, Event::Deliver { from, to, message, life });
            }
            if let Message::ProgressReply { tag, progress } = message {
                return self.told(tag, progress);
            }
            let mut out = Vec::new();
            if gateway.up {
                gateway.claims.on_message(self.now, from, message, &mut out);
            }
            self.decide(to, out);
        }
    }

    fn carry_out(&mut self, node: Node, out: Vec<VoterAction>) {
        for out in out {
            match out {
                VoterAction::Send(to, message) => self.send(node, to, message),
                VoterAction::Append { number, entry, .. } => {
                    let span = 0.002 + self.rng.f64() * if self.rng.f64() < 0.05 { 0.8 } else { 0.01 };
                    let Some(core) = self.cores.get_mut(&node) else { continue };
                    core.journal.push(entry);
                    let life = core.life;
                    if self.plan.flaw == Flaw::UnsyncedVotes {
                        self.at(0.0, Event::Synced { voter: node, life, number: number | 1 << 63 });
                    } else {
                        self.at(span, Event::Synced { voter: node, life, number });
                    }
                }
            }
        }
    }

    fn synced(&mut self, node: Node, life: u64, number: u64) {
        let flaw = number >> 63 == 1;
        let number = number & !(1 << 63);
        let Some(core) = self.cores.get_mut(&node).filter(|core| core.life == life) else { return };
        if core.frozen {
            return self.at(0.5, Event::Synced { voter: node, life, number });
        }
        if !flaw {
            core.synced = core.synced.max(core.base + number as usize);
        }
        let mut out = Vec::new();
        if let Some(voter) = &mut core.voter {
            voter.on_saved(self.now, number, &mut out);
        }
        self.carry_out(node, out);
    }

    fn members(&mut self, node: Node, step: usize) {
        let Some(core) = self.cores.get_mut(&node) else { return };
        let Some((members, outgoing)) = self.steps.get(step).cloned() else { return };
        if core.frozen {
            return self.at(0.5, Event::Members { voter: node, step });
        }
        let mut out = Vec::new();
        if let Some(voter) = &mut core.voter {
            voter.set_members(self.now, step as u64 + 1, &members, &outgoing, &mut out);
            core.step = core.step.max(step);
        }
        self.carry_out(node, out);
        if step + 1 < self.steps.len() {
            let later = self.rng.f64() * 0.6;
            self.at(later, Event::Members { voter: node, step: step + 1 });
        }
    }

    fn tick(&mut self) {
        self.at(0.05, Event::Tick);
        let now = self.now;
        let nodes: Vec<Node> = self.cores.keys().copied().collect();
        for node in nodes {
            let mut out = Vec::new();
            let Some(core) = self.cores.get_mut(&node).filter(|core| !core.frozen) else { continue };
            if let Some(voter) = &mut core.voter {
                voter.tick(now, &mut out);
            }
            self.carry_out(node, out);
        }
        let nodes: Vec<Node> = self.gateways.keys().copied().collect();
        for node in nodes {
            let mut out = Vec::new();
            let Some(gateway) = self.gateways.get_mut(&node).filter(|g| g.up && !g.frozen) else { continue };
            gateway.claims.tick(now, &mut out);
            self.decide(node, out);
        }
    }

    /// A client asks a gateway for a fresh key, or for one again.
    fn request(&mut self) {
        let pause = 0.01 + self.rng.f64() * 0.1;
        self.at(pause, Event::Request);
        let again = !self.recent.is_empty() && self.rng.f64() < 0.6;
        let key = if again { self.recent[self.rng.usize(..self.recent.len())] } else { self.fresh_key() };
        let nodes: Vec<Node> = self.gateways.keys().copied().collect();
        let at = nodes[self.rng.usize(..nodes.len())];
        self.claim(at, key);
        if !again && self.rng.f64() < 0.2 {
            let other = nodes[self.rng.usize(..nodes.len())];
            self.claim(other, key);
        }
    }

    fn fresh_key(&mut self) -> Key {
        self.next_key += 1;
        let key = Key(self.next_key, 7);
        self.recent.push(key);
        if self.recent.len() > 40 {
            self.recent.remove(0);
        }
        key
    }

    fn claim(&mut self, at: Node, key: Key) -> Option<ClaimId> {
        let mut voters: Vec<Node> =
            self.cores.iter().filter(|(_, core)| !core.removed).map(|(node, _)| *node).collect();
        self.rng.shuffle(&mut voters);
        let now = self.now;
        let keep_s = if self.plan.flaw == Flaw::ShortKeep { 2.0 } else { KEEP as f32 };
        let gateway = self.gateways.get_mut(&at).filter(|g| g.up && !g.frozen)?;
        let request = ClaimRequest { key, fingerprint: Fingerprint(key.0), keep_s, deadline: now + PATIENCE };
        let mut out = Vec::new();
        let claim = gateway.claims.begin(now, request, &voters, &mut out)?;
        gateway.requests.insert(claim, (key, now));
        self.decide(at, out);
        Some(claim)
    }

    fn decide(&mut self, node: Node, out: Vec<ClaimsAction>) {
        for out in out {
            match out {
                ClaimsAction::Send(to, message) => self.send(node, to, message),
                ClaimsAction::Granted(claim) => self.granted(node, claim),
                ClaimsAction::Held { claim, by, answered_at, .. } => {
                    if let Some(voter) = answered_at {
                        self.ask(node, voter, claim, by);
                    }
                    // most repeats give their claim up as soon as they hear of another one
                    if self.rng.f64() < 0.7 {
                        self.release(node, claim);
                    }
                }
                ClaimsAction::Unavailable(claim) => {
                    if let Some(gateway) = self.gateways.get_mut(&node) {
                        gateway.requests.remove(&claim);
                    }
                }
            }
        }
    }

    /// The gateway sends the request to a server, or is refused and withdraws.
    fn granted(&mut self, node: Node, claim: ClaimId) {
        let Some(gateway) = self.gateways.get_mut(&node) else { return };
        let Some((key, began)) = gateway.requests.remove(&claim) else { return };
        let refused = self.rng.f64() < 0.2 || self.refuses == Some(key);
        if self.now > began + HOLD {
            return; // its deadline is over; the claim is left to expire
        }
        self.granted += 1;
        if refused {
            return self.release(node, claim);
        }
        let now = self.now;
        let runs = self.runs.entry(key).or_default();
        if let Some(first) = runs.iter().copied().find(|first| now - first < WINDOW) {
            self.violations.push(Violation::Twice { key, first, second: now });
        }
        self.runs.entry(key).or_default().push(now);
        if let Some(gateway) = self.gateways.get_mut(&node) {
            if self.plan.flaw == Flaw::ReleasedAfterRun {
                return self.release(node, claim);
            }
            let life = gateway.life;
            let answer = self.rng.u64(..);
            let span = self.rng.f64();
            self.at(span, Event::Answered { gateway: node, life, claim, key, answer });
        }
    }

    /// The answer goes to one of the voters that granted the claim.
    fn answered(&mut self, node: Node, life: u64, claim: ClaimId, key: Key, answer: u64) {
        self.answers.entry(key).or_default().push(answer);
        let Some(gateway) = self.gateways.get_mut(&node).filter(|g| g.up && g.life == life) else { return };
        let granted = gateway.claims.finish(claim);
        if let Some(&voter) = granted.first() {
            let answer = ByteBuf::from(answer.to_le_bytes());
            self.send(node, voter, Message::Store { key, claim, answer });
        }
    }

    fn ask(&mut self, node: Node, voter: Node, claim: ClaimId, by: ClaimId) {
        let key = self.gateways.get(&node).and_then(|gateway| gateway.requests.get(&claim));
        let Some(&(key, _)) = key else { return };
        let tag = self.order;
        self.asked.insert(tag, key);
        self.send(node, voter, Message::AskProgress { key, claim: by, tag });
    }

    /// A gateway hears how far an operation is.
    fn told(&mut self, tag: u64, progress: Progress) {
        let Some(key) = self.asked.remove(&tag) else { return };
        let Progress::Answered(answer) = progress else { return };
        let answer = answer.iter().rev().fold(0, |sum, byte| sum << 8 | u64::from(*byte));
        self.repeated += 1;
        if !self.answers.get(&key).is_some_and(|answers| answers.contains(&answer)) {
            self.violations.push(Violation::Mixed { key, answer });
        }
    }

    fn release(&mut self, node: Node, claim: ClaimId) {
        let now = self.now;
        let Some(gateway) = self.gateways.get_mut(&node) else { return };
        let mut out = Vec::new();
        gateway.requests.remove(&claim);
        gateway.claims.release(now, claim, &mut out);
        self.decide(node, out);
    }

    /// Members that count now.
    fn counting(&self) -> Vec<Node> {
        let (members, outgoing) = self.steps.last().cloned().unwrap_or_default();
        members.into_iter().chain(outgoing).collect::<BTreeSet<_>>().into_iter().collect()
    }

    fn lost(&self) -> usize {
        let counting = self.counting();
        counting.iter().filter(|node| self.is_lost(**node)).count()
    }

    fn is_lost(&self, node: Node) -> bool {
        self.cores
            .get(&node)
            .is_none_or(|core| core.voter.is_none() || core.frozen || self.now < core.lost_until)
            || self
                .cores
                .get(&node)
                .and_then(|core| core.voter.as_ref())
                .is_some_and(|voter| !voter.can_vote())
    }

    fn fault(&mut self) {
        if self.calm {
            return;
        }
        let pause = 0.2 + self.rng.f64() * 1.5;
        self.at(pause, Event::Fault);
        let cores = self.counting();
        let core = cores[self.rng.usize(..cores.len())];
        let gateways: Vec<Node> = self.gateways.keys().copied().collect();
        let gateway = gateways[self.rng.usize(..gateways.len())];
        let room = self.lost() < self.plan.tolerate && !self.is_lost(core);
        match self.rng.u8(..12) {
            0 => self.kill_gateway(gateway),
            1 => {
                if let Some(gateway) = self.gateways.get_mut(&gateway) {
                    gateway.frozen = true;
                }
                let span = self.rng.f64() * 4.0;
                self.at(span, Event::Thaw { node: gateway });
            }
            2 if room => self.wipe(core, 0.2, 1.5),
            3 if room => self.wipe_behind_a_cut(core, gateway),
            4 if room => self.stop_core(core, true, 0.3, 2.0),
            5 if room => self.stop_core(core, false, 0.1, 1.0),
            6 if room => {
                if let Some(core) = self.cores.get_mut(&core) {
                    core.frozen = true;
                }
                let span = self.rng.f64() * 3.0;
                self.at(span, Event::Thaw { node: core });
            }
            7 => cores.iter().for_each(|&core| self.stop_core(core, true, 0.2, 0.8)),
            8 => cores.iter().for_each(|&core| self.stop_core(core, false, 0.1, 0.8)),
            9 => {
                let side: Vec<Node> = gateways.iter().copied().filter(|_| self.rng.bool()).collect();
                self.cuts.extend(side.iter().map(|gateway| (core.min(*gateway), core.max(*gateway))));
                let span = self.rng.f64() * 2.0;
                self.at(span, Event::Thaw { node: 0 });
            }
            10 if self.plan.replacements && room => self.replace(core),
            // disks lost as all others lose power
            11 if self.lost() == 0 => self.closing_fault(),
            _ => {}
        }
    }

    /// As many voters as may be lost lose their disks while all others lose power.
    fn closing_fault(&mut self) {
        let cores = self.counting();
        let mut wiped: Vec<Node> = cores.iter().copied().filter(|&core| !self.is_lost(core)).collect();
        self.rng.shuffle(&mut wiped);
        wiped.truncate(self.plan.tolerate.saturating_sub(self.lost()));
        wiped.iter().for_each(|&core| self.wipe(core, 0.2, 1.5));
        for core in cores.into_iter().filter(|core| !wiped.contains(core)) {
            self.stop_core(core, true, 0.2, 0.6);
        }
    }

    fn kill_gateway(&mut self, node: Node) {
        if let Some(gateway) = self.gateways.get_mut(&node) {
            gateway.up = false;
        }
        let span = self.rng.f64() * 2.0;
        self.at(span, Event::Back { node });
    }

    /// Ends a voter's process; `power`: what is not synced is lost.
    fn stop_core(&mut self, node: Node, power: bool, least: f64, most: f64) {
        let Some(core) = self.cores.get_mut(&node).filter(|core| core.voter.is_some()) else { return };
        core.voter = None;
        let kept = match power {
            true => core.synced + self.rng.usize(..=core.journal.len().saturating_sub(core.synced)) / 2,
            false => core.journal.len(),
        };
        core.journal.truncate(kept);
        core.synced = core.journal.len();
        let span = least + self.rng.f64() * (most - least);
        self.at(span, Event::Back { node });
    }

    /// A gateway reaches one voter alone, which loses its disk and learns while claims of that gateway wait.
    fn wipe_behind_a_cut(&mut self, core: Node, gateway: Node) {
        let others: Vec<Node> = self.cores.keys().copied().filter(|&node| node != core).collect();
        self.cuts.extend(others.iter().map(|&node| (node.min(gateway), node.max(gateway))));
        let at = 0.1 + self.rng.f64() * 0.4;
        self.at(at, Event::Wipe { node: core });
        let span = at + 0.2 + self.rng.f64() * 0.8;
        self.at(span, Event::Thaw { node: 0 });
    }

    fn wipe(&mut self, node: Node, least: f64, most: f64) {
        let others = self.counting().into_iter().filter(|&other| other != node && self.is_lost(other));
        if others.count() >= self.plan.tolerate {
            return;
        }
        self.stop_core(node, true, least, most);
        if let Some(core) = self.cores.get_mut(&node) {
            core.journal.clear();
            core.synced = 0;
            core.lost_until = self.now + 3.0;
        }
    }

    /// A member is taken away for good and another one takes its place.
    fn replace(&mut self, gone: Node) {
        let (members, outgoing) = self.steps.last().cloned().unwrap_or_default();
        let heard = |step: usize| {
            let up = self.cores.iter().filter(|(node, core)| members.contains(node) && core.step >= step);
            2 * up.count() > members.len()
        };
        if !outgoing.is_empty() || !heard(self.steps.len() - 1) {
            return;
        }
        self.stop_core(gone, true, 1e9, 1e9);
        if let Some(core) = self.cores.get_mut(&gone) {
            core.removed = true;
        }
        let node = self.next_node;
        self.next_node += 1;
        let mut next: Vec<Node> = members.iter().copied().filter(|&member| member != gone).collect();
        next.push(node);
        self.steps.push((next.clone(), members));
        self.steps.push((next, Vec::new()));
        self.add_core(node, false);
        if let Some(core) = self.cores.get_mut(&node) {
            core.lost_until = self.now + 3.0;
        }
        let first = self.steps.len() - 2;
        let nodes: Vec<Node> = self.cores.keys().copied().collect();
        for voter in nodes {
            let later = self.rng.f64();
            self.at(later, Event::Members { voter, step: first });
        }
    }

    fn back(&mut self, node: Node) {
        if self.gateways.contains_key(&node) {
            return self.add_gateway(node);
        }
        let down = self.cores.get(&node).is_some_and(|core| core.voter.is_none() && !core.removed);
        if down {
            self.start_core(node, false);
        }
    }

    fn thaw(&mut self, node: Node) {
        if node == 0 {
            return self.cuts.clear();
        }
        if let Some(core) = self.cores.get_mut(&node) {
            core.frozen = false;
        }
        if let Some(gateway) = self.gateways.get_mut(&node) {
            gateway.frozen = false;
        }
    }

    /// All faults end.
    fn settle(&mut self) {
        self.calm = true;
        self.cuts.clear();
        let nodes: Vec<Node> = self.cores.keys().chain(self.gateways.keys()).copied().collect();
        for node in nodes {
            self.thaw(node);
            if self.life_of(node).is_none() {
                self.back(node);
            }
        }
    }

    fn check_calm(&mut self) {
        let gateways: Vec<Node> = self.gateways.keys().copied().collect();
        let key = self.fresh_key();
        self.recent.pop();
        let before = self.granted;
        let Some(claim) = self.claim(gateways[0], key) else {
            return self.violations.push(Violation::Unavailable { key });
        };
        let end = self.now + 1.0;
        self.play_until(end);
        let waits = self.gateways.get(&gateways[0]).is_some_and(|g| g.requests.contains_key(&claim));
        if waits || self.granted == before {
            self.violations.push(Violation::Unavailable { key });
        }
        self.check_release(&gateways);
    }

    /// A key that was claimed and withdrawn is granted to another gateway.
    fn check_release(&mut self, gateways: &[Node]) {
        let key = self.fresh_key();
        self.recent.pop();
        self.refuses = Some(key);
        self.claim(gateways[0], key);
        let end = self.now + 1.0;
        self.play_until(end);
        self.refuses = None;
        let Some(claim) = self.claim(gateways[1 % gateways.len()], key) else {
            return self.violations.push(Violation::NotReleased { key });
        };
        let end = self.now + 1.0;
        self.play_until(end);
        let waits = self.gateways.values().any(|gateway| gateway.requests.contains_key(&claim));
        if waits {
            self.violations.push(Violation::NotReleased { key });
        }
    }
}

impl World {
    /// The state of each voter, for a failed test's message.
    pub fn describe(&self) -> String {
        let row = |(node, core): (&Node, &Core)| {
            let voter = core.voter.as_ref();
            let (votes, head) = (voter.map(Voter::can_vote), voter.map(Voter::head));
            format!("{node} removed {} votes {votes:?} {head:?}", core.removed)
        };
        self.cores.iter().map(row).collect::<Vec<_>>().join("\n")
    }
}
