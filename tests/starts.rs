//! A quota over a fleet of many gateways that start, are killed and start again, many at once, and whose holder of the
//! counters changes: what all send of a customer in any window stays within the rule, however many pools there are.

mod fleet;

use fleet::*;

/// Gateways, and pools of each: those of a deployment of 64 machines with three services.
const GATEWAYS: usize = 59;
const POOLS: usize = 3;

/// A fleet whose calls are answered, with some requests a second at each gateway.
fn calm(load: u32) -> Weather {
    Weather {
        sound: SPAN,
        silent: 1,
        holders: 0,
        freezes: 0,
        load: vec![load; GATEWAYS],
        pools: POOLS,
        spells: (SPAN, 0),
        kills: Vec::new(),
    }
}

/// At a load near the quota, and at many times that, by some seeds each.
fn holds(weather: impl Fn(Weather) -> Weather) {
    for (load, seed) in [2, 8, 30].into_iter().flat_map(|load| (0..3).map(move |seed| (load, seed))) {
        let sent = play(seed, &weather(calm(load)));
        let (densest, story) = (sent.densest, sent.story);
        assert!(densest <= ALLOWED, "{densest}, {ALLOWED} allowed: load {load}, seed {seed}, {story}");
    }
}

/// So many gateways again and again, from the sixth second on.
fn kills(times: u64, every: u64, gateways: usize, away: u64) -> Vec<Kill> {
    (0..times).map(|nth| Kill { at: 6_000 + every * nth, gateways, away }).collect()
}

#[test]
fn the_quota_holds_when_gateways_begin_and_are_killed_and_restarted() {
    holds(|calm| calm);
    holds(|calm| Weather { kills: kills(8, 1_100, GATEWAYS / 2, 800), ..calm });
    holds(|calm| Weather { kills: kills(1, 1, GATEWAYS, 300), ..calm });
    holds(|calm| Weather { kills: kills(120, 100, 1, 1_500), ..calm });
}

#[test]
fn the_quota_holds_when_requests_come_all_at_once_after_a_quiet_time() {
    holds(|calm| Weather { spells: (2_500, 4_000), ..calm });
    holds(|calm| Weather { spells: (600, 1_300), ..calm });
}

#[test]
fn the_quota_holds_when_holders_change_and_calls_go_unanswered() {
    holds(|calm| Weather { holders: 1_500, ..calm });
    holds(|calm| Weather { holders: 3_000, sound: 3_000, silent: 1_200, ..calm });
    holds(|calm| {
        let kills = kills(15, 900, GATEWAYS / 3, 1_500);
        Weather { holders: 3_000, sound: 3_000, silent: 1_200, kills, ..calm }
    });
}

#[test]
fn the_quota_is_used_in_calm_times() {
    let sent = play(1, &calm(2));
    let given = RATE * SPAN as f64 / 1e3 + BURST;
    assert!(sent.all as f64 > 0.95 * given, "{} sent of {given} and more", sent.all);
}
