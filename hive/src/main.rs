//! The control plane: agreement of the core, configurations, the list of servers, counters, the directory.

mod agree;
mod brood;
mod clock;
mod command;
mod control;
mod counts;
mod hive;
mod log;
mod news;
mod platform;
mod run;
mod settings;
mod store;
mod swarm;

use control::Control;
use eyre::WrapErr;
use hive::Hive;
use lupinledge_propolis::{Config, Settings};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::timeout;

const HELP: &str = "\
lupinledge-hive: the control plane of lupinledge, on the machines of the core

    lupinledge-hive               runs by the settings file that LUPINLEDGE_NODE_FILE names
    lupinledge-hive check FILE    checks a settings file or a configuration, and names the field at fault
    lupinledge-hive --help
    lupinledge-hive --version

While it runs: SIGHUP has the settings read anew, SIGTERM ends it in order.";

/// What is under way at SIGTERM has so long to end.
const CALLS_END: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    match cli(pico_args::Arguments::from_env()) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("level=error event=failed fault={:?}", format!("{e:#}"));
            ExitCode::FAILURE
        }
    }
}

fn cli(mut args: pico_args::Arguments) -> eyre::Result<ExitCode> {
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    if args.contains(["-V", "--version"]) {
        println!("lupinledge-hive {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    let command = args.subcommand()?;
    let file = match command.as_deref() {
        Some("check") => Some(args.free_from_str::<String>().wrap_err("check")?),
        Some(other) => eyre::bail!("`{other}`: no such command; see --help"),
        None => None,
    };
    let rest = args.finish();
    eyre::ensure!(rest.is_empty(), "{rest:?}: not understood; see --help");
    match file {
        Some(file) => check(Path::new(&file)),
        None => run().map(|()| ExitCode::SUCCESS),
    }
}

/// Says what is wrong with a file, settings or configuration.
fn check(path: &Path) -> eyre::Result<ExitCode> {
    let bytes = std::fs::read(path).wrap_err_with(|| path.display().to_string())?;
    let value: serde_json::Value =
        serde_json::from_slice(&bytes).wrap_err_with(|| path.display().to_string())?;
    let (kind, fault) = match value.get("listeners").is_some() || value.get("base_version").is_some() {
        true => ("configuration", Config::read(&bytes).err().map(|f| f.to_string())),
        false => ("settings", Settings::parse(&bytes).err()),
    };
    Ok(match fault {
        None => {
            println!("kind={kind} ok=true");
            ExitCode::SUCCESS
        }
        Some(fault) => {
            println!("kind={kind} ok=false fault={fault:?}");
            ExitCode::FAILURE
        }
    })
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
            tokio::task::spawn_local(settings::watch(hive.clone(), path, hangup));
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
        hive.leave();
        let _ = timeout(CALLS_END, control.close()).await;
        hive.end();
        Ok(())
    })
}
