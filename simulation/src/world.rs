//! Machines, disks and a network in virtual time around the state machines of processes; single-threaded,
//! and the same course for the same seed.

use crate::{Disk, Net, Node};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

/// Least span between two ticks of a driver, seconds.
const GRAIN: f64 = 0.001;

/// One process: a state machine that is driven by the world. Times are of its own steady clock.
pub trait Life: Sized {
    /// What processes say to each other.
    type Word: Clone;
    /// What is saved.
    type Kept: Clone;
    /// What the watch is to see.
    type Told;
    /// Called at `next_wake` at the latest.
    fn tick(&mut self, now: f64, out: &mut Vec<Order<Self>>);
    /// A word came in.
    fn heard(&mut self, now: f64, from: Node, word: Self::Word, out: &mut Vec<Order<Self>>);
    /// The save with this ticket ended.
    fn saved(&mut self, now: f64, ticket: u64, ok: bool, out: &mut Vec<Order<Self>>);
    /// When there is something to do next.
    fn next_wake(&self) -> f64;
}

/// What a process orders.
pub enum Order<L: Life> {
    /// A datagram.
    Cast(Node, L::Word),
    /// A word by a link.
    Send(Node, L::Word),
    /// To be synced.
    Save(u64, L::Kept),
    /// For the watch.
    Tell(L::Told),
}

/// Sees what processes tell, as it happens.
pub trait Watch<L: Life> {
    /// `run` differs from start to start of a process.
    fn told(&mut self, now: f64, node: Node, run: u64, life: &L, told: L::Told);
}

/// What a process is told as it starts.
pub struct Begin<'a, K> {
    /// Its steady clock.
    pub now: f64,
    /// Greater at each start.
    pub run: u64,
    /// For all that is random.
    pub seed: u64,
    /// What the disk holds.
    pub kept: Option<K>,
    /// Was the disk ever written?
    pub used: bool,
    /// The machine's disk.
    pub disk: &'a mut Disk<K>,
}

enum Input<L: Life> {
    Wake(u64),
    Word(Node, L::Word),
    Saved(u64, bool),
}

/// A machine, and the process on it if one runs.
pub struct Machine<L: Life> {
    /// The process.
    pub life: Option<L>,
    /// Its disk.
    pub disk: Disk<L::Kept>,
    /// The process stands still until then.
    pub frozen_until: f64,
    /// Which run of the process; 0 if none runs.
    pub run: u64,
    inbox: VecDeque<Input<L>>,
    wakes: u64,
    /// The steady clock of the process began at another moment.
    clock: f64,
}

impl<L: Life> Default for Machine<L> {
    fn default() -> Machine<L> {
        let (life, disk, inbox) = (None, Disk::default(), VecDeque::new());
        Machine { life, disk, frozen_until: 0.0, run: 0, inbox, wakes: 0, clock: 0.0 }
    }
}

/// All of it.
pub struct World<L: Life, W> {
    /// Seconds since its beginning.
    pub now: f64,
    /// For all that is random.
    pub rng: fastrand::Rng,
    /// By address.
    pub machines: BTreeMap<Node, Machine<L>>,
    /// The ways between them.
    pub net: Net,
    /// Who checks.
    pub watch: W,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, (Node, u64, Input<L>)>,
    count: u64,
}

impl<L: Life, W: Watch<L>> World<L, W> {
    /// Without machines.
    pub fn new(seed: u64, net: Net, watch: W) -> World<L, W> {
        let rng = fastrand::Rng::with_seed(seed);
        let (machines, events, queue) = (BTreeMap::new(), BTreeMap::new(), BinaryHeap::new());
        World { now: 0.0, rng, machines, net, watch, queue, events, count: 0 }
    }

    /// Starts the process of a machine, which is put up if it's new.
    pub fn start(&mut self, node: Node, make: impl FnOnce(Begin<L::Kept>) -> L) {
        let run = self.number();
        let clock = self.rng.f64() * 1e5 - self.now;
        let seed = self.rng.u64(..);
        let machine = self.machines.entry(node).or_default();
        let (now, kept, used) = (self.now + clock, machine.disk.kept.clone(), machine.disk.used);
        machine.life = Some(make(Begin { now, run, seed, kept, used, disk: &mut machine.disk }));
        (machine.run, machine.clock) = (run, clock);
        self.call(node, |life, now, out| life.tick(now, out));
    }

    /// The process ends; a save under way may or may not have reached the disk.
    pub fn kill(&mut self, node: Node) {
        let reached = self.rng.bool();
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&node) else { return };
        machine.disk.power_lost(now, reached);
        machine.life = None;
        machine.run = 0;
        machine.frozen_until = 0.0;
        machine.inbox.clear();
    }

    /// The process ends and the disk is lost.
    pub fn wipe(&mut self, node: Node) {
        self.kill(node);
        self.machines.entry(node).and_modify(|machine| machine.disk.vanish());
    }

    /// The process stands still for so long.
    pub fn freeze(&mut self, node: Node, span: f64) {
        let until = self.now + span;
        self.machines.entry(node).and_modify(|machine| machine.frozen_until = until);
    }

    /// The process, if it runs, frozen or not.
    pub fn process(&self, node: Node) -> Option<&L> {
        self.machines.get(&node)?.life.as_ref()
    }

    /// Nodes whose processes run, frozen or not.
    pub fn running(&self) -> Vec<Node> {
        self.machines.keys().copied().filter(|&node| self.process(node).is_some()).collect()
    }

    /// Cuts all words between the two sides.
    pub fn cut(&mut self, side: &[Node]) {
        let (these, those): (Vec<Node>, Vec<Node>) =
            self.machines.keys().partition(|node| side.contains(node));
        self.net.cut(&these, &those);
    }

    /// Lets the time pass.
    pub fn run(&mut self, span: f64) {
        let end = self.now + span;
        while let Some(&Reverse((at, id))) = self.queue.peek() {
            let at = at as f64 / 1e6;
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some((node, run, input)) = self.events.remove(&id) {
                self.deliver(node, run, input);
            }
        }
        self.now = end;
    }

    /// Lets the time pass until `done`; false if that takes longer than `most`.
    pub fn run_until(&mut self, most: f64, mut done: impl FnMut(&mut Self) -> bool) -> bool {
        let end = self.now + most;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.run(0.05);
        }
        done(self)
    }

    fn deliver(&mut self, node: Node, run: u64, input: Input<L>) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        if machine.life.is_none() || (machine.run != run && run != 0) {
            return;
        }
        if let Input::Wake(wake) = input {
            if wake != machine.wakes {
                return;
            }
            if machine.frozen_until > self.now {
                return self.schedule(self.now + 0.03, node, run, input);
            }
            if self.rng.bool() {
                self.call(node, |life, now, out| life.tick(now, out));
            }
            while let Some(input) = self.machines.get_mut(&node).and_then(|m| m.inbox.pop_front()) {
                self.take(node, input);
            }
            return self.call(node, |life, now, out| life.tick(now, out));
        }
        if matches!(input, Input::Saved(..)) && machine.disk.stalled_until > self.now {
            return self.schedule(self.now + 0.03, node, run, input);
        }
        if machine.frozen_until > self.now || !machine.inbox.is_empty() {
            return machine.inbox.push_back(input);
        }
        self.take(node, input);
    }

    fn take(&mut self, node: Node, input: Input<L>) {
        match input {
            Input::Wake(_) => {}
            Input::Word(from, word) => self.call(node, |life, now, out| life.heard(now, from, word, out)),
            Input::Saved(ticket, ok) => {
                let (now, whole) = (self.now, ok || self.rng.bool());
                self.machines.entry(node).and_modify(|machine| machine.disk.end(now, whole));
                self.call(node, |life, now, out| life.saved(now, ticket, ok, out));
            }
        }
    }

    /// One call into the process, and what it orders.
    pub fn call(&mut self, node: Node, call: impl FnOnce(&mut L, f64, &mut Vec<Order<L>>)) {
        let mut out = Vec::new();
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let Some(life) = &mut machine.life else { return };
        call(life, self.now + machine.clock, &mut out);
        machine.wakes += 1;
        let wake = (life.next_wake() - machine.clock).max(self.now + GRAIN) + self.rng.f64() * 0.02;
        let (wakes, run) = (machine.wakes, machine.run);
        self.schedule(wake, node, run, Input::Wake(wakes));
        for order in out {
            self.carry_out(node, run, order);
        }
    }

    fn carry_out(&mut self, node: Node, run: u64, order: Order<L>) {
        match order {
            Order::Cast(to, word) => self.post(node, to, word, false),
            Order::Send(to, word) => self.post(node, to, word, true),
            Order::Save(ticket, kept) => {
                let at = self.now + 0.001 + self.rng.f64() * 0.03;
                let Some(machine) = self.machines.get_mut(&node) else { return };
                machine.disk.save(ticket, kept);
                let refuses = machine.disk.refuses;
                let ok = refuses == 0 || self.rng.u64(..refuses) != 0;
                self.schedule(at, node, run, Input::Saved(ticket, ok));
            }
            Order::Tell(told) => {
                let machine = self.machines.get(&node);
                if let Some(life) = machine.and_then(|machine| machine.life.as_ref()) {
                    self.watch.told(self.now, node, run, life, told);
                }
            }
        }
    }

    /// Puts a word on its way; `link`: what is lost is sent again.
    pub fn post(&mut self, from: Node, to: Node, word: L::Word, link: bool) {
        for at in self.net.trips(&mut self.rng, self.now, (from, to), link) {
            self.schedule(at, to, 0, Input::Word(from, word.clone()));
        }
    }

    fn schedule(&mut self, at: f64, node: Node, run: u64, input: Input<L>) {
        let id = self.number();
        self.queue.push(Reverse(((at * 1e6).ceil() as u64, id)));
        self.events.insert(id, (node, run, input));
    }

    /// A number that was not given before.
    pub fn number(&mut self) -> u64 {
        self.count += 1;
        self.count
    }
}
