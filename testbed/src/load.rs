//! The load generator: clients send requests to the gateways at the scheduled times (open loop) and record how each
//! one ended. Each gateway has a fixed number of client threads with one persistent connection each, as in the
//! front tier.

use crate::arrivals::ScheduledRequest;
use crate::gateway_settings::{Effect, GatewaySettings};
use crate::record::{ClientRequest, Outcome};
use crate::rules::SLACK_S;
use crate::scenario::Scenario;
use indicatif::ProgressBar;
use lupinledge_example::http::{read_message, Message};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Maximum number of immediate retries of a denied request.
const MAX_IMMEDIATE_RETRIES: usize = 3;
/// Connect timeout, s: a loopback connect takes longer only if the gateway has run out of file descriptors.
const CONNECT_TIMEOUT_S: f64 = 0.25;

/// State shared by all client threads of a run.
struct LoadContext {
    addrs: Vec<SocketAddr>,
    settings: GatewaySettings,
    start: Instant,
    gateways: usize,
    again_too_soon: f64,
    next_id: AtomicU64,
    finished: Mutex<Vec<ClientRequest>>,
    progress: Option<ProgressBar>,
}

/// Sends every scheduled request, relative to `start`; returns each as its client saw it, in no particular order.
pub fn drive(
    scenario: &Scenario,
    settings: &GatewaySettings,
    schedule: Vec<ScheduledRequest>,
    addrs: &[SocketAddr],
    start: Instant,
    progress: Option<ProgressBar>,
) -> Vec<ClientRequest> {
    let mut queues: Vec<VecDeque<ScheduledRequest>> = vec![VecDeque::new(); addrs.len()];
    for due in schedule {
        queues[due.gateway as usize].push_back(due);
    }
    let context = Arc::new(LoadContext {
        addrs: addrs.to_vec(),
        settings: settings.clone(),
        start,
        gateways: scenario.gateways,
        again_too_soon: scenario.load.again_too_soon,
        // Request ids have 16 hex digits; the base depends on the seed so that ids of different runs differ.
        next_id: AtomicU64::new((scenario.seed.wrapping_mul(0x2545_f491_4f6c_dd1d) & 0xffff_ffff) << 20),
        finished: Mutex::default(),
        progress,
    });
    let mut threads = vec![];
    for (gateway, queue) in queues.into_iter().enumerate() {
        let queue = Arc::new(Mutex::new(queue));
        for thread in 0..scenario.load.clients_per_gateway {
            let (context, queue) = (context.clone(), queue.clone());
            let seed = scenario.seed ^ ((gateway as u64) << 32) ^ thread as u64;
            threads.push(spawn(move || client(&context, gateway, &queue, seed)));
        }
    }
    threads.into_iter().for_each(|t| drop(t.join()));
    let finished = std::mem::take(&mut *context.finished.lock().unwrap());
    finished
}

/// One client thread: sends the requests of its gateway's queue one after the other.
fn client(context: &LoadContext, gateway: usize, queue: &Mutex<VecDeque<ScheduledRequest>>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut kept_connection: Option<BufReader<TcpStream>> = None;
    loop {
        let Some(due) = queue.lock().unwrap().pop_front().filter(|_| !crate::run::stopped()) else { return };
        let wait = due.at - context.start.elapsed().as_secs_f64();
        if wait > 0.0 {
            sleep(Duration::from_secs_f64(wait));
        }
        let mut is_retry = false;
        for _ in 0..=MAX_IMMEDIATE_RETRIES {
            let request = send_once(context, gateway, &due, is_retry, &mut kept_connection);
            let denied = request.outcome == Outcome::Denied;
            context.finished.lock().unwrap().push(request);
            if !denied || rng.gen::<f64>() >= context.again_too_soon {
                break;
            }
            is_retry = true;
        }
        if let Some(b) = &context.progress {
            b.inc(1);
        }
    }
}

/// The bytes of a request.
fn request_text(context: &LoadContext, due: &ScheduledRequest, id: u64, is_retry: bool) -> String {
    let class = &context.settings.classes[due.class as usize];
    let plan_name = &context.settings.plans[due.plan as usize].name;
    let mut head = format!(
        "HTTP/1.1\r\nHost: lab\r\nX-Request-Id: {id:016x}\r\nPlan: {plan_name}\r\nX-Deadline: {:.3}\r\n\
         Quota-Info: units=1,spread={},first=0\r\n",
        due.timeout, context.gateways
    );
    if is_retry {
        head.push_str("X-Retry: 1\r\n");
    }
    let target = format!("/{}/{}?client={:016x}", class.name, id % 1000, due.customer);
    match class.effect {
        Effect::Repeatable => format!("GET {target} {head}\r\n"),
        Effect::ByKey => {
            format!("POST {target} {head}Idempotency-Key: {id:032x}\r\nContent-Length: 2\r\n\r\n{{}}")
        }
        Effect::Once => format!("POST {target} {head}Content-Length: 2\r\n\r\n{{}}"),
    }
}

/// Sends a request once and waits for its response or the client timeout; returns how it ended.
fn send_once(
    context: &LoadContext,
    gateway: usize,
    due: &ScheduledRequest,
    is_retry: bool,
    kept_connection: &mut Option<BufReader<TcpStream>>,
) -> ClientRequest {
    let id = context.next_id.fetch_add(1, Ordering::Relaxed);
    let bytes = request_text(context, due, id, is_retry);
    let sent = context.start.elapsed().as_secs_f64();
    let wait = due.give_up.unwrap_or(due.timeout + SLACK_S);
    let mut request = ClientRequest {
        id,
        gateway: gateway as u16,
        customer: due.customer,
        class: due.class,
        plan: due.plan,
        due: due.at,
        sent,
        timeout: due.timeout,
        outcome: Outcome::NoAnswer,
        ended: sent,
        is_retry,
    };
    // If the gateway has closed the persistent connection between requests, the write fails or the read returns
    // nothing. The request is then sent again on a new connection, as the protocol page allows.
    let mut fresh = kept_connection.is_none();
    let answer = loop {
        if kept_connection.is_none() {
            let Ok(stream) = TcpStream::connect_timeout(
                &context.addrs[gateway],
                Duration::from_secs_f64(CONNECT_TIMEOUT_S),
            ) else {
                break Err(Outcome::NoAnswer);
            };
            let _ = stream.set_nodelay(true);
            *kept_connection = Some(BufReader::new(stream));
            fresh = true;
        }
        let connection = kept_connection.as_mut().expect("connected above");
        let left = wait - (context.start.elapsed().as_secs_f64() - sent);
        let _ = connection.get_ref().set_read_timeout(Some(Duration::from_secs_f64(left.max(0.001))));
        let got = connection
            .get_mut()
            .write_all(bytes.as_bytes())
            .map_err(|_| None)
            .and_then(|_| read_message(connection).map_err(Some));
        match got {
            Ok(Some(response)) => break Ok(response),
            Ok(None) | Err(None) if !fresh => *kept_connection = None,
            Ok(None) | Err(None) => break Err(Outcome::NoAnswer),
            Err(Some(e))
                if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
            {
                break Err(if due.give_up.is_some() { Outcome::GaveUp } else { Outcome::Late })
            }
            Err(Some(_)) => break Err(Outcome::NoAnswer),
        }
    };
    request.ended = context.start.elapsed().as_secs_f64();
    request.outcome = match answer {
        Ok(response) => {
            if response.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                *kept_connection = None;
            }
            classify_response(&response, id, request.latency(), due.timeout)
        }
        Err(outcome) => {
            *kept_connection = None;
            outcome
        }
    };
    request
}

/// The outcome of a request that got a response.
fn classify_response(response: &Message, id: u64, latency: f64, timeout: f64) -> Outcome {
    if latency > timeout + SLACK_S {
        return Outcome::Late;
    }
    match response.status() {
        200 if response.text() == format!("made for {id:016x}\n") => Outcome::Passed,
        200 => Outcome::ForeignAnswer,
        429 | 503 => Outcome::Denied,
        _ => Outcome::Failed,
    }
}
