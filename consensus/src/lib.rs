//! Agreement of the core on one state document under epochs; no I/O.
//!
//! The document and the members of those that count are one value, replaced as a whole. A leader of an epoch
//! proposes values; each is committed when a majority has it on disk. Whoever takes an epoch first hears a
//! majority and proposes the newest value it met again, so nothing committed gets lost. A member whose disk
//! was lost learns from a majority of others before it votes, under a new incarnation that ends its older votes.

mod acceptor;
mod cluster;
mod disk;
mod election;
mod leader;
mod learn;
mod leave;
mod membership;
mod new_cluster;
mod resume;
mod types;

use disk::Disk;
use election::{Asking, Preparing};
use leader::Leading;
use learn::Learner;
pub use new_cluster::{NewClusterError, ReplicaStatus, SILENCE_TIMEOUT};
use resume::Resuming;
use std::{collections::BTreeMap, rc::Rc};
pub use types::*;

/// A longer gap between two calls means that the process stood still.
const GAP: f64 = 0.5;
/// Who was heard less long ago than this counts as live.
const FRESH: f64 = 1.0;
/// Callers are sent to a leader that was heard less long ago than this, seconds: three heartbeats.
const ROUTE: f64 = 0.5;
const HINTS_MOST: usize = 16;
const FETCH_PAUSE: f64 = 0.2;

/// A leader as heard of.
#[derive(Clone, Copy)]
pub(crate) struct Seen {
    node: Node,
    epoch: u64,
    at: f64,
}

pub(crate) enum Role {
    Follower,
    Asking(Asking),
    Preparing(Preparing),
    Leading(Leading),
}

/// One member of the core.
pub struct Replica {
    me: Node,
    seeds: Vec<Node>,
    hints: Vec<Node>,
    now: f64,
    random: u64,
    disk: Disk,
    committed: Option<(Ballot, Rc<Value>)>,
    /// Highest epoch heard of.
    floor: u64,
    /// Highest epoch that its leader gave up.
    over: u64,
    /// When this process began.
    started: f64,
    /// Whose last word was that they learn.
    learning: Vec<Node>,
    /// Last word of each member and joiner.
    heard: BTreeMap<Node, f64>,
    seen: Option<Seen>,
    /// Since when there was no sign of a leader or of one to come.
    calm: f64,
    /// The candidate that was promised an epoch, and until when others are put off.
    patience: Option<(Node, f64)>,
    /// Some: the disk was empty, and no part is taken in any vote.
    learner: Option<Learner>,
    /// Some: it has just started, and asks the others whether its state is the newest before it votes.
    resuming: Option<Resuming>,
    /// Who answered nothing while this process was resuming.
    unanswering: Vec<Node>,
    /// Up to which ballot others told this process that they voted.
    told: BTreeMap<Node, Ballot>,
    role: Role,
    /// Who asks to be admitted: since when, and when last.
    joiners: BTreeMap<Node, (f64, f64)>,
    /// When somebody who doesn't count asked to be admitted last.
    join_heard: f64,
    /// Who said that it leaves, and when last.
    leavers: BTreeMap<Node, f64>,
    /// This node leaves: since when, and when it says so next.
    leaving: Option<(f64, f64)>,
    /// The members that are to be had at the least, so that the losses to be borne leave a majority.
    least: usize,
    next_alive: f64,
    next_join: f64,
    next_fetch: f64,
}

impl Replica {
    /// `kept` is what the disk held, None if it was empty.
    pub fn new(now: f64, settings: Settings, kept: Option<PersistentState>) -> Replica {
        let Settings { me, mut seeds, bootstrap, seed, tolerate } = settings;
        let least = tolerate.saturating_mul(2).saturating_add(1).clamp(membership::MIN_MEMBERS, MAX_MEMBERS);
        seeds.sort_unstable();
        seeds.dedup();
        // who had a state once founds nothing, whatever became of that
        let founds = kept.is_none() && bootstrap && seeds.contains(&me);
        let kept = kept.filter(|kept| !kept.stale && (kept.owner == me || kept.owner == 0));
        let mut random = seed ^ (u64::from(me) << 32);
        let learner = (kept.is_none() && !founds).then(|| Learner::new(now, dice(&mut random)));
        let resuming = kept.is_some().then(|| Resuming::new(now, dice(&mut random)));
        let mut disk = Disk::new(kept.unwrap_or_default());
        disk.mem.owner = me;
        if founds {
            disk.mem.value = Rc::new(Value { members: seeds.clone(), ..Value::default() });
            disk.changed();
        }
        Replica {
            me,
            seeds,
            hints: Vec::new(),
            now,
            random,
            floor: disk.mem.promised,
            over: 0,
            disk,
            committed: None,
            started: now,
            learning: Vec::new(),
            heard: BTreeMap::new(),
            seen: None,
            // a leader that is alive is heard within two heartbeats; nobody else is to be waited for
            calm: now - election::AT_START,
            patience: None,
            learner,
            resuming,
            unanswering: Vec::new(),
            told: BTreeMap::new(),
            role: Role::Follower,
            joiners: BTreeMap::new(),
            join_heard: f64::NEG_INFINITY,
            leavers: BTreeMap::new(),
            leaving: None,
            least,
            next_alive: now,
            next_join: now,
            next_fetch: now,
        }
    }

    /// To be called right after `new`, and no later than `next_wake`.
    pub fn tick(&mut self, now: f64, out: &mut Vec<Output>) {
        self.enter(now);
        self.resume_tick(out);
        if self.learner.is_some() {
            self.learn_tick(out);
        } else if self.resuming.is_none() {
            match self.role {
                Role::Follower => self.follow_tick(out),
                Role::Asking(_) => self.asking_tick(out),
                Role::Preparing(_) => self.preparing_tick(out),
                Role::Leading(_) => self.leading_tick(out),
            }
            self.join_tick(out);
        }
        self.leave_tick(out);
        self.disk.flush(self.now, out);
    }

    /// When `tick` is to be called at the latest.
    pub fn next_wake(&self) -> f64 {
        let role = match &self.role {
            _ if self.learner.is_some() => self.learn_wake(),
            _ if self.resuming.is_some() => self.resume_wake(),
            Role::Follower => self.follow_wake(),
            Role::Asking(asking) => asking.wake(),
            Role::Preparing(preparing) => preparing.wake(),
            Role::Leading(leading) => leading.wake(),
        };
        let settled = self.learner.is_none() && self.resuming.is_none();
        let joins = settled && self.leaving.is_none() && !self.member() && self.disk.idle();
        let join = if joins { self.next_join } else { f64::INFINITY };
        role.min(join).min(self.leave_wake()).min(self.disk.wake().unwrap_or(f64::INFINITY)).max(self.now)
    }

    /// A message came in.
    pub fn handle_message(&mut self, now: f64, from: Node, msg: Msg, out: &mut Vec<Output>) {
        self.enter(now);
        if from == self.me {
            return;
        }
        if self.heard.contains_key(&from) || self.heard.len() < 4 * MAX_MEMBERS {
            self.heard.insert(from, self.now);
        }
        self.note_learner(from, &msg);
        self.back_if_late(from, &msg);
        if self.drops(from, &msg, out) {
            return self.disk.flush(self.now, out);
        }
        if self.resuming.is_some() && waits_for_resume(&msg) {
            return;
        }
        match msg {
            Msg::Alive => {}
            Msg::PreVote { n, .. } => self.on_ask(from, n, out),
            Msg::PreVoteGranted { n, promised } => self.on_ask_ok(from, n, promised, out),
            Msg::PreVoteRefused { promised, leader, commit, .. } => {
                self.on_ask_no(from, promised, leader, commit, out)
            }
            Msg::Prepare { epoch, have, .. } => self.on_prepare(from, epoch, have, out),
            Msg::Promise { epoch, ballot, value, incarnation, incarnations } => {
                self.on_promise(from, epoch, ballot, value, (incarnation, incarnations), out);
            }
            Msg::Accept { ballot, value, incarnation } => {
                self.on_accept(from, ballot, value, incarnation, out)
            }
            Msg::Accepted { ballot, incarnation, incarnations } => {
                self.on_accepted(from, ballot, incarnation, incarnations, out)
            }
            Msg::Refused { epoch, promised, commit } => {
                self.told_commit(from, commit, out);
                self.on_refused(epoch, promised, out);
            }
            Msg::Heartbeat { epoch, commit, nonce, .. } => self.on_heartbeat(from, epoch, commit, nonce, out),
            Msg::HeartbeatOk { epoch, nonce } => self.on_heartbeat_ok(from, epoch, nonce, out),
            Msg::StepDown { epoch, next } => self.on_quit(from, epoch, next),
            Msg::Fetch { have } => self.on_fetch(from, have, out),
            Msg::CommittedValue { ballot, value } => self.on_news(ballot, value, out),
            Msg::Learn { incarnation, nonce, have, cluster } => {
                self.on_learn(from, (incarnation, nonce), have, cluster, out)
            }
            Msg::LearnReply { incarnation, nonce, promised, ballot, value, incarnations, proposer } => {
                let held = PersistentState {
                    promised,
                    ballot,
                    incarnations,
                    proposer,
                    ..PersistentState::default()
                };
                self.on_learnt(from, (incarnation, nonce), held, value);
            }
            Msg::NewerIncarnation { incarnation } => self.on_newer_incarnation(incarnation),
            Msg::Resume { nonce, have, cluster } => self.on_resume(from, nonce, have, cluster, out),
            Msg::ResumeReply { nonce, promised, ballot, value, incarnations, forgotten } => {
                let held = PersistentState { promised, ballot, incarnations, ..PersistentState::default() };
                self.on_resumed(from, nonce, held, value, forgotten, out);
            }
            Msg::Superseded { .. } => {}
            Msg::Join => self.on_join(from, out),
            Msg::Leave => self.on_leave(from, out),
        }
        self.disk.flush(self.now, out);
    }

    /// The save with this ticket ended; after a failure the newest state is saved again later.
    pub fn save_finished(&mut self, now: f64, ticket: u64, ok: bool, out: &mut Vec<Output>) {
        self.enter(now);
        if self.disk.saved(self.now, ticket, ok, out) {
            self.prepare_if_safe(out);
            self.vote_if_safe(out);
        }
        self.disk.flush(self.now, out);
    }

    /// Other core machines known from elsewhere, to be asked as well while this one is no member or knows no leader.
    pub fn set_hints(&mut self, nodes: &[Node]) {
        self.hints = nodes.iter().copied().take(HINTS_MOST).collect();
    }

    /// Whom this node takes for the leader, and of which epoch.
    pub fn leader(&self, now: f64) -> Option<(Node, u64)> {
        match &self.role {
            Role::Leading(leading) => Some((self.me, leading.epoch)),
            _ => self.seen.filter(|seen| now - seen.at <= FRESH).map(|seen| (seen.node, seen.epoch)),
        }
    }

    /// Where callers are to be sent: to the leader, if it is another node and was heard a moment ago.
    pub fn redirect_target(&self, now: f64) -> Option<Node> {
        let seen = self.seen.filter(|seen| !matches!(self.role, Role::Leading(_)) && now - seen.at <= ROUTE);
        seen.map(|seen| seen.node)
    }

    /// Is it by being cut off that nothing is heard of a leader: neither as many members as make a majority with this
    /// one, nor `node`?
    pub fn is_isolated_from(&self, now: f64, node: Node) -> bool {
        let heard = |m: Node| self.heard.get(&m).is_some_and(|at| now - at <= FRESH);
        !heard(node) && !self.newest().carried(|m| m == self.me || heard(m))
    }

    /// The newest value known to be committed. Its body is empty until one was proposed.
    pub fn committed(&self) -> Option<(Ballot, &Rc<Value>)> {
        self.committed.as_ref().map(|(ballot, value)| (*ballot, value))
    }

    /// Who counts, as far as this node knows; the seeds while it knows nothing.
    pub fn members(&self) -> &[Node] {
        let members = &self.newest().members;
        if members.is_empty() {
            &self.seeds
        } else {
            members
        }
    }

    /// Was the disk empty, and is nothing learnt yet?
    pub fn is_learning(&self) -> bool {
        self.learner.is_some()
    }

    /// Takes the time. Of a standstill of this node only its first part counts as silence of others.
    fn enter(&mut self, now: f64) {
        let gap = now - self.now;
        if gap <= 0.0 {
            return;
        }
        self.now = now;
        if gap > GAP {
            let surplus = gap - GAP;
            for at in self.heard.values_mut().chain(self.leavers.values_mut()) {
                *at += surplus;
            }
            if let Some(seen) = &mut self.seen {
                seen.at += surplus;
            }
            self.calm += surplus;
            self.disk.thawed(surplus);
            if let Role::Leading(leading) = &mut self.role {
                leading.thawed(now);
            }
        }
    }

    /// Is that the number of another cluster than this node's?
    fn of_another(&self, cluster: u64) -> bool {
        cluster::relation(self.newest().cluster, cluster) != cluster::Relation::Same
    }

    /// Notes whether the node has a state, by what it says.
    fn note_learner(&mut self, node: Node, msg: &Msg) {
        match msg {
            // said by both, to a heartbeat
            Msg::Alive => {}
            Msg::Learn { .. } if self.learning.contains(&node) || self.learning.len() == MAX_MEMBERS => {}
            Msg::Learn { .. } => self.learning.push(node),
            _ => self.learning.retain(|&known| known != node),
        }
    }

    /// The newest value met: of the disk, or told to be committed.
    fn newest(&self) -> &Value {
        match &self.committed {
            Some((ballot, value)) if *ballot > self.disk.mem.ballot => value,
            _ => &self.disk.mem.value,
        }
    }

    /// Whether the newest value known here is committed, and no change of the members is under way: until then one more
    /// loss may take the disks that the change rests on.
    pub fn is_settled(&self) -> bool {
        let committed = self.committed.as_ref().is_some_and(|(ballot, _)| *ballot >= self.disk.mem.ballot);
        committed && self.newest().outgoing.is_empty()
    }

    fn member(&self) -> bool {
        self.newest().members.contains(&self.me)
    }

    /// Was the node heard within `span`?
    fn live(&self, node: Node, span: f64) -> bool {
        node == self.me || self.heard.get(&node).is_some_and(|at| self.now - at <= span)
    }

    fn commit_ballot(&self) -> Ballot {
        self.committed.as_ref().map_or(Ballot::default(), |(ballot, _)| *ballot)
    }

    /// Takes a value known to be committed.
    fn commit(&mut self, ballot: Ballot, value: Rc<Value>, out: &mut Vec<Output>) {
        if ballot > self.commit_ballot() {
            self.committed = Some((ballot, value.clone()));
            out.push(Output::Committed(ballot, value));
        }
    }

    /// Another node says that this ballot is committed: applies it, or asks for it.
    fn told_commit(&mut self, from: Node, ballot: Ballot, out: &mut Vec<Output>) {
        if ballot <= self.commit_ballot() {
            return;
        }
        if self.disk.mem.ballot == ballot {
            let value = self.disk.mem.value.clone();
            self.commit(ballot, value, out);
        } else if self.now >= self.next_fetch {
            // what comes will be about as large as what is here
            self.next_fetch = self.now + FETCH_PAUSE.max(self.newest().span());
            out.push(Output::Send(from, Msg::Fetch { have: self.commit_ballot() }));
        }
    }

    /// The incarnations of others that this node's votes go with.
    fn incarnations(&self) -> Vec<(Node, u64)> {
        self.disk.mem.incarnations.iter().map(|&(node, incarnation, _)| (node, incarnation)).collect()
    }
}

/// Is this left unanswered by a member that doesn't know yet whether its state is the newest?
fn waits_for_resume(msg: &Msg) -> bool {
    matches!(msg, Msg::PreVote { .. } | Msg::Prepare { .. } | Msg::Accept { .. } | Msg::Learn { .. })
}

/// The next number of a sequence (splitmix64).
pub(crate) fn dice(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut x = *state;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
