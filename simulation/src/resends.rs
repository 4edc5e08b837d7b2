//! Operators who send each order until it has a clear answer: up to eight orders at once, through any member, with
//! answers lost on their way, two bodies under one number, and what was answered long ago sent again; beside kills,
//! lost disks, cuts, frozen processes and stalled disks. What is asserted is seen from outside alone:
//!
//! - no two bodies are ever acknowledged on one base, nor under one number;
//! - no body is both refused and acknowledged, or refused and in force at any time, before or after;
//! - a zone stays as it was acknowledged last, as long as no order about it is under way;
//! - once it is calm, each order gets a clear answer.

use crate::core::ZONES;
use crate::play::{end, until};
use crate::process::{Command, Reply, Say};
use crate::site::OPERATOR;
use crate::{Flaw, Node, Plan, Site, Step};
use fastrand::Rng;
use lupinledge_config::Answer;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Orders under way at once.
const ORDERS: usize = 8;
/// So long an operator waits in silence, and so long after "come back", seconds.
const SILENCE: f64 = 1.0;
const PAUSE: f64 = 0.3;
/// Operators look so often, seconds.
const LOOK: f64 = 0.05;
/// After this a word that was not answered is lost, or its process has ended, seconds.
const AIR: f64 = 9.0;
/// Once it is calm each order has a clear answer after this, seconds.
const CLEAR: f64 = 6.0;
/// Of 100 answers so many are lost.
const LOST: u32 = 50;

/// How much happened, so that nobody takes an empty run for a good one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Orders of configurations, and those that got 200 and a refusal.
    pub orders: u64,
    pub taken: u64,
    pub refused: u64,
    /// Tries, answers lost, and 200s to an order whose 200 was lost.
    pub tries: u64,
    pub lost: u64,
    pub again: u64,
    /// 200s to configurations that others had replaced.
    pub replaced: u64,
    /// Orders about zones that got a clear answer.
    pub zones: u64,
    /// Late copies of orders about zones, carried out after the order had its answer.
    pub late: u64,
}

impl Tally {
    /// Adds what was seen elsewhere.
    pub fn add(&mut self, other: &Tally) {
        self.orders += other.orders;
        self.taken += other.taken;
        self.refused += other.refused;
        self.tries += other.tries;
        self.lost += other.lost;
        self.again += other.again;
        self.replaced += other.replaced;
        self.zones += other.zones;
        self.late += other.late;
    }
}

/// One try of an order.
struct Try {
    id: u64,
    at: f64,
    lost: bool,
    seen: bool,
}

/// One order, until it is forgotten.
struct Order {
    command: Command,
    /// Base and number of a configuration.
    numbers: (u64, u64),
    tries: Vec<Try>,
    next: f64,
    /// Whom to ask next; nobody known: anybody.
    to: Option<Node>,
    clear: bool,
}

/// See the module.
struct Operators {
    rng: Rng,
    open: Vec<Order>,
    /// Those that have their answer.
    closed: Vec<Order>,
    /// What each zone was acknowledged to be; nothing while that can't be told.
    zones: BTreeMap<&'static str, bool>,
    /// Bodies acknowledged by base and by number, and bodies refused, lost answers too.
    bases: BTreeMap<u64, Rc<[u8]>>,
    numbers: BTreeMap<u64, Rc<[u8]>>,
    refused: BTreeSet<Rc<[u8]>>,
    acked: BTreeSet<Rc<[u8]>>,
    nth: u64,
    calm: bool,
    tally: Tally,
}

fn body(version: u64, base: u64, nth: u64) -> Rc<[u8]> {
    let text = format!(
        "{{\"version\":\"r{version}\",\"base_version\":\"r{base}\",\"nth\":{nth},\"listeners\":[],\"clusters\":[]}}"
    );
    text.into_bytes().into()
}

impl Operators {
    fn new(seed: u64) -> Operators {
        Operators {
            rng: Rng::with_seed(seed ^ 0x7265_7365_6e64),
            open: Vec::new(),
            closed: Vec::new(),
            zones: BTreeMap::new(),
            bases: BTreeMap::new(),
            numbers: BTreeMap::new(),
            refused: BTreeSet::new(),
            acked: BTreeSet::new(),
            nth: 0,
            calm: false,
            tally: Tally::default(),
        }
    }

    /// New orders, as far as there is room for them.
    fn begin(&mut self, site: &Site) {
        while self.open.len() < ORDERS && self.rng.usize(..3) == 0 {
            let now = site.world.now;
            let (command, numbers) = match self.rng.usize(..10) {
                0 => (Command::Get, (0, 0)),
                1..3 => {
                    let zone = ZONES[self.rng.usize(..ZONES.len())];
                    let busy = self.open.iter().any(|o| about(&o.command) == Some(zone));
                    if busy {
                        continue;
                    }
                    let evacuated = self.zones.remove(zone).unwrap_or(self.rng.bool());
                    let command = if evacuated { Command::Restore(zone) } else { Command::Evacuate(zone) };
                    (command, (0, 0))
                }
                // as it was sent before
                3 if !self.closed.is_empty() => {
                    let old = self.rng.usize(..self.closed.len());
                    match &self.closed[old] {
                        Order { command: Command::Put(body), numbers, .. } => {
                            (Command::Put(body.clone()), *numbers)
                        }
                        _ => continue,
                    }
                }
                // a few numbers for many: two often pick the same
                _ => {
                    let base = site.world.watch.version(usize::from(self.rng.usize(..12) == 0));
                    let version = base + 1 + self.rng.u64(..2);
                    self.nth += 1;
                    self.tally.orders += 1;
                    (Command::Put(body(version, base, self.nth)), (base, version))
                }
            };
            self.open.push(Order { command, numbers, tries: Vec::new(), next: now, to: None, clear: false });
        }
    }

    /// Sends what is due.
    fn send(&mut self, site: &mut Site) {
        let now = site.world.now;
        for order in self.open.iter_mut().filter(|order| order.next <= now) {
            let any = site.cores[self.rng.usize(..site.cores.len())];
            let to = order.to.take().unwrap_or(any);
            let id = site.world.number();
            let lost = !self.calm && self.rng.u32(..100) < LOST;
            order.tries.push(Try { id, at: now, lost, seen: false });
            order.next = now + SILENCE + PAUSE * self.rng.f64();
            self.tally.tries += 1;
            site.world.watch.asked(id, order.command.clone());
            site.world.post(OPERATOR, to, Say::Command(id, order.command.clone()), true);
        }
    }

    /// Looks at all answers that were given, those lost on their way too.
    fn hear(&mut self, site: &mut Site) -> Result<(), String> {
        let now = site.world.now;
        let mut orders: Vec<Order> = self.open.drain(..).chain(self.closed.drain(..)).collect();
        for order in &mut orders {
            for nth in 0..order.tries.len() {
                let Try { id, at, lost, seen } = order.tries[nth];
                let Some(reply) = site.world.watch.answers.get(&id).filter(|_| !seen).cloned() else {
                    continue;
                };
                order.tries[nth].seen = true;
                if let Reply::GossipMessage(answer) = &reply {
                    let newest = site.world.watch.version(0);
                    self.judged(order, nth, answer, newest)?;
                    if let Some(zone) = about(&order.command).filter(|_| order.clear) {
                        self.tally.late += 1;
                        self.zones.remove(zone);
                    }
                }
                let newest = nth + 1 == order.tries.len();
                if lost || order.clear || now - at > SILENCE {
                    self.tally.lost += u64::from(lost);
                    continue;
                }
                match reply {
                    Reply::GossipMessage(_) => {
                        order.clear = true;
                        if let Some(zone) = about(&order.command) {
                            self.tally.zones += 1;
                            self.zones.insert(zone, matches!(order.command, Command::Evacuate(_)));
                        }
                    }
                    Reply::Elsewhere(_) if newest => {
                        (order.to, order.next) = (site.leaders().first().copied(), now + LOOK / 2.0);
                    }
                    Reply::Later if newest => order.next = now + PAUSE,
                    _ => {}
                }
            }
        }
        (self.closed, self.open) = orders.into_iter().partition(|order| order.clear);
        self.truth(site)
    }

    /// One answer, whoever hears it.
    fn judged(&mut self, order: &Order, nth: usize, answer: &Answer, newest: u64) -> Result<(), String> {
        let Command::Put(body) = &order.command else { return Ok(()) };
        let (base, version) = order.numbers;
        let what = |what: &str| Err(format!("number {version} on {base}: {what}"));
        match answer {
            Answer::Done => {
                self.tally.taken += u64::from(self.acked.insert(body.clone()));
                self.tally.again += u64::from(order.tries[..nth].iter().any(|t| t.seen && t.lost));
                self.tally.replaced += u64::from(newest != version);
                if *self.bases.entry(base).or_insert_with(|| body.clone()) != *body {
                    return what("acknowledged, as another one on its base was");
                }
                if *self.numbers.entry(version).or_insert_with(|| body.clone()) != *body {
                    return what("acknowledged, as another one of its number was");
                }
            }
            Answer::Refused { .. } => self.tally.refused += u64::from(self.refused.insert(body.clone())),
            Answer::Config(_) => {}
        }
        match self.refused.contains(body) && self.acked.contains(body) {
            true => what("refused and acknowledged"),
            false => Ok(()),
        }
    }

    /// What is in force, against what was said.
    fn truth(&self, site: &Site) -> Result<(), String> {
        let truth = &site.world.watch;
        if let Some(body) = truth.bodies().find(|body| self.refused.contains(*body)) {
            let text = String::from_utf8_lossy(&body[..body.len().min(50)]).into_owned();
            return Err(format!("refused, and in force: {text}"));
        }
        let Some((_, _, document)) = truth.newest() else { return Ok(()) };
        for (zone, evacuated) in &self.zones {
            let under_way = |order: &Order| {
                let air = |t: &Try| !t.seen && site.world.now - t.at < AIR;
                about(&order.command) == Some(zone) && (!order.clear || order.tries.iter().any(air))
            };
            if self.open.iter().chain(&self.closed).any(under_way) {
                continue;
            }
            if document.evacuated_zones.iter().any(|z| z == zone) != *evacuated {
                return Err(format!("{zone} was acknowledged last as evacuated: {evacuated}; it is not so"));
            }
        }
        Ok(())
    }
}

fn about(command: &Command) -> Option<&'static str> {
    match command {
        Command::Evacuate(zone) | Command::Restore(zone) => Some(zone),
        Command::Put(_) | Command::Get => None,
    }
}

/// Trouble of the core.
fn trouble(rng: &mut Rng, site: &mut Site) {
    let place = rng.u8(..);
    let step = match rng.u32(..100) {
        0..10 => Step::Kill(place),
        10..13 => Step::KillAll,
        13..20 => Step::Wipe(place),
        20..28 => Step::Freeze(place, 300 + rng.u16(..4000)),
        28..36 => Step::Cut(rng.u16(..), 500 + rng.u16(..5000)),
        36..40 => Step::OneWay(500 + rng.u16(..4000)),
        40..44 => Step::Trip(1000 + rng.u16(..3000)),
        44..47 => Step::Refuse(place, 2 + rng.u8(..3)),
        47..49 => Step::Replace(place),
        49..52 => Step::Weather(rng.u8(..30), rng.u8(..10), 500 + rng.u16(..3000)),
        // the disks of all but the holder: it goes on, and nothing is settled
        52..60 => {
            let (holders, until) = (site.leaders(), 300 + rng.u16(..5000));
            let others = (0..site.cores.len() as u8).filter(|&n| !holders.contains(&site.core(n)));
            let others: Vec<u8> = others.collect();
            others.into_iter().for_each(|n| site.step(&Step::Stall(n, until)));
            return;
        }
        // the holder alone is cut off from some or all
        60..66 => {
            let holder = site.leaders().first().copied();
            let Some(place) = site.cores.iter().position(|node| Some(*node) == holder) else { return };
            Step::Cut(1 << place, 500 + rng.u16(..6000))
        }
        _ => Step::Start,
    };
    site.step(&step);
}

/// Plays the schedule of a seed, and returns what was wrong first.
pub fn resends(seed: u64, flaw: Flaw) -> Result<Tally, String> {
    let plan = Plan { edges: 2, ..Plan::new(seed).only(&[]) };
    let mut site = Site::new(&plan, flaw);
    let mut operators = Operators::new(seed);
    let mut rng = Rng::with_seed(seed ^ 0x0074_726f_7562_6c65);
    let (ends, mut next) = (10.0 + rng.f64() * 20.0, 3.0);
    let broken = |site: &mut Site, now: f64| match site.world.watch.broken.take() {
        Some(what) => Err(format!("seed {seed}, at {now:.3} s: {what}")),
        None => Ok(()),
    };
    while site.world.now < ends {
        if site.world.now >= next {
            next = site.world.now + 0.1 + rng.f64();
            trouble(&mut rng, &mut site);
        }
        operators.begin(&site);
        operators.send(&mut site);
        site.pass(LOOK);
        let now = site.world.now;
        broken(&mut site, now)?;
        operators.hear(&mut site).map_err(|what| format!("seed {seed}, at {now:.3} s: {what}"))?;
    }
    site.calm();
    operators.calm = true;
    let mut wrong = None;
    let done = until(&mut site, CLEAR, |site| {
        operators.send(site);
        wrong = wrong.take().or(operators.hear(site).err());
        wrong.is_some() || operators.open.is_empty()
    });
    let now = site.world.now;
    broken(&mut site, now)?;
    if let Some(what) = wrong {
        return Err(format!("seed {seed}, at {now:.3} s: {what}"));
    }
    if !done {
        return Err(format!("seed {seed}: {} orders without an answer", operators.open.len()));
    }
    end(&mut site);
    broken(&mut site, now)?;
    operators.hear(&mut site).map_err(|what| format!("seed {seed}, at the end: {what}"))?;
    Ok(operators.tally)
}
