//! A voter that still holds an older claim of a key, and a voter that loses its disk after the key was granted anew.

use crate::cluster::{Role, ZONES};
use crate::config::{config, RouteOf};
use crate::record::Run;
use crate::world::{order, send, Try, Work};
use crate::Setup;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// `key_window_s` in the settings.
const WINDOW: f64 = 60.0;
const KEY: &str = "k-5512";

pub fn run(setup: &Setup) -> Result<Option<String>, String> {
    let record = &setup.record;
    let world = setup.world(Arc::new(|_: &str| Work { ms: 60, lose_answer: false }))?;
    for (zone, _) in ZONES {
        world.add_server("coin-ledger", zone).map_err(|e| e.to_string())?;
        world.add_server("stock-lookup", zone).map_err(|e| e.to_string())?;
    }
    let mut cluster = setup.cluster(&world, 3, 2)?;
    // core-0 in ast-yesil, core-1 in alm-medeu, core-2 in alm-bostandyk; edge-0 in alm-medeu, edge-1 in ast-yesil
    (cluster.core_zones, cluster.edge_zones) = (vec![1, 0, 3], vec![0, 1]);
    cluster.start_all(true).map_err(|e| e.to_string())?;
    let controls = cluster.controls();
    let first = config(1, 0, &[RouteOf("/coin/", "keyed", "coin-ledger", 1.2, 2.5)]);
    let put = order(record, &controls, "PUT", "/lupinledge/config", &first, Duration::from_secs(8));
    if put != Some(200) || !cluster.wait_ready(Duration::from_secs(15)) {
        return Err("the system did not come up".into());
    }
    sleep(Duration::from_secs(5));
    let settle = |nth: u64, key: &str| Try {
        method: "POST",
        target: "/coin/settle".into(),
        attempt: format!("{:016x}", 0x9c41_d07b_0000_0000 + nth),
        key: Some(key.into()),
        body: "cash 5512".into(),
        deadline_ms: 6000,
    };
    let start = record.now();
    let until = |at: f64| sleep(Duration::from_secs_f64((start + at - record.now()).max(0.0)));
    // other requests
    for nth in 1000..1003 {
        send(record, cluster.front(nth as usize % 2), &settle(nth, &format!("k-other-{nth}")));
    }
    // 1 s: the key's first use
    until(1.0);
    send(record, cluster.front(1), &settle(1, KEY));
    // 5 s: one process of the core is killed and started again
    until(5.0);
    if setup.trouble {
        cluster.kill(Role::Core(1));
        sleep(Duration::from_millis(500));
        cluster.start(Role::Core(1), false).map_err(|e| e.to_string())?;
    }
    until(30.0);
    for nth in 1010..1013 {
        send(record, cluster.front(0), &settle(nth, &format!("k-other-{nth}")));
    }
    // 66.2 s: the window has passed; sent once more, the key runs anew
    until(66.2);
    let sent_at = record.now();
    let answer = send(record, cluster.front(1), &settle(2, KEY));
    if answer.as_ref().map(|a| a.status()) != Some(200) || runs_of(setup).len() != 2 {
        return Err("the second use after the window did not run".into());
    }
    // 66.7 s: one machine of the core loses its disk
    until(66.7);
    if setup.trouble {
        cluster.kill(Role::Core(2));
        cluster.wipe(2).map_err(|e| e.to_string())?;
        sleep(Duration::from_millis(500));
        cluster.start(Role::Core(2), false).map_err(|e| e.to_string())?;
    }
    until(71.0);
    for nth in 1020..1023 {
        send(record, cluster.front(0), &settle(nth, &format!("k-other-{nth}")));
    }
    // 72 s: sent again after the good answer, from another zone
    until(72.0);
    let votes: Vec<_> = (0..3).map(|n| cluster.core_metric(n, "operations.votes")).collect();
    record.line(format!("voters that vote: {votes:?}"));
    send(record, cluster.front(0), &settle(3, KEY));
    let runs = runs_of(setup);
    let apart = runs.last().map_or(0.0, |r| r.at) - sent_at;
    let broken = runs.len() > 2 && apart < WINDOW;
    let last: Vec<String> = runs.iter().skip(1).map(|r| format!("{} at {}", r.attempt, r.server)).collect();
    Ok(broken.then(|| format!("TWICE: key {KEY} ran as {}, {apart:.1} s after the first of these was sent", last.join(" and "))))
}

fn runs_of(setup: &Setup) -> Vec<Run> {
    setup.record.runs().into_iter().filter(|r| r.key == KEY).collect()
}
