//! Clients: most keep to the protocol and note what they meet; some misbehave and are only there to be borne.

use crate::backend::{body_for, request_body};
use crate::cluster::Cluster;
use crate::configuration::{FREE, HOMED, HOST, LIMITED, MOVING, PAY, READ, UNKNOWN_KEY};
use crate::record::{Ending, Record, Seconds, Sent};
use lupinledge_example::http::{Client, Message};
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// What clients say that they wait.
pub const DEADLINE: Duration = Duration::from_millis(2000);
/// Beyond its deadline a client waits so long for a final answer.
pub const PATIENCE: Duration = Duration::from_millis(1500);
/// An answer of the directory is kept for so long.
const KEEP: Duration = Duration::from_secs(2);

/// Keys are drawn from so many places; these at the end are those of nobody and of the rotating tenant.
const KEYS_IN_ALL: u8 = 20;
const OTHER_KEYS: u8 = 4;
/// The limited tenant's places, unless told otherwise, and the most it may have.
pub const LIMITED_PLACES: u8 = 5;
pub const LIMITED_PLACES_MOST: u8 = 15;

/// What all clients of a run share.
pub struct Crowd {
    pub record: Arc<Record>,
    pub cluster: Arc<Cluster>,
    /// The key of the rotating tenant that was acknowledged last.
    pub rotating_key: Arc<std::sync::Mutex<String>>,
    pub stop: AtomicBool,
    pub seed: u64,
    /// Of [`KEYS_IN_ALL`] requests, how many bear the limited tenant's key; unlimited ones make room for more.
    pub limited: u8,
}

/// One client that keeps to the protocol.
struct Honest {
    crowd: Arc<Crowd>,
    nth: u64,
    rng: fastrand::Rng,
    asked: u64,
    fronts: Vec<SocketAddr>,
    learnt: Option<Instant>,
    link: Option<(SocketAddr, Client)>,
}

/// One request before it is sent.
struct Request {
    id: String,
    path: String,
    repeatable: bool,
    key: String,
}

impl Request {
    fn bytes(&self) -> Vec<u8> {
        let (method, body) =
            if self.repeatable { ("GET", String::new()) } else { ("POST", request_body(&self.id)) };
        let length =
            if self.repeatable { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let (path, id, key) = (&self.path, &self.id, &self.key);
        let deadline = DEADLINE.as_millis();
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nLupinledge-Attempt-Id: {id}\r\nLupinledge-Deadline-Ms: {deadline}\r\n\
             Authorization: Token {key}\r\n{length}\r\n{body}"
        )
        .into_bytes()
    }
}

/// Asks until the run stops.
pub fn honest(crowd: Arc<Crowd>, nth: u64) {
    let rng = fastrand::Rng::with_seed(crowd.seed << 16 | nth);
    let (fronts, learnt, link) = (Vec::new(), None, None);
    let mut client = Honest { crowd, nth, rng, asked: 0, fronts, learnt, link };
    while !client.crowd.stop.load(Ordering::SeqCst) {
        client.turn();
        let pause = client.rng.u64(5..40);
        sleep(Duration::from_millis(pause));
    }
}

impl Honest {
    fn request(&mut self) -> Request {
        self.asked += 1;
        let id = format!("{}-{}-{}", self.crowd.seed, self.nth, self.asked);
        let (prefix, repeatable) = match self.rng.u8(0..10) {
            0..=2 => (READ, true),
            3..=6 => (PAY, false),
            7 => (HOMED, false),
            _ => (MOVING, true),
        };
        let limited_from = KEYS_IN_ALL - OTHER_KEYS - self.crowd.limited;
        let key = match self.rng.u8(0..KEYS_IN_ALL) {
            nth if nth < limited_from => FREE.1.to_string(),
            nth if nth < KEYS_IN_ALL - OTHER_KEYS => LIMITED.1.to_string(),
            16 => UNKNOWN_KEY.to_string(),
            _ => self.crowd.rotating_key.lock().map(|key| key.clone()).unwrap_or_default(),
        };
        Request { path: format!("{prefix}{id}"), id, repeatable, key }
    }

    /// Learns from the directory where to go; what was known stays where nobody answers.
    fn learn(&mut self) {
        if self.learnt.is_some_and(|at| at.elapsed() < KEEP) {
            return;
        }
        let cores = self.crowd.cluster.size().cores;
        let first = self.rng.usize(0..cores);
        for core in (0..cores).map(|i| (first + i) % cores) {
            let at = self.crowd.cluster.control(core);
            if let Some(fronts) = resolve(at) {
                (self.fronts, self.learnt) = (fronts, Some(Instant::now()));
                return;
            }
        }
        if self.fronts.is_empty() {
            let cluster = &self.crowd.cluster;
            self.fronts = (0..cluster.size().edges).map(|edge| cluster.front(edge)).collect();
        }
    }

    fn connection(&mut self) -> Option<(SocketAddr, Client)> {
        // an open connection is used until its process is gone, whatever the directory says meanwhile
        if let Some(link) = self.link.take() {
            return Some(link);
        }
        let front = self.fronts[self.rng.usize(0..self.fronts.len())];
        match Client::connect_with_timeout(front, DEADLINE + PATIENCE) {
            Ok(client) => Some((front, client)),
            Err(_) => {
                // it failed: another answer of the directory, and until then the other fronts
                self.fronts.retain(|other| *other != front);
                self.learnt = None;
                None
            }
        }
    }

    fn turn(&mut self) {
        self.learn();
        let Some((front, mut link)) = self.connection() else { return };
        let Some(edge) = self.crowd.cluster.edge_at(front) else { return };
        let request = self.request();
        let record = self.crowd.record.clone();
        let (leaves, mut goes_on) = (self.rng.u8(0..25) == 0, false);
        let written = link.write(&request.bytes());
        let at = record.now();
        let ending = match written {
            Err(_) => Ending::Unsent,
            Ok(()) if leaves => {
                sleep(Duration::from_millis(self.rng.u64(1..60)));
                Ending::Left
            }
            Ok(()) => {
                let answer = link.read_response();
                let closes =
                    |a: &Message| a.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
                goes_on = matches!(&answer, Ok(Some(a)) if !closes(a));
                ending(&request, answer)
            }
        };
        let ended = record.now();
        let answered = goes_on && matches!(ending, Ending::Answered { fault: None, .. });
        if answered && self.rng.u8(0..12) > 0 {
            self.link = Some((front, link));
        } else if !answered {
            self.learnt = None;
        }
        let Request { id, path, repeatable, key } = request;
        let deadline = at + DEADLINE.as_secs_f64();
        record.seen().sent.push(Sent { id, path, repeatable, key, edge, at, ended, deadline, ending });
    }
}

fn ending(request: &Request, answer: std::io::Result<Option<Message>>) -> Ending {
    match answer {
        Ok(Some(answer)) => {
            Ending::Answered { status: answer.status(), fault: answer_fault(&request.id, &answer) }
        }
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ending::Silent,
        Ok(None) | Err(_) => Ending::Broken,
    }
}

/// What is wrong with an answer by itself.
fn answer_fault(id: &str, answer: &Message) -> Option<&'static str> {
    match answer.status() {
        200..300 if answer.text() != body_for(id) => Some("a body of another request, or a part of one"),
        200..300 if answer.header("lupinledge-server-stamp").is_none() => Some("no stamp"),
        200..600 => None,
        _ => Some("no answer in the protocol"),
    }
}

/// The addresses that the directory names.
pub fn resolve(at: SocketAddr) -> Option<Vec<SocketAddr>> {
    let path = format!("/lupinledge/resolve?name={HOST}&region=north&zone=north-1");
    let mut client = Client::connect_with_timeout(at, Duration::from_secs(1)).ok()?;
    let call = format!("GET {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
    let answer = client.send_request(call.as_bytes()).ok()??;
    let told: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    let addresses = told["addresses"].as_array()?.iter();
    let fronts: Vec<SocketAddr> = addresses.filter_map(|a| a.as_str()?.parse().ok()).collect();
    (answer.status() == 200 && !fronts.is_empty()).then_some(fronts)
}

/// Does one bad thing after another until the run stops; nothing of it is judged but what it does to others.
pub fn misbehaving(crowd: Arc<Crowd>, nth: u64) {
    let mut rng = fastrand::Rng::with_seed(crowd.seed << 16 | 1 << 15 | nth);
    let mut held: Vec<TcpStream> = Vec::new();
    while !crowd.stop.load(Ordering::SeqCst) {
        let front = crowd.cluster.front(rng.usize(0..crowd.cluster.size().edges));
        if let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) {
            held.extend(misdeed(stream, &mut rng));
        }
        held.truncate(20);
        sleep(Duration::from_millis(rng.u64(20..200)));
    }
}

/// One misdeed; a connection that is kept open and silent after it.
fn misdeed(mut stream: TcpStream, rng: &mut fastrand::Rng) -> Option<TcpStream> {
    let head = format!("POST {PAY}x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {}\r\n", FREE.1);
    let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
    match rng.u8(0..8) {
        0 => {}                                                          // says nothing, and stays
        1 => drop(stream.write_all(&head.as_bytes()[..head.len() / 2])), // never ends its head
        2 => drop(stream.write_all(format!("{head}Content-Length: 50000\r\n\r\nonly a part").as_bytes())),
        3 => {
            let garbage: Vec<u8> = (0..400).map(|_| rng.u8(..)).collect();
            let _ = stream.write_all(&garbage);
        }
        4 => {
            // another request hidden in a body
            let smuggled = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/hidden HTTP/1.1\r\n\r\n";
            let _ = stream.write_all((head + smuggled).as_bytes());
        }
        5 => {
            // a large body that is refused, and an answer that is not read
            let _ = stream.write_all(format!("{head}Content-Length: 9000000\r\n\r\n").as_bytes());
            let _ = stream.write_all(&vec![b'x'; 200_000]);
        }
        6 => {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return None; // reset at once
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

/// How long an honest client may take from its last byte until it gives up.
pub fn longest_wait() -> Seconds {
    (DEADLINE + PATIENCE).as_secs_f64()
}
