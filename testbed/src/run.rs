//! One run: the emulator up, the gateways up and ready, the schedule and the load from one point of time, the
//! rules checked, the report written.

use crate::arrivals::arrivals;
use crate::emu::world::World;
use crate::fleet::{peak_kib, Build, Fleet};
use crate::load;
use crate::record::Record;
use crate::report::Summary;
use crate::scenario::Scenario;
use crate::terms::LabTerms;
use indicatif::{ProgressBar, ProgressStyle};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};

/// Set on SIGINT or SIGTERM: clients send nothing more, the run ends as usual and its gateways are ended with it,
/// rather than left running when the lab is stopped half way.
pub static STOP: AtomicBool = AtomicBool::new(false);

/// Whether the lab was asked to stop.
pub fn stopped() -> bool {
    STOP.load(Ordering::SeqCst)
}

pub struct Bench {
    pub build: Build,
    pub terms: LabTerms,
    /// Whether a progress bar is drawn (on a terminal, long runs).
    pub progress: bool,
}

/// Plays a scenario; the error says what could not be started.
pub fn run(s: &Scenario, b: &Bench) -> Result<Summary, String> {
    let due = arrivals(s, &b.terms)?;
    let total = due.len() as u64;
    let mut world = World::start(s, &b.terms).map_err(|e| format!("the emulator: {e}"))?;
    let mut fleet = Fleet::start(&b.build, s, &b.terms, &world)?;
    tracing::info!(scenario = %s.name, gateways = s.gateways, reqs = total, "load begins");
    let start = world.shared.begin();
    world.play();
    let bar = b.progress.then(|| {
        let bar = ProgressBar::new(total);
        bar.set_style(
            ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} reqs {elapsed}").expect("fixed"),
        );
        bar.set_message(s.name.clone());
        bar
    });
    let reqs = load::drive(s, &b.terms, due, &fleet.addrs, start, bar.clone());
    if let Some(bar) = bar {
        bar.finish();
    }
    let crashed = fleet.crashed();
    for g in &crashed {
        tracing::warn!(gateway = g, log = %fleet.log(*g), "a gateway ended by itself");
    }
    let peaks = fleet.peaks();
    fleet.stop();
    let shared = world.end();
    let (arrivals, dropped) = shared.take_arrivals();
    let record =
        Record { reqs, arrivals, gateway_peak_kib: peaks, lab_peak_kib: peak_kib("/proc/self/status") };
    let sum = Summary::of(s, &b.terms, &record, crashed, dropped);
    tracing::info!(scenario = %s.name, kept = sum.kept(), goodput = sum.goodput, missed = sum.missed, "run ends");
    Ok(sum)
}

/// Writes `report.md`, `figures.csv`, `timeline.csv` and `timeline.svg` into `dir`.
pub fn write(sum: &Summary, dir: &Path) -> Result<(), String> {
    std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let put =
        |name: &str, text: String| std::fs::write(dir.join(name), text).map_err(|e| format!("{name}: {e}"));
    let mut md = sum.markdown();
    md.push_str("\n![timeline](timeline.svg)\n");
    put("report.md", md)?;
    put("figures.csv", sum.figures_csv())?;
    put("timeline.csv", sum.timeline_csv())?;
    crate::plot::timeline(sum, &dir.join("timeline.svg")).map_err(|e| format!("timeline.svg: {e}"))
}
