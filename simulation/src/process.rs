//! The processes of the cluster (core or edge), the messages between them, and what they report to the reference
//! model.

use crate::core::Core;
use crate::edge::Edge;
use crate::world::{Effect, StateMachine};
use crate::Node;
use lupinledge_config::{Answer, Document};
use lupinledge_consensus::{Ballot, Msg, PersistentState, Value};
use lupinledge_counters::{handover::HandoverEntry, Incarnation};
use lupinledge_membership::{Card, GossipMessage, Outgoing};
use std::rc::Rc;

/// The effects that a call into a process returns.
pub type Effects = Vec<Effect<Process>>;

/// An operator's command; owns its data, unlike [`lupinledge_config::Order`].
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Put a configuration, given as JSON.
    Put(Rc<[u8]>),
    /// Read the configuration in force.
    Get,
    /// Evacuate a zone.
    Evacuate(&'static str),
    /// End the evacuation of a zone.
    Restore(&'static str),
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// An answer on behalf of the cluster.
    Answer(Answer),
    /// The command has to be sent to this node instead.
    Redirect(Node),
    /// The outcome is unknown: the command may have been carried out. The operator has to send it again.
    Unknown,
}

/// A message on the simulated network. The real programs encode these with the `messaging` crate.
#[derive(Clone)]
pub enum Message {
    /// Membership and updates.
    Gossip(GossipMessage),
    /// Consensus protocol.
    Consensus(Msg),
    /// To the counter holder: the sums that this gateway has added so far, by counter name.
    CounterCall { tag: u64, incarnation: u32, calls: Vec<(u64, f64)> },
    /// The totals for a [`Message::CounterCall`]; empty if the sender is not the holder.
    CounterReply { tag: u64, epoch: u64, totals: Vec<f64> },
    /// From a new holder: asks a gateway to hand over its sums.
    HandoverRequest { epoch: u64 },
    /// To a new holder, before the first call: the sums that the gateway reported to earlier holders.
    Handover { epoch: u64, incarnation: u32, entries: Vec<HandoverEntry> },
    /// Asks for the holder's clock.
    ClockRequest,
    /// The holder's reply to [`Message::ClockRequest`].
    ClockReply,
    /// An operator's command with its id.
    Command(u64, Command),
}

/// Sends gossip messages: probes as datagrams, everything else over a connection.
pub fn send_gossip(messages: Outgoing, out: &mut Effects) {
    out.extend(messages.into_iter().map(|(to, message)| match message {
        GossipMessage::Probe(_) => Effect::SendDatagram(to, Message::Gossip(message)),
        _ => Effect::SendReliable(to, Message::Gossip(message)),
    }));
}

/// What a process reports to the reference model.
pub enum Observation {
    /// A core node considers a value committed.
    Committed(Ballot, Rc<Value>),
    /// A core node won an epoch.
    WonEpoch(u64),
    /// A core node supports an epoch. If `durable`, it promised the epoch or voted in it; otherwise it answered the
    /// leader's heartbeat, which binds nobody.
    SupportedEpoch { epoch: u64, durable: bool },
    /// A core node whose disk was empty has learned the state of the others.
    StateLearned,
    /// A core node replied to a command.
    Replied(u64, Reply),
    /// The counter holder of an epoch received a gateway's sum.
    SumReceived { epoch: u64, from: Incarnation, name: u64, sum: f64 },
    /// The counter holder of an epoch received a gateway's handover for one counter. `incomplete` is true if the
    /// holder's counters were still incomplete.
    HandoverReceived { epoch: u64, from: Incarnation, entry: HandoverEntry, incomplete: bool },
    /// The counter holder of an epoch reported a total to a gateway.
    TotalReported { epoch: u64, name: u64, total: f64 },
    /// An edge node added to a counter.
    CounterIncreased { name: u64, amount: f64 },
    /// An edge node applied a document.
    DocumentApplied(Ballot, Rc<Document>),
    /// An edge node announced that it is ready.
    BecameReady,
    /// An edge node received the totals of counters, by name, from the holder of an epoch.
    TotalsReceived { epoch: u64, totals: Vec<(u64, f64)> },
}

/// A process of the cluster.
pub enum Process {
    /// A core process: consensus, commands and counters.
    Core(Box<Core>),
    /// An edge process: a gateway.
    Edge(Box<Edge>),
}

impl Process {
    /// The core process, if it is one.
    pub fn core(&self) -> Option<&Core> {
        match self {
            Process::Core(core) => Some(core),
            Process::Edge(_) => None,
        }
    }

    /// Asks a core process to shut down in an orderly way; edge processes ignore this.
    pub(crate) fn leave(&mut self, now: f64, out: &mut Effects) {
        if let Process::Core(core) = self {
            core.leave(now, out);
        }
    }

    /// The edge process, or `None` for a core process.
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

    fn handle_message(&mut self, now: f64, from: Node, message: Message, out: &mut Effects) {
        match (self, message) {
            (Process::Core(core), Message::Command(id, command)) => core.command(now, id, command, out),
            (Process::Core(core), message) => core.handle_message(now, from, message, out),
            (Process::Edge(edge), message) => edge.handle_message(now, from, message, out),
        }
    }

    fn save_finished(&mut self, now: f64, ticket: u64, ok: bool, out: &mut Effects) {
        if let Process::Core(core) = self {
            core.save_finished(now, ticket, ok, out);
        }
    }

    fn next_wake(&self) -> f64 {
        match self {
            Process::Core(core) => core.next_wake(),
            Process::Edge(edge) => edge.next_wake(),
        }
    }
}

/// The membership card of a machine. Machines are spread over two regions by their address.
pub fn card(node: Node, core: bool) -> Card {
    let region = format!("region-{}", node / 10 % 2);
    let address = |port| Some(std::net::SocketAddr::from((std::net::Ipv4Addr::from(node), port)));
    let (client_address, control_address) = if core { (None, address(2)) } else { (address(1), None) };
    let (zone, ready, leaving, drift, load) = (format!("{region}-a"), false, false, None, 0);
    Card { core, zone, region, client_address, control_address, ready, leaving, drift, load }
}
