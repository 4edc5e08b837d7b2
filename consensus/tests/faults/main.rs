//! Tests of consensus under faults on simulated machines; deterministic by seed.

#[path = "../common/mod.rs"]
mod common;

mod check;
mod losses;
mod membership_changes;
mod new_cluster;
mod random_faults;
mod restored_copies;
mod scenarios;
mod shutdown;
mod single_replica;
mod world;
