//! The words of the scenarios: `key=value` into the terms, reqs and outcomes of the seam.

use lupinledge::interface::*;
use lupinledge::time::Span;

pub fn key<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words.iter().flat_map(|w| w.split(',')).find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
}

pub fn num(words: &[&str], name: &str, or: f64) -> f64 {
    key(words, name).map_or(or, |v| v.parse().expect("a number"))
}

pub fn frontend(w: &[&str]) -> Frontend {
    let effect = match key(w, "effect").unwrap_or("replayable") {
        "replayable" => Effect::Replayable,
        "uniqued" => Effect::Deduplicated,
        _ => Effect::NonReplayable,
    };
    let group = match key(w, "group").unwrap_or("all") {
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        _ => DedupScope::All,
    };
    let (memory, target) = (Span::from_secs(num(w, "memory", 2.0)), Span::from_secs(num(w, "target", 1.0)));
    Frontend {
        effect,
        group,
        memory,
        target,
        late_value: num(w, "late", 0.0),
        value: num(w, "value", 1.0),
        timeout: Span::from_secs(num(w, "timeout", 3.0)),
        max_dispatches: 6,
    }
}

pub fn plan(w: &[&str]) -> Plan {
    Plan {
        rate: num(w, "rate", 0.0),
        burst: num(w, "burst", 0.0),
        price: num(w, "price", 1.0),
        at_once: num(w, "at_once", 0.0) as u32,
        overrun_value: 0.0,
        overrun_cost: num(w, "cost", 1.0),
        ceiling_rate: num(w, "ceiling", 0.0),
        ceiling_burst: num(w, "depth", 0.0),
    }
}

pub fn terms(w: &[&str], frontends: Vec<Frontend>, plans: Vec<Plan>) -> Terms {
    Terms {
        seed: 1,
        gateways: num(w, "gateways", 2.0) as usize,
        zone: 0,
        zones: num(w, "zones", 1.0) as usize,
        period: Span::millis(2),
        frontends,
        plans,
        counter: num(w, "counter", 1.0) > 0.0,
        count_wait: Span::millis(50),
        max_units: 1.0,
        bills_after: num(w, "settles", 0.0) > 0.0,
        peers: num(w, "peers", 0.0) > 0.0,
        peer_intake: 60.0,
        list_on_request: num(w, "ask", 0.0) > 0.0,
        may_duplicate: num(w, "duplicate", 1.0) > 0.0,
        may_cancel: true,
        may_hint: num(w, "hint", 0.0) > 0.0,
        longest_hint: Span::from_secs(0.5),
        cold_from: 0.2,
        warm_after: Span::from_secs(10.0),
        fall_multiple: 3.0,
        fall_window: Span::from_secs(2.0),
        marks_repeats: num(w, "marks", 1.0) > 0.0,
        regions: key(w, "regions").map_or(Vec::new(), |r| r.bytes().map(|b| (b - b'0') as u16).collect()),
        start_limit: 3.0,
        retry_budget: key(w, "further").map(|_| (num(w, "ratio", 0.2), num(w, "further", 0.0))),
        cold_send_rate: key(w, "cold").map(|_| num(w, "cold", 0.0)),
        awaits_late_answers: num(w, "patient", 0.0) > 0.0,
        window: key(w, "window").map(|_| num(w, "window", 30.0)),
    }
}

pub fn req(id: u64, w: &[&str]) -> NewRequest {
    NewRequest {
        id,
        frontend: num(w, "frontend", 0.0) as usize,
        repeat: num(w, "repeat", 0.0) > 0.0,
        units: num(w, "units", 1.0),
        customer: num(w, "customer", 7.0) as u64,
        plan: num(w, "plan", 0.0) as usize,
        spread: num(w, "spread", 2.0),
        time_left: Span::from_secs(num(w, "left", 3.0)),
        zones: num(w, "zones", u64::MAX as f64) as u64,
    }
}

pub fn outcome(word: &str) -> Option<Outcome> {
    Some(match word {
        "passed" => Outcome::Passed,
        "error" => Outcome::Error,
        "full" => Outcome::Full,
        "lost" => Outcome::NoConnection,
        "reset" => Outcome::Reset,
        "timeout" => Outcome::TimedOut,
        "cancelled" => Outcome::Cancelled,
        _ => return None,
    })
}
