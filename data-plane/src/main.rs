//! The data plane of the system: takes clients' requests on an edge machine and passes them to servers.

mod door;
mod failures;
mod guard;
mod ledger;
mod metrics;
mod nest;
mod operations;
mod pools;
mod ready;
mod start;
mod terms;
mod wire;

use lupinledge_gossip::cli::{self, Program};

fn main() -> std::process::ExitCode {
    let (name, version) = ("lupinledge-forager", env!("CARGO_PKG_VERSION"));
    let what = "the data plane of lupinledge, on the edge machines";
    cli::main(Program { name, version, what, commands: &[] }, start::run)
}
