//! The data plane of the system: takes clients' requests on an edge machine and passes them to servers.

mod client_handler;
mod counter_client;
mod drift_responder;
mod failure_log;
mod metrics;
mod node_state;
mod operations;
mod pools;
mod readiness;
mod server_protocol;
mod shutdown;
mod stable_indexes;
mod start;
mod terms;

use lupinledge_gossip::cli::{self, Program};

fn main() -> std::process::ExitCode {
    let (name, version) = ("lupinledge-forager", env!("CARGO_PKG_VERSION"));
    let summary = "the data plane of lupinledge, on the edge machines";
    cli::main(Program { name, version, summary, commands: &[] }, start::run)
}
