//! A stand-in for a server of the system's protocol.

use lupinledge_example::door::Door;
use lupinledge_example::http::{read, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What it does with a request that it has read.
#[derive(Clone, Copy)]
pub enum Manner {
    /// Answers in order, after so long.
    Answer(Duration),
    /// Writes this, with the request's id for `ID`; the connection goes on.
    Say(&'static str),
    /// Writes this and closes.
    Close(&'static str),
}

pub const GOOD: Manner = Manner::Answer(Duration::ZERO);

/// Told by a server that has not run the request.
pub const FULL: Manner = Manner::Say(
    "HTTP/1.1 503 Full\r\nLupinledge-Attempt-Id: ID\r\nLupinledge-Not-Executed: full\r\nContent-Length: 0\r\n\r\n",
);

pub struct Srv {
    pub id: String,
    pub zone: &'static str,
    pub addr: SocketAddr,
    got: Arc<Mutex<Vec<(Instant, Message)>>>,
    manner: Arc<Mutex<Manner>>,
}

impl Srv {
    pub fn start(id: &str, zone: &'static str, manner: Manner) -> Srv {
        let got: Arc<Mutex<Vec<(Instant, Message)>>> = Arc::default();
        let manner = Arc::new(Mutex::new(manner));
        let (to, how) = (got.clone(), manner.clone());
        let door = Door::open("127.0.0.1:0", move |stream| drop(serve(stream, &to, &how)));
        Srv { id: id.to_string(), zone, addr: door.expect("a server").addr, got, manner }
    }
    pub fn now(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }
    /// The requests that came whole.
    pub fn got(&self) -> Vec<Message> {
        self.got.lock().unwrap().iter().map(|g| g.1.clone()).collect()
    }
    pub fn times(&self) -> Vec<Instant> {
        self.got.lock().unwrap().iter().map(|g| g.0).collect()
    }
}

fn serve(
    stream: TcpStream,
    got: &Mutex<Vec<(Instant, Message)>>,
    manner: &Mutex<Manner>,
) -> std::io::Result<()> {
    let mut from = BufReader::new(stream);
    while let Some(m) = read(&mut from)? {
        let (id, instance) = (m.header("lupinledge-attempt-id"), m.header("lupinledge-expect-instance"));
        let (id, instance) = (id.unwrap_or("none").to_string(), instance.unwrap_or("none").to_string());
        let manner = *manner.lock().unwrap();
        got.lock().unwrap().push((Instant::now(), m));
        let text = match manner {
            Manner::Answer(after) => {
                std::thread::sleep(after);
                let body = format!("{instance} for {id}");
                let (stamp, length) = ("Lupinledge-Server-Stamp: st", body.len());
                format!("HTTP/1.1 200 OK\r\nLupinledge-Attempt-Id: ID\r\n{stamp}\r\nX-App: kept\r\nContent-Length: {length}\r\n\r\n{body}")
            }
            Manner::Say(text) | Manner::Close(text) => text.to_string(),
        };
        from.get_mut().write_all(text.replace("ID", &id).as_bytes())?;
        if matches!(manner, Manner::Close(_)) {
            break;
        }
    }
    Ok(())
}
