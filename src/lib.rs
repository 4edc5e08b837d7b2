//! lupinledge: the decisions of a quota-keeping gateway. No I/O: events in, actions out.

pub mod control;
pub mod link;
pub mod tables;
pub mod time;
