//! An emulated server: serves requests as the protocol page describes, applies the scheduled faults, and records
//! every fully received request with the data that the rule checks need.

use crate::emulator::run_state::RunState;
use crate::record::Arrival;
use crate::scenario::{FaultKind, Target};
use crate::schedule;
use lupinledge_example::http::{read_message, Message};
use socket2::SockRef;
use std::collections::BTreeSet;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::Duration;

/// Maximum number of connections of a server; more are reset, as by the machine of a real server at its limit.
pub const MAX_CONNECTIONS: usize = 256;

/// Address and identity of an emulated server.
#[derive(Clone)]
pub struct Server {
    /// Index over all groups, N of `srv:N`.
    pub index: usize,
    /// Address it listens on.
    pub addr: SocketAddr,
    /// The zone that discovery reports.
    pub zone: String,
}

/// State shared by the connections of one server.
struct ServerState {
    index: usize,
    latency: Duration,
    capacity: usize,
    run_state: Arc<RunState>,
    running: AtomicUsize,
    connections: AtomicUsize,
    /// Idempotency keys of requests that ran here; a repeated key gets the stored answer. Bounded by the number of
    /// requests in a run.
    keys: Mutex<BTreeSet<String>>,
}

impl Server {
    /// Starts a server on a free loopback port, with one thread per connection.
    pub fn start(
        index: usize,
        zone: &str,
        latency_ms: u64,
        capacity: usize,
        run_state: Arc<RunState>,
    ) -> std::io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let inner = Arc::new(ServerState {
            index,
            latency: Duration::from_millis(latency_ms),
            capacity,
            run_state,
            running: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            keys: Mutex::default(),
        });
        spawn(move || {
            for stream in listener.incoming().flatten() {
                if inner.run_state.is_over() {
                    return;
                }
                if inner.connections.fetch_add(1, Ordering::SeqCst) >= MAX_CONNECTIONS {
                    inner.connections.fetch_sub(1, Ordering::SeqCst);
                    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    continue;
                }
                let this = inner.clone();
                spawn(move || {
                    this.serve(stream);
                    this.connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(Server { index, addr, zone: zone.to_string() })
    }
}

/// The `X-Request-Id` as a number; 0 if it is missing or malformed.
fn id_of(message: &Message) -> u64 {
    message.header("x-request-id").and_then(|i| u64::from_str_radix(i, 16).ok()).unwrap_or(0)
}

/// The customer in the `client` query parameter; 0 if it is missing or malformed.
fn customer_of(message: &Message) -> u32 {
    let target = message.start_line.split(' ').nth(1).unwrap_or_default();
    let query = target.split_once('?').map_or("", |q| q.1);
    let hex = query.split('&').find_map(|p| p.strip_prefix("client="));
    hex.and_then(|h| u64::from_str_radix(h, 16).ok()).unwrap_or(0) as u32
}

/// Index of the class in the first path segment; `u8::MAX` if it is unknown.
fn class_of(message: &Message, run_state: &RunState) -> u8 {
    let target = message.start_line.split(' ').nth(1).unwrap_or_default();
    let first = target.trim_start_matches('/').split(['/', '?']).next().unwrap_or_default();
    run_state.settings.class(first).unwrap_or(u8::MAX as usize) as u8
}

impl ServerState {
    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone().ok()?), stream);
        while let Some(request) = read_message(&mut reader).ok()? {
            self.serve_request(&request, &mut writer, &mut reader)?;
        }
        Some(())
    }

    /// Serves one request; `None` if the connection must end.
    fn serve_request(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        reader: &mut BufReader<TcpStream>,
    ) -> Option<()> {
        let state = &self.run_state;
        let t = state.now();
        let (limit, cold) = schedule::server_limit(&state.faults, self.index, self.capacity, t);
        let since_drain_announced =
            schedule::drain_announced_at(&state.faults, self.index, t).map_or(f64::NAN, |d| t - d);
        let customer = customer_of(request);
        let key = request.header("idempotency-key").map(str::to_string);
        let repeat_of_key = key.as_ref().is_some_and(|k| self.keys.lock().unwrap().contains(k));
        let running = self.running.load(Ordering::SeqCst);
        let past_grace = since_drain_announced > state.grace_s;
        let ran = running < limit && !past_grace && !repeat_of_key;
        let id = id_of(request);
        let open = state.request_opened(customer, self.index as u16, id);
        state.record_arrival(Arrival {
            server: self.index as u16,
            at: t,
            id,
            class: class_of(request, state),
            customer,
            ran,
            repeat_of_key,
            running,
            limit,
            cold,
            since_drain_announced,
            customer_open: open,
        });
        let body = format!("made for {}\n", request.header("x-request-id").unwrap_or("nobody"));
        if repeat_of_key || !ran {
            state.request_closed(customer, self.index as u16, id);
            let (status, headers) =
                if repeat_of_key { ("200 OK", "") } else { ("503 Service Unavailable", "X-Not-Run: 1\r\n") };
            return write_response(writer, status, headers, &body);
        }
        if let Some(k) = key {
            self.keys.lock().unwrap().insert(k);
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let open_request = OpenRequest { server: self, customer, id, open: std::cell::Cell::new(true) };
        let fault = schedule::active_fault(&state.faults, Target::Server(self.index), t).map(|f| f.kind);
        self.respond(fault, writer, reader, &body, &open_request)
    }

    /// Waits for `span`, or until the gateway closes the connection (then `false`) or the run ends. A connection
    /// carries one request at a time, so only its end can be read while a request runs.
    fn wait_while_connected(&self, reader: &mut BufReader<TcpStream>, span: Option<Duration>) -> bool {
        let until = span.map(|s| std::time::Instant::now() + s);
        let mut byte = [0u8; 1];
        loop {
            let left =
                until.map_or(POLL, |u| u.saturating_duration_since(std::time::Instant::now()).min(POLL));
            if left.is_zero() || self.run_state.is_over() {
                return until.is_some();
            }
            if reader.get_ref().set_read_timeout(Some(left)).is_err() {
                return false;
            }
            match reader.read(&mut byte) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(_) => return false,
            }
        }
    }

    /// Responds as the active fault demands; `None` if the connection must end.
    fn respond(
        &self,
        fault: Option<FaultKind>,
        writer: &mut TcpStream,
        reader: &mut BufReader<TcpStream>,
        body: &str,
        open_request: &OpenRequest,
    ) -> Option<()> {
        let span = match fault {
            Some(FaultKind::Slow { ms }) => Some(self.latency + Duration::from_millis(ms)),
            Some(FaultKind::Silent) => None,
            _ => Some(self.latency),
        };
        if !self.wait_while_connected(reader, span) {
            open_request.close();
            return None;
        }
        // The request stays open until its response is written: it is closed just before the last write.
        let (status, headers) = match fault {
            Some(FaultKind::ResetMidAnswer) => {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\nmade", body.len());
                writer.write_all(head.as_bytes()).ok()?;
                SockRef::from(&*writer).set_linger(Some(Duration::ZERO)).ok()?;
                open_request.close();
                return None;
            }
            Some(FaultKind::Informational) => {
                writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").ok()?;
                ("200 OK", "")
            }
            Some(FaultKind::Failing) => ("500 Internal Server Error", ""),
            Some(FaultKind::SpoiltBilled) => ("200 OK", "Billed-Units: lots\r\n"),
            _ => ("200 OK", ""),
        };
        open_request.close();
        write_response(writer, status, headers, body)
    }
}

/// Interval at which a running request checks whether its connection has ended.
const POLL: Duration = Duration::from_millis(20);

/// A running request: counted for its server and its customer until `close`, which may be called repeatedly.
struct OpenRequest<'a> {
    server: &'a ServerState,
    customer: u32,
    id: u64,
    open: std::cell::Cell<bool>,
}

impl OpenRequest<'_> {
    fn close(&self) {
        if self.open.replace(false) {
            self.server.running.fetch_sub(1, Ordering::SeqCst);
            self.server.run_state.request_closed(self.customer, self.server.index as u16, self.id);
        }
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.close()
    }
}

/// Writes a response with a `Content-Length`.
fn write_response(writer: &mut TcpStream, status: &str, headers: &str, body: &str) -> Option<()> {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len());
    writer.write_all(text.as_bytes()).ok()
}
