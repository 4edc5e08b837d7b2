//! Clients of the keyed route: they repeat operations after failures, after successes and concurrently, mostly through
//! other edge processes.

use crate::backend::{body_for, digest, request_body, Behaviour, ServerAction};
use crate::client::{ClientContext, DEADLINE, DEADLINE_MARGIN};
use crate::cluster::Cluster;
use crate::configuration::{FREE, HOST, KEYED, LIMITED};
use crate::record::{OperationProbe, OperationTry, Outcome, Record, Seconds};
use lupinledge_example::http::{Client, Message};
use std::io::ErrorKind;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Tries after which an operation without a success is given up.
const MAX_TRIES: u32 = 6;
/// How many operations one client may have scheduled for a later repeat.
const MAX_PENDING_REPEATS: usize = 64;
/// How many of the scheduled operations are repeated at the end of a run.
const MAX_REPEATS_AT_END: usize = 8;
/// Seconds until the later repeat of an operation.
const REPEAT_DELAY_S: std::ops::Range<f64> = 1.0..12.0;
/// Milliseconds between a failed try and the next.
const RETRY_DELAY_MS: std::ops::Range<u64> = 0..400;
/// Milliseconds between operations.
const OPERATION_PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Milliseconds after which a client abandons a try.
const ABANDON_AFTER_MS: std::ops::Range<u64> = 1..60;
/// Pause between two tries of a probe.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// A keyed operation and how often it was tried. Its name is its operation key and determines its body.
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

    /// Counts one more try and returns its attempt id.
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

/// Where one try is sent, and whether the client abandons it instead of waiting for the answer.
#[derive(Clone, Copy)]
struct Delivery {
    edge: usize,
    abandon_after: Option<Duration>,
}

/// Sends one try; returns whether it succeeded. A try whose connection could not be opened is not recorded.
fn send_attempt(
    record: &Record,
    cluster: &Cluster,
    operation: &Operation,
    attempt: String,
    delivery: Delivery,
) -> bool {
    let Ok(mut connection) =
        Client::connect_with_timeout(cluster.front_address(delivery.edge), DEADLINE + DEADLINE_MARGIN)
    else {
        return false;
    };
    let written = connection.write(&operation.request(&attempt));
    let at = record.now();
    let (outcome, answer) = match (written, delivery.abandon_after) {
        (Err(_), _) => (Outcome::Unsent, None),
        (Ok(()), Some(after)) => {
            sleep(after);
            (Outcome::Left, None)
        }
        (Ok(()), None) => classify_answer(&attempt, connection.read_response()),
    };
    let success = matches!(outcome, Outcome::Answered { status: 200..300, .. });
    let ended_at = record.now();
    record.observations().operation_tries.push(OperationTry {
        operation: operation.name.clone(),
        attempt,
        edge: delivery.edge,
        at,
        ended_at,
        outcome,
        stamp: answer.as_ref().and_then(|a| a.header("lupinledge-server-stamp").map(str::to_string)),
        body: answer.map_or(0, |a| digest(&a.body)),
    });
    success
}

/// Derives how a try ended from the result of reading its connection; also returns the answer, if there is one.
fn classify_answer(attempt: &str, answer: std::io::Result<Option<Message>>) -> (Outcome, Option<Message>) {
    match answer {
        Ok(Some(answer)) => {
            let outcome =
                Outcome::Answered { status: answer.status(), fault: answer_fault(attempt, &answer) };
            (outcome, Some(answer))
        }
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => (Outcome::Silent, None),
        Ok(None) | Err(_) => (Outcome::Broken, None),
    }
}

/// What is wrong with an answer, judged without other observations.
fn answer_fault(attempt: &str, answer: &Message) -> Option<&'static str> {
    let stamp = answer.header("lupinledge-server-stamp");
    match answer.status() {
        200..300 if stamp.is_none() => Some("no server stamp"),
        200..300 if stamp.is_some_and(|stamp| answer.text() != body_for(stamp)) => {
            Some("the body doesn't belong to the stamp")
        }
        200..300 if answer.header("lupinledge-attempt-id") != Some(attempt) => {
            Some("the attempt id of another try")
        }
        200..600 => None,
        _ => Some("the status is not one of the protocol"),
    }
}

/// One client of the keyed route.
struct KeyedClient {
    context: Arc<ClientContext>,
    nth: u64,
    rng: fastrand::Rng,
    operations_created: u64,
    /// Operations that are to be repeated, with the time of the repeat.
    pending_repeats: Vec<(Instant, Operation)>,
}

/// Sends keyed operations until the run stops.
pub fn run_keyed_client(context: Arc<ClientContext>, nth: u64) {
    let rng = fastrand::Rng::with_seed(context.seed << 16 | 1 << 14 | nth);
    let mut client = KeyedClient { context, nth, rng, operations_created: 0, pending_repeats: Vec::new() };
    while !client.context.stop.load(Ordering::SeqCst) {
        client.send_next_operation();
        let pause = client.rng.u64(OPERATION_PAUSE_MS);
        sleep(Duration::from_millis(pause));
    }
    let last = std::mem::take(&mut client.pending_repeats);
    for (_, mut operation) in last.into_iter().take(MAX_REPEATS_AT_END) {
        let edge = client.any_edge();
        client.send(&mut operation, edge);
    }
}

impl KeyedClient {
    /// Repeats an operation that is due, else sends a new one.
    fn send_next_operation(&mut self) {
        let now = Instant::now();
        if let Some(due) = self.pending_repeats.iter().position(|(at, _)| *at <= now) {
            let (_, operation) = self.pending_repeats.swap_remove(due);
            return self.send_until_success(operation);
        }
        let operation = self.next_operation();
        match self.rng.u8(0..6) {
            0 => self.send_twice_at_once(operation),
            _ => self.send_until_success(operation),
        }
    }

    fn next_operation(&mut self) -> Operation {
        self.operations_created += 1;
        let tenant_key = if self.rng.u8(0..10) == 0 { LIMITED.1 } else { FREE.1 };
        Operation::new(format!("{}-k{}-{}", self.context.seed, self.nth, self.operations_created), tenant_key)
    }

    fn any_edge(&mut self) -> usize {
        self.rng.usize(0..self.context.cluster.size().edges)
    }

    /// An edge process for the next try, mostly another one than before.
    fn next_edge(&mut self, before: usize) -> usize {
        let edges = self.context.cluster.size().edges;
        match self.rng.u8(0..5) {
            0 => before,
            _ => (before + 1 + self.rng.usize(0..edges.max(2) - 1)) % edges,
        }
    }

    /// Sends one try, which the client may abandon; returns whether it succeeded.
    fn send(&mut self, operation: &mut Operation, edge: usize) -> bool {
        let abandons = self.rng.u8(0..25) == 0;
        let delay = Duration::from_millis(self.rng.u64(ABANDON_AFTER_MS));
        let delivery = Delivery { edge, abandon_after: abandons.then_some(delay) };
        let attempt_id = operation.next_attempt();
        send_attempt(&self.context.record, &self.context.cluster, operation, attempt_id, delivery)
    }

    /// Tries until a success or the last try, and may repeat the operation after a success.
    fn send_until_success(&mut self, mut operation: Operation) {
        let mut edge = self.any_edge();
        let last = operation.tries + MAX_TRIES;
        let mut succeeded = self.send(&mut operation, edge);
        while !succeeded && operation.tries < last {
            let pause = self.rng.u64(RETRY_DELAY_MS);
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

    /// Sends one operation through two edge processes, mostly different ones, at the same time.
    fn send_twice_at_once(&mut self, mut operation: Operation) {
        let first = self.any_edge();
        let second = self.next_edge(first);
        let tries =
            [first, second].map(|edge| (operation.next_attempt(), Delivery { edge, abandon_after: None }));
        let (record, cluster) = (&self.context.record, &self.context.cluster);
        let shared_operation = &operation;
        std::thread::scope(|scope| {
            for (attempt_id, delivery) in tries {
                scope.spawn(move || send_attempt(record, cluster, shared_operation, attempt_id, delivery));
            }
        });
        self.send_until_success(operation);
    }

    /// Schedules a repeat seconds later for a third of all operations.
    fn repeat_later(&mut self, operation: Operation) {
        if self.rng.u8(0..3) > 0 || self.pending_repeats.len() >= MAX_PENDING_REPEATS {
            return;
        }
        let wait = REPEAT_DELAY_S.start + self.rng.f64() * (REPEAT_DELAY_S.end - REPEAT_DELAY_S.start);
        self.pending_repeats.push((Instant::now() + Duration::from_secs_f64(wait), operation));
    }
}

/// After all troubles: sends a new operation through each edge process and repeats it through another one, until that
/// works or `until` has passed.
pub fn probe_edges(record: &Record, cluster: &Cluster, behaviour: Behaviour, until: Seconds) {
    std::thread::scope(|scope| {
        for edge in 0..cluster.size().edges {
            scope.spawn(move || probe_edge(record, cluster, behaviour, edge, until));
        }
    });
}

fn probe_edge(record: &Record, cluster: &Cluster, behaviour: Behaviour, edge: usize, until: Seconds) {
    let repeating_edge = (edge + 1) % cluster.size().edges;
    let mut operations = Vec::new();
    while record.now() < until {
        let mut operation = new_probe_operation(behaviour, edge, operations.len());
        operations.push(operation.name.clone());
        let served = send_until(record, cluster, &mut operation, edge, record.now());
        if served && send_until(record, cluster, &mut operation, repeating_edge, until) {
            break;
        }
        sleep(PROBE_PAUSE);
    }
    record.observations().operation_probes.push(OperationProbe { edge, operations });
}

/// An operation whose first try each server answers properly.
fn new_probe_operation(behaviour: Behaviour, edge: usize, nth: usize) -> Operation {
    let names = (0..).map(|suffix| format!("{}-probe{edge}-{nth}-{suffix}", behaviour.seed));
    let succeeds_first =
        |name: &String| matches!(behaviour.action_for(&format!("{name}.1")), ServerAction::Answer(0..=100));
    let name = names.into_iter().find(succeeds_first).unwrap_or_default();
    Operation::new(name, FREE.1)
}

/// Tries at least once, and again until a success or `until`.
fn send_until(
    record: &Record,
    cluster: &Cluster,
    operation: &mut Operation,
    edge: usize,
    until: Seconds,
) -> bool {
    loop {
        let attempt_id = operation.next_attempt();
        if send_attempt(record, cluster, operation, attempt_id, Delivery { edge, abandon_after: None }) {
            return true;
        }
        if record.now() >= until {
            return false;
        }
        sleep(PROBE_PAUSE);
    }
}
