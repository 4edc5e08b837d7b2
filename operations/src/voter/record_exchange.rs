//! Records that voters fetch from each other: all of them after a lost disk, and those of removed members.

use super::catch_up::CatchUp;
use super::learner::Learner;
use super::transfers::TransferPart;
use super::{Action, Deferred, Role, Voter};
use crate::electorate::{Electorate, Incarnation};
use crate::message::Message;
use crate::record::{Entry, Record};
use crate::Node;

/// Seconds between requests for records.
const REQUEST_INTERVAL: f64 = 0.5;
/// Number of records in one part of a transfer.
const RECORDS_PER_PART: usize = 2048;

impl Voter {
    /// Sends all records to a voter that asks for them. If it learns, journals its new incarnation first, so that votes of
    /// its earlier incarnations are no longer counted together with votes that this voter casts from now on, and sends
    /// nothing while the learner could miss a claim with the records of half of the members. A voter that has lost
    /// nothing, but catches up, tells no electorate.
    pub(super) fn send_records(
        &mut self,
        from: Node,
        incarnation: Incarnation,
        theirs: &Electorate,
        out: &mut Vec<Action>,
    ) {
        let known = self.electorate.incarnation(from);
        if incarnation < known {
            return out.push(Action::Send(from, Message::IncarnationEnded { number: known.number }));
        }
        let before = self.electorate.clone();
        let mut changed = self.electorate.merge(theirs);
        changed |= self.electorate.raise_incarnation(from, incarnation);
        if changed {
            self.electorate_changed(&before, out);
        }
        let learns = !theirs.members.is_empty();
        if !matches!(self.role, Role::Ready) || learns && !self.coverage.half_holds_all() {
            return;
        }
        self.held.expire(self.now);
        let mut records = self.held.records_with_time_left(self.now);
        let parts = records.len().div_ceil(RECORDS_PER_PART).max(1) as u16;
        // a repeated request replaces the reply to the last one that is still waiting
        self.deferred_sends
            .values_mut()
            .for_each(|sends| sends.retain(|(to, deferred)| *to != from || deferred.is_vote()));
        let transfer = self.next_random();
        for part in 0..parts {
            let rest = records.split_off(records.len().min(RECORDS_PER_PART));
            let records = std::mem::replace(&mut records, rest);
            let electorate = self.electorate.clone();
            let message = Message::Records { incarnation, electorate, transfer, part, parts, records };
            self.send_after(self.appended, from, Deferred::Message(message), out);
        }
    }

    /// Handles one part of the records of another voter.
    pub(super) fn receive_records(
        &mut self,
        from: Node,
        incarnation: Incarnation,
        part: TransferPart,
        out: &mut Vec<Action>,
    ) {
        if part.part >= part.parts {
            return;
        }
        let electorate = part.electorate.clone();
        match (&mut self.role, &mut self.catch_up) {
            (Role::Learning(learner), _) if learner.incarnation == incarnation => {
                learner.add_part(from, part)
            }
            (Role::Ready, Some(catch_up)) if self.incarnation == incarnation => catch_up.add_part(from, part),
            _ => return,
        }
        self.merge(&electorate, out);
        self.finish_learning(out);
        self.finish_catch_up(out);
    }

    /// Ends learning once enough voters under the same electorate have sent all their records.
    pub(super) fn finish_learning(&mut self, out: &mut Vec<Action>) {
        let me = self.settings.me;
        let Role::Learning(learner) = &self.role else { return };
        let id = self.electorate.id();
        let has_sent_all = |node: Node| learner.has_all_of(node, id);
        if !self.electorate.is_voter(me) || !self.electorate.covers_every_majority(me, has_sent_all) {
            return;
        }
        // no further records are taken; the role is set for good below, once the number is known
        let Role::Learning(learner) = std::mem::replace(&mut self.role, Role::Recording(u64::MAX)) else {
            return;
        };
        self.incarnation = learner.incarnation;
        for record in learner.into_records() {
            self.merge_record(record, out);
        }
        self.append_complete(out);
        let ready = self.append(self.ready_entry(), None, true, out);
        self.role = Role::Recording(ready);
    }

    /// Starts to fetch records if this voter has become incomplete, or its members have changed since it started to, and
    /// ends that once the claims in question have expired.
    pub(super) fn update_catch_up(&mut self, out: &mut Vec<Action>) {
        if !matches!(self.role, Role::Ready) || self.coverage.half_holds_all() {
            self.catch_up = None;
        } else if self.coverage.earlier_claims_expired(self.now, self.held.longest_keep()) {
            self.catch_up = None;
            self.append_complete(out);
        } else if !self.catch_up.as_ref().is_some_and(|catch_up| catch_up.has_target(&self.electorate)) {
            self.catch_up = Some(CatchUp::new(self.electorate.clone(), self.now));
        }
    }

    /// Requests the records that this voter lacks since members were removed. It tells no electorate, which shows that it
    /// does not learn.
    pub(super) fn request_missing_records(&mut self, out: &mut Vec<Action>) {
        let Some(catch_up) = self.catch_up.as_mut().filter(|catch_up| catch_up.next_request <= self.now)
        else {
            return;
        };
        catch_up.next_request = self.now + REQUEST_INTERVAL;
        let incarnation = self.incarnation;
        for node in catch_up.members_to_ask(self.settings.me, self.coverage.voters_needed()) {
            let electorate = Electorate::default();
            out.push(Action::Send(node, Message::RequestRecords { incarnation, electorate }));
        }
    }

    /// Takes over the fetched records once they include each claim granted under an earlier electorate.
    fn finish_catch_up(&mut self, out: &mut Vec<Action>) {
        let (me, needed) = (self.settings.me, self.coverage.voters_needed());
        let Some(catch_up) = self.catch_up.take_if(|catch_up| catch_up.covers(me, needed)) else { return };
        self.held.expire(self.now);
        for record in catch_up.into_records() {
            self.merge_record(record, out);
        }
        self.append_complete(out);
    }

    /// Merges a record of another voter. If two voters sent different claims for a key, either may be the one that a
    /// majority granted, so the key is marked as contested, until the later of their expiries.
    fn merge_record(&mut self, record: Record, out: &mut Vec<Action>) {
        let Some(held) = self.held.get(record.key) else { return self.learn_record(record, out) };
        let held = held.record_with_time_left(self.now);
        let contested = held.contested || record.contested || held.claim != record.claim;
        if !contested {
            return; // each voter keeps a claim for as long as needed, so either time will do
        }
        let longest = if record.keep_s > held.keep_s { record } else { held };
        let merged = Record { contested, ..longest };
        if merged != held {
            self.learn_record(merged, out);
        }
    }

    /// Inserts and journals a record that this voter did not grant itself.
    fn learn_record(&mut self, record: Record, out: &mut Vec<Action>) {
        self.append(Entry::Granted(record), Some(f64::from(record.keep_s)), false, out);
        self.held.insert(self.now, record, 0);
    }

    /// Starts to learn, under a new incarnation with at least this number.
    pub(super) fn begin_learning(&mut self, min_number: u64) {
        let number = min_number.max(self.electorate.incarnation(self.settings.me).number + 1);
        let incarnation = Incarnation { number, nonce: self.next_random() | 1 };
        self.electorate.raise_incarnation(self.settings.me, incarnation);
        self.role = Role::Learning(Learner::new(incarnation, self.now));
        self.catch_up = None;
    }

    /// Requests records from the voters that have not sent all of them under the current electorate.
    pub(super) fn request_records(&mut self, out: &mut Vec<Action>) {
        let Role::Learning(learner) = &mut self.role else { return };
        if self.now < learner.next_request {
            return;
        }
        learner.next_request = self.now + REQUEST_INTERVAL;
        let (id, incarnation) = (self.electorate.id(), learner.incarnation);
        for node in self.electorate.others(self.settings.me) {
            if !learner.has_all_of(node, id) {
                let electorate = self.electorate.clone();
                out.push(Action::Send(node, Message::RequestRecords { incarnation, electorate }));
            }
        }
    }
}
