//! Routes are removed and added while a request that may run once is at work.

use crate::cluster::ZONES;
use crate::config::{config, RouteOf};
use crate::world::{order, send, Try};
use crate::Setup;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

const STOCK: RouteOf = RouteOf("/stock/", "idempotent", "stock-lookup", 0.8, 6.0);
const COIN: RouteOf = RouteOf("/coin/", "non_idempotent", "coin-ledger", 1.0, 6.0);
const SPIRAL: RouteOf = RouteOf("/spiral/", "idempotent", "stock-lookup", 0.8, 6.0);

pub fn run(setup: &Setup) -> Result<Option<String>, String> {
    let record = &setup.record;
    let work = |target: &str| crate::world::Work {
        ms: if target.starts_with("/coin/slow") { 1400 } else { 40 },
        lose_answer: false,
    };
    let world = setup.world(Arc::new(work))?;
    for service in ["coin-ledger", "stock-lookup"] {
        for (zone, _) in ZONES {
            world.add_server(service, zone).map_err(|e| e.to_string())?;
            world.add_server(service, zone).map_err(|e| e.to_string())?;
        }
    }
    let mut cluster = setup.cluster(&world, 3, 2)?;
    cluster.start_all(true).map_err(|e| e.to_string())?;
    let controls = cluster.controls();
    let put = |body: String| order(record, &controls, "PUT", "/lupinledge/config", &body, Duration::from_secs(8));
    if put(config(1, 0, &[STOCK, COIN])) != Some(200) || !cluster.wait_ready(Duration::from_secs(15)) {
        return Err("the system did not come up".into());
    }
    sleep(Duration::from_secs(4));
    let front = cluster.front(0);
    let attempt = |nth: u64| format!("{:016x}", 0x9c41_d07b_0000_0000 + nth);
    let settle = move |nth: u64, target: &str| Try {
        method: "POST",
        target: target.into(),
        attempt: attempt(nth),
        key: None,
        body: format!("cash {nth}"),
        deadline_ms: 6000,
    };
    for nth in 0..4 {
        send(record, front, &settle(nth, "/coin/usual"));
    }
    // cash settlements that take their servers 1.4 s
    let threads: Vec<_> = (100..104)
        .map(|nth| {
            let (record, t) = (record.clone(), settle(nth, "/coin/slow"));
            spawn(move || send(&record, front, &t))
        })
        .collect();
    sleep(Duration::from_millis(40));
    if setup.trouble {
        // the route is taken out, the time-outs change, and a route for repeatable requests is added
        let steps = [
            config(3, 1, &[STOCK]),
            config(4, 3, &[RouteOf("/stock/", "idempotent", "stock-lookup", 0.9, 6.0)]),
            config(6, 4, &[RouteOf("/stock/", "idempotent", "stock-lookup", 0.9, 6.0), SPIRAL]),
        ];
        for step in steps {
            if put(step) != Some(200) {
                return Err("a configuration was not acknowledged".into());
            }
            sleep(Duration::from_millis(70));
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    sleep(Duration::from_millis(300));
    let mut by_attempt: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in record.runs().into_iter().filter(|r| r.target.contains("/coin/")) {
        by_attempt.entry(run.attempt).or_default().push(run.server);
    }
    let twice: Vec<String> =
        by_attempt.iter().filter(|(_, s)| s.len() > 1).map(|(a, s)| format!("{a} ran at {}", s.join(" and "))).collect();
    Ok((!twice.is_empty()).then(|| format!("TWICE: {}", twice.join("; "))))
}
