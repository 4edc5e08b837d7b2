//! A deliberately broken gateway, to test that the lab detects rule violations. It reads the server list only once
//! (so it keeps sending to drained servers) and sends every request to two servers (so a request that must not be
//! repeated runs twice). It implements just enough of the protocol for the lab to start it like a real gateway.

use lupinledge_example::http::{read_message, Client, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::spawn;
use std::time::Duration;

/// Serves until the process is killed; the error describes why the start failed.
pub fn serve() -> Result<(), String> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let config: serde_json::Value = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    let addr =
        |k: &str| config[k].as_str().and_then(|a| a.parse::<SocketAddr>().ok()).ok_or(format!("`{k}`"));
    let servers = Arc::new(listed_servers(addr("discovery")?)?);
    let listener = TcpListener::bind(addr("listen")?).map_err(|e| e.to_string())?;
    eprintln!("broken listens on {}", listener.local_addr().map_err(|e| e.to_string())?);
    let next_server = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming().flatten() {
        let (servers, next_server) = (servers.clone(), next_server.clone());
        spawn(move || connection(stream, &servers, &next_server));
    }
    Ok(())
}

/// Addresses of all servers that discovery lists.
fn listed_servers(discovery: SocketAddr) -> Result<Vec<SocketAddr>, String> {
    let mut client = Client::connect(discovery).map_err(|e| format!("discovery: {e}"))?;
    let response = client
        .send_request(b"GET /catalog/members HTTP/1.1\r\nHost: d\r\n\r\n")
        .map_err(|e| e.to_string())?;
    let list: serde_json::Value =
        serde_json::from_slice(&response.ok_or("discovery: no answer")?.body).map_err(|e| e.to_string())?;
    let instances = list["instances"].as_array().ok_or("discovery: no instances")?;
    Ok(instances.iter().filter_map(|r| r["hostPort"].as_str()?.parse().ok()).collect())
}

/// Serves one connection of a client.
fn connection(stream: TcpStream, servers: &[SocketAddr], next_server: &AtomicUsize) -> Option<()> {
    let (mut reader, mut writer) = (BufReader::new(stream.try_clone().ok()?), stream);
    while let Some(request) = read_message(&mut reader).ok()? {
        if request.start_line.starts_with("GET /_health") {
            writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        let n = next_server.fetch_add(1, Ordering::Relaxed);
        let first = forward(&request, servers[n % servers.len()]);
        let _second = forward(&request, servers[(n + 1) % servers.len()]);
        let (status, body) = first.map_or(("502 Bad Gateway".to_string(), vec![]), |response| {
            (
                response.start_line.split_once(' ').map_or("502 Bad Gateway", |s| s.1).to_string(),
                response.body,
            )
        });
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
        writer.write_all(head.as_bytes()).ok()?;
        writer.write_all(&body).ok()?;
    }
    Some(())
}

/// Forwards a request; `None` if the server does not respond within 200 ms.
fn forward(request: &Message, server: SocketAddr) -> Option<Message> {
    let mut text = format!("{}\r\n", request.start_line);
    for (n, v) in &request.headers {
        text.push_str(&format!("{n}: {v}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&request.body);
    Client::connect_with_timeout(server, Duration::from_millis(200)).ok()?.send_request(&bytes).ok()?
}
