//! Who is there: probes, second opinions, suspicion, and digests of news; no I/O.
//!
//! A [`Swarm`] is one process's view of all others. Its host gives it the time (seconds of a steady clock),
//! what was heard, and sends what it hands back; see [`Swarm::tick`], [`Swarm::next_wake`] and
//! [`Swarm::heard`].

mod digest;
mod edges;
mod hear;
mod news;
mod probes;
mod swarm;
mod table;
mod ways;
mod words;

pub use digest::Digest;
pub use swarm::{Settings, Swarm};
pub use words::{Body, Card, Member, Node, Packet, Rumour, Standing};
