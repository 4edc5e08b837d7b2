//! One run: starts the emulator and the gateways, runs the fault schedule and the load from a common start time,
//! checks the rules and writes the report.

use crate::arrivals::arrivals;
use crate::emulator::environment::Environment;
use crate::fleet::{peak_kib, Fleet, GatewayCommand};
use crate::gateway_settings::GatewaySettings;
use crate::load;
use crate::record::Record;
use crate::report::Summary;
use crate::scenario::Scenario;
use indicatif::{ProgressBar, ProgressStyle};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};

/// Set on SIGINT or SIGTERM: clients stop sending, and the run ends in the normal way, which also ends its gateways.
/// Without this they would keep running after the lab is stopped.
pub static STOP: AtomicBool = AtomicBool::new(false);

/// Whether the lab received SIGINT or SIGTERM.
pub fn stopped() -> bool {
    STOP.load(Ordering::SeqCst)
}

/// How to run scenarios.
pub struct RunOptions {
    /// The command that starts a gateway.
    pub build: GatewayCommand,
    /// The gateway settings.
    pub settings: GatewaySettings,
    /// Whether to draw a progress bar.
    pub progress: bool,
}

/// Runs a scenario; the error describes what could not be started.
pub fn run(scenario: &Scenario, options: &RunOptions) -> Result<Summary, String> {
    let schedule = arrivals(scenario, &options.settings)?;
    let total = schedule.len() as u64;
    let mut environment = Environment::start(scenario, &options.settings)
        .map_err(|e| format!("failed to start the emulator: {e}"))?;
    let mut fleet = Fleet::start(&options.build, scenario, &options.settings, &environment)?;
    tracing::info!(scenario = %scenario.name, gateways = scenario.gateways, reqs = total, "load begins");
    let start = environment.run_state.restart_clock();
    environment.play_schedule();
    let bar = options.progress.then(|| {
        let bar = ProgressBar::new(total);
        bar.set_style(
            ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} reqs {elapsed}")
                .expect("a constant template is valid"),
        );
        bar.set_message(scenario.name.clone());
        bar
    });
    let requests = load::drive(scenario, &options.settings, schedule, &fleet.addrs, start, bar.clone());
    if let Some(bar) = bar {
        bar.finish();
    }
    let crashed = fleet.crashed();
    for g in &crashed {
        tracing::warn!(gateway = g, log = %fleet.log(*g), "a gateway crashed");
    }
    let peak_memory_kib = fleet.peak_memory_kib();
    fleet.stop();
    let run_state = environment.end();
    let (arrivals, dropped) = run_state.take_arrivals();
    let record = Record {
        requests,
        arrivals,
        gateway_peak_kib: peak_memory_kib,
        lab_peak_kib: peak_kib("/proc/self/status"),
    };
    let summary = Summary::of(scenario, &options.settings, &record, crashed, dropped);
    tracing::info!(
        scenario = %scenario.name,
        kept = summary.rules_kept(),
        goodput = summary.goodput,
        missed = summary.missed,
        "run ends"
    );
    Ok(summary)
}

/// Writes `report.md`, `figures.csv`, `timeline.csv` and `timeline.svg` into `dir`.
pub fn write_report(summary: &Summary, dir: &Path) -> Result<(), String> {
    std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let write_file =
        |name: &str, text: String| std::fs::write(dir.join(name), text).map_err(|e| format!("{name}: {e}"));
    let mut md = summary.markdown();
    md.push_str("\n![timeline](timeline.svg)\n");
    write_file("report.md", md)?;
    write_file("figures.csv", summary.figures_csv())?;
    write_file("timeline.csv", summary.timeline_csv())?;
    crate::plot::timeline(summary, &dir.join("timeline.svg")).map_err(|e| format!("timeline.svg: {e}"))
}
