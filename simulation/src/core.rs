//! A core process assembled from the system's deterministic parts: consensus, commands, membership and counters.

use crate::process::{card, send_gossip, Command, Effects, Message, Observation, Reply};
use crate::world::{Effect, StartContext};
use crate::{Flaw, Node};
use lupinledge_config::change_queue::CallerId;
use lupinledge_config::{Answer, ChangeQueue, Decision, Document};
use lupinledge_consensus::{Ballot, Msg, Outcome, Output, PersistentState, Replica, Settings};
use lupinledge_counters::holder::CounterHolder;
use lupinledge_membership::{Disseminator, Member, Source, Standing, Update};
use std::collections::BTreeMap;
use std::rc::Rc;

/// How long an operator waits for a reply to a change, seconds.
pub const ANSWER_WAIT: f64 = 0.9;
/// All zones.
pub const ZONES: [&str; 3] = ["region-0-a", "region-1-a", "region-1-b"];

/// A proposal or read barrier in progress.
struct Pending {
    /// The commands that get the reply. `None`: all callers of the running change, and the next change waits for it.
    ids: Option<Vec<u64>>,
    command: Command,
    /// For a read barrier: the answer to give if the cluster confirms this epoch and the document is still the one
    /// of this ballot.
    read_answer: Option<(Answer, u64, Ballot)>,
}

/// A core process.
pub struct Core {
    /// The consensus replica.
    pub replica: Replica,
    /// Membership and updates.
    pub disseminator: Disseminator,
    pub(crate) flaw: Flaw,
    committed: Option<(Ballot, Rc<Document>)>,
    /// The part of the committed document that edge nodes receive, encoded.
    edge_document: Rc<[u8]>,
    leading_epoch: Option<u64>,
    /// The epoch, with its holder, that this process held or received a message from last.
    last_holder: (u64, Node),
    pub(crate) counter_holder: CounterHolder,
    /// `.0`: the epoch that the counters belong to. `.1`: when to poll the gateways for them next.
    pub(crate) counter_epoch_and_next_poll: (Option<u64>, f64),
    last_ticket: u64,
    pending: BTreeMap<u64, Pending>,
    pub(crate) changes: ChangeQueue<Command>,
    /// Callers that wait for a change: the id of their command, and when the wait ends.
    callers: BTreeMap<CallerId, (u64, f64)>,
    next_hint: f64,
    seeds: Vec<Node>,
    me: Node,
    /// For [`Flaw::SaveBefore`]: the state of the previous save.
    previous_save: Option<PersistentState>,
    /// For [`Flaw::FetchOnce`]: whether this process has asked for a committed value.
    fetched: bool,
}

impl Core {
    /// Starts from the state on the disk. If the disk was never written, the process forms the cluster
    /// with the other `seeds`.
    pub fn new(
        me: Node,
        context: StartContext<PersistentState>,
        seeds: &[Node],
        tolerate: usize,
        flaw: Flaw,
    ) -> Core {
        let StartContext { now, run_id, seed, saved_state, disk_written, disk } = context;
        disk.write_delay = if flaw == Flaw::DiskLies { 0.6 } else { 0.0 };
        let bootstrap = !disk_written || flaw == Flaw::WipedFounds;
        let replica =
            Replica::new(now, Settings { me, seeds: seeds.to_vec(), bootstrap, seed, tolerate }, saved_state);
        let membership =
            lupinledge_membership::Settings::new(me, run_id, card(me, true), seeds.to_vec(), seed);
        Core {
            replica,
            disseminator: Disseminator::new(now, membership, false),
            flaw,
            committed: None,
            edge_document: Rc::from([]),
            leading_epoch: None,
            last_holder: (0, 0),
            counter_holder: CounterHolder::default(),
            counter_epoch_and_next_poll: (None, now),
            last_ticket: 0,
            pending: BTreeMap::new(),
            changes: ChangeQueue::default(),
            callers: BTreeMap::new(),
            next_hint: now,
            seeds: seeds.to_vec(),
            me,
            previous_save: None,
            fetched: false,
        }
    }

    /// The epoch that this process led with a majority when its replica last handled an input.
    pub fn leading_epoch(&self) -> Option<u64> {
        self.leading_epoch
    }

    /// Number of commands without a reply.
    pub fn pending_commands(&self) -> usize {
        self.pending.len() + self.changes.queued()
    }

    pub(crate) fn next_wake(&self) -> f64 {
        let callers = self.callers.values().map(|caller| caller.1).fold(f64::INFINITY, f64::min);
        self.replica
            .next_wake()
            .min(self.disseminator.next_wake())
            .min(self.counter_epoch_and_next_poll.1)
            .min(callers)
    }

    pub(crate) fn tick(&mut self, now: f64, out: &mut Effects) {
        self.run_replica(now, out, |replica, out| replica.tick(now, out));
        if now >= self.disseminator.next_wake() {
            send_gossip(self.disseminator.tick(now), out);
        }
        if now >= self.counter_epoch_and_next_poll.1 {
            self.poll_counters(now, out);
        }
        self.expire_callers(now, out);
        if now < self.next_hint {
            return;
        }
        self.next_hint = now + 1.0;
        if self.flaw != Flaw::SeedsAlone {
            self.disseminator.set_seeds(self.seeds.iter().chain(self.replica.members()).copied().collect());
        }
        if !self.replica.members().contains(&self.me) || self.replica.leader(now).is_none() {
            let cores = self.disseminator.membership().members().filter(|m| m.card.core).map(|m| m.node);
            let cores: Vec<Node> = self.seeds.iter().copied().chain(cores).collect();
            self.replica.set_hints(&cores);
        }
    }

    /// Starts an orderly shutdown; the process serves until it is replaced.
    pub(crate) fn leave(&mut self, now: f64, out: &mut Effects) {
        self.run_replica(now, out, |replica, out| replica.leave(now, out));
    }

    pub(crate) fn save_finished(&mut self, now: f64, ticket: u64, ok: bool, out: &mut Effects) {
        self.run_replica(now, out, |replica, out| replica.save_finished(now, ticket, ok, out));
    }

    pub(crate) fn handle_message(&mut self, now: f64, from: Node, message: Message, out: &mut Effects) {
        if let Some(counters) = self.counter_holder.counters() {
            counters.record_contact(now, from);
        }
        match message {
            Message::Gossip(message) => {
                let (_, messages) = self.disseminator.receive(now, from, message);
                send_gossip(messages, out);
            }
            Message::Consensus(msg) => {
                if matches!(msg, Msg::LearnReply { .. }) {
                    out.push(Effect::Observe(Observation::StateLearned));
                }
                self.run_replica(now, out, |replica, out| replica.handle_message(now, from, msg, out));
            }
            Message::CounterCall { tag, incarnation, calls } => {
                self.handle_counter_call(now, (from, incarnation), tag, &calls, out)
            }
            Message::Handover { epoch, incarnation, entries } => {
                self.receive_handover(now, epoch, (from, incarnation), &entries, out)
            }
            Message::ClockRequest if self.replica.leading_epoch(now).is_some() => {
                out.push(Effect::SendDatagram(from, Message::ClockReply))
            }
            Message::ClockRequest
            | Message::ClockReply
            | Message::HandoverRequest { .. }
            | Message::CounterReply { .. }
            | Message::Command(..) => {}
        }
    }

    /// Makes one call into the replica and carries out its outputs.
    fn run_replica(
        &mut self,
        now: f64,
        out: &mut Effects,
        call: impl FnOnce(&mut Replica, &mut Vec<Output>),
    ) {
        let mut outputs = Vec::new();
        call(&mut self.replica, &mut outputs);
        for output in outputs {
            match output {
                Output::Send(_, Msg::Fetch { .. }) if self.flaw == Flaw::FetchOnce && self.fetched => {}
                Output::Send(_, Msg::CommittedValue { .. }) if self.flaw == Flaw::FetchDeaf => {}
                Output::Send(to, msg) => {
                    self.fetched |= matches!(msg, Msg::Fetch { .. });
                    let supported = match &msg {
                        Msg::Promise { epoch, .. } => Some((*epoch, true)),
                        Msg::Accepted { ballot, .. } => Some((ballot.epoch, true)),
                        Msg::HeartbeatOk { epoch, .. } => Some((*epoch, false)),
                        _ => None,
                    };
                    out.extend(supported.map(|(epoch, durable)| {
                        Effect::Observe(Observation::SupportedEpoch { epoch, durable })
                    }));
                    out.push(Effect::SendDatagram(to, Message::Consensus(msg)));
                }
                Output::Save(ticket, mut state) => {
                    if self.flaw == Flaw::PromiseUnsaved {
                        state.promised = state.ballot.epoch;
                    }
                    if self.flaw == Flaw::SaveBefore {
                        let latest = state.clone();
                        state = self.previous_save.replace(latest).unwrap_or(state);
                    }
                    out.push(Effect::Save(ticket, state));
                }
                Output::Committed(ballot, value) => {
                    let document = match value.body.is_empty() {
                        true => Document::default(),
                        false => rmp_serde::from_slice(&value.body).expect("encoded by `execute`"),
                    };
                    if self.committed.as_ref().is_none_or(|committed| committed.0 < ballot) {
                        let edge = document.clone().split_accepted().0;
                        let bytes =
                            if value.body.is_empty() { Ok(Vec::new()) } else { rmp_serde::to_vec(&edge) };
                        self.edge_document = bytes.expect("a document can be encoded").into();
                        self.committed = Some((ballot, Rc::new(document)));
                    }
                    out.push(Effect::Observe(Observation::Committed(ballot, value)));
                }
                Output::BecameLeader(epoch) => out.push(Effect::Observe(Observation::WonEpoch(epoch))),
                Output::LostLeadership => {}
                Output::Done { ticket, outcome } => self.on_outcome(now, ticket, outcome, out),
            }
        }
        let previous = std::mem::replace(&mut self.leading_epoch, self.replica.leading_epoch(now));
        if previous != self.leading_epoch {
            self.counter_epoch_and_next_poll.1 = now;
        }
        self.publish(now, out);
    }

    /// Publishes the current holder and the committed document if they are newer than what the disseminator holds.
    /// Only the holder publishes as their origin.
    fn publish(&mut self, now: f64, out: &mut Effects) {
        let holder = self.leading_epoch.map(|epoch| (epoch, self.me));
        let holder = holder.or(self.replica.leader(now).map(|(node, epoch)| (epoch, node)));
        self.last_holder = holder.unwrap_or(self.last_holder);
        let published = self.disseminator.store().newest();
        let newer = self.committed.as_ref().filter(|(ballot, _)| {
            *ballot > Ballot::default()
                && published.state.as_ref().is_none_or(|state| state.0 < (ballot.epoch, ballot.index))
        });
        if newer.is_none() && published.epoch >= holder {
            return;
        }
        let state = newer.map(|(ballot, _)| ((ballot.epoch, ballot.index), self.edge_document.clone()));
        let source = if self.leading_epoch.is_some() { Source::Origin } else { Source::Settled };
        let (_, messages) = self.disseminator.publish(Update { epoch: holder, state, list: None }, source);
        send_gossip(messages, out);
    }

    /// Handles an operator's command.
    pub(crate) fn command(&mut self, now: f64, id: u64, command: Command, out: &mut Effects) {
        if command == Command::Get || self.flaw == Flaw::NoTurn {
            return self.execute(now, Some(vec![id]), &command, out);
        }
        let body = match &command {
            Command::Put(body) => Some(body.clone()),
            _ => None,
        };
        match self.changes.enqueue(command, body.as_deref()) {
            Some(caller) => {
                self.callers.insert(caller, (id, now + ANSWER_WAIT));
                self.run_changes(now, out);
            }
            None => out.push(Effect::Observe(Observation::Replied(id, Reply::Unknown))),
        }
    }

    /// Runs the queued changes, one at a time.
    fn run_changes(&mut self, now: f64, out: &mut Effects) {
        while let Some(command) = self.changes.start_next() {
            self.execute(now, None, &command, out);
        }
    }

    /// Replies to callers whose wait has ended that the outcome is unknown.
    fn expire_callers(&mut self, now: f64, out: &mut Effects) {
        let expired: Vec<CallerId> = self.callers.iter().filter(|c| c.1 .1 <= now).map(|c| *c.0).collect();
        for caller in expired {
            self.changes.remove_caller(caller);
            let id = self.callers.remove(&caller).map(|caller| caller.0);
            out.extend(id.map(|id| Effect::Observe(Observation::Replied(id, Reply::Unknown))));
        }
        if self.flaw == Flaw::TurnTimed && self.changes.is_running() && !self.changes.has_waiting_callers() {
            self.changes.finish();
            self.run_changes(now, out);
        }
    }

    fn reply(&mut self, ids: Option<Vec<u64>>, reply: Reply, out: &mut Effects) {
        let ids = ids.unwrap_or_else(|| self.finish_change());
        out.extend(ids.into_iter().map(|id| Effect::Observe(Observation::Replied(id, reply.clone()))));
    }

    /// Ends the running change, because it is settled or needs no proposal; returns the commands that get the reply.
    fn finish_change(&mut self) -> Vec<u64> {
        let callers = self.changes.finish().into_iter();
        callers.filter_map(|caller| self.callers.remove(&caller)).map(|caller| caller.0).collect()
    }

    /// The reply of a process that is not the leader: a redirect to the leader that its replica knows, else to the
    /// published holder; [`Reply::Unknown`] without either. The published holder counts only if it is listed as alive,
    /// its epoch is not older than the last one seen, and the replica is isolated from it.
    fn redirect(&self, now: f64) -> Reply {
        let (epoch, published) = self.disseminator.store().epoch();
        let alive = |m: &Member| m.card.core && m.standing == Standing::Alive;
        let reachable =
            published != self.me && self.disseminator.membership().member(published).is_some_and(alive);
        let published =
            (reachable && epoch >= self.last_holder.0 && self.replica.is_isolated_from(now, published))
                .then_some(published);
        let stale = (self.flaw == Flaw::StaleRedirect).then_some(self.last_holder.1);
        let to = self
            .replica
            .redirect_target(now)
            .or(published)
            .or(stale)
            .filter(|node| *node != self.me && *node != 0);
        to.map_or(Reply::Unknown, Reply::Redirect)
    }

    /// Decides a command on the committed document, and replies, starts a read barrier or proposes a new document.
    /// `ids` as in [`Pending`].
    fn execute(&mut self, now: f64, ids: Option<Vec<u64>>, command: &Command, out: &mut Effects) {
        let without_majority =
            self.replica.leader(now).filter(|(node, _)| self.flaw == Flaw::LeadsAlone && *node == self.me);
        let leading = without_majority.map(|(_, epoch)| epoch).or_else(|| self.replica.leading_epoch(now));
        let (Some(epoch), Some((ballot, document))) = (leading, self.committed.clone()) else {
            let reply = self.redirect(now);
            return self.reply(ids, reply, out);
        };
        let decision = self.flaw.decide(&document, command);
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        match decision {
            Decision::Reply(answer) => self.reply(ids, Reply::Answer(answer), out),
            Decision::ReplyIfNewest(answer) if matches!(self.flaw, Flaw::NoConfirm | Flaw::LeadsAlone) => {
                self.reply(ids, Reply::Answer(answer), out);
            }
            Decision::ReplyIfNewest(answer) => {
                // The next change does not wait for the read barrier.
                let ids = ids.unwrap_or_else(|| self.finish_change());
                if ids.is_empty() {
                    return;
                }
                let (command, read_answer) = (command.clone(), Some((answer, epoch, ballot)));
                self.pending.insert(ticket, Pending { ids: Some(ids), command, read_answer });
                self.run_replica(now, out, |replica, out| replica.read_barrier(now, ticket, out));
            }
            Decision::Propose(document) => {
                let body = rmp_serde::to_vec(&document).expect("a document can be encoded");
                if self.flaw == Flaw::EarlyDone {
                    self.reply(ids, Reply::Answer(Answer::Done), out);
                } else {
                    self.pending.insert(ticket, Pending { ids, command: command.clone(), read_answer: None });
                }
                self.run_replica(now, out, |replica, out| replica.propose(now, ticket, body, out));
            }
        }
    }

    /// Replies to the commands of a proposal or read barrier that has ended.
    fn on_outcome(&mut self, now: f64, ticket: u64, outcome: Outcome, out: &mut Effects) {
        let Some(Pending { ids, command, read_answer }) = self.pending.remove(&ticket) else { return };
        let reply = match (read_answer, outcome) {
            (Some((answer, epoch, ballot)), Outcome::Confirmed) => {
                let committed =
                    self.committed.as_ref().filter(|_| self.replica.leading_epoch(now) == Some(epoch));
                match committed {
                    Some(current) if current.0 == ballot => Reply::Answer(answer),
                    Some((_, document)) => {
                        match document.decide(command.as_order(), |z| ZONES.contains(&z)) {
                            Decision::ReplyIfNewest(answer) => Reply::Answer(answer),
                            _ => Reply::Unknown,
                        }
                    }
                    None => self.redirect(now),
                }
            }
            (None, Outcome::Committed(_)) => Reply::Answer(Answer::Done),
            (None, Outcome::NotLeader) | (Some(_), _) => self.redirect(now),
            (None, _) => Reply::Unknown,
        };
        self.reply(ids, reply, out);
        self.run_changes(now, out);
    }
}

impl Command {
    /// Converts to the command type of the config crate.
    pub fn as_order(&self) -> lupinledge_config::Order<'_> {
        use lupinledge_config::Order;
        match self {
            Command::Put(body) => Order::Put(body),
            Command::Get => Order::Get,
            Command::Evacuate(zone) => Order::Evacuate(zone),
            Command::Restore(zone) => Order::Restore(zone),
        }
    }
}
