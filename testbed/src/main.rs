//! `lupinledge-lab`: runs scenarios against real gateways with emulated servers, counter and discovery.

use clap::{Parser, Subcommand};
use lupinledge_testbed::fleet::GatewayCommand;
use lupinledge_testbed::gateway_settings::GatewaySettings;
use lupinledge_testbed::report;
use lupinledge_testbed::run::{self, RunOptions};
use lupinledge_testbed::scenario::Scenario;
use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "lupinledge-lab",
    version,
    about = "Test lab of lupinledge: emulated servers, counter and discovery, load generation, rule checks, reports"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Args, Clone)]
struct Common {
    /// The gateway program to start; default: `lupinledge` in the folder of this program.
    #[arg(long)]
    gateway: Option<PathBuf>,
    /// Start the deliberately broken gateway of the lab instead, to see the rule checks detect it.
    #[arg(long, conflicts_with = "gateway")]
    broken: bool,
    /// Base gateway configuration (JSON, as `example/config.json`); default: that of the example.
    #[arg(long)]
    config: Option<PathBuf>,
    /// Folder for the report; default: `lab-out/NAME`.
    #[arg(long)]
    out: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one scenario and writes its report; exits with 1 if a rule was violated.
    Run {
        scenario: PathBuf,
        #[command(flatten)]
        common: Common,
    },
    /// Runs two scenarios (or one twice, with `--gateway-b` or `--config-b`) and compares their figures.
    Compare {
        a: PathBuf,
        b: Option<PathBuf>,
        #[command(flatten)]
        common: Common,
        /// The gateway program of the second run.
        #[arg(long)]
        gateway_b: Option<PathBuf>,
        /// The gateway configuration of the second run.
        #[arg(long)]
        config_b: Option<PathBuf>,
    },
    /// Runs a scenario at several multiples of its load.
    Sweep {
        scenario: PathBuf,
        #[command(flatten)]
        common: Common,
        #[arg(long, value_delimiter = ',', default_value = "0.25,0.5,1,2,4")]
        times: Vec<f64>,
        /// Sweep the length of every fault instead, s (the load stays as written).
        #[arg(long, value_delimiter = ',', conflicts_with = "times")]
        outage: Vec<f64>,
    },
    /// Validates a scenario file and prints what it would run.
    Check { scenario: PathBuf },
    /// Serves as the deliberately broken gateway (started by the lab).
    #[command(hide = true)]
    BrokenGateway,
}

/// Reads and validates a scenario file.
fn read_scenario(path: &PathBuf) -> Result<Scenario, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Scenario::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// The options of a run; `gateway` and `config` take precedence over the common ones.
fn run_options(
    c: &Common,
    gateway: Option<&PathBuf>,
    config: Option<&PathBuf>,
) -> Result<RunOptions, String> {
    let build = if c.broken {
        let me = std::env::current_exe().map_err(|e| e.to_string())?;
        GatewayCommand { program: me, args: vec!["broken-gateway".into()] }
    } else {
        gateway.or(c.gateway.as_ref()).map_or_else(GatewayCommand::next_to_this_program, |p| GatewayCommand {
            program: p.clone(),
            args: vec![],
        })
    };
    let text = match config.or(c.config.as_ref()) {
        Some(p) => std::fs::read_to_string(p).map_err(|e| format!("{}: {e}", p.display()))?,
        None => include_str!("../../example/config.json").to_string(),
    };
    let settings = GatewaySettings::parse(&text).map_err(|e| format!("gateway configuration: {e}"))?;
    Ok(RunOptions { build, settings, progress: std::io::stderr().is_terminal() })
}

/// The folder for the report.
fn output_dir(c: &Common, name: &str) -> PathBuf {
    c.out.clone().unwrap_or_else(|| PathBuf::from("lab-out").join(name))
}

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_env_filter(
            tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into()),
        )
        .init();
    if let Err(e) = ctrlc::set_handler(|| run::STOP.store(true, std::sync::atomic::Ordering::SeqCst)) {
        tracing::warn!("failed to install the handler for SIGINT and SIGTERM: {e}");
    }
    match execute(Cli::parse().command) {
        _ if run::stopped() => ExitCode::from(130),
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            tracing::error!("{e}");
            ExitCode::from(2)
        }
    }
}

/// Executes a command; `Ok(false)` if a rule was violated.
fn execute(command: Command) -> Result<bool, String> {
    match command {
        Command::Run { scenario: path, common } => {
            let s = read_scenario(&path)?;
            let summary = run::run(&s, &run_options(&common, None, None)?)?;
            let dir = output_dir(&common, &s.name);
            run::write_report(&summary, &dir)?;
            println!("{}", summary.markdown());
            println!("written to {}", dir.display());
            Ok(summary.rules_kept())
        }
        Command::Compare { a, b, common, gateway_b, config_b } => {
            let scenario_a = read_scenario(&a)?;
            let mut scenario_b = read_scenario(b.as_ref().unwrap_or(&a))?;
            if b.is_none() {
                scenario_b.name = format!("{} (B)", scenario_a.name);
            }
            let summary_a = run::run(&scenario_a, &run_options(&common, None, None)?)?;
            let summary_b =
                run::run(&scenario_b, &run_options(&common, gateway_b.as_ref(), config_b.as_ref())?)?;
            let dir = output_dir(&common, &format!("{}-compare", scenario_a.name));
            run::write_report(&summary_a, &dir.join("a"))?;
            run::write_report(&summary_b, &dir.join("b"))?;
            let table = report::compare(&summary_a, &summary_b);
            std::fs::write(dir.join("compare.md"), &table).map_err(|e| e.to_string())?;
            println!("{table}");
            Ok(summary_a.rules_kept() && summary_b.rules_kept())
        }
        Command::Sweep { scenario: path, common, times, outage } => {
            let s = read_scenario(&path)?;
            let options = run_options(&common, None, None)?;
            let mut rows = vec![];
            let by_outage = !outage.is_empty();
            let values = if by_outage { outage } else { times };
            for value in values.into_iter().take_while(|_| !run::stopped()) {
                let mut one = s.clone();
                if by_outage {
                    one.faults.iter_mut().for_each(|f| f.span = value);
                    one.name = format!("{} {value}s", s.name);
                } else {
                    one.load.rate *= value;
                    one.name = format!("{} x{value}", s.name);
                }
                one.check()?;
                rows.push((value, run::run(&one, &options)?));
            }
            let dir = output_dir(&common, &format!("{}-sweep", s.name));
            let axis = if by_outage { "outage, s" } else { "load, times the scenario's" };
            for (value, summary) in &rows {
                run::write_report(
                    summary,
                    &dir.join(if by_outage { format!("{value}s") } else { format!("x{value}") }),
                )?;
            }
            std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
            let table = report::sweep(&rows, axis);
            std::fs::write(dir.join("sweep.md"), format!("{table}\n![sweep](sweep.svg)\n"))
                .map_err(|e| e.to_string())?;
            lupinledge_testbed::plot::sweep(&rows, axis, &dir.join("sweep.svg"))
                .map_err(|e| e.to_string())?;
            println!("{table}");
            Ok(rows.iter().all(|r| r.1.rules_kept()))
        }
        Command::Check { scenario: path } => {
            let s = read_scenario(&path)?;
            let settings = GatewaySettings::parse(include_str!("../../example/config.json"))?;
            let due = lupinledge_testbed::arrivals::arrivals(&s, &settings)?;
            println!(
                "{}: {} gateways, {} servers, {} requests, {} faults",
                s.name,
                s.gateways,
                s.server_count(),
                due.len(),
                s.faults.len()
            );
            Ok(true)
        }
        Command::BrokenGateway => lupinledge_testbed::broken_gateway::serve().map(|_| true),
    }
}
