//! Rows of the platform's list.

use lupinledge_messaging::list::ListedServer;

/// Longest text field of a row.
const MAX_TEXT_BYTES: usize = 200;
/// Most slots of a server.
const MAX_SLOTS: f64 = 100_000.0;
/// Longest warm-up, seconds; longer ones are reduced to this.
const MAX_WARMUP_S: f64 = 86_400.0;
/// A warm-up with this many more seconds left than expected has started again.
const WARMUP_RESTART_S: f32 = 0.5;

/// Whether a row equals the listed server, apart from `elapsed_s` seconds of warm-up that have passed.
pub(super) fn is_same_server(current: &ListedServer, read: &ListedServer, elapsed_s: f32) -> bool {
    let expected_left_s = (current.warmup_left_s - elapsed_s).max(0.0);
    read.warmup_left_s <= expected_left_s + WARMUP_RESTART_S
        && ListedServer { warmup_left_s: current.warmup_left_s, ..read.clone() } == *current
}

/// Parses a row of the platform; `None` if a field is missing or invalid, which rejects this row only.
pub(super) fn parse_row(row: serde_json::Value) -> Option<ListedServer> {
    let text = |name: &str| {
        let text = row.get(name)?.as_str()?;
        (!text.is_empty() && text.len() <= MAX_TEXT_BYTES).then(|| text.to_string())
    };
    let number = |name: &str| row.get(name).and_then(serde_json::Value::as_f64).filter(|n| *n >= 0.0);
    // the id is sent in a header
    let id = text("id").filter(|id| id.bytes().all(|b| b.is_ascii_graphic()))?;
    Some(ListedServer {
        id,
        service: text("service")?,
        address: text("address")?.parse().ok()?,
        zone: text("zone")?,
        slots: number("slots").filter(|s| (1.0..=MAX_SLOTS).contains(s))? as u32,
        draining: row.get("state").and_then(|s| s.as_str()) == Some("draining"),
        warmup_left_s: number("warmup_left_s").unwrap_or(0.0).min(MAX_WARMUP_S) as f32,
    })
}

#[cfg(test)]
mod tests;
