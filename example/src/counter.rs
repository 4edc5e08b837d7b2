//! The counter: RESP2, numbers by name that are forgotten after their life.

use crate::door::Door;
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    Answer,
    Busy,
    /// Answers nothing for now: each call has its answer in its turn, however late.
    Silent,
    /// Adds, and answers without a number; nothing on that connection is answered after it.
    Spoilt,
    /// Answers, and once more right behind it with another total.
    Twice,
}

#[derive(Default)]
struct Record {
    totals: HashMap<String, (f64, Instant)>,
    calls: usize,
    connections: usize,
}

#[derive(Clone)]
struct Shared {
    manner: Arc<Mutex<Manner>>,
    record: Arc<Mutex<Record>>,
}

pub struct Counter {
    pub addr: SocketAddr,
    door: Door,
    shared: Shared,
}

impl Counter {
    pub fn start(addr: &str, manner: Manner) -> io::Result<Counter> {
        let shared = Shared { manner: Arc::new(Mutex::new(manner)), record: Arc::default() };
        let door = shared.door(addr)?;
        Ok(Counter { addr: door.addr, door, shared })
    }

    /// Goes to another address with all its totals; what is open at the old one ends after a time.
    pub fn go(&mut self, addr: &str, after: Duration) -> io::Result<()> {
        let old = std::mem::replace(&mut self.door, self.shared.door(addr)?);
        self.addr = self.door.addr;
        old.leave(after);
        Ok(())
    }

    pub fn now(&self, manner: Manner) {
        *self.shared.manner.lock().unwrap() = manner;
    }
    pub fn calls(&self) -> usize {
        self.shared.record.lock().unwrap().calls
    }
    pub fn connections(&self) -> usize {
        self.shared.record.lock().unwrap().connections
    }
    /// Forgets every total, as a fresh counter that has taken the old one's place.
    pub fn forget(&self) {
        self.shared.record.lock().unwrap().totals.clear();
    }
    /// The sum over all names that are not forgotten.
    pub fn sum(&self) -> f64 {
        let now = Instant::now();
        self.shared.record.lock().unwrap().totals.values().filter(|t| t.1 > now).map(|t| t.0).sum()
    }
}

impl Shared {
    fn door(&self, addr: &str) -> io::Result<Door> {
        let me = self.clone();
        Door::open(addr, move |stream| {
            me.serve(stream);
        })
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        self.record.lock().unwrap().connections += 1;
        let (mut from, mut to) = (BufReader::new(stream.try_clone().ok()?), stream);
        while let Some(words) = read_call(&mut from).ok()? {
            let mut manner = *self.manner.lock().unwrap();
            while manner == Manner::Silent {
                sleep(Duration::from_millis(5));
                manner = *self.manner.lock().unwrap();
            }
            if manner == Manner::Spoilt {
                self.answer(&words);
                to.write_all(b"$5\r\nwhat?\r\n").ok()?;
                while let Some(words) = read_call(&mut from).ok()? {
                    self.answer(&words);
                }
            } else if manner == Manner::Twice {
                to.write_all((self.answer(&words) + "$6\r\n999999\r\n").as_bytes()).ok()?;
            } else if manner == Manner::Busy {
                to.write_all(b"-BUSY try later\r\n").ok()?;
            } else {
                to.write_all(self.answer(&words).as_bytes()).ok()?;
            }
        }
        Some(())
    }

    fn answer(&self, words: &[String]) -> String {
        let mut record = self.record.lock().unwrap();
        let verb = words.first().map(|w| w.to_ascii_uppercase()).unwrap_or_default();
        let numbers =
            (words.get(2).and_then(|w| w.parse::<f64>().ok()), words.get(3).map(|w| w.parse::<u64>()));
        match (verb.as_str(), words.len(), numbers) {
            ("PING", 1, _) => "+PONG\r\n".into(),
            ("CLIENT" | "SELECT", ..) => "+OK\r\n".into(),
            ("CNT.ADD", 4, (Some(add), Some(Ok(life @ 1..)))) if words[1].len() <= 64 => {
                let now = Instant::now();
                record.calls += 1;
                let fresh = (0.0, now + Duration::from_millis(life.min(60_000)));
                let total = record.totals.entry(words[1].clone()).or_insert(fresh);
                if total.1 <= now {
                    *total = fresh;
                }
                total.0 += add;
                let text = format!("{}", total.0 as f32);
                format!("${}\r\n{text}\r\n", text.len())
            }
            _ => "-ERR no such call\r\n".into(),
        }
    }
}

fn read_call(from: &mut impl BufRead) -> io::Result<Option<Vec<String>>> {
    let mut number = |kind: char| -> io::Result<Option<usize>> {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let n = line.trim_end().strip_prefix(kind).and_then(|n| n.parse().ok());
        n.map(Some).ok_or(io::ErrorKind::InvalidData.into())
    };
    let Some(n) = number('*')? else { return Ok(None) };
    let mut words = Vec::new();
    for _ in 0..n {
        let mut length = String::new();
        from.read_line(&mut length)?;
        let length = length.trim_end().strip_prefix('$').and_then(|n| n.parse::<usize>().ok());
        let mut word = vec![0; length.filter(|l| *l <= 4096).ok_or(io::ErrorKind::InvalidData)? + 2];
        from.read_exact(&mut word)?;
        word.truncate(word.len() - 2);
        words.push(String::from_utf8_lossy(&word).into_owned());
    }
    Ok(Some(words))
}
