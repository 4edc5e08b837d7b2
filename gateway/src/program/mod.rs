//! The program: start, configuration, signals and shutdown.

pub mod config;
mod shadow;
pub mod signals;
pub mod start;
