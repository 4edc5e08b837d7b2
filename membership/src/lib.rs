//! Who is there: probes, second opinions, suspicion, and digests of news; no I/O.
//!
//! A [`Swarm`] is one process's view of all others. Its host gives it the time (seconds of a steady clock),
//! what was heard, and sends what it hands back; see [`Swarm::tick`], [`Swarm::next_wake`] and
//! [`Swarm::heard`]. [`Spread`] adds what is held of the news, and whom it is passed on to.

mod digest;
mod edges;
mod hear;
mod held;
pub mod patch;
mod probes;
pub mod shelf;
mod spread;
mod swarm;
mod table;
mod talk;
mod ways;
mod words;

pub use digest::Digest;
pub use held::{Opened, Patches, Update, UpdateStore, Version};
pub use patch::Patch;
pub use spread::{Disseminator, Effects, GossipMessage, Outgoing, Source, ABROAD, ASKED, ASK_AGAIN, NEAR};
pub use swarm::{Membership, Settings};
pub use words::{Body, Card, DriftReport, Member, Node, Packet, Rumour, Standing};
