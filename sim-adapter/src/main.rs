//! Hosts instances of the decision module on the simulator's wire. Instances share nothing.

mod wire;

use lupinledge::control::Control;
use lupinledge::interface::{Action, Event};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use wire::{Malformed, Record, Reply};

fn bad(record: &str, at: usize, what: impl Into<String>) -> Malformed {
    Malformed { record: record.to_string(), at, what: what.into() }
}

/// Plays the events of one instance's turn; a fault in the decisions is told by the wire's own record.
fn turn(
    host: &mut BTreeMap<u16, Control>,
    i: u16,
    now: lupinledge::time::Timestamp,
    evs: &mut Vec<Event>,
    reply: &mut Reply,
) {
    let Some(ctl) = host.get_mut(&i) else {
        evs.clear();
        return;
    };
    let mut acts: Vec<Action> = Vec::new();
    let played = catch_unwind(AssertUnwindSafe(|| ctl.round(now, std::mem::take(evs), &mut acts)));
    if acts.is_empty() && played.is_ok() {
        return;
    }
    reply.by(i);
    acts.iter().for_each(|a| reply.action(a));
    if let Err(cause) = played {
        let text = cause.downcast_ref::<String>().map(String::as_str);
        reply.bug(text.or(cause.downcast_ref::<&str>().copied()).unwrap_or("fault in the decisions"));
    }
}

fn batch(host: &mut BTreeMap<u16, Control>, body: &[u8]) -> Result<Vec<u8>, Malformed> {
    let (now, records) = wire::read_batch(body)?;
    let mut reply = Reply::default();
    let (mut who, mut evs): (Option<u16>, Vec<Event>) = (None, Vec::new());
    for (at, record) in records {
        match record {
            Record::Instance(i) => {
                if let Some(w) = who {
                    turn(host, w, now, &mut evs, &mut reply);
                }
                who = Some(i);
            }
            Record::PowerOff => {
                evs.clear();
                who.map(|w| host.remove(&w));
            }
            Record::Init { seed, conf } => {
                let w = who.ok_or_else(|| bad("init", at, "no instance named before it"))?;
                let t = lupinledge_gateway_settings::decode(seed, &conf)
                    .map_err(|e| bad("init", at, format!("broken settings: {e}")))?;
                host.insert(w, Control::new(t));
            }
            Record::Event(e) => {
                let w = who.ok_or_else(|| bad("event", at, "no instance named before it"))?;
                if let (Event::Req(r), Some(c)) = (&e, host.get(&w)) {
                    if !c.terms().contains(r) {
                        return Err(bad("order", at, "a class or plan that the settings lack"));
                    }
                }
                evs.push(e);
            }
        }
    }
    if let Some(w) = who {
        turn(host, w, now, &mut evs, &mut reply);
    }
    Ok(reply.frame())
}

/// Reads exactly `buf`, or tells how many bytes there were before the end of input.
fn fill(input: &mut impl Read, buf: &mut [u8]) -> io::Result<usize> {
    let mut n = 0;
    while n < buf.len() {
        match input.read(&mut buf[n..]) {
            Ok(0) => break,
            Ok(k) => n += k,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(n)
}

fn serve() -> Result<(), String> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut host = BTreeMap::new();
    let (mut head, mut body) = ([0u8; 4], Vec::new());
    loop {
        match fill(&mut input, &mut head).map_err(|e| format!("standard input: {e}"))? {
            0 => return Ok(()),
            4 => {}
            n => return Err(format!("batch header: byte {n}: input ends within the length")),
        }
        let len = u32::from_le_bytes(head) as usize;
        body.clear();
        let got = input.by_ref().take(len as u64).read_to_end(&mut body);
        if got.map_err(|e| format!("standard input: {e}"))? < len {
            return Err(format!("batch header: byte {}: input ends, {len} bytes announced", body.len()));
        }
        let frame = batch(&mut host, &body).map_err(|e| e.to_string())?;
        output.write_all(&frame).and_then(|_| output.flush()).map_err(|e| format!("standard output: {e}"))?;
    }
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|p| eprintln!("lupinledge-benchlink: fault in the decisions: {p}")));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("lupinledge-benchlink: {e}");
            ExitCode::FAILURE
        }
    }
}
