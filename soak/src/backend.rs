//! An emulated server: runs requests, and misbehaves by a function of the seed and the request's id.

use crate::configuration::KEYED;
use crate::record::{Arrival, OperationRun, Record, Seconds, Seen};
use lupinledge_example::http::{self, Message};
use socket2::SockRef;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Names the operation that a keyed request is a try of.
pub const OPERATION_KEY: &str = "lupinledge-operation-key";

/// Requests at once; more are turned away.
const SLOTS: usize = 24;
/// Work is done in such slices, and the connection looked at between them.
const SLICE: Duration = Duration::from_millis(10);

/// One body of so many is long.
const LONG_EACH: usize = 25;
/// Bytes of bodies at the most.
const SHORT: usize = 4000;
const LONG: usize = 900_000;

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deed {
    /// Answers after so many milliseconds.
    Answer(u64),
    /// Runs it and resets the connection.
    LoseAnswer,
    /// Runs it and closes the connection.
    Close,
    /// Runs it and breaks off in the body of the answer.
    CutBody,
    /// Runs it and answers nothing until its connection ends.
    Hang,
    /// Runs it and answers with a failure of its own.
    Fail,
    /// Says that it has not run it, and has not.
    TurnAway,
    /// Answers, and sends one answer more that belongs to nobody.
    Surplus,
    /// Answers before it has read the body.
    Early,
}

/// How servers misbehave.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    pub seed: u64,
    /// Of a hundred requests, how many are not answered well.
    pub faulty_in_100: u64,
}

fn hash(of: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    hasher.finish()
}

impl Behaviour {
    /// What a server does with the request of this id.
    pub fn deed(self, id: &str) -> Deed {
        let dice = hash((self.seed, id));
        if dice % 100 < self.faulty_in_100 {
            let faults = [
                Deed::LoseAnswer,
                Deed::Close,
                Deed::CutBody,
                Deed::Hang,
                Deed::Fail,
                Deed::TurnAway,
                Deed::Surplus,
                Deed::Early,
                Deed::Answer(1200),
            ];
            return faults[(dice / 100 % faults.len() as u64) as usize];
        }
        Deed::Answer(5 + dice / 100 % 60)
    }
}

/// A digest of a body.
pub fn digest(body: &[u8]) -> u64 {
    hash(body)
}

/// The body that belongs to a request; now and then a long one.
pub fn body_for(id: &str) -> String {
    let dice = hash(id) as usize;
    let most = if dice.is_multiple_of(LONG_EACH) { LONG } else { SHORT };
    format!("{id} {}", "z".repeat(dice / LONG_EACH % most))
}

/// The body that a client sends with a request; now and then a long one.
pub fn request_body(id: &str) -> String {
    let dice = hash((id, 1)) as usize;
    let most = if dice.is_multiple_of(LONG_EACH) { LONG } else { SHORT };
    format!("{id} {}", "q".repeat(dice / LONG_EACH % most))
}

/// One server.
pub struct Backend {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    dead: Arc<AtomicBool>,
    connections: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

/// What a request is about: the operation of a keyed one, else the request's own id.
fn subject<'a>(message: &'a Message, id: &'a str) -> &'a str {
    message.header(OPERATION_KEY).unwrap_or(id)
}

/// The stamp and the body of the answer to a request.
struct Reply {
    stamp: String,
    body: String,
}

impl Reply {
    /// The same for each run of a request without a key; it is told apart by its id.
    fn plain(id: &str) -> Reply {
        Reply { stamp: "stamp".into(), body: body_for(id) }
    }

    /// A keyed run's, which no other run has.
    fn of_run(stamp: String) -> Reply {
        Reply { body: body_for(&stamp), stamp }
    }
}

struct Serving {
    id: String,
    service: &'static str,
    zone: &'static str,
    behaviour: Behaviour,
    record: Arc<Record>,
    running: AtomicUsize,
    dead: Arc<AtomicBool>,
}

impl Backend {
    /// Starts at a port of its own.
    pub fn start(
        id: String,
        service: &'static str,
        zone: &'static str,
        behaviour: Behaviour,
        record: Arc<Record>,
    ) -> io::Result<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (dead, connections): (Arc<AtomicBool>, Arc<Mutex<HashMap<u64, TcpStream>>>) = Default::default();
        let running = AtomicUsize::new(0);
        let serving = Arc::new(Serving {
            id: id.clone(),
            service,
            zone,
            behaviour,
            record,
            running,
            dead: dead.clone(),
        });
        let (ends, open) = (dead.clone(), connections.clone());
        spawn(move || {
            for (nth, stream) in (0..).zip(listener.incoming().flatten()) {
                if ends.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(held) = stream.try_clone() else { continue };
                open.lock().unwrap_or_else(|p| p.into_inner()).insert(nth, held);
                let (serving, open) = (serving.clone(), open.clone());
                spawn(move || {
                    let _ = serving.serve(stream);
                    open.lock().unwrap_or_else(|p| p.into_inner()).remove(&nth);
                });
            }
        });
        Ok(Backend { id, service, zone, address, dead, connections })
    }

    /// Ends at once: nothing is listened to, and all connections are reset.
    pub fn crash(&self) {
        self.dead.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        self.reset_connections();
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        for (_, stream) in self.connections.lock().unwrap_or_else(|p| p.into_inner()).drain() {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Whether the other side has closed a connection on which nothing more is due.
fn closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let end = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match end {
        Ok(n) => n == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

fn answer(status: &str, id: &str, more: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nLupinledge-Attempt-Id: {id}\r\n{more}Content-Length: {length}\r\n\r\n{body}"
    )
}

impl Serving {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut from = BufReader::new(stream);
        while let Some(message) = self.read(&mut from)? {
            if self.dead.load(Ordering::SeqCst) {
                return Ok(());
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            let goes_on = self.request(&message, from.get_mut());
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !goes_on? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// A whole request, or only the head of one that is answered early.
    fn read(&self, from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
        let Some(mut message) = http::read_head(from)? else { return Ok(None) };
        let id = message.header("lupinledge-attempt-id").unwrap_or_default();
        if self.behaviour.deed(id) != Deed::Early {
            http::read_body(from, &mut message)?;
        }
        Ok(Some(message))
    }

    /// What of a request no client sent.
    fn fault(&self, message: &Message, id: &str) -> Option<&'static str> {
        let (path, body) = (message.start_line.split(' ').nth(1).unwrap_or_default(), message.text());
        let subject = subject(message, id);
        match message {
            _ if path.starts_with(KEYED) && message.header(OPERATION_KEY).is_none() => {
                Some("no operation key")
            }
            m if m.header("authorization").is_some() => Some("a key was passed on"),
            m if m.header("lupinledge-tenant").is_none() => Some("no tenant"),
            _ if !path.ends_with(&format!("/{subject}")) => Some("another path"),
            _ if self.behaviour.deed(id) == Deed::Early => None,
            m if m.start_line.starts_with("POST ") && body != request_body(subject) => Some("another body"),
            m if m.start_line.starts_with("GET ") && !body.is_empty() => Some("a body that was not sent"),
            _ => None,
        }
    }

    /// Runs a request; whether the connection goes on.
    fn request(&self, message: &Message, to: &mut TcpStream) -> io::Result<bool> {
        let id = message.header("lupinledge-attempt-id").unwrap_or("none").to_string();
        let path = message.start_line.split(' ').nth(1).unwrap_or_default().to_string();
        if message.header("lupinledge-expect-instance") != Some(&self.id) {
            to.write_all(answer("421 Another Instance", &id, "", "").as_bytes())?;
            return Ok(true);
        }
        let deed = self.behaviour.deed(&id);
        let full = self.running.load(Ordering::SeqCst) > SLOTS;
        let ran = !full && deed != Deed::TurnAway;
        let (nth, reply) = {
            let at = self.record.now();
            let arrival = Arrival {
                id: id.clone(),
                path,
                server: self.id.clone(),
                service: self.service.into(),
                zone: self.zone.into(),
                at,
                ran,
                tenant: message.header("lupinledge-tenant").map(str::to_string),
                fault: self.fault(message, &id),
                worked_until: at,
                stopped: false,
            };
            let mut seen = self.record.seen();
            seen.arrivals.push(arrival);
            let nth = seen.arrivals.len() - 1;
            let reply = match message.header(OPERATION_KEY) {
                Some(operation) if ran => self.operation_run(&mut seen, operation, &id, at),
                _ => Reply::plain(&id),
            };
            (nth, reply)
        };
        if !ran {
            to.write_all(answer("503 Full", &id, "Lupinledge-Not-Executed: full\r\n", "").as_bytes())?;
            return Ok(true);
        }
        let work = match deed {
            Deed::Answer(ms) => Duration::from_millis(ms),
            Deed::Hang => Duration::from_secs(20),
            _ => Duration::from_millis(10),
        };
        let stopped = self.work(work, to);
        let until = self.record.now();
        {
            let mut seen = self.record.seen();
            (seen.arrivals[nth].worked_until, seen.arrivals[nth].stopped) = (until, stopped);
        }
        if stopped {
            return Ok(false);
        }
        self.reply(deed, &id, &reply, to)
    }

    /// Notes a run of a keyed operation; its answer is its own.
    fn operation_run(&self, seen: &mut Seen, operation: &str, attempt: &str, at: Seconds) -> Reply {
        let reply = Reply::of_run(format!("run-{}", seen.operation_runs.len()));
        seen.operation_runs.push(OperationRun {
            operation: operation.into(),
            attempt: attempt.into(),
            server: self.id.clone(),
            at,
            stamp: reply.stamp.clone(),
            body: digest(reply.body.as_bytes()),
        });
        reply
    }

    /// Works for so long; whether it stopped because the connection was closed.
    fn work(&self, span: Duration, on: &TcpStream) -> bool {
        let began = Instant::now();
        while began.elapsed() < span {
            sleep(SLICE.min(span));
            if self.dead.load(Ordering::SeqCst) || closed(on) {
                return true;
            }
        }
        false
    }

    fn reply(&self, deed: Deed, id: &str, reply: &Reply, to: &mut TcpStream) -> io::Result<bool> {
        let stamp = &format!("Lupinledge-Server-Stamp: {}\r\n", reply.stamp);
        let good = answer("200 OK", id, stamp, &reply.body);
        match deed {
            Deed::LoseAnswer => {
                SockRef::from(&*to).set_linger(Some(Duration::ZERO))?;
                return Ok(false);
            }
            Deed::Close | Deed::Hang => return Ok(false),
            Deed::CutBody => {
                to.write_all(&good.as_bytes()[..good.len() - 1])?;
                return Ok(false);
            }
            Deed::Fail => to.write_all(answer("500 Own Failure", id, stamp, "own").as_bytes())?,
            Deed::Surplus => {
                let surplus = answer("200 OK", "of-nobody", stamp, &body_for("of-nobody"));
                to.write_all((good + &surplus).as_bytes())?;
            }
            Deed::Early => {
                to.write_all(good.as_bytes())?;
                // the rest of the body may come until the other side has had the answer
                sleep(Duration::from_millis(300));
                return Ok(false);
            }
            Deed::Answer(_) | Deed::TurnAway => to.write_all(good.as_bytes())?,
        }
        Ok(true)
    }
}
