//! Operations that run once per key, whichever gateway a request reaches; no I/O.
//!
//! Before a gateway sends a request that bears an operation key, it claims the key at the voters, the members of the
//! core. A voter grants a key to one claim at a time and answers once that is on its disk; a claim that a majority of
//! the voters granted is the only one that may run. A voter that lost its disk learns from the others before it
//! votes, and votes count together only where they were given under the same [`Electorate`].
//!
//! [`voter::Voter`] is the voter's side and [`claims::Claims`] the gateway's; [`operation_table::OperationTable`] is what a gateway
//! knows of its own operations.

pub mod claims;
pub mod electorate;
pub mod message;
pub mod operation_table;
pub mod record;
mod strikes;
pub mod voter;

pub use electorate::{Electorate, ElectorateId, Incarnation};
pub use message::{Message, Progress, Verdict};
pub use record::{ClaimId, Entry, Fingerprint, Key, Record};

/// The IPv4 address of a machine as number.
pub type Node = u32;
