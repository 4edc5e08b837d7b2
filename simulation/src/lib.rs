//! The system's pure parts together in one process, on virtual time, with faults of machines, disks and network,
//! and a slow plain model that says what must hold; for tests alone. See `docs/model.md`.
//!
//! [`World`] with [`Net`] and [`Disk`] drives any state machines ([`StateMachine`]). [`StateMachine`]s of the whole system are
//! [`core::Core`] and [`edge::Edge`]; [`Site`] plays a schedule ([`Plan`]) of faults and orders against them, and
//! [`Truth`] checks what they say and do. [`Flaw`]s are planted to see that the checks catch them.

pub mod away;
pub mod core;
mod counts;
mod cuts;
mod disk;
pub mod edge;
mod faults;
mod flaw;
mod leaving;
mod net;
mod patched;
mod plan;
mod play;
pub mod process;
pub mod resends;
mod site;
mod sums;
mod truth;
mod world;

pub use cuts::{play_cut, CutPlan, CutSeen};
pub use disk::Disk;
pub use flaw::Flaw;
pub use net::Net;
pub use plan::{Plan, Step};
pub use play::{play, report, Course};
pub use site::Site;
pub use truth::{Seen, Truth};
pub use world::{Effect, Machine, Observer, StartContext, StateMachine, World};

/// The id of a process: the IPv4 address of its machine as a number.
pub type Node = lupinledge_consensus::Node;
