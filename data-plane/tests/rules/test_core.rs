//! A test core: one process that leads, publishes documents and server lists, counts, and answers
//! clock requests. It votes on operation keys without a disk, and uses the system's own gossip.

use lupinledge_config::{Document, Settings, Tables};
use lupinledge_consensus::Ballot;
use lupinledge_gossip::{Gossip, Host, Update};
use lupinledge_membership::{Card, Source};
use lupinledge_messaging::list::{ListedServer, ServerList};
use lupinledge_messaging::{
    encode, epoch_of_round, from_fixed, round_of_epoch, to_fixed, NameTotal, Node, WireMessage,
};
use lupinledge_operations::voter::{self, Action, Voter};
use lupinledge_operations::{Key, Message};
use serde_bytes::ByteBuf;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::runtime::{Builder, LocalOptions};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// A command from a test to the core.
enum Command {
    /// Publishes a document under this ballot index.
    Document(u64, Document),
    /// Publishes a server list with this number.
    Rows(u64, Vec<ListedServer>),
    /// From now on the test core leads under the epoch of this election round.
    Round(u32),
    /// From now on these nodes vote on operation keys.
    Voters(Vec<Node>),
    /// Sends a document directly to a process without storing it.
    SendDocument(Node, Ballot, Document),
}

/// How calls to the counters are answered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Answers {
    #[default]
    /// At once and correctly.
    Prompt,
    /// Not answered yet; the answers, with totals beyond any quota, are kept.
    Withheld,
    /// The kept answers are sent when the next call arrives, which is not answered itself.
    Late,
    /// Answered with totals beyond any quota, from the round before this one.
    Outdated,
}

/// The state of the counters. Names of leases are odd, names of use are even.
#[derive(Default)]
pub struct CounterState {
    /// Requests that other gateways have added to each name of use.
    pub others: AtomicU64,
    /// Requests that were added to names of use so far.
    pub added: AtomicU64,
    /// Leases held under the newest name.
    pub leases: AtomicU64,
    /// Requests in the latest report to a new holder.
    pub reported: AtomicU64,
    /// Invalid answers that were sent.
    pub stale: AtomicU64,
    /// How calls are answered now.
    pub answers: Mutex<Answers>,
}

/// The state of the votes on operation keys.
#[derive(Default)]
pub struct VoteState {
    /// Claims that were received.
    pub claims: AtomicU64,
    /// Whether claims are left unanswered.
    pub silent: AtomicBool,
    /// If not 0, a key's claims are not answered until the gateway with this node number has claimed it.
    pub prefers: AtomicU32,
    /// Keys that are held.
    pub held: AtomicU64,
    /// Bytes of stored answers.
    pub answer_bytes: AtomicU64,
}

/// A running test core; it stops when dropped.
pub struct TestCore {
    commands: UnboundedSender<Command>,
    /// The state of its counters.
    pub counts: Arc<CounterState>,
    /// The state of its votes.
    pub votes: Arc<VoteState>,
    /// Its node number.
    pub me: Node,
}

/// The largest number of keys and of bytes of answers that the test core stores.
const KEYS: usize = 10_000;
const ANSWER_BYTES: usize = 1 << 20;

/// Answers the messages that the gossip does not handle.
struct CoreHost {
    gossip: Rc<Gossip>,
    /// The last sum by name.
    totals: RefCell<BTreeMap<u64, f64>>,
    withheld_answers: RefCell<Vec<WireMessage>>,
    counts: Arc<CounterState>,
    voter: RefCell<Voter>,
    /// The index of the current electorate.
    electorate: Cell<u64>,
    /// Keys whose claims are answered.
    preferred: RefCell<BTreeSet<Key>>,
    votes: Arc<VoteState>,
}

impl CoreHost {
    /// Lets the voter act; what it appends counts as saved at once.
    fn vote(&self, act: impl FnOnce(&mut Voter, f64, &mut Vec<Action>)) {
        let (mut voter, now, mut out) = (self.voter.borrow_mut(), self.gossip.now(), Vec::new());
        act(&mut voter, now, &mut out);
        while !out.is_empty() {
            for action in std::mem::take(&mut out) {
                match action {
                    Action::Send(to, message) => {
                        self.gossip.post().send(to, &WireMessage::Operation(message))
                    }
                    Action::Append { number, .. } => voter.on_saved(now, number, &mut out),
                }
            }
        }
        self.votes.held.store(voter.records() as u64, Ordering::SeqCst);
        self.votes.answer_bytes.store(voter.answer_bytes() as u64, Ordering::SeqCst);
    }

    /// Whether a claim is answered; see [`Votes::prefers`].
    fn answers_claim(&self, from: Node, key: Key) -> bool {
        let prefers = self.votes.prefers.load(Ordering::SeqCst);
        if prefers == 0 || from == prefers {
            self.preferred.borrow_mut().insert(key);
        }
        self.preferred.borrow().contains(&key)
    }

    /// Sets the electorate from now on.
    fn set_electorate(&self, members: &[Node]) {
        let index = self.electorate.get() + 1;
        self.electorate.set(index);
        self.vote(|voter, now, out| voter.set_members(now, index, members, &[], out));
    }
}

impl Host for CoreHost {
    fn on_update(&self, _: Update) {}
    fn on_message(&self, from: Node, message: WireMessage) {
        let answer = match message {
            WireMessage::ClockRequest { sent } => {
                WireMessage::ClockReply { sent, replied_at: 1000.0 + self.gossip.now() }
            }
            WireMessage::CounterSums { tag, calls, .. } => {
                let mut totals_by_name = self.totals.borrow_mut();
                let mut add = |(name, sum, _): (u64, i64, u16)| {
                    let sum = from_fixed(sum);
                    let before = totals_by_name.insert(name, sum).unwrap_or(0.0);
                    if name & 1 == 1 {
                        return to_fixed(sum);
                    }
                    self.counts.added.fetch_add((sum - before).max(0.0) as u64, Ordering::SeqCst);
                    to_fixed(sum + self.counts.others.load(Ordering::SeqCst) as f64)
                };
                let totals = calls.into_iter().map(|call| NameTotal(add(call), None)).collect();
                let newest =
                    totals_by_name.iter().rev().find(|(name, _)| *name & 1 == 1).map_or(0.0, |(_, sum)| *sum);
                self.counts.leases.store(newest.round() as u64, Ordering::SeqCst);
                let round = round_of_epoch(self.gossip.with_store(|h| h.epoch().0));
                let beyond_quota =
                    |totals: Vec<NameTotal>| vec![NameTotal(to_fixed(1000.0), None); totals.len()];
                match *self.counts.answers.lock().unwrap() {
                    Answers::Prompt => WireMessage::Totals { tag, round, totals },
                    Answers::Withheld => {
                        let answer = WireMessage::Totals { tag, round, totals: beyond_quota(totals) };
                        return self.withheld_answers.borrow_mut().push(answer);
                    }
                    Answers::Late => {
                        let withheld_answers = self.withheld_answers.take();
                        self.counts.stale.fetch_add(withheld_answers.len() as u64, Ordering::SeqCst);
                        return withheld_answers.iter().for_each(|k| self.gossip.post().send(from, k));
                    }
                    Answers::Outdated => {
                        self.counts.stale.fetch_add(1, Ordering::SeqCst);
                        WireMessage::Totals { tag, round: round - 1, totals: beyond_quota(totals) }
                    }
                }
            }
            WireMessage::CounterReport { reports, .. } => {
                let total_use = reports.iter().filter(|t| t.name & 1 == 0).map(|t| t.sum).sum::<f64>();
                return self.counts.reported.store(total_use.round() as u64, Ordering::SeqCst);
            }
            WireMessage::Operation(message) => {
                if let Message::Claim { key, .. } = &message {
                    self.votes.claims.fetch_add(1, Ordering::SeqCst);
                    if self.votes.silent.load(Ordering::SeqCst) || !self.answers_claim(from, *key) {
                        return;
                    }
                }
                return self.vote(|voter, now, out| voter.on_message(now, from, message, out));
            }
            _ => return,
        };
        self.gossip.post().send(from, &answer);
    }
}

/// The encoded document.
fn encoded(document: &Document) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(document, &mut bytes).expect("plain data");
    bytes
}

impl TestCore {
    /// Starts a core that leads; its port is bound when this returns.
    pub fn start(settings: Settings) -> TestCore {
        TestCore::start_with_role(settings, true)
    }
    /// Starts another voter, which does not lead.
    pub fn start_voter(settings: Settings) -> TestCore {
        TestCore::start_with_role(settings, false)
    }
    /// Starts the core's thread.
    fn start_with_role(settings: Settings, holds_duty: bool) -> TestCore {
        let (commands, from) = unbounded_channel();
        let core =
            TestCore { commands, counts: Arc::default(), votes: Arc::default(), me: settings.node_id() };
        let (counts, votes) = (core.counts.clone(), core.votes.clone());
        let (bound_sender, bound_receiver) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
            runtime.expect("a runtime").block_on(run(
                settings,
                holds_duty,
                from,
                (counts, votes),
                bound_sender,
            ));
        });
        bound_receiver.recv().expect("its port");
        core
    }
    /// Publishes a document under a ballot of the epoch.
    pub fn publish_document(&self, index: u64, document: Document) {
        let _ = self.commands.send(Command::Document(index, document));
    }
    /// Publishes a server list.
    pub fn publish_list(&self, number: u64, rows: Vec<ListedServer>) {
        let _ = self.commands.send(Command::Rows(number, rows));
    }
    /// Continues to lead, under the epoch of this election round.
    pub fn start_round(&self, round: u32) {
        let _ = self.commands.send(Command::Round(round));
    }
    /// Sets the voters that the core votes among from now on.
    pub fn set_voters(&self, voters: &[Node]) {
        let _ = self.commands.send(Command::Voters(voters.to_vec()));
    }
    /// Changes how calls to the counters are answered.
    pub fn set_answers(&self, answers: Answers) {
        *self.counts.answers.lock().unwrap() = answers;
    }
    /// Sends a document with any ballot to a process, as no correct holder would.
    pub fn send_document(&self, to: Node, (epoch, index): (u64, u64), document: Document) {
        let _ = self.commands.send(Command::SendDocument(to, Ballot { epoch, index }, document));
    }
}

/// Settings of a voter that may vote from the start.
fn founder(me: Node) -> voter::Settings {
    voter::Settings { me, seed: 1, founder: true, max_records: KEYS, max_answer_bytes: ANSWER_BYTES }
}

/// Runs a core and carries out the commands of its test.
async fn run(
    settings: Settings,
    holds_duty: bool,
    mut commands: UnboundedReceiver<Command>,
    (counts, votes): (Arc<CounterState>, Arc<VoteState>),
    bound_sender: std::sync::mpsc::Sender<()>,
) {
    let (region, zone) = (settings.region.clone(), settings.zone.clone());
    let (client_address, control_address) = (None, settings.seeds.first().copied());
    let card = Card {
        core: true,
        region,
        zone,
        client_address,
        control_address,
        ready: true,
        leaving: false,
        drift: None,
        load: 0,
    };
    let gossip = Gossip::open(&settings, card, false).expect("the core's port");
    let _ = bound_sender.send(());
    let core_host = Rc::new(CoreHost {
        gossip: gossip.clone(),
        totals: RefCell::default(),
        withheld_answers: RefCell::default(),
        counts,
        voter: RefCell::new(Voter::new(0.0, founder(gossip.me()), Vec::new(), &mut Vec::new())),
        electorate: Cell::new(0),
        preferred: RefCell::default(),
        votes,
    });
    core_host.vote(|voter, now, out| voter.on_saved(now, 1, out));
    core_host.set_electorate(&[gossip.me()]);
    let host: Rc<dyn Host> = core_host.clone();
    gossip.set_host(Rc::downgrade(&host));
    tokio::task::spawn_local(gossip.clone().run());
    if holds_duty {
        let epoch = Some((epoch_of_round(1, gossip.me()), gossip.me()));
        gossip.publish(Update { epoch, ..Update::default() }, Source::Origin);
    }
    while let Some(command) = commands.recv().await {
        match command {
            Command::Document(index, d) => {
                let state = Some(((1, index), Rc::from(encoded(&d))));
                gossip.publish(Update { state, ..Update::default() }, Source::Origin);
                let fingerprint = Tables::new(&d, &settings.zones).map_or(0, |t| t.fingerprints().combined());
                gossip.set_fingerprint(index, fingerprint);
            }
            Command::Rows(number, rows) => {
                let list = Some(((1, number), Rc::from(ServerList { number: (1, number), rows }.encode())));
                gossip.publish(Update { list, ..Update::default() }, Source::Origin);
            }
            Command::Round(round) => {
                let epoch = Some((epoch_of_round(round, gossip.me()), gossip.me()));
                gossip.publish(Update { epoch, ..Update::default() }, Source::Origin);
            }
            Command::Voters(members) => core_host.set_electorate(&members),
            Command::SendDocument(to, ballot, d) => {
                let state = Some(((ballot.epoch, ballot.index), ByteBuf::from(encoded(&d))));
                let update = WireMessage::Update { digest: Default::default(), state, list: None };
                gossip.post().send(to, &update);
            }
        }
    }
    gossip.post().close();
}
