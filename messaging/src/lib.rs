//! Messages between the processes of the system: their types and encoding, frames, links over TCP, and
//! datagrams.

pub mod clock;
mod counts;
mod frame;
mod link;
pub mod list;
mod partitions;
mod transport;
mod wire_message;

pub use counts::{Counts, KINDS};
pub use transport::Transport;
pub use wire_message::{
    decode, encode, epoch_of_round, from_fixed, round_of_epoch, to_fixed, NameReport, NameTotal, WireMessage,
    WirePatch,
};

/// The id of a process: the IPv4 address of its machine as a number.
pub type Node = lupinledge_membership::Node;
