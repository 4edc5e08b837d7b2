//! Clients of the keyed route: they try operations again after failures, after good answers and twice at once, mostly
//! through other edge processes.

use crate::backend::{body_for, digest, request_body, Behaviour, Deed};
use crate::client::{Crowd, DEADLINE, PATIENCE};
use crate::cluster::Cluster;
use crate::configuration::{FREE, HOST, KEYED, LIMITED};
use crate::record::{Ending, OperationProbe, OperationTry, Record, Seconds};
use lupinledge_example::http::{Client, Message};
use std::io::ErrorKind;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// An operation without a success is given up after so many tries.
const TRIES_MOST: u32 = 6;
/// Operations that one client means to repeat later.
const LATER_MOST: usize = 64;
/// Of those, so many are repeated at the end of a run.
const LATER_AT_END: usize = 8;
/// Seconds until an operation is repeated later.
const LATER_S: std::ops::Range<f64> = 1.0..12.0;
/// Milliseconds until a failed try is followed by the next.
const RETRY_MS: std::ops::Range<u64> = 0..400;
/// Milliseconds between operations.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Milliseconds after which an impatient client leaves.
const LEAVE_MS: std::ops::Range<u64> = 1..60;
/// Between two tries of a probe.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// A keyed operation, which is its key and body, and how often it was tried.
#[derive(Clone, Debug)]
struct Operation {
    name: String,
    tenant_key: &'static str,
    tries: u32,
}

impl Operation {
    fn new(name: String, tenant_key: &'static str) -> Operation {
        Operation { name, tenant_key, tries: 0 }
    }

    /// The id of its next try.
    fn next_attempt(&mut self) -> String {
        self.tries += 1;
        format!("{}.{}", self.name, self.tries)
    }

    fn request(&self, attempt: &str) -> Vec<u8> {
        let (name, tenant_key, body) = (&self.name, self.tenant_key, request_body(&self.name));
        let (length, deadline) = (body.len(), DEADLINE.as_millis());
        format!(
            "POST {KEYED}{name} HTTP/1.1\r\nHost: {HOST}\r\nLupinledge-Attempt-Id: {attempt}\r\n\
             Lupinledge-Operation-Key: {name}\r\nLupinledge-Deadline-Ms: {deadline}\r\n\
             Authorization: Token {tenant_key}\r\nContent-Length: {length}\r\n\r\n{body}"
        )
        .into_bytes()
    }
}

/// Where one try is sent, and whether its client waits for the answer.
#[derive(Clone, Copy)]
struct Way {
    edge: usize,
    leaves_after: Option<Duration>,
}

/// Sends one try; whether it was a success. One that could not be sent is not recorded.
fn attempt(record: &Record, cluster: &Cluster, operation: &Operation, attempt: String, way: Way) -> bool {
    let Ok(mut link) = Client::connect_with_timeout(cluster.front(way.edge), DEADLINE + PATIENCE) else {
        return false;
    };
    let written = link.write(&operation.request(&attempt));
    let at = record.now();
    let (ending, answer) = match (written, way.leaves_after) {
        (Err(_), _) => (Ending::Unsent, None),
        (Ok(()), Some(after)) => {
            sleep(after);
            (Ending::Left, None)
        }
        (Ok(()), None) => ended(&attempt, link.read_response()),
    };
    let success = matches!(ending, Ending::Answered { status: 200..300, .. });
    let ended = record.now();
    record.seen().operation_tries.push(OperationTry {
        operation: operation.name.clone(),
        attempt,
        edge: way.edge,
        at,
        ended,
        ending,
        stamp: answer.as_ref().and_then(|a| a.header("lupinledge-server-stamp").map(str::to_string)),
        body: answer.map_or(0, |a| digest(&a.body)),
    });
    success
}

fn ended(attempt: &str, answer: std::io::Result<Option<Message>>) -> (Ending, Option<Message>) {
    match answer {
        Ok(Some(answer)) => {
            let ending = Ending::Answered { status: answer.status(), fault: fault(attempt, &answer) };
            (ending, Some(answer))
        }
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => (Ending::Silent, None),
        Ok(None) | Err(_) => (Ending::Broken, None),
    }
}

/// What is wrong with an answer by itself.
fn fault(attempt: &str, answer: &Message) -> Option<&'static str> {
    let stamp = answer.header("lupinledge-server-stamp");
    match answer.status() {
        200..300 if stamp.is_none() => Some("no stamp"),
        200..300 if stamp.is_some_and(|stamp| answer.text() != body_for(stamp)) => {
            Some("a body that doesn't belong to its stamp")
        }
        200..300 if answer.header("lupinledge-attempt-id") != Some(attempt) => Some("another try's id"),
        200..600 => None,
        _ => Some("no answer in the protocol"),
    }
}

/// One client of the keyed route.
struct Keyed {
    crowd: Arc<Crowd>,
    nth: u64,
    rng: fastrand::Rng,
    asked: u64,
    /// Operations that are to be repeated, and when.
    later: Vec<(Instant, Operation)>,
}

/// Sends keyed operations until the run stops.
pub fn keyed(crowd: Arc<Crowd>, nth: u64) {
    let rng = fastrand::Rng::with_seed(crowd.seed << 16 | 1 << 14 | nth);
    let mut client = Keyed { crowd, nth, rng, asked: 0, later: Vec::new() };
    while !client.crowd.stop.load(Ordering::SeqCst) {
        client.turn();
        let pause = client.rng.u64(PAUSE_MS);
        sleep(Duration::from_millis(pause));
    }
    let last = std::mem::take(&mut client.later);
    for (_, mut operation) in last.into_iter().take(LATER_AT_END) {
        let edge = client.any_edge();
        client.send(&mut operation, edge);
    }
}

impl Keyed {
    fn turn(&mut self) {
        let now = Instant::now();
        if let Some(due) = self.later.iter().position(|(at, _)| *at <= now) {
            let (_, operation) = self.later.swap_remove(due);
            return self.see_through(operation);
        }
        let operation = self.fresh();
        match self.rng.u8(0..6) {
            0 => self.twice_at_once(operation),
            _ => self.see_through(operation),
        }
    }

    fn fresh(&mut self) -> Operation {
        self.asked += 1;
        let tenant_key = if self.rng.u8(0..10) == 0 { LIMITED.1 } else { FREE.1 };
        Operation::new(format!("{}-k{}-{}", self.crowd.seed, self.nth, self.asked), tenant_key)
    }

    fn any_edge(&mut self) -> usize {
        self.rng.usize(0..self.crowd.cluster.size().edges)
    }

    /// Mostly not the one before.
    fn next_edge(&mut self, before: usize) -> usize {
        let edges = self.crowd.cluster.size().edges;
        match self.rng.u8(0..5) {
            0 => before,
            _ => (before + 1 + self.rng.usize(0..edges.max(2) - 1)) % edges,
        }
    }

    fn send(&mut self, operation: &mut Operation, edge: usize) -> bool {
        let leaves = self.rng.u8(0..25) == 0;
        let leave = Duration::from_millis(self.rng.u64(LEAVE_MS));
        let way = Way { edge, leaves_after: leaves.then_some(leave) };
        let id = operation.next_attempt();
        attempt(&self.crowd.record, &self.crowd.cluster, operation, id, way)
    }

    /// Tries until a success or the last try, and may repeat what succeeded.
    fn see_through(&mut self, mut operation: Operation) {
        let mut edge = self.any_edge();
        let last = operation.tries + TRIES_MOST;
        let mut succeeded = self.send(&mut operation, edge);
        while !succeeded && operation.tries < last {
            let pause = self.rng.u64(RETRY_MS);
            sleep(Duration::from_millis(pause));
            edge = self.next_edge(edge);
            succeeded = self.send(&mut operation, edge);
        }
        if succeeded && self.rng.u8(0..4) == 0 {
            edge = self.next_edge(edge);
            self.send(&mut operation, edge);
        }
        self.repeat_later(operation);
    }

    /// Sends one operation through two edge processes at the same moment.
    fn twice_at_once(&mut self, mut operation: Operation) {
        let first = self.any_edge();
        let second = self.next_edge(first);
        let tries = [first, second].map(|edge| (operation.next_attempt(), Way { edge, leaves_after: None }));
        let (record, cluster) = (&self.crowd.record, &self.crowd.cluster);
        let sent = &operation;
        std::thread::scope(|scope| {
            for (id, way) in tries {
                scope.spawn(move || attempt(record, cluster, sent, id, way));
            }
        });
        self.see_through(operation);
    }

    /// A share of all operations is repeated seconds later.
    fn repeat_later(&mut self, operation: Operation) {
        if self.rng.u8(0..3) > 0 || self.later.len() >= LATER_MOST {
            return;
        }
        let wait = LATER_S.start + self.rng.f64() * (LATER_S.end - LATER_S.start);
        self.later.push((Instant::now() + Duration::from_secs_f64(wait), operation));
    }
}

/// After all troubles: has each edge process serve a fresh operation, and another one repeat it, until `until`.
pub fn probe(record: &Record, cluster: &Cluster, behaviour: Behaviour, until: Seconds) {
    std::thread::scope(|scope| {
        for edge in 0..cluster.size().edges {
            scope.spawn(move || probe_edge(record, cluster, behaviour, edge, until));
        }
    });
}

fn probe_edge(record: &Record, cluster: &Cluster, behaviour: Behaviour, edge: usize, until: Seconds) {
    let repeated_at = (edge + 1) % cluster.size().edges;
    let mut operations = Vec::new();
    while record.now() < until {
        let mut operation = fresh_probe(behaviour, edge, operations.len());
        operations.push(operation.name.clone());
        let served = tried_until(record, cluster, &mut operation, edge, record.now());
        if served && tried_until(record, cluster, &mut operation, repeated_at, until) {
            break;
        }
        sleep(PROBE_PAUSE);
    }
    record.seen().operation_probes.push(OperationProbe { edge, operations });
}

/// An operation whose first try each server answers well.
fn fresh_probe(behaviour: Behaviour, edge: usize, nth: usize) -> Operation {
    let names = (0..).map(|mark| format!("{}-probe{edge}-{nth}-{mark}", behaviour.seed));
    let well = |name: &String| matches!(behaviour.deed(&format!("{name}.1")), Deed::Answer(0..=100));
    let name = names.into_iter().find(well).unwrap_or_default();
    Operation::new(name, FREE.1)
}

/// Tries once, and again until a success or `until`.
fn tried_until(
    record: &Record,
    cluster: &Cluster,
    operation: &mut Operation,
    edge: usize,
    until: Seconds,
) -> bool {
    loop {
        let id = operation.next_attempt();
        if attempt(record, cluster, operation, id, Way { edge, leaves_after: None }) {
            return true;
        }
        if record.now() >= until {
            return false;
        }
        sleep(PROBE_PAUSE);
    }
}
