//! The packets by which processes monitor and describe each other.

use crate::Digest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The id of a process: the IPv4 address of its machine as a number.
pub type Node = u32;

/// What a process announces about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Card {
    /// Whether it is a member of the core (control plane); else it is an edge node.
    pub core: bool,
    /// The region of its machine.
    pub region: String,
    /// The zone of its machine.
    pub zone: String,
    /// The address for clients, at an edge node.
    pub client_address: Option<SocketAddr>,
    /// The address for servers and the operator, if this process serves them.
    pub control_address: Option<SocketAddr>,
    /// Whether it accepts the requests of its role.
    pub ready: bool,
    /// Whether it is shutting down in order.
    pub leaving: bool,
    /// Set while the process is out of service because the rules it routes by differ from those of the
    /// committed document.
    pub drift: Option<Box<DriftReport>>,
    /// Its load, in units of the host. It is sent with each packet; a change of only the load is not spread
    /// further.
    pub load: u16,
}

/// What a process that is out of service because of drift reports about its rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DriftReport {
    /// The index of the document.
    pub index: u64,
    /// The fingerprint of each part when the process went out of service.
    pub fingerprints: [u64; 5],
    /// The part that differed, as an index into `fingerprints`.
    pub part: u8,
    /// The code of what decided that the rules differ, in units of the host.
    pub judged_by: u8,
    /// The number of times it went out of service lately.
    pub recent_count: u16,
    /// When it went out of service, in seconds since 1970 by its own clock.
    pub since: u64,
}

/// The state of a process as assumed by others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// Reported as running, and not suspected.
    #[serde(rename = "a")]
    Alive,
    /// It did not answer; it has some time left to refute the suspicion.
    #[serde(rename = "s")]
    Suspect,
    /// Assumed to be ended, frozen or partitioned.
    #[serde(rename = "g")]
    Gone,
}

/// Another process as seen by this one.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its id.
    pub node: Node,
    /// Its present incarnation; a later start has a greater number.
    pub incarnation: u64,
    /// What it announced last about itself.
    pub card: Card,
    /// Its assumed state.
    pub standing: Standing,
    /// The time at which the standing changed last.
    pub since: f64,
    /// The time of the last packet from it; negative infinity if there was none.
    pub last_received: f64,
    /// The last digest received from it.
    pub digest: Digest,
}

/// A datagram of the membership protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender.
    pub from: Node,
    /// Its incarnation.
    pub incarnation: u64,
    /// The number of accusations that it has refuted in this incarnation.
    pub refutations: u32,
    /// The load of its card.
    pub load: u16,
    /// The digest of what it holds.
    pub digest: Digest,
    /// Its card with the card's version, as long as the receiver may not have it.
    pub card: Option<(u32, Card)>,
    /// The content of the packet.
    pub body: Body,
    /// Rumours about other processes, piggybacked on this packet.
    pub rumours: Vec<Rumour>,
}

/// The content of a packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks the receiver for a [`Body::Ack`].
    #[serde(rename = "p")]
    Ping {
        /// Sequence number, returned with the answer.
        sequence: u32,
    },
    /// Reports that `target` is alive.
    #[serde(rename = "a")]
    Ack {
        /// Sequence number of the request.
        sequence: u32,
        /// The process that answered.
        target: Node,
    },
    /// Asks the receiver to ping `target`.
    #[serde(rename = "r")]
    PingReq {
        /// Sequence number, returned with the answer.
        sequence: u32,
        /// The process to ping.
        target: Node,
    },
    /// Asks for the members that the sender does not have.
    #[serde(rename = "h")]
    MembersRequest {
        /// Sequence number, returned with the answer.
        sequence: u32,
        /// Whether the reply also includes the standing of the members in `known`, without their cards.
        include_known: bool,
        /// The members that the sender has, sorted.
        known: Vec<Node>,
    },
    /// A part of the reply to [`Body::MembersRequest`]; the members are in the packet's rumours.
    #[serde(rename = "m")]
    Members {
        /// Sequence number of the request.
        sequence: u32,
        /// The index of this part.
        part: u16,
        /// The number of parts.
        part_count: u16,
    },
}

/// A report about a process that is passed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rumour {
    /// The process that it is about.
    pub node: Node,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its refutation count in that incarnation.
    pub refutations: u32,
    /// Its assumed state.
    pub standing: Standing,
    /// The age of the suspicion, in hundredths of a second.
    pub age: u16,
    /// Its card with the card's version, if the receivers may not have it.
    pub card: Option<(u32, Card)>,
}
