//! What operators are told of the processes and of the rules they have in force.

use crate::operator::{self, cell};
use eyre::bail;
use lupinledge_config::{comparable, Fingerprints, Part};
use lupinledge_drift_detection::verdict::Detector;
use lupinledge_membership::{Digest, Member, Standing};
use serde_json::{json, Map, Value};
use std::fmt::Write as _;
use std::net::Ipv4Addr;

/// Prints by their parts' names.
pub fn parts(print: &[u64; 5]) -> Value {
    let named = Part::ALL.iter().zip(print).map(|(p, n)| (p.name().to_string(), json!(format!("{n:016x}"))));
    Value::Object(named.collect::<Map<_, _>>())
}

/// One process: where it stands, what it holds, and whether it does what `own` says by `intent`.
pub fn row(now: f64, m: &Member, own: Digest, intent: Fingerprints) -> Value {
    let (index, print) = (m.digest.state.1, m.digest.fingerprint);
    let rules = match m.card.drift {
        Some(_) => "out",
        None if m.card.core => "core",
        None if m.last_received < now - 1e6 || print == 0 => "untold",
        None if index < own.state.1 => "behind",
        None if index > own.state.1 => "ahead",
        None if !comparable(print, own.fingerprint) => "untold",
        None if print == own.fingerprint => "matching",
        None => "differs",
    };
    let standing = match m.standing {
        Standing::Alive => "alive",
        Standing::Suspect => "suspect",
        Standing::Gone => "gone",
    };
    let mut row = json!({
        "node": Ipv4Addr::from(m.node), "role": if m.card.core { "core" } else { "edge" }, "zone": m.card.zone,
        "standing": standing, "ready": m.card.ready, "leaving": m.card.leaving, "index": index,
        "print": format!("{print:08x}"), "rules": rules,
    });
    if let Some(r) = &m.card.drift {
        let judges = [Detector::Own, Detector::Peers, Detector::Control].map(Detector::name);
        let named = |i: u8| Part::ALL.get(usize::from(i)).map_or("whole", |p| p.name());
        let differing = Part::ALL
            .iter()
            .filter(|p| r.index == own.state.1 && r.fingerprints[**p as usize] != intent.part(**p));
        row["out"] = json!({
            "since": r.since, "times": r.recent_count, "judge": judges.get(usize::from(r.judged_by)), "part": named(r.part),
            "differing": differing.map(|p| p.name()).collect::<Vec<_>>(), "parts": parts(&r.fingerprints),
        });
    }
    row
}

/// Asks a process of the core at its control address, and puts the answer in a table.
pub fn ask(arguments: &[String]) -> eyre::Result<String> {
    let [at] = arguments else { bail!("nodes: one ADDRESS is needed") };
    Ok(table(&operator::ask(at, "/lupinledge/nodes")?))
}

/// As operators read it.
pub fn table(told: &Value) -> String {
    let mut out = format!("index {}", told["index"]);
    match &told["holder"] {
        Value::String(holder) => out += &format!("  holder {holder}"),
        // what is told here may be old
        _ => out += "  holder none in touch",
    }
    for (part, print) in told["parts"].as_object().into_iter().flatten() {
        let _ = write!(out, "  {part} {}", cell(print));
    }
    let names = ["node", "role", "zone", "standing", "ready", "index", "print", "rules"];
    let head = names.into_iter().chain(["since", "times", "judge", "part", "differing"]).map(str::to_string);
    let mut rows = vec![head.collect::<Vec<String>>()];
    for n in told["nodes"].as_array().into_iter().flatten() {
        let o = &n["out"];
        let parts = o["differing"].as_array().into_iter().flatten().map(cell).collect::<Vec<_>>().join(",");
        let row = names.iter().map(|f| cell(&n[*f]));
        let row = row.chain(["since", "times", "judge", "part"].map(|f| cell(&o[f]))).chain([parts]);
        rows.push(row.collect());
    }
    out + "\n" + &operator::table(&rows) + "\n"
}

#[cfg(test)]
mod tests;
