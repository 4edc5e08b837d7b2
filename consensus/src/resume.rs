//! A member that starts with a state asks the others before it votes: its folder may be an older copy, restored from a
//! backup or taken back by a disk that lost its last writes.
//!
//! Whatever a majority accepted or promised with this member's vote is on the disks of its others as well. So once all
//! others have answered, the newest promise and value among the answers hold all that this one may have forgotten; to
//! take them is what a late `Accept` or `Prepare` would do. Those that stay silent are waited for [`SPAN`] at the most:
//! they count as lost then, and an older copy beside as many as may be lost is one loss more than is borne.
//!
//! A member that is told of a vote which it doesn't hold, or of an incarnation that came after the one of its state,
//! or that meets members of another cluster, learns anew as one with an empty disk does.

use crate::learn::{merge_incarnations, Learner};
use crate::{dice, Ballot, Msg, Node, Output, PersistentState, Replica, Role, Value};
use std::rc::Rc;

/// Others are waited for so long, seconds: after a loss of power everywhere all are back within one.
const SPAN: f64 = 1.2;
const RESEND: f64 = 0.1;

pub(crate) struct Resuming {
    nonce: u64,
    since: f64,
    next_send: f64,
    answered: Vec<Node>,
    /// Those that are of another cluster.
    strangers: Vec<Node>,
}

impl Resuming {
    pub(crate) fn new(now: f64, nonce: u64) -> Resuming {
        Resuming { nonce, since: now, next_send: now, answered: Vec::new(), strangers: Vec::new() }
    }
}

impl Replica {
    /// Does this node still ask whether its state is the newest?
    pub fn is_resuming(&self) -> bool {
        self.resuming.is_some()
    }

    pub(crate) fn resume_tick(&mut self, out: &mut Vec<Output>) {
        self.end_resume_if_known();
        let others = self.newest().others(self.me);
        let (have, cluster) = (self.disk.mem.ballot, self.disk.mem.value.cluster);
        let Some(resuming) = self.resuming.as_mut().filter(|resuming| self.now >= resuming.next_send) else {
            return;
        };
        resuming.next_send = self.now + RESEND;
        let nonce = resuming.nonce;
        for node in others {
            // the order in which members stand is of those that were heard lately
            let answered = resuming.answered.contains(&node);
            let msg = if answered { Msg::Alive } else { Msg::Resume { nonce, have, cluster } };
            out.push(Output::Send(node, msg));
        }
    }

    pub(crate) fn resume_wake(&self) -> f64 {
        let wake = |resuming: &Resuming| resuming.next_send.min(resuming.since + SPAN);
        self.resuming.as_ref().map_or(f64::INFINITY, wake)
    }

    /// Another one has started: tells what is held here, once that is on disk.
    pub(crate) fn on_resume(
        &mut self,
        from: Node,
        nonce: u64,
        have: Ballot,
        cluster: u64,
        out: &mut Vec<Output>,
    ) {
        let forgotten = self.told.get(&from).is_some_and(|told| *told > have);
        let other = self.of_another(cluster);
        let PersistentState { promised, ballot, value, incarnations, .. } = &self.disk.mem;
        let value = (*ballot > have || other).then(|| value.clone());
        let (promised, ballot, incarnations) = (*promised, *ballot, incarnations.clone());
        self.disk.tell(
            from,
            Msg::ResumeReply { nonce, promised, ballot, value, incarnations, forgotten },
            out,
        );
    }

    /// `held`: the promise, the ballot and the incarnations of the one that answers.
    pub(crate) fn on_resumed(
        &mut self,
        from: Node,
        nonce: u64,
        held: PersistentState,
        value: Option<Rc<Value>>,
        forgotten: bool,
        out: &mut Vec<Output>,
    ) {
        let other = value.as_ref().is_some_and(|value| self.of_another(value.cluster));
        let Some(resuming) = self.resuming.as_mut().filter(|resuming| resuming.nonce == nonce) else {
            return;
        };
        if other {
            if !resuming.strangers.contains(&from) {
                resuming.strangers.push(from);
            }
            let strangers = resuming.strangers.clone();
            if self.disk.mem.value.carried(|m| strangers.contains(&m)) {
                self.forget(self.disk.mem.incarnation, out);
            }
            return;
        }
        if !resuming.answered.contains(&from) {
            resuming.answered.push(from);
        }
        let own = held.incarnations.iter().find(|kept| kept.0 == self.me).map_or(0, |kept| kept.1);
        if forgotten || own > self.disk.mem.incarnation {
            return self.forget(own.max(self.disk.mem.incarnation), out);
        }
        self.adopt(held, value);
        self.end_resume_if_known();
    }

    /// Takes over what another one holds beyond the own state.
    fn adopt(&mut self, held: PersistentState, value: Option<Rc<Value>>) {
        let me = self.me;
        self.floor = self.floor.max(held.promised);
        let mem = &mut self.disk.mem;
        let before = (mem.promised, mem.ballot, mem.incarnations.clone());
        mem.promised = mem.promised.max(held.promised);
        if let Some(value) = value.filter(|_| held.ballot > mem.ballot) {
            (mem.ballot, mem.value, mem.proposer) = (held.ballot, value, 0);
        }
        merge_incarnations(&mut mem.incarnations, held.incarnations, me);
        if before != (mem.promised, mem.ballot, mem.incarnations.clone()) {
            self.disk.changed();
        }
    }

    fn end_resume_if_known(&mut self) {
        let others = self.newest().others(self.me);
        let Some(resuming) = &self.resuming else { return };
        let all = others.iter().all(|node| resuming.answered.contains(node));
        if !all && self.now < resuming.since + SPAN {
            return;
        }
        self.unanswering = others.into_iter().filter(|node| !resuming.answered.contains(node)).collect();
        self.resuming = None;
        // only the order counts from here on
        self.stand_in_order();
    }

    /// How much longer than this node holds its epoch another one is known to be silent: it answered nothing while
    /// this node was resuming, nor was it heard since.
    pub(crate) fn silent_before(&self, node: Node) -> f64 {
        let silent = self.unanswering.contains(&node) && !self.heard.contains_key(&node);
        if silent {
            SPAN
        } else {
            0.0
        }
    }

    /// The state is not the newest that this node had: it learns anew, after that incarnation.
    pub(crate) fn forget(&mut self, incarnation: u64, out: &mut Vec<Output>) {
        self.lose(out);
        self.hints = self.newest().others(self.me);
        self.learner = Some(Learner::after(self.now, dice(&mut self.random), incarnation));
        self.resuming = None;
        self.committed = None;
        self.role = Role::Follower;
        self.disk.mem = PersistentState { stale: true, owner: self.me, ..PersistentState::default() };
        self.disk.changed();
    }
}
