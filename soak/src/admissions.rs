//! What edge processes say of the requests that they sent: by half a second, on what their admission rested.

use crate::cluster::Cluster;
use crate::record::{Process, Record, Seconds, Seen};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::Duration;

/// How often a process is asked.
const EVERY: Duration = Duration::from_millis(250);
/// Figures of the programs that are kept begin so.
const PREFIX: &str = "admitted.";

/// Requests that an edge process sent since it was asked before.
#[derive(Clone, Debug)]
pub struct Admitted {
    pub at: Seconds,
    /// What the admission rested on.
    pub basis: String,
    pub count: u64,
}

/// Asks all edge processes until its run stops. What a process sent between the last answer and a kill is not seen.
pub struct Sampler {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Sampler {
    /// One thread an edge process: one that is frozen holds up no other.
    pub fn start(record: &Arc<Record>, cluster: &Arc<Cluster>) -> Sampler {
        let stop = Arc::new(AtomicBool::new(false));
        let sample = |edge| {
            let (record, cluster, stop) = (record.clone(), cluster.clone(), stop.clone());
            spawn(move || sample(&record, &cluster, Process::Edge(edge), &stop))
        };
        let threads = (0..cluster.size().edges).map(sample).collect();
        Sampler { stop, threads }
    }

    /// Ends when no thread asks any more.
    pub fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
    }
}

fn sample(record: &Record, cluster: &Cluster, process: Process, stop: &AtomicBool) {
    let mut before = BTreeMap::new();
    while !stop.load(Ordering::SeqCst) {
        if let Some(figures) = cluster.figures(process) {
            let figures: BTreeMap<String, u64> =
                figures.into_iter().filter(|(name, _)| name.starts_with(PREFIX)).collect();
            let at = record.now();
            let admitted = figures.iter().map(|(name, count)| Admitted {
                at,
                basis: name[PREFIX.len()..].to_string(),
                count: since(before.get(name).copied().unwrap_or(0), *count),
            });
            record.seen().admitted.extend(admitted.filter(|a| a.count > 0));
            before = figures;
        }
        sleep(EVERY);
    }
}

/// What came on top; a figure that is smaller than before is another life's.
fn since(before: u64, now: u64) -> u64 {
    now.checked_sub(before).unwrap_or(now)
}

/// Lines for a timeline: the begin of each half second, and the sums in it.
pub fn by_half_second(seen: &Seen) -> Vec<(Seconds, String)> {
    let mut sums: BTreeMap<u64, BTreeMap<&str, u64>> = BTreeMap::new();
    for admitted in &seen.admitted {
        let half = sums.entry((admitted.at * 2.0) as u64).or_default();
        *half.entry(&admitted.basis).or_default() += admitted.count;
    }
    sums.into_iter().map(|(half, by_basis)| (half as f64 / 2.0, format!("admitted {by_basis:?}"))).collect()
}
