//! An emulated network of processes in virtual time, with a plain model of who is up.
#![allow(dead_code)]

use lupinledge_membership::{Card, Digest, Membership, Node, Packet, Settings, Standing};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// One way within a region and between regions.
const NEAR: f64 = 0.001;
const FAR: f64 = 0.055;

enum What {
    Wake(u64),
    Arrive(Box<Packet>),
    Pull(usize),
}

struct Event {
    at: f64,
    seq: u64,
    to: usize,
    what: What,
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
    pub swarm: Option<Membership>,
    pub frozen: bool,
    /// Those of another side are not reached.
    pub side: usize,
    /// Last change of what this process is or reaches.
    pub changed: f64,
    pub sent: u64,
    region: usize,
    wake: u64,
    kept: Vec<Packet>,
}

/// The network.
pub struct Net {
    pub now: f64,
    pub procs: Vec<Proc>,
    pub loss: f64,
    pub chance: fastrand::Rng,
    /// News are pulled as a host would: after a way there and back.
    pub pulls: bool,
    events: BinaryHeap<Reverse<Event>>,
    seq: u64,
}

pub fn node(i: usize) -> Node {
    Node::from_be_bytes([10, 1, 0, 1]) + i as Node
}

pub fn index(node: Node) -> usize {
    (node - self::node(0)) as usize
}

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
            swarm: None,
            frozen: false,
            side: 0,
            changed: 0.0,
            sent: 0,
            region: i % regions,
            wake: 0,
            kept: Vec::new(),
        };
        let chance = fastrand::Rng::with_seed(seed);
        let procs = (0..n).map(proc).collect();
        let mut net =
            Net { now: 100.0, procs, loss, chance, pulls: false, events: BinaryHeap::new(), seq: 0 };
        (0..n).for_each(|i| net.start(i, 1_000, regions));
        net
    }

    fn push(&mut self, at: f64, to: usize, what: What) {
        self.seq += 1;
        self.events.push(Reverse(Event { at, seq: self.seq, to, what }));
    }

    pub fn start(&mut self, i: usize, incarnation: u64, regions: usize) {
        let seeds = vec![node(0), node(1), node(2)];
        let settings = Settings::new(node(i), incarnation, card(i, regions), seeds, self.chance.u64(..));
        // each steady clock starts somewhere
        self.procs[i].swarm = Some(Membership::new(self.now + i as f64, settings));
        self.procs[i].changed = self.now;
        self.arm(i);
    }

    pub fn kill(&mut self, i: usize) {
        self.procs[i].swarm = None;
        self.procs[i].kept.clear();
        self.procs[i].frozen = false;
        self.procs[i].changed = self.now;
    }

    pub fn freeze(&mut self, i: usize, frozen: bool) {
        if self.procs[i].swarm.is_none() {
            return;
        }
        self.procs[i].frozen = frozen;
        self.procs[i].changed = self.now;
        if !frozen {
            for packet in std::mem::take(&mut self.procs[i].kept) {
                self.push(self.now, i, What::Arrive(Box::new(packet)));
            }
            self.arm(i);
        }
    }

    /// Sets the side of each; those of the same side reach each other.
    pub fn cut(&mut self, side: impl Fn(usize) -> usize) {
        for i in 0..self.procs.len() {
            self.procs[i].side = side(i);
            self.procs[i].changed = self.now;
        }
    }

    fn arm(&mut self, i: usize) {
        let Some(swarm) = &self.procs[i].swarm else { return };
        let at = (swarm.next_wake() - i as f64).max(self.now);
        self.procs[i].wake += 1;
        let wake = self.procs[i].wake;
        self.push(at + 0.0005, i, What::Wake(wake));
    }

    fn way(&self, a: usize, b: usize) -> f64 {
        if self.procs[a].region == self.procs[b].region {
            NEAR
        } else {
            FAR
        }
    }

    fn send(&mut self, from: usize, out: Vec<(Node, Packet)>) {
        for (to, packet) in out {
            assert!(to != node(from), "to itself: {packet:?}");
            assert_eq!(packet.from, node(from));
            self.procs[from].sent += 1;
            let to = index(to);
            if self.procs[from].side != self.procs[to].side || self.chance.f64() < self.loss {
                continue;
            }
            let at = self.now + self.way(from, to) * (1.0 + 0.1 * self.chance.f64());
            self.push(at, to, What::Arrive(Box::new(packet)));
        }
    }

    fn call(&mut self, i: usize, f: impl FnOnce(&mut Membership, f64) -> Vec<(Node, Packet)>) {
        let now = self.now + i as f64;
        let Some(swarm) = self.procs[i].swarm.as_mut() else { return };
        let out = f(swarm, now);
        let ahead = self.pulls.then(|| swarm.take_ahead()).flatten();
        self.send(i, out);
        if let Some((of, _)) = ahead {
            let at = self.now + 2.0 * self.way(i, index(of));
            self.push(at, i, What::Pull(index(of)));
        }
        self.arm(i);
    }

    /// Runs until then.
    pub fn run(&mut self, until: f64) {
        while self.events.peek().is_some_and(|e| e.0.at <= until) {
            let Some(Reverse(event)) = self.events.pop() else { break };
            self.now = self.now.max(event.at);
            let i = event.to;
            let proc = &mut self.procs[i];
            match event.what {
                What::Wake(wake) if wake == proc.wake && !proc.frozen => self.call(i, |s, now| s.tick(now)),
                // what arrives at a frozen one waits, so far as there is room
                What::Arrive(packet) if proc.frozen && proc.kept.len() < 200 => proc.kept.push(*packet),
                What::Arrive(packet) if !proc.frozen => self.call(i, |s, now| s.receive(now, *packet)),
                What::Pull(of) if !proc.frozen => {
                    let held = self.procs[of].swarm.as_ref().map(|s| *s.digest());
                    if let (Some(held), Some(swarm)) = (held, self.procs[i].swarm.as_mut()) {
                        let mut digest = *swarm.digest();
                        digest.merge(&held);
                        swarm.set_digest(digest);
                        self.arm(i);
                    }
                }
                _ => {}
            }
        }
        self.now = until;
    }

    pub fn set_digest(&mut self, i: usize, digest: Digest) {
        if let Some(swarm) = self.procs[i].swarm.as_mut() {
            swarm.set_digest(digest);
            self.arm(i);
        }
    }

    pub fn set_card(&mut self, i: usize, card: Card) {
        if let Some(swarm) = self.procs[i].swarm.as_mut() {
            swarm.set_card(card);
            self.arm(i);
        }
    }

    fn up(&self, i: usize) -> bool {
        self.procs[i].swarm.is_some() && !self.procs[i].frozen
    }

    /// What `a` thinks of `b`.
    pub fn view(&self, a: usize, b: usize) -> Option<Standing> {
        self.procs[a].swarm.as_ref()?.member(node(b)).map(|m| m.standing)
    }

    /// Compares the views of all with who is up: `alive` and `gone` seconds after the last change of either.
    /// With `strict`, one that is up may not even be suspected.
    pub fn check(&self, alive: f64, gone: f64, strict: bool) -> Result<(), String> {
        for a in (0..self.procs.len()).filter(|a| self.up(*a)) {
            for b in (0..self.procs.len()).filter(|b| *b != a) {
                let since = self.now - self.procs[a].changed.max(self.procs[b].changed);
                let reached = self.up(b) && self.procs[a].side == self.procs[b].side;
                let view = self.view(a, b);
                let good = if reached {
                    view == Some(Standing::Alive) || (!strict && view == Some(Standing::Suspect))
                } else {
                    view.is_none_or(|v| v == Standing::Gone)
                };
                if !good && since >= if reached { alive } else { gone } {
                    let proc = &self.procs[b];
                    let state = (proc.swarm.is_some(), proc.frozen, proc.side);
                    let (now, own) = (self.now, self.procs[a].side);
                    let of =
                        format!("{since:.2} s after a change; (up, frozen, side) {state:?}, own side {own}");
                    return Err(format!("{now:.2}: {a} takes {b} for {view:?} {of}"));
                }
            }
        }
        Ok(())
    }
}
