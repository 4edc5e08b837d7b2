//! Recovery of quota state when the counter fails: pure state machines, driven by the gateway with points in
//! time and the counter's answers. No I/O, no clock, no hash table iterated; chance only from a seed.
//!
//! - [`epoch`]: a counter that came back at zero, seen from one name's totals, and what to add back.
//! - [`share`]: this gateway's share of a customer's use, learned while the counter answers; a split suspected.
//! - [`allowance`]: what a gateway may spend alone while the counter can't be asked.
//! - [`ledger`]: units spent alone, reported once each by gateway and sequence.
//! - [`retry`]: calls to a failing counter, with jittered back-off and a budget a second.

pub mod allowance;
pub mod epoch;
pub mod ledger;
pub mod retry;
pub mod share;
