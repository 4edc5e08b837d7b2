//! Command line of the soak test: runs many seeds, several at a time, and prints the violations.

use eyre::{eyre, WrapErr};
use lupinledge_soak::checks::Scope;
use lupinledge_soak::client::MAX_LIMITED_DRAWS;
use lupinledge_soak::cluster::Programs;
use lupinledge_soak::faults::Kind;
use lupinledge_soak::run::{run, Plan};
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const HELP: &str = "lupinledge-soak: runs the real programs on loopback under random faults and checks the system's promises

    lupinledge-soak --programs DIR [--from SEED] [--seeds N] [--seconds S] [--clients N] [--keyed N] [--jobs N]
                  [--edges N] [--cores N] [--limited N] [--troubles KIND,KIND...] [--pause MS..MS]
                  [--keep DIR] [--keep-all]

--programs: the folder of lupinledge-hive and lupinledge-forager, built with the feature `cuts`
--from: the first seed (1); --seeds: number of seeds (1); --seconds: how long troubles are injected in each run (20)
--clients: clients that keep to the protocol, about twelve requests a second each (10)
--keyed: clients of the keyed route (4)
--edges, --cores: processes of each kind (3 and 3); --limited: how many of 20 requests belong to the
tenant with a quota (5)
--troubles: kinds of trouble (all); --pause: milliseconds between troubles within a spell (150..1100)
--jobs: concurrent runs (1); --keep: the folder for settings, disks and logs (a temporary one). The files of a run
without a violation are removed, unless --keep-all is given.
";

fn main() -> ExitCode {
    match run_seeds(pico_args::Arguments::from_env()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}

/// Parses kinds of trouble that are separated by commas.
fn parse_kinds(text: &str) -> eyre::Result<Vec<Kind>> {
    text.split(',').map(Kind::from_str).collect()
}

/// Parses a range of milliseconds, `from..to`.
fn parse_pause(text: &str) -> eyre::Result<Range<u64>> {
    let (from, to) = text.split_once("..").ok_or_else(|| eyre!("{text}: expected FROM..TO"))?;
    let (from, to): (u64, u64) = (from.parse()?, to.parse()?);
    eyre::ensure!(from < to, "{text}: the range is empty");
    Ok(from..to)
}

/// Runs all seeds; returns the number of runs with a violation.
fn run_seeds(mut args: pico_args::Arguments) -> eyre::Result<u64> {
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(0);
    }
    let programs: PathBuf = args.value_from_str("--programs").wrap_err("--programs")?;
    let from: u64 = args.opt_value_from_str("--from")?.unwrap_or(1);
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(1);
    let seconds: u64 = args.opt_value_from_str("--seconds")?.unwrap_or(20);
    let mut defaults = Plan::with_defaults(
        from,
        Duration::from_secs(seconds),
        Programs::within(&programs),
        Scope::All,
        PathBuf::new(),
    );
    defaults.clients = args.opt_value_from_str("--clients")?.unwrap_or(defaults.clients);
    defaults.keyed = args.opt_value_from_str("--keyed")?.unwrap_or(defaults.keyed);
    defaults.limited = args.opt_value_from_str("--limited")?.unwrap_or(defaults.limited);
    eyre::ensure!(defaults.limited <= MAX_LIMITED_DRAWS, "--limited: at most {MAX_LIMITED_DRAWS}");
    defaults.size.edges = args.opt_value_from_str("--edges")?.unwrap_or(defaults.size.edges);
    defaults.size.cores = args.opt_value_from_str("--cores")?.unwrap_or(defaults.size.cores);
    defaults.size.check()?;
    if let Some(kinds) = args.opt_value_from_fn("--troubles", parse_kinds)? {
        defaults.schedule.kinds = kinds;
    }
    if let Some(pause) = args.opt_value_from_fn("--pause", parse_pause)? {
        defaults.schedule.pause = pause;
    }
    let jobs: u64 = args.opt_value_from_str("--jobs")?.unwrap_or(1);
    let keep_all = args.contains("--keep-all");
    let folder_root: Option<PathBuf> = args.opt_value_from_str("--keep")?;
    let unknown_arguments = args.finish();
    eyre::ensure!(unknown_arguments.is_empty(), "unknown arguments {unknown_arguments:?}; see --help");
    let default_name = format!("lupinledge-soak-{}", std::process::id());
    let folder_root = folder_root.unwrap_or_else(|| std::env::temp_dir().join(default_name));
    let (next_seed, failed_runs) = (AtomicU64::new(from), AtomicU64::new(0));
    let worker = || -> eyre::Result<()> {
        loop {
            let seed = next_seed.fetch_add(1, Ordering::SeqCst);
            if seed >= from + seeds {
                return Ok(());
            }
            let folder = folder_root.join(format!("seed-{seed}"));
            let plan = Plan { seed, folder: folder.clone(), ..defaults.clone() };
            let verdict = run(&plan).wrap_err_with(|| format!("seed {seed}"))?;
            println!("seed={seed} violations={} {}", verdict.violations.len(), verdict.summary);
            verdict.violations.iter().for_each(|v| println!("seed={seed} {v}"));
            if !verdict.violations.is_empty() {
                failed_runs.fetch_add(1, Ordering::SeqCst);
            } else if !keep_all {
                let _ = std::fs::remove_dir_all(&folder);
            }
        }
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..jobs.max(1)).map(|_| scope.spawn(worker)).collect();
        workers.into_iter().try_for_each(|w| w.join().map_err(|_| eyre!("a run panicked"))?)
    })?;
    let failed_runs = failed_runs.into_inner();
    println!("runs={seeds} broken={failed_runs}");
    Ok(failed_runs)
}
