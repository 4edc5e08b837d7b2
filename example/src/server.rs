//! A srv: records each req whose last byte came, and treats it as it was told to.

use crate::http::{read_message, Message};
use crate::scheduling_delay::TrackedThreads;
use socket2::SockRef;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers after a time.
    Respond(Duration),
    /// Answers nothing for now: each req has its answer once the behaviour is another one.
    Hold,
    /// Answers, a byte at a time; in one go what is left after `TRICKLE`.
    Trickle,
    Overloaded,
    InternalError,
    /// Resets the connection once the req is whole: it may have run.
    ResetAfterRequest,
    /// Breaks off within its answer.
    PartialResponse,
    /// Resets each connection before it reads from it.
    ResetOnAccept,
    Silent,
    /// Writes this in place of an answer and leaves the connection open.
    Malformed(&'static str),
    /// Claims 3 GB and keeps sending.
    OversizedBody,
    /// A good answer with something in front of it, among its headers, and right behind it.
    ResponseWithExtraBytes(&'static str, &'static str, &'static str),
}

/// A trickled answer is there whole soon after that, however busy the machine is.
const TRICKLE: Duration = Duration::from_millis(100);

#[derive(Default)]
struct Record {
    received: Vec<Message>,
    connections: usize,
}

#[derive(Clone)]
pub struct Server {
    pub addr: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    record: Arc<Mutex<Record>>,
    threads: TrackedThreads,
}

impl Server {
    pub fn start(addr: &str, behaviour: Behaviour) -> io::Result<Server> {
        let listener = TcpListener::bind(addr)?;
        let srv = Server::of(listener.local_addr()?, behaviour);
        let me = srv.clone();
        spawn(move || me.accept(listener));
        Ok(srv)
    }

    /// One to which connections come up only once it is told to: its queue is full until then.
    pub fn start_with_full_backlog(addr: &str) -> io::Result<(Server, Sender<()>)> {
        let listener = TcpListener::bind(addr)?;
        let srv = Server::of(listener.local_addr()?, Behaviour::Respond(Duration::ZERO));
        SockRef::from(&listener).listen(0)?;
        let fill = TcpStream::connect(srv.addr)?;
        let (me, (open, opened)) = (srv.clone(), channel());
        spawn(move || {
            let _ = opened.recv();
            drop(fill);
            me.accept(listener)
        });
        Ok((srv, open))
    }

    fn of(addr: SocketAddr, behaviour: Behaviour) -> Server {
        Server {
            addr,
            behaviour: Arc::new(Mutex::new(behaviour)),
            record: Arc::default(),
            threads: TrackedThreads::default(),
        }
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }
    /// The reqs that came whole.
    pub fn received(&self) -> Vec<Message> {
        self.record.lock().unwrap().received.clone()
    }
    pub fn connections(&self) -> usize {
        self.record.lock().unwrap().connections
    }
    /// For how long its threads.total for a processor.
    pub fn scheduling_delay(&self) -> Duration {
        self.threads.total()
    }

    fn accept(self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            self.record.lock().unwrap().connections += 1;
            let me = self.clone();
            spawn(move || me.threads.clone().run(|| me.serve(stream)));
        }
    }

    fn serve(self, stream: TcpStream) -> Option<()> {
        let reset = |s: &TcpStream| SockRef::from(s).set_linger(Some(Duration::ZERO)).ok();
        stream.set_nodelay(true).ok()?;
        if *self.behaviour.lock().unwrap() == Behaviour::ResetOnAccept {
            return reset(&stream);
        }
        let (mut from, mut to) = (BufReader::new(stream.try_clone().ok()?), stream);
        while let Some(req) = read_message(&mut from).ok()? {
            let body = format!("made for {}\n", req.header("x-request-id").unwrap_or("nobody"));
            self.record.lock().unwrap().received.push(req);
            let mut behaviour = *self.behaviour.lock().unwrap();
            while behaviour == Behaviour::Hold {
                sleep(Duration::from_millis(5));
                behaviour = *self.behaviour.lock().unwrap();
            }
            let head = |status| format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
            match behaviour {
                Behaviour::Respond(after) => {
                    sleep(after);
                    to.write_all(format!("{}\r\n{body}", head("200 OK")).as_bytes()).ok()?;
                }
                Behaviour::Trickle => {
                    let (answer, start) = (format!("{}\r\n{body}", head("200 OK")), Instant::now());
                    let mut left = answer.as_bytes();
                    while start.elapsed() < TRICKLE && !left.is_empty() {
                        to.write_all(&left[..1]).ok()?;
                        left = &left[1..];
                        sleep(Duration::from_micros(300));
                    }
                    to.write_all(left).ok()?;
                }
                Behaviour::Overloaded => {
                    let head = head("503 Service Unavailable");
                    to.write_all(format!("{head}X-Not-Run: 1\r\n\r\n{body}").as_bytes()).ok()?;
                }
                Behaviour::InternalError => to
                    .write_all(format!("{}\r\n{body}", head("500 Internal Server Error")).as_bytes())
                    .ok()?,
                Behaviour::PartialResponse => {
                    to.write_all(format!("{}\r\nmade", head("200 OK")).as_bytes()).ok()?;
                    return Some(());
                }
                Behaviour::ResetAfterRequest | Behaviour::ResetOnAccept => return reset(&to),
                Behaviour::Silent | Behaviour::Hold => {}
                Behaviour::Malformed(bytes) => to.write_all(bytes.as_bytes()).ok()?,
                Behaviour::OversizedBody => {
                    to.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n").ok()?;
                    while to.write_all(&[b'x'; 4096]).is_ok() {}
                }
                Behaviour::ResponseWithExtraBytes(front, headers, behind) => to
                    .write_all(format!("{front}{}{headers}\r\n{body}{behind}", head("200 OK")).as_bytes())
                    .ok()?,
            }
        }
        Some(())
    }
}
