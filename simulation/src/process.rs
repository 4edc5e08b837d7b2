//! A process of either kind, and what the processes say.

use crate::core::Core;
use crate::edge::Edge;
use crate::world::{Effect, StateMachine};
use crate::Node;
use lupinledge_config::{Answer, Document};
use lupinledge_consensus::{Ballot, Msg, PersistentState, Value};
use lupinledge_counters::{handover::HandoverEntry as Sum, Incarnation};
use lupinledge_membership::{Card, GossipMessage, Outgoing};
use std::rc::Rc;

/// Orders to a process.
pub type Effects = Vec<Effect<Process>>;

/// An operator's order, owned.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// See [`lupinledge_config::Order`].
    Put(Rc<[u8]>),
    /// The same.
    Get,
    /// The same.
    Evacuate(&'static str),
    /// The same.
    Restore(&'static str),
}

/// What comes of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The whole has spoken.
    Answer(Answer),
    /// This other process is to be asked.
    Redirect(Node),
    /// Nobody can tell: it may have been taken.
    Unknown,
}

/// What goes over the network. The programs have these as words of `messaging`.
#[derive(Clone)]
pub enum Message {
    /// Membership and news.
    Gossip(GossipMessage),
    /// Agreement.
    Consensus(Msg),
    /// To the holder: sums of what this gateway added.
    CounterCall {
        tag: u64,
        incarnation: u32,
        calls: Vec<(u64, f64)>,
    },
    /// The totals; none: this process is not the holder.
    CounterReply {
        tag: u64,
        epoch: u64,
        totals: Vec<f64>,
    },
    /// From a new holder: tell me what you had told.
    HandoverRequest {
        epoch: u64,
    },
    /// To a new holder, ahead of the first count; which epoch it is for.
    Handover {
        epoch: u64,
        incarnation: u32,
        told: Vec<Sum>,
    },
    /// What does your clock show? And the holder's answer.
    ClockRequest,
    ClockReply,
    /// An operator's command with its number.
    Command(u64, Command),
}

/// Puts the words of membership and news on their ways.
pub fn send(sends: Outgoing, out: &mut Effects) {
    out.extend(sends.into_iter().map(|(to, said)| match said {
        GossipMessage::Probe(_) => Effect::SendDatagram(to, Message::Gossip(said)),
        _ => Effect::SendReliable(to, Message::Gossip(said)),
    }));
}

/// What the truth is told.
pub enum Observation {
    /// This core machine takes a value for committed.
    Committed(Ballot, Rc<Value>),
    /// It won an epoch.
    WonEpoch(u64),
    /// It stands by an epoch: `kept`, it promised it or voted in it; else it answered the holder's beat, which
    /// binds nobody.
    SupportedEpoch { epoch: u64, kept: bool },
    /// It heard what others hold, on its empty disk.
    StateLearned,
    /// It answered a command.
    Replied(u64, Reply),
    /// As the holder of an epoch it took a gateway's sum.
    SumReceived { epoch: u64, from: Incarnation, name: u64, sum: f64 },
    /// As the holder of an epoch it heard what a gateway had told before; `before` its counters were whole.
    HandoverReceived { epoch: u64, from: Incarnation, told: Sum, before: bool },
    /// As the holder of an epoch it tells a total.
    TotalReported { epoch: u64, name: u64, total: f64 },
    /// This edge node adds to a counter.
    CounterIncreased { name: u64, amount: f64 },
    /// This edge node works by a document.
    DocumentApplied(Ballot, Rc<Document>),
    /// It says that it is ready.
    BecameReady,
    /// It was told totals of names under an epoch.
    TotalsReceived { epoch: u64, totals: Vec<(u64, f64)> },
}

/// A process.
pub enum Process {
    /// On a core machine.
    Core(Box<Core>),
    /// On an edge machine.
    Edge(Box<Edge>),
}

impl Process {
    /// If it is one of the core.
    pub fn core(&self) -> Option<&Core> {
        match self {
            Process::Core(core) => Some(core),
            Process::Edge(_) => None,
        }
    }

    /// It is told to end.
    pub(crate) fn leave(&mut self, now: f64, out: &mut Effects) {
        if let Process::Core(core) = self {
            core.leave(now, out);
        }
    }

    /// If it is one of the edge.
    pub fn edge(&self) -> Option<&Edge> {
        match self {
            Process::Core(_) => None,
            Process::Edge(edge) => Some(edge),
        }
    }
}

impl StateMachine for Process {
    type Message = Message;
    type SavedState = PersistentState;
    type Observation = Observation;

    fn tick(&mut self, now: f64, out: &mut Effects) {
        match self {
            Process::Core(core) => core.tick(now, out),
            Process::Edge(edge) => edge.tick(now, out),
        }
    }

    fn handle_message(&mut self, now: f64, from: Node, say: Message, out: &mut Effects) {
        match (self, say) {
            (Process::Core(core), Message::Command(id, command)) => core.command(now, id, command, out),
            (Process::Core(core), say) => core.heard(now, from, say, out),
            (Process::Edge(edge), say) => edge.heard(now, from, say, out),
        }
    }

    fn save_finished(&mut self, now: f64, ticket: u64, ok: bool, out: &mut Effects) {
        if let Process::Core(core) = self {
            core.saved(now, ticket, ok, out);
        }
    }

    fn next_wake(&self) -> f64 {
        match self {
            Process::Core(core) => core.next_wake(),
            Process::Edge(edge) => edge.next_wake(),
        }
    }
}

/// The card of a machine; they stand in two regions.
pub fn card(node: Node, core: bool) -> Card {
    let region = format!("region-{}", node / 10 % 2);
    let at = |port| Some(std::net::SocketAddr::from((std::net::Ipv4Addr::from(node), port)));
    let (client_address, control_address) = if core { (None, at(2)) } else { (at(1), None) };
    let (zone, ready, leaving, drift, load) = (format!("{region}-a"), false, false, None, 0);
    Card { core, zone, region, client_address, control_address, ready, leaving, drift, load }
}
