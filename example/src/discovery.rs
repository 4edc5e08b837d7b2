//! Discovery: the catalog of servers, and watches on it.

use crate::http::read_message;
use crate::listener::Listener;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

#[derive(Default)]
struct State {
    /// The entry of each server by its id, with the generation of its last change.
    entries: BTreeMap<String, (u64, Value)>,
    generation: u64,
    muted: bool,
    watches: usize,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// A discovery service.
pub struct Discovery {
    /// The current address.
    pub addr: SocketAddr,
    listener: Listener,
    state: Shared,
}

/// A catalog entry; `started_at_ms` is the last start in Unix milliseconds, 0 for one long ago.
pub fn catalog_entry(id: &str, addr: SocketAddr, zone: &str, lifecycle: &str, started_at_ms: u64) -> Value {
    json!({"instanceId": id, "hostPort": addr.to_string(), "zone": zone, "machineType": "toy", "cell": 0,
        "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started_at_ms})
}

impl Discovery {
    /// Starts a service with an empty catalog.
    pub fn start(addr: &str) -> io::Result<Discovery> {
        let state = Arc::default();
        let listener = Discovery::listen(&state, addr)?;
        Ok(Discovery { addr: listener.addr, listener, state })
    }

    fn listen(state: &Shared, addr: &str) -> io::Result<Listener> {
        let state = state.clone();
        Listener::start(addr, move |stream| {
            serve(&state, stream);
        })
    }

    /// Moves to another address and keeps the catalog; connections to the old one are closed after the given time.
    pub fn move_to(&mut self, addr: &str, after: Duration) -> io::Result<()> {
        let old = std::mem::replace(&mut self.listener, Discovery::listen(&self.state, addr)?);
        self.addr = self.listener.addr;
        old.close(after);
        Ok(())
    }

    /// Adds or replaces entries, as one new generation of the catalog.
    pub fn update_entries(&self, entries: Vec<Value>) {
        let mut state = self.state.0.lock().unwrap();
        state.generation += 1;
        let generation = state.generation;
        for e in entries {
            let id = e["instanceId"].as_str().unwrap_or_default().to_string();
            state.entries.insert(id, (generation, e));
        }
        self.state.1.notify_all();
    }
    /// Sets whether watches receive nothing, not even the empty keep-alive lines.
    pub fn set_muted(&self, muted: bool) {
        self.state.0.lock().unwrap().muted = muted;
        self.state.1.notify_all();
    }
    /// Number of watches opened so far.
    pub fn watches_opened(&self) -> usize {
        self.state.0.lock().unwrap().watches
    }
}

fn serve(state: &Shared, stream: TcpStream) -> Option<()> {
    let (mut reader, mut writer) = (BufReader::new(stream.try_clone().ok()?), stream);
    while let Some(request) = read_message(&mut reader).ok()? {
        let target = request.start_line.split(' ').nth(1)?.to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let from = query.split('&').find_map(|p| p.strip_prefix("from=")?.parse::<u64>().ok());
        if path != "/catalog/members" {
            writer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").ok()?;
        } else if query.split('&').any(|p| p == "watch=1") {
            writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
            state.0.lock().unwrap().watches += 1;
            return watch(state, writer, from);
        } else {
            let list = catalog_json(&state.0.lock().unwrap(), None);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            writer.write_all((head + &list).as_bytes()).ok()?;
        }
    }
    Some(())
}

/// Serves a watch: sends changes as chunks, and an empty line after 2 s without one.
fn watch(shared: &Shared, mut writer: TcpStream, mut from: Option<u64>) -> Option<()> {
    let mut first = true;
    loop {
        let mut state = shared.0.lock().unwrap();
        if !first && (state.muted || from == Some(state.generation)) {
            let (now, wait_result) = shared.1.wait_timeout(state, Duration::from_secs(2)).unwrap();
            state = now;
            if state.muted {
                continue;
            }
            if wait_result.timed_out() && from == Some(state.generation) {
                drop(state);
                write_chunk(&mut writer, "\n")?;
                continue;
            }
        }
        if state.muted && first {
            drop(shared.1.wait_while(state, |s| s.muted).unwrap());
            continue;
        }
        if first || from != Some(state.generation) {
            let line = catalog_json(&state, from.filter(|f| *f <= state.generation)) + "\n";
            from = Some(state.generation);
            drop(state);
            write_chunk(&mut writer, &line)?;
            first = false;
        }
    }
}

/// Writes a chunk of the chunked transfer encoding.
fn write_chunk(writer: &mut TcpStream, text: &str) -> Option<()> {
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()
}

/// The entries changed after a generation, or the whole catalog, as JSON.
fn catalog_json(state: &State, after: Option<u64>) -> String {
    let changed = state.entries.values().filter(|e| after.is_none_or(|a| e.0 > a)).map(|e| &e.1);
    let is_whole = after.is_none();
    let instances = changed.filter(|e| !is_whole || e["lifecycle"] != "left").collect::<Vec<_>>();
    json!({"generation": state.generation, "reset": is_whole, "instances": instances}).to_string()
}
