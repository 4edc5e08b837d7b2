//! Model checker for the whole system, used by tests only. It runs the system's deterministic parts together in one
//! process on virtual time, injects faults of machines, disks and network, and checks every observation against a
//! slow and simple reference model. See `docs/model.md`.
//!
//! [`World`], with [`Net`] and [`Disk`], drives any [`StateMachine`]s. The state machines of the whole system are
//! [`core::Core`] and [`edge::Edge`]. [`Cluster`] applies a [`Schedule`] of faults and commands to them, and
//! [`ReferenceModel`] checks what they report. A [`Flaw`] is injected to test that the checks detect it.

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
