//! A voter: decides which claim each key is granted to, and what must be on disk before a reply is sent.

mod catch_up;
mod held_keys;
mod learner;
mod record_exchange;
mod restore;
mod transfers;

use crate::electorate::{Electorate, ElectorateId, Incarnation};
use crate::message::{Message, Progress, Verdict};
use crate::record::{ClaimId, Entry, Fingerprint, Key, Record};
use crate::record_coverage::RecordCoverage;
use crate::Node;
use catch_up::CatchUp;
use held_keys::{HeldKeys, MAX_KEEP};
use learner::Learner;
use std::collections::BTreeMap;
use transfers::TransferPart;

/// Seconds between messages that send the electorate to the other voters.
const ELECTORATE_INTERVAL: f64 = 1.0;
/// Settings of a voter.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The address of this voter.
    pub me: Node,
    /// Seed of the random numbers; must differ between starts.
    pub seed: u64,
    /// Whether a voter with an empty journal votes without learning: it founds the system, or this is its first journal.
    pub founder: bool,
    /// Bound on the number of keys that are held.
    pub max_records: usize,
    /// Bound on the bytes of answers that are held.
    pub max_answer_bytes: usize,
}

/// A message that is sent once the journal is on disk up to some number.
enum Deferred {
    /// The vote for a granted claim, with the electorate id that the gateway sent.
    Granted(ClaimId, ElectorateId),
    Message(Message),
}

impl Deferred {
    fn is_vote(&self) -> bool {
        matches!(self, Deferred::Granted(..))
    }
}

/// An action for the driver to carry out, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a gateway or another voter.
    Send(Node, Message),
    /// Append this to the journal and sync it; then call [`Voter::on_saved`] with the number.
    Append {
        /// Number of the entry; numbers start at 1 and increase by one.
        number: u64,
        /// The entry to append.
        entry: Entry,
        /// Seconds for which the entry is needed; `None`: until a later entry of its kind is on disk.
        keep_s: Option<f64>,
        /// If false, nothing waits for this entry, and it may be written together with the next urgent one.
        urgent: bool,
    },
}

/// How far this voter is with learning.
enum Role {
    Learning(Learner),
    /// Learning is done; the voter votes once this number of the journal is on disk.
    Recording(u64),
    Ready,
}

/// The voter of one machine.
pub struct Voter {
    settings: Settings,
    now: f64,
    random: u64,
    electorate: Electorate,
    incarnation: Incarnation,
    role: Role,
    held: HeldKeys,
    /// Number of the last entry that was appended.
    appended: u64,
    /// Number up to which the journal is on disk.
    saved: u64,
    /// Messages to send once the journal is on disk up to their number.
    deferred_sends: BTreeMap<u64, Vec<(Node, Deferred)>>,
    /// Whether the journal has room for further claims and answers.
    has_room: bool,
    coverage: RecordCoverage,
    /// Set while this voter fetches the records of others because members were removed.
    catch_up: Option<CatchUp>,
    next_electorate_update: f64,
}

impl Voter {
    /// Creates a voter from the entries of its journal, in order.
    pub fn new(now: f64, settings: Settings, entries: Vec<Entry>, out: &mut Vec<Action>) -> Voter {
        let empty = entries.is_empty();
        let mut voter = Voter {
            settings,
            now,
            random: settings.seed ^ u64::from(settings.me) << 32,
            electorate: Electorate::default(),
            incarnation: Incarnation::default(),
            role: Role::Ready,
            held: HeldKeys::new(),
            appended: 0,
            saved: 0,
            deferred_sends: BTreeMap::new(),
            has_room: true,
            coverage: RecordCoverage::default(),
            catch_up: None,
            next_electorate_update: now,
        };
        let ready = voter.replay(entries);
        if empty && settings.founder {
            voter.append_complete(out);
            voter.append(voter.ready_entry(), None, true, out);
        } else if !ready {
            voter.begin_learning(1);
            voter.append(Entry::Electorate(voter.electorate.clone()), None, true, out);
        }
        voter.update_catch_up(out);
        voter
    }

    /// Whether this voter takes part in votes.
    pub fn can_vote(&self) -> bool {
        let member = self.electorate.is_voter(self.settings.me);
        matches!(self.role, Role::Ready) && member && self.coverage.majority_holds_all()
    }

    /// Whether this voter fetches the records of other voters because members were removed.
    pub fn is_catching_up(&self) -> bool {
        self.catch_up.is_some()
    }

    /// Whether this voter fetches the records of the other voters, or is writing them to its journal.
    pub fn is_learning(&self) -> bool {
        !matches!(self.role, Role::Ready)
    }

    /// Number of the last entry that was appended.
    pub fn appended(&self) -> u64 {
        self.appended
    }

    /// Sets whether the journal has room. Without room, no further claim is granted and no answer is stored.
    pub fn set_room(&mut self, has_room: bool) {
        self.has_room = has_room;
    }

    /// Number of keys that are held.
    pub fn records(&self) -> usize {
        self.held.len()
    }

    /// Bytes of all answers that are held.
    pub fn answer_bytes(&self) -> usize {
        self.held.answer_bytes()
    }

    /// Sets the members of the newest committed consensus value, and the previous members during a change.
    pub fn set_members(
        &mut self,
        now: f64,
        index: u64,
        members: &[Node],
        outgoing: &[Node],
        out: &mut Vec<Action>,
    ) {
        self.advance_clock(now);
        let before = self.electorate.clone();
        if self.electorate.adopt_members(index, members, outgoing) {
            self.electorate_changed(&before, out);
        }
    }

    /// Records that the journal is on disk up to this number, and sends the messages that waited for it.
    pub fn on_saved(&mut self, now: f64, number: u64, out: &mut Vec<Action>) {
        self.advance_clock(now);
        self.saved = self.saved.max(number);
        if matches!(self.role, Role::Recording(ready) if ready <= self.saved) {
            self.role = Role::Ready;
            self.update_catch_up(out);
        }
        let still_waiting = self.deferred_sends.split_off(&(self.saved + 1));
        for (to, deferred) in
            std::mem::replace(&mut self.deferred_sends, still_waiting).into_values().flatten()
        {
            out.push(Action::Send(to, self.message_to_send(deferred)));
        }
    }

    /// Does everything that is due. To be called no later than [`Voter::next_wake`].
    pub fn tick(&mut self, now: f64, out: &mut Vec<Action>) {
        self.advance_clock(now);
        self.held.expire(self.now);
        self.update_catch_up(out);
        self.request_records(out);
        self.request_missing_records(out);
        if self.now >= self.next_electorate_update {
            self.next_electorate_update = self.now + ELECTORATE_INTERVAL;
            for node in self.electorate.others(self.settings.me) {
                out.push(Action::Send(node, Message::ElectorateUpdate(self.electorate.clone())));
            }
        }
    }

    /// Time by which [`Voter::tick`] is to be called.
    pub fn next_wake(&self) -> f64 {
        let next_request = match &self.role {
            Role::Learning(learner) => Some(learner.next_request),
            _ => self.catch_up.as_ref().map(|catch_up| catch_up.next_request),
        };
        next_request.map_or(self.next_electorate_update, |at| at.min(self.next_electorate_update))
    }

    /// Handles a message from a gateway or another voter.
    pub fn on_message(&mut self, now: f64, from: Node, message: Message, out: &mut Vec<Action>) {
        self.advance_clock(now);
        match message {
            Message::Claim { key, claim, fingerprint, keep_s, electorate } if claim.gateway == from => {
                let record = Record { key, claim, fingerprint, keep_s, contested: false };
                match self.decide_claim(record, out) {
                    Verdict::Granted => {
                        let number = self.held.get(key).map_or(0, |held| held.number);
                        self.send_after(number, from, Deferred::Granted(claim, electorate), out);
                    }
                    verdict => out.push(Action::Send(from, self.vote(claim, electorate, verdict))),
                }
            }
            Message::Release { key, claim } if claim.gateway == from => self.release_claim(key, claim, out),
            Message::Store { key, claim, answer } if claim.gateway == from => {
                self.journal_answer(key, claim, answer.into_vec(), out)
            }
            Message::AskProgress { key, claim, tag } => {
                let held = self.held.get(key).filter(|held| held.record.claim == claim);
                let answer = held.and_then(|held| held.answer.as_ref());
                let progress = answer.map_or(Progress::Unknown, |answer| {
                    Progress::Answered(serde_bytes::ByteBuf::from(answer.to_vec()))
                });
                out.push(Action::Send(from, Message::ProgressReply { tag, progress }));
            }
            Message::RequestRecords { incarnation, electorate } => {
                self.send_records(from, incarnation, &electorate, out)
            }
            Message::Records { incarnation, electorate, transfer, part, parts, records } => {
                let part = TransferPart { electorate, transfer, part, parts, records };
                self.receive_records(from, incarnation, part, out)
            }
            Message::IncarnationEnded { number } => {
                if matches!(&self.role, Role::Learning(learner) if learner.incarnation.number <= number) {
                    self.begin_learning(number + 1);
                }
            }
            Message::ElectorateUpdate(electorate) => self.merge(&electorate, out),
            Message::Claim { .. } | Message::Release { .. } | Message::Store { .. } => {}
            Message::Vote { .. } | Message::ProgressReply { .. } => {}
        }
    }

    /// Decides a claim, and journals the grant of a new one.
    fn decide_claim(&mut self, record: Record, out: &mut Vec<Action>) -> Verdict {
        if !self.can_vote() {
            return Verdict::Abstained;
        }
        self.held.expire(self.now);
        if let Some(held) = self.held.get(record.key) {
            if held.record.claim == record.claim && !held.record.contested {
                return Verdict::Granted;
            }
            let Record { claim: by, fingerprint, .. } = held.record;
            return Verdict::Held { by, fingerprint, answered: held.answer.is_some() };
        }
        let valid_keep =
            record.keep_s.is_finite() && record.keep_s > 0.0 && f64::from(record.keep_s) <= MAX_KEEP;
        if !valid_keep || !self.has_room || self.held.len() >= self.settings.max_records {
            return Verdict::Abstained;
        }
        let number = self.append(Entry::Granted(record), Some(f64::from(record.keep_s)), true, out);
        self.held.insert(self.now, record, number);
        Verdict::Granted
    }

    /// Frees the key of a claim whose operation never ran, unless the key is contested.
    fn release_claim(&mut self, key: Key, claim: ClaimId, out: &mut Vec<Action>) {
        self.catch_up.iter_mut().for_each(|catch_up| catch_up.on_release(claim));
        let held = self.held.get(key).map(|held| held.record);
        let Some(record) = held.filter(|record| record.claim == claim && !record.contested) else { return };
        self.held.remove(key);
        self.append(Entry::Released { key, claim }, Some(f64::from(record.keep_s)), false, out);
    }

    /// Stores and journals the answer of an operation, if there is room for it.
    fn journal_answer(&mut self, key: Key, claim: ClaimId, answer: Vec<u8>, out: &mut Vec<Action>) {
        let held = self.held.get(key);
        let Some(held) = held.filter(|h| h.record.claim == claim && h.answer.is_none()) else { return };
        if !self.has_room || self.held.answer_bytes() + answer.len() > self.settings.max_answer_bytes {
            return;
        }
        let keep_s = held.time_left(self.now);
        self.held.store_answer(key, claim, answer.as_slice().into());
        self.append(Entry::Answer { key, claim, answer }, Some(keep_s), false, out);
    }

    fn merge(&mut self, other: &Electorate, out: &mut Vec<Action>) {
        let before = self.electorate.clone();
        if self.electorate.merge(other) {
            self.electorate_changed(&before, out);
        }
    }

    /// Journals the new electorate, and starts learning again if it says that the own incarnation has ended.
    fn electorate_changed(&mut self, before: &Electorate, out: &mut Vec<Action>) {
        self.coverage.on_change(self.now, before, &self.electorate);
        self.append(Entry::Electorate(self.electorate.clone()), None, true, out);
        let current = self.electorate.incarnation(self.settings.me);
        let own = match &self.role {
            Role::Learning(learner) => learner.incarnation,
            Role::Recording(_) | Role::Ready => self.incarnation,
        };
        if current > own {
            self.begin_learning(1);
        } else {
            self.finish_learning(out);
        }
        self.update_catch_up(out);
        self.request_missing_records(out);
        self.next_electorate_update = self.now;
    }

    fn append(&mut self, entry: Entry, keep_s: Option<f64>, urgent: bool, out: &mut Vec<Action>) -> u64 {
        self.appended += 1;
        out.push(Action::Append { number: self.appended, entry, keep_s, urgent });
        self.appended
    }

    /// Sends a message once the journal is on disk up to `number`.
    fn send_after(&mut self, number: u64, to: Node, deferred: Deferred, out: &mut Vec<Action>) {
        if number <= self.saved {
            out.push(Action::Send(to, self.message_to_send(deferred)));
        } else {
            let sends = self.deferred_sends.entry(number).or_default();
            // a claim that is repeated while its vote waits gets one vote
            sends.retain(|(node, earlier)| *node != to || !(earlier.is_vote() && deferred.is_vote()));
            sends.push((to, deferred));
        }
    }

    /// The message to send now. A vote is cast under the electorate at the time of sending; a voter that has begun to
    /// learn since then abstains.
    fn message_to_send(&self, deferred: Deferred) -> Message {
        match deferred {
            Deferred::Granted(claim, electorate) => {
                let verdict = if self.can_vote() { Verdict::Granted } else { Verdict::Abstained };
                self.vote(claim, electorate, verdict)
            }
            Deferred::Message(message) => message,
        }
    }

    /// Builds a vote. `gateway_electorate`: the electorate id that the gateway sent.
    fn vote(&self, claim: ClaimId, gateway_electorate: ElectorateId, verdict: Verdict) -> Message {
        let electorate = self.electorate.id();
        let full_electorate = (electorate != gateway_electorate).then(|| self.electorate.clone());
        Message::Vote { claim, electorate, full_electorate, verdict }
    }

    fn advance_clock(&mut self, now: f64) {
        self.now = self.now.max(now);
    }

    /// The next pseudorandom number (splitmix64).
    fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.random;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// The claim and fingerprint under which a key is held, for tests and metrics.
    pub fn holder(&self, key: Key) -> Option<(ClaimId, Fingerprint)> {
        self.held.get(key).map(|held| (held.record.claim, held.record.fingerprint))
    }
}
