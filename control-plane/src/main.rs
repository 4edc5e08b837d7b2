//! The control plane: agreement of the core, configurations, the list of servers, counters, the directory.

mod clock;
mod command;
mod consensus_driver;
mod control_plane;
mod counter_service;
mod directory;
mod executor;
mod http_server;
mod nodes;
mod operations;
mod operator_client;
mod platform;
mod recovery;
mod refusals;
mod server_list;

use control_plane::ControlPlane;
use eyre::WrapErr;
use http_server::HttpServer;
use lupinledge_gossip::cli::{self, Program, SubCommand};
use lupinledge_gossip::{log, settings};
use std::process::ExitCode;
use std::time::Duration;
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::timeout;

/// What is under way at SIGTERM has so long to end.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// To be struck from the members, where it is to be, takes two rounds of a majority; the platform's `grace_s` bears
/// this and the calls' end.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(3);

const COMMANDS: [SubCommand; 3] = [
    SubCommand {
        name: "nodes",
        arguments: "ADDRESS",
        what: "lists all nodes with the rules they go by",
        run: nodes::nodes_command,
    },
    SubCommand {
        name: "core",
        arguments: "ADDRESS...",
        what: "lists what each of these members of the core holds",
        run: recovery::core_command,
    },
    SubCommand {
        name: "found",
        arguments: "EPOCH.INDEX ADDRESS [ADDRESS...]",
        what: "founds the core anew from that state at the first of these, after losses beyond what is borne",
        run: recovery::found_command,
    },
];

fn main() -> ExitCode {
    let (name, version) = ("lupinledge-hive", env!("CARGO_PKG_VERSION"));
    let what = "the control plane of lupinledge, on the machines of the core";
    cli::main(Program { name, version, what, commands: &COMMANDS }, run)
}

fn run() -> eyre::Result<()> {
    log::start();
    let path = settings::path()?;
    let settings = settings::read(&path)?;
    // a `LocalSet` in a plain runtime would write to the wake-up pipe for each socket event
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.wrap_err("runtime")?.block_on(async move {
        let (mut terminate, mut interrupt) =
            (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let hangup = signal(SignalKind::hangup())?;
        // bound first: a disk that stalls keeps callers waiting, but not out
        let listeners = http_server::bind(&settings.listen)?;
        let starting = async {
            let control_plane = ControlPlane::start(settings).await?;
            let http_server = HttpServer::open(control_plane.clone(), listeners);
            let reloaded = control_plane.clone();
            tokio::task::spawn_local(settings::watch(path, hangup, move |settings| {
                reloaded.apply_settings(settings)
            }));
            Ok::<_, eyre::Report>((control_plane, http_server))
        };
        let mut stopped = std::pin::pin!(async {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        });
        let (control_plane, http_server) = tokio::select! {
            starting = starting => starting?,
            _ = stopped.as_mut() => return Ok(()),
        };
        stopped.await;
        // serving goes on meanwhile: a holder hands its duty over as it is struck
        control_plane.consensus.leave(REMOVAL_TIMEOUT).await;
        control_plane.leave();
        let _ = timeout(CLOSE_TIMEOUT, http_server.close()).await;
        control_plane.shut_down();
        Ok(())
    })
}
