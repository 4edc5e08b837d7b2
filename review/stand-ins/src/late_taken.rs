//! SIGTERM: a gateway goes on taking requests for a while, and ends before their servers have answered.

use crate::cluster::{Role, ZONES};
use crate::config::{config, RouteOf};
use crate::world::{order, send, Try, Work};
use crate::Setup;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// `grace_s` in the settings.
const GRACE: f64 = 6.0;
/// Requests sent later than this after the SIGTERM have no excuse by their server's work.
const EXCUSED_UNTIL: f64 = 3.0;
/// How long a server works on them.
const WORK_MS: u64 = 2400;

pub fn run(setup: &Setup) -> Result<Option<String>, String> {
    let record = &setup.record;
    let work = |target: &str| Work {
        ms: if target.starts_with("/coin/long") { WORK_MS } else { 40 },
        lose_answer: false,
    };
    let world = setup.world(Arc::new(work))?;
    for (zone, _) in ZONES {
        world.add_server("coin-ledger", zone).map_err(|e| e.to_string())?;
        world.add_server("stock-lookup", zone).map_err(|e| e.to_string())?;
    }
    let mut cluster = setup.cluster(&world, 3, 2)?;
    cluster.start_all(true).map_err(|e| e.to_string())?;
    let controls = cluster.controls();
    let first = config(1, 0, &[RouteOf("/coin/", "non_idempotent", "coin-ledger", 1.2, 4.0)]);
    let put = order(record, &controls, "PUT", "/lupinledge/config", &first, Duration::from_secs(8));
    if put != Some(200) || !cluster.wait_ready(Duration::from_secs(15)) {
        return Err("the system did not come up".into());
    }
    sleep(Duration::from_secs(6));
    let front = cluster.front(0);
    let settle = |nth: u64, target: &str| Try {
        method: "POST",
        target: target.into(),
        attempt: format!("{:016x}", 0x9c41_d07b_0000_0000 + nth),
        key: None,
        body: format!("cash {nth}"),
        deadline_ms: 4000,
    };
    send(record, front, &settle(1, "/coin/usual"));
    let term_at = record.now();
    if setup.trouble {
        cluster.signal(Role::Edge(0), "TERM");
    }
    // clients that have kept the directory's answer still use this address
    let mut trying = Vec::new();
    for (nth, at) in [1.0, 3.17, 3.19, 3.21, 3.23].into_iter().enumerate() {
        sleep(Duration::from_secs_f64((term_at + at - record.now()).max(0.0)));
        let (shared, sent_at) = (record.clone(), record.now() - term_at);
        let t = settle(10 + nth as u64, if nth == 0 { "/coin/usual" } else { "/coin/long" });
        trying.push((sent_at, t.attempt.clone(), spawn(move || send(&shared, front, &t).map(|a| a.status()))));
    }
    let mut lost = Vec::new();
    for (sent_at, attempt, thread) in trying {
        let answer = thread.join().map_err(|_| "a client ended".to_string())?;
        let ran = record.runs().iter().any(|r| r.attempt == attempt);
        let in_time = sent_at + WORK_MS as f64 / 1e3 + 0.05 < GRACE;
        if ran && answer.is_none() && sent_at > EXCUSED_UNTIL && in_time {
            lost.push(format!("{attempt}, sent {sent_at:.2} s after the SIGTERM"));
        }
    }
    if let Some(end) = cluster.ended(Role::Edge(0)) {
        record.line(format!("edge-0 has ended: {end}"));
    }
    Ok((!lost.is_empty()).then(|| format!("LOST: no answer to {}", lost.join("; "))))
}
