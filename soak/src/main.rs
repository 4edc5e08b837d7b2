//! The soak test from the command line: many seeds, some at a time, and what was broken.

use eyre::{eyre, WrapErr};
use lupinledge_soak::checks::Scope;
use lupinledge_soak::client::LIMITED_PLACES_MOST;
use lupinledge_soak::cluster::Programs;
use lupinledge_soak::faults::Kind;
use lupinledge_soak::run::{run, Plan};
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const HELP: &str = "lupinledge-soak: the real programs on loopback under random faults, and a verdict

    lupinledge-soak --programs DIR [--from SEED] [--seeds N] [--seconds S] [--clients N] [--keyed N] [--jobs N]
                  [--edges N] [--cores N] [--limited N] [--troubles KIND,KIND...] [--pause MS..MS]
                  [--keep DIR] [--keep-all]

--programs: the folder of lupinledge-hive and lupinledge-forager, built with the feature `cuts`
--from: the first seed (1); --seeds: how many (1); --seconds: how long troubles go on in each run (20)
--clients: those that keep to the protocol, some twelve requests a second each (10)
--keyed: clients of the keyed route (4)
--edges, --cores: processes of each kind (3 and 3); --limited: of 20 requests, those of the tenant with a quota (5)
--troubles: kinds of trouble (all); --pause: milliseconds from one to the next within a spell (150..1100)
--jobs: runs at a time (1); --keep: the folder for settings, disks and logs (a temporary one). What a run without a
violation left is removed, unless --keep-all is given.
";

fn main() -> ExitCode {
    match soak(pico_args::Arguments::from_env()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}

/// Kinds of trouble, with commas between them.
fn kinds(text: &str) -> eyre::Result<Vec<Kind>> {
    text.split(',').map(Kind::from_str).collect()
}

/// A span of milliseconds, `from..to`.
fn pause(text: &str) -> eyre::Result<Range<u64>> {
    let (from, to) = text.split_once("..").ok_or_else(|| eyre!("{text}: not FROM..TO"))?;
    let (from, to): (u64, u64) = (from.parse()?, to.parse()?);
    eyre::ensure!(from < to, "{text}: nothing lies between");
    Ok(from..to)
}

/// Plays all seeds; returns how many runs broke a promise.
fn soak(mut args: pico_args::Arguments) -> eyre::Result<u64> {
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(0);
    }
    let programs: PathBuf = args.value_from_str("--programs").wrap_err("--programs")?;
    let from: u64 = args.opt_value_from_str("--from")?.unwrap_or(1);
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(1);
    let seconds: u64 = args.opt_value_from_str("--seconds")?.unwrap_or(20);
    let mut usual = Plan::usual(
        from,
        Duration::from_secs(seconds),
        Programs::within(&programs),
        Scope::All,
        PathBuf::new(),
    );
    usual.clients = args.opt_value_from_str("--clients")?.unwrap_or(usual.clients);
    usual.keyed = args.opt_value_from_str("--keyed")?.unwrap_or(usual.keyed);
    usual.limited = args.opt_value_from_str("--limited")?.unwrap_or(usual.limited);
    eyre::ensure!(usual.limited <= LIMITED_PLACES_MOST, "--limited: {LIMITED_PLACES_MOST} at most");
    usual.size.edges = args.opt_value_from_str("--edges")?.unwrap_or(usual.size.edges);
    usual.size.cores = args.opt_value_from_str("--cores")?.unwrap_or(usual.size.cores);
    usual.size.check()?;
    if let Some(kinds) = args.opt_value_from_fn("--troubles", kinds)? {
        usual.schedule.kinds = kinds;
    }
    if let Some(pause) = args.opt_value_from_fn("--pause", pause)? {
        usual.schedule.pause = pause;
    }
    let jobs: u64 = args.opt_value_from_str("--jobs")?.unwrap_or(1);
    let keep_all = args.contains("--keep-all");
    let keep: Option<PathBuf> = args.opt_value_from_str("--keep")?;
    let rest = args.finish();
    eyre::ensure!(rest.is_empty(), "{rest:?}: not understood; see --help");
    let own = format!("lupinledge-soak-{}", std::process::id());
    let keep = keep.unwrap_or_else(|| std::env::temp_dir().join(own));
    let (next, broken) = (AtomicU64::new(from), AtomicU64::new(0));
    let worker = || -> eyre::Result<()> {
        loop {
            let seed = next.fetch_add(1, Ordering::SeqCst);
            if seed >= from + seeds {
                return Ok(());
            }
            let folder = keep.join(format!("seed-{seed}"));
            let plan = Plan { seed, folder: folder.clone(), ..usual.clone() };
            let verdict = run(&plan).wrap_err_with(|| format!("seed {seed}"))?;
            println!("seed={seed} violations={} {}", verdict.violations.len(), verdict.summary);
            verdict.violations.iter().for_each(|v| println!("seed={seed} {v}"));
            if !verdict.violations.is_empty() {
                broken.fetch_add(1, Ordering::SeqCst);
            } else if !keep_all {
                let _ = std::fs::remove_dir_all(&folder);
            }
        }
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..jobs.max(1)).map(|_| scope.spawn(worker)).collect();
        workers.into_iter().try_for_each(|w| w.join().map_err(|_| eyre!("a run broke"))?)
    })?;
    let broken = broken.into_inner();
    println!("runs={seeds} broken={broken}");
    Ok(broken)
}
