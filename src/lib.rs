//! lupinledge: the decisions of a quota-keeping gateway. No I/O: events in, actions out.

pub mod control;
mod count;
mod flight;
mod intake;
pub mod interface;
mod line;
mod pool;
pub mod state;
pub mod time;
