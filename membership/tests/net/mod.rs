//! An emulated network of processes in virtual time, with a simple model of which processes are running.
#![allow(dead_code)]

use lupinledge_membership::{Card, Digest, Membership, Node, Packet, Settings, Standing};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// One-way delay in seconds within a region and between regions.
const DELAY_OWN_REGION: f64 = 0.001;
const DELAY_OTHER_REGION: f64 = 0.055;

/// What happens at a process.
enum Action {
    /// The scheduled call with this `wake_id` is due.
    Wake(u64),
    Arrive(Box<Packet>),
    /// Takes over the digest of another process.
    Pull(usize),
}

struct Event {
    at: f64,
    seq: u64,
    to: usize,
    action: Action,
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Event) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.seq.cmp(&other.seq))
    }
}

/// A process of the network.
pub struct Proc {
    pub membership: Option<Membership>,
    pub frozen: bool,
    /// The partition that the process is in; it cannot reach processes of other partitions.
    pub partition: usize,
    /// Time of the last change of this process or its partition.
    pub last_change: f64,
    pub sent: u64,
    region: usize,
    wake_id: u64,
    buffered: Vec<Packet>,
}

/// The network.
pub struct Net {
    pub now: f64,
    pub procs: Vec<Proc>,
    pub loss: f64,
    pub rng: fastrand::Rng,
    /// Whether a newer digest is taken over after a round trip, as a host does by fetching the updates.
    pub pull_digests: bool,
    events: BinaryHeap<Reverse<Event>>,
    seq: u64,
}

/// Returns the id of the process with this index.
pub fn node(i: usize) -> Node {
    Node::from_be_bytes([10, 1, 0, 1]) + i as Node
}

/// Returns the index of the process with this id.
pub fn index(node: Node) -> usize {
    (node - self::node(0)) as usize
}

/// Returns the card of a process; the first three are the core.
pub fn card(i: usize, regions: usize) -> Card {
    Card {
        core: i < 3,
        region: format!("region-{}", i % regions),
        zone: format!("zone-{}", i % (2 * regions)),
        client_address: (i >= 3).then(|| ([10, 1, 0, i as u8], 8389).into()),
        control_address: (i < 3).then(|| ([10, 1, 0, i as u8], 8383).into()),
        ready: true,
        leaving: false,
        drift: None,
        load: 0,
    }
}

impl Net {
    pub fn new(n: usize, regions: usize, loss: f64, seed: u64) -> Net {
        let proc = |i| Proc {
            membership: None,
            frozen: false,
            partition: 0,
            last_change: 0.0,
            sent: 0,
            region: i % regions,
            wake_id: 0,
            buffered: Vec::new(),
        };
        let rng = fastrand::Rng::with_seed(seed);
        let procs = (0..n).map(proc).collect();
        let mut net =
            Net { now: 100.0, procs, loss, rng, pull_digests: false, events: BinaryHeap::new(), seq: 0 };
        (0..n).for_each(|i| net.start(i, 1_000, regions));
        net
    }

    fn push(&mut self, at: f64, to: usize, action: Action) {
        self.seq += 1;
        self.events.push(Reverse(Event { at, seq: self.seq, to, action }));
    }

    /// Starts a process with this incarnation.
    pub fn start(&mut self, i: usize, incarnation: u64, regions: usize) {
        let seeds = vec![node(0), node(1), node(2)];
        let settings = Settings::new(node(i), incarnation, card(i, regions), seeds, self.rng.u64(..));
        // Each steady clock starts at a different value.
        self.procs[i].membership = Some(Membership::new(self.now + i as f64, settings));
        self.procs[i].last_change = self.now;
        self.schedule_wake(i);
    }

    /// Ends a process.
    pub fn kill(&mut self, i: usize) {
        self.procs[i].membership = None;
        self.procs[i].buffered.clear();
        self.procs[i].frozen = false;
        self.procs[i].last_change = self.now;
    }

    /// Pauses a process, or resumes it and hands it the packets that waited.
    pub fn freeze(&mut self, i: usize, frozen: bool) {
        if self.procs[i].membership.is_none() {
            return;
        }
        self.procs[i].frozen = frozen;
        self.procs[i].last_change = self.now;
        if !frozen {
            for packet in std::mem::take(&mut self.procs[i].buffered) {
                self.push(self.now, i, Action::Arrive(Box::new(packet)));
            }
            self.schedule_wake(i);
        }
    }

    /// Sets the partition of each process; processes of the same partition reach each other.
    pub fn set_partitions(&mut self, partition: impl Fn(usize) -> usize) {
        for i in 0..self.procs.len() {
            self.procs[i].partition = partition(i);
            self.procs[i].last_change = self.now;
        }
    }

    fn schedule_wake(&mut self, i: usize) {
        let Some(membership) = &self.procs[i].membership else { return };
        let at = (membership.next_wake() - i as f64).max(self.now);
        self.procs[i].wake_id += 1;
        let wake_id = self.procs[i].wake_id;
        self.push(at + 0.0005, i, Action::Wake(wake_id));
    }

    fn delay(&self, a: usize, b: usize) -> f64 {
        if self.procs[a].region == self.procs[b].region {
            DELAY_OWN_REGION
        } else {
            DELAY_OTHER_REGION
        }
    }

    fn send(&mut self, from: usize, out: Vec<(Node, Packet)>) {
        for (to, packet) in out {
            assert!(to != node(from), "packet to itself: {packet:?}");
            assert_eq!(packet.from, node(from));
            self.procs[from].sent += 1;
            let to = index(to);
            if self.procs[from].partition != self.procs[to].partition || self.rng.f64() < self.loss {
                continue;
            }
            let at = self.now + self.delay(from, to) * (1.0 + 0.1 * self.rng.f64());
            self.push(at, to, Action::Arrive(Box::new(packet)));
        }
    }

    /// Calls a running process, sends the packets that it returns and schedules its next call.
    fn with_member(&mut self, i: usize, call: impl FnOnce(&mut Membership, f64) -> Vec<(Node, Packet)>) {
        let now = self.now + i as f64;
        let Some(membership) = self.procs[i].membership.as_mut() else { return };
        let out = call(membership, now);
        let ahead = self.pull_digests.then(|| membership.take_ahead()).flatten();
        self.send(i, out);
        if let Some((source, _)) = ahead {
            let at = self.now + 2.0 * self.delay(i, index(source));
            self.push(at, i, Action::Pull(index(source)));
        }
        self.schedule_wake(i);
    }

    /// Runs the network until the given time.
    pub fn run(&mut self, until: f64) {
        while self.events.peek().is_some_and(|e| e.0.at <= until) {
            let Some(Reverse(event)) = self.events.pop() else { break };
            self.now = self.now.max(event.at);
            let i = event.to;
            let proc = &mut self.procs[i];
            match event.action {
                Action::Wake(wake_id) if wake_id == proc.wake_id && !proc.frozen => {
                    self.with_member(i, |m, now| m.tick(now))
                }
                // Packets for a frozen process wait as long as its buffer has room.
                Action::Arrive(packet) if proc.frozen && proc.buffered.len() < 200 => {
                    proc.buffered.push(*packet)
                }
                Action::Arrive(packet) if !proc.frozen => {
                    self.with_member(i, |m, now| m.receive(now, *packet))
                }
                Action::Pull(source) if !proc.frozen => {
                    let source_digest = self.procs[source].membership.as_ref().map(|m| *m.digest());
                    if let (Some(source_digest), Some(membership)) =
                        (source_digest, self.procs[i].membership.as_mut())
                    {
                        let mut digest = *membership.digest();
                        digest.merge(&source_digest);
                        membership.set_digest(digest);
                        self.schedule_wake(i);
                    }
                }
                _ => {}
            }
        }
        self.now = until;
    }

    pub fn set_digest(&mut self, i: usize, digest: Digest) {
        if let Some(membership) = self.procs[i].membership.as_mut() {
            membership.set_digest(digest);
            self.schedule_wake(i);
        }
    }

    pub fn set_card(&mut self, i: usize, card: Card) {
        if let Some(membership) = self.procs[i].membership.as_mut() {
            membership.set_card(card);
            self.schedule_wake(i);
        }
    }

    fn up(&self, i: usize) -> bool {
        self.procs[i].membership.is_some() && !self.procs[i].frozen
    }

    /// Returns the standing of `b` as seen by `a`.
    pub fn view(&self, a: usize, b: usize) -> Option<Standing> {
        self.procs[a].membership.as_ref()?.member(node(b)).map(|m| m.standing)
    }

    /// Compares the views of all processes with the model. A process that is running must be seen as alive
    /// `alive` seconds, and one that is not as gone `gone` seconds, after the last change of either process.
    /// With `strict`, a running process must not even be suspected.
    pub fn check(&self, alive: f64, gone: f64, strict: bool) -> Result<(), String> {
        for a in (0..self.procs.len()).filter(|a| self.up(*a)) {
            for b in (0..self.procs.len()).filter(|b| *b != a) {
                let since = self.now - self.procs[a].last_change.max(self.procs[b].last_change);
                let is_reachable = self.up(b) && self.procs[a].partition == self.procs[b].partition;
                let view = self.view(a, b);
                let as_expected = if is_reachable {
                    view == Some(Standing::Alive) || (!strict && view == Some(Standing::Suspect))
                } else {
                    view.is_none_or(|standing| standing == Standing::Gone)
                };
                if !as_expected && since >= if is_reachable { alive } else { gone } {
                    let proc = &self.procs[b];
                    let state = (proc.membership.is_some(), proc.frozen, proc.partition);
                    let (now, own_partition) = (self.now, self.procs[a].partition);
                    let details = format!(
                        "{since:.2} s after a change; (up, frozen, partition) {state:?}, \
                         own partition {own_partition}"
                    );
                    return Err(format!("{now:.2}: {a} sees {b} as {view:?} {details}"));
                }
            }
        }
        Ok(())
    }
}
