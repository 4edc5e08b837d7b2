//! What operators are told of the processes and of the rules they have in force.

use crate::operator_client::{self, format_cell};
use eyre::bail;
use lupinledge_config::{comparable, Part, Print};
use lupinledge_drift_detection::verdict::Detector;
use lupinledge_membership::{Digest, Member, Standing};
use serde_json::{json, Map, Value};
use std::fmt::Write as _;
use std::net::Ipv4Addr;

/// Prints by their parts' names.
pub fn named_parts(print: &[u64; 5]) -> Value {
    let named = Part::ALL.iter().zip(print).map(|(p, n)| (p.name().to_string(), json!(format!("{n:016x}"))));
    Value::Object(named.collect::<Map<_, _>>())
}

/// One process: where it stands, what it holds, and whether it does what `own` says by `intent`.
pub fn node_row(now: f64, m: &Member, own: Digest, expected: Print) -> Value {
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
    let mut node_row = json!({
        "node": Ipv4Addr::from(m.node), "role": if m.card.core { "core" } else { "edge" }, "zone": m.card.zone,
        "standing": standing, "ready": m.card.ready, "leaving": m.card.leaving, "index": index,
        "print": format!("{print:08x}"), "rules": rules,
    });
    if let Some(r) = &m.card.drift {
        let detectors = [Detector::Own, Detector::Peers, Detector::Control].map(Detector::name);
        let named = |i: u8| Part::ALL.get(usize::from(i)).map_or("whole", |p| p.name());
        let differing = Part::ALL
            .iter()
            .filter(|p| r.index == own.state.1 && r.fingerprints[**p as usize] != expected.part(**p));
        node_row["out"] = json!({
            "since": r.since, "times": r.recent_count, "judge": detectors.get(usize::from(r.judged_by)), "part": named(r.part),
            "differing": differing.map(|p| p.name()).collect::<Vec<_>>(), "parts": named_parts(&r.fingerprints),
        });
    }
    node_row
}

/// Asks a process of the core at its control address, and puts the answer in a table.
pub fn nodes_command(arguments: &[String]) -> eyre::Result<String> {
    let [at] = arguments else { bail!("nodes: one ADDRESS is needed") };
    Ok(format_nodes(&operator_client::get_json(at, "/lupinledge/nodes")?))
}

/// As operators read it.
pub fn format_nodes(answer: &Value) -> String {
    let mut out = format!("index {}", answer["index"]);
    match &answer["holder"] {
        Value::String(holder) => out += &format!("  holder {holder}"),
        // what is told here may be old
        _ => out += "  holder none in touch",
    }
    for (part, print) in answer["parts"].as_object().into_iter().flatten() {
        let _ = write!(out, "  {part} {}", format_cell(print));
    }
    let names = ["node", "role", "zone", "standing", "ready", "index", "print", "rules"];
    let header =
        names.into_iter().chain(["since", "times", "judge", "part", "differing"]).map(str::to_string);
    let mut rows = vec![header.collect::<Vec<String>>()];
    for n in answer["nodes"].as_array().into_iter().flatten() {
        let o = &n["out"];
        let named_parts =
            o["differing"].as_array().into_iter().flatten().map(format_cell).collect::<Vec<_>>().join(",");
        let node_row = names.iter().map(|f| format_cell(&n[*f]));
        let node_row = node_row
            .chain(["since", "times", "judge", "part"].map(|f| format_cell(&o[f])))
            .chain([named_parts]);
        rows.push(node_row.collect());
    }
    out + "\n" + &operator_client::format_table(&rows) + "\n"
}

#[cfg(test)]
mod tests;
