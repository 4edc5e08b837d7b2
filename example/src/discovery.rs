//! Discovery: the list of srvs and watches on it.

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
    /// Each srv's entry, and the generation of its last change.
    entries: BTreeMap<String, (u64, Value)>,
    generation: u64,
    muted: bool,
    watches: usize,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

pub struct Discovery {
    pub addr: SocketAddr,
    door: Listener,
    state: Shared,
}

/// An entry of the list; `born` is the last start in Unix milliseconds, 0 for long ago.
pub fn catalog_entry(id: &str, addr: SocketAddr, zone: &str, lifecycle: &str, born: u64) -> Value {
    json!({"instanceId": id, "hostPort": addr.to_string(), "zone": zone, "machineType": "toy", "cell": 0,
        "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": born})
}

impl Discovery {
    pub fn start(addr: &str) -> io::Result<Discovery> {
        let state = Arc::default();
        let door = Discovery::door(&state, addr)?;
        Ok(Discovery { addr: door.addr, door, state })
    }

    fn door(state: &Shared, addr: &str) -> io::Result<Listener> {
        let state = state.clone();
        Listener::start(addr, move |stream| {
            serve(&state, stream);
        })
    }

    /// Goes to another address with all that it knows; what is open at the old one ends after a time.
    pub fn move_to(&mut self, addr: &str, after: Duration) -> io::Result<()> {
        let old = std::mem::replace(&mut self.door, Discovery::door(&self.state, addr)?);
        self.addr = self.door.addr;
        old.close(after);
        Ok(())
    }

    /// A new version of the list with these entries changed.
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
    /// Whether watches stay silent, the empty lines included.
    pub fn set_muted(&self, muted: bool) {
        self.state.0.lock().unwrap().muted = muted;
        self.state.1.notify_all();
    }
    /// Watches opened so far.
    pub fn watches_opened(&self) -> usize {
        self.state.0.lock().unwrap().watches
    }
}

fn serve(state: &Shared, stream: TcpStream) -> Option<()> {
    let (mut from, mut to) = (BufReader::new(stream.try_clone().ok()?), stream);
    while let Some(req) = read_message(&mut from).ok()? {
        let target = req.start_line.split(' ').nth(1)?.to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let from = query.split('&').find_map(|p| p.strip_prefix("from=")?.parse::<u64>().ok());
        if path != "/catalog/members" {
            to.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").ok()?;
        } else if query.split('&').any(|p| p == "watch=1") {
            to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
            state.0.lock().unwrap().watches += 1;
            return watch(state, to, from);
        } else {
            let list = news(&state.0.lock().unwrap(), None);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            to.write_all((head + &list).as_bytes()).ok()?;
        }
    }
    Some(())
}

fn watch(shared: &Shared, mut to: TcpStream, mut from: Option<u64>) -> Option<()> {
    let mut first = true;
    loop {
        let mut state = shared.0.lock().unwrap();
        if !first && (state.muted || from == Some(state.generation)) {
            let (now, waited) = shared.1.wait_timeout(state, Duration::from_secs(2)).unwrap();
            state = now;
            if state.muted {
                continue;
            }
            if waited.timed_out() && from == Some(state.generation) {
                drop(state);
                chunk(&mut to, "\n")?;
                continue;
            }
        }
        if state.muted && first {
            drop(shared.1.wait_while(state, |s| s.muted).unwrap());
            continue;
        }
        if first || from != Some(state.generation) {
            let line = news(&state, from.filter(|f| *f <= state.generation)) + "\n";
            from = Some(state.generation);
            drop(state);
            chunk(&mut to, &line)?;
            first = false;
        }
    }
}

fn chunk(to: &mut TcpStream, text: &str) -> Option<()> {
    to.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()
}

/// What changed after a version, or the whole list.
fn news(state: &State, after: Option<u64>) -> String {
    let changed = state.entries.values().filter(|e| after.is_none_or(|a| e.0 > a)).map(|e| &e.1);
    let whole = after.is_none();
    let there = changed.filter(|e| !whole || e["lifecycle"] != "left").collect::<Vec<_>>();
    json!({"generation": state.generation, "reset": whole, "instances": there}).to_string()
}
