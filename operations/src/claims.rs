//! A gateway's claims: whom to ask for a key, and when a majority has granted it.

use crate::electorate::{Electorate, ElectorateId};
use crate::message::{Message, Verdict};
use crate::record::{ClaimId, Fingerprint, Key};
use crate::Node;
use std::collections::{BTreeMap, HashMap};

/// Electorates that are remembered.
const ELECTORATES_MOST: usize = 4;
/// Claims that may wait for votes at once.
const PENDING_MOST: usize = 4096;
/// With so many claims waiting, and this long from a claim to its grant, seconds, no further ones are begun: what they
/// wait for is behind what waits already.
const CROWD: usize = 8;
const SLOW_GRANT: f64 = 0.4;
/// How long a vote usually takes is followed by this share of each new one.
const SMOOTHING: f64 = 0.2;
/// A vote is awaited for so many times its usual time before others are asked too, within these bounds, seconds. Each
/// further wait is twice as long: voters that are slow by their load are not to be asked more.
const PATIENCE: f64 = 2.0;
const PATIENCE_LEAST: f64 = 0.03;
const PATIENCE_MOST: f64 = 0.3;
/// Assumed of a voter that has not voted yet, seconds.
const VOTE_TIME: f64 = 0.12;
/// After a voter said that another claim holds the key, no further voters are asked for so long, seconds.
const HELD_PAUSE: f64 = 0.4;

/// What is claimed.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest {
    pub key: Key,
    pub fingerprint: Fingerprint,
    /// Seconds for which the key is to stay taken.
    pub keep_s: f32,
    /// When the claim is given up.
    pub deadline: f64,
}

/// Orders and news to the driver, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send(Node, Message),
    /// The operation may be run: it is nobody else's until it expires.
    Granted(ClaimId),
    /// A voter says that another claim holds the key; this one may still be granted.
    Held {
        claim: ClaimId,
        by: ClaimId,
        fingerprint: Fingerprint,
        /// The voter that has the answer of the operation.
        answered_at: Option<Node>,
    },
    /// Not granted in time. The claim is withdrawn.
    Unavailable(ClaimId),
}

struct Pending {
    request: ClaimRequest,
    began: f64,
    /// Voters by nearness, those that seem to be there first.
    voters: Vec<Node>,
    /// Who was asked, and when last.
    asked: BTreeMap<Node, f64>,
    granted: BTreeMap<Node, ElectorateId>,
    /// Who answered otherwise than by granting it.
    refused: Vec<Node>,
    next_ask: f64,
    /// How often votes were late.
    rounds: i32,
}

impl Pending {
    fn carried(self) -> Running {
        let Pending { request, voters, asked, granted, .. } = self;
        let of = |is: &dyn Fn(&Node) -> bool| voters.iter().filter(|node| is(node)).copied().collect();
        Running {
            key: request.key,
            asked: of(&|node| asked.contains_key(node)),
            granted: of(&|node| granted.contains_key(node)),
        }
    }
}

struct Running {
    key: Key,
    /// Who was asked, the nearest first.
    asked: Vec<Node>,
    /// Who granted it by the time it was carried, the nearest first.
    granted: Vec<Node>,
}

/// See the module.
pub struct Claims {
    me: Node,
    start: u32,
    sequence: u64,
    now: f64,
    /// The latest at the end.
    electorates: Vec<(ElectorateId, Electorate)>,
    /// Smoothed seconds from a claim to its vote.
    vote_times: HashMap<Node, f64>,
    /// Smoothed seconds from a claim to its grant.
    grant_time: f64,
    pending: BTreeMap<ClaimId, Pending>,
    /// Granted claims that are not over.
    running: BTreeMap<ClaimId, Running>,
}

impl Claims {
    /// Another start of the gateway has another number.
    pub fn new(now: f64, me: Node, start: u32) -> Claims {
        let (vote_times, pending, running) = (HashMap::new(), BTreeMap::new(), BTreeMap::new());
        let (sequence, electorates, grant_time) = (0, Vec::new(), 0.0);
        Claims { me, start, sequence, now, electorates, vote_times, grant_time, pending, running }
    }

    /// Claims a key. `voters`: the machines of the core, the nearest first and those that seem to be gone last.
    /// None: too many claims wait.
    pub fn begin(
        &mut self,
        now: f64,
        request: ClaimRequest,
        voters: &[Node],
        out: &mut Vec<Action>,
    ) -> Option<ClaimId> {
        self.enter(now);
        let crowded = self.pending.len() >= CROWD && self.grant_time > SLOW_GRANT;
        if crowded || self.pending.len() >= PENDING_MOST {
            return None;
        }
        self.sequence += 1;
        let claim = ClaimId { gateway: self.me, start: self.start, sequence: self.sequence };
        let mut pending = Pending {
            request,
            began: self.now,
            voters: voters.to_vec(),
            asked: BTreeMap::new(),
            granted: BTreeMap::new(),
            refused: Vec::new(),
            next_ask: f64::INFINITY,
            rounds: 0,
        };
        let first = self.electorates.last().map_or(voters.len(), |(_, electorate)| enough(electorate));
        self.ask(claim, &mut pending, first, out);
        self.pending.insert(claim, pending);
        Some(claim)
    }

    /// A vote.
    pub fn on_message(&mut self, now: f64, from: Node, message: Message, out: &mut Vec<Action>) {
        self.enter(now);
        let Message::Vote { claim, electorate, known, verdict } = message else { return };
        known.into_iter().for_each(|known| self.remember(known));
        let Some(mut pending) = self.pending.remove(&claim) else { return };
        if let Some(asked) = pending.asked.get(&from) {
            let took = self.now - asked;
            let usual = self.vote_times.entry(from).or_insert(took);
            *usual += SMOOTHING * (took - *usual);
        }
        match verdict {
            Verdict::Granted => {
                pending.granted.insert(from, electorate);
                if self.carried(&pending.granted) {
                    self.grant_time += SMOOTHING * (self.now - pending.began - self.grant_time);
                    self.running.insert(claim, pending.carried());
                    return out.push(Action::Granted(claim));
                }
                self.ask_again_under(claim, &mut pending, electorate, out);
            }
            Verdict::Held { by, fingerprint, answered } => {
                pending.refused.push(from);
                pending.next_ask = pending.next_ask.max(self.now + HELD_PAUSE);
                let answered_at = answered.then_some(from);
                out.push(Action::Held { claim, by, fingerprint, answered_at });
            }
            Verdict::Abstained => {
                pending.refused.push(from);
                self.ask(claim, &mut pending, 1, out);
            }
        }
        self.pending.insert(claim, pending);
    }

    /// To be called no later than [`Claims::next_wake`].
    pub fn tick(&mut self, now: f64, out: &mut Vec<Action>) {
        self.enter(now);
        let now = self.now;
        let over = |pending: &Pending| pending.request.deadline <= now;
        let due = |pending: &Pending| pending.next_ask <= now;
        let ended: Vec<ClaimId> = self.pending.iter().filter(|(_, p)| over(p)).map(|(id, _)| *id).collect();
        for claim in ended {
            self.release(now, claim, out);
            out.push(Action::Unavailable(claim));
        }
        let late: Vec<ClaimId> = self.pending.iter().filter(|(_, p)| due(p)).map(|(id, _)| *id).collect();
        for claim in late {
            let Some(mut pending) = self.pending.remove(&claim) else { continue };
            let all = pending.voters.len();
            if pending.asked.len() >= all {
                // those that were asked may not have heard it; those that granted it may go by another electorate now
                pending.asked.clear();
                pending.refused.clear();
            }
            pending.rounds += 1;
            self.ask(claim, &mut pending, all, out);
            self.pending.insert(claim, pending);
        }
    }

    /// When it wants to be called next.
    pub fn next_wake(&self) -> f64 {
        let due = self.pending.values().map(|pending| pending.request.deadline.min(pending.next_ask));
        due.fold(f64::INFINITY, f64::min)
    }

    /// The claim has not run and never will: the key is free again.
    pub fn release(&mut self, now: f64, claim: ClaimId, out: &mut Vec<Action>) {
        self.enter(now);
        let pending = self.pending.remove(&claim).map(Pending::carried);
        let Some(Running { key, asked, .. }) = pending.or_else(|| self.running.remove(&claim)) else {
            return;
        };
        for node in asked {
            out.push(Action::Send(node, Message::Release { key, claim }));
        }
    }

    /// The operation is over: it has run, or may have. Returns who granted it, the nearest first.
    pub fn finish(&mut self, claim: ClaimId) -> Vec<Node> {
        self.running.remove(&claim).map(|running| running.granted).unwrap_or_default()
    }

    /// Claims that wait for votes.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// Asks so many more voters.
    fn ask(&mut self, claim: ClaimId, pending: &mut Pending, more: usize, out: &mut Vec<Action>) {
        let ClaimRequest { key, fingerprint, keep_s, .. } = pending.request;
        let electorate = self.electorates.last().map_or(ElectorateId::default(), |known| known.0);
        let fresh = |node: &&Node| !pending.asked.contains_key(node) && !pending.refused.contains(node);
        let chosen: Vec<Node> = pending.voters.iter().filter(fresh).take(more).copied().collect();
        let mut patience = PATIENCE_LEAST;
        for node in chosen {
            pending.asked.insert(node, self.now);
            let usual = self.vote_times.get(&node).copied().unwrap_or(VOTE_TIME);
            patience = patience.max(PATIENCE * usual);
            out.push(Action::Send(node, Message::Claim { key, claim, fingerprint, keep_s, electorate }));
        }
        pending.next_ask = self.now + patience.min(PATIENCE_MOST) * f64::powi(2.0, pending.rounds);
    }

    /// Those that granted it under another electorate are asked again, as their votes don't count with this one.
    fn ask_again_under(
        &mut self,
        claim: ClaimId,
        pending: &mut Pending,
        electorate: ElectorateId,
        out: &mut Vec<Action>,
    ) {
        let other: Vec<Node> =
            pending.granted.iter().filter(|(_, id)| **id != electorate).map(|(node, _)| *node).collect();
        if other.is_empty() || self.electorates.last().is_none_or(|known| known.0 != electorate) {
            return;
        }
        for node in &other {
            pending.granted.remove(node);
            pending.asked.remove(node);
        }
        self.ask(claim, pending, other.len(), out);
    }

    fn carried(&self, granted: &BTreeMap<Node, ElectorateId>) -> bool {
        self.electorates.iter().any(|(id, electorate)| {
            electorate.carried(|node| granted.get(&node).is_some_and(|given| given == id))
        })
    }

    /// Votes are given under this electorate.
    fn remember(&mut self, electorate: Electorate) {
        let id = electorate.id();
        self.electorates.retain(|known| known.0 != id);
        let at = self.electorates.partition_point(|known| known.1.age() <= electorate.age());
        self.electorates.insert(at, (id, electorate));
        if self.electorates.len() > ELECTORATES_MOST {
            self.electorates.remove(0);
        }
    }

    fn enter(&mut self, now: f64) {
        self.now = self.now.max(now);
    }
}

/// As many voters as are a majority.
fn enough(electorate: &Electorate) -> usize {
    electorate.members.len().max(electorate.outgoing.len()) / 2 + 1
}
