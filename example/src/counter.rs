//! The counter: RESP2, numbers by name that are forgotten after their life.

use crate::listener::Listener;
use crate::scheduling_delay::TrackedThreads;
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    Reply,
    Busy,
    /// Answers nothing for now: each call has its answer in its turn, however late.
    Silent,
    /// Adds, and answers without a number; nothing on that connection is answered after it.
    MalformedReply,
    /// Answers, and once more right behind it with another total.
    DuplicateReply,
}

type Totals = HashMap<String, (f64, Instant)>;

#[derive(Default)]
struct Record {
    totals: Totals,
    /// While split: the totals at the split, and those the far side has added to since.
    split: Option<(Totals, Totals)>,
    calls: usize,
    /// Those of them that came to the present address, which is the nth.
    calls_at_current_address: usize,
    nth: usize,
    connections: usize,
    /// Those of them that are not ended.
    open: usize,
}

#[derive(Clone)]
struct Shared {
    behaviour: Arc<Mutex<Behaviour>>,
    record: Arc<Mutex<Record>>,
    threads: TrackedThreads,
}

pub struct Counter {
    pub addr: SocketAddr,
    door: Listener,
    shared: Shared,
    far: Vec<Listener>,
}

impl Counter {
    pub fn start(addr: &str, behaviour: Behaviour) -> io::Result<Counter> {
        let behaviour = Arc::new(Mutex::new(behaviour));
        let shared = Shared { behaviour, record: Arc::default(), threads: TrackedThreads::default() };
        let door = shared.door(addr, Some(0))?;
        Ok(Counter { addr: door.addr, door, shared, far: vec![] })
    }

    /// Another address of the same counter, on the far side of a split: it shares all totals except while split.
    pub fn add_far_address(&mut self) -> io::Result<SocketAddr> {
        let door = self.shared.door("127.0.0.1:0", None)?;
        let addr = door.addr;
        self.far.push(door);
        Ok(addr)
    }

    /// Splits the counter in two (each side goes on from the totals at the split), or heals it: what the far side
    /// added meanwhile is then added to the near side's totals.
    pub fn set_split(&self, split: bool) {
        let mut record = self.shared.record.lock().unwrap();
        match (split, record.split.take()) {
            (true, None) => record.split = Some((record.totals.clone(), record.totals.clone())),
            (false, Some((base, far))) => {
                for (name, (total, until)) in far {
                    let added = total - base.get(&name).map_or(0.0, |b| b.0);
                    record.totals.entry(name).or_insert((0.0, until)).0 += added;
                }
            }
            (_, was) => record.split = was,
        }
    }

    /// Goes to another address with all its totals; what is open at the old one ends after a time.
    pub fn move_to(&mut self, addr: &str, after: Duration) -> io::Result<()> {
        let nth = {
            let mut record = self.shared.record.lock().unwrap();
            (record.nth, record.calls_at_current_address) = (record.nth + 1, 0);
            record.nth
        };
        let old = std::mem::replace(&mut self.door, self.shared.door(addr, Some(nth))?);
        self.addr = self.door.addr;
        old.close(after);
        Ok(())
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock().unwrap() = behaviour;
    }
    pub fn calls(&self) -> usize {
        self.shared.record.lock().unwrap().calls
    }
    pub fn connections(&self) -> usize {
        self.shared.record.lock().unwrap().connections
    }
    /// Calls that came to the present address.
    pub fn calls_at_current_address(&self) -> usize {
        self.shared.record.lock().unwrap().calls_at_current_address
    }
    /// Connections that are not ended: what was written to the others is all read.
    pub fn open_connections(&self) -> usize {
        self.shared.record.lock().unwrap().open
    }
    /// For how long its threads.total for a processor.
    pub fn scheduling_delay(&self) -> Duration {
        self.shared.threads.total()
    }
    /// Forgets every total, as a fresh counter that has taken the old one's place.
    pub fn reset_totals(&self) {
        let mut record = self.shared.record.lock().unwrap();
        record.totals.clear();
        if let Some((base, far)) = &mut record.split {
            base.clear();
            far.clear();
        }
    }
    /// The sum over all names that are not forgotten.
    pub fn sum(&self) -> f64 {
        let now = Instant::now();
        self.shared.record.lock().unwrap().totals.values().filter(|t| t.1 > now).map(|t| t.0).sum()
    }
}

impl Shared {
    /// The nth address, or with none that on the far side.
    fn door(&self, addr: &str, nth: Option<usize>) -> io::Result<Listener> {
        let me = self.clone();
        Listener::start(addr, move |stream| {
            me.counted(|r| (r.connections, r.open) = (r.connections + 1, r.open + 1));
            me.threads.run(|| me.serve(stream, nth));
            me.counted(|r| r.open -= 1);
        })
    }

    fn counted(&self, change: impl FnOnce(&mut Record)) {
        change(&mut self.record.lock().unwrap());
    }

    fn serve(&self, stream: TcpStream, nth: Option<usize>) -> Option<()> {
        let (mut from, mut to) = (BufReader::new(stream.try_clone().ok()?), stream);
        while let Some(words) = read_call(&mut from).ok()? {
            let mut behaviour = *self.behaviour.lock().unwrap();
            while behaviour == Behaviour::Silent {
                sleep(Duration::from_millis(5));
                behaviour = *self.behaviour.lock().unwrap();
            }
            if behaviour == Behaviour::MalformedReply {
                self.answer(&words, nth);
                to.write_all(b"$5\r\nwhat?\r\n").ok()?;
                while let Some(words) = read_call(&mut from).ok()? {
                    self.answer(&words, nth);
                }
            } else if behaviour == Behaviour::DuplicateReply {
                to.write_all((self.answer(&words, nth) + "$6\r\n999999\r\n").as_bytes()).ok()?;
            } else if behaviour == Behaviour::Busy {
                to.write_all(b"-BUSY try later\r\n").ok()?;
            } else {
                to.write_all(self.answer(&words, nth).as_bytes()).ok()?;
            }
        }
        Some(())
    }

    fn answer(&self, words: &[String], nth: Option<usize>) -> String {
        let mut guard = self.record.lock().unwrap();
        let record = &mut *guard;
        let verb = words.first().map(|w| w.to_ascii_uppercase()).unwrap_or_default();
        let numbers =
            (words.get(2).and_then(|w| w.parse::<f64>().ok()), words.get(3).map(|w| w.parse::<u64>()));
        match (verb.as_str(), words.len(), numbers) {
            ("PING", 1, _) => "+PONG\r\n".into(),
            ("CLIENT" | "SELECT", ..) => "+OK\r\n".into(),
            ("CNT.ADD", 4, (Some(add), Some(Ok(life @ 1..)))) if words[1].len() <= 64 => {
                let now = Instant::now();
                record.calls += 1;
                record.calls_at_current_address += (nth == Some(record.nth)) as usize;
                let fresh = (0.0, now + Duration::from_millis(life.min(60_000)));
                let totals = match &mut record.split {
                    Some((_, far_side)) if nth.is_none() => far_side,
                    _ => &mut record.totals,
                };
                let total = totals.entry(words[1].clone()).or_insert(fresh);
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

#[cfg(test)]
mod tests;
