//! A gateway's claims: which voters to ask for a key, and when a majority of them has granted it.

use crate::electorate::{Electorate, ElectorateId};
use crate::message::{Message, Verdict};
use crate::record::{ClaimId, Fingerprint, Key};
use crate::Node;
use std::collections::{BTreeMap, HashMap};

/// Number of electorates to remember.
const MAX_ELECTORATES: usize = 4;
/// Number of claims that may wait for votes at the same time.
const MAX_PENDING: usize = 4096;
/// No further claims begin while at least `CROWDED_PENDING` claims wait and the smoothed time from a claim to its grant
/// exceeds `SLOW_GRANT_TIME` seconds, as they would only queue behind those that wait already.
const CROWDED_PENDING: usize = 8;
const SLOW_GRANT_TIME: f64 = 0.4;
/// Weight of each new sample in the smoothed times of votes and grants.
const SMOOTHING: f64 = 0.2;
/// A claim waits for this multiple of a voter's average vote time, within these bounds in seconds, before it asks
/// further voters. The wait doubles each time, so that voters that are slow under load don't get more requests.
const VOTE_WAIT_FACTOR: f64 = 2.0;
const MIN_VOTE_WAIT: f64 = 0.03;
const MAX_VOTE_WAIT: f64 = 0.3;
/// Vote time assumed for a voter that has not voted yet, in seconds.
const DEFAULT_VOTE_TIME: f64 = 0.12;
/// Pause before further voters are asked after a voter replied that another claim holds the key, in seconds.
const HELD_PAUSE: f64 = 0.4;

/// A key to claim, with its terms.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest {
    /// The key to claim.
    pub key: Key,
    /// The fingerprint of the request that has the key.
    pub fingerprint: Fingerprint,
    /// Seconds for which the key is to stay claimed.
    pub keep_s: f32,
    /// Time at which the claim is abandoned unless it was granted.
    pub deadline: f64,
}

/// An action for the driver to carry out or report, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a voter.
    Send(Node, Message),
    /// The operation may be run: no other claim gets the key until it expires.
    Granted(ClaimId),
    /// A voter replied that another claim holds the key; this claim may still be granted.
    Held {
        /// The claim of this gateway.
        claim: ClaimId,
        /// The claim that holds the key.
        by: ClaimId,
        /// The fingerprint of the request of that claim.
        fingerprint: Fingerprint,
        /// The voter that stores the answer of the operation, if it is the one that replied.
        answered_at: Option<Node>,
    },
    /// The claim was not granted before its deadline and is withdrawn.
    Unavailable(ClaimId),
}

/// A claim that waits for votes.
struct Pending {
    request: ClaimRequest,
    /// The newest electorate when the claim began.
    begun_under: ElectorateId,
    started_at: f64,
    /// Voters to ask, in order of preference: reachable ones first, nearest first.
    voters: Vec<Node>,
    /// Voters that were asked, with the time of the last request.
    asked: BTreeMap<Node, f64>,
    granted: BTreeMap<Node, ElectorateId>,
    /// Voters that replied without granting the claim.
    refused: Vec<Node>,
    next_retry: f64,
    /// Number of times that votes were late.
    late_rounds: i32,
}

impl Pending {
    fn into_running(self) -> Running {
        let Pending { request, begun_under, voters, asked, granted, .. } = self;
        let voters_where =
            |matches: &dyn Fn(&Node) -> bool| voters.iter().filter(|node| matches(node)).copied().collect();
        Running {
            key: request.key,
            begun_under,
            asked: voters_where(&|node| asked.contains_key(node)),
            granted: voters_where(&|node| granted.contains_key(node)),
        }
    }
}

/// A granted claim whose operation has not ended.
struct Running {
    key: Key,
    /// The newest electorate when the claim began.
    begun_under: ElectorateId,
    /// Voters that were asked, in order of preference.
    asked: Vec<Node>,
    /// Voters that had granted the claim when it reached a majority, in order of preference.
    granted: Vec<Node>,
}

/// All claims of a gateway.
pub struct Claims {
    me: Node,
    start: u32,
    sequence: u64,
    now: f64,
    /// Sorted by version, the latest last.
    electorates: Vec<(ElectorateId, Electorate)>,
    /// Smoothed seconds from a claim to its vote.
    vote_times: HashMap<Node, f64>,
    /// Smoothed seconds from a claim to its grant.
    grant_time: f64,
    pending: BTreeMap<ClaimId, Pending>,
    /// Granted claims whose operations have not ended.
    running: BTreeMap<ClaimId, Running>,
}

impl Claims {
    /// Creates the claims of gateway `me`. `start` must differ between starts of the gateway.
    pub fn new(now: f64, me: Node, start: u32) -> Claims {
        let (vote_times, pending, running) = (HashMap::new(), BTreeMap::new(), BTreeMap::new());
        let (sequence, electorates, grant_time) = (0, Vec::new(), 0.0);
        Claims { me, start, sequence, now, electorates, vote_times, grant_time, pending, running }
    }

    /// Claims a key. `voters`: the machines of the core, the nearest first and unreachable ones last. Returns `None` if
    /// too many claims wait.
    pub fn begin(
        &mut self,
        now: f64,
        request: ClaimRequest,
        voters: &[Node],
        out: &mut Vec<Action>,
    ) -> Option<ClaimId> {
        self.advance_clock(now);
        let crowded = self.pending.len() >= CROWDED_PENDING && self.grant_time > SLOW_GRANT_TIME;
        if crowded || self.pending.len() >= MAX_PENDING {
            return None;
        }
        self.sequence += 1;
        let claim = ClaimId { gateway: self.me, start: self.start, sequence: self.sequence };
        let mut pending = Pending {
            request,
            begun_under: self.newest_electorate(),
            started_at: self.now,
            voters: self.members_first(voters),
            asked: BTreeMap::new(),
            granted: BTreeMap::new(),
            refused: Vec::new(),
            next_retry: f64::INFINITY,
            late_rounds: 0,
        };
        let majority =
            self.electorates.last().map_or(voters.len(), |(_, electorate)| majority_size(electorate));
        self.ask_more_voters(claim, &mut pending, majority, out);
        self.pending.insert(claim, pending);
        Some(claim)
    }

    /// Handles a message from a voter; ignores all but votes.
    pub fn on_message(&mut self, now: f64, from: Node, message: Message, out: &mut Vec<Action>) {
        self.advance_clock(now);
        let Message::Vote { claim, electorate, full_electorate, verdict } = message else { return };
        full_electorate.into_iter().for_each(|full| self.remember_electorate(full));
        let Some(mut pending) = self.pending.remove(&claim) else { return };
        if let Some(asked) = pending.asked.get(&from) {
            let elapsed = self.now - asked;
            let average = self.vote_times.entry(from).or_insert(elapsed);
            *average += SMOOTHING * (elapsed - *average);
        }
        match verdict {
            Verdict::Granted => {
                pending.granted.insert(from, electorate);
                if self.has_majority(&pending.granted) {
                    self.grant_time += SMOOTHING * (self.now - pending.started_at - self.grant_time);
                    self.running.insert(claim, pending.into_running());
                    return out.push(Action::Granted(claim));
                }
                self.reclaim_stale_grants(claim, &mut pending, electorate, out);
            }
            Verdict::Held { by, fingerprint, answered } => {
                pending.refused.push(from);
                pending.next_retry = pending.next_retry.max(self.now + HELD_PAUSE);
                let answered_at = answered.then_some(from);
                out.push(Action::Held { claim, by, fingerprint, answered_at });
            }
            Verdict::Abstained => {
                pending.refused.push(from);
                self.ask_more_voters(claim, &mut pending, 1, out);
            }
        }
        self.pending.insert(claim, pending);
    }

    /// Withdraws expired claims and asks further voters for late ones. To be called no later than
    /// [`Claims::next_wake`].
    pub fn tick(&mut self, now: f64, out: &mut Vec<Action>) {
        self.advance_clock(now);
        let now = self.now;
        let expired = |pending: &Pending| pending.request.deadline <= now;
        let due = |pending: &Pending| pending.next_retry <= now;
        let ended: Vec<ClaimId> =
            self.pending.iter().filter(|(_, p)| expired(p)).map(|(id, _)| *id).collect();
        for claim in ended {
            self.release(now, claim, out);
            out.push(Action::Unavailable(claim));
        }
        let late: Vec<ClaimId> = self.pending.iter().filter(|(_, p)| due(p)).map(|(id, _)| *id).collect();
        for claim in late {
            let Some(mut pending) = self.pending.remove(&claim) else { continue };
            let voter_count = pending.voters.len();
            if pending.asked.len() >= voter_count {
                // the requests may have been lost, and voters that granted the claim may use another electorate now
                pending.asked.clear();
                pending.refused.clear();
            }
            pending.late_rounds += 1;
            self.ask_more_voters(claim, &mut pending, voter_count, out);
            self.pending.insert(claim, pending);
        }
    }

    /// Time by which [`Claims::tick`] is to be called.
    pub fn next_wake(&self) -> f64 {
        let due = self.pending.values().map(|pending| pending.request.deadline.min(pending.next_retry));
        due.fold(f64::INFINITY, f64::min)
    }

    /// Releases a claim whose operation has not run and never will, so that the key is free again.
    pub fn release(&mut self, now: f64, claim: ClaimId, out: &mut Vec<Action>) {
        self.advance_clock(now);
        let pending = self.pending.remove(&claim).map(Pending::into_running);
        let running = pending.or_else(|| self.running.remove(&claim));
        let Some(Running { key, begun_under, mut asked, .. }) = running else { return };
        if begun_under != self.newest_electorate() {
            // voters that were not asked may have fetched the claim from the others
            let voters = self.electorates.last().map(|(_, electorate)| electorate.others(self.me));
            asked.extend(voters.unwrap_or_default());
            asked.sort_unstable();
            asked.dedup();
        }
        for node in asked {
            out.push(Action::Send(node, Message::Release { key, claim }));
        }
    }

    /// Ends a granted claim whose operation has run or may have. Returns the voters that granted it, the nearest first.
    pub fn finish(&mut self, claim: ClaimId) -> Vec<Node> {
        self.running.remove(&claim).map(|running| running.granted).unwrap_or_default()
    }

    /// Number of claims that wait for votes.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// The voters in order of preference, those last that are no members: they can't grant anything, and machines that
    /// were removed soon don't reply.
    fn members_first(&self, voters: &[Node]) -> Vec<Node> {
        let mut voters = voters.to_vec();
        if let Some((_, newest)) = self.electorates.last() {
            voters.sort_by_key(|&node| !newest.is_voter(node));
        }
        voters
    }

    fn newest_electorate(&self) -> ElectorateId {
        self.electorates.last().map_or(ElectorateId::default(), |newest| newest.0)
    }

    /// Sends the claim to `count` more voters that have neither been asked nor refused, and sets the next retry.
    fn ask_more_voters(
        &mut self,
        claim: ClaimId,
        pending: &mut Pending,
        count: usize,
        out: &mut Vec<Action>,
    ) {
        let ClaimRequest { key, fingerprint, keep_s, .. } = pending.request;
        let electorate = self.newest_electorate();
        let not_asked = |node: &&Node| !pending.asked.contains_key(node) && !pending.refused.contains(node);
        let next_voters: Vec<Node> = pending.voters.iter().filter(not_asked).take(count).copied().collect();
        let mut wait = MIN_VOTE_WAIT;
        for node in next_voters {
            pending.asked.insert(node, self.now);
            let average = self.vote_times.get(&node).copied().unwrap_or(DEFAULT_VOTE_TIME);
            wait = wait.max(VOTE_WAIT_FACTOR * average);
            out.push(Action::Send(node, Message::Claim { key, claim, fingerprint, keep_s, electorate }));
        }
        pending.next_retry = self.now + wait.min(MAX_VOTE_WAIT) * f64::powi(2.0, pending.late_rounds);
    }

    /// Asks voters again that granted the claim under another electorate, since their votes don't count with this one.
    fn reclaim_stale_grants(
        &mut self,
        claim: ClaimId,
        pending: &mut Pending,
        electorate: ElectorateId,
        out: &mut Vec<Action>,
    ) {
        let stale: Vec<Node> =
            pending.granted.iter().filter(|(_, id)| **id != electorate).map(|(node, _)| *node).collect();
        if stale.is_empty() || self.electorates.last().is_none_or(|latest| latest.0 != electorate) {
            return;
        }
        for node in &stale {
            pending.granted.remove(node);
            pending.asked.remove(node);
        }
        self.ask_more_voters(claim, pending, stale.len(), out);
    }

    /// Whether the grants are a majority of one remembered electorate, all given under that electorate.
    fn has_majority(&self, granted: &BTreeMap<Node, ElectorateId>) -> bool {
        self.electorates.iter().any(|(id, electorate)| {
            electorate
                .has_majority(|node| granted.get(&node).is_some_and(|granted_under| granted_under == id))
        })
    }

    /// Remembers an electorate under which votes are cast.
    fn remember_electorate(&mut self, electorate: Electorate) {
        let id = electorate.id();
        self.electorates.retain(|known| known.0 != id);
        let at = self.electorates.partition_point(|known| known.1.version() <= electorate.version());
        self.electorates.insert(at, (id, electorate));
        if self.electorates.len() > MAX_ELECTORATES {
            self.electorates.remove(0);
        }
    }

    fn advance_clock(&mut self, now: f64) {
        self.now = self.now.max(now);
    }
}

/// The size of a majority of the larger of the two memberships: the number of voters to ask first.
fn majority_size(electorate: &Electorate) -> usize {
    electorate.members.len().max(electorate.outgoing.len()) / 2 + 1
}
