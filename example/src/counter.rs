//! The counter: RESP2, numbers by name that are forgotten after their life.

use crate::door::Door;
use crate::waits::Threads;
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

type Totals = HashMap<String, (f64, Instant)>;

#[derive(Default)]
struct Record {
    totals: Totals,
    /// While split: the totals at the split, and those the far side has added to since.
    split: Option<(Totals, Totals)>,
    calls: usize,
    /// Those of them that came to the present address, which is the nth.
    calls_here: usize,
    nth: usize,
    connections: usize,
    /// Those of them that are not ended.
    open: usize,
}

#[derive(Clone)]
struct Shared {
    manner: Arc<Mutex<Manner>>,
    record: Arc<Mutex<Record>>,
    threads: Threads,
}

pub struct Counter {
    pub addr: SocketAddr,
    door: Door,
    shared: Shared,
    far: Vec<Door>,
}

impl Counter {
    pub fn start(addr: &str, manner: Manner) -> io::Result<Counter> {
        let manner = Arc::new(Mutex::new(manner));
        let shared = Shared { manner, record: Arc::default(), threads: Threads::default() };
        let door = shared.door(addr, Some(0))?;
        Ok(Counter { addr: door.addr, door, shared, far: vec![] })
    }

    /// Another address of the same counter, on the far side of a split: it shares all totals except while split.
    pub fn far_door(&mut self) -> io::Result<SocketAddr> {
        let door = self.shared.door("127.0.0.1:0", None)?;
        let addr = door.addr;
        self.far.push(door);
        Ok(addr)
    }

    /// Splits the counter in two (each side goes on from the totals at the split), or heals it: what the far side
    /// added meanwhile is then added to the near side's totals.
    pub fn split(&self, split: bool) {
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
    pub fn go(&mut self, addr: &str, after: Duration) -> io::Result<()> {
        let nth = {
            let mut record = self.shared.record.lock().unwrap();
            (record.nth, record.calls_here) = (record.nth + 1, 0);
            record.nth
        };
        let old = std::mem::replace(&mut self.door, self.shared.door(addr, Some(nth))?);
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
    /// Calls that came to the present address.
    pub fn calls_here(&self) -> usize {
        self.shared.record.lock().unwrap().calls_here
    }
    /// Connections that are not ended: what was written to the others is all read.
    pub fn open(&self) -> usize {
        self.shared.record.lock().unwrap().open
    }
    /// For how long its threads waited for a processor.
    pub fn waited(&self) -> Duration {
        self.shared.threads.waited()
    }
    /// Forgets every total, as a fresh counter that has taken the old one's place.
    pub fn forget(&self) {
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
    fn door(&self, addr: &str, nth: Option<usize>) -> io::Result<Door> {
        let me = self.clone();
        Door::open(addr, move |stream| {
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
            let mut manner = *self.manner.lock().unwrap();
            while manner == Manner::Silent {
                sleep(Duration::from_millis(5));
                manner = *self.manner.lock().unwrap();
            }
            if manner == Manner::Spoilt {
                self.answer(&words, nth);
                to.write_all(b"$5\r\nwhat?\r\n").ok()?;
                while let Some(words) = read_call(&mut from).ok()? {
                    self.answer(&words, nth);
                }
            } else if manner == Manner::Twice {
                to.write_all((self.answer(&words, nth) + "$6\r\n999999\r\n").as_bytes()).ok()?;
            } else if manner == Manner::Busy {
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
                record.calls_here += (nth == Some(record.nth)) as usize;
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
