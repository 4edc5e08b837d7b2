//! The control plane of lupinledge: consensus of the core, configurations, the server list, shared counters, votes on
//! operation keys, and the directory for clients.

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

/// Time that requests in progress get to complete after SIGTERM.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Upper bound on waiting for the own removal from the member list, which takes two majority round trips if one is due.
/// The platform's `grace_s` must cover this and [`CLOSE_TIMEOUT`].
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(3);

const COMMANDS: [SubCommand; 3] = [
    SubCommand {
        name: "nodes",
        arguments: "ADDRESS",
        summary: "lists all nodes and the state of their rules",
        run: nodes::nodes_command,
    },
    SubCommand {
        name: "core",
        arguments: "ADDRESS...",
        summary: "lists the state of each of these core members",
        run: recovery::core_command,
    },
    SubCommand {
        name: "found",
        arguments: "EPOCH.INDEX ADDRESS [ADDRESS...]",
        summary:
            "forms a new core from that state at the first address, after a permanent loss of the majority",
        run: recovery::found_command,
    },
];

fn main() -> ExitCode {
    let (name, version) = ("lupinledge-hive", env!("CARGO_PKG_VERSION"));
    let summary = "the control plane of lupinledge, run on each core machine";
    cli::main(Program { name, version, summary, commands: &COMMANDS }, run)
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
        // the listeners are bound first: while the disk stalls, callers wait instead of being refused
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
        // requests are still served meanwhile; a leader hands leadership over as it is removed
        control_plane.consensus.leave(REMOVAL_TIMEOUT).await;
        control_plane.leave();
        let _ = timeout(CLOSE_TIMEOUT, http_server.close()).await;
        control_plane.shut_down();
        Ok(())
    })
}
