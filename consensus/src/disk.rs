//! The newest and the last saved persistent state, and the replies that wait for a save.

use crate::{Msg, Node, Output, PersistentState};
use lupinledge_invariants::{check, Invariant};
use std::collections::VecDeque;
use std::mem::discriminant;

/// Most replies that wait for a save; beyond that the oldest is dropped.
const MAX_PENDING_REPLIES: usize = 128;
/// Pause after a failed save, seconds.
const SAVE_RETRY_INTERVAL: f64 = 0.2;

/// Tracks which version of the persistent state is on disk.
#[derive(Default)]
pub(crate) struct Disk {
    /// Newest state, possibly not saved yet.
    pub(crate) state: PersistentState,
    /// State known to be on disk.
    pub(crate) durable: PersistentState,
    version: u64,
    durable_version: u64,
    save_in_progress: Option<(u64, PersistentState)>,
    /// When the save in progress was first requested; failed attempts don't reset it.
    save_requested_at: Option<f64>,
    retry_at: f64,
    /// Replies with the state version that must be on disk first.
    pending_replies: VecDeque<(u64, Node, Msg)>,
}

impl Disk {
    pub(crate) fn new(state: PersistentState) -> Disk {
        Disk { state: state.clone(), durable: state, ..Disk::default() }
    }

    /// Must be called after each change of `state`.
    pub(crate) fn changed(&mut self) {
        self.version += 1;
    }

    /// Sends a reply that depends on the current state once that state is on disk.
    pub(crate) fn send_when_durable(&mut self, to: Node, msg: Msg, out: &mut Vec<Output>) {
        if self.durable_version == self.version {
            self.check_durable(&msg);
            return out.push(Output::Send(to, msg));
        }
        if self.pending_replies.iter().any(|(_, node, pending)| *node == to && *pending == msg) {
            return;
        }
        if contains_value(&msg) {
            // A node that asks again no longer needs the reply to its previous request, and values are large.
            self.pending_replies.retain(|(_, node, pending)| {
                *node != to || !contains_value(pending) || discriminant(pending) != discriminant(&msg)
            });
        }
        if self.pending_replies.len() == MAX_PENDING_REPLIES {
            self.pending_replies.pop_front();
        }
        self.pending_replies.push_back((self.version, to, msg));
    }

    /// Requests a save if the newest state is not on disk and no save is in progress.
    pub(crate) fn flush(&mut self, now: f64, out: &mut Vec<Output>) {
        if self.save_in_progress.is_none() && self.durable_version < self.version && now >= self.retry_at {
            self.save_requested_at.get_or_insert(now);
            self.save_in_progress = Some((self.version, self.state.clone()));
            out.push(Output::Save(self.version, self.state.clone()));
        }
    }

    /// Handles the end of a save; returns true if a newer state is on disk now.
    pub(crate) fn saved(&mut self, now: f64, ticket: u64, ok: bool, out: &mut Vec<Output>) -> bool {
        let Some((version, state)) = self.save_in_progress.take_if(|(version, _)| *version == ticket) else {
            return false;
        };
        if !ok {
            // The retry gets a new ticket, so that a late result of this attempt is not mistaken for its result.
            self.version += 1;
            self.retry_at = now + SAVE_RETRY_INTERVAL;
            return false;
        }
        self.durable = state;
        self.durable_version = version;
        self.save_requested_at = None;
        while self.pending_replies.front().is_some_and(|(required_version, ..)| *required_version <= version)
        {
            if let Some((_, to, msg)) = self.pending_replies.pop_front() {
                self.check_durable(&msg);
                out.push(Output::Send(to, msg));
            }
        }
        true
    }

    /// Checks the invariant that the state a reply depends on is on disk.
    fn check_durable(&self, msg: &Msg) {
        let durable = match msg {
            Msg::Promise { epoch, .. } => self.durable.promised >= *epoch,
            Msg::Accepted { ballot, .. } => self.durable.ballot >= *ballot,
            _ => true,
        };
        let detail = || format!("on disk {:?} {:?}", self.durable.promised, self.durable.ballot);
        check(Invariant::DurableBeforeSent, durable, detail);
    }

    /// Time since the save in progress was requested; 0 if there is none.
    pub(crate) fn save_duration(&self, now: f64) -> f64 {
        self.save_requested_at.map_or(0.0, |save_requested_at| now - save_requested_at)
    }

    /// Whether the newest state is on disk.
    pub(crate) fn is_synced(&self) -> bool {
        self.durable_version == self.version
    }

    /// Excludes a pause of this process from the duration of the save.
    pub(crate) fn discount_pause(&mut self, pause: f64) {
        self.save_requested_at = self.save_requested_at.map(|save_requested_at| save_requested_at + pause);
    }

    /// When a failed save is due to be retried.
    pub(crate) fn wake(&self) -> Option<f64> {
        (self.save_in_progress.is_none() && !self.is_synced()).then_some(self.retry_at)
    }
}

/// Whether the reply contains a value.
fn contains_value(msg: &Msg) -> bool {
    matches!(
        msg,
        Msg::Promise { value: Some(_), .. }
            | Msg::LearnReply { value: Some(_), .. }
            | Msg::ResumeReply { value: Some(_), .. }
    )
}
