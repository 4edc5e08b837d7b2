//! `lupinledge-lab`: plays scenarios against real gateways behind emulated srvs, counter and discovery.

use clap::{Parser, Subcommand};
use lupinledge_testbed::fleet::Build;
use lupinledge_testbed::report;
use lupinledge_testbed::run::{self, Bench};
use lupinledge_testbed::scenario::Scenario;
use lupinledge_testbed::terms::LabTerms;
use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "lupinledge-lab",
    version,
    about = "The lab of lupinledge: emulated srvs, counter and discovery, load, rule checks, reports"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Args, Clone)]
struct Common {
    /// The gateway program to start; default: `lupinledge` beside this program.
    #[arg(long)]
    gateway: Option<PathBuf>,
    /// Start the deliberately broken gateway of the lab instead (to see the rule checks find it).
    #[arg(long, conflicts_with = "gateway")]
    broken: bool,
    /// The gateway configuration to start from (JSON, as `example/config.json`); default: the example's.
    #[arg(long)]
    config: Option<PathBuf>,
    /// Folder for the report; default `lab-out/NAME`.
    #[arg(long)]
    out: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Plays one scenario and writes its report; exits 1 when a rule broke.
    Run {
        scenario: PathBuf,
        #[command(flatten)]
        common: Common,
    },
    /// Plays two scenarios (or one twice, with `--gateway-b` or `--config-b`) and sets them side by side.
    Compare {
        a: PathBuf,
        b: Option<PathBuf>,
        #[command(flatten)]
        common: Common,
        /// The second run's gateway program.
        #[arg(long)]
        gateway_b: Option<PathBuf>,
        /// The second run's gateway configuration.
        #[arg(long)]
        config_b: Option<PathBuf>,
    },
    /// Plays a scenario at several multiples of its load.
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
    /// Checks a scenario file and says what it would play.
    Check { scenario: PathBuf },
    /// Serves as the deliberately broken gateway (started by the lab itself).
    #[command(hide = true)]
    BrokenGateway,
}

fn scenario(path: &PathBuf) -> Result<Scenario, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Scenario::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn bench(c: &Common, gateway: Option<&PathBuf>, config: Option<&PathBuf>) -> Result<Bench, String> {
    let build = if c.broken {
        let me = std::env::current_exe().map_err(|e| e.to_string())?;
        Build { program: me, args: vec!["broken-gateway".into()] }
    } else {
        gateway
            .or(c.gateway.as_ref())
            .map_or_else(Build::beside, |p| Build { program: p.clone(), args: vec![] })
    };
    let text = match config.or(c.config.as_ref()) {
        Some(p) => std::fs::read_to_string(p).map_err(|e| format!("{}: {e}", p.display()))?,
        None => include_str!("../../example/config.json").to_string(),
    };
    let terms = LabTerms::parse(&text).map_err(|e| format!("gateway configuration: {e}"))?;
    Ok(Bench { build, terms, progress: std::io::stderr().is_terminal() })
}

fn out(c: &Common, name: &str) -> PathBuf {
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
        tracing::warn!("no handler for SIGINT and SIGTERM: {e}");
    }
    match act(Cli::parse().command) {
        _ if run::stopped() => ExitCode::from(130),
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            tracing::error!("{e}");
            ExitCode::from(2)
        }
    }
}

/// Does what was asked; `Ok(false)` where a rule broke.
fn act(command: Command) -> Result<bool, String> {
    match command {
        Command::Run { scenario: path, common } => {
            let s = scenario(&path)?;
            let sum = run::run(&s, &bench(&common, None, None)?)?;
            let dir = out(&common, &s.name);
            run::write(&sum, &dir)?;
            println!("{}", sum.markdown());
            println!("written to {}", dir.display());
            Ok(sum.kept())
        }
        Command::Compare { a, b, common, gateway_b, config_b } => {
            let sa = scenario(&a)?;
            let mut sb = scenario(b.as_ref().unwrap_or(&a))?;
            if b.is_none() {
                sb.name = format!("{} (B)", sa.name);
            }
            let ra = run::run(&sa, &bench(&common, None, None)?)?;
            let rb = run::run(&sb, &bench(&common, gateway_b.as_ref(), config_b.as_ref())?)?;
            let dir = out(&common, &format!("{}-compare", sa.name));
            run::write(&ra, &dir.join("a"))?;
            run::write(&rb, &dir.join("b"))?;
            let table = report::compare(&ra, &rb);
            std::fs::write(dir.join("compare.md"), &table).map_err(|e| e.to_string())?;
            println!("{table}");
            Ok(ra.kept() && rb.kept())
        }
        Command::Sweep { scenario: path, common, times, outage } => {
            let s = scenario(&path)?;
            let b = bench(&common, None, None)?;
            let mut rows = vec![];
            let by_outage = !outage.is_empty();
            let xs = if by_outage { outage } else { times };
            for x in xs.into_iter().take_while(|_| !run::stopped()) {
                let mut one = s.clone();
                if by_outage {
                    one.faults.iter_mut().for_each(|f| f.span = x);
                    one.name = format!("{} {x}s", s.name);
                } else {
                    one.load.rate *= x;
                    one.name = format!("{} x{x}", s.name);
                }
                one.check()?;
                rows.push((x, run::run(&one, &b)?));
            }
            let dir = out(&common, &format!("{}-sweep", s.name));
            let axis = if by_outage { "outage, s" } else { "load, times the scenario's" };
            for (x, sum) in &rows {
                run::write(sum, &dir.join(if by_outage { format!("{x}s") } else { format!("x{x}") }))?;
            }
            std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
            let table = report::sweep(&rows, axis);
            std::fs::write(dir.join("sweep.md"), format!("{table}\n![sweep](sweep.svg)\n"))
                .map_err(|e| e.to_string())?;
            lupinledge_testbed::plot::sweep(&rows, axis, &dir.join("sweep.svg"))
                .map_err(|e| e.to_string())?;
            println!("{table}");
            Ok(rows.iter().all(|r| r.1.kept()))
        }
        Command::Check { scenario: path } => {
            let s = scenario(&path)?;
            let terms = LabTerms::parse(include_str!("../../example/config.json"))?;
            let due = lupinledge_testbed::arrivals::arrivals(&s, &terms)?;
            println!(
                "{}: {} gateways, {} srvs, {} reqs, {} faults",
                s.name,
                s.gateways,
                s.srv_count(),
                due.len(),
                s.faults.len()
            );
            Ok(true)
        }
        Command::BrokenGateway => lupinledge_testbed::broken::serve().map(|_| true),
    }
}
