//! Clients: most keep to the protocol and record how their requests end; some misbehave, and the system has to cope
//! with them.

use crate::backend::{body_for, request_body};
use crate::cluster::Cluster;
use crate::configuration::{FREE, HOMED, HOST, LIMITED, MOVING, PAY, READ, UNKNOWN_KEY};
use crate::record::{Outcome, Record, Seconds, SentRequest};
use lupinledge_example::http::{Client, Message};
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The deadline that clients send with each request.
pub const DEADLINE: Duration = Duration::from_millis(2000);
/// How long beyond its deadline a client waits for a final answer.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(1500);
/// How long a client uses an answer of the directory.
const DIRECTORY_CACHE_TTL: Duration = Duration::from_secs(2);

/// A client draws one of this many numbers to choose an API key. The last [`OTHER_KEY_DRAWS`] select the unknown key or
/// that of the rotating tenant.
const KEY_DRAWS: u8 = 20;
const OTHER_KEY_DRAWS: u8 = 4;
/// Default and maximum number of draws that select the limited tenant's key.
pub const DEFAULT_LIMITED_DRAWS: u8 = 5;
pub const MAX_LIMITED_DRAWS: u8 = 15;

/// State that all clients of a run share.
pub struct ClientContext {
    pub record: Arc<Record>,
    pub cluster: Arc<Cluster>,
    /// The rotating tenant's key in the configuration that was acknowledged last.
    pub rotating_key: Arc<std::sync::Mutex<String>>,
    /// Set to stop all clients.
    pub stop: AtomicBool,
    pub seed: u64,
    /// How many of `KEY_DRAWS` requests have the limited tenant's key; the free tenant's requests become fewer by as
    /// many.
    pub limited: u8,
}

/// One client that keeps to the protocol.
struct WellBehavedClient {
    context: Arc<ClientContext>,
    nth: u64,
    rng: fastrand::Rng,
    requests_created: u64,
    fronts: Vec<SocketAddr>,
    resolved_at: Option<Instant>,
    connection: Option<(SocketAddr, Client)>,
}

/// A request that has not been sent yet.
struct Request {
    id: String,
    path: String,
    repeatable: bool,
    api_key: String,
}

impl Request {
    fn bytes(&self) -> Vec<u8> {
        let (method, body) =
            if self.repeatable { ("GET", String::new()) } else { ("POST", request_body(&self.id)) };
        let length =
            if self.repeatable { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let (path, id, api_key) = (&self.path, &self.id, &self.api_key);
        let deadline = DEADLINE.as_millis();
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nLupinledge-Attempt-Id: {id}\r\nLupinledge-Deadline-Ms: {deadline}\r\n\
             Authorization: Token {api_key}\r\n{length}\r\n{body}"
        )
        .into_bytes()
    }
}

/// Sends requests until the run stops.
pub fn run_well_behaved_client(context: Arc<ClientContext>, nth: u64) {
    let rng = fastrand::Rng::with_seed(context.seed << 16 | nth);
    let (fronts, resolved_at, connection) = (Vec::new(), None, None);
    let mut client =
        WellBehavedClient { context, nth, rng, requests_created: 0, fronts, resolved_at, connection };
    while !client.context.stop.load(Ordering::SeqCst) {
        client.send_next_request();
        let pause = client.rng.u64(5..40);
        sleep(Duration::from_millis(pause));
    }
}

impl WellBehavedClient {
    fn next_request(&mut self) -> Request {
        self.requests_created += 1;
        let id = format!("{}-{}-{}", self.context.seed, self.nth, self.requests_created);
        let (prefix, repeatable) = match self.rng.u8(0..10) {
            0..=2 => (READ, true),
            3..=6 => (PAY, false),
            7 => (HOMED, false),
            _ => (MOVING, true),
        };
        let limited_from = KEY_DRAWS - OTHER_KEY_DRAWS - self.context.limited;
        let api_key = match self.rng.u8(0..KEY_DRAWS) {
            nth if nth < limited_from => FREE.1.to_string(),
            nth if nth < KEY_DRAWS - OTHER_KEY_DRAWS => LIMITED.1.to_string(),
            16 => UNKNOWN_KEY.to_string(),
            _ => self.context.rotating_key.lock().map(|api_key| api_key.clone()).unwrap_or_default(),
        };
        Request { path: format!("{prefix}{id}"), id, repeatable, api_key }
    }

    /// Gets the addresses of edge processes from the directory; the previous ones are kept if no core member answers.
    fn refresh_fronts(&mut self) {
        if self.resolved_at.is_some_and(|at| at.elapsed() < DIRECTORY_CACHE_TTL) {
            return;
        }
        let cores = self.context.cluster.size().cores;
        let first = self.rng.usize(0..cores);
        for core in (0..cores).map(|i| (first + i) % cores) {
            let at = self.context.cluster.control_address(core);
            if let Some(fronts) = resolve(at) {
                (self.fronts, self.resolved_at) = (fronts, Some(Instant::now()));
                return;
            }
        }
        if self.fronts.is_empty() {
            let cluster = &self.context.cluster;
            self.fronts = (0..cluster.size().edges).map(|edge| cluster.front_address(edge)).collect();
        }
    }

    /// The open connection, or a new one to a random edge process.
    fn take_connection(&mut self) -> Option<(SocketAddr, Client)> {
        // an open connection is used until its process closes it, also if the directory no longer lists the process
        if let Some(connection) = self.connection.take() {
            return Some(connection);
        }
        let front = self.fronts[self.rng.usize(0..self.fronts.len())];
        match Client::connect_with_timeout(front, DEADLINE + DEADLINE_MARGIN) {
            Ok(client) => Some((front, client)),
            Err(_) => {
                // asks the directory again, and uses only the other addresses until it answers
                self.fronts.retain(|other| *other != front);
                self.resolved_at = None;
                None
            }
        }
    }

    /// Sends one request and records how it ended.
    fn send_next_request(&mut self) {
        self.refresh_fronts();
        let Some((front, mut connection)) = self.take_connection() else { return };
        let Some(edge) = self.context.cluster.edge_at(front) else { return };
        let request = self.next_request();
        let record = self.context.record.clone();
        let (abandons, mut keep_alive) = (self.rng.u8(0..25) == 0, false);
        let written = connection.write(&request.bytes());
        let at = record.now();
        let outcome = match written {
            Err(_) => Outcome::Unsent,
            Ok(()) if abandons => {
                sleep(Duration::from_millis(self.rng.u64(1..60)));
                Outcome::Left
            }
            Ok(()) => {
                let answer = connection.read_response();
                let closes_connection =
                    |a: &Message| a.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
                keep_alive = matches!(&answer, Ok(Some(a)) if !closes_connection(a));
                classify_answer(&request, answer)
            }
        };
        let ended_at = record.now();
        let answered = keep_alive && matches!(outcome, Outcome::Answered { fault: None, .. });
        if answered && self.rng.u8(0..12) > 0 {
            self.connection = Some((front, connection));
        } else if !answered {
            self.resolved_at = None;
        }
        let Request { id, path, repeatable, api_key } = request;
        let deadline = at + DEADLINE.as_secs_f64();
        record.observations().requests.push(SentRequest {
            id,
            path,
            repeatable,
            api_key,
            edge,
            at,
            ended_at,
            deadline,
            outcome,
        });
    }
}

/// Derives how a request ended from the result of reading its connection.
fn classify_answer(request: &Request, answer: std::io::Result<Option<Message>>) -> Outcome {
    match answer {
        Ok(Some(answer)) => {
            Outcome::Answered { status: answer.status(), fault: answer_fault(&request.id, &answer) }
        }
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Outcome::Silent,
        Ok(None) | Err(_) => Outcome::Broken,
    }
}

/// What is wrong with an answer, judged without other observations.
fn answer_fault(id: &str, answer: &Message) -> Option<&'static str> {
    match answer.status() {
        200..300 if answer.text() != body_for(id) => {
            Some("the body belongs to another request or is incomplete")
        }
        200..300 if answer.header("lupinledge-server-stamp").is_none() => Some("no server stamp"),
        200..600 => None,
        _ => Some("the status is not one of the protocol"),
    }
}

/// The addresses that the directory returns.
pub fn resolve(at: SocketAddr) -> Option<Vec<SocketAddr>> {
    let path = format!("/lupinledge/resolve?name={HOST}&region=north&zone=north-1");
    let mut client = Client::connect_with_timeout(at, Duration::from_secs(1)).ok()?;
    let call = format!("GET {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
    let answer = client.send_request(call.as_bytes()).ok()??;
    let directory_answer: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    let addresses = directory_answer["addresses"].as_array()?.iter();
    let fronts: Vec<SocketAddr> = addresses.filter_map(|a| a.as_str()?.parse().ok()).collect();
    (answer.status() == 200 && !fronts.is_empty()).then_some(fronts)
}

/// Misbehaves in random ways until the run stops. Its requests are not checked; only their effect on other clients
/// shows in the checks.
pub fn run_misbehaving_client(context: Arc<ClientContext>, nth: u64) {
    let mut rng = fastrand::Rng::with_seed(context.seed << 16 | 1 << 15 | nth);
    let mut held_open: Vec<TcpStream> = Vec::new();
    while !context.stop.load(Ordering::SeqCst) {
        let front = context.cluster.front_address(rng.usize(0..context.cluster.size().edges));
        if let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) {
            held_open.extend(misbehave(stream, &mut rng));
        }
        held_open.truncate(20);
        sleep(Duration::from_millis(rng.u64(20..200)));
    }
}

/// Misbehaves once; returns the connection if it is to be kept open without further traffic.
fn misbehave(mut stream: TcpStream, rng: &mut fastrand::Rng) -> Option<TcpStream> {
    let head = format!("POST {PAY}x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {}\r\n", FREE.1);
    let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
    match rng.u8(0..8) {
        0 => {} // sends nothing, and keeps the connection open
        1 => drop(stream.write_all(&head.as_bytes()[..head.len() / 2])), // never completes the request's head
        2 => drop(stream.write_all(format!("{head}Content-Length: 50000\r\n\r\nonly a part").as_bytes())),
        3 => {
            let garbage: Vec<u8> = (0..400).map(|_| rng.u8(..)).collect();
            let _ = stream.write_all(&garbage);
        }
        4 => {
            // request smuggling: another request hidden in a body
            let smuggled = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/hidden HTTP/1.1\r\n\r\n";
            let _ = stream.write_all((head + smuggled).as_bytes());
        }
        5 => {
            // a large body that is refused, and the answer is not read
            let _ = stream.write_all(format!("{head}Content-Length: 9000000\r\n\r\n").as_bytes());
            let _ = stream.write_all(&vec![b'x'; 200_000]);
        }
        6 => {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return None; // resets the connection at once
        }
        _ => {
            let _ = stream.write_all(
                format!("{head}Lupinledge-Attempt-Id: half\r\nContent-Length: 3\r\n\r\nab").as_bytes(),
            );
            let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
            let _ = stream.read(&mut [0; 16]);
            return None;
        }
    }
    Some(stream)
}

/// How long a well-behaved client waits for an answer after it has sent its last byte, in seconds.
pub fn max_answer_wait() -> Seconds {
    (DEADLINE + DEADLINE_MARGIN).as_secs_f64()
}
