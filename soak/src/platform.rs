//! The emulated platform: the list of servers, and the servers that it contains.

use crate::backend::{Backend, Behaviour};
use crate::configuration::{SERVICES, ZONES};
use crate::record::Record;
use lupinledge_example::http;
use lupinledge_example::listener::Listener;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// Number of servers of each service in each zone.
const SERVERS_PER_ZONE: usize = 2;

/// A server in the list.
struct Entry {
    server: Backend,
    draining: bool,
}

/// The emulated platform with its servers.
pub struct Platform {
    record: Arc<Record>,
    behaviour: Behaviour,
    entries: Mutex<Vec<Entry>>,
    next_id: AtomicU64,
    /// While set, requests for the list are not answered.
    pub silent: AtomicBool,
}

impl Platform {
    /// Starts all servers and the HTTP server for the list; returns the address of the list.
    pub fn start(record: Arc<Record>, behaviour: Behaviour) -> std::io::Result<(Arc<Platform>, SocketAddr)> {
        let entries = Mutex::default();
        let (next_id, silent) = (AtomicU64::new(0), AtomicBool::new(false));
        let platform = Arc::new(Platform { record, behaviour, entries, next_id, silent });
        for service in SERVICES {
            for (zone, _) in ZONES {
                (0..SERVERS_PER_ZONE).try_for_each(|_| platform.add(service, zone))?;
            }
        }
        let answers = platform.clone();
        let door = Listener::start("127.0.0.1:0", move |stream| drop(answers.serve(stream)))?;
        Ok((platform, door.addr))
    }

    /// Starts one more server.
    pub fn add(&self, service: &'static str, zone: &'static str) -> std::io::Result<()> {
        let id = format!("i-{}", self.next_id.fetch_add(1, Ordering::SeqCst));
        let server = Backend::start(id, service, zone, self.behaviour, self.record.clone())?;
        self.lock().push(Entry { server, draining: false });
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Crashes a server; it stays in the list for a moment before another one replaces it.
    pub fn crash(&self, nth: usize) {
        let Some((id, service, zone)) = self.ready_server(nth) else { return };
        self.lock().iter().filter(|e| e.server.id == id).for_each(|e| e.server.crash());
        sleep(Duration::from_millis(700));
        self.lock().retain(|e| e.server.id != id);
        let _ = self.add(service, zone);
    }

    /// Replaces a server: starts a new one, lists the old one as draining, and stops the old one after four seconds,
    /// also if it still has open connections.
    pub fn replace(&self, nth: usize) {
        let Some((id, service, zone)) = self.ready_server(nth) else { return };
        let _ = self.add(service, zone);
        sleep(Duration::from_millis(500));
        self.lock().iter_mut().filter(|e| e.server.id == id).for_each(|e| e.draining = true);
        sleep(Duration::from_secs(4));
        self.lock().iter().filter(|e| e.server.id == id).for_each(|e| e.server.crash());
        self.lock().retain(|e| e.server.id != id);
    }

    /// Resets all open connections of a server.
    pub fn reset_connections(&self, nth: usize) {
        let Some((id, ..)) = self.ready_server(nth) else { return };
        self.lock().iter().filter(|e| e.server.id == id).for_each(|e| e.server.reset_connections());
    }

    /// Id, service and zone of a server that isn't draining; `nth` is taken modulo their number.
    fn ready_server(&self, nth: usize) -> Option<(String, &'static str, &'static str)> {
        let entries = self.lock();
        let ready: Vec<_> = entries.iter().filter(|e| !e.draining).collect();
        let chosen = ready.get(nth % ready.len().max(1))?;
        Some((chosen.server.id.clone(), chosen.server.service, chosen.server.zone))
    }

    fn list(&self) -> Value {
        let instance = |e: &Entry| {
            let state = if e.draining { "draining" } else { "ready" };
            json!({"id": e.server.id, "service": e.server.service, "address": e.server.address, "zone": e.server.zone,
                   "version": "v1", "slots": 16, "state": state, "warmup_left_s": 0})
        };
        json!({"instances": self.lock().iter().map(instance).collect::<Vec<_>>(), "next_token": null})
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream);
        while http::read_message(&mut reader)?.is_some() {
            while self.silent.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(20));
            }
            let body = self.list().to_string();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            reader.get_mut().write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }
}
