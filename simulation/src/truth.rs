//! The slow plain model: what was committed, acknowledged, read and counted, and what may be said after it.

use crate::flaw::memory;
use crate::process::{Command, Process, Reply, Told};
use crate::sums::Sums;
use crate::world::Watch;
use crate::Node;
use lupinledge_config::{Answer, Config, Document, ErrorKind};
use lupinledge_consensus::{Ballot, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A change is in force on edge nodes in touch so many seconds after it was acknowledged.
pub const APPLY: f64 = 2.5;
/// A machine is in touch so many seconds after the last trouble.
pub const CONTACT: f64 = 5.0;
/// A holder that has no majority any more leads no longer than this, seconds.
const LEASE: f64 = 1.0;

struct Question {
    command: Command,
    /// Newest index that somebody was told of before it.
    floor: u64,
}

/// How much was seen, so that nobody takes an empty run for a good one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Changes acknowledged, read-backs, and changes refused for what is in force.
    pub acks: u64,
    pub reads: u64,
    pub stale: u64,
    /// Answers of counters that arrived.
    pub counted: u64,
    /// Starts of edge nodes that became ready.
    pub ready: u64,
    /// Epochs won.
    pub wins: u64,
}

impl Seen {
    /// Adds what was seen elsewhere.
    pub fn add(&mut self, other: &Seen) {
        self.acks += other.acks;
        self.reads += other.reads;
        self.stale += other.stale;
        self.counted += other.counted;
        self.ready += other.ready;
        self.wins += other.wins;
    }
}

/// See the module.
#[derive(Default)]
pub struct Truth {
    /// The first thing that was wrong.
    pub broken: Option<String>,
    /// How much was seen.
    pub seen: Seen,
    /// Until when there was trouble of the core or the network.
    pub rough_until: f64,
    /// Until when an edge node had trouble of its own.
    pub rough: BTreeMap<Node, f64>,
    log: BTreeMap<u64, (Rc<Value>, Rc<Document>)>,
    /// Newest index that somebody was told of.
    floor: u64,
    /// When, and what index.
    acks: Vec<(f64, u64)>,
    /// What was acknowledged on each base.
    bases: BTreeMap<u64, Rc<[u8]>>,
    questions: BTreeMap<u64, Question>,
    /// Who won each epoch in which run, and when.
    epochs: BTreeMap<u64, (Node, u64, f64)>,
    /// Disks that were lost, whose machines have not learnt anew.
    wiped: BTreeSet<Node>,
    /// The highest epoch that a member promised or voted in since it had its disk.
    votes: BTreeMap<Node, u64>,
    /// Who promised an epoch that it had not voted in last, since this was taken.
    pub turned: Option<Node>,
    /// What a run holds.
    held: BTreeMap<(Node, u64), (u64, Rc<Document>)>,
    /// What came of each command that was answered.
    pub(crate) answers: BTreeMap<u64, Reply>,
    /// What was answered to operators since it was taken last: when, by whom, to which order; kept where wanted.
    pub(crate) replies: Option<Vec<(f64, Node, u64, Reply)>>,
    /// The counters.
    pub(crate) sums: Sums,
}

/// Base of a configuration, its number.
fn numbers(body: &[u8]) -> (u64, u64) {
    Config::parse(body).map_or((0, 0), |config| (config.base_version.0, config.version.0))
}

impl Truth {
    /// Something is not as it must be.
    pub fn wrong(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }

    /// A command goes out.
    pub fn asked(&mut self, id: u64, command: Command) {
        let floor = self.floor;
        self.questions.insert(id, Question { command, floor });
    }

    /// A machine loses its disk.
    pub fn wiped(&mut self, node: Node) {
        self.wiped.insert(node);
        self.votes.remove(&node);
    }

    /// The newest committed value and document.
    pub fn newest(&self) -> Option<(u64, &Rc<Value>, &Rc<Document>)> {
        self.log.iter().next_back().map(|(index, (value, document))| (*index, value, document))
    }

    /// Configurations that were in force at any time.
    pub(crate) fn bodies(&self) -> impl Iterator<Item = &[u8]> {
        self.log.values().filter_map(|(_, document)| document.config.as_deref())
    }

    /// A version that was in force, `back` changes of version ago.
    pub fn version(&self, back: usize) -> u64 {
        let mut versions: Vec<u64> = self.log.values().map(|(_, document)| document.version).collect();
        versions.dedup();
        versions.iter().rev().nth(back).copied().unwrap_or(0)
    }

    /// What an edge node in touch has at least.
    pub fn needed(&self, now: f64) -> u64 {
        self.acked_by(now - APPLY)
    }

    /// The newest index that was acknowledged by then.
    pub fn acked_by(&self, then: f64) -> u64 {
        let old = self.acks.iter().filter(|(at, _)| *at <= then);
        old.map(|(_, index)| *index).max().unwrap_or(0)
    }

    /// Is everything of the core and the network calm for long enough?
    pub fn calm(&self, now: f64) -> bool {
        now - self.rough_until >= CONTACT
    }

    /// Had an edge node no trouble of its own for as long? One that stood still may work for a moment by what waited.
    pub fn touch(&self, now: f64, node: Node) -> bool {
        self.rough.get(&node).is_none_or(|until| now - until >= CONTACT)
    }

    /// All trouble ends.
    pub fn healed(&mut self, now: f64) {
        self.rough_until = now;
        self.rough.values_mut().for_each(|until| *until = until.min(now));
    }

    /// What a run holds: an index of a document.
    pub fn holds(&self, node: Node, run: u64) -> Option<u64> {
        self.held.get(&(node, run)).map(|held| held.0)
    }

    fn committed(&mut self, node: Node, run: u64, ballot: Ballot, value: Rc<Value>) {
        let document = match value.body.is_empty() {
            true => Rc::default(),
            false => Rc::new(rmp_serde::from_slice::<Document>(&value.body).expect("written by `Core`")),
        };
        let index = ballot.index;
        let known = self.log.entry(index).or_insert_with(|| (value.clone(), document.clone()));
        if known.0 != value {
            return self.wrong(format!("two values are committed at {ballot:?}"));
        }
        let before = self.log.range(..index).next_back();
        let after = self.log.range(index + 1..).next();
        let bad = before.is_some_and(|(_, (_, before))| !follows(before, &document))
            || after.is_some_and(|(_, (_, after))| !follows(&document, after));
        if bad {
            return self.wrong(format!("a change is lost at {ballot:?}"));
        }
        self.holding(node, run, index, document);
    }

    /// A run holds a document from now on.
    fn holding(&mut self, node: Node, run: u64, index: u64, document: Rc<Document>) {
        let edge = |d: &Document| Document::clone(d).split_accepted().0;
        let known = self.log.get(&index).map(|known| &known.1);
        if known.is_none_or(|known| *known != document && edge(known) != *document) {
            return self.wrong(format!("{node} holds at {index} what was not committed"));
        }
        let before = self.held.insert((node, run), (index, document.clone()));
        if before.is_some_and(|(old, was)| old > index || was.version > document.version) {
            self.wrong(format!("{node} goes back to {index}"));
        }
    }

    fn won(&mut self, now: f64, node: Node, run: u64, epoch: u64) {
        self.seen.wins += 1;
        if self.epochs.insert(epoch, (node, run, now)).is_some() {
            return self.wrong(format!("epoch {epoch} is held twice"));
        }
        // one that stood still may win what is over: it is not backed, and says nothing
        let over = self.epochs.range(epoch + 1..).next().is_some();
        let (held, floor) = (self.holds(node, run).unwrap_or(0), self.floor);
        if held < floor && !over {
            self.wrong(format!("{node} leads with {held}, but somebody was told of {floor}"));
        }
    }

    fn stands(&mut self, node: Node, epoch: u64, kept: bool) {
        if self.wiped.contains(&node) {
            return self.wrong(format!("{node} lost its disk and votes before it has learnt"));
        }
        let before = self.votes.get(&node).copied().unwrap_or(0);
        if before > epoch {
            return self.wrong(format!("{node} stands by epoch {epoch}, but promised {before}"));
        }
        if kept && before < epoch {
            self.votes.insert(node, epoch);
            self.turned = Some(node);
        }
    }

    fn replied(&mut self, now: f64, node: Node, id: u64, reply: Reply) {
        let (Some(Question { command, floor }), Reply::GossipMessage(answer)) =
            (self.questions.remove(&id), reply)
        else {
            return;
        };
        let since = |fits: &dyn Fn(&Document) -> bool| {
            self.log.range(floor..).find(|(_, (_, document))| fits(document)).map(|(index, _)| *index)
        };
        let index = match (&command, &answer) {
            (Command::Put(body), Answer::Done) => {
                let taken = self.log.iter().find(|(_, (_, d))| d.config.as_deref() == Some(&**body));
                taken.map(|(index, _)| *index)
            }
            (Command::Put(body), Answer::Refused { kind, .. }) => {
                let (base, version) = numbers(body);
                match kind {
                    ErrorKind::Stale => since(&|d| d.version != base),
                    ErrorKind::Invalid => since(&|d| d.version >= version),
                    _ => None,
                }
            }
            (Command::Get, Answer::Config(body)) => since(&|d| d.config.as_ref() == Some(body)),
            (Command::Get, Answer::Refused { kind: ErrorKind::NoSuchPath, .. }) => {
                since(&|d| d.config.is_none())
            }
            (Command::Evacuate(zone), Answer::Done) => {
                since(&|d| d.evacuated_zones.iter().any(|z| z == zone))
            }
            (Command::Restore(zone), Answer::Done) => {
                since(&|d| !d.evacuated_zones.iter().any(|z| z == zone))
            }
            _ => None,
        };
        let Some(index) = index else {
            let said = match &answer {
                Answer::Config(body) => format!("configuration of (base, version) {:?}", numbers(body)),
                other => format!("{other:?}"),
            };
            let short = short(&command);
            return self.wrong(format!("{node} says {said} to {short} against the whole, told of {floor}"));
        };
        self.floor = self.floor.max(index);
        match (command, answer) {
            (Command::Get, _) => self.seen.reads += 1,
            (_, Answer::Refused { .. }) => self.seen.stale += 1,
            (Command::Put(body), _) => {
                self.acked(now, index);
                let base = numbers(&body).0;
                if *self.bases.entry(base).or_insert_with(|| body.clone()) != body {
                    self.wrong(format!("two configurations are acknowledged on base {base}"));
                }
            }
            _ => self.acked(now, index),
        }
    }

    fn acked(&mut self, now: f64, index: u64) {
        self.seen.acks += 1;
        self.acks.push((now, index));
    }

    /// Only who won an epoch counts under it, and not for long after another one was won.
    fn counts(&mut self, now: f64, node: Node, run: u64, epoch: u64) {
        let holder = self.epochs.get(&epoch).map(|(node, run, _)| (*node, *run));
        if holder != Some((node, run)) {
            return self.wrong(format!("{node} counts under epoch {epoch} of {holder:?}"));
        }
        if self.epochs.range(epoch + 1..).any(|(_, (_, _, at))| now - at > LEASE) {
            self.wrong(format!("{node} still counts under epoch {epoch}, which is over"));
        }
    }

    fn counted(&mut self, node: Node, epoch: u64, totals: &[(u64, f64)]) {
        self.seen.counted += 1;
        if let Some((name, total)) = totals.iter().find(|(name, total)| !self.sums.told(epoch, *name, *total))
        {
            self.wrong(format!("{node} is told {total} of counter {name} in epoch {epoch}"));
        }
    }

    fn ready(&mut self, now: f64, node: Node, run: u64) {
        self.seen.ready += 1;
        match self.holds(node, run) {
            None => self.wrong(format!("{node} is ready with nothing")),
            Some(index) if self.calm(now) && self.touch(now, node) && index < self.needed(now) => {
                let needed = self.needed(now);
                self.wrong(format!(
                    "{node} starts with {index}, but {needed} was acknowledged {APPLY} s before"
                ));
            }
            Some(_) => {}
        }
    }
}

/// May the second document come some changes after the first? Each change is of one thing.
fn follows(first: &Document, second: &Document) -> bool {
    let moved =
        |zone: &&String| first.evacuated_zones.contains(zone) != second.evacuated_zones.contains(zone);
    let zones = first.evacuated_zones.iter().chain(&second.evacuated_zones).filter(moved).count();
    let (was, is) = (memory(first), memory(second));
    let configs = is.0.len().saturating_sub(was.0.len());
    let changes = second.serial.saturating_sub(first.serial);
    let one = match configs {
        0 => zones == 1 && first.config == second.config && first.version == second.version,
        _ => configs == 1 && zones == 0 && first.version < second.version,
    };
    first.serial <= second.serial
        && is.0.starts_with(&was.0)
        && is.1.starts_with(&was.1)
        && match changes {
            0 => first == second,
            1 => one,
            _ => first.version <= second.version,
        }
}

fn short(command: &Command) -> String {
    match command {
        Command::Put(body) => format!("put of (base, version) {:?}", numbers(body)),
        other => format!("{other:?}"),
    }
}

impl Watch<Process> for Truth {
    fn told(&mut self, now: f64, node: Node, run: u64, _: &Process, told: Told) {
        match told {
            Told::Committed(ballot, value) => self.committed(node, run, ballot, value),
            Told::Won(epoch) => self.won(now, node, run, epoch),
            Told::Stands { epoch, kept } => self.stands(node, epoch, kept),
            Told::Learnt => drop(self.wiped.remove(&node)),
            Told::Replied(id, reply) => {
                self.answers.insert(id, reply.clone());
                self.replies.iter_mut().for_each(|kept| kept.push((now, node, id, reply.clone())));
                self.replied(now, node, id, reply);
            }
            Told::Put { epoch, from, name, sum } => {
                self.counts(now, node, run, epoch);
                self.sums.put(epoch, from, name, sum);
            }
            Told::Gathered { epoch, from, told, before } => self.sums.gathered(epoch, from, told, before),
            Told::Total { epoch, name, total } => {
                let calm = self.calm(now);
                if let Err(what) = self.sums.total(epoch, name, total, calm) {
                    self.wrong(format!("{node} {what}"));
                }
            }
            Told::Added { name, amount } => self.sums.added(name, amount),
            Told::Took(ballot, document) => self.holding(node, run, ballot.index, document),
            Told::Ready => self.ready(now, node, run),
            Told::Counted { epoch, totals } => self.counted(node, epoch, &totals),
        }
    }
}
