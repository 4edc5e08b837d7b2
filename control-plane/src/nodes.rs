//! The node list for operators: all known processes, and how the rules of each compare with the current document.

use crate::operator_client::{self, format_cell};
use eyre::bail;
use lupinledge_config::{comparable, Fingerprints, Part};
use lupinledge_drift_detection::verdict::Detector;
use lupinledge_membership::{Digest, Member, Standing};
use serde_json::{json, Map, Value};
use std::fmt::Write as _;
use std::net::Ipv4Addr;

/// The fingerprints by the names of the document's parts.
pub fn named_parts(fingerprints: &[u64; 5]) -> Value {
    let named = Part::ALL
        .iter()
        .zip(fingerprints)
        .map(|(part, value)| (part.name().to_string(), json!(format!("{value:016x}"))));
    Value::Object(named.collect::<Map<_, _>>())
}

/// The JSON row of one process: its state, the document it has, and whether its rules match.
///
/// `own` and `expected` are the digest and the fingerprints of the newest document here.
pub fn node_row(now: f64, member: &Member, own: Digest, expected: Fingerprints) -> Value {
    let (index, fingerprint) = (member.digest.state.1, member.digest.fingerprint);
    let rules = match member.card.drift {
        Some(_) => "out",
        None if member.card.core => "core",
        None if member.last_received < now - 1e6 || fingerprint == 0 => "untold",
        None if index < own.state.1 => "behind",
        None if index > own.state.1 => "ahead",
        None if !comparable(fingerprint, own.fingerprint) => "untold",
        None if fingerprint == own.fingerprint => "matching",
        None => "differs",
    };
    let standing = match member.standing {
        Standing::Alive => "alive",
        Standing::Suspect => "suspect",
        Standing::Gone => "gone",
    };
    let mut row = json!({
        "node": Ipv4Addr::from(member.node), "role": if member.card.core { "core" } else { "edge" }, "zone": member.card.zone,
        "standing": standing, "ready": member.card.ready, "leaving": member.card.leaving, "index": index,
        "print": format!("{fingerprint:08x}"), "rules": rules,
    });
    if let Some(report) = &member.card.drift {
        let detectors = [Detector::Own, Detector::Peers, Detector::Core].map(Detector::name);
        let named = |part_index: u8| Part::ALL.get(usize::from(part_index)).map_or("whole", |p| p.name());
        let differing = Part::ALL.iter().filter(|p| {
            report.index == own.state.1 && report.fingerprints[**p as usize] != expected.part(**p)
        });
        row["out"] = json!({
            "since": report.since, "times": report.recent_count, "judge": detectors.get(usize::from(report.judged_by)), "part": named(report.part),
            "differing": differing.map(|p| p.name()).collect::<Vec<_>>(), "parts": named_parts(&report.fingerprints),
        });
    }
    row
}

/// `nodes ADDRESS`: requests the node list from the control address of a core member, and formats it as a table.
pub fn nodes_command(arguments: &[String]) -> eyre::Result<String> {
    let [at] = arguments else { bail!("nodes: exactly one ADDRESS is required") };
    Ok(format_nodes(&operator_client::get_json(at, "/lupinledge/nodes")?))
}

/// The node list as a table.
pub fn format_nodes(answer: &Value) -> String {
    let mut out = format!("index {}", answer["index"]);
    match &answer["holder"] {
        Value::String(holder) => out += &format!("  holder {holder}"),
        // this member may be cut off, and its list outdated
        _ => out += "  holder unknown",
    }
    for (part, fingerprint) in answer["parts"].as_object().into_iter().flatten() {
        let _ = write!(out, "  {part} {}", format_cell(fingerprint));
    }
    let names = ["node", "role", "zone", "standing", "ready", "index", "print", "rules"];
    let header =
        names.into_iter().chain(["since", "times", "judge", "part", "differing"]).map(str::to_string);
    let mut rows = vec![header.collect::<Vec<String>>()];
    for node in answer["nodes"].as_array().into_iter().flatten() {
        let out_of_service = &node["out"];
        let differing = out_of_service["differing"]
            .as_array()
            .into_iter()
            .flatten()
            .map(format_cell)
            .collect::<Vec<_>>()
            .join(",");
        let cells = names.iter().map(|name| format_cell(&node[*name]));
        let cells = cells
            .chain(["since", "times", "judge", "part"].map(|name| format_cell(&out_of_service[name])))
            .chain([differing]);
        rows.push(cells.collect());
    }
    out + "\n" + &operator_client::format_table(&rows) + "\n"
}

#[cfg(test)]
mod tests;
