//! The codec of the simulator's protocol: frames of records, little-endian.

use lupinledge::interface::{Action, Ended, Event, ListKind, NewRequest, Outcome, ServerEntry, ServerState};
use lupinledge::time::{Span, Timestamp};

/// An error in the input, with the record and the byte position within the frame.
#[derive(Debug)]
pub struct Malformed {
    pub record: String,
    pub at: usize,
    pub error: String,
}

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: byte {}: {}", self.record, self.at, self.error)
    }
}

/// A record of a batch.
pub enum Record {
    /// The records that follow are for this instance.
    Instance(u16),
    Init {
        seed: u64,
        settings: Vec<u8>,
    },
    PowerOff,
    Event(Event),
}

/// Reads the fields of a record.
struct Reader<'a> {
    body: &'a [u8],
    pos: usize,
    end: usize,
    record: &'static str,
}

impl<'a> Reader<'a> {
    fn malformed<T>(&self, error: impl Into<String>) -> Result<T, Malformed> {
        Err(Malformed { record: self.record.to_string(), at: self.pos, error: error.into() })
    }
    fn take(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        if self.end - self.pos < n {
            return self.malformed(format!("needs {n} bytes, has {}", self.end - self.pos));
        }
        let bytes = &self.body[self.pos..self.pos + n];
        self.pos += n;
        Ok(bytes)
    }
    fn bytes<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        Ok(self.take(N)?.try_into().expect("take gives N bytes"))
    }
    fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(self.bytes::<1>()?[0])
    }
    fn u16(&mut self) -> Result<u16, Malformed> {
        Ok(u16::from_le_bytes(self.bytes()?))
    }
    fn u32(&mut self) -> Result<u32, Malformed> {
        Ok(u32::from_le_bytes(self.bytes()?))
    }
    fn u64(&mut self) -> Result<u64, Malformed> {
        Ok(u64::from_le_bytes(self.bytes()?))
    }
    fn f32(&mut self) -> Result<f64, Malformed> {
        let v = f32::from_le_bytes(self.bytes()?) as f64;
        if v.is_finite() {
            Ok(v)
        } else {
            self.malformed("not a finite number")
        }
    }
    fn f64(&mut self) -> Result<f64, Malformed> {
        let v = f64::from_le_bytes(self.bytes()?);
        if v.is_finite() {
            Ok(v)
        } else {
            self.malformed("not a finite number")
        }
    }
    fn span(&mut self) -> Result<Span, Malformed> {
        Ok(Span::from_secs(self.f64()?))
    }
    fn outcome(&mut self) -> Result<Outcome, Malformed> {
        Ok(match self.u16()? {
            0 => Outcome::Passed,
            255 => Outcome::Error,
            254 => Outcome::Full,
            253 => Outcome::TimedOut,
            252 => Outcome::NoConnection,
            251 => Outcome::Reset,
            250 => Outcome::Cancelled,
            249 => Outcome::NotSent,
            v => return self.malformed(format!("unknown verdict {v}")),
        })
    }
    fn load(&mut self) -> Result<Vec<f32>, Malformed> {
        let n = self.u8()?;
        (0..n).map(|_| Ok(self.f32()? as f32)).collect()
    }
    fn entry(&mut self) -> Result<ServerEntry, Malformed> {
        let (server, zone) = (self.u32()?, self.u16()?);
        self.u16()?;
        let cell = self.u16()?;
        let state = match self.u8()? {
            0 => ServerState::Ready,
            1 => ServerState::Gone,
            2 => ServerState::Draining,
            v => return self.malformed(format!("unknown lifecycle {v}")),
        };
        let weight = self.f32()?;
        let started_at = self.f64()?;
        let started_at = (started_at > 0.0).then(|| Timestamp::from_secs(started_at));
        Ok(ServerEntry { server, zone, cell, state, weight, started_at })
    }
}

/// The name of a record, for error messages.
fn name_of(code: u16) -> Option<&'static str> {
    Some(match code {
        256 => "init",
        257 => "backends_changed",
        258 => "order",
        259 => "accepted",
        260 => "outcome",
        261 => "timed_out_client",
        262 => "elapsed",
        263 => "pong",
        264 => "inbox",
        265 => "power_off",
        266 => "counter_reply",
        267 => "instance",
        _ => return None,
    })
}

/// The clock and the records of one batch; `body` is everything after the length.
pub fn read_batch(body: &[u8]) -> Result<(Timestamp, Vec<(usize, Record)>), Malformed> {
    let mut r = Reader { body, pos: 0, end: body.len(), record: "batch header" };
    let clock = r.f64()?;
    let mut records = Vec::new();
    while r.pos < body.len() {
        (r.end, r.record) = (body.len(), "record header");
        let code = r.u16()?;
        let len = r.u32()? as usize;
        let Some(name) = name_of(code) else {
            return r.malformed(format!("unknown record code {code}"));
        };
        r.record = name;
        if len > body.len() - r.pos {
            return r.malformed(format!("length {len} exceeds the frame"));
        }
        r.end = r.pos + len;
        let at = r.pos;
        records.push((at, read_record(&mut r, code)?));
        if r.pos != r.end {
            return r.malformed(format!("{} bytes too many", r.end - r.pos));
        }
    }
    Ok((Timestamp::from_secs(clock), records))
}

fn read_record(r: &mut Reader, code: u16) -> Result<Record, Malformed> {
    Ok(Record::Event(match code {
        267 => return Ok(Record::Instance(r.u16()?)),
        265 => return Ok(Record::PowerOff),
        256 => {
            let seed = r.u64()?;
            let n = r.u32()? as usize;
            return Ok(Record::Init { seed, settings: r.take(n)?.to_vec() });
        }
        257 => {
            let kind = match r.u8()? {
                0 => ListKind::Delta,
                1 => ListKind::Cached,
                3 => ListKind::Full,
                4 => ListKind::Failed,
                v => return r.malformed(format!("unknown scope {v}")),
            };
            r.u32()?;
            let n = r.u32()?;
            let rows = (0..n).map(|_| r.entry()).collect::<Result<_, _>>()?;
            Event::List { kind, rows }
        }
        258 => {
            let (id, frontend, flags) = (r.u64()?, r.u16()? as usize, r.u8()?);
            r.f32()?;
            let (units, customer, plan) = (r.f32()?, r.u64()?, r.u32()? as usize);
            let spread = r.f32()?;
            let repeat = flags & 2 != 0;
            let (time_left, zones) = (r.span()?, u64::MAX);
            Event::Req(NewRequest { id, frontend, repeat, units, customer, plan, spread, time_left, zones })
        }
        259 => {
            let (id, nth) = (r.u64()?, r.u16()?);
            r.u32()?;
            r.f64()?;
            Event::Begun { id, nth }
        }
        260 => {
            let (id, nth) = (r.u64()?, r.u16()?);
            r.u32()?;
            let (outcome, took) = (r.outcome()?, r.span()?);
            let closed = r.u8()? != 0;
            r.u16()?;
            let billed = r.u16()? as f64;
            Event::Ended(Ended { id, nth, outcome, took, closed, billed }, r.load()?)
        }
        261 => Event::Left { id: r.u64()? },
        262 => Event::Timer { token: r.u64()? },
        263 => {
            let outcome = r.outcome()?;
            let server = r.u32()?;
            Event::Probed { server, outcome, took: r.span()?, load: r.load()? }
        }
        264 => {
            let from = r.u32()?;
            let n = r.u16()? as usize;
            Event::Peer { from, body: r.take(n)?.to_vec() }
        }
        _ => {
            let total = r.f32()?;
            r.f64()?;
            let name = r.u64()?;
            Event::Counted { name, total, level: None, outcome: r.outcome()? }
        }
    }))
}

/// A reply frame under construction.
#[derive(Default)]
pub struct Reply {
    body: Vec<u8>,
}

impl Reply {
    fn record(&mut self, code: u16, fields: &[&[u8]]) {
        self.body.extend(code.to_le_bytes());
        let len: usize = fields.iter().map(|f| f.len()).sum();
        self.body.extend((len as u32).to_le_bytes());
        for f in fields {
            self.body.extend(*f);
        }
    }
    fn text(&mut self, code: u16, text: &str) {
        let mut n = text.len().min(1000);
        while !text.is_char_boundary(n) {
            n -= 1;
        }
        self.record(code, &[&(n as u16).to_le_bytes(), &text.as_bytes()[..n]]);
    }
    /// The actions that follow are of this instance.
    pub fn instance(&mut self, instance: u16) {
        self.record(263, &[&instance.to_le_bytes()]);
    }
    /// Reports a panic in the decision module.
    pub fn panic(&mut self, text: &str) {
        self.text(264, text);
    }
    /// Appends an action.
    pub fn action(&mut self, action: &Action) {
        let secs = |s: Span| s.secs().to_le_bytes();
        match action {
            Action::Deny { id, back_off } => self.record(256, &[&id.to_le_bytes(), &secs(*back_off)]),
            Action::Probe { server } => self.record(257, &[&server.to_le_bytes()]),
            Action::Abort { id } => self.record(258, &[&id.to_le_bytes()]),
            Action::Cancel { id, nth } => self.record(259, &[&id.to_le_bytes(), &nth.to_le_bytes()]),
            Action::Close { server } => self.record(260, &[&server.to_le_bytes()]),
            Action::Watch { on } => self.record(261, &[&[*on as u8]]),
            Action::Dispatch { id, server, limit } => {
                self.record(262, &[&id.to_le_bytes(), &server.to_le_bytes(), &secs(*limit)])
            }
            Action::Count { name, amount, life } => {
                self.record(265, &[&name.to_le_bytes(), &(*amount as f32).to_le_bytes(), &secs(*life)])
            }
            Action::Tell { to, body } => {
                let receiver = to.unwrap_or(u32::MAX).to_le_bytes();
                self.record(266, &[&receiver, &(body.len() as u16).to_le_bytes(), body])
            }
            Action::Note { text } => self.text(267, text),
            Action::Fetch => self.record(268, &[]),
            Action::Timer { after, token } => self.record(269, &[&secs(*after), &token.to_le_bytes()]),
        }
    }
    /// The whole frame, with its length in front.
    pub fn frame(self) -> Vec<u8> {
        let mut frame = (self.body.len() as u32).to_le_bytes().to_vec();
        frame.extend(self.body);
        frame
    }
}
