//! Simulated machines, disks and network on virtual time, which drive the state machines of processes. Runs on a
//! single thread; the same seed gives the same run.

use crate::{Disk, Net, Node};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

/// Shortest time between two ticks of a process, seconds.
const MIN_TICK_INTERVAL: f64 = 0.001;

/// The state machine of one process, driven by [`World`]. Its times are read from its own monotonic clock.
pub trait StateMachine: Sized {
    /// The messages that processes send each other.
    type Message: Clone;
    /// The state that the process saves to disk.
    type SavedState: Clone;
    /// What the process reports to the [`Observer`].
    type Observation;
    /// Runs timers; called no later than the time that `next_wake` returned, plus scheduling delay.
    fn tick(&mut self, now: f64, out: &mut Vec<Effect<Self>>);
    /// Handles a message from another process.
    fn handle_message(&mut self, now: f64, from: Node, message: Self::Message, out: &mut Vec<Effect<Self>>);
    /// Handles the end of the save with this ticket; `ok` is false if the save failed.
    fn save_finished(&mut self, now: f64, ticket: u64, ok: bool, out: &mut Vec<Effect<Self>>);
    /// The time of the next timer.
    fn next_wake(&self) -> f64;
}

/// What a state machine asks the world to do.
pub enum Effect<P: StateMachine> {
    /// Send a datagram, which may be lost or duplicated.
    SendDatagram(Node, P::Message),
    /// Send a message over a connection, which retransmits it if it is lost.
    SendReliable(Node, P::Message),
    /// Save a state to disk; `save_finished` gets the ticket.
    Save(u64, P::SavedState),
    /// Report to the observer.
    Observe(P::Observation),
}

/// Checks what processes report, at the time of the report.
pub trait Observer<P: StateMachine> {
    /// `run_id` differs between the runs of a process.
    fn observe(&mut self, now: f64, node: Node, run_id: u64, process: &P, observation: P::Observation);
}

/// What a process gets when it starts.
pub struct StartContext<'a, S> {
    /// The time on the process's monotonic clock.
    pub now: f64,
    /// Identifies this run of the process; higher at each start.
    pub run_id: u64,
    /// Seed of the process's random numbers.
    pub seed: u64,
    /// The state on the disk.
    pub saved_state: Option<S>,
    /// True if the disk was ever written, even if its contents were lost since.
    pub disk_written: bool,
    /// The machine's disk.
    pub disk: &'a mut Disk<S>,
}

enum Input<P: StateMachine> {
    Wake(u64),
    Message(Node, P::Message),
    SaveFinished(u64, bool),
}

/// A machine with its disk, and its process while that runs.
pub struct Machine<P: StateMachine> {
    /// The process, if it runs.
    pub process: Option<P>,
    /// The disk.
    pub disk: Disk<P::SavedState>,
    /// The process is paused until this time.
    pub frozen_until: f64,
    /// Identifies the run of the process; 0 if no process runs.
    pub run_id: u64,
    inbox: VecDeque<Input<P>>,
    wakes: u64,
    /// Offset of the process's monotonic clock from the world's time, seconds.
    clock_offset: f64,
}

impl<P: StateMachine> Default for Machine<P> {
    fn default() -> Machine<P> {
        let (process, disk, inbox) = (None, Disk::default(), VecDeque::new());
        Machine { process, disk, frozen_until: 0.0, run_id: 0, inbox, wakes: 0, clock_offset: 0.0 }
    }
}

/// All simulated machines, the network between them and the queue of future events.
pub struct World<P: StateMachine, W> {
    /// Virtual time since the start of the simulation, seconds.
    pub now: f64,
    /// Source of all random choices of the simulation.
    pub rng: fastrand::Rng,
    /// The machines, by address.
    pub machines: BTreeMap<Node, Machine<P>>,
    /// The network.
    pub net: Net,
    /// Checks what processes report.
    pub observer: W,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, (Node, u64, Input<P>)>,
    last_id: u64,
}

impl<P: StateMachine, W: Observer<P>> World<P, W> {
    /// Creates a world without machines.
    pub fn new(seed: u64, net: Net, observer: W) -> World<P, W> {
        let rng = fastrand::Rng::with_seed(seed);
        let (machines, events, queue) = (BTreeMap::new(), BTreeMap::new(), BinaryHeap::new());
        World { now: 0.0, rng, machines, net, observer, queue, events, last_id: 0 }
    }

    /// Starts the process of a machine, which is created if it is new.
    pub fn start(&mut self, node: Node, make: impl FnOnce(StartContext<P::SavedState>) -> P) {
        let run_id = self.next_id();
        let clock_offset = self.rng.f64() * 1e5 - self.now;
        let seed = self.rng.u64(..);
        let machine = self.machines.entry(node).or_default();
        let (now, saved_state, disk_written) =
            (self.now + clock_offset, machine.disk.saved_state.clone(), machine.disk.written);
        machine.process = Some(make(StartContext {
            now,
            run_id,
            seed,
            saved_state,
            disk_written,
            disk: &mut machine.disk,
        }));
        (machine.run_id, machine.clock_offset) = (run_id, clock_offset);
        self.call(node, |process, now, out| process.tick(now, out));
    }

    /// Kills the process; a save in progress may or may not have reached the disk.
    pub fn kill(&mut self, node: Node) {
        let reached_disk = self.rng.bool();
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&node) else { return };
        machine.disk.power_lost(now, reached_disk);
        machine.process = None;
        machine.run_id = 0;
        machine.frozen_until = 0.0;
        machine.inbox.clear();
    }

    /// Kills the process and erases the disk.
    pub fn wipe(&mut self, node: Node) {
        self.kill(node);
        self.machines.entry(node).and_modify(|machine| machine.disk.erase());
    }

    /// Pauses the process for `duration` seconds.
    pub fn freeze(&mut self, node: Node, duration: f64) {
        let until = self.now + duration;
        self.machines.entry(node).and_modify(|machine| machine.frozen_until = until);
    }

    /// The process of a machine if it runs, paused or not.
    pub fn process(&self, node: Node) -> Option<&P> {
        self.machines.get(&node)?.process.as_ref()
    }

    /// Nodes whose processes run, paused or not.
    pub fn running(&self) -> Vec<Node> {
        self.machines.keys().copied().filter(|&node| self.process(node).is_some()).collect()
    }

    /// Drops all messages between the nodes of `side` and the others.
    pub fn cut(&mut self, side: &[Node]) {
        let (inside, outside): (Vec<Node>, Vec<Node>) =
            self.machines.keys().partition(|node| side.contains(node));
        self.net.cut(&inside, &outside);
    }

    /// Runs for `duration` seconds of virtual time.
    pub fn run(&mut self, duration: f64) {
        let end = self.now + duration;
        while let Some(&Reverse((at, id))) = self.queue.peek() {
            let at = at as f64 / 1e6;
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some((node, run_id, input)) = self.events.remove(&id) {
                self.deliver(node, run_id, input);
            }
        }
        self.now = end;
    }

    /// Runs until `done` is true; returns false if that takes longer than `timeout`.
    pub fn run_until(&mut self, timeout: f64, mut done: impl FnMut(&mut Self) -> bool) -> bool {
        let end = self.now + timeout;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.run(0.05);
        }
        done(self)
    }

    /// Passes an input to the process that it is for. Inputs of a paused process wait in its inbox; after the pause
    /// the process may or may not tick before it handles them.
    fn deliver(&mut self, node: Node, run_id: u64, input: Input<P>) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        if machine.process.is_none() || (machine.run_id != run_id && run_id != 0) {
            return;
        }
        if let Input::Wake(wake) = input {
            if wake != machine.wakes {
                return;
            }
            if machine.frozen_until > self.now {
                return self.schedule(self.now + 0.03, node, run_id, input);
            }
            if self.rng.bool() {
                self.call(node, |process, now, out| process.tick(now, out));
            }
            while let Some(input) = self.machines.get_mut(&node).and_then(|m| m.inbox.pop_front()) {
                self.handle(node, input);
            }
            return self.call(node, |process, now, out| process.tick(now, out));
        }
        if matches!(input, Input::SaveFinished(..)) && machine.disk.stalled_until > self.now {
            return self.schedule(self.now + 0.03, node, run_id, input);
        }
        if machine.frozen_until > self.now || !machine.inbox.is_empty() {
            return machine.inbox.push_back(input);
        }
        self.handle(node, input);
    }

    fn handle(&mut self, node: Node, input: Input<P>) {
        match input {
            Input::Wake(_) => {}
            Input::Message(from, message) => {
                self.call(node, |process, now, out| process.handle_message(now, from, message, out))
            }
            Input::SaveFinished(ticket, ok) => {
                let (now, written) = (self.now, ok || self.rng.bool());
                self.machines.entry(node).and_modify(|machine| machine.disk.finish_save(now, written));
                self.call(node, |process, now, out| process.save_finished(now, ticket, ok, out));
            }
        }
    }

    /// Calls into the process, schedules its next tick and carries out its effects.
    pub fn call(&mut self, node: Node, call: impl FnOnce(&mut P, f64, &mut Vec<Effect<P>>)) {
        let mut out = Vec::new();
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let Some(process) = &mut machine.process else { return };
        call(process, self.now + machine.clock_offset, &mut out);
        machine.wakes += 1;
        let wake = (process.next_wake() - machine.clock_offset).max(self.now + MIN_TICK_INTERVAL)
            + self.rng.f64() * 0.02;
        let (wakes, run_id) = (machine.wakes, machine.run_id);
        self.schedule(wake, node, run_id, Input::Wake(wakes));
        for effect in out {
            self.carry_out(node, run_id, effect);
        }
    }

    fn carry_out(&mut self, node: Node, run_id: u64, effect: Effect<P>) {
        match effect {
            Effect::SendDatagram(to, message) => self.send(node, to, message, false),
            Effect::SendReliable(to, message) => self.send(node, to, message, true),
            Effect::Save(ticket, state) => {
                let at = self.now + 0.001 + self.rng.f64() * 0.03;
                let Some(machine) = self.machines.get_mut(&node) else { return };
                machine.disk.save(ticket, state);
                let fail_one_in = machine.disk.fail_one_in;
                let ok = fail_one_in == 0 || self.rng.u64(..fail_one_in) != 0;
                self.schedule(at, node, run_id, Input::SaveFinished(ticket, ok));
            }
            Effect::Observe(observation) => {
                let machine = self.machines.get(&node);
                if let Some(process) = machine.and_then(|machine| machine.process.as_ref()) {
                    self.observer.observe(self.now, node, run_id, process, observation);
                }
            }
        }
    }

    /// Sends a message. If `reliable`, a lost message is retransmitted and messages stay in order.
    pub fn send(&mut self, from: Node, to: Node, message: P::Message, reliable: bool) {
        for at in self.net.arrivals(&mut self.rng, self.now, (from, to), reliable) {
            self.schedule(at, to, 0, Input::Message(from, message.clone()));
        }
    }

    fn schedule(&mut self, at: f64, node: Node, run_id: u64, input: Input<P>) {
        let id = self.next_id();
        self.queue.push(Reverse(((at * 1e6).ceil() as u64, id)));
        self.events.insert(id, (node, run_id, input));
    }

    /// Returns an id that was not returned before.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
