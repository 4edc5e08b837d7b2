//! What edge processes say of the requests that they sent: by half a second, on what their admission rested.

use crate::cluster::Cluster;
use crate::record::{Observations, Process, Record, Seconds};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::Duration;

/// How often a process is asked.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Figures of the programs that are kept begin so.
const METRIC_PREFIX: &str = "admitted.";

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
            spawn(move || sample_until_stopped(&record, &cluster, Process::Edge(edge), &stop))
        };
        let threads = (0..cluster.size().edges).map(sample).collect();
        Sampler { stop, threads }
    }

    /// Ends when no thread asks any more.
    pub fn stop_and_join(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
    }
}

fn sample_until_stopped(record: &Record, cluster: &Cluster, process: Process, stop: &AtomicBool) {
    let mut previous = BTreeMap::new();
    while !stop.load(Ordering::SeqCst) {
        if let Some(metrics) = cluster.metrics(process) {
            let metrics: BTreeMap<String, u64> =
                metrics.into_iter().filter(|(name, _)| name.starts_with(METRIC_PREFIX)).collect();
            let at = record.now();
            let admitted = metrics.iter().map(|(name, count)| Admitted {
                at,
                basis: name[METRIC_PREFIX.len()..].to_string(),
                count: increase(previous.get(name).copied().unwrap_or(0), *count),
            });
            record.observations().admitted.extend(admitted.filter(|a| a.count > 0));
            previous = metrics;
        }
        sleep(SAMPLE_INTERVAL);
    }
}

/// What came on top; a figure that is smaller than before is another life's.
fn increase(previous: u64, current: u64) -> u64 {
    current.checked_sub(previous).unwrap_or(current)
}

/// Lines for a timeline: the begin of each half second, and the sums in it.
pub fn sums_by_half_second(observations: &Observations) -> Vec<(Seconds, String)> {
    let mut sums: BTreeMap<u64, BTreeMap<&str, u64>> = BTreeMap::new();
    for admitted in &observations.admitted {
        let half_second = sums.entry((admitted.at * 2.0) as u64).or_default();
        *half_second.entry(&admitted.basis).or_default() += admitted.count;
    }
    sums.into_iter()
        .map(|(half_second, by_basis)| (half_second as f64 / 2.0, format!("admitted {by_basis:?}")))
        .collect()
}
