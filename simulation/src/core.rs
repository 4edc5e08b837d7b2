//! A process of the core, of its pure parts: agreement, commands, news, counters.

use crate::process::{card, send, Command, Out, Reply, Say, Told};
use crate::world::{Begin, Order};
use crate::{Flaw, Node};
use lupinledge_config::change_queue::CallerId;
use lupinledge_config::{Answer, ChangeQueue, Decision, Document};
use lupinledge_consensus::{Ballot, Msg, Outcome, Output as Ordered, PersistentState, Replica, Settings};
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
    pub queen: Replica,
    /// Membership and news.
    pub spread: Disseminator,
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
    pub fn new(me: Node, begin: Begin<PersistentState>, seeds: &[Node], tolerate: usize, flaw: Flaw) -> Core {
        let Begin { now, run, seed, kept, used, disk } = begin;
        disk.lies = if flaw == Flaw::DiskLies { 0.6 } else { 0.0 };
        let bootstrap = !used || flaw == Flaw::WipedFounds;
        let queen =
            Replica::new(now, Settings { me, seeds: seeds.to_vec(), bootstrap, seed, tolerate }, kept);
        let swarm = lupinledge_membership::Settings::new(me, run, card(me, true), seeds.to_vec(), seed);
        Core {
            queen,
            spread: Disseminator::new(now, swarm, false),
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
    pub fn unanswered(&self) -> usize {
        self.asked.len() + self.turns.queued()
    }

    pub(crate) fn next_wake(&self) -> f64 {
        let callers = self.callers.values().map(|caller| caller.1).fold(f64::INFINITY, f64::min);
        self.queen.next_wake().min(self.spread.next_wake()).min(self.counts.1).min(callers)
    }

    pub(crate) fn tick(&mut self, now: f64, out: &mut Out) {
        self.turn(now, out, |queen, out| queen.tick(now, out));
        if now >= self.spread.next_wake() {
            send(self.spread.tick(now), out);
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
            self.spread.set_seeds(self.seeds.iter().chain(self.queen.members()).copied().collect());
        }
        if !self.queen.members().contains(&self.me) || self.queen.leader(now).is_none() {
            let cores = self.spread.membership().members().filter(|m| m.card.core).map(|m| m.node);
            let cores: Vec<Node> = self.seeds.iter().copied().chain(cores).collect();
            self.queen.set_hints(&cores);
        }
    }

    /// It leaves by agreement, and serves on meanwhile.
    pub(crate) fn leave(&mut self, now: f64, out: &mut Out) {
        self.turn(now, out, |queen, out| queen.leave(now, out));
    }

    pub(crate) fn saved(&mut self, now: f64, ticket: u64, ok: bool, out: &mut Out) {
        self.turn(now, out, |queen, out| queen.save_finished(now, ticket, ok, out));
    }

    pub(crate) fn heard(&mut self, now: f64, from: Node, say: Say, out: &mut Out) {
        if let Some(counters) = self.duty.counters() {
            counters.record_contact(now, from);
        }
        match say {
            Say::Spread(said) => {
                let (_, sends) = self.spread.receive(now, from, said);
                send(sends, out);
            }
            Say::Queen(msg) => {
                if matches!(msg, Msg::LearnReply { .. }) {
                    out.push(Order::Tell(Told::Learnt));
                }
                self.turn(now, out, |queen, out| queen.handle_message(now, from, msg, out));
            }
            Say::Count { tag, incarnation, calls } => self.count(now, (from, incarnation), tag, &calls, out),
            Say::Told { epoch, incarnation, told } => {
                self.gather(now, epoch, (from, incarnation), &told, out)
            }
            Say::Clock if self.queen.leading_epoch(now).is_some() => {
                out.push(Order::Cast(from, Say::ClockIs))
            }
            Say::Clock | Say::ClockIs | Say::Hold { .. } | Say::Counted { .. } | Say::Command(..) => {}
        }
    }

    /// One step of the agreement, and what it orders.
    fn turn(&mut self, now: f64, out: &mut Out, step: impl FnOnce(&mut Replica, &mut Vec<Ordered>)) {
        let mut orders = Vec::new();
        step(&mut self.queen, &mut orders);
        for order in orders {
            match order {
                Ordered::Send(_, Msg::Fetch { .. }) if self.flaw == Flaw::FetchOnce && self.fetched => {}
                Ordered::Send(_, Msg::CommittedValue { .. }) if self.flaw == Flaw::FetchDeaf => {}
                Ordered::Send(to, msg) => {
                    self.fetched |= matches!(msg, Msg::Fetch { .. });
                    let stands = match &msg {
                        Msg::Promise { epoch, .. } => Some((*epoch, true)),
                        Msg::Accepted { ballot, .. } => Some((ballot.epoch, true)),
                        Msg::HeartbeatOk { epoch, .. } => Some((*epoch, false)),
                        _ => None,
                    };
                    out.extend(stands.map(|(epoch, kept)| Order::Tell(Told::Stands { epoch, kept })));
                    out.push(Order::Cast(to, Say::Queen(msg)));
                }
                Ordered::Save(ticket, mut kept) => {
                    if self.flaw == Flaw::PromiseUnsaved {
                        kept.promised = kept.ballot.epoch;
                    }
                    if self.flaw == Flaw::SaveBefore {
                        let now = kept.clone();
                        kept = self.before.replace(now).unwrap_or(kept);
                    }
                    out.push(Order::Save(ticket, kept));
                }
                Ordered::Committed(ballot, value) => {
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
                    out.push(Order::Tell(Told::Committed(ballot, value)));
                }
                Ordered::BecameLeader(epoch) => out.push(Order::Tell(Told::Won(epoch))),
                Ordered::LostLeadership => {}
                Ordered::Done { ticket, outcome } => self.settled(now, ticket, outcome, out),
            }
        }
        let led = std::mem::replace(&mut self.leads, self.queen.leading_epoch(now));
        if led != self.leads {
            self.counts.1 = now;
        }
        self.news(now, out);
    }

    /// Tells what is known of the duty and the document; the holder as their origin.
    fn news(&mut self, now: f64, out: &mut Out) {
        let known = self.leads.map(|epoch| (epoch, self.me));
        let known = known.or(self.queen.leader(now).map(|(node, epoch)| (epoch, node)));
        self.known = known.unwrap_or(self.known);
        let held = self.spread.store().newest();
        let newer = self.agreed.as_ref().filter(|(ballot, _)| {
            *ballot > Ballot::default()
                && held.state.as_ref().is_none_or(|held| held.0 < (ballot.epoch, ballot.index))
        });
        if newer.is_none() && held.epoch >= known {
            return;
        }
        let state = newer.map(|(ballot, _)| ((ballot.epoch, ballot.index), self.told.clone()));
        let source = if self.leads.is_some() { Source::Origin } else { Source::Settled };
        let (_, sends) = self.spread.publish(Update { epoch: known, state, list: None }, source);
        send(sends, out);
    }

    /// A command of an operator.
    pub(crate) fn command(&mut self, now: f64, id: u64, command: Command, out: &mut Out) {
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
            None => out.push(Order::Tell(Told::Replied(id, Reply::Later))),
        }
    }

    /// Runs the changes that wait, one at a time.
    fn next(&mut self, now: f64, out: &mut Out) {
        while let Some(command) = self.turns.start_next() {
            self.settle(now, None, &command, out);
        }
    }

    /// Callers that have waited long are told to come back.
    fn tire(&mut self, now: f64, out: &mut Out) {
        let tired: Vec<CallerId> = self.callers.iter().filter(|c| c.1 .1 <= now).map(|c| *c.0).collect();
        for caller in tired {
            self.turns.remove_caller(caller);
            let id = self.callers.remove(&caller).map(|caller| caller.0);
            out.extend(id.map(|id| Order::Tell(Told::Replied(id, Reply::Later))));
        }
        if self.flaw == Flaw::TurnTimed && self.turns.is_running() && !self.turns.has_waiting_callers() {
            self.turns.finish();
            self.next(now, out);
        }
    }

    fn reply(&mut self, ids: Option<Vec<u64>>, reply: Reply, out: &mut Out) {
        let ids = ids.unwrap_or_else(|| self.ended());
        out.extend(ids.into_iter().map(|id| Order::Tell(Told::Replied(id, reply.clone()))));
    }

    /// The change whose turn it was is settled, or there is only something to be said; returns who is to be told.
    fn ended(&mut self) -> Vec<u64> {
        let callers = self.turns.finish().into_iter();
        callers.filter_map(|caller| self.callers.remove(&caller)).map(|caller| caller.0).collect()
    }

    /// What is to be said where this process does not speak for the whole.
    fn elsewhere(&self, now: f64) -> Reply {
        let (epoch, told) = self.spread.store().epoch();
        let alive = |m: &Member| m.card.core && m.standing == Standing::Alive;
        let there = told != self.me && self.spread.membership().member(told).is_some_and(alive);
        let told = (there && epoch >= self.known.0 && self.queen.is_isolated_from(now, told)).then_some(told);
        let stale = (self.flaw == Flaw::StaleRedirect).then_some(self.known.1);
        let to =
            self.queen.redirect_target(now).or(told).or(stale).filter(|node| *node != self.me && *node != 0);
        to.map_or(Reply::Later, Reply::Elsewhere)
    }

    fn settle(&mut self, now: f64, ids: Option<Vec<u64>>, command: &Command, out: &mut Out) {
        let alone =
            self.queen.leader(now).filter(|(node, _)| self.flaw == Flaw::LeadsAlone && *node == self.me);
        let leads = alone.map(|(_, epoch)| epoch).or_else(|| self.queen.leading_epoch(now));
        let (Some(epoch), Some((ballot, document))) = (leads, self.agreed.clone()) else {
            let reply = self.elsewhere(now);
            return self.reply(ids, reply, out);
        };
        let judged = self.flaw.judge(&document, command);
        self.tickets += 1;
        let ticket = self.tickets;
        match judged {
            Decision::Reply(answer) => self.reply(ids, Reply::GossipMessage(answer), out),
            Decision::ReplyIfNewest(answer) if matches!(self.flaw, Flaw::NoConfirm | Flaw::LeadsAlone) => {
                self.reply(ids, Reply::GossipMessage(answer), out);
            }
            Decision::ReplyIfNewest(answer) => {
                // the next change is not held up by it
                let ids = ids.unwrap_or_else(|| self.ended());
                if ids.is_empty() {
                    return;
                }
                let (command, said) = (command.clone(), Some((answer, epoch, ballot)));
                self.asked.insert(ticket, Asked { ids: Some(ids), command, said });
                self.turn(now, out, |queen, out| queen.read_barrier(now, ticket, out));
            }
            Decision::Propose(document) => {
                let body = rmp_serde::to_vec(&document).expect("a document can be written");
                if self.flaw == Flaw::EarlyDone {
                    self.reply(ids, Reply::GossipMessage(Answer::Done), out);
                } else {
                    self.asked.insert(ticket, Asked { ids, command: command.clone(), said: None });
                }
                self.turn(now, out, |queen, out| queen.propose(now, ticket, body, out));
            }
        }
    }

    fn settled(&mut self, now: f64, ticket: u64, how: Outcome, out: &mut Out) {
        let Some(Asked { ids, command, said }) = self.asked.remove(&ticket) else { return };
        let reply = match (said, how) {
            (Some((answer, epoch, ballot)), Outcome::Confirmed) => {
                let agreed = self.agreed.as_ref().filter(|_| self.queen.leading_epoch(now) == Some(epoch));
                match agreed {
                    Some(now) if now.0 == ballot => Reply::GossipMessage(answer),
                    Some((_, document)) => match document.decide(command.order(), |z| ZONES.contains(&z)) {
                        Decision::ReplyIfNewest(answer) => Reply::GossipMessage(answer),
                        _ => Reply::Later,
                    },
                    None => self.elsewhere(now),
                }
            }
            (None, Outcome::Committed(_)) => Reply::GossipMessage(Answer::Done),
            (None, Outcome::NotLeader) | (Some(_), _) => self.elsewhere(now),
            (None, _) => Reply::Later,
        };
        self.reply(ids, reply, out);
        self.next(now, out);
    }
}

impl Command {
    /// As the documents judge it.
    pub fn order(&self) -> lupinledge_config::Order<'_> {
        use lupinledge_config::Order;
        match self {
            Command::Put(body) => Order::Put(body),
            Command::Get => Order::Get,
            Command::Evacuate(zone) => Order::Evacuate(zone),
            Command::Restore(zone) => Order::Restore(zone),
        }
    }
}
