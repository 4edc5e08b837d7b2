//! Runs instances of the decision module for the simulator, over standard input and output. Instances share nothing.

mod wire;

use lupinledge::control::Control;
use lupinledge::interface::{Action, Event};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use wire::{Malformed, Record, Reply};

/// An error in a record at a byte position.
fn malformed(record: &str, at: usize, error: impl Into<String>) -> Malformed {
    Malformed { record: record.to_string(), at, error: error.into() }
}

/// Runs one round of an instance; a panic in the decisions is reported by a record of its own.
fn round(
    host: &mut BTreeMap<u16, Control>,
    instance: u16,
    now: lupinledge::time::Timestamp,
    events: &mut Vec<Event>,
    reply: &mut Reply,
) {
    let Some(control) = host.get_mut(&instance) else {
        events.clear();
        return;
    };
    let mut actions: Vec<Action> = Vec::new();
    let result = catch_unwind(AssertUnwindSafe(|| control.round(now, std::mem::take(events), &mut actions)));
    if actions.is_empty() && result.is_ok() {
        return;
    }
    reply.instance(instance);
    actions.iter().for_each(|a| reply.action(a));
    if let Err(cause) = result {
        let text = cause.downcast_ref::<String>().map(String::as_str);
        reply.panic(text.or(cause.downcast_ref::<&str>().copied()).unwrap_or("panic in the decision module"));
    }
}

/// Runs the rounds of a batch; returns the reply frame.
fn run_batch(host: &mut BTreeMap<u16, Control>, body: &[u8]) -> Result<Vec<u8>, Malformed> {
    let (now, records) = wire::read_batch(body)?;
    let mut reply = Reply::default();
    let (mut current, mut events): (Option<u16>, Vec<Event>) = (None, Vec::new());
    for (at, record) in records {
        match record {
            Record::Instance(next) => {
                if let Some(i) = current {
                    round(host, i, now, &mut events, &mut reply);
                }
                current = Some(next);
            }
            Record::PowerOff => {
                events.clear();
                current.map(|i| host.remove(&i));
            }
            Record::Init { seed, settings } => {
                let i = current.ok_or_else(|| malformed("init", at, "no instance record before it"))?;
                let terms = lupinledge_gateway_settings::decode(seed, &settings)
                    .map_err(|e| malformed("init", at, format!("invalid settings: {e}")))?;
                host.insert(i, Control::new(terms));
            }
            Record::Event(e) => {
                let i = current.ok_or_else(|| malformed("event", at, "no instance record before it"))?;
                if let (Event::Req(request), Some(control)) = (&e, host.get(&i)) {
                    if !control.terms().contains(request) {
                        return Err(malformed("order", at, "a class or plan that is not in the settings"));
                    }
                }
                events.push(e);
            }
        }
    }
    if let Some(i) = current {
        round(host, i, now, &mut events, &mut reply);
    }
    Ok(reply.frame())
}

/// Fills `buf`; returns how many bytes were read before the end of the input.
fn fill(input: &mut impl Read, buf: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buf.len() {
        match input.read(&mut buf[filled..]) {
            Ok(0) => break,
            Ok(n) => filled += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(filled)
}

/// Answers batches until the end of the input.
fn serve() -> Result<(), String> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut host = BTreeMap::new();
    let (mut head, mut body) = ([0u8; 4], Vec::new());
    loop {
        match fill(&mut input, &mut head).map_err(|e| format!("standard input: {e}"))? {
            0 => return Ok(()),
            4 => {}
            n => return Err(format!("batch header: byte {n}: the input ends within the length")),
        }
        let len = u32::from_le_bytes(head) as usize;
        body.clear();
        let got = input.by_ref().take(len as u64).read_to_end(&mut body);
        if got.map_err(|e| format!("standard input: {e}"))? < len {
            return Err(format!(
                "batch header: byte {}: the input ends, {len} bytes were announced",
                body.len()
            ));
        }
        let frame = run_batch(&mut host, &body).map_err(|e| e.to_string())?;
        output.write_all(&frame).and_then(|_| output.flush()).map_err(|e| format!("standard output: {e}"))?;
    }
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("lupinledge-benchlink: panic in the decision module: {panic}")
    }));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("lupinledge-benchlink: {e}");
            ExitCode::FAILURE
        }
    }
}
