//! A run's summary and its tables: Markdown for people, CSV for tools. Figures are emulated.

use crate::gateway_settings::GatewaySettings;
use crate::record::{Outcome, Record};
use crate::rules::{self, Rule, Verdict};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Write;

/// One bucket of the timeline.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// Start of the bucket, s.
    pub t: f64,
    pub passed: usize,
    pub denied: usize,
    /// Failed, unanswered, late or foreign.
    pub other: usize,
    pub missed: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

#[derive(Clone, Debug)]
pub struct Summary {
    pub name: String,
    pub seed: u64,
    pub gateways: usize,
    pub servers: usize,
    pub duration_s: f64,
    pub counts: BTreeMap<Outcome, usize>,
    pub requests: usize,
    /// Passed reqs a second of load.
    pub goodput: f64,
    /// Latency of passed reqs, ms.
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    /// Reqs not given up that did not pass within their class's response target.
    pub missed: usize,
    /// How late the load tool sent, p99, ms: above a few ms the tool, not the gateway, is the limit.
    pub lag_p99_ms: f64,
    pub verdict: Verdict,
    pub timeline: Vec<Bucket>,
    /// Largest peak resident memory of one gateway, and the lab's own, KiB.
    pub gateway_peak_kib: u64,
    pub lab_peak_kib: u64,
    pub crashed: Vec<usize>,
    pub dropped_arrivals: usize,
    /// Quotas: the worst use over the allowance in one customer's window (0.05 is 5% over), the windows more than
    /// `QUOTA_BOUND` over, all rated windows, and denials of customers below `ROOM` of theirs.
    pub quota_over: f64,
    pub quota_windows_over: usize,
    pub quota_windows: usize,
    pub denied_with_room: usize,
    /// Fault windows: start, end, label.
    pub faults: Vec<(f64, f64, String)>,
}

/// The error issue 16 states before any test: no customer over 5% above quota in a window, none denied below 95%.
pub const QUOTA_BOUND: f64 = 0.05;
pub const ROOM_SHARE: f64 = 0.95;

/// Latencies are kept in microseconds up to a minute, three significant figures.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("fixed bounds")
}

fn ms(h: &Histogram<u64>, q: f64) -> f64 {
    if h.is_empty() {
        0.0
    } else {
        h.value_at_quantile(q) as f64 / 1000.0
    }
}

impl Summary {
    pub fn of(
        s: &Scenario,
        settings: &GatewaySettings,
        record: &Record,
        crashed: Vec<usize>,
        dropped: usize,
    ) -> Summary {
        let verdict = rules::check(record, settings, s.grace_s);
        let mut counts: BTreeMap<Outcome, usize> = Outcome::ALL.iter().map(|e| (*e, 0)).collect();
        let (mut all, mut lag) = (histogram(), histogram());
        let buckets = ((s.duration_s + 4.0) / s.bucket_s).ceil() as usize;
        let mut timeline: Vec<(Bucket, Histogram<u64>)> = (0..buckets)
            .map(|i| (Bucket { t: i as f64 * s.bucket_s, ..Bucket::default() }, histogram()))
            .collect();
        let mut missed = 0;
        for r in &record.requests {
            *counts.entry(r.outcome).or_default() += 1;
            let us = (r.latency() * 1e6).clamp(1.0, 60e6) as u64;
            let _ = lag.record(((r.sent - r.due).max(0.0) * 1e6).clamp(1.0, 60e6) as u64);
            let slo = settings.classes.get(r.class as usize).map_or(f64::INFINITY, |c| c.slo);
            let miss = r.outcome != Outcome::GaveUp && (r.outcome != Outcome::Passed || r.latency() > slo);
            missed += miss as usize;
            let Some((b, h)) = timeline.get_mut(((r.sent / s.bucket_s) as usize).min(buckets - 1)) else {
                continue;
            };
            b.missed += miss as usize;
            match r.outcome {
                Outcome::Passed => {
                    b.passed += 1;
                    let _ = all.record(us);
                    let _ = h.record(us);
                }
                Outcome::Denied => b.denied += 1,
                Outcome::GaveUp => {}
                _ => b.other += 1,
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
            p50_ms: ms(&all, 0.5),
            p99_ms: ms(&all, 0.99),
            p999_ms: ms(&all, 0.999),
            missed,
            lag_p99_ms: ms(&lag, 0.99),
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

    pub fn rules_kept(&self) -> bool {
        rules::no_violations(&self.verdict) && self.crashed.is_empty()
    }

    /// Share of reqs not given up that missed their response target.
    pub fn missed_share(&self) -> f64 {
        let asked = self.requests - self.counts[&Outcome::GaveUp];
        if asked == 0 {
            0.0
        } else {
            self.missed as f64 / asked as f64
        }
    }

    /// The headline figures, by name, in a fixed order: what `compare` and `sweep` set side by side.
    pub fn figures(&self) -> Vec<(&'static str, f64)> {
        let mut f = vec![
            ("reqs", self.requests as f64),
            ("goodput /s", self.goodput),
            ("missed targets", self.missed_share()),
            ("p50 ms", self.p50_ms),
            ("p99 ms", self.p99_ms),
            ("p99.9 ms", self.p999_ms),
        ];
        f.extend(Outcome::ALL.iter().map(|e| (e.label(), self.counts[e] as f64)));
        f.extend(Rule::ALL.iter().map(|r| (r.label(), self.verdict[r].count as f64)));
        f.push(("quota: worst share over", self.quota_over));
        f.push(("quota: windows over 5%", self.quota_windows_over as f64));
        f.push(("quota: denied with room", self.denied_with_room as f64));
        f.push(("gateway peak MiB", self.gateway_peak_kib as f64 / 1024.0));
        f
    }

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

    /// The timeline, a row a bucket.
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

    pub fn figures_csv(&self) -> String {
        let mut c = String::from("figure,value\n");
        for (name, v) in self.figures() {
            let _ = writeln!(c, "{name},{}", round(v));
        }
        c
    }
}

/// Three significant figures, at most four decimals: enough for emulated figures that vary by more.
pub fn round(v: f64) -> String {
    if v == v.trunc() && v.abs() < 1e12 {
        format!("{v:.0}")
    } else if v.abs() >= 100.0 {
        format!("{v:.1}")
    } else {
        format!("{v:.4}").trim_end_matches('0').to_string()
    }
}

/// Two runs side by side: figure, A, B, B/A.
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

/// A sweep: one row a load multiple.
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
