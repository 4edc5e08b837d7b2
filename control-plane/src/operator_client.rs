//! The HTTP client and the table output of the operator commands.

use eyre::{ensure, eyre, WrapErr};
use serde_json::Value;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time to connect, and for each read.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The rest of a longer answer is cut off.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Sends a request to a control address; returns the status and body of the answer.
pub fn call(at: &str, method: &str, path: &str) -> eyre::Result<(u16, String)> {
    let address = at.parse::<SocketAddr>().wrap_err("ADDRESS")?;
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).wrap_err_with(|| at.to_string())?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let head =
        format!("{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    let mut text = String::new();
    stream.take(MAX_ANSWER_BYTES).read_to_string(&mut text)?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(|| eyre!("{at}: no complete HTTP answer"))?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok((status.ok_or_else(|| eyre!("{at}: no HTTP status"))?, body.to_string()))
}

/// Sends a GET request and parses the JSON answer.
pub fn get_json(at: &str, path: &str) -> eyre::Result<Value> {
    let (status, body) = call(at, "GET", path)?;
    ensure!(status == 200, "{at}: {status} {body}");
    serde_json::from_str(&body).wrap_err("answer")
}

/// Aligns rows in columns.
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

/// A JSON value as a table cell.
pub fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        Value::Array(values) => values.iter().map(format_cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
