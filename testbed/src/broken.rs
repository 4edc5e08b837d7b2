//! A deliberately broken gateway, for showing that the lab finds broken rules by itself. It reads the srv list
//! once (so it sends to drained srvs for ever) and sends every req to two srvs (so a non-replayable req runs
//! twice). It speaks just enough of the protocol to be started by the lab like the real one.

use lupinledge_example::http::{read_message, Client, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::spawn;
use std::time::Duration;

/// Serves until killed; the error says what of its start failed.
pub fn serve() -> Result<(), String> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let conf: serde_json::Value = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    let addr = |k: &str| conf[k].as_str().and_then(|a| a.parse::<SocketAddr>().ok()).ok_or(format!("`{k}`"));
    let srvs = Arc::new(members(addr("discovery")?)?);
    let listener = TcpListener::bind(addr("listen")?).map_err(|e| e.to_string())?;
    eprintln!("broken listens on {}", listener.local_addr().map_err(|e| e.to_string())?);
    let turn = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming().flatten() {
        let (srvs, turn) = (srvs.clone(), turn.clone());
        spawn(move || connection(stream, &srvs, &turn));
    }
    Ok(())
}

fn members(discovery: SocketAddr) -> Result<Vec<SocketAddr>, String> {
    let mut c = Client::connect(discovery).map_err(|e| format!("discovery: {e}"))?;
    let m = c.send_request(b"GET /catalog/members HTTP/1.1\r\nHost: d\r\n\r\n").map_err(|e| e.to_string())?;
    let list: serde_json::Value =
        serde_json::from_slice(&m.ok_or("discovery: no answer")?.body).map_err(|e| e.to_string())?;
    let rows = list["instances"].as_array().ok_or("discovery: no instances")?;
    Ok(rows.iter().filter_map(|r| r["hostPort"].as_str()?.parse().ok()).collect())
}

fn connection(stream: TcpStream, srvs: &[SocketAddr], turn: &AtomicUsize) -> Option<()> {
    let (mut from, mut to) = (BufReader::new(stream.try_clone().ok()?), stream);
    while let Some(req) = read_message(&mut from).ok()? {
        if req.start_line.starts_with("GET /_health") {
            to.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        let n = turn.fetch_add(1, Ordering::Relaxed);
        let first = forward(&req, srvs[n % srvs.len()]);
        let _second = forward(&req, srvs[(n + 1) % srvs.len()]);
        let (status, body) = first.map_or(("502 Bad Gateway".to_string(), vec![]), |m| {
            (m.start_line.split_once(' ').map_or("502 Bad Gateway", |s| s.1).to_string(), m.body)
        });
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
        to.write_all(head.as_bytes()).ok()?;
        to.write_all(&body).ok()?;
    }
    Some(())
}

fn forward(req: &Message, srv: SocketAddr) -> Option<Message> {
    let mut text = format!("{}\r\n", req.start_line);
    for (n, v) in &req.headers {
        text.push_str(&format!("{n}: {v}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&req.body);
    Client::connect_with_timeout(srv, Duration::from_millis(200)).ok()?.send_request(&bytes).ok()?
}
