//! An emulated srv: serves reqs as the protocol page says, plays the faults the schedule gives it, and records
//! every req that reaches it whole with what the rules need to know.

use crate::emu::shared::Shared;
use crate::record::Arrival;
use crate::scenario::{Target, What};
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

/// Most connections one srv holds; further ones are reset, as a real srv's machine does when full.
pub const MOST_CONNECTIONS: usize = 256;

#[derive(Clone)]
pub struct Srv {
    pub n: usize,
    pub addr: SocketAddr,
    pub zone: String,
}

struct Inner {
    n: usize,
    latency: Duration,
    capacity: usize,
    shared: Arc<Shared>,
    running: AtomicUsize,
    connections: AtomicUsize,
    /// Keys of uniqued reqs that ran here; a repeat is answered from memory. Bounded by the reqs of a run.
    keys: Mutex<BTreeSet<String>>,
}

impl Srv {
    pub fn start(
        n: usize,
        zone: &str,
        latency_ms: u64,
        capacity: usize,
        shared: Arc<Shared>,
    ) -> std::io::Result<Srv> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let inner = Arc::new(Inner {
            n,
            latency: Duration::from_millis(latency_ms),
            capacity,
            shared,
            running: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            keys: Mutex::default(),
        });
        spawn(move || {
            for stream in listener.incoming().flatten() {
                if inner.shared.over() {
                    return;
                }
                if inner.connections.fetch_add(1, Ordering::SeqCst) >= MOST_CONNECTIONS {
                    inner.connections.fetch_sub(1, Ordering::SeqCst);
                    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    continue;
                }
                let me = inner.clone();
                spawn(move || {
                    me.serve(stream);
                    me.connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(Srv { n, addr, zone: zone.to_string() })
    }
}

/// The id a client wrote, as a number; 0 for none or a bad one.
fn id_of(m: &Message) -> u64 {
    m.header("x-request-id").and_then(|i| u64::from_str_radix(i, 16).ok()).unwrap_or(0)
}

fn customer_of(m: &Message) -> u32 {
    let target = m.start_line.split(' ').nth(1).unwrap_or_default();
    let query = target.split_once('?').map_or("", |q| q.1);
    let hex = query.split('&').find_map(|p| p.strip_prefix("client="));
    hex.and_then(|h| u64::from_str_radix(h, 16).ok()).unwrap_or(0) as u32
}

fn class_of(m: &Message, shared: &Shared) -> u8 {
    let target = m.start_line.split(' ').nth(1).unwrap_or_default();
    let first = target.trim_start_matches('/').split(['/', '?']).next().unwrap_or_default();
    shared.terms.class(first).unwrap_or(u8::MAX as usize) as u8
}

impl Inner {
    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let (mut from, mut to) = (BufReader::new(stream.try_clone().ok()?), stream);
        while let Some(req) = read_message(&mut from).ok()? {
            self.one(&req, &mut to, &mut from)?;
        }
        Some(())
    }

    /// Serves one req; `None` where the connection is to end.
    fn one(&self, req: &Message, to: &mut TcpStream, from: &mut BufReader<TcpStream>) -> Option<()> {
        let sh = &self.shared;
        let t = sh.now();
        let (limit, cold) = schedule::limit(&sh.faults, self.n, self.capacity, t);
        let since_drain = schedule::drain_told(&sh.faults, self.n, t).map_or(f64::NAN, |d| t - d);
        let customer = customer_of(req);
        let key = req.header("idempotency-key").map(str::to_string);
        let repeat_of_key = key.as_ref().is_some_and(|k| self.keys.lock().unwrap().contains(k));
        let running = self.running.load(Ordering::SeqCst);
        let past_grace = since_drain > sh.grace_s;
        let ran = running < limit && !past_grace && !repeat_of_key;
        let id = id_of(req);
        let open = sh.open(customer, self.n as u16, id);
        sh.arrive(Arrival {
            srv: self.n as u16,
            at: t,
            id,
            class: class_of(req, sh),
            customer,
            ran,
            repeat_of_key,
            running,
            limit,
            cold,
            since_drain,
            customer_open: open,
        });
        let body = format!("made for {}\n", req.header("x-request-id").unwrap_or("nobody"));
        if repeat_of_key || !ran {
            sh.shut(customer, self.n as u16, id);
            let (status, headers) =
                if repeat_of_key { ("200 OK", "") } else { ("503 Service Unavailable", "X-Not-Run: 1\r\n") };
            return answer(to, status, headers, &body);
        }
        if let Some(k) = key {
            self.keys.lock().unwrap().insert(k);
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let out = Out { srv: self, customer, id, open: std::cell::Cell::new(true) };
        let fault = schedule::active(&sh.faults, Target::Srv(self.n), t).map(|f| f.what);
        self.play(fault, to, from, &body, &out)
    }

    /// Waits `span` or till the gateway ends the connection (then `false`), or the run ends. A connection carries
    /// one req at a time, so nothing but its end can come while a req runs.
    fn hold(&self, from: &mut BufReader<TcpStream>, span: Option<Duration>) -> bool {
        let until = span.map(|s| std::time::Instant::now() + s);
        let mut byte = [0u8; 1];
        loop {
            let left =
                until.map_or(POLL, |u| u.saturating_duration_since(std::time::Instant::now()).min(POLL));
            if left.is_zero() || self.shared.over() {
                return until.is_some();
            }
            if from.get_ref().set_read_timeout(Some(left)).is_err() {
                return false;
            }
            match from.read(&mut byte) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(_) => return false,
            }
        }
    }

    fn play(
        &self,
        fault: Option<What>,
        to: &mut TcpStream,
        from: &mut BufReader<TcpStream>,
        body: &str,
        out: &Out,
    ) -> Option<()> {
        let span = match fault {
            Some(What::Slow { ms }) => Some(self.latency + Duration::from_millis(ms)),
            Some(What::Silent) => None,
            _ => Some(self.latency),
        };
        if !self.hold(from, span) {
            out.close();
            return None;
        }
        // The attempt is out until its answer is written: closed just before the last write.
        let (status, headers) = match fault {
            Some(What::ResetMidAnswer) => {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\nmade", body.len());
                to.write_all(head.as_bytes()).ok()?;
                SockRef::from(&*to).set_linger(Some(Duration::ZERO)).ok()?;
                out.close();
                return None;
            }
            Some(What::Informational) => {
                to.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").ok()?;
                ("200 OK", "")
            }
            Some(What::Failing) => ("500 Internal Server Error", ""),
            Some(What::SpoiltBilled) => ("200 OK", "Billed-Units: lots\r\n"),
            _ => ("200 OK", ""),
        };
        out.close();
        answer(to, status, headers, body)
    }
}

/// How often a running req looks whether its connection has ended.
const POLL: Duration = Duration::from_millis(20);

/// A req that runs: counted in its srv and its customer until `close`, which may be called more than once.
struct Out<'a> {
    srv: &'a Inner,
    customer: u32,
    id: u64,
    open: std::cell::Cell<bool>,
}

impl Out<'_> {
    fn close(&self) {
        if self.open.replace(false) {
            self.srv.running.fetch_sub(1, Ordering::SeqCst);
            self.srv.shared.shut(self.customer, self.srv.n as u16, self.id);
        }
    }
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        self.close()
    }
}

fn answer(to: &mut TcpStream, status: &str, headers: &str, body: &str) -> Option<()> {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len());
    to.write_all(text.as_bytes()).ok()
}
