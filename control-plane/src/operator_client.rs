//! What operators ask members of the core for by the command line, beside configurations.

use eyre::{ensure, eyre, WrapErr};
use serde_json::Value;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Calls a control address; the answer's status and body.
pub fn call(at: &str, method: &str, path: &str) -> eyre::Result<(u16, String)> {
    let address = at.parse::<SocketAddr>().wrap_err("ADDRESS")?;
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).wrap_err_with(|| at.to_string())?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let head =
        format!("{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    let mut text = String::new();
    stream.take(MAX_ANSWER_BYTES).read_to_string(&mut text)?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(|| eyre!("{at}: no answer"))?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok((status.ok_or_else(|| eyre!("{at}: no status"))?, body.to_string()))
}

/// The same, for an answer that is an object.
pub fn get_json(at: &str, path: &str) -> eyre::Result<Value> {
    let (status, body) = call(at, "GET", path)?;
    ensure!(status == 200, "{at}: {status} {body}");
    serde_json::from_str(&body).wrap_err("answer")
}

/// Rows as columns of equal width.
pub fn format_table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |i: usize| rows.iter().filter_map(|row| row.get(i)).map(String::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_string()
    };
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// A value as it stands in a table.
pub fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        Value::Array(values) => values.iter().map(format_cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
