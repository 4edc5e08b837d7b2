//! Samples the edge processes' counters of admitted requests, by the basis of the admission.

use crate::cluster::Cluster;
use crate::record::{Observations, Process, Record, Seconds};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::Duration;

/// Interval between samples of a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Prefix of the metrics that are sampled.
const METRIC_PREFIX: &str = "admitted.";

/// Requests that an edge process admitted since the sample before.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// When the sample was taken.
    pub at: Seconds,
    /// The basis of the admission: the metric's name without its prefix.
    pub basis: String,
    pub count: u64,
}

/// Samples all edge processes until it is stopped. Requests admitted between the last sample and a kill are missed.
pub struct Sampler {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Sampler {
    /// Starts one thread for each edge process, so that a frozen process doesn't delay the samples of the others.
    pub fn start(record: &Arc<Record>, cluster: &Arc<Cluster>) -> Sampler {
        let stop = Arc::new(AtomicBool::new(false));
        let sample = |edge| {
            let (record, cluster, stop) = (record.clone(), cluster.clone(), stop.clone());
            spawn(move || sample_until_stopped(&record, &cluster, Process::Edge(edge), &stop))
        };
        let threads = (0..cluster.size().edges).map(sample).collect();
        Sampler { stop, threads }
    }

    /// Stops all threads and waits for their end.
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

/// The increase of a counter. A value below the previous one means that the process was restarted: its counters
/// began at zero again.
fn increase(previous: u64, current: u64) -> u64 {
    current.checked_sub(previous).unwrap_or(current)
}

/// Lines for the timeline: the start of each half second, and the sums in it by basis.
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
