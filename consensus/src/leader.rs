//! The leader of an epoch: heartbeats, proposals, read barriers.

use crate::cluster;
use crate::{dice, Ballot, Msg, Node, Outcome, Output, Replica, Role, Tally, Value, FRESH, ROUTE};
use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

const HEARTBEAT: f64 = 0.15;
/// Beats asked for by barriers are at least this far apart.
const HEARTBEAT_LEAST: f64 = 0.02;
const RESEND: f64 = 0.25;
/// The leader steps down when its own save takes longer.
const STALL: f64 = 1.2;
/// The leader steps down when no majority answers for so long.
const ALONE: f64 = 2.0;
/// A barrier that isn't reached in this time ends.
const BARRIER: f64 = 2.0;
const BARRIERS_MOST: usize = 256;
const SENT_MOST: usize = 128;

/// A proposal on its way.
struct Flight {
    ticket: Option<u64>,
    ballot: Ballot,
    value: Rc<Value>,
    tally: Tally,
    next_send: f64,
    /// It is sent only once it is on the own disk.
    waits: bool,
}

struct Barrier {
    ticket: u64,
    needs: u64,
    since: f64,
}

pub(crate) struct Leading {
    pub(crate) epoch: u64,
    /// Is what was found when taking over committed?
    pub(crate) won: bool,
    /// Others are judged by their silence after this only.
    pub(crate) since: f64,
    nonce: u64,
    last_heartbeat: f64,
    next_heartbeat: f64,
    /// Nonce and time of the latest heartbeats.
    sent: VecDeque<(u64, f64)>,
    /// The latest heartbeat each one answered: nonce, and when that was sent.
    answered: BTreeMap<Node, (u64, f64)>,
    flight: Option<Flight>,
    queued: Option<(u64, Vec<u8>)>,
    barriers: VecDeque<Barrier>,
}

impl Leading {
    /// Did a majority answer heartbeats sent within `span`?
    pub(crate) fn backed(&self, value: &Value, me: Node, now: f64, span: f64) -> bool {
        let from = (now - span).max(self.since);
        value.carried(|m| m == me || self.answered(m) >= from)
    }

    /// When the latest heartbeat that the node answered was sent.
    pub(crate) fn answered(&self, node: Node) -> f64 {
        self.answered.get(&node).map_or(f64::NEG_INFINITY, |(_, sent)| *sent)
    }

    pub(crate) fn thawed(&mut self, now: f64) {
        self.since = now;
    }

    pub(crate) fn in_flight(&self) -> bool {
        self.flight.is_some()
    }

    pub(crate) fn wake(&self) -> f64 {
        let resend = self.flight.as_ref().map_or(f64::INFINITY, |flight| flight.next_send);
        self.next_heartbeat.min(resend)
    }
}

impl Replica {
    /// The own epoch if this node holds it, has settled all older doubts, and a majority answered lately.
    pub fn leading_epoch(&self, now: f64) -> Option<u64> {
        match &self.role {
            Role::Leading(leading) if leading.won => {
                leading.backed(&self.disk.mem.value, self.me, now, FRESH).then_some(leading.epoch)
            }
            _ => None,
        }
    }

    /// Proposes a new document. A second proposal waits for the first; a third is refused.
    pub fn propose(&mut self, now: f64, ticket: u64, body: Vec<u8>, out: &mut Vec<Output>) {
        self.enter(now);
        let leads = self.leading_epoch(self.now).is_some();
        match &mut self.role {
            Role::Leading(leading) if leads => {
                if leading.queued.is_some() {
                    out.push(Output::Done { ticket, outcome: Outcome::Busy });
                } else {
                    leading.queued = Some((ticket, body));
                    self.launch_queued(out);
                }
            }
            _ => out.push(Output::Done { ticket, outcome: Outcome::NotLeader }),
        }
        self.disk.flush(self.now, out);
    }

    /// Read barrier: `Confirmed` once a majority stood by this epoch after the call.
    pub fn read_barrier(&mut self, now: f64, ticket: u64, out: &mut Vec<Output>) {
        self.enter(now);
        match &mut self.role {
            Role::Leading(leading) if leading.won => {
                if leading.barriers.len() >= BARRIERS_MOST {
                    return out.push(Output::Done { ticket, outcome: Outcome::Busy });
                }
                let (needs, since) = (leading.nonce + 1, self.now);
                leading.barriers.push_back(Barrier { ticket, needs, since });
                leading.next_heartbeat =
                    leading.next_heartbeat.min(self.now.max(leading.last_heartbeat + HEARTBEAT_LEAST));
                if leading.next_heartbeat <= self.now {
                    self.heartbeat(out);
                }
            }
            _ => out.push(Output::Done { ticket, outcome: Outcome::NotLeader }),
        }
    }

    /// The epoch is promised by a majority: settles what was found first.
    pub(crate) fn become_leader(&mut self, epoch: u64, index: u64, value: Rc<Value>, out: &mut Vec<Output>) {
        self.seen = None;
        self.patience = None;
        self.joiners.clear();
        self.role = Role::Leading(Leading {
            epoch,
            won: false,
            since: self.now,
            nonce: dice(&mut self.random) >> 1,
            last_heartbeat: self.now,
            next_heartbeat: self.now,
            sent: VecDeque::new(),
            answered: BTreeMap::new(),
            flight: None,
            queued: None,
            barriers: VecDeque::new(),
        });
        self.launch(None, Ballot { epoch, index }, value, out);
        self.heartbeat(out);
    }

    /// Puts a value on its way, votes for it, and sends it to all that count.
    fn launch(&mut self, ticket: Option<u64>, ballot: Ballot, value: Rc<Value>, out: &mut Vec<Output>) {
        self.take(ballot, value.clone(), self.disk.mem.incarnation.saturating_add(1));
        if let Role::Leading(leading) = &mut self.role {
            let tally = Tally::default();
            // what this node proposes of the members is never known to others alone, see `Learner::own_change`
            let waits = !value.outgoing.is_empty();
            leading.flight = Some(Flight { ticket, ballot, value, tally, next_send: self.now, waits });
            self.send_flight(out);
        }
    }

    /// Puts the next value on its way; none may be on its way.
    pub(crate) fn launch_next(&mut self, ticket: Option<u64>, mut value: Value, out: &mut Vec<Output>) {
        let Role::Leading(leading) = &self.role else { return };
        value.cluster = cluster::next(value.cluster, dice(&mut self.random));
        let ballot = Ballot { epoch: leading.epoch, index: self.disk.mem.ballot.index.saturating_add(1) };
        self.launch(ticket, ballot, Rc::new(value), out);
    }

    fn launch_queued(&mut self, out: &mut Vec<Output>) {
        let Role::Leading(leading) = &mut self.role else { return };
        if leading.flight.is_some() {
            return;
        }
        if let Some((ticket, body)) = leading.queued.take() {
            let Value { members, outgoing, cluster, .. } = &*self.disk.mem.value;
            let (members, outgoing) = (members.clone(), outgoing.clone());
            let value = Value { members, outgoing, body, cluster: *cluster };
            self.launch_next(Some(ticket), value, out);
        }
    }

    fn send_flight(&mut self, out: &mut Vec<Output>) {
        let Role::Leading(Leading { flight: Some(flight), .. }) = &mut self.role else { return };
        flight.next_send = self.now + RESEND.max(flight.value.span());
        if flight.waits {
            return;
        }
        let incarnation = self.disk.mem.incarnation;
        for node in flight.value.others(self.me) {
            if !flight.tally.has(node) {
                let (ballot, value) = (flight.ballot, flight.value.clone());
                out.push(Output::Send(node, Msg::Accept { ballot, value, incarnation }));
            }
        }
    }

    /// Counts the own vote once it is on disk.
    pub(crate) fn vote_if_safe(&mut self, out: &mut Vec<Output>) {
        let (safe, incarnation) = (self.disk.safe.ballot, self.disk.mem.incarnation);
        let Role::Leading(Leading { flight: Some(flight), .. }) = &mut self.role else { return };
        if flight.ballot == safe {
            flight.tally.vote(self.me, incarnation, &[]);
            if std::mem::take(&mut flight.waits) {
                self.send_flight(out);
            }
            self.land_if_carried(out);
        }
    }

    pub(crate) fn on_accepted(
        &mut self,
        from: Node,
        ballot: Ballot,
        incarnation: u64,
        incarnations: Vec<(Node, u64)>,
        out: &mut Vec<Output>,
    ) {
        let Role::Leading(Leading { flight: Some(flight), .. }) = &mut self.role else { return };
        if flight.ballot == ballot {
            flight.tally.vote(from, incarnation, &incarnations);
            self.told.insert(from, ballot);
            self.land_if_carried(out);
        }
    }

    fn land_if_carried(&mut self, out: &mut Vec<Output>) {
        let incarnations = self.incarnations();
        let Role::Leading(leading) = &mut self.role else { return };
        let Some(mut flight) = leading.flight.take() else { return };
        flight.tally.know(&incarnations);
        if !flight.value.carried(|m| flight.tally.has(m)) {
            leading.flight = Some(flight);
            return;
        }
        let first = !std::mem::replace(&mut leading.won, true);
        let epoch = leading.epoch;
        self.commit(flight.ballot, flight.value, out);
        if first {
            out.push(Output::BecameLeader(epoch));
        }
        if let Some(ticket) = flight.ticket {
            out.push(Output::Done { ticket, outcome: Outcome::Committed(flight.ballot) });
        }
        self.heartbeat(out);
        self.launch_queued(out);
        self.change_members(out);
        self.quit_if_struck(out);
    }

    /// A leader that doesn't count any more hands the duty over as soon as nothing of its own is on its way.
    fn quit_if_struck(&mut self, out: &mut Vec<Output>) {
        let Role::Leading(leading) = &self.role else { return };
        if leading.won && leading.flight.is_none() && !self.member() && self.newest().outgoing.is_empty() {
            self.quit(out);
        }
    }

    fn heartbeat(&mut self, out: &mut Vec<Output>) {
        let commit = self.commit_ballot();
        let Role::Leading(leading) = &mut self.role else { return };
        leading.nonce += 1;
        leading.last_heartbeat = self.now;
        leading.next_heartbeat = self.now + HEARTBEAT;
        if leading.sent.len() == SENT_MOST {
            leading.sent.pop_front();
        }
        leading.sent.push_back((leading.nonce, self.now));
        let (epoch, nonce) = (leading.epoch, leading.nonce);
        let cluster = self.disk.mem.value.cluster;
        for node in self.disk.mem.value.others(self.me) {
            out.push(Output::Send(node, Msg::Heartbeat { epoch, commit, nonce, cluster }));
        }
        self.reach_barriers(out);
    }

    pub(crate) fn on_heartbeat_ok(&mut self, from: Node, epoch: u64, nonce: u64, out: &mut Vec<Output>) {
        let counts = self.disk.mem.value.others(self.me).contains(&from);
        let Role::Leading(leading) = &mut self.role else { return };
        if leading.epoch != epoch || !counts {
            return;
        }
        let Some(&(_, sent)) = leading.sent.iter().find(|(known, _)| *known == nonce) else { return };
        let answered = leading.answered.entry(from).or_insert((nonce, sent));
        if nonce > answered.0 {
            *answered = (nonce, sent);
        }
        self.reach_barriers(out);
    }

    fn reach_barriers(&mut self, out: &mut Vec<Output>) {
        let value = self.disk.mem.value.clone();
        let Role::Leading(leading) = &mut self.role else { return };
        while let Some(barrier) = leading.barriers.front() {
            let needs = barrier.needs;
            let stood = |m: Node| leading.answered.get(&m).is_some_and(|(nonce, _)| *nonce >= needs);
            if leading.nonce < needs || !value.carried(|m| m == self.me || stood(m)) {
                return;
            }
            out.push(Output::Done { ticket: barrier.ticket, outcome: Outcome::Confirmed });
            leading.barriers.pop_front();
        }
    }

    pub(crate) fn leading_tick(&mut self, out: &mut Vec<Output>) {
        let Role::Leading(leading) = &mut self.role else { return };
        let value = &self.disk.mem.value;
        let alone = self.now - leading.since > ALONE && !leading.backed(value, self.me, self.now, ALONE);
        if alone || self.disk.behind(self.now) > STALL {
            return self.quit(out);
        }
        while let Some(barrier) = leading.barriers.front() {
            if self.now - barrier.since <= BARRIER {
                break;
            }
            out.push(Output::Done { ticket: barrier.ticket, outcome: Outcome::NotLeader });
            leading.barriers.pop_front();
        }
        let due = self.now >= leading.next_heartbeat;
        let resend = leading.flight.as_ref().is_some_and(|flight| self.now >= flight.next_send);
        if due {
            self.heartbeat(out);
        }
        if resend {
            self.send_flight(out);
        }
        self.launch_queued(out);
        self.change_members(out);
        self.quit_if_struck(out);
    }

    /// Gives the epoch up and tells so.
    fn quit(&mut self, out: &mut Vec<Output>) {
        let Role::Leading(leading) = &self.role else { return };
        let (epoch, next) = (leading.epoch, self.successor());
        for node in self.disk.mem.value.others(self.me) {
            out.push(Output::Send(node, Msg::StepDown { epoch, next }));
        }
        self.lose(out);
    }

    /// Who is to hold next if this leader gives its epoch up: of the members that answered a heartbeat of the last
    /// moment and don't leave the first in order; 0: none, or this node holds nothing. Followers don't hear each
    /// other while there is a leader, so that left to themselves several stand at once.
    pub fn successor(&self) -> Node {
        let Role::Leading(leading) = &self.role else { return 0 };
        let answers = |m: Node| self.now - leading.answered(m) <= ROUTE;
        let fit = |m: &Node| *m != self.me && answers(*m) && !self.leaves(*m);
        self.newest().members.iter().copied().find(fit).unwrap_or(0)
    }

    /// The epoch is over: ends all that waits for it.
    pub(crate) fn lose(&mut self, out: &mut Vec<Output>) {
        let Role::Leading(leading) = std::mem::replace(&mut self.role, Role::Follower) else { return };
        self.calm = self.now;
        if let Some(ticket) = leading.flight.and_then(|flight| flight.ticket) {
            out.push(Output::Done { ticket, outcome: Outcome::Unknown });
        }
        let queued = leading.queued.map(|(ticket, _)| ticket);
        for ticket in queued.into_iter().chain(leading.barriers.into_iter().map(|barrier| barrier.ticket)) {
            out.push(Output::Done { ticket, outcome: Outcome::NotLeader });
        }
        if leading.won {
            out.push(Output::LostLeadership);
        }
    }
}
