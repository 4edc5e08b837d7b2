//! The reference model, slow and simple: records what was committed, acknowledged, read and counted, and checks each
//! observation against it.

use crate::counter_model::CounterModel;
use crate::flaw::accepted_history;
use crate::process::{Command, Observation, Process, Reply};
use crate::world::Observer;
use crate::Node;
use lupinledge_config::{Answer, Config, Document, ErrorKind};
use lupinledge_consensus::{Ballot, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Seconds after its acknowledgement until a change must be in force on the edge nodes in touch.
pub const APPLY_TIMEOUT: f64 = 2.5;
/// Seconds after the last disturbance until a machine counts as in touch.
pub const CONTACT_TIMEOUT: f64 = 5.0;
/// Longest time that a leader leads after it lost its majority, seconds.
const LEASE: f64 = 1.0;

/// A command without a reply.
struct PendingCommand {
    command: Command,
    /// The newest index that any operator had learned of when the command was sent.
    floor: u64,
}

/// How often each kind of event was seen. Tests check it, so that a run in which nothing happened does not pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Changes that were acknowledged.
    pub acks: u64,
    /// Reads that were answered.
    pub reads: u64,
    /// Changes that were refused because of what is in force.
    pub refusals: u64,
    /// Replies from counter holders that arrived.
    pub counter_replies: u64,
    /// Starts of edge nodes that became ready.
    pub ready: u64,
    /// Epochs won.
    pub epochs_won: u64,
}

impl Coverage {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Coverage) {
        self.acks += other.acks;
        self.reads += other.reads;
        self.refusals += other.refusals;
        self.counter_replies += other.counter_replies;
        self.ready += other.ready;
        self.epochs_won += other.epochs_won;
    }
}

/// The reference model of the cluster.
#[derive(Default)]
pub struct ReferenceModel {
    /// The first violation found.
    pub violation: Option<String>,
    /// How often each kind of event was seen.
    pub coverage: Coverage,
    /// The end of the last disturbance of the core or the network.
    pub disturbed_until: f64,
    /// The end of the last disturbance of an edge node alone.
    pub edge_disturbed_until: BTreeMap<Node, f64>,
    log: BTreeMap<u64, (Rc<Value>, Rc<Document>)>,
    /// The newest index that any operator has learned of.
    floor: u64,
    /// The time and index of each acknowledged change.
    acks: Vec<(f64, u64)>,
    /// The configuration that was acknowledged on each base version.
    acked_by_base: BTreeMap<u64, Rc<[u8]>>,
    pending: BTreeMap<u64, PendingCommand>,
    /// For each epoch: the node and run that won it, and when.
    epochs: BTreeMap<u64, (Node, u64, f64)>,
    /// Machines that lost their disk and have not learned the state of the others since.
    wiped: BTreeSet<Node>,
    /// The highest epoch that each member promised or voted in since it has its present disk.
    votes: BTreeMap<Node, u64>,
    /// The member that last promised or voted in a new epoch; the cluster resets it.
    pub last_voter: Option<Node>,
    /// The index and document that each run holds.
    held: BTreeMap<(Node, u64), (u64, Rc<Document>)>,
    /// The replies to all commands, by command id.
    pub(crate) replies_by_command: BTreeMap<u64, Reply>,
    /// The replies since the caller last took them: time, node, command id and reply. `None` if they are not recorded.
    pub(crate) replies: Option<Vec<(f64, Node, u64, Reply)>>,
    /// The model of the counters.
    pub(crate) counters: CounterModel,
}

/// The base version and the version of a configuration.
fn versions(body: &[u8]) -> (u64, u64) {
    Config::parse(body).map_or((0, 0), |config| (config.base_version.0, config.version.0))
}

impl ReferenceModel {
    /// Records a violation; only the first one is kept.
    pub fn fail(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    /// An operator sends a command.
    pub fn command_sent(&mut self, id: u64, command: Command) {
        let floor = self.floor;
        self.pending.insert(id, PendingCommand { command, floor });
    }

    /// A machine loses its disk.
    pub fn disk_wiped(&mut self, node: Node) {
        self.wiped.insert(node);
        self.votes.remove(&node);
    }

    /// The newest committed index, value and document.
    pub fn newest(&self) -> Option<(u64, &Rc<Value>, &Rc<Document>)> {
        self.log.iter().next_back().map(|(index, (value, document))| (*index, value, document))
    }

    /// All configurations that were ever in force.
    pub(crate) fn bodies(&self) -> impl Iterator<Item = &[u8]> {
        self.log.values().filter_map(|(_, document)| document.config.as_deref())
    }

    /// The version that was in force `back` versions before the newest.
    pub fn version(&self, back: usize) -> u64 {
        let mut versions: Vec<u64> = self.log.values().map(|(_, document)| document.version).collect();
        versions.dedup();
        versions.iter().rev().nth(back).copied().unwrap_or(0)
    }

    /// The index that an edge node in touch must have reached.
    pub fn required_index(&self, now: f64) -> u64 {
        self.acked_by(now - APPLY_TIMEOUT)
    }

    /// The newest index that was acknowledged by the given time.
    pub fn acked_by(&self, time: f64) -> u64 {
        let earlier = self.acks.iter().filter(|(at, _)| *at <= time);
        earlier.map(|(_, index)| *index).max().unwrap_or(0)
    }

    /// Whether the core and the network have been undisturbed for long enough.
    pub fn is_calm(&self, now: f64) -> bool {
        now - self.disturbed_until >= CONTACT_TIMEOUT
    }

    /// Whether an edge node has been undisturbed for long enough. A node that was paused may handle queued input first
    /// and so use old state for a moment.
    pub fn in_touch(&self, now: f64, node: Node) -> bool {
        self.edge_disturbed_until.get(&node).is_none_or(|until| now - until >= CONTACT_TIMEOUT)
    }

    /// All disturbances end now.
    pub fn healed(&mut self, now: f64) {
        self.disturbed_until = now;
        self.edge_disturbed_until.values_mut().for_each(|until| *until = until.min(now));
    }

    /// The index of the document that a run holds.
    pub fn held_index(&self, node: Node, run_id: u64) -> Option<u64> {
        self.held.get(&(node, run_id)).map(|held| held.0)
    }

    /// Checks that an index has one value only, and that each document follows from the one before.
    fn committed(&mut self, node: Node, run_id: u64, ballot: Ballot, value: Rc<Value>) {
        let document = match value.body.is_empty() {
            true => Rc::default(),
            false => Rc::new(rmp_serde::from_slice::<Document>(&value.body).expect("encoded by `Core`")),
        };
        let index = ballot.index;
        let known = self.log.entry(index).or_insert_with(|| (value.clone(), document.clone()));
        if known.0 != value {
            return self.fail(format!("two values are committed at {ballot:?}"));
        }
        let before = self.log.range(..index).next_back();
        let after = self.log.range(index + 1..).next();
        let lost = before.is_some_and(|(_, (_, before))| !may_follow(before, &document))
            || after.is_some_and(|(_, (_, after))| !may_follow(&document, after));
        if lost {
            return self.fail(format!("a change is lost at {ballot:?}"));
        }
        self.document_held(node, run_id, index, document);
    }

    /// Checks a document that a run holds from now on: it is committed at its index, and not older than the one before.
    fn document_held(&mut self, node: Node, run_id: u64, index: u64, document: Rc<Document>) {
        let edge = |d: &Document| Document::clone(d).split_accepted().0;
        let known = self.log.get(&index).map(|known| &known.1);
        if known.is_none_or(|known| *known != document && edge(known) != *document) {
            return self.fail(format!("{node} holds a document at index {index} that was not committed"));
        }
        let before = self.held.insert((node, run_id), (index, document.clone()));
        if before.is_some_and(|(old, was)| old > index || was.version > document.version) {
            self.fail(format!("{node} goes back to index {index}"));
        }
    }

    /// Checks that an epoch is won once, by a node that holds everything that operators have learned of.
    fn won_epoch(&mut self, now: f64, node: Node, run_id: u64, epoch: u64) {
        self.coverage.epochs_won += 1;
        if self.epochs.insert(epoch, (node, run_id, now)).is_some() {
            return self.fail(format!("epoch {epoch} was won twice"));
        }
        // A process that was paused may win an epoch that is superseded already. It has no majority, so it answers
        // nothing.
        let superseded = self.epochs.range(epoch + 1..).next().is_some();
        let (held, floor) = (self.held_index(node, run_id).unwrap_or(0), self.floor);
        if held < floor && !superseded {
            self.fail(format!(
                "{node} leads with index {held}, but an operator has learned of index {floor}"
            ));
        }
    }

    /// Checks that a member supports no epoch below its last vote, and none before it has recovered from a lost disk.
    fn supported_epoch(&mut self, node: Node, epoch: u64, durable: bool) {
        if self.wiped.contains(&node) {
            return self
                .fail(format!("{node} lost its disk and votes before it learned the state of the others"));
        }
        let before = self.votes.get(&node).copied().unwrap_or(0);
        if before > epoch {
            return self.fail(format!("{node} supports epoch {epoch}, but promised {before}"));
        }
        if durable && before < epoch {
            self.votes.insert(node, epoch);
            self.last_voter = Some(node);
        }
    }

    /// Checks an answer: it must be true of some committed document that is not older than what operators had
    /// learned of when the command was sent. A configuration that is answered as accepted may be in any committed
    /// document.
    fn replied(&mut self, now: f64, node: Node, id: u64, reply: Reply) {
        let (Some(PendingCommand { command, floor }), Reply::Answer(answer)) =
            (self.pending.remove(&id), reply)
        else {
            return;
        };
        let first_match = |matches: &dyn Fn(&Document) -> bool| {
            self.log.range(floor..).find(|(_, (_, document))| matches(document)).map(|(index, _)| *index)
        };
        let index = match (&command, &answer) {
            (Command::Put(body), Answer::Done) => {
                let accepted = self.log.iter().find(|(_, (_, d))| d.config.as_deref() == Some(&**body));
                accepted.map(|(index, _)| *index)
            }
            (Command::Put(body), Answer::Refused { kind, .. }) => {
                let (base, version) = versions(body);
                match kind {
                    ErrorKind::Stale => first_match(&|d| d.version != base),
                    ErrorKind::Invalid => first_match(&|d| d.version >= version),
                    _ => None,
                }
            }
            (Command::Get, Answer::Config(body)) => first_match(&|d| d.config.as_ref() == Some(body)),
            (Command::Get, Answer::Refused { kind: ErrorKind::NoSuchPath, .. }) => {
                first_match(&|d| d.config.is_none())
            }
            (Command::Evacuate(zone), Answer::Done) => {
                first_match(&|d| d.evacuated_zones.iter().any(|z| z == zone))
            }
            (Command::Restore(zone), Answer::Done) => {
                first_match(&|d| !d.evacuated_zones.iter().any(|z| z == zone))
            }
            _ => None,
        };
        let Some(index) = index else {
            let answered = match &answer {
                Answer::Config(body) => format!("configuration of (base, version) {:?}", versions(body)),
                other => format!("{other:?}"),
            };
            let described = describe(&command);
            return self.fail(format!(
                "{node} answers {answered} to {described}, which holds for no document since index {floor}"
            ));
        };
        self.floor = self.floor.max(index);
        match (command, answer) {
            (Command::Get, _) => self.coverage.reads += 1,
            (_, Answer::Refused { .. }) => self.coverage.refusals += 1,
            (Command::Put(body), _) => {
                self.record_acknowledgement(now, index);
                let base = versions(&body).0;
                if *self.acked_by_base.entry(base).or_insert_with(|| body.clone()) != body {
                    self.fail(format!("two configurations are acknowledged on base {base}"));
                }
            }
            _ => self.record_acknowledgement(now, index),
        }
    }

    fn record_acknowledgement(&mut self, now: f64, index: u64) {
        self.coverage.acks += 1;
        self.acks.push((now, index));
    }

    /// Checks that only the winner of an epoch receives sums under it, and not for long after a newer one was won.
    fn check_holder(&mut self, now: f64, node: Node, run_id: u64, epoch: u64) {
        let holder = self.epochs.get(&epoch).map(|(node, run_id, _)| (*node, *run_id));
        if holder != Some((node, run_id)) {
            return self.fail(format!("{node} counts under epoch {epoch}, which {holder:?} won"));
        }
        if self.epochs.range(epoch + 1..).any(|(_, (_, _, at))| now - at > LEASE) {
            self.fail(format!("{node} still counts under epoch {epoch}, which is superseded"));
        }
    }

    fn totals_received(&mut self, node: Node, epoch: u64, totals: &[(u64, f64)]) {
        self.coverage.counter_replies += 1;
        if let Some((name, total)) =
            totals.iter().find(|(name, total)| !self.counters.was_reported(epoch, *name, *total))
        {
            self.fail(format!(
                "{node} receives total {total} of counter {name} in epoch {epoch}, which was not reported"
            ));
        }
    }

    fn became_ready(&mut self, now: f64, node: Node, run_id: u64) {
        self.coverage.ready += 1;
        match self.held_index(node, run_id) {
            None => self.fail(format!("{node} is ready without a document")),
            Some(index)
                if self.is_calm(now) && self.in_touch(now, node) && index < self.required_index(now) =>
            {
                let required = self.required_index(now);
                self.fail(format!(
                    "{node} starts with index {index}, but {required} was acknowledged {APPLY_TIMEOUT} s before"
                ));
            }
            Some(_) => {}
        }
    }
}

/// Whether the second document may come after the first, with any number of changes between. Each change concerns
/// either one zone or one configuration.
fn may_follow(first: &Document, second: &Document) -> bool {
    let moved =
        |zone: &&String| first.evacuated_zones.contains(zone) != second.evacuated_zones.contains(zone);
    let zones = first.evacuated_zones.iter().chain(&second.evacuated_zones).filter(moved).count();
    let (old, new) = (accepted_history(first), accepted_history(second));
    let configs = new.0.len().saturating_sub(old.0.len());
    let changes = second.serial.saturating_sub(first.serial);
    let single_change = match configs {
        0 => zones == 1 && first.config == second.config && first.version == second.version,
        _ => configs == 1 && zones == 0 && first.version < second.version,
    };
    first.serial <= second.serial
        && new.0.starts_with(&old.0)
        && new.1.starts_with(&old.1)
        && match changes {
            0 => first == second,
            1 => single_change,
            _ => first.version <= second.version,
        }
}

fn describe(command: &Command) -> String {
    match command {
        Command::Put(body) => format!("put of (base, version) {:?}", versions(body)),
        other => format!("{other:?}"),
    }
}

impl Observer<Process> for ReferenceModel {
    fn observe(&mut self, now: f64, node: Node, run_id: u64, _: &Process, observation: Observation) {
        match observation {
            Observation::Committed(ballot, value) => self.committed(node, run_id, ballot, value),
            Observation::WonEpoch(epoch) => self.won_epoch(now, node, run_id, epoch),
            Observation::SupportedEpoch { epoch, durable } => self.supported_epoch(node, epoch, durable),
            Observation::StateLearned => drop(self.wiped.remove(&node)),
            Observation::Replied(id, reply) => {
                self.replies_by_command.insert(id, reply.clone());
                self.replies.iter_mut().for_each(|kept| kept.push((now, node, id, reply.clone())));
                self.replied(now, node, id, reply);
            }
            Observation::SumReceived { epoch, from, name, sum } => {
                self.check_holder(now, node, run_id, epoch);
                self.counters.sum_received(epoch, from, name, sum);
            }
            Observation::HandoverReceived { epoch, from, entry, incomplete } => {
                self.counters.handover_received(epoch, from, entry, incomplete)
            }
            Observation::TotalReported { epoch, name, total } => {
                let calm = self.is_calm(now);
                if let Err(what) = self.counters.check_total(epoch, name, total, calm) {
                    self.fail(format!("{node} {what}"));
                }
            }
            Observation::CounterIncreased { name, amount } => self.counters.added(name, amount),
            Observation::DocumentApplied(ballot, document) => {
                self.document_held(node, run_id, ballot.index, document)
            }
            Observation::BecameReady => self.became_ready(now, node, run_id),
            Observation::TotalsReceived { epoch, totals } => self.totals_received(node, epoch, &totals),
        }
    }
}
