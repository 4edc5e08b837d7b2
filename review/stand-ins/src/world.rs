//! The stand-ins of the outer world: the platform's list, servers, clients and the operator.

use crate::http::{call, Message, Reader};
use crate::record::{Record, Run};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// What a server does with a request.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// How long it works.
    pub ms: u64,
    /// Whether it closes the connection after the work, without an answer.
    pub lose_answer: bool,
}

pub type WorkOf = Arc<dyn Fn(&str) -> Work + Send + Sync>;

/// A server in the list.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
}

/// The platform and its servers.
pub struct World {
    pub record: Arc<Record>,
    pub servers: Mutex<Vec<Server>>,
    pub platform: SocketAddr,
    work: WorkOf,
    next_id: AtomicU64,
}

const SLOTS: usize = 8;

impl World {
    pub fn start(record: Arc<Record>, work: WorkOf) -> std::io::Result<Arc<World>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let platform = listener.local_addr()?;
        let world = Arc::new(World {
            record,
            servers: Mutex::default(),
            platform,
            work,
            next_id: AtomicU64::new(0x7f3a_0000),
        });
        let shared = world.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = shared.clone();
                spawn(move || world.serve_list(stream));
            }
        });
        Ok(world)
    }

    fn serve_list(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while reader.read().is_ok() {
            let rows: Vec<String> = self
                .servers
                .lock()
                .unwrap()
                .iter()
                .map(|s| {
                    format!(
                        r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{SLOTS},"state":"ready","warmup_left_s":0,"id":"{}"}}"#,
                        s.service, s.address, s.zone, s.id
                    )
                })
                .collect();
            let body = format!(r#"{{"instances":[{}],"next_token":null}}"#, rows.join(","));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Starts a server and lists it.
    pub fn add_server(self: &Arc<World>, service: &str, zone: &str) -> std::io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let id = format!("i-{:08x}", self.next_id.fetch_add(1, Ordering::SeqCst));
        let server = Server {
            id,
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr()?,
        };
        self.servers.lock().unwrap().push(server.clone());
        let (world, running) = (self.clone(), Arc::new(AtomicUsize::new(0)));
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (world, server, running) = (world.clone(), server.clone(), running.clone());
                spawn(move || world.serve(&server, stream, &running));
            }
        });
        Ok(())
    }

    /// Serves one connection of a gateway: one request at a time.
    fn serve(&self, server: &Server, stream: TcpStream, running: &AtomicUsize) {
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.read() {
            let (method, target) = request.target();
            if method == "GET" && target == "/health" {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nLupinledge-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    server.id
                );
                if reader.stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let attempt = request.header("lupinledge-attempt-id").unwrap_or("").to_string();
            let refuse = |status: &str| {
                format!(
                    "HTTP/1.1 {status}\r\nLupinledge-Attempt-Id: {attempt}\r\nLupinledge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )
            };
            let expected = request.header("lupinledge-expect-instance");
            let refusal = if attempt.is_empty() {
                Some(refuse("400 Bad Request"))
            } else if expected.is_some_and(|e| e != server.id) {
                Some(refuse("421 Misdirected Request"))
            } else if running.load(Ordering::SeqCst) >= SLOTS {
                Some(refuse("503 Service Unavailable"))
            } else {
                None
            };
            if let Some(refusal) = refusal {
                if reader.stream.write_all(refusal.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            running.fetch_add(1, Ordering::SeqCst);
            self.record.ran(Run {
                at: self.record.now(),
                server: server.id.clone(),
                service: server.service.clone(),
                attempt: attempt.clone(),
                key: request.header("lupinledge-operation-key").unwrap_or("-").into(),
                tenant: request.header("lupinledge-tenant").unwrap_or("-").into(),
                target: format!("{method} {target}"),
            });
            let work = (self.work)(target);
            let deadline = request.header("lupinledge-deadline-ms").and_then(|d| d.parse().ok());
            let ended = self.work_on(&reader.stream, work.ms.min(deadline.unwrap_or(u64::MAX)));
            let left = running.fetch_sub(1, Ordering::SeqCst) - 1;
            if !ended {
                // like most servers, this one drops a request once its connection closes
                self.record.line(format!("DROPPED server={} attempt={attempt}", server.id));
                return;
            }
            if work.lose_answer {
                self.record.line(format!("ANSWER LOST server={} attempt={attempt}", server.id));
                return;
            }
            let status = if work.ms > deadline.unwrap_or(u64::MAX) { "504 Gateway Timeout" } else { "200 OK" };
            let body = format!("done {attempt} by {}", server.id);
            let answer = format!(
                "HTTP/1.1 {status}\r\nLupinledge-Attempt-Id: {attempt}\r\nLupinledge-Server-Stamp: {}.{attempt}\r\nLupinledge-Server-Load: {left},0,{SLOTS}\r\nContent-Length: {}\r\n\r\n{body}",
                server.id,
                body.len()
            );
            if reader.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Works; returns false once the connection is closed meanwhile.
    fn work_on(&self, stream: &TcpStream, ms: u64) -> bool {
        let end = Instant::now() + Duration::from_millis(ms);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
        let mut closed = false;
        while Instant::now() < end && !closed {
            match stream.peek(&mut [0]) {
                Ok(0) => closed = true,
                Ok(_) => sleep(Duration::from_millis(5)),
                Err(e) => closed = !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            }
        }
        let _ = stream.set_read_timeout(None);
        !closed
    }
}

/// A client's request: one try.
#[derive(Clone)]
pub struct Try {
    pub method: &'static str,
    pub target: String,
    pub attempt: String,
    pub key: Option<String>,
    pub body: String,
    pub deadline_ms: u64,
}

pub const HOST: &str = "jepu9.example";
pub const TENANT: &str = "yefi830";
pub const API_KEY: &str = "tnfzs989anu6wsjnbanf";

/// Sends one try to a gateway and records it and its answer; `None` if the connection ended without one.
pub fn send(record: &Record, gateway: SocketAddr, t: &Try) -> Option<Message> {
    let key = t.key.as_ref().map_or(String::new(), |k| format!("Lupinledge-Operation-Key: {k}\r\n"));
    let request = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nLupinledge-Attempt-Id: {}\r\n{key}Lupinledge-Deadline-Ms: {}\r\nAuthorization: Token {API_KEY}\r\nContent-Length: {}\r\n\r\n{}",
        t.method,
        t.target,
        t.attempt,
        t.deadline_ms,
        t.body.len(),
        t.body
    );
    record.line(format!(
        "SEND to={gateway} {} {} attempt={} key={}",
        t.method,
        t.target,
        t.attempt,
        t.key.as_deref().unwrap_or("-")
    ));
    match call(gateway, request.as_bytes(), Duration::from_millis(t.deadline_ms + 500)) {
        Ok(answer) => {
            record.line(format!(
                "ANSWER attempt={} status={} stamp={} retry-after={} body={:?}",
                t.attempt,
                answer.status(),
                answer.header("lupinledge-server-stamp").unwrap_or("-"),
                answer.header("retry-after").unwrap_or("-"),
                String::from_utf8_lossy(&answer.body)
            ));
            Some(answer)
        }
        Err(e) => {
            record.line(format!("NO ANSWER attempt={} {e}", t.attempt));
            None
        }
    }
}

/// An order of the operator: sent to one control address after the other until it is acknowledged or refused.
pub fn order(record: &Record, controls: &[SocketAddr], method: &str, path: &str, body: &str, wait: Duration) -> Option<u16> {
    let began = Instant::now();
    let mut nth = 0;
    while began.elapsed() < wait {
        let mut to = controls[nth % controls.len()];
        nth += 1;
        for _ in 0..3 {
            let request = format!(
                "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let Ok(answer) = call(to, request.as_bytes(), Duration::from_secs(1)) else { break };
            let status = answer.status();
            if status == 307 {
                let location = answer.header("location").unwrap_or("");
                let at = location.strip_prefix("http://").and_then(|l| l.split('/').next()?.parse().ok());
                let Some(at) = at else { break };
                to = at;
                continue;
            }
            if matches!(status, 200..=299 | 400 | 409 | 412 | 413 | 422) {
                record.line(format!("ORDER {method} {path} at={to} status={status}"));
                return Some(status);
            }
            break;
        }
        sleep(Duration::from_millis(50));
    }
    record.line(format!("ORDER {method} {path} not acknowledged"));
    None
}
