//! The order of steps while nothing fails, against a plain model of the counter: a request is charged, and the answer
//! that it fits is received, before it is sent; it holds a lease from before its dispatch until its outcome.

use crate::notation::*;
use lupinledge::control::Control;
use lupinledge::interface::*;
use lupinledge::time::{Span, Timestamp};
use std::collections::{BTreeMap, HashMap, VecDeque};

const ROLL: u64 = 2000; // milliseconds that a lease name is used (DESIGN)
const CALL: [u64; 2] = [3, 5]; // milliseconds that the counter takes, for quota and lease names
const CUSTOMERS: u64 = 3;

/// What this gateway added to the counter names; a name is made of customer, epoch and whether it is for leases.
type Totals = HashMap<u64, f64>;

/// The sum over all quota names of a customer.
fn charged(totals: &Totals, customer: u64) -> f64 {
    totals.iter().filter(|(n, _)| **n >> 24 == customer && **n & 1 == 0).map(|(_, v)| v).sum()
}

/// The leases on the name of this time.
fn leased(totals: &Totals, customer: u64, ms: u64) -> f64 {
    *totals.get(&(customer << 24 | (ms / ROLL) << 1 | 1)).unwrap_or(&0.0)
}

/// Runs one gateway in steps of a millisecond: 18 s of random requests, and two to end what is in flight. Others add to
/// the quota names and hold leases for a time, so that a total denies some requests.
fn run(seed: u64, cap: usize) {
    let rng = &mut fastrand::Rng::with_seed(seed);
    let plans = vec![plan(&["rate=10", "burst=10", &format!("at_once={cap}")])];
    let mut control = Control::new(terms(&["gateways=1"], vec![frontend(&["target=1"])], plans));
    // what was added on the counter, the part of it that was answered, and the calls in flight
    let (mut added, mut answered, mut calls) =
        (Totals::new(), Totals::new(), [VecDeque::new(), VecDeque::new()]);
    let mut others = Totals::new();
    let (mut sent, mut out) = ([0.0; CUSTOMERS as usize], [0; CUSTOMERS as usize]);
    let mut requests: Vec<(usize, f64)> = Vec::new(); // customer and units, by id
    let (mut dispatches, mut denials) = (0, 0);
    let row = |server| ServerEntry {
        server,
        zone: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started_at: None,
    };
    let list = Event::List { kind: ListKind::Full, rows: (1..=8).map(row).collect() };
    let mut due = BTreeMap::from([(30_500, vec![list])]);
    for ms in 30_500..50_500 {
        let mut events = due.remove(&ms).unwrap_or_default();
        if ms < 48_500 && rng.u32(..100) < 4 {
            let (c, units) = (rng.u64(..CUSTOMERS), rng.u32(1..=4) as f64 / 4.0);
            let w = [format!("customer={c}"), format!("units={units}")];
            events.push(Event::Req(request(requests.len() as u64, &["spread=1", &w[0], &w[1]])));
            requests.push((c as usize, units));
        }
        if events.is_empty() {
            continue;
        }
        for e in &events {
            match e {
                Event::Counted { name, .. } => {
                    let own = calls[(name & 1) as usize].pop_front().expect("a call");
                    answered.insert(*name, own);
                }
                Event::Ended(e, _) => out[requests[e.id as usize].0] -= 1,
                _ => {}
            }
        }
        let mut actions = Vec::new();
        control.round(Timestamp::from_secs(ms as f64 / 1e3), events, &mut actions);
        for action in actions {
            let (after, event) = match action {
                Action::Count { name, amount, .. } => {
                    let (own, kind) = (added.entry(name).or_default(), (name & 1) as usize);
                    *own += amount;
                    calls[kind].push_back(*own);
                    let others = others.entry(name).or_default();
                    if rng.u32(..20) == 0 {
                        *others = if kind == 0 { *others + 5.0 } else { 2.0 - *others };
                    }
                    let total = *own + *others;
                    (CALL[kind], Event::Counted { name, total, level: None, outcome: Outcome::Passed })
                }
                Action::Dispatch { id, .. } => {
                    let (c, units) = requests[id as usize];
                    (sent[c], out[c], dispatches) = (sent[c] + units, out[c] + 1, dispatches + 1);
                    let (charged, leased) = (charged(&answered, c as u64), leased(&answered, c as u64, ms));
                    assert!(charged > sent[c] - 1e-6, "{id} sent at {ms} with {charged} of {}", sent[c]);
                    assert!(leased > out[c] as f64 - 1e-6, "{id} sent at {ms} with {leased} of {}", out[c]);
                    assert!(out[c] <= cap, "{id} sent at {ms} past the cap");
                    let after = rng.u64(5..200);
                    let (outcome, took) = (Outcome::Passed, Span::millis(after as i64));
                    (
                        after,
                        Event::Ended(Ended { id, nth: 0, outcome, took, closed: true, billed: 0.0 }, vec![]),
                    )
                }
                Action::Timer { after, .. } => {
                    ((after.secs() * 1e3).ceil().max(1.0) as u64, Event::Timer { token: 0 })
                }
                Action::Deny { .. } => {
                    denials += 1;
                    continue;
                }
                _ => continue,
            };
            due.entry(ms + after).or_default().push(event);
        }
        for (c, out) in out.iter().enumerate() {
            let leased = leased(&added, c as u64, ms);
            assert!(leased > *out as f64 - 1e-6, "{leased} leases at {ms} for {out} out");
        }
    }
    assert!(dispatches > 200 && denials > 20, "{dispatches} dispatches, {denials} denials");
    for (c, sent) in sent.iter().enumerate() {
        let (charged, leased) = (charged(&added, c as u64), leased(&added, c as u64, 50_499));
        assert!((charged - sent).abs() < 1e-6, "{charged} charged in the end, {sent} sent");
        assert!(leased.abs() < 1e-6 && out[c] == 0, "{leased} leases are left, {} out", out[c]);
    }
}

#[test]
fn a_request_is_charged_before_it_is_sent_and_holds_a_lease_until_its_outcome() {
    // a small cap, and one so large that leases are returned with the next call
    (1..=10).for_each(|seed| run(seed, if seed % 2 == 0 { 3 } else { 40 }));
}
