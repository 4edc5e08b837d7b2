//! A process of the core, of its pure parts: agreement, commands, news, counters.

use crate::process::{card, send, Command, Effects, Message, Observation, Reply};
use crate::world::{Effect, StartContext};
use crate::{Flaw, Node};
use lupinledge_config::change_queue::CallerId;
use lupinledge_config::{Answer, ChangeQueue, Decision, Document};
use lupinledge_consensus::{Ballot, Msg, Outcome, Output, PersistentState, Replica, Settings};
use lupinledge_counters::holder::CounterHolder;
use lupinledge_membership::{Disseminator, Member, Source, Standing, Update};
use std::collections::BTreeMap;
use std::rc::Rc;

/// So long an operator waits for an answer, seconds.
pub const ANSWER_WAIT: f64 = 0.9;
/// The zones that there are.
pub const ZONES: [&str; 3] = ["region-0-a", "region-1-a", "region-1-b"];

/// A question to the agreement under way.
struct Asked {
    /// Who is answered; `None`: all who wait for the change whose turn it is, and the next one waits for it.
    ids: Option<Vec<u64>>,
    command: Command,
    /// What is said if the whole confirms that it is still at this epoch and document.
    said: Option<(Answer, u64, Ballot)>,
}

/// See the module.
pub struct Core {
    /// The agreement.
    pub replica: Replica,
    /// Membership and news.
    pub disseminator: Disseminator,
    pub(crate) flaw: Flaw,
    agreed: Option<(Ballot, Rc<Document>)>,
    /// Of it what the edge is told.
    told: Rc<[u8]>,
    leads: Option<u64>,
    /// The epoch whose holder was heard last, or that was held here, and the holder.
    known: (u64, Node),
    pub(crate) duty: CounterHolder,
    /// The epoch that its counters are of, and when they are to be looked at.
    pub(crate) counts: (Option<u64>, f64),
    tickets: u64,
    asked: BTreeMap<u64, Asked>,
    pub(crate) turns: ChangeQueue<Command>,
    /// Who waits for a change: the number of the command, and until when.
    callers: BTreeMap<CallerId, (u64, f64)>,
    hint_at: f64,
    seeds: Vec<Node>,
    me: Node,
    /// For planted faults: the state saved before, and whether it asked for what is committed.
    before: Option<PersistentState>,
    fetched: bool,
}

impl Core {
    /// Begins from what the disk holds; `seeds` found, once.
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
        let swarm = lupinledge_membership::Settings::new(me, run_id, card(me, true), seeds.to_vec(), seed);
        Core {
            replica,
            disseminator: Disseminator::new(now, swarm, false),
            flaw,
            agreed: None,
            told: Rc::from([]),
            leads: None,
            known: (0, 0),
            duty: CounterHolder::default(),
            counts: (None, now),
            tickets: 0,
            asked: BTreeMap::new(),
            turns: ChangeQueue::default(),
            callers: BTreeMap::new(),
            hint_at: now,
            seeds: seeds.to_vec(),
            me,
            before: None,
            fetched: false,
        }
    }

    /// The epoch in which this process spoke for the whole when it last ran.
    pub fn leads(&self) -> Option<u64> {
        self.leads
    }

    /// Commands without a reply yet.
    pub fn pending_commands(&self) -> usize {
        self.asked.len() + self.turns.queued()
    }

    pub(crate) fn next_wake(&self) -> f64 {
        let callers = self.callers.values().map(|caller| caller.1).fold(f64::INFINITY, f64::min);
        self.replica.next_wake().min(self.disseminator.next_wake()).min(self.counts.1).min(callers)
    }

    pub(crate) fn tick(&mut self, now: f64, out: &mut Effects) {
        self.turn(now, out, |replica, out| replica.tick(now, out));
        if now >= self.disseminator.next_wake() {
            send(self.disseminator.tick(now), out);
        }
        if now >= self.counts.1 {
            self.look(now, out);
        }
        self.tire(now, out);
        if now < self.hint_at {
            return;
        }
        self.hint_at = now + 1.0;
        if self.flaw != Flaw::SeedsAlone {
            self.disseminator.set_seeds(self.seeds.iter().chain(self.replica.members()).copied().collect());
        }
        if !self.replica.members().contains(&self.me) || self.replica.leader(now).is_none() {
            let cores = self.disseminator.membership().members().filter(|m| m.card.core).map(|m| m.node);
            let cores: Vec<Node> = self.seeds.iter().copied().chain(cores).collect();
            self.replica.set_hints(&cores);
        }
    }

    /// It leaves by agreement, and serves on meanwhile.
    pub(crate) fn leave(&mut self, now: f64, out: &mut Effects) {
        self.turn(now, out, |replica, out| replica.leave(now, out));
    }

    pub(crate) fn saved(&mut self, now: f64, ticket: u64, ok: bool, out: &mut Effects) {
        self.turn(now, out, |replica, out| replica.save_finished(now, ticket, ok, out));
    }

    pub(crate) fn heard(&mut self, now: f64, from: Node, say: Message, out: &mut Effects) {
        if let Some(counters) = self.duty.counters() {
            counters.record_contact(now, from);
        }
        match say {
            Message::Gossip(said) => {
                let (_, sends) = self.disseminator.receive(now, from, said);
                send(sends, out);
            }
            Message::Consensus(msg) => {
                if matches!(msg, Msg::LearnReply { .. }) {
                    out.push(Effect::Observe(Observation::StateLearned));
                }
                self.turn(now, out, |replica, out| replica.handle_message(now, from, msg, out));
            }
            Message::CounterCall { tag, incarnation, calls } => {
                self.count(now, (from, incarnation), tag, &calls, out)
            }
            Message::Handover { epoch, incarnation, told } => {
                self.gather(now, epoch, (from, incarnation), &told, out)
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

    /// One step of the agreement, and what it orders.
    fn turn(&mut self, now: f64, out: &mut Effects, step: impl FnOnce(&mut Replica, &mut Vec<Output>)) {
        let mut orders = Vec::new();
        step(&mut self.replica, &mut orders);
        for order in orders {
            match order {
                Output::Send(_, Msg::Fetch { .. }) if self.flaw == Flaw::FetchOnce && self.fetched => {}
                Output::Send(_, Msg::CommittedValue { .. }) if self.flaw == Flaw::FetchDeaf => {}
                Output::Send(to, msg) => {
                    self.fetched |= matches!(msg, Msg::Fetch { .. });
                    let stands = match &msg {
                        Msg::Promise { epoch, .. } => Some((*epoch, true)),
                        Msg::Accepted { ballot, .. } => Some((ballot.epoch, true)),
                        Msg::HeartbeatOk { epoch, .. } => Some((*epoch, false)),
                        _ => None,
                    };
                    out.extend(
                        stands.map(|(epoch, kept)| {
                            Effect::Observe(Observation::SupportedEpoch { epoch, kept })
                        }),
                    );
                    out.push(Effect::SendDatagram(to, Message::Consensus(msg)));
                }
                Output::Save(ticket, mut kept) => {
                    if self.flaw == Flaw::PromiseUnsaved {
                        kept.promised = kept.ballot.epoch;
                    }
                    if self.flaw == Flaw::SaveBefore {
                        let now = kept.clone();
                        kept = self.before.replace(now).unwrap_or(kept);
                    }
                    out.push(Effect::Save(ticket, kept));
                }
                Output::Committed(ballot, value) => {
                    let document = match value.body.is_empty() {
                        true => Document::default(),
                        false => rmp_serde::from_slice(&value.body).expect("written by `settle`"),
                    };
                    if self.agreed.as_ref().is_none_or(|agreed| agreed.0 < ballot) {
                        let edge = document.clone().split_accepted().0;
                        let bytes =
                            if value.body.is_empty() { Ok(Vec::new()) } else { rmp_serde::to_vec(&edge) };
                        self.told = bytes.expect("a document can be written").into();
                        self.agreed = Some((ballot, Rc::new(document)));
                    }
                    out.push(Effect::Observe(Observation::Committed(ballot, value)));
                }
                Output::BecameLeader(epoch) => out.push(Effect::Observe(Observation::WonEpoch(epoch))),
                Output::LostLeadership => {}
                Output::Done { ticket, outcome } => self.settled(now, ticket, outcome, out),
            }
        }
        let led = std::mem::replace(&mut self.leads, self.replica.leading_epoch(now));
        if led != self.leads {
            self.counts.1 = now;
        }
        self.news(now, out);
    }

    /// Tells what is known of the duty and the document; the holder as their origin.
    fn news(&mut self, now: f64, out: &mut Effects) {
        let known = self.leads.map(|epoch| (epoch, self.me));
        let known = known.or(self.replica.leader(now).map(|(node, epoch)| (epoch, node)));
        self.known = known.unwrap_or(self.known);
        let held = self.disseminator.store().newest();
        let newer = self.agreed.as_ref().filter(|(ballot, _)| {
            *ballot > Ballot::default()
                && held.state.as_ref().is_none_or(|held| held.0 < (ballot.epoch, ballot.index))
        });
        if newer.is_none() && held.epoch >= known {
            return;
        }
        let state = newer.map(|(ballot, _)| ((ballot.epoch, ballot.index), self.told.clone()));
        let source = if self.leads.is_some() { Source::Origin } else { Source::Settled };
        let (_, sends) = self.disseminator.publish(Update { epoch: known, state, list: None }, source);
        send(sends, out);
    }

    /// A command of an operator.
    pub(crate) fn command(&mut self, now: f64, id: u64, command: Command, out: &mut Effects) {
        if command == Command::Get || self.flaw == Flaw::NoTurn {
            return self.settle(now, Some(vec![id]), &command, out);
        }
        let body = match &command {
            Command::Put(body) => Some(body.clone()),
            _ => None,
        };
        match self.turns.enqueue(command, body.as_deref()) {
            Some(caller) => {
                self.callers.insert(caller, (id, now + ANSWER_WAIT));
                self.next(now, out);
            }
            None => out.push(Effect::Observe(Observation::Replied(id, Reply::Unknown))),
        }
    }

    /// Runs the changes that wait, one at a time.
    fn next(&mut self, now: f64, out: &mut Effects) {
        while let Some(command) = self.turns.start_next() {
            self.settle(now, None, &command, out);
        }
    }

    /// Callers that have waited long are told to come back.
    fn tire(&mut self, now: f64, out: &mut Effects) {
        let tired: Vec<CallerId> = self.callers.iter().filter(|c| c.1 .1 <= now).map(|c| *c.0).collect();
        for caller in tired {
            self.turns.remove_caller(caller);
            let id = self.callers.remove(&caller).map(|caller| caller.0);
            out.extend(id.map(|id| Effect::Observe(Observation::Replied(id, Reply::Unknown))));
        }
        if self.flaw == Flaw::TurnTimed && self.turns.is_running() && !self.turns.has_waiting_callers() {
            self.turns.finish();
            self.next(now, out);
        }
    }

    fn reply(&mut self, ids: Option<Vec<u64>>, reply: Reply, out: &mut Effects) {
        let ids = ids.unwrap_or_else(|| self.ended());
        out.extend(ids.into_iter().map(|id| Effect::Observe(Observation::Replied(id, reply.clone()))));
    }

    /// The change whose turn it was is settled, or there is only something to be said; returns who is to be told.
    fn ended(&mut self) -> Vec<u64> {
        let callers = self.turns.finish().into_iter();
        callers.filter_map(|caller| self.callers.remove(&caller)).map(|caller| caller.0).collect()
    }

    /// What is to be said where this process does not speak for the whole.
    fn elsewhere(&self, now: f64) -> Reply {
        let (epoch, told) = self.disseminator.store().epoch();
        let alive = |m: &Member| m.card.core && m.standing == Standing::Alive;
        let there = told != self.me && self.disseminator.membership().member(told).is_some_and(alive);
        let told =
            (there && epoch >= self.known.0 && self.replica.is_isolated_from(now, told)).then_some(told);
        let stale = (self.flaw == Flaw::StaleRedirect).then_some(self.known.1);
        let to = self
            .replica
            .redirect_target(now)
            .or(told)
            .or(stale)
            .filter(|node| *node != self.me && *node != 0);
        to.map_or(Reply::Unknown, Reply::Redirect)
    }

    fn settle(&mut self, now: f64, ids: Option<Vec<u64>>, command: &Command, out: &mut Effects) {
        let alone =
            self.replica.leader(now).filter(|(node, _)| self.flaw == Flaw::LeadsAlone && *node == self.me);
        let leads = alone.map(|(_, epoch)| epoch).or_else(|| self.replica.leading_epoch(now));
        let (Some(epoch), Some((ballot, document))) = (leads, self.agreed.clone()) else {
            let reply = self.elsewhere(now);
            return self.reply(ids, reply, out);
        };
        let judged = self.flaw.judge(&document, command);
        self.tickets += 1;
        let ticket = self.tickets;
        match judged {
            Decision::Reply(answer) => self.reply(ids, Reply::Answer(answer), out),
            Decision::ReplyIfNewest(answer) if matches!(self.flaw, Flaw::NoConfirm | Flaw::LeadsAlone) => {
                self.reply(ids, Reply::Answer(answer), out);
            }
            Decision::ReplyIfNewest(answer) => {
                // the next change is not held up by it
                let ids = ids.unwrap_or_else(|| self.ended());
                if ids.is_empty() {
                    return;
                }
                let (command, said) = (command.clone(), Some((answer, epoch, ballot)));
                self.asked.insert(ticket, Asked { ids: Some(ids), command, said });
                self.turn(now, out, |replica, out| replica.read_barrier(now, ticket, out));
            }
            Decision::Propose(document) => {
                let body = rmp_serde::to_vec(&document).expect("a document can be written");
                if self.flaw == Flaw::EarlyDone {
                    self.reply(ids, Reply::Answer(Answer::Done), out);
                } else {
                    self.asked.insert(ticket, Asked { ids, command: command.clone(), said: None });
                }
                self.turn(now, out, |replica, out| replica.propose(now, ticket, body, out));
            }
        }
    }

    fn settled(&mut self, now: f64, ticket: u64, how: Outcome, out: &mut Effects) {
        let Some(Asked { ids, command, said }) = self.asked.remove(&ticket) else { return };
        let reply = match (said, how) {
            (Some((answer, epoch, ballot)), Outcome::Confirmed) => {
                let agreed = self.agreed.as_ref().filter(|_| self.replica.leading_epoch(now) == Some(epoch));
                match agreed {
                    Some(now) if now.0 == ballot => Reply::Answer(answer),
                    Some((_, document)) => {
                        match document.decide(command.as_order(), |z| ZONES.contains(&z)) {
                            Decision::ReplyIfNewest(answer) => Reply::Answer(answer),
                            _ => Reply::Unknown,
                        }
                    }
                    None => self.elsewhere(now),
                }
            }
            (None, Outcome::Committed(_)) => Reply::Answer(Answer::Done),
            (None, Outcome::NotLeader) | (Some(_), _) => self.elsewhere(now),
            (None, _) => Reply::Unknown,
        };
        self.reply(ids, reply, out);
        self.next(now, out);
    }
}

impl Command {
    /// As the documents judge it.
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
