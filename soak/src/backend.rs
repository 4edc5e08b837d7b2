//! An emulated server: runs requests, and misbehaves as a function of the seed and the request's id.

use crate::configuration::KEYED;
use crate::record::{Arrival, Observations, OperationRun, Record, Seconds};
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

/// The header with the operation key of a keyed request.
pub const OPERATION_KEY: &str = "lupinledge-operation-key";

/// Maximum number of concurrent requests; more are rejected.
const SLOTS: usize = 24;
/// Work is divided into slices of this length; between them the server checks whether the connection was closed.
const WORK_SLICE: Duration = Duration::from_millis(10);

/// One of this many bodies may be long.
const LONG_BODY_INTERVAL: usize = 25;
/// The number of filler bytes in a body is less than this, for most bodies and for those that may be long.
const MAX_SHORT_BODY: usize = 4000;
const MAX_LONG_BODY: usize = 900_000;

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAction {
    /// Answers after this many milliseconds.
    Answer(u64),
    /// Runs the request and resets the connection.
    LoseAnswer,
    /// Runs the request and closes the connection.
    Close,
    /// Runs the request and closes the connection before the answer's body is complete.
    CutBody,
    /// Runs the request and doesn't answer until the connection ends.
    Hang,
    /// Runs the request and answers with status 500.
    AnswerFailure,
    /// Answers that it has not run the request, which is true.
    Reject,
    /// Answers, and sends a second answer that belongs to no request.
    ExtraAnswer,
    /// Answers before it has read the request's body.
    AnswerEarly,
}

/// How servers misbehave.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    pub seed: u64,
    /// Percentage of requests that are not answered properly.
    pub faulty_percent: u64,
}

fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl Behaviour {
    /// What a server does with the request with this id.
    pub fn action_for(self, id: &str) -> ServerAction {
        let hash_value = hash((self.seed, id));
        if hash_value % 100 < self.faulty_percent {
            let faults = [
                ServerAction::LoseAnswer,
                ServerAction::Close,
                ServerAction::CutBody,
                ServerAction::Hang,
                ServerAction::AnswerFailure,
                ServerAction::Reject,
                ServerAction::ExtraAnswer,
                ServerAction::AnswerEarly,
                ServerAction::Answer(1200),
            ];
            return faults[(hash_value / 100 % faults.len() as u64) as usize];
        }
        ServerAction::Answer(5 + hash_value / 100 % 60)
    }
}

/// Hash of a body.
pub fn digest(body: &[u8]) -> u64 {
    hash(body)
}

/// The body of the answer to a request: its id and filler bytes. One in `LONG_BODY_INTERVAL` may have almost
/// `MAX_LONG_BODY` filler bytes.
pub fn body_for(id: &str) -> String {
    let hash_value = hash(id) as usize;
    let max_length =
        if hash_value.is_multiple_of(LONG_BODY_INTERVAL) { MAX_LONG_BODY } else { MAX_SHORT_BODY };
    format!("{id} {}", "z".repeat(hash_value / LONG_BODY_INTERVAL % max_length))
}

/// The body that a client sends with a request: its id and filler bytes. One in `LONG_BODY_INTERVAL` may have almost
/// `MAX_LONG_BODY` filler bytes.
pub fn request_body(id: &str) -> String {
    let hash_value = hash((id, 1)) as usize;
    let max_length =
        if hash_value.is_multiple_of(LONG_BODY_INTERVAL) { MAX_LONG_BODY } else { MAX_SHORT_BODY };
    format!("{id} {}", "q".repeat(hash_value / LONG_BODY_INTERVAL % max_length))
}

/// An emulated server as the platform sees it.
pub struct Backend {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    crashed: Arc<AtomicBool>,
    connections: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

/// What the request's path and body are made from: the operation key of a keyed request, else the attempt id.
fn subject<'a>(message: &'a Message, id: &'a str) -> &'a str {
    message.header(OPERATION_KEY).unwrap_or(id)
}

/// The answer to a request. `stamp` is the value of the header Lupinledge-Server-Stamp; for keyed operations it
/// identifies the execution.
struct Reply {
    stamp: String,
    body: String,
}

impl Reply {
    /// The reply to a request without a key. It is the same for each run, as the id identifies the request.
    fn for_unkeyed(id: &str) -> Reply {
        Reply { stamp: "stamp".into(), body: body_for(id) }
    }

    /// The reply of a keyed run, unique to that run.
    fn for_keyed_run(stamp: String) -> Reply {
        Reply { body: body_for(&stamp), stamp }
    }
}

/// State that the threads of a server share.
struct ServerState {
    id: String,
    service: &'static str,
    zone: &'static str,
    behaviour: Behaviour,
    record: Arc<Record>,
    running: AtomicUsize,
    crashed: Arc<AtomicBool>,
}

impl Backend {
    /// Starts a server on a free port.
    pub fn start(
        id: String,
        service: &'static str,
        zone: &'static str,
        behaviour: Behaviour,
        record: Arc<Record>,
    ) -> io::Result<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (crashed, connections): (Arc<AtomicBool>, Arc<Mutex<HashMap<u64, TcpStream>>>) =
            Default::default();
        let running = AtomicUsize::new(0);
        let state = Arc::new(ServerState {
            id: id.clone(),
            service,
            zone,
            behaviour,
            record,
            running,
            crashed: crashed.clone(),
        });
        let (accept_crashed, open_connections) = (crashed.clone(), connections.clone());
        spawn(move || {
            for (index, stream) in (0..).zip(listener.incoming().flatten()) {
                if accept_crashed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream_handle) = stream.try_clone() else { continue };
                open_connections.lock().unwrap_or_else(|p| p.into_inner()).insert(index, stream_handle);
                let (state, open_connections) = (state.clone(), open_connections.clone());
                spawn(move || {
                    let _ = state.serve(stream);
                    open_connections.lock().unwrap_or_else(|p| p.into_inner()).remove(&index);
                });
            }
        });
        Ok(Backend { id, service, zone, address, crashed, connections })
    }

    /// Ends at once: closes the listener and resets all connections.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
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

/// Whether the peer has closed the connection; no more data is expected on it.
fn peer_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(n) => n == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

fn format_answer(status: &str, id: &str, extra_headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nLupinledge-Attempt-Id: {id}\r\n{extra_headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

impl ServerState {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        while let Some(message) = self.read(&mut reader)? {
            if self.crashed.load(Ordering::SeqCst) {
                return Ok(());
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            let keep_alive = self.run_request(&message, reader.get_mut());
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !keep_alive? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Reads a whole request, or only the head if it is to be answered early.
    fn read(&self, reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
        let Some(mut message) = http::read_head(reader)? else { return Ok(None) };
        let id = message.header("lupinledge-attempt-id").unwrap_or_default();
        if self.behaviour.action_for(id) != ServerAction::AnswerEarly {
            http::read_body(reader, &mut message)?;
        }
        Ok(Some(message))
    }

    /// How a request differs from what a client sent.
    fn request_fault(&self, message: &Message, id: &str) -> Option<&'static str> {
        let (path, body) = (message.start_line.split(' ').nth(1).unwrap_or_default(), message.text());
        let subject = subject(message, id);
        match message {
            _ if path.starts_with(KEYED) && message.header(OPERATION_KEY).is_none() => {
                Some("the operation key is missing")
            }
            m if m.header("authorization").is_some() => Some("a key was passed on"),
            m if m.header("lupinledge-tenant").is_none() => Some("the tenant is missing"),
            _ if !path.ends_with(&format!("/{subject}")) => Some("the path belongs to another request"),
            _ if self.behaviour.action_for(id) == ServerAction::AnswerEarly => None,
            m if m.start_line.starts_with("POST ") && body != request_body(subject) => {
                Some("the body belongs to another request")
            }
            m if m.start_line.starts_with("GET ") && !body.is_empty() => Some("a body that was not sent"),
            _ => None,
        }
    }

    /// Runs or rejects a request; returns whether the connection stays open.
    fn run_request(&self, message: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let id = message.header("lupinledge-attempt-id").unwrap_or("none").to_string();
        let path = message.start_line.split(' ').nth(1).unwrap_or_default().to_string();
        if message.header("lupinledge-expect-instance") != Some(&self.id) {
            stream.write_all(format_answer("421 Another Instance", &id, "", "").as_bytes())?;
            return Ok(true);
        }
        let action = self.behaviour.action_for(&id);
        let is_full = self.running.load(Ordering::SeqCst) > SLOTS;
        let ran = !is_full && action != ServerAction::Reject;
        let (index, reply) = {
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
                fault: self.request_fault(message, &id),
                worked_until: at,
                stopped: false,
            };
            let mut observations = self.record.observations();
            observations.arrivals.push(arrival);
            let index = observations.arrivals.len() - 1;
            let reply = match message.header(OPERATION_KEY) {
                Some(operation) if ran => self.record_operation_run(&mut observations, operation, &id, at),
                _ => Reply::for_unkeyed(&id),
            };
            (index, reply)
        };
        if !ran {
            stream.write_all(
                format_answer("503 Full", &id, "Lupinledge-Not-Executed: full\r\n", "").as_bytes(),
            )?;
            return Ok(true);
        }
        let work = match action {
            ServerAction::Answer(ms) => Duration::from_millis(ms),
            ServerAction::Hang => Duration::from_secs(20),
            _ => Duration::from_millis(10),
        };
        let stopped = self.work(work, stream);
        let worked_until = self.record.now();
        {
            let mut observations = self.record.observations();
            (observations.arrivals[index].worked_until, observations.arrivals[index].stopped) =
                (worked_until, stopped);
        }
        if stopped {
            return Ok(false);
        }
        self.send_reply(action, &id, &reply, stream)
    }

    /// Records a run of a keyed operation, and returns its unique reply.
    fn record_operation_run(
        &self,
        observations: &mut Observations,
        operation: &str,
        attempt: &str,
        at: Seconds,
    ) -> Reply {
        let reply = Reply::for_keyed_run(format!("run-{}", observations.operation_runs.len()));
        observations.operation_runs.push(OperationRun {
            operation: operation.into(),
            attempt: attempt.into(),
            server: self.id.clone(),
            at,
            stamp: reply.stamp.clone(),
            body: digest(reply.body.as_bytes()),
        });
        reply
    }

    /// Works for `duration`; returns whether it stopped early because the connection was closed or the server crashed.
    fn work(&self, duration: Duration, connection: &TcpStream) -> bool {
        let began = Instant::now();
        while began.elapsed() < duration {
            sleep(WORK_SLICE.min(duration));
            if self.crashed.load(Ordering::SeqCst) || peer_closed(connection) {
                return true;
            }
        }
        false
    }

    /// Answers as `action` requires; returns whether the connection stays open.
    fn send_reply(
        &self,
        action: ServerAction,
        id: &str,
        reply: &Reply,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let stamp = &format!("Lupinledge-Server-Stamp: {}\r\n", reply.stamp);
        let ok_answer = format_answer("200 OK", id, stamp, &reply.body);
        match action {
            ServerAction::LoseAnswer => {
                SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
                return Ok(false);
            }
            ServerAction::Close | ServerAction::Hang => return Ok(false),
            ServerAction::CutBody => {
                stream.write_all(&ok_answer.as_bytes()[..ok_answer.len() - 1])?;
                return Ok(false);
            }
            ServerAction::AnswerFailure => {
                stream.write_all(format_answer("500 Own Failure", id, stamp, "own").as_bytes())?
            }
            ServerAction::ExtraAnswer => {
                let extra_answer = format_answer("200 OK", "of-nobody", stamp, &body_for("of-nobody"));
                stream.write_all((ok_answer + &extra_answer).as_bytes())?;
            }
            ServerAction::AnswerEarly => {
                stream.write_all(ok_answer.as_bytes())?;
                // the rest of the body may arrive until the peer has received the answer
                sleep(Duration::from_millis(300));
                return Ok(false);
            }
            ServerAction::Answer(_) | ServerAction::Reject => stream.write_all(ok_answer.as_bytes())?,
        }
        Ok(true)
    }
}
