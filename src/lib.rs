//! lupinledge: the decisions of a quota-keeping gateway. No I/O: events in, actions out.

pub mod control;
mod count;
mod flight;
mod intake;
mod line;
pub mod link;
mod pool;
pub mod tables;
pub mod time;
