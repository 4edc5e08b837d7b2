//! A test server that speaks the gateways' protocol.

use lupinledge_example::http::{read_message, Message};
use lupinledge_example::listener::Listener;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What the server does with a request that it has read.
#[derive(Clone, Copy)]
pub enum Behavior {
    /// Answers in order, each after this delay.
    Answer(Duration),
    /// Writes this text, with the attempt id in place of `ID`, and keeps the connection open.
    Respond(&'static str),
    /// Writes this text and closes the connection.
    RespondAndClose(&'static str),
}

/// Answers every request at once.
pub const WELL_BEHAVED: Behavior = Behavior::Answer(Duration::ZERO);

/// Refuses the request with the statement that it has not run.
pub const FULL: Behavior = Behavior::Respond(
    "HTTP/1.1 503 Full\r\nLupinledge-Attempt-Id: ID\r\nLupinledge-Not-Executed: full\r\nContent-Length: 0\r\n\r\n",
);

/// A test server on a loopback port.
pub struct TestServer {
    /// Its instance id.
    pub id: String,
    /// Its zone.
    pub zone: &'static str,
    /// Its address.
    pub addr: SocketAddr,
    received: Arc<Mutex<Vec<(Instant, Message)>>>,
    behavior: Arc<Mutex<Behavior>>,
}

impl TestServer {
    /// Starts a server in this zone.
    pub fn start(id: &str, zone: &'static str, behavior: Behavior) -> TestServer {
        let received: Arc<Mutex<Vec<(Instant, Message)>>> = Arc::default();
        let behavior = Arc::new(Mutex::new(behavior));
        let (received_sink, current_behavior) = (received.clone(), behavior.clone());
        let listener = Listener::start("127.0.0.1:0", move |stream| {
            drop(serve(stream, &received_sink, &current_behavior))
        });
        TestServer { id: id.to_string(), zone, addr: listener.expect("a server").addr, received, behavior }
    }
    /// Changes the behavior from the next request on.
    pub fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap() = behavior;
    }
    /// The requests that were received completely.
    pub fn received(&self) -> Vec<Message> {
        self.received.lock().unwrap().iter().map(|g| g.1.clone()).collect()
    }
    /// When each of these requests was received.
    pub fn receive_times(&self) -> Vec<Instant> {
        self.received.lock().unwrap().iter().map(|g| g.0).collect()
    }
}

fn serve(
    stream: TcpStream,
    received: &Mutex<Vec<(Instant, Message)>>,
    behavior: &Mutex<Behavior>,
) -> std::io::Result<()> {
    let mut from = BufReader::new(stream);
    while let Some(request) = read_message(&mut from)? {
        let (id, instance) =
            (request.header("lupinledge-attempt-id"), request.header("lupinledge-expect-instance"));
        let (id, instance) = (id.unwrap_or("none").to_string(), instance.unwrap_or("none").to_string());
        let behavior = *behavior.lock().unwrap();
        received.lock().unwrap().push((Instant::now(), request));
        let text = match behavior {
            Behavior::Answer(after) => {
                std::thread::sleep(after);
                let body = format!("{instance} for {id}");
                let (stamp, length) = ("Lupinledge-Server-Stamp: st", body.len());
                format!("HTTP/1.1 200 OK\r\nLupinledge-Attempt-Id: ID\r\n{stamp}\r\nX-App: kept\r\nContent-Length: {length}\r\n\r\n{body}")
            }
            Behavior::Respond(text) | Behavior::RespondAndClose(text) => text.to_string(),
        };
        from.get_mut().write_all(text.replace("ID", &id).as_bytes())?;
        if matches!(behavior, Behavior::RespondAndClose(_)) {
            break;
        }
    }
    Ok(())
}
