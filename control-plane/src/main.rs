//! The control plane: agreement of the core, configurations, the list of servers, counters, the directory.

mod agree;
mod brood;
mod clock;
mod command;
mod control;
mod counts;
mod directory;
mod founding;
mod hive;
mod nodes;
mod operations;
mod operator;
mod platform;
mod refusals;
mod run;

use control::Control;
use eyre::WrapErr;
use hive::Hive;
use lupinledge_gossip::cli::{self, Program, SubCommand};
use lupinledge_gossip::{log, settings};
use std::process::ExitCode;
use std::time::Duration;
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::timeout;

/// What is under way at SIGTERM has so long to end.
const CALLS_END: Duration = Duration::from_secs(1);
/// To be struck from the members, where it is to be, takes two rounds of a majority; the platform's `grace_s` bears
/// this and the calls' end.
const STRUCK: Duration = Duration::from_secs(3);

const COMMANDS: [SubCommand; 3] = [
    SubCommand {
        name: "nodes",
        arguments: "ADDRESS",
        what: "lists all nodes with the rules they go by",
        run: nodes::ask,
    },
    SubCommand {
        name: "core",
        arguments: "ADDRESS...",
        what: "lists what each of these members of the core holds",
        run: founding::show,
    },
    SubCommand {
        name: "found",
        arguments: "EPOCH.INDEX ADDRESS [ADDRESS...]",
        what: "founds the core anew from that state at the first of these, after losses beyond what is borne",
        run: founding::found,
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
        let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let hangup = signal(SignalKind::hangup())?;
        // bound first: a disk that stalls keeps callers waiting, but not out
        let gates = control::bind(&settings.listen)?;
        let served = async {
            let hive = Hive::start(settings).await?;
            let control = Control::open(hive.clone(), gates);
            let told = hive.clone();
            tokio::task::spawn_local(settings::watch(path, hangup, move |s| told.retell(s)));
            Ok::<_, eyre::Report>((hive, control))
        };
        let mut end = std::pin::pin!(async {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        });
        let (hive, control) = tokio::select! {
            served = served => served?,
            _ = end.as_mut() => return Ok(()),
        };
        end.await;
        // serving goes on meanwhile: a holder hands its duty over as it is struck
        hive.agree.leave(STRUCK).await;
        hive.leave();
        let _ = timeout(CALLS_END, control.close()).await;
        hive.end();
        Ok(())
    })
}
