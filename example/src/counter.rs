//! The counter: a RESP2 service that adds up totals by name; each total expires after its lifetime.

use crate::listener::Listener;
use crate::scheduling_delay::TrackedThreads;
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How the counter treats calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Replies to every call.
    Reply,
    /// Rejects every call with `-BUSY`.
    Busy,
    /// Delays replies until another behaviour is set; then every call is handled in order, however late.
    Silent,
    /// Adds, and replies with text instead of a number; later calls on that connection get no reply.
    MalformedReply,
    /// Replies, and sends a second reply with another total right after.
    DuplicateReply,
}

type Totals = HashMap<String, (f64, Instant)>;

#[derive(Default)]
struct Record {
    totals: Totals,
    /// During a split: the totals at its start, and the totals of the far side.
    split: Option<(Totals, Totals)>,
    calls: usize,
    /// Calls received at the current address, the one numbered `address_number`.
    calls_at_current_address: usize,
    address_number: usize,
    connections: usize,
    /// Connections that have not ended.
    open_connections: usize,
}

#[derive(Clone)]
struct Shared {
    behaviour: Arc<Mutex<Behaviour>>,
    record: Arc<Mutex<Record>>,
    threads: TrackedThreads,
}

/// A counter service.
pub struct Counter {
    /// The current address.
    pub addr: SocketAddr,
    listener: Listener,
    shared: Shared,
    far_listeners: Vec<Listener>,
}

impl Counter {
    /// Starts a counter without totals.
    pub fn start(addr: &str, behaviour: Behaviour) -> io::Result<Counter> {
        let behaviour = Arc::new(Mutex::new(behaviour));
        let shared = Shared { behaviour, record: Arc::default(), threads: TrackedThreads::default() };
        let listener = shared.listen(addr, Some(0))?;
        Ok(Counter { addr: listener.addr, listener, shared, far_listeners: vec![] })
    }

    /// Adds an address of the same counter, on the far side of a split: it shares all totals except during a split.
    pub fn add_far_address(&mut self) -> io::Result<SocketAddr> {
        let listener = self.shared.listen("127.0.0.1:0", None)?;
        let addr = listener.addr;
        self.far_listeners.push(listener);
        Ok(addr)
    }

    /// Splits the counter into two sides that both continue from the current totals, or ends the split: the amounts
    /// added on the far side are then merged into the totals of the near side.
    pub fn set_split(&self, split: bool) {
        let mut record = self.shared.record.lock().unwrap();
        match (split, record.split.take()) {
            (true, None) => record.split = Some((record.totals.clone(), record.totals.clone())),
            (false, Some((base, far))) => {
                for (name, (total, expires)) in far {
                    let added = total - base.get(&name).map_or(0.0, |base_total| base_total.0);
                    record.totals.entry(name).or_insert((0.0, expires)).0 += added;
                }
            }
            (_, was) => record.split = was,
        }
    }

    /// Moves to another address and keeps the totals; connections to the old address are closed after the given time.
    pub fn move_to(&mut self, addr: &str, after: Duration) -> io::Result<()> {
        let address_number = {
            let mut record = self.shared.record.lock().unwrap();
            (record.address_number, record.calls_at_current_address) = (record.address_number + 1, 0);
            record.address_number
        };
        let old = std::mem::replace(&mut self.listener, self.shared.listen(addr, Some(address_number))?);
        self.addr = self.listener.addr;
        old.close(after);
        Ok(())
    }

    /// Sets the behaviour from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock().unwrap() = behaviour;
    }
    /// Number of valid calls received so far.
    pub fn calls(&self) -> usize {
        self.shared.record.lock().unwrap().calls
    }
    /// Number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.shared.record.lock().unwrap().connections
    }
    /// Number of valid calls received at the current address.
    pub fn calls_at_current_address(&self) -> usize {
        self.shared.record.lock().unwrap().calls_at_current_address
    }
    /// Number of connections that have not ended; on the others, everything written to the counter has been read.
    pub fn open_connections(&self) -> usize {
        self.shared.record.lock().unwrap().open_connections
    }
    /// How long its threads waited for a processor, in total.
    pub fn scheduling_delay(&self) -> Duration {
        self.shared.threads.total()
    }
    /// Deletes all totals, as if a newly started counter had replaced this one.
    pub fn reset_totals(&self) {
        let mut record = self.shared.record.lock().unwrap();
        record.totals.clear();
        if let Some((base, far)) = &mut record.split {
            base.clear();
            far.clear();
        }
    }
    /// The sum of all totals that have not expired.
    pub fn sum(&self) -> f64 {
        let now = Instant::now();
        self.shared.record.lock().unwrap().totals.values().filter(|t| t.1 > now).map(|t| t.0).sum()
    }
}

impl Shared {
    /// Listens on the address with the given number, or on the far side if it is `None`.
    fn listen(&self, addr: &str, address_number: Option<usize>) -> io::Result<Listener> {
        let this = self.clone();
        Listener::start(addr, move |stream| {
            this.update_record(|r| {
                (r.connections, r.open_connections) = (r.connections + 1, r.open_connections + 1)
            });
            this.threads.run(|| this.serve(stream, address_number));
            this.update_record(|r| r.open_connections -= 1);
        })
    }

    /// Changes the record under its lock.
    fn update_record(&self, change: impl FnOnce(&mut Record)) {
        change(&mut self.record.lock().unwrap());
    }

    fn serve(&self, stream: TcpStream, address_number: Option<usize>) -> Option<()> {
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone().ok()?), stream);
        while let Some(words) = read_call(&mut reader).ok()? {
            let mut behaviour = *self.behaviour.lock().unwrap();
            while behaviour == Behaviour::Silent {
                sleep(Duration::from_millis(5));
                behaviour = *self.behaviour.lock().unwrap();
            }
            if behaviour == Behaviour::MalformedReply {
                self.execute(&words, address_number);
                writer.write_all(b"$5\r\nwhat?\r\n").ok()?;
                while let Some(words) = read_call(&mut reader).ok()? {
                    self.execute(&words, address_number);
                }
            } else if behaviour == Behaviour::DuplicateReply {
                writer
                    .write_all((self.execute(&words, address_number) + "$6\r\n999999\r\n").as_bytes())
                    .ok()?;
            } else if behaviour == Behaviour::Busy {
                writer.write_all(b"-BUSY try later\r\n").ok()?;
            } else {
                writer.write_all(self.execute(&words, address_number).as_bytes()).ok()?;
            }
        }
        Some(())
    }

    /// Executes a call and returns the reply.
    fn execute(&self, words: &[String], address_number: Option<usize>) -> String {
        let mut guard = self.record.lock().unwrap();
        let record = &mut *guard;
        let verb = words.first().map(|w| w.to_ascii_uppercase()).unwrap_or_default();
        let numbers =
            (words.get(2).and_then(|w| w.parse::<f64>().ok()), words.get(3).map(|w| w.parse::<u64>()));
        match (verb.as_str(), words.len(), numbers) {
            ("PING", 1, _) => "+PONG\r\n".into(),
            ("CLIENT" | "SELECT", ..) => "+OK\r\n".into(),
            ("CNT.ADD", 4, (Some(add), Some(Ok(lifetime_ms @ 1..)))) if words[1].len() <= 64 => {
                let now = Instant::now();
                record.calls += 1;
                record.calls_at_current_address += (address_number == Some(record.address_number)) as usize;
                let fresh = (0.0, now + Duration::from_millis(lifetime_ms.min(60_000)));
                let totals = match &mut record.split {
                    Some((_, far_side)) if address_number.is_none() => far_side,
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

/// Reads a RESP2 array of bulk strings; `None` if the connection ends before it.
fn read_call(reader: &mut impl BufRead) -> io::Result<Option<Vec<String>>> {
    let mut number = |kind: char| -> io::Result<Option<usize>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let n = line.trim_end().strip_prefix(kind).and_then(|n| n.parse().ok());
        n.map(Some).ok_or(io::ErrorKind::InvalidData.into())
    };
    let Some(n) = number('*')? else { return Ok(None) };
    let mut words = Vec::new();
    for _ in 0..n {
        let mut length = String::new();
        reader.read_line(&mut length)?;
        let length = length.trim_end().strip_prefix('$').and_then(|n| n.parse::<usize>().ok());
        let mut word = vec![0; length.filter(|l| *l <= 4096).ok_or(io::ErrorKind::InvalidData)? + 2];
        reader.read_exact(&mut word)?;
        word.truncate(word.len() - 2);
        words.push(String::from_utf8_lossy(&word).into_owned());
    }
    Ok(Some(words))
}

#[cfg(test)]
mod tests;
