//! The command line of the system's programs.

use crate::log;
use eyre::WrapErr;
use lupinledge_config::{Config, Settings};
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

/// The description of a program.
pub struct Program {
    /// Its name.
    pub name: &'static str,
    /// Its version.
    pub version: &'static str,
    /// A one-line summary.
    pub what: &'static str,
    /// The commands that it has besides those of every program.
    pub commands: &'static [SubCommand],
}

/// A command that queries running processes and prints the answer.
pub struct SubCommand {
    /// Its name.
    pub name: &'static str,
    /// Its arguments, as shown in the help.
    pub arguments: &'static str,
    /// A one-line summary.
    pub what: &'static str,
    /// Runs the command with its arguments and returns the text to print.
    pub run: fn(&[String]) -> eyre::Result<String>,
}

/// Runs a program's `main`: `run` if there are no arguments, or the command that they name.
pub fn main(program: Program, run: fn() -> eyre::Result<()>) -> ExitCode {
    let exit_code = cli(&program, pico_args::Arguments::from_env(), run);
    log::flush();
    exit_code.unwrap_or_else(|e| {
        // If standard error can't be written, the error can't be reported.
        let _ = writeln!(std::io::stderr(), "level=error event=failed fault={:?}", format!("{e:#}"));
        ExitCode::FAILURE
    })
}

fn cli(
    program: &Program,
    mut args: pico_args::Arguments,
    run: fn() -> eyre::Result<()>,
) -> eyre::Result<ExitCode> {
    let Program { name, version, what, commands } = program;
    if args.contains(["-h", "--help"]) {
        println!(
            "{name}: {what}\n\n    \
             {name}               runs with the settings file named by LUPINLEDGE_NODE_FILE\n    \
             {name} check FILE    checks a settings file or a configuration, and names the invalid field\n    \
             {}{name} --help\n    \
             {name} --version\n\n\
             SIGHUP reloads the settings, SIGTERM shuts the program down in order.",
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
    if let Some(selected) = commands.iter().find(|c| Some(c.name) == command.as_deref()) {
        let arguments = args.finish().into_iter().map(|arg| arg.to_string_lossy().into_owned());
        print!("{}", (selected.run)(&arguments.collect::<Vec<_>>())?);
        return Ok(ExitCode::SUCCESS);
    }
    let file = match command.as_deref() {
        Some("check") => Some(args.free_from_str::<String>().wrap_err("check")?),
        Some(other) => eyre::bail!("unknown command `{other}`; see --help"),
        None => None,
    };
    let rest = args.finish();
    eyre::ensure!(rest.is_empty(), "unexpected arguments {rest:?}; see --help");
    match file {
        Some(file) => check(Path::new(&file)),
        None => run().map(|()| ExitCode::SUCCESS),
    }
}

/// Checks a file with settings or a configuration and prints the result.
fn check(path: &Path) -> eyre::Result<ExitCode> {
    let bytes = std::fs::read(path).wrap_err_with(|| path.display().to_string())?;
    let value: serde_json::Value =
        serde_json::from_slice(&bytes).wrap_err_with(|| path.display().to_string())?;
    let (kind, fault) = match value.get("listeners").is_some() || value.get("base_version").is_some() {
        true => ("configuration", Config::parse(&bytes).err().map(|f| f.to_string())),
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
