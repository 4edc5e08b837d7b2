//! The system's pure parts together in one process, on virtual time, with steps of machines, disks and network,
//! and a slow plain model that says what must hold; for tests alone. See `docs/model.md`.
//!
//! [`World`] with [`Net`] and [`Disk`] drives any state machines ([`StateMachine`]). [`StateMachine`]s of the whole system are
//! [`core::Core`] and [`edge::Edge`]; [`Cluster`] plays a schedule ([`Schedule`]) of steps and orders against them, and
//! [`ReferenceModel`] checks what they say and do. [`Flaw`]s are planted to see that the checks catch them.

pub mod absent_member;
mod cluster;
pub mod core;
mod core_counters;
mod counter_model;
mod disk;
pub mod edge;
mod flaw;
mod net;
mod partitions;
mod patch_flaws;
mod planned_shutdowns;
pub mod process;
mod reference_model;
pub mod resends;
mod runner;
mod schedule;
mod steps;
mod world;

pub use cluster::Cluster;
pub use disk::Disk;
pub use flaw::Flaw;
pub use net::Net;
pub use partitions::{run_partitions, PartitionCoverage, PartitionSchedule};
pub use reference_model::{Coverage, ReferenceModel};
pub use runner::{failure_report, run_schedule, RunSummary};
pub use schedule::{Schedule, Step};
pub use world::{Effect, Machine, Observer, StartContext, StateMachine, World};

/// The id of a process: the IPv4 address of its machine as a number.
pub type Node = lupinledge_consensus::Node;
