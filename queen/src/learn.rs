//! A member whose disk is empty learns from others before it takes part in anything.
//!
//! It takes a new life first, which those it asks keep on disk and tell with each of their votes. So a vote of
//! the life before is counted only where none of them voted after its answer, and their answers tell the rest.

use crate::{dice, Kept, Msg, Node, Out, Queen, Stamp, Value};
use std::rc::Rc;

const RESEND: f64 = 0.3;
const LIVES_MOST: usize = 32;

pub(crate) struct Learner {
    life: u64,
    nonce: u64,
    next_send: f64,
    answered: Vec<Node>,
    promised: u64,
    best: (Stamp, Rc<Value>),
    lives: Vec<(Node, u64, u64)>,
}

impl Learner {
    pub(crate) fn new(now: f64, nonce: u64) -> Learner {
        Learner {
            life: 1,
            nonce,
            next_send: now,
            answered: Vec::new(),
            promised: 0,
            best: Default::default(),
            lives: Vec::new(),
        }
    }

    /// Did as many answer as make sure that one of them holds all that was acknowledged?
    fn complete(&self, me: Node) -> bool {
        let value = &self.best.1;
        if value.roll.len() <= 2 && value.old.is_empty() && value.roll.contains(&me) {
            // Both had to have everything: the other one is enough.
            let others = value.others(me);
            return !others.is_empty() && others.iter().all(|m| self.answered.contains(m));
        }
        value.carried(|m| m != me && self.answered.contains(&m))
    }
}

impl Queen {
    /// All that might be members or know of them.
    pub(crate) fn known(&self) -> Vec<Node> {
        let mut all = self.newest().others(self.me);
        if let Some(learner) = &self.learner {
            all.extend(learner.best.1.others(self.me));
        }
        all.extend(self.seen.map(|seen| seen.node));
        all.extend(self.seeds.iter().chain(&self.hints));
        all.sort_unstable();
        all.dedup();
        all.retain(|&node| node != self.me);
        all
    }

    pub(crate) fn learn_tick(&mut self, out: &mut Vec<Out>) {
        let known = self.known();
        let Some(learner) = &mut self.learner else { return };
        if self.now < learner.next_send {
            return;
        }
        learner.next_send = self.now + RESEND;
        for node in known {
            if !learner.answered.contains(&node) {
                let (life, nonce, have) = (learner.life, learner.nonce, learner.best.0);
                out.push(Out::Send(node, Msg::Learn { life, nonce, have }));
            }
        }
    }

    pub(crate) fn learn_wake(&self) -> f64 {
        self.learner.as_ref().map_or(f64::INFINITY, |learner| learner.next_send)
    }

    /// Another one lost its disk: keeps its new life, then tells what is held here.
    pub(crate) fn on_learn(&mut self, from: Node, life: u64, nonce: u64, have: Stamp, out: &mut Vec<Out>) {
        if self.learner.is_some() || !self.keep_life(from, life, nonce, out) {
            return;
        }
        let mem = &self.disk.mem;
        let value = (mem.stamp >= have).then(|| mem.value.clone());
        let (promised, stamp, lives) = (mem.promised, mem.stamp, mem.lives.clone());
        self.disk.tell(from, Msg::Learnt { life, nonce, promised, stamp, value, lives }, out);
    }

    fn keep_life(&mut self, node: Node, life: u64, nonce: u64, out: &mut Vec<Out>) -> bool {
        let value = self.disk.mem.value.clone();
        let lives = &mut self.disk.mem.lives;
        if let Some(kept) = lives.iter_mut().find(|kept| kept.0 == node) {
            if life < kept.1 || (life == kept.1 && nonce != kept.2) {
                out.push(Out::Send(node, Msg::Relive { life: kept.1 }));
                return false;
            }
            if *kept != (node, life, nonce) {
                *kept = (node, life, nonce);
                self.disk.changed();
            }
            return true;
        }
        if lives.len() >= LIVES_MOST {
            let counts = |m: &Node| value.roll.contains(m) || value.old.contains(m);
            let Some(stranger) = lives.iter().position(|kept| !counts(&kept.0)) else { return false };
            lives.remove(stranger);
        }
        lives.push((node, life, nonce));
        self.disk.changed();
        true
    }

    pub(crate) fn on_relive(&mut self, life: u64) {
        let Some(learner) = &mut self.learner else { return };
        if life >= learner.life {
            *learner =
                Learner { life: life.saturating_add(1), ..Learner::new(self.now, dice(&mut self.random)) };
        }
    }

    pub(crate) fn on_learnt(
        &mut self,
        from: Node,
        life: (u64, u64),
        promised: u64,
        stamp: Stamp,
        value: Option<Rc<Value>>,
        lives: Vec<(Node, u64, u64)>,
    ) {
        let Some(learner) = &mut self.learner else { return };
        if life != (learner.life, learner.nonce) || learner.answered.contains(&from) {
            return;
        }
        match value {
            Some(value) if learner.answered.is_empty() || stamp > learner.best.0 => {
                learner.best = (stamp, value);
            }
            None if stamp > learner.best.0 => return,
            _ => {}
        }
        learner.answered.push(from);
        learner.promised = learner.promised.max(promised).max(stamp.epoch);
        for (node, life, nonce) in lives {
            if let Some(kept) = learner.lives.iter_mut().find(|kept| kept.0 == node) {
                if kept.1 < life {
                    *kept = (node, life, nonce);
                }
            } else if node != self.me && learner.lives.len() < LIVES_MOST {
                learner.lives.push((node, life, nonce));
            }
        }
        if learner.complete(self.me) {
            self.rejoin();
        }
    }

    /// Enough is learnt: from now on this is a member like others, or asks to become one.
    fn rejoin(&mut self) {
        let Some(Learner { life, promised, best: (stamp, value), lives, .. }) = self.learner.take() else {
            return;
        };
        self.disk.mem = Kept { promised, stamp, value, blank: false, life, lives };
        self.disk.changed();
        self.floor = self.floor.max(promised);
        self.calm = self.now;
        self.next_join = self.now;
    }
}
