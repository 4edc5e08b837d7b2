//! A voter: which claim each key is granted to, and what has to be on disk before that is said.

use crate::electorate::{Electorate, ElectorateId, Incarnation};
use crate::message::{Message, Progress, Verdict};
use crate::record::{ClaimId, Entry, Fingerprint, Key, Record};
use crate::strikes::Strikes;
use crate::Node;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// Seconds between two asks of a learner.
const LEARN_PAUSE: f64 = 0.5;
/// Seconds between two tellings of the electorate to the other voters.
const KNOWN_PAUSE: f64 = 1.0;
/// Records in one part of what a learner is told.
const RECORDS_IN_PART: usize = 2048;
/// Assumed for claims while none was met that is kept for longer, seconds.
const KEEP_USUAL: f64 = 90.0;
/// The longest that a key may stay taken, seconds.
const KEEP_MOST: f64 = 7200.0;

/// Settings of a voter.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub me: Node,
    /// Must differ from start to start.
    pub seed: u64,
    /// Whether a voter with an empty journal votes without learning: it founds the system, or its journal is the first.
    pub founder: bool,
    /// The most keys that are held at once.
    pub max_records: usize,
    /// The most bytes of answers that are held at once.
    pub max_answer_bytes: usize,
}

/// What is sent once the journal is on disk up to some number.
enum Later {
    /// A claim was granted; with the electorate that the gateway told.
    Granted(ClaimId, ElectorateId),
    Message(Message),
}

impl Later {
    fn is_vote(&self) -> bool {
        matches!(self, Later::Granted(..))
    }
}

/// What the driver has to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send(Node, Message),
    /// Append this to the journal and sync it; then call [`Voter::on_saved`] with the number.
    Append {
        number: u64,
        entry: Entry,
        /// Seconds for which the entry is needed; none: until a later one of its kind is on disk.
        keep_s: Option<f64>,
        /// False: nobody waits for it, it may go with the next one that is urgent.
        urgent: bool,
    },
}

struct Held {
    record: Record,
    expires: f64,
    /// The journal's number of its grant.
    number: u64,
    answer: Option<Rc<[u8]>>,
}

/// What one voter told a learner.
#[derive(Default)]
struct Lesson {
    electorate: Electorate,
    transfer: u64,
    parts: BTreeMap<u16, Vec<Record>>,
    whole: bool,
}

struct Learner {
    incarnation: Incarnation,
    next_ask: f64,
    lessons: BTreeMap<Node, Lesson>,
}

enum Role {
    Learning(Learner),
    /// Enough was learnt; it votes once this number of the journal is on disk.
    Recording(u64),
    Ready,
}

/// See the module.
pub struct Voter {
    settings: Settings,
    now: f64,
    random: u64,
    electorate: Electorate,
    incarnation: Incarnation,
    role: Role,
    held: HashMap<Key, Held>,
    /// Milliseconds at which records expire.
    expiries: BTreeSet<(u64, Key)>,
    answer_bytes: usize,
    /// Number of the last entry that was appended.
    appended: u64,
    /// Up to which number the journal is on disk.
    saved: u64,
    /// What is to be sent once that number is on disk.
    waiting: BTreeMap<u64, Vec<(Node, Later)>>,
    /// Whether the journal takes further claims and answers.
    room: bool,
    strikes: Strikes,
    /// The longest that a claim was to be kept, seconds.
    longest_keep: f64,
    next_known: f64,
}

impl Voter {
    /// `entries`: what the journal held, in order.
    pub fn new(now: f64, settings: Settings, entries: Vec<Entry>, out: &mut Vec<Action>) -> Voter {
        let empty = entries.is_empty();
        let mut voter = Voter {
            settings,
            now,
            random: settings.seed ^ u64::from(settings.me) << 32,
            electorate: Electorate::default(),
            incarnation: Incarnation::default(),
            role: Role::Ready,
            held: HashMap::new(),
            expiries: BTreeSet::new(),
            answer_bytes: 0,
            appended: 0,
            saved: 0,
            waiting: BTreeMap::new(),
            room: true,
            strikes: Strikes::at_start(now, &Electorate::default()),
            longest_keep: KEEP_USUAL,
            next_known: now,
        };
        let ready = voter.replay(entries);
        voter.strikes = Strikes::at_start(now, &voter.electorate);
        if empty && settings.founder {
            voter.append(Entry::Ready { incarnation: 0, nonce: 0 }, None, true, out);
        } else if !ready {
            voter.begin_learning(1);
            voter.append(Entry::Electorate(voter.electorate.clone()), None, true, out);
        }
        voter
    }

    /// Takes over what the journal held; returns whether this voter may vote.
    fn replay(&mut self, entries: Vec<Entry>) -> bool {
        let mut ready = false;
        for entry in entries {
            match entry {
                Entry::Granted(record) => {
                    self.drop_record(record.key);
                    self.hold(record);
                }
                Entry::Released { key, claim } => {
                    if self.held.get(&key).is_some_and(|held| held.record.claim == claim) {
                        self.drop_record(key);
                    }
                }
                Entry::Answer { key, claim, answer } => self.keep_answer(key, claim, answer.into()),
                Entry::Electorate(electorate) => drop(self.electorate.merge(&electorate)),
                Entry::Ready { incarnation: number, nonce } => {
                    ready = true;
                    self.incarnation = Incarnation { number, nonce };
                    self.electorate.note(self.settings.me, self.incarnation);
                }
            }
        }
        ready && self.electorate.incarnation(self.settings.me) == self.incarnation
    }

    /// The entries that each new file of the journal begins with; they replace all entries without a time before them.
    /// None while the one that says that this voter may vote is on its way to the disk: no head may replace that one yet.
    pub fn head(&self) -> Option<Vec<Entry>> {
        if matches!(self.role, Role::Recording(_)) {
            return None;
        }
        let mut head = vec![Entry::Electorate(self.electorate.clone())];
        if matches!(self.role, Role::Ready) {
            let Incarnation { number, nonce } = self.incarnation;
            head.push(Entry::Ready { incarnation: number, nonce });
        }
        Some(head)
    }

    /// Whether it takes part in votes.
    pub fn can_vote(&self) -> bool {
        let member = self.electorate.has(self.settings.me);
        matches!(self.role, Role::Ready) && member && !self.strikes.rest(self.now)
    }

    /// Whether it learns what the other voters hold, or records that.
    pub fn is_learning(&self) -> bool {
        !matches!(self.role, Role::Ready)
    }

    /// Number of the last entry that was appended.
    pub fn appended(&self) -> u64 {
        self.appended
    }

    /// Tells whether the journal has room: without it no further claim is granted, and no answer is kept.
    pub fn set_room(&mut self, room: bool) {
        self.room = room;
    }

    /// Keys that are held.
    pub fn records(&self) -> usize {
        self.held.len()
    }

    /// Bytes of answers that are held.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// The newest agreed members, and those before while they change.
    pub fn set_members(
        &mut self,
        now: f64,
        index: u64,
        members: &[Node],
        outgoing: &[Node],
        out: &mut Vec<Action>,
    ) {
        self.enter(now);
        let before = self.electorate.clone();
        if self.electorate.follow(index, members, outgoing) {
            self.electorate_changed(&before, out);
        }
    }

    /// The journal is on disk up to this number.
    pub fn on_saved(&mut self, now: f64, number: u64, out: &mut Vec<Action>) {
        self.enter(now);
        self.saved = self.saved.max(number);
        if matches!(self.role, Role::Recording(ready) if ready <= self.saved) {
            self.role = Role::Ready;
        }
        let later = self.waiting.split_off(&(self.saved + 1));
        for (to, later) in std::mem::replace(&mut self.waiting, later).into_values().flatten() {
            out.push(Action::Send(to, self.now_said(later)));
        }
    }

    /// To be called no later than [`Voter::next_wake`].
    pub fn tick(&mut self, now: f64, out: &mut Vec<Action>) {
        self.enter(now);
        self.expire();
        self.ask(out);
        if self.now >= self.next_known {
            self.next_known = self.now + KNOWN_PAUSE;
            for node in self.electorate.others(self.settings.me) {
                out.push(Action::Send(node, Message::ElectorateUpdate(self.electorate.clone())));
            }
        }
    }

    /// When it wants to be called next.
    pub fn next_wake(&self) -> f64 {
        match &self.role {
            Role::Learning(learner) => self.next_known.min(learner.next_ask),
            _ => self.next_known,
        }
    }

    /// A message of a gateway or of another voter.
    pub fn on_message(&mut self, now: f64, from: Node, message: Message, out: &mut Vec<Action>) {
        self.enter(now);
        match message {
            Message::Claim { key, claim, fingerprint, keep_s, electorate } if claim.gateway == from => {
                let record = Record { key, claim, fingerprint, keep_s, contested: false };
                match self.claim(record, out) {
                    Verdict::Granted => {
                        let number = self.held.get(&key).map_or(0, |held| held.number);
                        self.send_after(number, from, Later::Granted(claim, electorate), out);
                    }
                    verdict => out.push(Action::Send(from, self.vote(claim, electorate, verdict))),
                }
            }
            Message::Release { key, claim } if claim.gateway == from => self.release(key, claim, out),
            Message::Store { key, claim, answer } if claim.gateway == from => {
                self.store(key, claim, answer.into_vec(), out)
            }
            Message::AskProgress { key, claim, tag } => {
                let held = self.held.get(&key).filter(|held| held.record.claim == claim);
                let answer = held.and_then(|held| held.answer.as_ref());
                let progress = answer.map_or(Progress::Unknown, |answer| {
                    Progress::Answered(serde_bytes::ByteBuf::from(answer.to_vec()))
                });
                out.push(Action::Send(from, Message::ProgressReply { tag, progress }));
            }
            Message::RequestRecords { incarnation, electorate } => {
                self.teach(from, incarnation, &electorate, out)
            }
            Message::Records { incarnation, electorate, transfer, part, parts, records } => {
                self.learn(from, incarnation, (electorate, transfer), (part, parts), records, out)
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

    fn claim(&mut self, record: Record, out: &mut Vec<Action>) -> Verdict {
        if !self.can_vote() {
            return Verdict::Abstained;
        }
        self.expire();
        if let Some(held) = self.held.get(&record.key) {
            if held.record.claim == record.claim && !held.record.contested {
                return Verdict::Granted;
            }
            let Record { claim: by, fingerprint, .. } = held.record;
            return Verdict::Held { by, fingerprint, answered: held.answer.is_some() };
        }
        let sound = record.keep_s.is_finite() && record.keep_s > 0.0 && f64::from(record.keep_s) <= KEEP_MOST;
        if !sound || !self.room || self.held.len() >= self.settings.max_records {
            return Verdict::Abstained;
        }
        let number = self.append(Entry::Granted(record), Some(f64::from(record.keep_s)), true, out);
        self.hold(record);
        if let Some(held) = self.held.get_mut(&record.key) {
            held.number = number;
        }
        Verdict::Granted
    }

    fn release(&mut self, key: Key, claim: ClaimId, out: &mut Vec<Action>) {
        let held = self.held.get(&key).map(|held| held.record);
        let Some(record) = held.filter(|record| record.claim == claim && !record.contested) else { return };
        self.drop_record(key);
        self.append(Entry::Released { key, claim }, Some(f64::from(record.keep_s)), false, out);
    }

    fn store(&mut self, key: Key, claim: ClaimId, answer: Vec<u8>, out: &mut Vec<Action>) {
        let held = self.held.get(&key);
        let Some(held) = held.filter(|h| h.record.claim == claim && h.answer.is_none()) else { return };
        if !self.room || self.answer_bytes + answer.len() > self.settings.max_answer_bytes {
            return;
        }
        let keep_s = held.expires - self.now;
        self.keep_answer(key, claim, answer.as_slice().into());
        self.append(Entry::Answer { key, claim, answer }, Some(keep_s), false, out);
    }

    fn keep_answer(&mut self, key: Key, claim: ClaimId, answer: Rc<[u8]>) {
        let Some(held) = self.held.get_mut(&key) else { return };
        if held.record.claim == claim && held.answer.is_none() {
            self.answer_bytes += answer.len();
            held.answer = Some(answer);
        }
    }

    /// Another voter's disk was empty: its incarnation is kept first, so that its earlier votes count no more with those
    /// given here from now on.
    fn teach(&mut self, from: Node, incarnation: Incarnation, told: &Electorate, out: &mut Vec<Action>) {
        let known = self.electorate.incarnation(from);
        if incarnation < known {
            return out.push(Action::Send(from, Message::IncarnationEnded { number: known.number }));
        }
        let before = self.electorate.clone();
        let mut changed = self.electorate.merge(told);
        changed |= self.electorate.note(from, incarnation);
        if changed {
            self.electorate_changed(&before, out);
        }
        if !matches!(self.role, Role::Ready) {
            return;
        }
        self.expire();
        let now = self.now;
        let left = |held: &Held| Record { keep_s: (held.expires - now) as f32, ..held.record };
        let mut records: Vec<Record> = self.held.values().map(left).collect();
        records.sort_unstable_by_key(|record| record.key);
        let parts = records.len().div_ceil(RECORDS_IN_PART).max(1) as u16;
        // who asks again has no use for what still waits since the last time
        self.waiting
            .values_mut()
            .for_each(|waiting| waiting.retain(|(to, later)| *to != from || later.is_vote()));
        let transfer = self.dice();
        for part in 0..parts {
            let rest = records.split_off(records.len().min(RECORDS_IN_PART));
            let records = std::mem::replace(&mut records, rest);
            let electorate = self.electorate.clone();
            let lesson = Message::Records { incarnation, electorate, transfer, part, parts, records };
            self.send_after(self.appended, from, Later::Message(lesson), out);
        }
    }

    fn learn(
        &mut self,
        from: Node,
        incarnation: Incarnation,
        (electorate, transfer): (Electorate, u64),
        (part, parts): (u16, u16),
        records: Vec<Record>,
        out: &mut Vec<Action>,
    ) {
        let Role::Learning(learner) = &mut self.role else { return };
        if learner.incarnation != incarnation || part >= parts {
            return;
        }
        let lesson = learner.lessons.entry(from).or_default();
        if lesson.electorate != electorate || lesson.transfer != transfer {
            *lesson = Lesson { electorate: electorate.clone(), transfer, ..Lesson::default() };
        }
        lesson.parts.insert(part, records);
        lesson.whole = lesson.parts.len() == usize::from(parts);
        self.merge(&electorate, out);
        self.learnt(out);
    }

    /// Ends learning if enough voters that go by one electorate have told all that they hold.
    fn learnt(&mut self, out: &mut Vec<Action>) {
        let me = self.settings.me;
        let Role::Learning(learner) = &mut self.role else { return };
        let id = self.electorate.id();
        let told = |node: Node| {
            learner.lessons.get(&node).is_some_and(|lesson| lesson.whole && lesson.electorate.id() == id)
        };
        if !self.electorate.has(me) || !self.electorate.taught(me, told) {
            return;
        }
        self.incarnation = learner.incarnation;
        let lessons = std::mem::take(&mut learner.lessons);
        for record in lessons.into_values().flat_map(|lesson| lesson.parts.into_values()).flatten() {
            self.take_over(record, out);
        }
        let Incarnation { number, nonce } = self.incarnation;
        let ready = self.append(Entry::Ready { incarnation: number, nonce }, None, true, out);
        self.role = Role::Recording(ready);
    }

    /// A record of another voter. Where two of them differ, either may be the one that a majority granted.
    fn take_over(&mut self, record: Record, out: &mut Vec<Action>) {
        let contested = match self.held.get(&record.key) {
            None => record,
            Some(held) if held.record.claim == record.claim && held.record.contested == record.contested => {
                return
            }
            Some(_) => Record { contested: true, ..record },
        };
        self.drop_record(record.key);
        self.append(Entry::Granted(contested), Some(f64::from(record.keep_s)), false, out);
        self.hold(contested);
    }

    fn merge(&mut self, told: &Electorate, out: &mut Vec<Action>) {
        let before = self.electorate.clone();
        if self.electorate.merge(told) {
            self.electorate_changed(&before, out);
        }
    }

    /// Keeps the electorate; who finds that its own incarnation has ended learns anew.
    fn electorate_changed(&mut self, before: &Electorate, out: &mut Vec<Action>) {
        self.strikes.changed(self.now, self.longest_keep, before, &self.electorate);
        self.append(Entry::Electorate(self.electorate.clone()), None, true, out);
        let ended = self.electorate.incarnation(self.settings.me);
        let own = match &self.role {
            Role::Learning(learner) => learner.incarnation,
            Role::Recording(_) | Role::Ready => self.incarnation,
        };
        if ended > own {
            self.begin_learning(1);
        } else {
            self.learnt(out);
        }
        self.next_known = self.now;
    }

    fn begin_learning(&mut self, least: u64) {
        let number = least.max(self.electorate.incarnation(self.settings.me).number + 1);
        let incarnation = Incarnation { number, nonce: self.dice() | 1 };
        self.electorate.note(self.settings.me, incarnation);
        self.role = Role::Learning(Learner { incarnation, next_ask: self.now, lessons: BTreeMap::new() });
    }

    /// Asks those that have not told all under the electorate in force.
    fn ask(&mut self, out: &mut Vec<Action>) {
        let Role::Learning(learner) = &mut self.role else { return };
        if self.now < learner.next_ask {
            return;
        }
        learner.next_ask = self.now + LEARN_PAUSE;
        let (id, incarnation) = (self.electorate.id(), learner.incarnation);
        for node in self.electorate.others(self.settings.me) {
            let lesson = learner.lessons.get(&node);
            if !lesson.is_some_and(|lesson| lesson.whole && lesson.electorate.id() == id) {
                let electorate = self.electorate.clone();
                out.push(Action::Send(node, Message::RequestRecords { incarnation, electorate }));
            }
        }
    }

    fn append(&mut self, entry: Entry, keep_s: Option<f64>, urgent: bool, out: &mut Vec<Action>) -> u64 {
        self.appended += 1;
        out.push(Action::Append { number: self.appended, entry, keep_s, urgent });
        self.appended
    }

    /// Sends once that number of the journal is on disk.
    fn send_after(&mut self, number: u64, to: Node, later: Later, out: &mut Vec<Action>) {
        if number <= self.saved {
            out.push(Action::Send(to, self.now_said(later)));
        } else {
            let waiting = self.waiting.entry(number).or_default();
            // a claim that is repeated while it waits gets one vote
            waiting.retain(|(node, earlier)| *node != to || !(earlier.is_vote() && later.is_vote()));
            waiting.push((to, later));
        }
    }

    /// A vote goes by the electorate of the moment at which it leaves. A voter that learns by then gives none.
    fn now_said(&self, later: Later) -> Message {
        match later {
            Later::Granted(claim, told) => {
                let verdict = if self.can_vote() { Verdict::Granted } else { Verdict::Abstained };
                self.vote(claim, told, verdict)
            }
            Later::Message(message) => message,
        }
    }

    /// `told`: the electorate that the gateway knows.
    fn vote(&self, claim: ClaimId, told: ElectorateId, verdict: Verdict) -> Message {
        let electorate = self.electorate.id();
        let known = (electorate != told).then(|| self.electorate.clone());
        Message::Vote { claim, electorate, known, verdict }
    }

    fn hold(&mut self, record: Record) {
        self.longest_keep = self.longest_keep.max(f64::from(record.keep_s).min(KEEP_MOST));
        let expires = self.now + f64::from(record.keep_s).clamp(0.0, KEEP_MOST);
        self.expiries.insert((milliseconds(expires), record.key));
        self.held.insert(record.key, Held { record, expires, number: 0, answer: None });
    }

    fn drop_record(&mut self, key: Key) {
        let Some(held) = self.held.remove(&key) else { return };
        self.expiries.remove(&(milliseconds(held.expires), key));
        self.answer_bytes -= held.answer.map_or(0, |answer| answer.len());
    }

    fn expire(&mut self) {
        let now = milliseconds(self.now);
        while let Some(&(at, key)) = self.expiries.first() {
            if at >= now {
                break;
            }
            self.drop_record(key);
        }
    }

    fn enter(&mut self, now: f64) {
        self.now = self.now.max(now);
    }

    /// The next number of a sequence (splitmix64).
    fn dice(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.random;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
}

fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1e3) as u64
}

impl Voter {
    /// The fingerprint under which a key is held, for tests and figures.
    pub fn holder(&self, key: Key) -> Option<(ClaimId, Fingerprint)> {
        self.held.get(&key).map(|held| (held.record.claim, held.record.fingerprint))
    }
}
