//! Members of the core with clients, in the emulated world of `lupinledge-simulation`.

use crate::check::Check;
use lupinledge_consensus::{
    Ballot, Msg, NewClusterError, Node, Outcome, Output, PersistentState, Replica, Settings, Value,
};
use lupinledge_simulation::{Begin, Life, Net, Order, Watch, World as Machines};
use std::collections::BTreeMap;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// A request of a client under way.
#[derive(Debug)]
enum Asked {
    Propose(Vec<u8>),
    Confirm { acked: u64 },
}

/// What is checked.
pub enum Told {
    Committed(Ballot, Rc<Value>),
    Won(u64),
    Acknowledged(Ballot, Vec<u8>),
    Confirmed { index: u64, acked: u64 },
}

/// A process, with the requests of its clients.
pub struct Member {
    pub queen: Replica,
    asked: BTreeMap<u64, Asked>,
    last_index: u64,
    pub leads: Option<u64>,
}

type Orders = Vec<Order<Member>>;

impl Member {
    fn new(me: Node, seeds: &[Node], tolerate: usize, begin: Begin<PersistentState>) -> Member {
        let Begin { now, seed, kept, used, .. } = begin;
        // founders found once
        let settings = Settings { me, seeds: seeds.to_vec(), bootstrap: !used, seed, tolerate };
        let queen = Replica::new(now, settings, kept);
        Member { queen, asked: BTreeMap::new(), last_index: 0, leads: None }
    }

    fn turn(&mut self, now: f64, orders: &mut Orders, call: impl FnOnce(&mut Replica, &mut Vec<Output>)) {
        let mut out = Vec::new();
        call(&mut self.queen, &mut out);
        self.leads = self.queen.leading_epoch(now);
        for order in out {
            match order {
                Output::Send(to, msg) => orders.push(Order::Cast(to, msg)),
                Output::Save(ticket, kept) => orders.push(Order::Save(ticket, kept)),
                Output::Committed(ballot, value) => {
                    assert!(ballot.index >= self.last_index, "back to {ballot:?}");
                    self.last_index = ballot.index;
                    orders.push(Order::Tell(Told::Committed(ballot, value)));
                }
                Output::BecameLeader(epoch) => orders.push(Order::Tell(Told::Won(epoch))),
                Output::LostLeadership => {}
                Output::Done { ticket, outcome } => self.answered(ticket, outcome, orders),
            }
        }
    }

    fn answered(&mut self, ticket: u64, how: Outcome, orders: &mut Orders) {
        match (self.asked.remove(&ticket).expect("answered once"), how) {
            (Asked::Propose(body), Outcome::Committed(ballot)) => {
                orders.push(Order::Tell(Told::Acknowledged(ballot, body)));
            }
            (Asked::Confirm { acked }, Outcome::Confirmed) => {
                let index = self.queen.committed().map_or(0, |(ballot, _)| ballot.index);
                orders.push(Order::Tell(Told::Confirmed { index, acked }));
            }
            (Asked::Propose(_), Outcome::Unknown | Outcome::NotLeader | Outcome::Busy) => {}
            (Asked::Confirm { .. }, Outcome::NotLeader | Outcome::Busy) => {}
            (asked, how) => panic!("{how:?} to {asked:?}"),
        }
    }
}

impl Life for Member {
    type Word = Msg;
    type Kept = PersistentState;
    type Told = Told;

    fn tick(&mut self, now: f64, orders: &mut Orders) {
        self.turn(now, orders, |queen, out| queen.tick(now, out));
    }

    fn heard(&mut self, now: f64, from: Node, msg: Msg, orders: &mut Orders) {
        self.turn(now, orders, |queen, out| queen.handle_message(now, from, msg, out));
    }

    fn saved(&mut self, now: f64, ticket: u64, ok: bool, orders: &mut Orders) {
        self.turn(now, orders, |queen, out| queen.save_finished(now, ticket, ok, out));
    }

    fn next_wake(&self) -> f64 {
        self.queen.next_wake()
    }
}

impl Watch<Member> for Check {
    fn told(&mut self, _: f64, node: Node, run: u64, _: &Member, told: Told) {
        match told {
            Told::Committed(ballot, value) => self.committed(ballot, &value),
            Told::Won(epoch) => self.won(node, run, epoch),
            Told::Acknowledged(ballot, body) => self.acknowledged(ballot, &body),
            Told::Confirmed { index, acked } => self.confirmed(index, acked),
        }
    }
}

pub struct World {
    machines: Machines<Member, Check>,
    pub seeds: Vec<Node>,
    /// Losses to be borne at once, as the settings tell.
    pub tolerate: usize,
}

impl Deref for World {
    type Target = Machines<Member, Check>;
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
    /// Bears what its founders can.
    pub fn new(seed: u64, seeds: &[Node]) -> World {
        World::bearing(seed, seeds, (seeds.len() - 1) / 2)
    }

    pub fn bearing(seed: u64, seeds: &[Node], tolerate: usize) -> World {
        let net = Net::new(0, 0.02);
        let machines = Machines::new(seed, net, Check::default());
        let mut world = World { machines, seeds: seeds.to_vec(), tolerate };
        seeds.iter().for_each(|&node| world.start(node));
        world
    }

    /// Starts the process of a machine, which is put up if it's new.
    pub fn start(&mut self, node: Node) {
        let (seeds, tolerate) = (&self.seeds, self.tolerate);
        self.machines.start(node, |begin| Member::new(node, seeds, tolerate, begin));
    }

    /// Those who take themselves for a holder backed by a majority, by what they knew when they last ran.
    pub fn leaders(&self) -> Vec<Node> {
        let leads = |node: &Node| self.process(*node).is_some_and(|member| member.leads.is_some());
        self.machines.machines.keys().copied().filter(leads).collect()
    }

    /// Proposes the committed document with a new entry at its end, unless the node has work.
    pub fn propose(&mut self, node: Node) {
        let ticket = self.number();
        self.call(node, |member, now, orders| {
            if member.asked.values().any(|asked| matches!(asked, Asked::Propose(_))) {
                return;
            }
            let mut body = member.queen.committed().map_or(Vec::new(), |(_, value)| value.body.clone());
            body.extend((ticket as u32).to_be_bytes());
            member.asked.insert(ticket, Asked::Propose(body.clone()));
            member.turn(now, orders, |queen, out| queen.propose(now, ticket, body, out));
        });
    }

    /// The machine is told to end.
    pub fn leave(&mut self, node: Node) {
        self.call(node, |member, now, orders| {
            member.turn(now, orders, |queen, out| queen.leave(now, out));
        });
    }

    /// An operator founds the cluster anew from that member.
    pub fn found_anew(&mut self, node: Node, newest: Ballot) -> Result<(), NewClusterError> {
        let mut founded = Ok(());
        self.call(node, |member, now, orders| {
            founded = member.queen.force_new_cluster(now, newest);
            member.turn(now, orders, |queen, out| queen.tick(now, out));
        });
        founded
    }

    /// Others are told of from elsewhere.
    pub fn hint(&mut self, node: Node, others: &[Node]) {
        self.call(node, |member, _, _| member.queen.set_hints(others));
    }

    pub fn confirm(&mut self, node: Node) {
        let (ticket, acked) = (self.number(), self.watch.acked);
        self.call(node, |member, now, orders| {
            member.asked.insert(ticket, Asked::Confirm { acked });
            member.turn(now, orders, |queen, out| queen.read_barrier(now, ticket, out));
        });
    }

    /// How many requests of clients have no answer.
    pub fn unanswered(&self) -> usize {
        self.machines
            .machines
            .keys()
            .filter_map(|&node| self.process(node))
            .map(|member| member.asked.len())
            .sum()
    }

    /// Lets the time pass until `done`; false if that takes longer than `most`.
    pub fn run_until(&mut self, most: f64, mut done: impl FnMut(&mut World) -> bool) -> bool {
        let end = self.now + most;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.run(0.05);
        }
        done(self)
    }
}
