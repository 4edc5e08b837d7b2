//! A stand-in for the hive: one process that holds the duty, tells documents and lists of servers, counts, and shows
//! its clock. It votes on operation keys, without a disk. It gossips with the system's own parts.

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

enum Order {
    Document(u64, Document),
    Rows(u64, Vec<ListedServer>),
    /// The duty is held under the epoch of this round from now on, by the same process.
    Round(u32),
    /// These vote on operation keys from now on.
    Voters(Vec<Node>),
    /// Straight to a process, without keeping it.
    Say(Node, Ballot, Document),
}

/// How calls to the counters are answered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Answers {
    #[default]
    Prompt,
    /// Not yet; the answers are kept, with totals past any quota.
    Withheld,
    /// What was kept comes when the next call does, which is not answered itself.
    Late,
    /// With totals past any quota, from the round before this one.
    Outdated,
}

/// What goes through the counters. Names of leases are odd, those of use are even.
#[derive(Default)]
pub struct Counts {
    /// Requests that others have added to each name of use.
    pub others: AtomicU64,
    /// Requests that were added to names of use so far.
    pub added: AtomicU64,
    /// Leases held under the newest name.
    pub leases: AtomicU64,
    /// Requests that were told to a new holder.
    pub told: AtomicU64,
    /// Answers of no worth that were sent.
    pub stale: AtomicU64,
    pub answers: Mutex<Answers>,
}

/// What becomes of operation keys.
#[derive(Default)]
pub struct Votes {
    /// Claims that came.
    pub claims: AtomicU64,
    /// Claims are not answered.
    pub silent: AtomicBool,
    /// A key's claims are not answered until this gateway has claimed it; 0: whoever is first is answered.
    pub prefers: AtomicU32,
    /// Keys that are held.
    pub held: AtomicU64,
    /// Bytes of answers that are kept.
    pub answer_bytes: AtomicU64,
}

/// Ends when dropped.
pub struct Hive {
    orders: UnboundedSender<Order>,
    pub counts: Arc<Counts>,
    pub votes: Arc<Votes>,
    pub me: Node,
}

/// The most keys and bytes of answers that the stand-in holds.
const KEYS: usize = 10_000;
const ANSWER_BYTES: usize = 1 << 20;

/// Answers the words that are not of the gossip.
struct Holder {
    gossip: Rc<Gossip>,
    totals: RefCell<BTreeMap<u64, f64>>,
    kept: RefCell<Vec<WireMessage>>,
    counts: Arc<Counts>,
    voter: RefCell<Voter>,
    electorate: Cell<u64>,
    /// Keys whose claims are answered.
    preferred: RefCell<BTreeSet<Key>>,
    votes: Arc<Votes>,
}

impl Holder {
    /// Lets the voter act; what it writes is on disk at once.
    fn vote(&self, act: impl FnOnce(&mut Voter, f64, &mut Vec<Action>)) {
        let (mut voter, now, mut out) = (self.voter.borrow_mut(), self.gossip.now(), Vec::new());
        act(&mut voter, now, &mut out);
        while !out.is_empty() {
            for order in std::mem::take(&mut out) {
                match order {
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

    /// The electorate is these from now on.
    fn voters(&self, members: &[Node]) {
        let index = self.electorate.get() + 1;
        self.electorate.set(index);
        self.vote(|voter, now, out| voter.set_members(now, index, members, &[], out));
    }
}

impl Host for Holder {
    fn on_update(&self, _: Update) {}
    fn on_message(&self, from: Node, word: WireMessage) {
        let answer = match word {
            WireMessage::ClockRequest { sent } => {
                WireMessage::ClockReply { sent, hive: 1000.0 + self.gossip.now() }
            }
            WireMessage::CounterSums { tag, calls, .. } => {
                let mut sums = self.totals.borrow_mut();
                let mut add = |(name, sum, _): (u64, i64, u16)| {
                    let sum = from_fixed(sum);
                    let before = sums.insert(name, sum).unwrap_or(0.0);
                    if name & 1 == 1 {
                        return to_fixed(sum);
                    }
                    self.counts.added.fetch_add((sum - before).max(0.0) as u64, Ordering::SeqCst);
                    to_fixed(sum + self.counts.others.load(Ordering::SeqCst) as f64)
                };
                let totals = calls.into_iter().map(|call| NameTotal(add(call), None)).collect();
                let newest = sums.iter().rev().find(|(name, _)| *name & 1 == 1).map_or(0.0, |(_, sum)| *sum);
                self.counts.leases.store(newest.round() as u64, Ordering::SeqCst);
                let round = round_of_epoch(self.gossip.with_store(|h| h.epoch().0));
                let past = |totals: Vec<NameTotal>| vec![NameTotal(to_fixed(1000.0), None); totals.len()];
                match *self.counts.answers.lock().unwrap() {
                    Answers::Prompt => WireMessage::Totals { tag, round, totals },
                    Answers::Withheld => {
                        let answer = WireMessage::Totals { tag, round, totals: past(totals) };
                        return self.kept.borrow_mut().push(answer);
                    }
                    Answers::Late => {
                        let kept = self.kept.take();
                        self.counts.stale.fetch_add(kept.len() as u64, Ordering::SeqCst);
                        return kept.iter().for_each(|k| self.gossip.post().send(from, k));
                    }
                    Answers::Outdated => {
                        self.counts.stale.fetch_add(1, Ordering::SeqCst);
                        WireMessage::Totals { tag, round: round - 1, totals: past(totals) }
                    }
                }
            }
            WireMessage::CounterReport { told, .. } => {
                let use_of = told.iter().filter(|t| t.name & 1 == 0).map(|t| t.sum).sum::<f64>();
                return self.counts.told.store(use_of.round() as u64, Ordering::SeqCst);
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

fn bytes(what: &Document) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(what, &mut bytes).expect("plain data");
    bytes
}

impl Hive {
    /// Has bound its port when it returns.
    pub fn start(settings: Settings) -> Hive {
        Hive::with(settings, true)
    }
    /// Another voter, which does not hold the duty.
    pub fn voter(settings: Settings) -> Hive {
        Hive::with(settings, false)
    }
    fn with(settings: Settings, holds: bool) -> Hive {
        let (orders, from) = unbounded_channel();
        let hive = Hive { orders, counts: Arc::default(), votes: Arc::default(), me: settings.node_id() };
        let (counts, votes) = (hive.counts.clone(), hive.votes.clone());
        let (bound, is_bound) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
            runtime.expect("a runtime").block_on(run(settings, holds, from, (counts, votes), bound));
        });
        is_bound.recv().expect("its port");
        hive
    }
    /// Tells a document under a ballot of the epoch.
    pub fn document(&self, index: u64, document: Document) {
        let _ = self.orders.send(Order::Document(index, document));
    }
    pub fn rows(&self, number: u64, rows: Vec<ListedServer>) {
        let _ = self.orders.send(Order::Rows(number, rows));
    }
    pub fn round(&self, round: u32) {
        let _ = self.orders.send(Order::Round(round));
    }
    /// It votes among these from now on.
    pub fn votes_among(&self, voters: &[Node]) {
        let _ = self.orders.send(Order::Voters(voters.to_vec()));
    }
    pub fn answers(&self, how: Answers) {
        *self.counts.answers.lock().unwrap() = how;
    }
    /// What an honest holder would not say.
    pub fn say(&self, to: Node, (epoch, index): (u64, u64), document: Document) {
        let _ = self.orders.send(Order::Say(to, Ballot { epoch, index }, document));
    }
}

/// A voter that votes from the start.
fn founder(me: Node) -> voter::Settings {
    voter::Settings { me, seed: 1, founder: true, max_records: KEYS, max_answer_bytes: ANSWER_BYTES }
}

async fn run(
    settings: Settings,
    holds: bool,
    mut orders: UnboundedReceiver<Order>,
    (counts, votes): (Arc<Counts>, Arc<Votes>),
    bound: std::sync::mpsc::Sender<()>,
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
    let gossip = Gossip::open(&settings, card, false).expect("the hive's port");
    let _ = bound.send(());
    let holder = Rc::new(Holder {
        gossip: gossip.clone(),
        totals: RefCell::default(),
        kept: RefCell::default(),
        counts,
        voter: RefCell::new(Voter::new(0.0, founder(gossip.me()), Vec::new(), &mut Vec::new())),
        electorate: Cell::new(0),
        preferred: RefCell::default(),
        votes,
    });
    holder.vote(|voter, now, out| voter.on_saved(now, 1, out));
    holder.voters(&[gossip.me()]);
    let host: Rc<dyn Host> = holder.clone();
    gossip.set_host(Rc::downgrade(&host));
    tokio::task::spawn_local(gossip.clone().run());
    if holds {
        let epoch = Some((epoch_of_round(1, gossip.me()), gossip.me()));
        gossip.publish(Update { epoch, ..Update::default() }, Source::Origin);
    }
    while let Some(order) = orders.recv().await {
        match order {
            Order::Document(index, d) => {
                let state = Some(((1, index), Rc::from(bytes(&d))));
                gossip.publish(Update { state, ..Update::default() }, Source::Origin);
                let print = Tables::new(&d, &settings.zones).map_or(0, |t| t.fingerprints().combined());
                gossip.set_fingerprint(index, print);
            }
            Order::Rows(number, rows) => {
                let list = Some(((1, number), Rc::from(ServerList { number: (1, number), rows }.encode())));
                gossip.publish(Update { list, ..Update::default() }, Source::Origin);
            }
            Order::Round(round) => {
                let epoch = Some((epoch_of_round(round, gossip.me()), gossip.me()));
                gossip.publish(Update { epoch, ..Update::default() }, Source::Origin);
            }
            Order::Voters(members) => holder.voters(&members),
            Order::Say(to, ballot, d) => {
                let state = Some(((ballot.epoch, ballot.index), ByteBuf::from(bytes(&d))));
                let news = WireMessage::Update { digest: Default::default(), state, list: None };
                gossip.post().send(to, &news);
            }
        }
    }
    gossip.post().close();
}
