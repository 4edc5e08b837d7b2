//! Membership and failure detection in the manner of SWIM, and the exchange of updates by digests; no I/O.
//!
//! A [`Membership`] is one process's view of all others. Its host passes in the time (seconds of a steady
//! clock) and the packets received, and sends the packets returned; see [`Membership::tick`],
//! [`Membership::next_wake`] and [`Membership::receive`]. [`Disseminator`] adds the store of updates and
//! selects the processes that they are sent to.

mod digest;
mod disseminator;
mod edge_count;
pub mod history;
mod membership;
mod packet;
pub mod patch;
mod probes;
mod receive;
mod rumour_queue;
mod schedule;
mod table;
mod update_store;

pub use digest::Digest;
pub use disseminator::{
    Disseminator, Effects, GossipMessage, Outgoing, Source, FANOUT_OTHER_REGIONS, FANOUT_OWN_REGION,
    MAX_RECENT_REQUESTS, REQUEST_INTERVAL,
};
pub use membership::{Membership, Settings};
pub use packet::{Body, Card, DriftReport, Member, Node, Packet, Rumour, Standing};
pub use patch::Patch;
pub use update_store::{Applied, Patches, Update, UpdateStore, Version};
