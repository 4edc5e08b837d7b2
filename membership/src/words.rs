//! What the processes tell each other about each other.

use crate::Digest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The IPv4 address of a machine as a number: the id of a process.
pub type Node = u32;

/// What a process tells about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Card {
    /// One of the core (control plane); else an edge node.
    pub core: bool,
    /// Region of its machine.
    pub region: String,
    /// Zone of its machine.
    pub zone: String,
    /// Where clients come, at an edge node.
    pub client_address: Option<SocketAddr>,
    /// Where servers and the operator come, if this is served.
    pub control_address: Option<SocketAddr>,
    /// It takes what its role takes.
    pub ready: bool,
    /// It is about to end in order.
    pub leaving: bool,
    /// It is out: it routes by other rules than it should, and says so.
    pub drift: Option<Box<DriftReport>>,
    /// How busy it is, in units of the host. It goes with each packet, and a change of it alone is not
    /// passed on.
    pub load: u16,
}

/// What a process that is out tells of its rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DriftReport {
    /// The document's index.
    pub index: u64,
    /// The print of each part, as found when it went out.
    pub fingerprints: [u64; 5],
    /// The part that differed, by its place in `print`.
    pub part: u8,
    /// Who judged, in units of the host.
    pub judged_by: u8,
    /// How often it was out lately.
    pub recent_count: u16,
    /// Seconds since 1970 when it went out, by its own clock.
    pub since: u64,
}

/// What is thought of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// Heard of, and nothing against it.
    #[serde(rename = "a")]
    Alive,
    /// It did not answer; it has some time left to say otherwise.
    #[serde(rename = "s")]
    Suspect,
    /// Taken for ended, frozen or cut off.
    #[serde(rename = "g")]
    Gone,
}

/// Another process as seen from here.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Which one.
    pub node: Node,
    /// Its present incarnation: a later start has a greater number.
    pub incarnation: u64,
    /// What it told last about itself.
    pub card: Card,
    /// What is thought of it.
    pub standing: Standing,
    /// Since when this standing.
    pub since: f64,
    /// Its last direct word; negative infinity if there was none.
    pub last_received: f64,
    /// The digest it told last itself.
    pub digest: Digest,
}

/// A datagram of the swarm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender.
    pub from: Node,
    /// Its incarnation.
    pub incarnation: u64,
    /// How often it had to say anew in this incarnation that it is there.
    pub turn: u32,
    /// The load of its card.
    pub load: u16,
    /// What it holds.
    pub digest: Digest,
    /// Its card with the card's issue, while the receiver may not have it.
    pub card: Option<(u32, Card)>,
    /// What this is about.
    pub body: Body,
    /// Words about others that ride along.
    pub rumours: Vec<Rumour>,
}

/// What a packet is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Are you there?
    #[serde(rename = "p")]
    Ping {
        /// Comes back with the answer.
        n: u32,
    },
    /// The process `of` is there.
    #[serde(rename = "a")]
    Ack {
        /// Number of the question.
        n: u32,
        /// Who answered it.
        of: Node,
    },
    /// Ask that one for me, please.
    #[serde(rename = "r")]
    PingReq {
        /// Comes back with the answer.
        n: u32,
        /// Whom to ask.
        of: Node,
    },
    /// Tell me whom you know besides these.
    #[serde(rename = "h")]
    Hello {
        /// Comes back with the answer.
        n: u32,
        /// Also what is thought of those that the asker knows, without their cards.
        all: bool,
        /// Those that the asker knows, sorted.
        known: Vec<Node>,
    },
    /// A piece of the answer to [`Body::Hello`]; the rumours are the content.
    #[serde(rename = "m")]
    Members {
        /// Number of the question.
        n: u32,
        /// Which piece.
        part: u16,
        /// How many pieces.
        of: u16,
    },
}

/// A word about some process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rumour {
    /// About whom.
    pub node: Node,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its turn in that incarnation.
    pub turn: u32,
    /// What is thought of it.
    pub standing: Standing,
    /// For how long it is suspected, in hundredths of a second.
    pub age: u16,
    /// Its card with the card's issue, where that is news.
    pub card: Option<(u32, Card)>,
}
