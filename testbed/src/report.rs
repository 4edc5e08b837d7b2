//! The summary of a run and its tables: Markdown for people, CSV for tools. All values come from the emulation.

use crate::gateway_settings::GatewaySettings;
use crate::record::{Outcome, Record};
use crate::rules::{self, Rule, Verdict};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Requests sent in one bucket of the timeline.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// Start of the bucket, s.
    pub t: f64,
    /// Requests that passed.
    pub passed: usize,
    /// Requests that were denied.
    pub denied: usize,
    /// Requests that failed, got no answer or a late or foreign one.
    pub other: usize,
    /// Requests that missed the response target of their class.
    pub missed: usize,
    /// Median latency of passed requests, ms.
    pub p50_ms: f64,
    /// 99th percentile of the latency of passed requests, ms.
    pub p99_ms: f64,
}

/// The results of a run.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Name of the scenario.
    pub name: String,
    /// Seed of the scenario.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of servers.
    pub servers: usize,
    /// Duration of the load, s.
    pub duration_s: f64,
    /// Number of requests by outcome.
    pub counts: BTreeMap<Outcome, usize>,
    /// Number of requests.
    pub requests: usize,
    /// Passed requests per second of load.
    pub goodput: f64,
    /// Median latency of passed requests, ms.
    pub p50_ms: f64,
    /// 99th percentile of the latency of passed requests, ms.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency of passed requests, ms.
    pub p999_ms: f64,
    /// Requests that did not pass within the response target of their class, without those given up.
    pub missed: usize,
    /// 99th percentile of the delay between schedule and sending, ms: if it exceeds a few ms, the load generator and
    /// not the gateway is the limit.
    pub lag_p99_ms: f64,
    /// Violations of each rule.
    pub verdict: Verdict,
    /// Requests by time of sending.
    pub timeline: Vec<Bucket>,
    /// Largest peak resident memory of a gateway, KiB.
    pub gateway_peak_kib: u64,
    /// Peak resident memory of the lab, KiB.
    pub lab_peak_kib: u64,
    /// Indexes of the gateways that crashed.
    pub crashed: Vec<usize>,
    /// Arrivals that were counted but not recorded.
    pub dropped_arrivals: usize,
    /// Largest overshoot of a customer's quota in a window (0.05 is 5% over).
    pub quota_over: f64,
    /// Number of windows more than `QUOTA_BOUND` over the quota.
    pub quota_windows_over: usize,
    /// Number of windows of customers with a quota.
    pub quota_windows: usize,
    /// Denials of customers below the share `ROOM_SHARE` of their quota.
    pub denied_with_room: usize,
    /// Fault windows: start, end, label.
    pub faults: Vec<(f64, f64, String)>,
}

/// Largest acceptable overshoot of a quota: issue 16 requires that no customer exceeds its quota by more than 5% in
/// a window.
pub const QUOTA_BOUND: f64 = 0.05;
/// Usage below which a denial is an error: issue 16 requires that no customer is denied below 95% of its quota.
pub const ROOM_SHARE: f64 = 0.95;

/// A histogram of latencies in microseconds, up to one minute, with three significant figures.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("constant bounds are valid")
}

/// A quantile in milliseconds; 0 for an empty histogram.
fn ms(h: &Histogram<u64>, q: f64) -> f64 {
    if h.is_empty() {
        0.0
    } else {
        h.value_at_quantile(q) as f64 / 1000.0
    }
}

impl Summary {
    /// Evaluates the record of a run.
    pub fn of(
        s: &Scenario,
        settings: &GatewaySettings,
        record: &Record,
        crashed: Vec<usize>,
        dropped: usize,
    ) -> Summary {
        let verdict = rules::check(record, settings, s.grace_s);
        let mut counts: BTreeMap<Outcome, usize> = Outcome::ALL.iter().map(|e| (*e, 0)).collect();
        let (mut all_latencies, mut lags) = (histogram(), histogram());
        let buckets = ((s.duration_s + 4.0) / s.bucket_s).ceil() as usize;
        let mut timeline: Vec<(Bucket, Histogram<u64>)> = (0..buckets)
            .map(|i| (Bucket { t: i as f64 * s.bucket_s, ..Bucket::default() }, histogram()))
            .collect();
        let mut missed = 0;
        for r in &record.requests {
            *counts.entry(r.outcome).or_default() += 1;
            let us = (r.latency() * 1e6).clamp(1.0, 60e6) as u64;
            let _ = lags.record(((r.sent - r.due).max(0.0) * 1e6).clamp(1.0, 60e6) as u64);
            let slo = settings.classes.get(r.class as usize).map_or(f64::INFINITY, |c| c.slo);
            let miss = r.outcome != Outcome::GaveUp && (r.outcome != Outcome::Passed || r.latency() > slo);
            missed += miss as usize;
            let Some((bucket, latencies)) =
                timeline.get_mut(((r.sent / s.bucket_s) as usize).min(buckets - 1))
            else {
                continue;
            };
            bucket.missed += miss as usize;
            match r.outcome {
                Outcome::Passed => {
                    bucket.passed += 1;
                    let _ = all_latencies.record(us);
                    let _ = latencies.record(us);
                }
                Outcome::Denied => bucket.denied += 1,
                Outcome::GaveUp => {}
                _ => bucket.other += 1,
            }
        }
        let timeline = timeline
            .into_iter()
            .map(|(mut b, h)| {
                (b.p50_ms, b.p99_ms) = (ms(&h, 0.5), ms(&h, 0.99));
                b
            })
            .collect();
        let passed = counts[&Outcome::Passed];
        let windows = crate::quota::windows(record, settings, s.quota_window_s, ROOM_SHARE);
        let (quota_over, quota_windows_over) = crate::quota::worst(&windows, QUOTA_BOUND);
        Summary {
            quota_over,
            quota_windows_over,
            quota_windows: windows.len(),
            denied_with_room: windows.iter().map(|w| w.denied_with_room).sum(),
            name: s.name.clone(),
            seed: s.seed,
            gateways: s.gateways,
            servers: s.server_count(),
            duration_s: s.duration_s,
            requests: record.requests.len(),
            goodput: passed as f64 / s.duration_s,
            p50_ms: ms(&all_latencies, 0.5),
            p99_ms: ms(&all_latencies, 0.99),
            p999_ms: ms(&all_latencies, 0.999),
            missed,
            lag_p99_ms: ms(&lags, 0.99),
            counts,
            verdict,
            timeline,
            gateway_peak_kib: record.gateway_peak_kib.iter().copied().max().unwrap_or(0),
            lab_peak_kib: record.lab_peak_kib,
            crashed,
            dropped_arrivals: dropped,
            faults: s
                .faults
                .iter()
                .map(|f| (f.at, f.end(), format!("{} on {}", f.kind.label(), f.target)))
                .collect(),
        }
    }

    /// Whether no rule was violated and no gateway crashed.
    pub fn rules_kept(&self) -> bool {
        rules::no_violations(&self.verdict) && self.crashed.is_empty()
    }

    /// Share of requests that missed their response target, without those given up.
    pub fn missed_share(&self) -> f64 {
        let counted = self.requests - self.counts[&Outcome::GaveUp];
        if counted == 0 {
            0.0
        } else {
            self.missed as f64 / counted as f64
        }
    }

    /// The main figures by name, in a fixed order, as `compare` and `figures_csv` list them.
    pub fn figures(&self) -> Vec<(&'static str, f64)> {
        let mut list = vec![
            ("reqs", self.requests as f64),
            ("goodput /s", self.goodput),
            ("missed targets", self.missed_share()),
            ("p50 ms", self.p50_ms),
            ("p99 ms", self.p99_ms),
            ("p99.9 ms", self.p999_ms),
        ];
        list.extend(Outcome::ALL.iter().map(|e| (e.label(), self.counts[e] as f64)));
        list.extend(Rule::ALL.iter().map(|r| (r.label(), self.verdict[r].count as f64)));
        list.push(("quota: worst share over", self.quota_over));
        list.push(("quota: windows over 5%", self.quota_windows_over as f64));
        list.push(("quota: denied with room", self.denied_with_room as f64));
        list.push(("gateway peak MiB", self.gateway_peak_kib as f64 / 1024.0));
        list
    }

    /// The report as Markdown.
    pub fn markdown(&self) -> String {
        let mut m = String::new();
        let _ = writeln!(m, "# Lab run `{}` (emulated)\n", self.name);
        let _ = writeln!(
            m,
            "{} gateways, {} srvs, seed {}, {:.0} s of load. Verdict: **{}**.\n",
            self.gateways,
            self.servers,
            self.seed,
            self.duration_s,
            if self.rules_kept() { "no rule broken" } else { "RULE BROKEN" }
        );
        if !self.crashed.is_empty() {
            let _ = writeln!(m, "Gateways that ended by themselves: {:?}.\n", self.crashed);
        }
        let _ = writeln!(m, "| rule | breaks | first seen |\n| --- | --- | --- |");
        for (rule, b) in &self.verdict {
            let _ = writeln!(m, "| {} | {} | {} |", rule.label(), b.count, b.examples.join("; "));
        }
        let _ = writeln!(m, "\n| figure | value |\n| --- | --- |");
        for (name, v) in self.figures().into_iter().filter(|(n, _)| !n.starts_with(char::is_numeric)) {
            let _ = writeln!(m, "| {name} | {} |", round(v));
        }
        let _ = writeln!(m, "| load tool lag p99 ms | {} |", round(self.lag_p99_ms));
        let _ = writeln!(m, "| lab peak MiB | {} |", round(self.lab_peak_kib as f64 / 1024.0));
        if !self.faults.is_empty() {
            let _ = writeln!(m, "\n| fault | from s | to s |\n| --- | --- | --- |");
            for (a, b, what) in &self.faults {
                let _ = writeln!(m, "| {what} | {a:.1} | {b:.1} |");
            }
        }
        m
    }

    /// The timeline as CSV, one row per bucket.
    pub fn timeline_csv(&self) -> String {
        let mut c = String::from("t_s,passed,denied,other,missed,p50_ms,p99_ms\n");
        for b in &self.timeline {
            let _ = writeln!(
                c,
                "{:.2},{},{},{},{},{:.2},{:.2}",
                b.t, b.passed, b.denied, b.other, b.missed, b.p50_ms, b.p99_ms
            );
        }
        c
    }

    /// The figures as CSV.
    pub fn figures_csv(&self) -> String {
        let mut c = String::from("figure,value\n");
        for (name, v) in self.figures() {
            let _ = writeln!(c, "{name},{}", round(v));
        }
        c
    }
}

/// Formats a figure: integers as they are, values from 100 with one decimal, others with up to four. Emulated
/// figures vary by more than this precision.
pub fn round(v: f64) -> String {
    if v == v.trunc() && v.abs() < 1e12 {
        format!("{v:.0}")
    } else if v.abs() >= 100.0 {
        format!("{v:.1}")
    } else {
        format!("{v:.4}").trim_end_matches('0').to_string()
    }
}

/// A Markdown table that compares two runs: figure, A, B, B/A.
pub fn compare(a: &Summary, b: &Summary) -> String {
    let mut m = format!("| figure | {} | {} | B/A |\n| --- | --- | --- | --- |\n", a.name, b.name);
    for ((name, x), (_, y)) in a.figures().into_iter().zip(b.figures()) {
        let ratio = if x != 0.0 {
            round(y / x)
        } else if y == 0.0 {
            "1".into()
        } else {
            "-".into()
        };
        let _ = writeln!(m, "| {name} | {} | {} | {ratio} |", round(x), round(y));
    }
    m
}

/// A Markdown table of a sweep, one row per value of the swept variable.
pub fn sweep(rows: &[(f64, Summary)], axis: &str) -> String {
    let mut m = format!(
        "| {axis} | reqs | goodput /s | missed targets | p99 ms | rules | quota: worst over | windows over 5% | \
         denied with room | gateway peak MiB | lab peak MiB | tool lag p99 ms |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
    );
    for (x, s) in rows {
        let rules = if s.rules_kept() {
            "kept".to_string()
        } else {
            format!("{} broken", s.verdict.values().filter(|b| b.count > 0).count())
        };
        let _ = writeln!(
            m,
            "| {x} | {} | {} | {} | {} | {rules} | {} | {} | {} | {} | {} | {} |",
            s.requests,
            round(s.goodput),
            round(s.missed_share()),
            round(s.p99_ms),
            round(s.quota_over),
            s.quota_windows_over,
            s.denied_with_room,
            round(s.gateway_peak_kib as f64 / 1024.0),
            round(s.lab_peak_kib as f64 / 1024.0),
            round(s.lag_p99_ms)
        );
    }
    m
}

#[cfg(test)]
mod tests;
