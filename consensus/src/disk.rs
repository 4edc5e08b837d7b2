//! What must be saved, what was, and the answers that wait for it.

use crate::{Msg, Node, Output, PersistentState};
use lupinledge_invariants::{check, Invariant};
use std::collections::VecDeque;
use std::mem::discriminant;

const WAITING_MOST: usize = 128;
const RETRY: f64 = 0.2;

#[derive(Default)]
pub(crate) struct Disk {
    /// Newest state, perhaps not saved yet.
    pub(crate) mem: PersistentState,
    /// State known to be on disk.
    pub(crate) safe: PersistentState,
    version: u64,
    safe_version: u64,
    saving: Option<(u64, PersistentState)>,
    /// When the save under way was first asked for.
    since: Option<f64>,
    retry_at: f64,
    waiting: VecDeque<(u64, Node, Msg)>,
}

impl Disk {
    pub(crate) fn new(kept: PersistentState) -> Disk {
        Disk { mem: kept.clone(), safe: kept, ..Disk::default() }
    }

    /// The state in memory was changed.
    pub(crate) fn changed(&mut self) {
        self.version += 1;
    }

    /// Sends an answer that depends on the present state, once that is saved.
    pub(crate) fn tell(&mut self, to: Node, msg: Msg, out: &mut Vec<Output>) {
        if self.safe_version == self.version {
            self.check_durable(&msg);
            return out.push(Output::Send(to, msg));
        }
        if self.waiting.iter().any(|(_, node, waits)| *node == to && *waits == msg) {
            return;
        }
        if carries(&msg) {
            // who asks anew has no use for the answer to the question before, and a value is large
            self.waiting.retain(|(_, node, waits)| {
                *node != to || !carries(waits) || discriminant(waits) != discriminant(&msg)
            });
        }
        if self.waiting.len() == WAITING_MOST {
            self.waiting.pop_front();
        }
        self.waiting.push_back((self.version, to, msg));
    }

    /// Asks for a save if one is due.
    pub(crate) fn flush(&mut self, now: f64, out: &mut Vec<Output>) {
        if self.saving.is_none() && self.safe_version < self.version && now >= self.retry_at {
            self.since.get_or_insert(now);
            self.saving = Some((self.version, self.mem.clone()));
            out.push(Output::Save(self.version, self.mem.clone()));
        }
    }

    /// Takes the end of a save; true if newer state is on disk now.
    pub(crate) fn saved(&mut self, now: f64, ticket: u64, ok: bool, out: &mut Vec<Output>) -> bool {
        let Some((version, kept)) = self.saving.take_if(|(version, _)| *version == ticket) else {
            return false;
        };
        if !ok {
            // Saved again under a new ticket, so that a late word on this one is not taken for it.
            self.version += 1;
            self.retry_at = now + RETRY;
            return false;
        }
        self.safe = kept;
        self.safe_version = version;
        self.since = None;
        while self.waiting.front().is_some_and(|(needs, ..)| *needs <= version) {
            if let Some((_, to, msg)) = self.waiting.pop_front() {
                self.check_durable(&msg);
                out.push(Output::Send(to, msg));
            }
        }
        true
    }

    /// What is told of the state has to be on disk by now.
    fn check_durable(&self, msg: &Msg) {
        let safe = match msg {
            Msg::Promise { epoch, .. } => self.safe.promised >= *epoch,
            Msg::Accepted { ballot, .. } => self.safe.ballot >= *ballot,
            _ => true,
        };
        let detail = || format!("on disk {:?} {:?}", self.safe.promised, self.safe.ballot);
        check(Invariant::DurableBeforeSent, safe, detail);
    }

    /// How long the save under way takes by now; 0 if none is due.
    pub(crate) fn behind(&self, now: f64) -> f64 {
        self.since.map_or(0.0, |since| now - since)
    }

    pub(crate) fn idle(&self) -> bool {
        self.safe_version == self.version
    }

    /// The process stood still that long: the disk is not to blame.
    pub(crate) fn thawed(&mut self, gap: f64) {
        self.since = self.since.map(|since| since + gap);
    }

    /// When a failed save is to be tried again.
    pub(crate) fn wake(&self) -> Option<f64> {
        (self.saving.is_none() && !self.idle()).then_some(self.retry_at)
    }
}

/// Does the answer hold a value?
fn carries(msg: &Msg) -> bool {
    matches!(
        msg,
        Msg::Promise { value: Some(_), .. }
            | Msg::LearnReply { value: Some(_), .. }
            | Msg::ResumeReply { value: Some(_), .. }
    )
}
