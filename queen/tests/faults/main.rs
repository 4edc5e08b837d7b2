//! Agreement under faults, in an emulated world; the same verdict in each run.

mod cases;
mod check;
mod copies;
mod days;
mod leaving;
mod losses;
mod steps;
mod world;
