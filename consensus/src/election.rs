//! ReplicaStatus for an epoch: first asked for without binding anybody, then promised.

use crate::{dice, Ballot, Msg, Node, Output, Replica, Role, Tally, Value};
use std::rc::Rc;

/// So long without a sign of a leader before the first in order stands.
const WAIT: f64 = 0.9;
/// Of that, what one that just started does not wait: it was not there to hear one, and where all were killed there is
/// none. Two heartbeats and a way of a leader that is alive have room in the rest.
pub(crate) const AT_START: f64 = WAIT - 0.4;
/// How much longer each next one in order waits.
const RANK: f64 = 0.25;
/// Members tell each other that they live once the leader was silent for so long.
const UNEASY: f64 = 0.45;
const ALIVE: f64 = 0.2;
/// Who was heard within this span counts in the order.
const ORDER: f64 = 0.7;
const RESEND: f64 = 0.25;
const ASK: f64 = 0.6;
const PREPARE: f64 = 1.5;
const STALL: f64 = 1.2;
const NAP: f64 = 0.3;

pub(crate) struct Asking {
    n: u64,
    since: f64,
    next_send: f64,
    oks: Vec<Node>,
}

impl Asking {
    pub(crate) fn wake(&self) -> f64 {
        self.next_send.min(self.since + ASK)
    }
}

pub(crate) struct Preparing {
    pub(crate) epoch: u64,
    since: f64,
    next_send: f64,
    /// Is the own promise on disk? Nothing is sent before.
    safe: bool,
    tally: Tally,
    best: (Ballot, Rc<Value>),
}

impl Preparing {
    pub(crate) fn wake(&self) -> f64 {
        self.ends().min(if self.safe { self.next_send } else { f64::INFINITY })
    }

    fn ends(&self) -> f64 {
        self.since + if self.safe { PREPARE } else { STALL }
    }
}

impl Replica {
    /// No leader is to be waited for; after `span` only the order counts.
    pub(crate) fn hurry(&mut self, span: f64) {
        self.calm = self.calm.min(self.now - WAIT + span);
    }

    /// Stands in the order from now on at the earliest.
    pub(crate) fn stand_in_order(&mut self) {
        self.calm = self.calm.max(self.now - WAIT);
    }

    /// Waits for so long, beside the order, before the next try.
    fn pause(&mut self, span: f64) {
        let spread = (dice(&mut self.random) % 100) as f64 / 500.0;
        self.calm = self.now - WAIT + span + spread;
    }

    fn stand_at(&self) -> f64 {
        let before = self.newest().members.iter().filter(|&&m| m < self.me && self.live(m, ORDER)).count();
        self.calm + WAIT + before as f64 * RANK
    }

    pub(crate) fn follow_tick(&mut self, out: &mut Vec<Output>) {
        if !self.member() {
            return;
        }
        if self.now >= (self.calm + UNEASY).max(self.next_alive) {
            self.next_alive = self.now + ALIVE;
            for node in self.newest().others(self.me) {
                out.push(Output::Send(node, Msg::Alive));
            }
        }
        if self.now < self.stand_at() || self.leaving.is_some() {
            return;
        }
        if !self.disk.idle() {
            return self.pause(NAP);
        }
        let n = dice(&mut self.random);
        self.role = Role::Asking(Asking { n, since: self.now, next_send: self.now, oks: Vec::new() });
        self.asking_tick(out);
    }

    pub(crate) fn follow_wake(&self) -> f64 {
        if !self.member() {
            return self.now + NAP;
        }
        let stand = if self.leaving.is_some() { f64::INFINITY } else { self.stand_at() };
        (self.calm + UNEASY).max(self.next_alive).min(stand).min(self.now + NAP)
    }

    pub(crate) fn asking_tick(&mut self, out: &mut Vec<Output>) {
        // also who doesn't count as far as this one knows: it may have been cut off while the members changed
        let others = self.known();
        let cluster = self.newest().cluster;
        let Role::Asking(asking) = &mut self.role else { return };
        if self.now >= asking.since + ASK {
            self.role = Role::Follower;
            return self.pause(0.1);
        }
        if self.now >= asking.next_send {
            asking.next_send = self.now + RESEND;
            for node in others {
                if !asking.oks.contains(&node) {
                    out.push(Output::Send(node, Msg::PreVote { n: asking.n, cluster }));
                }
            }
        }
        self.stand_if_asked(out);
    }

    pub(crate) fn on_ask_ok(&mut self, from: Node, n: u64, promised: u64, out: &mut Vec<Output>) {
        self.floor = self.floor.max(promised);
        let others = self.newest().others(self.me);
        let Role::Asking(asking) = &mut self.role else { return };
        if asking.n == n && others.contains(&from) && !asking.oks.contains(&from) {
            asking.oks.push(from);
            self.stand_if_asked(out);
        }
    }

    pub(crate) fn on_ask_no(
        &mut self,
        from: Node,
        promised: u64,
        leader: Node,
        commit: Ballot,
        out: &mut Vec<Output>,
    ) {
        self.floor = self.floor.max(promised);
        self.told_commit(from, commit, out);
        if matches!(self.role, Role::Asking(_)) && leader == from {
            self.role = Role::Follower;
            self.pause(NAP);
        }
    }

    fn stand_if_asked(&mut self, out: &mut Vec<Output>) {
        let Role::Asking(asking) = &self.role else { return };
        if !self.newest().carried(|m| m == self.me || asking.oks.contains(&m)) || !self.disk.idle() {
            return;
        }
        let mem = &mut self.disk.mem;
        let round = (self.floor.max(mem.promised) >> 32).saturating_add(1).min(u64::from(u32::MAX));
        let epoch = round << 32 | u64::from(self.me);
        if epoch <= mem.promised {
            return;
        }
        mem.promised = epoch;
        let best = (mem.ballot, mem.value.clone());
        self.disk.changed();
        self.floor = self.floor.max(epoch);
        let (since, tally) = (self.now, Tally::default());
        self.role =
            Role::Preparing(Preparing { epoch, since, next_send: self.now, safe: false, tally, best });
        self.disk.flush(self.now, out);
    }

    /// Sends the prepares once the own promise is on disk.
    pub(crate) fn prepare_if_safe(&mut self, out: &mut Vec<Output>) {
        let (safe, incarnation) = (self.disk.safe.promised, self.disk.mem.incarnation);
        let Role::Preparing(preparing) = &mut self.role else { return };
        if !preparing.safe && safe >= preparing.epoch {
            preparing.safe = true;
            preparing.since = self.now;
            preparing.tally.vote(self.me, incarnation, &[]);
            self.send_prepares(out);
            self.take_over_if_promised(out);
        }
    }

    pub(crate) fn preparing_tick(&mut self, out: &mut Vec<Output>) {
        let Role::Preparing(preparing) = &self.role else { return };
        if self.now >= preparing.ends() {
            self.role = Role::Follower;
            return self.pause(NAP);
        }
        if preparing.safe && self.now >= preparing.next_send {
            self.send_prepares(out);
        }
    }

    fn send_prepares(&mut self, out: &mut Vec<Output>) {
        let Role::Preparing(preparing) = &mut self.role else { return };
        preparing.next_send = self.now + RESEND;
        for node in preparing.best.1.others(self.me) {
            if !preparing.tally.has(node) {
                let (epoch, have) = (preparing.epoch, preparing.best.0);
                let cluster = preparing.best.1.cluster;
                out.push(Output::Send(node, Msg::Prepare { epoch, have, cluster }));
            }
        }
    }

    pub(crate) fn on_promise(
        &mut self,
        from: Node,
        epoch: u64,
        ballot: Ballot,
        value: Option<Rc<Value>>,
        (incarnation, incarnations): (u64, Vec<(Node, u64)>),
        out: &mut Vec<Output>,
    ) {
        let Role::Preparing(preparing) = &mut self.role else { return };
        if preparing.epoch != epoch || !preparing.safe {
            return;
        }
        let mut wider = false;
        if ballot > preparing.best.0 {
            let Some(value) = value else { return };
            wider = value.members != preparing.best.1.members || value.outgoing != preparing.best.1.outgoing;
            preparing.best = (ballot, value);
        }
        preparing.tally.vote(from, incarnation, &incarnations);
        if wider {
            self.send_prepares(out);
        }
        self.take_over_if_promised(out);
    }

    /// With a majority of promises, in the members of the newest value among them, the epoch is held.
    fn take_over_if_promised(&mut self, out: &mut Vec<Output>) {
        let incarnations = self.incarnations();
        let Role::Preparing(preparing) = &mut self.role else { return };
        preparing.tally.know(&incarnations);
        if preparing.best.1.carried(|m| preparing.tally.has(m)) {
            let (epoch, (ballot, value)) = (preparing.epoch, preparing.best.clone());
            self.become_leader(epoch, ballot.index, value, out);
        }
    }

    pub(crate) fn on_refused(&mut self, epoch: u64, promised: u64, out: &mut Vec<Output>) {
        self.floor = self.floor.max(promised);
        if promised <= epoch {
            return;
        }
        match &self.role {
            Role::Leading(leading) if leading.epoch == epoch => self.lose(out),
            Role::Preparing(preparing) if preparing.epoch == epoch => self.role = Role::Follower,
            _ => return,
        }
        self.pause(NAP);
    }
}
