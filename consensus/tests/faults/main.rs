//! Agreement under faults, in an emulated world; the same verdict in each run.

#[path = "../common/mod.rs"]
mod common;

mod cases;
mod changes;
mod check;
mod copies;
mod days;
mod founding;
mod leaving;
mod losses;
mod steps;
mod world;
