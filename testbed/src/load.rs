//! The load tool: clients that send the arrivals to the gateways on time, open loop, and note how each req
//! ended. A gateway has a fixed set of client threads, each keeping one connection, as the front does.

use crate::arrivals::Due;
use crate::record::{End, Req};
use crate::rules::SLACK_S;
use crate::scenario::Scenario;
use crate::terms::{Effect, LabTerms};
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

/// Most repeats a client makes of one denied req when it comes again too soon.
const MOST_AGAIN: usize = 3;
/// Waits for a connection to come up, s: a loopback connect that takes longer is a gateway out of descriptors.
const CONNECT_S: f64 = 0.25;

struct Plan {
    addrs: Vec<SocketAddr>,
    terms: LabTerms,
    start: Instant,
    gateways: usize,
    again_too_soon: f64,
    ids: AtomicU64,
    done: Mutex<Vec<Req>>,
    bar: Option<ProgressBar>,
}

/// Sends every arrival, from `start` on, and gives back each req as its client saw it, in no set order.
pub fn drive(
    s: &Scenario,
    terms: &LabTerms,
    due: Vec<Due>,
    addrs: &[SocketAddr],
    start: Instant,
    bar: Option<ProgressBar>,
) -> Vec<Req> {
    let mut queues: Vec<VecDeque<Due>> = vec![VecDeque::new(); addrs.len()];
    for d in due {
        queues[d.gateway as usize].push_back(d);
    }
    let plan = Arc::new(Plan {
        addrs: addrs.to_vec(),
        terms: terms.clone(),
        start,
        gateways: s.gateways,
        again_too_soon: s.load.again_too_soon,
        // Ids of this run: 16 hex digits, a base from the seed so that two runs' ids differ.
        ids: AtomicU64::new((s.seed.wrapping_mul(0x2545_f491_4f6c_dd1d) & 0xffff_ffff) << 20),
        done: Mutex::default(),
        bar,
    });
    let mut threads = vec![];
    for (g, q) in queues.into_iter().enumerate() {
        let q = Arc::new(Mutex::new(q));
        for w in 0..s.load.clients_per_gateway {
            let (plan, q) = (plan.clone(), q.clone());
            let seed = s.seed ^ ((g as u64) << 32) ^ w as u64;
            threads.push(spawn(move || client(&plan, g, &q, seed)));
        }
    }
    threads.into_iter().for_each(|t| drop(t.join()));
    let done = std::mem::take(&mut *plan.done.lock().unwrap());
    done
}

fn client(plan: &Plan, g: usize, q: &Mutex<VecDeque<Due>>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut conn: Option<BufReader<TcpStream>> = None;
    loop {
        let Some(d) = q.lock().unwrap().pop_front().filter(|_| !crate::run::stopped()) else { return };
        let wait = d.at - plan.start.elapsed().as_secs_f64();
        if wait > 0.0 {
            sleep(Duration::from_secs_f64(wait));
        }
        let mut again = false;
        for _ in 0..=MOST_AGAIN {
            let r = one(plan, g, &d, again, &mut conn);
            let denied = r.end == End::Denied;
            plan.done.lock().unwrap().push(r);
            if !denied || rng.gen::<f64>() >= plan.again_too_soon {
                break;
            }
            again = true;
        }
        if let Some(b) = &plan.bar {
            b.inc(1);
        }
    }
}

fn text(plan: &Plan, d: &Due, id: u64, again: bool) -> String {
    let class = &plan.terms.classes[d.class as usize];
    let plan_name = &plan.terms.plans[d.plan as usize].name;
    let mut head = format!(
        "HTTP/1.1\r\nHost: lab\r\nX-Request-Id: {id:016x}\r\nPlan: {plan_name}\r\nX-Deadline: {:.3}\r\n\
         Quota-Info: units=1,spread={},first=0\r\n",
        d.timeout, plan.gateways
    );
    if again {
        head.push_str("X-Retry: 1\r\n");
    }
    let target = format!("/{}/{}?client={:016x}", class.name, id % 1000, d.customer);
    match class.effect {
        Effect::Repeatable => format!("GET {target} {head}\r\n"),
        Effect::ByKey => {
            format!("POST {target} {head}Idempotency-Key: {id:032x}\r\nContent-Length: 2\r\n\r\n{{}}")
        }
        Effect::Once => format!("POST {target} {head}Content-Length: 2\r\n\r\n{{}}"),
    }
}

/// One try of a client: sends, waits for its answer or its own timeout, and says how it ended.
fn one(plan: &Plan, g: usize, d: &Due, again: bool, conn: &mut Option<BufReader<TcpStream>>) -> Req {
    let id = plan.ids.fetch_add(1, Ordering::Relaxed);
    let bytes = text(plan, d, id, again);
    let sent = plan.start.elapsed().as_secs_f64();
    let wait = d.give_up.unwrap_or(d.timeout + SLACK_S);
    let mut r = Req {
        id,
        gateway: g as u16,
        customer: d.customer,
        class: d.class,
        plan: d.plan,
        due: d.at,
        sent,
        timeout: d.timeout,
        end: End::NoAnswer,
        ended: sent,
        again,
    };
    // A kept connection that the gateway closed between reqs is met by the write or an empty read: the req is
    // then sent once more on a new connection, as the protocol page allows.
    let mut fresh = conn.is_none();
    let answer = loop {
        if conn.is_none() {
            let Ok(s) = TcpStream::connect_timeout(&plan.addrs[g], Duration::from_secs_f64(CONNECT_S)) else {
                break Err(End::NoAnswer);
            };
            let _ = s.set_nodelay(true);
            *conn = Some(BufReader::new(s));
            fresh = true;
        }
        let c = conn.as_mut().expect("just made");
        let left = wait - (plan.start.elapsed().as_secs_f64() - sent);
        let _ = c.get_ref().set_read_timeout(Some(Duration::from_secs_f64(left.max(0.001))));
        let got = c
            .get_mut()
            .write_all(bytes.as_bytes())
            .map_err(|_| None)
            .and_then(|_| read_message(c).map_err(Some));
        match got {
            Ok(Some(m)) => break Ok(m),
            Ok(None) | Err(None) if !fresh => *conn = None,
            Ok(None) | Err(None) => break Err(End::NoAnswer),
            Err(Some(e))
                if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
            {
                break Err(if d.give_up.is_some() { End::GaveUp } else { End::Late })
            }
            Err(Some(_)) => break Err(End::NoAnswer),
        }
    };
    r.ended = plan.start.elapsed().as_secs_f64();
    r.end = match answer {
        Ok(m) => {
            if m.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
                *conn = None;
            }
            judge(&m, id, r.latency(), d.timeout)
        }
        Err(end) => {
            *conn = None;
            end
        }
    };
    r
}

fn judge(m: &Message, id: u64, latency: f64, timeout: f64) -> End {
    if latency > timeout + SLACK_S {
        return End::Late;
    }
    match m.status() {
        200 if m.text() == format!("made for {id:016x}\n") => End::Passed,
        200 => End::Foreign,
        429 | 503 => End::Denied,
        _ => End::Failed,
    }
}
