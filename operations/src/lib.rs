//! Operations that run once per key, whichever gateway a request reaches; no I/O.
//!
//! Before a gateway sends a request with an operation key, it claims the key at the voters, which are the members of
//! the core. A voter grants a key to one claim at a time and replies once the grant is on its disk; only a claim
//! granted by a majority of the voters may run. A voter that lost its disk fetches the records of the other voters
//! before it votes again, and votes are counted together only if they were cast under the same [`Electorate`]. After
//! members were removed, the remaining voters fetch each other's records before a majority of them could miss a claim.
//!
//! [`voter::Voter`] implements the voter's side and [`claims::Claims`] the gateway's;
//! [`operation_table::OperationTable`] holds a gateway's own operations.

pub mod claims;
pub mod electorate;
pub mod message;
pub mod operation_table;
pub mod record;
mod record_coverage;
pub mod voter;

pub use electorate::{Electorate, ElectorateId, Incarnation};
pub use message::{Message, Progress, Verdict};
pub use record::{ClaimId, Entry, Fingerprint, Key, Record};

/// The IPv4 address of a machine as a number.
pub type Node = u32;
