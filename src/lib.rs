//! lupinledge: the decisions of a gateway that keeps the quotas of a shared API. No I/O: events in, actions out.

mod admission;
pub mod control;
mod counter;
mod dispatch;
pub mod interface;
mod pool;
mod queue;
pub mod state;
pub mod time;
