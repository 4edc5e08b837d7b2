//! Simulates voters, gateways, their disks and the network between them in virtual time, with random faults.

mod faults;
mod membership;

use fastrand::Rng;
use lupinledge_operations::claims::{Action as ClaimsAction, ClaimRequest, Claims};
use lupinledge_operations::voter::{Action as VoterAction, Settings, Voter};
use lupinledge_operations::{ClaimId, Entry, Fingerprint, Key, Message, Node, Progress};
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

/// Seconds within which a key may run only once.
pub const WINDOW: f64 = 20.0;
/// Seconds after the start of a claim within which its gateway sends the request, at the latest.
const SEND_DEADLINE: f64 = 3.0;
/// Seconds for which a gateway asks the voters to keep a key.
const KEEP_S: f64 = WINDOW + SEND_DEADLINE + 1.0;
/// Seconds for which a gateway tries to have a claim granted.
const CLAIM_TIMEOUT: f64 = 1.5;
/// The second part of keys that clients use again and again.
const LASTING: u64 = 8;
const FIRST_VOTER: Node = 1;
const FIRST_GATEWAY: Node = 100;

/// A fault planted into the system under test, which the checks have to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// Votes go out before the journal is on disk.
    UnsyncedVotes,
    /// A voter whose disk was lost votes without learning.
    NoLearning,
    /// Transfers to a learner contain no records.
    EmptyTransfers,
    /// Transfers to a learner say that keys are kept for a second.
    ShortTransfers,
    /// A voter that starts considers itself complete, whatever members were removed before.
    ForgottenRemovals,
    /// Votes are counted together although they were cast under different electorates.
    MixedElectorates,
    /// A gateway releases claims that have run.
    ReleasedAfterRun,
    /// Claims are kept for less than the window.
    ShortKeep,
    /// A voter returns the answer of another operation.
    SwappedAnswers,
}

/// The parameters of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub voters: usize,
    pub gateways: usize,
    /// Number of voters that may be lost at the same time.
    pub max_lost: usize,
    /// Seconds with faults, before the part without faults.
    pub fault_seconds: f64,
    /// Number of keys that clients use again and again, also after their window; 0: each key is used for a while only.
    pub lasting_keys: u64,
    /// Whether members are replaced.
    pub replacements: bool,
    /// Whether members are added and removed one by one.
    pub resizes: bool,
    pub flaw: Flaw,
}

/// A violated property.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A key ran twice within its window, at these times.
    RanTwice { key: Key, first: f64, second: f64 },
    /// A repeated request got an answer that no run of its key gave.
    WrongAnswer { key: Key, answer: u64 },
    /// After the faults ended, a new key was not granted.
    Unavailable { key: Key },
    /// After the faults ended, a released key was not granted again.
    NotReleased { key: Key },
}

enum Event {
    Deliver {
        from: Node,
        to: Node,
        message: Message,
        pid: u64,
    },
    Synced {
        voter: Node,
        pid: u64,
        number: u64,
    },
    Members {
        voter: Node,
        membership: usize,
    },
    Tick,
    Request,
    Fault,
    Restart {
        node: Node,
    },
    Resume {
        node: Node,
    },
    Wipe {
        node: Node,
    },
    /// A run ends with an answer.
    Answered {
        gateway: Node,
        pid: u64,
        claim: ClaimId,
        key: Key,
        answer: u64,
    },
}

struct Scheduled {
    at: f64,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.sequence == other.sequence
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

/// The machine of a voter.
struct Machine {
    voter: Option<Voter>,
    /// Number of the running process, which differs between processes.
    pid: u64,
    /// Entries that were appended.
    journal: Vec<Entry>,
    /// Number of entries that are on disk.
    synced: usize,
    /// Number of entries in the journal when this process started.
    base: usize,
    paused: bool,
    /// Index of the newest membership that the voter has received.
    membership: usize,
    /// Time until which the machine counts as lost.
    lost_until: f64,
    removed: bool,
}

struct Gateway {
    claims: Claims,
    pid: u64,
    paused: bool,
    up: bool,
    open_claims: HashMap<ClaimId, (Key, f64)>,
}

/// The simulated system and the schedule of its events.
pub struct World {
    plan: Plan,
    rng: Rng,
    now: f64,
    sequence: u64,
    events: BinaryHeap<Scheduled>,
    machines: BTreeMap<Node, Machine>,
    gateways: BTreeMap<Node, Gateway>,
    /// All committed memberships in order: the members, and the previous ones during a change.
    memberships: Vec<(Vec<Node>, Vec<Node>)>,
    cut_links: BTreeSet<(Node, Node)>,
    runs: HashMap<Key, Vec<f64>>,
    /// All answers that runs of a key gave.
    answers: HashMap<Key, Vec<u64>>,
    /// The key of each open progress request, by the tag of the request.
    progress_requests: HashMap<u64, Key>,
    /// Number of answers that repeated requests got.
    pub repeated: u64,
    last_answer: Vec<u8>,
    /// Number of claims that were granted.
    pub granted: u64,
    next_key: u64,
    next_node: Node,
    last_pid: u64,
    recent: Vec<Key>,
    pub violations: Vec<Violation>,
    faults_ended: bool,
    /// A key that the servers refuse to run.
    refused_key: Option<Key>,
}

impl World {
    pub fn new(seed: u64, plan: Plan) -> World {
        let members: Vec<Node> = (0..plan.voters as Node).map(|index| FIRST_VOTER + index).collect();
        let mut world = World {
            plan,
            rng: Rng::with_seed(seed),
            now: 0.0,
            sequence: 0,
            events: BinaryHeap::new(),
            machines: BTreeMap::new(),
            gateways: BTreeMap::new(),
            memberships: vec![(members.clone(), Vec::new())],
            cut_links: BTreeSet::new(),
            runs: HashMap::new(),
            answers: HashMap::new(),
            progress_requests: HashMap::new(),
            repeated: 0,
            last_answer: Vec::new(),
            granted: 0,
            next_key: 0,
            next_node: FIRST_VOTER + plan.voters as Node,
            last_pid: 0,
            recent: Vec::new(),
            violations: Vec::new(),
            faults_ended: false,
            refused_key: None,
        };
        for node in members {
            world.add_machine(node, true);
        }
        for index in 0..plan.gateways as Node {
            world.add_gateway(FIRST_GATEWAY + index);
        }
        world.schedule(0.05, Event::Tick);
        world.schedule(0.1, Event::Request);
        world.schedule(0.5, Event::Fault);
        world
    }

    /// Runs the schedule with faults, then checks that the system recovers without them.
    pub fn run(&mut self) {
        self.run_until(self.plan.fault_seconds);
        self.lose_power_and_disks();
        self.end_faults();
        let faults_ended = self.now;
        self.run_until(faults_ended + 6.0);
        if self.plan.resizes {
            self.replace_members_by_plan();
        }
        self.check_recovery();
    }

    fn run_until(&mut self, end: f64) {
        while let Some(scheduled) = self.events.pop() {
            if scheduled.at > end {
                self.events.push(scheduled);
                break;
            }
            self.now = scheduled.at;
            self.handle(scheduled.event);
        }
        self.now = end;
    }

    /// Schedules an event this many seconds from now.
    fn schedule(&mut self, delay: f64, event: Event) {
        self.sequence += 1;
        self.events.push(Scheduled { at: self.now + delay, sequence: self.sequence, event });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, message, pid } => self.deliver(from, to, message, pid),
            Event::Synced { voter, pid, number } => self.on_synced(voter, pid, number),
            Event::Members { voter, membership } => self.deliver_members(voter, membership),
            Event::Tick => self.tick(),
            Event::Request => self.client_request(),
            Event::Fault => self.inject_fault(),
            Event::Restart { node } => self.restart(node),
            Event::Resume { node } => self.resume(node),
            Event::Wipe { node } => self.wipe(node, 0.02, 0.1),
            Event::Answered { gateway, pid, claim, key, answer } => {
                self.end_run(gateway, pid, claim, key, answer)
            }
        }
    }

    fn next_pid(&mut self) -> u64 {
        self.last_pid += 1;
        self.last_pid
    }

    fn add_machine(&mut self, node: Node, founder: bool) {
        let pid = self.next_pid();
        let machine = Machine {
            voter: None,
            pid,
            journal: Vec::new(),
            synced: 0,
            base: 0,
            paused: false,
            membership: 0,
            lost_until: 0.0,
            removed: false,
        };
        self.machines.insert(node, machine);
        self.start_machine(node, founder);
    }

    fn start_machine(&mut self, node: Node, founder: bool) {
        let founder = founder || self.plan.flaw == Flaw::NoLearning;
        let pid = self.next_pid();
        let seed = self.rng.u64(..);
        let settings = Settings { me: node, seed, founder, max_records: 1 << 20, max_answer_bytes: 1 << 20 };
        let mut out = Vec::new();
        let Some(machine) = self.machines.get_mut(&node) else { return };
        machine.pid = pid;
        machine.base = machine.journal.len();
        machine.paused = false;
        let mut entries = machine.journal.clone();
        if self.plan.flaw == Flaw::ForgottenRemovals && !entries.is_empty() {
            entries.push(Entry::COMPLETE);
        }
        machine.voter = Some(Voter::new(self.now, settings, entries, &mut out));
        let membership = machine.membership;
        self.apply_voter_actions(node, out);
        let delay = self.rng.f64() * 0.5;
        self.schedule(delay, Event::Members { voter: node, membership });
    }

    fn add_gateway(&mut self, node: Node) {
        let pid = self.next_pid();
        let claims = Claims::new(self.now, node, pid as u32);
        let gateway = Gateway { claims, pid, paused: false, up: true, open_claims: HashMap::new() };
        self.gateways.insert(node, gateway);
    }

    fn pid_of(&self, node: Node) -> Option<u64> {
        let machine =
            self.machines.get(&node).filter(|machine| machine.voter.is_some()).map(|machine| machine.pid);
        machine.or_else(|| self.gateways.get(&node).filter(|gateway| gateway.up).map(|gateway| gateway.pid))
    }

    /// Sends a message, which may be lost, delayed, reordered or repeated.
    fn send(&mut self, from: Node, to: Node, message: Message) {
        let message = self.apply_flaw(message);
        let Some(pid) = self.pid_of(from) else { return };
        let loss = if self.faults_ended { 0.0 } else { 0.03 };
        if self.cut_links.contains(&(from.min(to), from.max(to))) || self.rng.f64() < loss {
            return;
        }
        if !self.faults_ended && self.rng.f64() < 0.03 {
            let late = self.rng.f64() * 3.0;
            self.schedule(late, Event::Deliver { from, to, message: message.clone(), pid });
        }
        let delay = 0.005 + self.rng.f64() * if self.faults_ended { 0.05 } else { 0.15 };
        self.schedule(delay, Event::Deliver { from, to, message, pid });
    }

    /// Changes a message as the planted fault does.
    fn apply_flaw(&mut self, message: Message) -> Message {
        match (self.plan.flaw, message) {
            (
                Flaw::EmptyTransfers,
                Message::Records { incarnation, electorate, transfer, part, parts, .. },
            ) => Message::Records { incarnation, electorate, transfer, part, parts, records: Vec::new() },
            (
                Flaw::ShortTransfers,
                Message::Records { incarnation, electorate, transfer, part, parts, mut records },
            ) => {
                records.iter_mut().for_each(|record| record.keep_s = record.keep_s.min(1.0));
                Message::Records { incarnation, electorate, transfer, part, parts, records }
            }
            (Flaw::MixedElectorates, Message::Vote { claim, verdict, .. }) => {
                let latest = self.memberships.last().cloned().unwrap_or_default();
                let electorate =
                    lupinledge_operations::Electorate { index: 1, members: latest.0, ..Default::default() };
                Message::Vote {
                    claim,
                    electorate: electorate.id(),
                    full_electorate: Some(electorate),
                    verdict,
                }
            }
            (Flaw::SwappedAnswers, Message::ProgressReply { tag, progress: Progress::Answered(answer) }) => {
                let other = std::mem::replace(&mut self.last_answer, answer.to_vec());
                Message::ProgressReply { tag, progress: Progress::Answered(ByteBuf::from(other)) }
            }
            (_, message) => message,
        }
    }

    fn deliver(&mut self, from: Node, to: Node, message: Message, pid: u64) {
        // a link between two processes closes when either ends
        let link_is_open = self.pid_of(from) == Some(pid) || self.rng.f64() < 0.5;
        if !link_is_open || self.cut_links.contains(&(from.min(to), from.max(to))) {
            return;
        }
        if let Some(machine) = self.machines.get_mut(&to) {
            if machine.paused {
                return self.schedule(0.5, Event::Deliver { from, to, message, pid });
            }
            let mut out = Vec::new();
            if let Some(voter) = &mut machine.voter {
                voter.on_message(self.now, from, message, &mut out);
            }
            self.apply_voter_actions(to, out);
        } else if let Some(gateway) = self.gateways.get_mut(&to) {
            if gateway.paused {
                return self.schedule(0.5, Event::Deliver { from, to, message, pid });
            }
            if let Message::ProgressReply { tag, progress } = message {
                return self.receive_progress(tag, progress);
            }
            let mut out = Vec::new();
            if gateway.up {
                gateway.claims.on_message(self.now, from, message, &mut out);
            }
            self.apply_claims_actions(to, out);
        }
    }

    fn apply_voter_actions(&mut self, node: Node, out: Vec<VoterAction>) {
        for action in out {
            match action {
                VoterAction::Send(to, message) => self.send(node, to, message),
                VoterAction::Append { number, entry, .. } => {
                    let delay = 0.002 + self.rng.f64() * if self.rng.f64() < 0.05 { 0.8 } else { 0.01 };
                    let Some(machine) = self.machines.get_mut(&node) else { continue };
                    machine.journal.push(entry);
                    let pid = machine.pid;
                    if self.plan.flaw == Flaw::UnsyncedVotes {
                        self.schedule(0.0, Event::Synced { voter: node, pid, number: number | 1 << 63 });
                    } else {
                        self.schedule(delay, Event::Synced { voter: node, pid, number });
                    }
                }
            }
        }
    }

    fn on_synced(&mut self, node: Node, pid: u64, number: u64) {
        let flaw = number >> 63 == 1;
        let number = number & !(1 << 63);
        let Some(machine) = self.machines.get_mut(&node).filter(|m| m.pid == pid) else { return };
        if machine.paused {
            return self.schedule(0.5, Event::Synced { voter: node, pid, number });
        }
        if !flaw {
            machine.synced = machine.synced.max(machine.base + number as usize);
        }
        let mut out = Vec::new();
        if let Some(voter) = &mut machine.voter {
            voter.on_saved(self.now, number, &mut out);
        }
        self.apply_voter_actions(node, out);
    }

    fn tick(&mut self) {
        self.schedule(0.05, Event::Tick);
        let now = self.now;
        let nodes: Vec<Node> = self.machines.keys().copied().collect();
        for node in nodes {
            let mut out = Vec::new();
            let Some(machine) = self.machines.get_mut(&node).filter(|m| !m.paused) else { continue };
            if let Some(voter) = &mut machine.voter {
                voter.tick(now, &mut out);
            }
            self.apply_voter_actions(node, out);
        }
        let nodes: Vec<Node> = self.gateways.keys().copied().collect();
        for node in nodes {
            let mut out = Vec::new();
            let Some(gateway) = self.gateways.get_mut(&node).filter(|g| g.up && !g.paused) else { continue };
            gateway.claims.tick(now, &mut out);
            self.apply_claims_actions(node, out);
        }
    }

    /// Has a client send a request with a new or a recent key to a gateway.
    fn client_request(&mut self) {
        let interval = 0.01 + self.rng.f64() * 0.1;
        self.schedule(interval, Event::Request);
        let repeat = !self.recent.is_empty() && self.rng.f64() < 0.6;
        let key = match self.plan.lasting_keys {
            0 if repeat => self.recent[self.rng.usize(..self.recent.len())],
            0 => self.new_key(),
            lasting_keys => Key(self.rng.u64(..lasting_keys), LASTING),
        };
        let nodes: Vec<Node> = self.gateways.keys().copied().collect();
        let gateway = nodes[self.rng.usize(..nodes.len())];
        self.begin_claim(gateway, key);
        if !repeat && self.rng.f64() < 0.2 {
            let other = nodes[self.rng.usize(..nodes.len())];
            self.begin_claim(other, key);
        }
    }

    fn new_key(&mut self) -> Key {
        self.next_key += 1;
        let key = Key(self.next_key, 7);
        self.recent.push(key);
        // members change slowly, so keys are used for longer then
        let recent_keys = if self.plan.resizes { 160 } else { 40 };
        if self.recent.len() > recent_keys {
            self.recent.remove(0);
        }
        key
    }

    fn begin_claim(&mut self, node: Node, key: Key) -> Option<ClaimId> {
        let mut voters: Vec<Node> =
            self.machines.iter().filter(|(_, machine)| !machine.removed).map(|(node, _)| *node).collect();
        self.rng.shuffle(&mut voters);
        let now = self.now;
        let keep_s = if self.plan.flaw == Flaw::ShortKeep { 2.0 } else { KEEP_S as f32 };
        let gateway = self.gateways.get_mut(&node).filter(|g| g.up && !g.paused)?;
        let request =
            ClaimRequest { key, fingerprint: Fingerprint(key.0), keep_s, deadline: now + CLAIM_TIMEOUT };
        let mut out = Vec::new();
        let claim = gateway.claims.begin(now, request, &voters, &mut out)?;
        gateway.open_claims.insert(claim, (key, now));
        self.apply_claims_actions(node, out);
        Some(claim)
    }

    fn apply_claims_actions(&mut self, node: Node, out: Vec<ClaimsAction>) {
        for action in out {
            match action {
                ClaimsAction::Send(to, message) => self.send(node, to, message),
                ClaimsAction::Granted(claim) => self.on_granted(node, claim),
                ClaimsAction::Held { claim, by, answered_at, .. } => {
                    if let Some(voter) = answered_at {
                        self.ask_progress(node, voter, claim, by);
                    }
                    // most repeated requests release their claim as soon as another claim holds the key
                    if self.rng.f64() < 0.7 {
                        self.release(node, claim);
                    }
                }
                ClaimsAction::Unavailable(claim) => {
                    if let Some(gateway) = self.gateways.get_mut(&node) {
                        gateway.open_claims.remove(&claim);
                    }
                }
            }
        }
    }

    /// Has the gateway send the request to a server, or release the claim if the server refuses.
    fn on_granted(&mut self, node: Node, claim: ClaimId) {
        let Some(gateway) = self.gateways.get_mut(&node) else { return };
        let Some((key, started_at)) = gateway.open_claims.remove(&claim) else { return };
        let refused = self.rng.f64() < 0.2 || self.refused_key == Some(key);
        if self.now > started_at + SEND_DEADLINE {
            return; // the deadline has passed; the claim is left to expire
        }
        self.granted += 1;
        if refused {
            return self.release(node, claim);
        }
        let now = self.now;
        let runs = self.runs.entry(key).or_default();
        if let Some(first) = runs.iter().copied().find(|first| now - first < WINDOW) {
            self.violations.push(Violation::RanTwice { key, first, second: now });
        }
        self.runs.entry(key).or_default().push(now);
        if let Some(gateway) = self.gateways.get_mut(&node) {
            if self.plan.flaw == Flaw::ReleasedAfterRun {
                return self.release(node, claim);
            }
            let pid = gateway.pid;
            let answer = self.rng.u64(..);
            let delay = self.rng.f64();
            self.schedule(delay, Event::Answered { gateway: node, pid, claim, key, answer });
        }
    }

    /// Ends a run and sends its answer to one of the voters that granted the claim.
    fn end_run(&mut self, node: Node, pid: u64, claim: ClaimId, key: Key, answer: u64) {
        self.answers.entry(key).or_default().push(answer);
        let Some(gateway) = self.gateways.get_mut(&node).filter(|g| g.up && g.pid == pid) else { return };
        let granted = gateway.claims.finish(claim);
        if let Some(&voter) = granted.first() {
            let answer = ByteBuf::from(answer.to_le_bytes());
            self.send(node, voter, Message::Store { key, claim, answer });
        }
    }

    fn ask_progress(&mut self, node: Node, voter: Node, claim: ClaimId, by: ClaimId) {
        let key = self.gateways.get(&node).and_then(|gateway| gateway.open_claims.get(&claim));
        let Some(&(key, _)) = key else { return };
        let tag = self.sequence;
        self.progress_requests.insert(tag, key);
        self.send(node, voter, Message::AskProgress { key, claim: by, tag });
    }

    /// Handles a reply to a progress request and checks its answer.
    fn receive_progress(&mut self, tag: u64, progress: Progress) {
        let Some(key) = self.progress_requests.remove(&tag) else { return };
        let Progress::Answered(answer) = progress else { return };
        let answer = answer.iter().rev().fold(0, |sum, byte| sum << 8 | u64::from(*byte));
        self.repeated += 1;
        if !self.answers.get(&key).is_some_and(|answers| answers.contains(&answer)) {
            self.violations.push(Violation::WrongAnswer { key, answer });
        }
    }

    fn release(&mut self, node: Node, claim: ClaimId) {
        let now = self.now;
        let Some(gateway) = self.gateways.get_mut(&node) else { return };
        let mut out = Vec::new();
        gateway.open_claims.remove(&claim);
        gateway.claims.release(now, claim, &mut out);
        self.apply_claims_actions(node, out);
    }

    fn check_recovery(&mut self) {
        let gateways: Vec<Node> = self.gateways.keys().copied().collect();
        let key = self.new_key();
        self.recent.pop();
        let before = self.granted;
        let Some(claim) = self.begin_claim(gateways[0], key) else {
            return self.violations.push(Violation::Unavailable { key });
        };
        let end = self.now + 1.0;
        self.run_until(end);
        let still_waiting =
            self.gateways.get(&gateways[0]).is_some_and(|g| g.open_claims.contains_key(&claim));
        if still_waiting || self.granted == before {
            self.violations.push(Violation::Unavailable { key });
        }
        self.check_release(&gateways);
    }

    /// Checks that a key that was claimed and released is granted to another gateway.
    fn check_release(&mut self, gateways: &[Node]) {
        let key = self.new_key();
        self.recent.pop();
        self.refused_key = Some(key);
        self.begin_claim(gateways[0], key);
        let end = self.now + 1.0;
        self.run_until(end);
        self.refused_key = None;
        let Some(claim) = self.begin_claim(gateways[1 % gateways.len()], key) else {
            return self.violations.push(Violation::NotReleased { key });
        };
        let end = self.now + 1.0;
        self.run_until(end);
        let still_waiting = self.gateways.values().any(|gateway| gateway.open_claims.contains_key(&claim));
        if still_waiting {
            self.violations.push(Violation::NotReleased { key });
        }
    }
}

impl World {
    /// The state of each voter, for the message of a failed test.
    pub fn describe(&self) -> String {
        let describe_machine = |(node, machine): (&Node, &Machine)| {
            let voter = machine.voter.as_ref();
            let (votes, head) = (voter.map(Voter::can_vote), voter.map(Voter::head));
            format!("{node} removed {} can vote {votes:?} head {head:?}", machine.removed)
        };
        self.machines.iter().map(describe_machine).collect::<Vec<_>>().join("\n")
    }
}
