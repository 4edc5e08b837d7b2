//! Plays the scenarios in `tests/scenarios`. A line `@T EVENT ...` plays timers up to T, then the event at T;
//! `@T! EVENT ...` plays none of them before: the gateway stood still.
//! `> TEXT` wants an action since that line that begins so, `! TEXT` none, `= N TEXT` just N.
//! Events: `list KIND srv[,key=value..] ..`, `req ID key=value ..`, `reqs ID N key=value ..` (N in one round),
//! `change key=value ..` (other terms, with all frontends and plans up to here; `frontend nth=N ..` is written
//! in the place of an earlier one), `total X` (to the oldest counter call),
//! `serve ID N passed|full key=value ..` (N reqs one after the other), `answer ID N key=value ..` (the same, with
//! a total of 1 for each call), `silence` / `refuse` / `spoilt` (all calls),
//! `known CUSTOMERS SRVS` (no event: so many of each are kept, whatever has come), `peer BYTE,BYTE..`, `passed`/`error`/`full`/`lost`/`reset` ID/NTH key=value .., `wait`.

mod notation;
mod ordinary;

use lupinledge::control::Control;
use lupinledge::interface::*;
use lupinledge::time::{Span, Timestamp};
use notation::*;
use std::collections::VecDeque;
use test_case::test_case;

struct Play {
    ctl: Control,
    now: f64,
    log: Vec<String>,
    calls: VecDeque<u64>,
    timers: Vec<f64>,
    sent: std::collections::BTreeMap<(u64, u16), f64>,
}

impl Play {
    fn feed(&mut self, events: Vec<Event>) {
        let mut acts = Vec::new();
        self.ctl.round(Timestamp::from_secs(self.now), events, &mut acts);
        for a in acts {
            let line = match a {
                Action::Timer { after, .. } => {
                    self.timers.push(self.now + after.secs().max(0.001));
                    "timer".to_string()
                }
                Action::Count { name, amount, .. } => {
                    self.calls.push_back(name);
                    let kind = if name & 1 == 1 { "lease" } else { "quota" };
                    format!("count {kind} {} {amount:+}", name >> 24)
                }
                Action::Dispatch { id, server, .. } => {
                    let nth = self.sent.keys().filter(|k| k.0 == id).count() as u16;
                    self.sent.insert((id, nth), self.now);
                    format!("dispatch {id} srv {server}")
                }
                Action::Deny { id, back_off } => format!("deny {id} after {:.2}", back_off.secs()),
                Action::Abort { id } => format!("abort {id}"),
                Action::Cancel { id, nth } => format!("cancel {id}/{nth}"),
                Action::Tell { body, .. } => format!("tell {body:?}"),
                other => format!("{other:?}").to_lowercase(),
            };
            self.log.push(line);
        }
    }

    fn until(&mut self, t: f64) {
        while let Some(i) = (0..self.timers.len()).min_by(|&a, &b| self.timers[a].total_cmp(&self.timers[b]))
        {
            if self.timers[i] >= t {
                break;
            }
            self.now = self.timers.swap_remove(i).max(self.now);
            self.feed(vec![Event::Timer { token: 0 }]);
        }
        self.now = t;
    }

    fn event(&mut self, w: &[&str]) {
        let counted = |name, total, outcome| Event::Counted { name, total, level: None, outcome };
        let event = match w[0] {
            "wait" => return,
            "known" => {
                let [customers, _, srvs, _] = self.ctl.sizes();
                return assert_eq!([customers, srvs].map(|n| n.to_string()), w[1..]);
            }
            "serve" => {
                let first: u64 = w[1].parse().expect("an id");
                for id in first..first + w[2].parse::<u64>().expect("a number") {
                    self.event(&[&["req", &id.to_string()], &w[4..]].concat());
                    self.until(self.now + num(w, "took", 0.01));
                    for nth in (0..9).take_while(|n| w[3] == "full" || *n == 0) {
                        if self.sent.contains_key(&(id, nth)) {
                            self.event(&[w[3], &format!("{id}/{nth}")]);
                        }
                    }
                    self.event(&["left", &id.to_string()]);
                }
                return;
            }
            "answer" => {
                let first: u64 = w[1].parse().expect("an id");
                for id in first..first + w[2].parse::<u64>().expect("a number") {
                    self.event(&[&["req", &id.to_string()], &w[3..]].concat());
                    let all = self.calls.drain(..).map(|n| counted(n, 1.0, Outcome::Passed)).collect();
                    self.feed(all);
                    self.event(&["passed", &format!("{id}/0")]);
                    self.until(self.now + 0.01);
                }
                return;
            }
            "total" => {
                let name = self.calls.pop_front().expect("a counter call");
                counted(name, w[1].parse().expect("a total"), Outcome::Passed)
            }
            "silence" | "refuse" | "spoilt" => {
                let how = match w[0] {
                    "silence" => Outcome::TimedOut,
                    "refuse" => Outcome::Full,
                    _ => Outcome::Reset,
                };
                let all = self.calls.drain(..).map(|n| counted(n, 0.0, how)).collect();
                return self.feed(all);
            }
            "list" => {
                let kind = match w[1] {
                    "full" => ListKind::Full,
                    "delta" => ListKind::Delta,
                    "failed" => ListKind::Failed,
                    _ => ListKind::Cached,
                };
                let row = |w: &&str| ServerEntry {
                    server: w.split(',').next().expect("a srv").parse().expect("a srv"),
                    zone: num(&[w], "zone", 0.0) as u16,
                    cell: num(&[w], "cell", 0.0) as u16,
                    state: match key(&[w], "state") {
                        Some("gone") => ServerState::Gone,
                        Some("draining") => ServerState::Draining,
                        _ => ServerState::Ready,
                    },
                    weight: 1.0,
                    started_at: key(&[w], "started_at")
                        .map(|b| Timestamp::from_secs(b.parse().expect("a time"))),
                };
                Event::List { kind, rows: w[2..].iter().map(row).collect() }
            }
            "req" => Event::Req(req(w[1].parse().expect("an id"), w)),
            "reqs" => {
                let (first, n): (u64, u64) = (w[1].parse().expect("an id"), w[2].parse().expect("a number"));
                return self.feed((first..first + n).map(|id| Event::Req(req(id, &w[3..]))).collect());
            }
            "begun" => Event::Begun { id: w[1].parse().expect("an id"), nth: 0 },
            "peer" => {
                let body = w[1].split(',').map(|b| b.parse().expect("a byte")).collect();
                Event::Peer { from: 1, body }
            }
            "left" => Event::Left { id: w[1].parse().expect("an id") },
            word => {
                let outcome = outcome(word).expect("a known event");
                let (id, nth) = w[1].split_once('/').expect("ID/NTH");
                let (id, nth) = (id.parse().expect("an id"), nth.parse().expect("a number"));
                let took = Span::from_secs(self.now - self.sent.get(&(id, nth)).unwrap_or(&self.now));
                let (closed, billed) = (outcome == Outcome::Passed, num(w, "billed", 0.0));
                Event::Ended(Ended { id, nth, outcome, took, closed, billed }, Vec::new())
            }
        };
        self.feed(vec![event]);
    }
}

#[test_case("quota"; "the quota is charged before sending and taken back on a denial")]
#[test_case("repeat"; "a repeat past its target is denied at once")]
#[test_case("silence"; "a silent counter leaves this gateway's part")]
#[test_case("settle"; "true units go with the next add")]
#[test_case("drain"; "draining and gone srvs get nothing")]
#[test_case("once"; "a non-replayable req never runs twice")]
#[test_case("group"; "a uniqued req stays in its group and memory")]
#[test_case("cold"; "a cold srv gets no burst")]
#[test_case("sick"; "a sick srv is left alone")]
#[test_case("ceiling"; "hard ceilings hold over restarts")]
#[test_case("stuck"; "a slow spell does not stop the traffic")]
#[test_case("stream"; "a begun answer is left alone")]
#[test_case("unanswered"; "no lease on a cap that others fill")]
#[test_case("queue"; "a full pool denies early")]
#[test_case("many"; "a calm store is open to one of many gateways")]
#[test_case("cells"; "uniqued reqs by cell and by all")]
#[test_case("zone"; "a small home zone is not pressed")]
#[test_case("newborn"; "a srv just started gets no send from every gateway at once")]
#[test_case("few"; "a limit with few samples moves")]
#[test_case("throttle"; "a throttled plan is no full pool")]
#[test_case("peers"; "what peers told of a customer counts here")]
#[test_case("late"; "a waiter that can no longer be in time is not sent")]
#[test_case("plan"; "a change of plan is followed")]
#[test_case("forget"; "who lacks nothing is forgotten")]
#[test_case("stall"; "one stall of the counter is no crowd")]
#[test_case("unmarked"; "unmarked repeats are known by their time left")]
#[test_case("unasked"; "no place decided alone on a cap that others fill")]
#[test_case("place"; "a lease stands for half its cap at the most")]
#[test_case("given_up"; "a req out at convicted srvs alone is not sat on")]
#[test_case("line"; "the cheap have no place in the line for free")]
#[test_case("still"; "what came in a standstill is as old as its time left shows")]
#[test_case("cheap"; "an overrun that costs nothing is let in while places are free")]
#[test_case("callback"; "a dispatch at a convicted srv is called back")]
#[test_case("wakes"; "a req that is over wakes nobody")]
#[test_case("homes"; "what only some srvs may have holds up nobody")]
#[test_case("further"; "second srvs are tried within a budget")]
#[test_case("refund"; "what never came to a srv costs no budget")]
#[test_case("patient"; "a late answer is worth a try while places are free")]
#[test_case("region"; "another region is the last choice")]
#[test_case("other"; "a second try goes to another srv")]
#[test_case("far"; "a far counter is told and not waited for")]
#[test_case("roll"; "a window's new name is no empty counter")]
#[test_case("unseen"; "what others send meanwhile is reckoned by the own sends")]
#[test_case("waits"; "what may have run at a sick srv is waited for")]
#[test_case("lane"; "a lane for what only some srvs may have")]
#[test_case("round"; "reqs of one round are not behind each other")]
#[test_case("given"; "a cold srv gets what the terms give it")]
#[test_case("terms"; "other terms are taken up")]
#[test_case("emptied"; "an empty counter does not undo the own reckoning")]
#[test_case("lease"; "leases are returned, carried over and capped")]
#[test_case("held"; "leases far below the cap go with the charges")]
#[test_case("stands"; "a name that stands forgets nothing")]
#[test_case("net"; "parts are of what was let through")]
#[test_case("back"; "who finds no place comes back a while later")]
#[test_case("first"; "a store first met may be empty")]
fn scenario(name: &str) {
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the scenario");
    let (mut frontends, mut plans, mut head) = (Vec::new(), Vec::new(), Vec::new());
    let mut play: Option<Play> = None;
    for (n, line) in text.lines().enumerate().filter(|(_, l)| !l.is_empty() && !l.starts_with('#')) {
        let w: Vec<&str> = line.split_whitespace().collect();
        let seen = |p: &Option<Play>, text: &str| {
            let log = &p.as_ref().expect("an event first").log;
            (
                log.iter().filter(|l| l.starts_with(text)).count(),
                format!("line {}: {line}\nseen: {log:#?}", n + 1),
            )
        };
        match w[0] {
            "terms" => head = w,
            "frontend" => match key(&w, "nth") {
                Some(nth) => frontends[nth.parse::<usize>().expect("a number")] = frontend(&w),
                None => frontends.push(frontend(&w)),
            },
            "plan" => plans.push(plan(&w)),
            ">" => assert!(seen(&play, &line[2..]).0 > 0, "{}", seen(&play, &line[2..]).1),
            "!" => assert!(seen(&play, &line[2..]).0 == 0, "{}", seen(&play, &line[2..]).1),
            "=" => {
                let (found, told) = seen(&play, line[2..].split_once(' ').expect("N TEXT").1);
                assert_eq!(found.to_string(), w[1], "{told}");
            }
            "restart" => play = None,
            _ => {
                let p = play.get_or_insert_with(|| Play {
                    ctl: Control::new(terms(&head, frontends.clone(), plans.clone())),
                    now: 0.0,
                    log: Vec::new(),
                    calls: VecDeque::new(),
                    timers: Vec::new(),
                    sent: Default::default(),
                });
                p.log.clear();
                let time = w[0].strip_prefix('@').expect("@TIME");
                match time.strip_suffix('!') {
                    Some(t) => p.now = t.parse().expect("a time"),
                    None => p.until(time.parse().expect("a time")),
                }
                match w[1] {
                    "change" => {
                        let terms = terms(&w, frontends.clone(), plans.clone());
                        p.feed(vec![Event::Terms(Box::new(terms))])
                    }
                    _ => p.event(&w[1..]),
                }
            }
        }
    }
}
