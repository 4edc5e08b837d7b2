//! The command line that both programs have.

use crate::log;
use eyre::WrapErr;
use lupinledge_config::{Config, Settings};
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

/// What a program says of itself.
pub struct Program {
    /// Its name.
    pub name: &'static str,
    /// Its version.
    pub version: &'static str,
    /// What it is, in a line.
    pub what: &'static str,
    /// What it can be asked for beside that.
    pub commands: &'static [SubCommand],
}

/// A command that asks running processes for something and prints what they say.
pub struct SubCommand {
    /// Its name.
    pub name: &'static str,
    /// Its arguments, as the help shows them.
    pub arguments: &'static str,
    /// What it does, in a line.
    pub what: &'static str,
    /// Runs it with its arguments.
    pub run: fn(&[String]) -> eyre::Result<String>,
}

/// Runs a program's `main`: `run` without arguments, or what the arguments ask for.
pub fn main(about: Program, run: fn() -> eyre::Result<()>) -> ExitCode {
    let code = cli(&about, pico_args::Arguments::from_env(), run);
    log::flush();
    code.unwrap_or_else(|e| {
        // nothing is to be done where this can't be written either
        let _ = writeln!(std::io::stderr(), "level=error event=failed fault={:?}", format!("{e:#}"));
        ExitCode::FAILURE
    })
}

fn cli(
    about: &Program,
    mut args: pico_args::Arguments,
    run: fn() -> eyre::Result<()>,
) -> eyre::Result<ExitCode> {
    let Program { name, version, what, commands } = about;
    if args.contains(["-h", "--help"]) {
        println!(
            "{name}: {what}\n\n    \
             {name}               runs by the settings file that LUPINLEDGE_NODE_FILE names\n    \
             {name} check FILE    checks a settings file or a configuration, and names the field at fault\n    \
             {}{name} --help\n    \
             {name} --version\n\n\
             While it runs: SIGHUP has the settings read anew, SIGTERM ends it in order.",
            commands
                .iter()
                .map(|c| format!("{name} {} {}\n        {}\n    ", c.name, c.arguments, c.what))
                .collect::<String>()
        );
        return Ok(ExitCode::SUCCESS);
    }
    if args.contains(["-V", "--version"]) {
        println!("{name} {version}");
        return Ok(ExitCode::SUCCESS);
    }
    let command = args.subcommand()?;
    if let Some(asked) = commands.iter().find(|c| Some(c.name) == command.as_deref()) {
        let rest = args.finish().into_iter().map(|arg| arg.to_string_lossy().into_owned());
        print!("{}", (asked.run)(&rest.collect::<Vec<_>>())?);
        return Ok(ExitCode::SUCCESS);
    }
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
