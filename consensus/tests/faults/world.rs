//! Core machines and their clients on the simulated machines of `lupinledge-simulation`.

use crate::check::Check;
use lupinledge_consensus::{
    Ballot, Msg, NewClusterError, Node, Outcome, Output, PersistentState, Replica, Settings, Value,
};
use lupinledge_simulation::{Effect, Net, Observer, StartContext, StateMachine, World as SimulatedWorld};
use std::collections::BTreeMap;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// A client request in progress.
#[derive(Debug)]
enum Request {
    Propose(Vec<u8>),
    Confirm { acked: u64 },
}

/// Events that the reference model checks.
pub enum Observation {
    Committed(Ballot, Rc<Value>),
    Won(u64),
    Acknowledged(Ballot, Vec<u8>),
    Confirmed { index: u64, acked: u64 },
}

/// The process of a core machine, with the requests of its clients.
pub struct Member {
    pub replica: Replica,
    requests: BTreeMap<u64, Request>,
    last_index: u64,
    /// The epoch that the process leads, as of its last call.
    pub leading_epoch: Option<u64>,
}

type Orders = Vec<Effect<Member>>;

impl Member {
    fn new(me: Node, seeds: &[Node], tolerate: usize, begin: StartContext<PersistentState>) -> Member {
        let StartContext { now, seed, saved_state, disk_written, .. } = begin;
        // Only the first start of a machine may form the cluster.
        let settings = Settings { me, seeds: seeds.to_vec(), bootstrap: !disk_written, seed, tolerate };
        let replica = Replica::new(now, settings, saved_state);
        Member { replica, requests: BTreeMap::new(), last_index: 0, leading_epoch: None }
    }

    fn step(&mut self, now: f64, orders: &mut Orders, call: impl FnOnce(&mut Replica, &mut Vec<Output>)) {
        let mut out = Vec::new();
        call(&mut self.replica, &mut out);
        self.leading_epoch = self.replica.leading_epoch(now);
        for output in out {
            match output {
                Output::Send(to, msg) => orders.push(Effect::SendDatagram(to, msg)),
                Output::Save(ticket, kept) => orders.push(Effect::Save(ticket, kept)),
                Output::Committed(ballot, value) => {
                    assert!(ballot.index >= self.last_index, "the committed index decreased to {ballot:?}");
                    self.last_index = ballot.index;
                    orders.push(Effect::Observe(Observation::Committed(ballot, value)));
                }
                Output::BecameLeader(epoch) => orders.push(Effect::Observe(Observation::Won(epoch))),
                Output::LostLeadership => {}
                Output::Done { ticket, outcome } => self.on_done(ticket, outcome, orders),
            }
        }
    }

    fn on_done(&mut self, ticket: u64, outcome: Outcome, orders: &mut Orders) {
        match (self.requests.remove(&ticket).expect("each request ends once"), outcome) {
            (Request::Propose(body), Outcome::Committed(ballot)) => {
                orders.push(Effect::Observe(Observation::Acknowledged(ballot, body)));
            }
            (Request::Confirm { acked }, Outcome::Confirmed) => {
                let index = self.replica.committed().map_or(0, |(ballot, _)| ballot.index);
                orders.push(Effect::Observe(Observation::Confirmed { index, acked }));
            }
            (Request::Propose(_), Outcome::Unknown | Outcome::NotLeader | Outcome::Busy) => {}
            (Request::Confirm { .. }, Outcome::NotLeader | Outcome::Busy) => {}
            (request, outcome) => panic!("{outcome:?} as the result of {request:?}"),
        }
    }
}

impl StateMachine for Member {
    type Message = Msg;
    type SavedState = PersistentState;
    type Observation = Observation;

    fn tick(&mut self, now: f64, orders: &mut Orders) {
        self.step(now, orders, |replica, out| replica.tick(now, out));
    }

    fn handle_message(&mut self, now: f64, from: Node, msg: Msg, orders: &mut Orders) {
        self.step(now, orders, |replica, out| replica.handle_message(now, from, msg, out));
    }

    fn save_finished(&mut self, now: f64, ticket: u64, ok: bool, orders: &mut Orders) {
        self.step(now, orders, |replica, out| replica.save_finished(now, ticket, ok, out));
    }

    fn next_wake(&self) -> f64 {
        self.replica.next_wake()
    }
}

impl Observer<Member> for Check {
    fn observe(&mut self, _: f64, node: Node, run: u64, _: &Member, told: Observation) {
        match told {
            Observation::Committed(ballot, value) => self.committed(ballot, &value),
            Observation::Won(epoch) => self.won(node, run, epoch),
            Observation::Acknowledged(ballot, body) => self.acknowledged(ballot, &body),
            Observation::Confirmed { index, acked } => self.confirmed(index, acked),
        }
    }
}

/// The simulated machines of one test, with the reference model.
pub struct World {
    machines: SimulatedWorld<Member, Check>,
    /// The initial members in the settings of processes started from now on.
    pub seeds: Vec<Node>,
    /// Number of members that may be lost at once, as in the settings.
    pub tolerate: usize,
}

impl Deref for World {
    type Target = SimulatedWorld<Member, Check>;
    fn deref(&self) -> &Self::Target {
        &self.machines
    }
}

impl DerefMut for World {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.machines
    }
}

impl World {
    /// A world whose settings tolerate as many losses as the seeds can.
    pub fn new(seed: u64, seeds: &[Node]) -> World {
        World::tolerating(seed, seeds, (seeds.len() - 1) / 2)
    }

    /// A world whose settings tolerate `tolerate` losses.
    pub fn tolerating(seed: u64, seeds: &[Node], tolerate: usize) -> World {
        let net = Net::new(0, 0.02);
        let machines = SimulatedWorld::new(seed, net, Check::default());
        let mut world = World { machines, seeds: seeds.to_vec(), tolerate };
        seeds.iter().for_each(|&node| world.start(node));
        world
    }

    /// Starts the process of a machine, which is created if it is new.
    pub fn start(&mut self, node: Node) {
        let (seeds, tolerate) = (&self.seeds, self.tolerate);
        self.machines.start(node, |begin| Member::new(node, seeds, tolerate, begin));
    }

    /// Nodes that consider themselves leaders with the support of a majority, as of when they last ran.
    pub fn leaders(&self) -> Vec<Node> {
        let leads = |node: &Node| self.process(*node).is_some_and(|member| member.leading_epoch.is_some());
        self.machines.machines.keys().copied().filter(leads).collect()
    }

    /// Proposes the committed document with a new entry at its end, unless the node has a proposal in progress.
    pub fn propose(&mut self, node: Node) {
        let ticket = self.next_id();
        self.call(node, |member, now, orders| {
            if member.requests.values().any(|request| matches!(request, Request::Propose(_))) {
                return;
            }
            let mut body = member.replica.committed().map_or(Vec::new(), |(_, value)| value.body.clone());
            body.extend((ticket as u32).to_be_bytes());
            member.requests.insert(ticket, Request::Propose(body.clone()));
            member.step(now, orders, |replica, out| replica.propose(now, ticket, body, out));
        });
    }

    /// Tells the process to shut down.
    pub fn leave(&mut self, node: Node) {
        self.call(node, |member, now, orders| {
            member.step(now, orders, |replica, out| replica.leave(now, out));
        });
    }

    /// An operator forces a new cluster from this member.
    pub fn force_new_cluster(&mut self, node: Node, newest: Ballot) -> Result<(), NewClusterError> {
        let mut result = Ok(());
        self.call(node, |member, now, orders| {
            result = member.replica.force_new_cluster(now, newest);
            member.step(now, orders, |replica, out| replica.tick(now, out));
        });
        result
    }

    /// The node finds `others` by other means.
    pub fn hint(&mut self, node: Node, others: &[Node]) {
        self.call(node, |member, _, _| member.replica.set_hints(others));
    }

    /// Starts a read barrier at the node.
    pub fn read_barrier(&mut self, node: Node) {
        let (ticket, acked) = (self.next_id(), self.observer.acked);
        self.call(node, |member, now, orders| {
            member.requests.insert(ticket, Request::Confirm { acked });
            member.step(now, orders, |replica, out| replica.read_barrier(now, ticket, out));
        });
    }

    /// Number of client requests that have not ended.
    pub fn pending_requests(&self) -> usize {
        self.machines
            .machines
            .keys()
            .filter_map(|&node| self.process(node))
            .map(|member| member.requests.len())
            .sum()
    }

    /// Runs until `done` is true; returns false if that takes longer than `timeout`.
    pub fn run_until(&mut self, timeout: f64, mut done: impl FnMut(&mut World) -> bool) -> bool {
        let end = self.now + timeout;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.run(0.05);
        }
        done(self)
    }
}
