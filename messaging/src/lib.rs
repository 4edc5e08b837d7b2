//! Messages between the own processes: words, framing, links over TCP and datagrams.

pub mod clock;
mod counts;
mod cuts;
mod frame;
mod link;
pub mod list;
mod post;
mod word;

pub use counts::{Counts, KINDS};
pub use post::Transport;
pub use word::{
    decode, encode, epoch_of_round, from_fixed, round_of_epoch, to_fixed, NameReport, NameTotal, Patched,
    WireMessage,
};

/// The id of a process: the IPv4 address of its machine as a number.
pub type Node = lupinledge_membership::Node;
