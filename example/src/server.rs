//! A server that records each request it received completely and responds with a configurable behaviour.

use crate::http::{read_message, Message};
use crate::scheduling_delay::TrackedThreads;
use socket2::SockRef;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// How a server treats requests and connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Responds after the given time.
    Respond(Duration),
    /// Delays responses until another behaviour is set, then responds to each request as that demands.
    Hold,
    /// Responds one byte at a time; what is left after `TRICKLE_DURATION` is sent at once.
    Trickle,
    /// Responds with 503 and `X-Not-Run: 1`.
    Overloaded,
    /// Responds with 500.
    InternalError,
    /// Resets the connection after the complete request arrived: the request may have run.
    ResetAfterRequest,
    /// Closes the connection within the response.
    PartialResponse,
    /// Resets each connection before reading from it.
    ResetOnAccept,
    /// Never responds.
    Silent,
    /// Writes the given text instead of a response and keeps the connection open.
    Malformed(&'static str),
    /// Announces a body of 3 GiB and keeps sending.
    OversizedBody,
    /// A correct response with the given text before it, among its headers, and right after it.
    ResponseWithExtraBytes(&'static str, &'static str, &'static str),
}

/// Limits the duration of a trickled response, so that it completes soon even on a busy machine.
const TRICKLE_DURATION: Duration = Duration::from_millis(100);

#[derive(Default)]
struct Record {
    received: Vec<Message>,
    connections: usize,
}

/// A running server; clones share its state.
#[derive(Clone)]
pub struct Server {
    /// The address it listens on.
    pub addr: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    record: Arc<Mutex<Record>>,
    threads: TrackedThreads,
}

impl Server {
    /// Starts a server.
    pub fn start(addr: &str, behaviour: Behaviour) -> io::Result<Server> {
        let listener = TcpListener::bind(addr)?;
        let server = Server::new(listener.local_addr()?, behaviour);
        let this = server.clone();
        spawn(move || this.accept(listener));
        Ok(server)
    }

    /// Starts a server whose accept backlog is full, so that connections are established only after a send on the
    /// returned channel.
    pub fn start_with_full_backlog(addr: &str) -> io::Result<(Server, Sender<()>)> {
        let listener = TcpListener::bind(addr)?;
        let server = Server::new(listener.local_addr()?, Behaviour::Respond(Duration::ZERO));
        SockRef::from(&listener).listen(0)?;
        let backlog_filler = TcpStream::connect(server.addr)?;
        let (this, (open, opened)) = (server.clone(), channel());
        spawn(move || {
            let _ = opened.recv();
            drop(backlog_filler);
            this.accept(listener)
        });
        Ok((server, open))
    }

    fn new(addr: SocketAddr, behaviour: Behaviour) -> Server {
        Server {
            addr,
            behaviour: Arc::new(Mutex::new(behaviour)),
            record: Arc::default(),
            threads: TrackedThreads::default(),
        }
    }

    /// Sets the behaviour from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }
    /// The requests received completely.
    pub fn received(&self) -> Vec<Message> {
        self.record.lock().unwrap().received.clone()
    }
    /// Number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.record.lock().unwrap().connections
    }
    /// How long its threads waited for a processor, in total.
    pub fn scheduling_delay(&self) -> Duration {
        self.threads.total()
    }

    fn accept(self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            self.record.lock().unwrap().connections += 1;
            let this = self.clone();
            spawn(move || this.threads.clone().run(|| this.serve(stream)));
        }
    }

    fn serve(self, stream: TcpStream) -> Option<()> {
        let reset = |s: &TcpStream| SockRef::from(s).set_linger(Some(Duration::ZERO)).ok();
        stream.set_nodelay(true).ok()?;
        if *self.behaviour.lock().unwrap() == Behaviour::ResetOnAccept {
            return reset(&stream);
        }
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone().ok()?), stream);
        while let Some(request) = read_message(&mut reader).ok()? {
            let body = format!("made for {}\n", request.header("x-request-id").unwrap_or("nobody"));
            self.record.lock().unwrap().received.push(request);
            let mut behaviour = *self.behaviour.lock().unwrap();
            while behaviour == Behaviour::Hold {
                sleep(Duration::from_millis(5));
                behaviour = *self.behaviour.lock().unwrap();
            }
            let head = |status| format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
            match behaviour {
                Behaviour::Respond(delay) => {
                    sleep(delay);
                    writer.write_all(format!("{}\r\n{body}", head("200 OK")).as_bytes()).ok()?;
                }
                Behaviour::Trickle => {
                    let (answer, start) = (format!("{}\r\n{body}", head("200 OK")), Instant::now());
                    let mut remaining = answer.as_bytes();
                    while start.elapsed() < TRICKLE_DURATION && !remaining.is_empty() {
                        writer.write_all(&remaining[..1]).ok()?;
                        remaining = &remaining[1..];
                        sleep(Duration::from_micros(300));
                    }
                    writer.write_all(remaining).ok()?;
                }
                Behaviour::Overloaded => {
                    let head = head("503 Service Unavailable");
                    writer.write_all(format!("{head}X-Not-Run: 1\r\n\r\n{body}").as_bytes()).ok()?;
                }
                Behaviour::InternalError => writer
                    .write_all(format!("{}\r\n{body}", head("500 Internal Server Error")).as_bytes())
                    .ok()?,
                Behaviour::PartialResponse => {
                    writer.write_all(format!("{}\r\nmade", head("200 OK")).as_bytes()).ok()?;
                    return Some(());
                }
                Behaviour::ResetAfterRequest | Behaviour::ResetOnAccept => return reset(&writer),
                Behaviour::Silent | Behaviour::Hold => {}
                Behaviour::Malformed(bytes) => writer.write_all(bytes.as_bytes()).ok()?,
                Behaviour::OversizedBody => {
                    writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n").ok()?;
                    while writer.write_all(&[b'x'; 4096]).is_ok() {}
                }
                Behaviour::ResponseWithExtraBytes(front, headers, behind) => writer
                    .write_all(format!("{front}{}{headers}\r\n{body}{behind}", head("200 OK")).as_bytes())
                    .ok()?,
            }
        }
        Some(())
    }
}
