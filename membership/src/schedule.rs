//! The schedule of probes, and requests for the list of members.

use crate::membership::Membership;
use crate::{Body, Node, Packet, Standing};

/// Maximum number of pings on behalf of others that are pending at once.
pub(crate) const MAX_RELAYS: usize = 64;
/// Seconds between two attempts to reach a member that is gone, or a seed that is not in the table.
const RETRY_INTERVAL: f64 = 1.0;
/// The same interval for the first `FAST_RETRY_FOR` seconds after a member returned: others may have returned
/// too.
const FAST_RETRY_INTERVAL: f64 = 0.2;
const FAST_RETRY_FOR: f64 = 2.0;
/// A request for members is repeated after this many seconds, at most `QUERY_RETRIES` times.
const REPLY_TIMEOUT: f64 = 0.4;
const QUERY_RETRIES: u8 = 5;
/// Minimum number of seconds between two requests for members.
const QUERY_INTERVAL: f64 = 0.5;
/// Processes that start together learn about each other by asking a seed again, this many times at this
/// interval in seconds.
const STARTUP_QUERIES: u8 = 4;
const STARTUP_QUERY_INTERVAL: f64 = 0.6;
/// A core member, in turn, is asked for members missing here once in this many seconds, or in half a second
/// per known member if that is longer. Nobody sends rumours any more about a process that joined while this
/// one was partitioned.
const SURVEY_INTERVAL: f64 = 10.0;
const SURVEY_INTERVAL_PER_MEMBER: f64 = 0.5;
/// Maximum number of known members listed in a request.
const MAX_LISTED: usize = 180;

/// A probe without an answer so far.
pub(crate) struct Probe {
    pub sequence: u32,
    pub target: Node,
    pub sent: f64,
    pub due: f64,
    /// Indirect pings have been sent, or are not to be sent.
    pub indirect: bool,
    /// One of many probes: no indirect pings are sent for it.
    pub direct_only: bool,
}

/// A ping on behalf of another process.
pub(crate) struct Relay {
    pub sequence: u32,
    pub target: Node,
    pub requester: Node,
    pub requester_sequence: u32,
    pub due: f64,
}

/// A pending request for all members.
pub(crate) struct MembersQuery {
    pub sequence: u32,
    pub to: Node,
    /// Sent to a seed, which may not be running.
    pub seed: bool,
    pub include_known: bool,
    /// A bit for each part of the reply that arrived.
    pub received_parts: u64,
    pub part_count: u16,
    pub due: f64,
    pub retries_left: u8,
}

/// The times of the next probes, retries and requests, and their targets.
pub(crate) struct Schedule {
    pub probes: Vec<Probe>,
    pub relays: Vec<Relay>,
    /// This process has something new: the next probe is sent before its period is over.
    pub early_probe: bool,
    /// The readiness of this process changed: the core, which directs clients, gets it at once.
    pub notify_core: bool,
    /// The process to ask for members, and whether to ask also for the standing of known ones.
    pub members_source: Option<(Node, bool)>,
    pub last_sequence: u32,
    pub next_probe: f64,
    pub early_probe_after: f64,
    pub probe_round: u32,
    pub next_retry: f64,
    pub retry_index: usize,
    pub seed_index: usize,
    pub fast_retry_until: f64,
    pub query: Option<MembersQuery>,
    pub next_query_after: f64,
    /// Number of requests for members still to be sent after the start, and the time of the next one.
    pub startup_queries_left: u8,
    pub next_startup_query: f64,
    /// Time of the next request for members without a specific cause.
    pub next_survey: f64,
    pub survey_index: usize,
    pub next_reply_after: f64,
    /// Members that are alive by region, beginning after the own place in that order.
    pub ring: Vec<Node>,
    pub own_region: Vec<Node>,
    /// Members that are alive, for each other region.
    pub other_regions: Vec<Vec<Node>>,
    pub own_region_left: Vec<Node>,
    pub targets_stale: bool,
}

impl Schedule {
    /// Creates the schedule of a process that starts now. The first probe is due after `first` seconds.
    pub fn new(now: f64, first: f64, random: u32) -> Schedule {
        Schedule {
            probes: Vec::new(),
            relays: Vec::new(),
            early_probe: false,
            notify_core: false,
            members_source: None,
            last_sequence: random,
            next_probe: now + first,
            early_probe_after: now,
            probe_round: random >> 8,
            next_retry: now,
            retry_index: 0,
            seed_index: random as usize >> 4,
            fast_retry_until: now,
            query: None,
            next_query_after: now,
            startup_queries_left: STARTUP_QUERIES,
            next_startup_query: now + STARTUP_QUERY_INTERVAL,
            next_survey: now + SURVEY_INTERVAL,
            survey_index: random as usize >> 6,
            next_reply_after: now,
            ring: Vec::new(),
            own_region: Vec::new(),
            other_regions: Vec::new(),
            own_region_left: Vec::new(),
            targets_stale: true,
        }
    }

    /// Returns a new sequence number, never 0.
    pub fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1).max(1);
        self.last_sequence
    }

    /// Marks the probe targets for recomputation, since the table changed.
    pub fn mark_targets_stale(&mut self) {
        self.targets_stale = true;
    }

    /// Schedules a request for members to this process.
    pub fn request_members(&mut self, target: Node, include_known: bool) {
        let known_too = self.members_source.is_some_and(|s| s.1);
        self.members_source = Some((target, include_known || known_too));
    }

    /// Retries unreachable members sooner for a while, since one has returned.
    pub fn retry_soon(&mut self, now: f64) {
        self.fast_retry_until = now + FAST_RETRY_FOR;
        self.next_retry = self.next_retry.min(now + FAST_RETRY_INTERVAL);
    }

    /// Returns whether a request for members may be answered now.
    pub fn may_reply(&mut self, now: f64) -> bool {
        // Allows a burst of about 50, then 25 per second.
        let allowed = self.next_reply_after <= now + 2.0;
        if allowed {
            self.next_reply_after = self.next_reply_after.max(now) + 0.04;
        }
        allowed
    }

    /// Records that a request for members is sent now.
    fn start_query(&mut self, now: f64, sequence: u32, to: Node, seed: bool, include_known: bool) {
        let (due, retries_left) = (now + REPLY_TIMEOUT, QUERY_RETRIES);
        self.query = Some(MembersQuery {
            sequence,
            to,
            seed,
            include_known,
            received_parts: 0,
            part_count: 1,
            due,
            retries_left,
        });
    }

    /// Returns whether this is the sequence number of the pending request.
    pub fn is_current_query(&self, sequence: u32) -> bool {
        self.query.as_ref().is_some_and(|q| q.sequence == sequence)
    }

    /// Records that a part of the reply arrived.
    pub fn receive_part(&mut self, sequence: u32, part: u16, part_count: u16) {
        let Some(query) = self.query.as_mut().filter(|q| q.sequence == sequence && part < 64) else { return };
        query.received_parts |= 1 << part;
        query.part_count = part_count.min(64);
        if query.received_parts.count_ones() >= u32::from(query.part_count) {
            self.query = None;
        }
    }
}

impl Membership {
    /// Pings a member that is gone, asks a seed that is not in the table, and schedules the regular request
    /// for members.
    pub(crate) fn retry_unreachable(&mut self, now: f64, out: &mut Vec<(Node, Packet)>) {
        self.table.remove_gone_before(now - self.settings.forget_after);
        let fast = now < self.schedule.fast_retry_until;
        let gone: Vec<Node> = self.table.with_standing(Standing::Gone).map(|e| e.member.node).collect();
        self.schedule.next_retry =
            now + if fast && !gone.is_empty() { FAST_RETRY_INTERVAL } else { RETRY_INTERVAL };
        if !gone.is_empty() {
            // In turn, with a start that differs between processes.
            self.schedule.retry_index = self.schedule.retry_index.wrapping_add(1);
            let index = (self.schedule.retry_index + self.schedule.seed_index % 4096) % gone.len();
            let sequence = self.schedule.next_sequence();
            out.push(self.minimal_packet(now, gone[index], Body::Ping { sequence }));
        }
        if now >= self.schedule.next_survey {
            self.schedule.next_survey =
                now + SURVEY_INTERVAL.max(SURVEY_INTERVAL_PER_MEMBER * self.table.entries.len() as f64);
            let core = self.table.with_standing(Standing::Alive).filter(|e| e.member.card.core);
            let core: Vec<Node> = core.map(|e| e.member.node).collect();
            self.schedule.survey_index = self.schedule.survey_index.wrapping_add(1);
            if let Some(node) = core.get(self.schedule.survey_index % core.len().max(1)) {
                self.schedule.request_members(*node, false);
            }
        }
        let is_unknown = |s: &&Node| !self.table.entries.contains_key(s);
        let seeds: Vec<Node> = self.settings.seeds.iter().filter(is_unknown).copied().collect();
        if !seeds.is_empty() {
            self.schedule.seed_index = self.schedule.seed_index.wrapping_add(1);
            let to = seeds[self.schedule.seed_index % seeds.len()];
            if self.table.entries.is_empty() {
                self.schedule.next_retry = now + REPLY_TIMEOUT;
                self.schedule.next_startup_query = now + STARTUP_QUERY_INTERVAL;
                self.schedule.members_source = None;
            }
            let sequence = self.schedule.next_sequence();
            if self.schedule.query.is_none() {
                self.schedule.start_query(now, sequence, to, true, false);
            }
            self.send_members_request(now, sequence, to, false, out);
        }
    }

    /// Sends a request for members.
    fn send_members_request(
        &mut self,
        now: f64,
        sequence: u32,
        to: Node,
        include_known: bool,
        out: &mut Vec<(Node, Packet)>,
    ) {
        let known = self.table.entries.keys().copied().take(MAX_LISTED).collect();
        out.push(self.minimal_packet(now, to, Body::MembersRequest { sequence, include_known, known }));
    }

    /// Sends a request for members if one is scheduled, and repeats a pending one whose reply is incomplete.
    pub(crate) fn query_members(&mut self, now: f64, out: &mut Vec<(Node, Packet)>) {
        if let Some(mut query) = self.schedule.query.take_if(|q| now >= q.due) {
            if query.retries_left > 0 && !(query.seed && query.received_parts == 0) {
                query.to = self.sample_alive(1, |_| true).first().copied().unwrap_or(query.to);
                (query.retries_left, query.received_parts, query.due) =
                    (query.retries_left - 1, 0, now + REPLY_TIMEOUT);
                query.sequence = self.schedule.next_sequence();
                self.send_members_request(now, query.sequence, query.to, query.include_known, out);
                self.schedule.query = Some(query);
            }
        }
        if self.schedule.startup_queries_left > 0
            && now >= self.schedule.next_startup_query
            && !self.table.entries.is_empty()
        {
            self.schedule.startup_queries_left -= 1;
            self.schedule.next_startup_query = now + STARTUP_QUERY_INTERVAL;
            let settings = &self.settings;
            let seeds =
                self.table.with_standing(Standing::Alive).filter(|e| settings.seeds.contains(&e.member.node));
            let seeds: Vec<Node> = seeds.map(|e| e.member.node).collect();
            // Each seed in turn: a seed has every process that asked it before.
            let index =
                self.schedule.seed_index.wrapping_add(usize::from(self.schedule.startup_queries_left));
            if !seeds.is_empty() {
                self.schedule.request_members(seeds[index % seeds.len()], false);
            }
        }
        if self.schedule.query.is_some() || now < self.schedule.next_query_after {
            return;
        }
        let Some((to, include_known)) = self.schedule.members_source.take() else { return };
        self.schedule.next_query_after = now + QUERY_INTERVAL;
        let sequence = self.schedule.next_sequence();
        self.schedule.start_query(now, sequence, to, false, include_known);
        self.send_members_request(now, sequence, to, include_known, out);
    }
}
