//! Shadow evaluation of proposed terms before operators switch to them. The gateway decides by its current terms, and
//! this module counts, by kind, the decisions that the proposed terms would not have allowed or would have taken
//! differently. It receives the events and actions of each round, changes neither, and keeps only unfinished requests.

use lupinledge::interface::{Action, DedupScope, Effect, Event, Frontend, Outcome, ServerEntry, Terms};
use lupinledge::time::Timestamp;
use std::collections::HashMap;

/// Kinds of decisions that the proposed terms would have taken differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Divergence {
    /// A dispatch while another one of the same request is running, where duplicates are not allowed.
    SecondCopy,
    /// A dispatch beyond the maximum number for a request.
    Attempts,
    /// Another dispatch of a request that may have run, where its effect forbids repeating it.
    Repeat,
    /// A denial of a request that may have run, which should have been an abort.
    Denial,
    /// A first dispatch that exceeds this gateway's equal share of a hard ceiling.
    Ceiling,
    /// A request marked as a repeat, where clients do not mark repeats.
    Unmarked,
    /// A retry hint, where none is allowed or only a shorter one.
    Hint,
}

impl Divergence {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Divergence; 7] = [
        Divergence::SecondCopy,
        Divergence::Attempts,
        Divergence::Repeat,
        Divergence::Denial,
        Divergence::Ceiling,
        Divergence::Unmarked,
        Divergence::Hint,
    ];

    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Divergence::SecondCopy => "second_copy",
            Divergence::Attempts => "attempts",
            Divergence::Repeat => "repeat",
            Divergence::Denial => "denial",
            Divergence::Ceiling => "ceiling",
            Divergence::Unmarked => "unmarked",
            Divergence::Hint => "hint",
        }
    }
}

/// A dispatch of a request.
struct Attempt {
    server: u32,
    at: Timestamp,
    running: bool,
    /// Whether it may have run.
    ran: bool,
}

/// A request that is not finished.
struct OpenRequest {
    frontend: usize,
    plan: usize,
    units: f64,
    customer: u64,
    /// Number by which a ceiling is divided among gateways.
    spread: f64,
    attempts: Vec<Attempt>,
    finished: bool,
}

/// This gateway's share of a customer's hard ceiling, as a token bucket. It starts empty, as in the decisions.
struct CeilingShare {
    level: f64,
    at: Timestamp,
}

/// Counts the divergences of the decisions from the proposed terms.
pub struct ShadowCounter {
    terms: Terms,
    started_at: Option<Timestamp>,
    requests: HashMap<u64, OpenRequest>,
    locations: HashMap<u32, (u16, u16)>,
    shares: HashMap<u64, CeilingShare>,
    counts: [u64; Divergence::ALL.len()],
}

impl ShadowCounter {
    /// `terms` are the proposed terms. Their frontends and plans must be those of the current terms, in the same order.
    pub fn new(terms: Terms) -> ShadowCounter {
        let (requests, locations, shares) = Default::default();
        ShadowCounter {
            terms,
            started_at: None,
            requests,
            locations,
            shares,
            counts: [0; Divergence::ALL.len()],
        }
    }

    /// Records the events of one round; must be called before the decisions process them.
    pub fn record_events(&mut self, now: Timestamp, events: &[Event]) {
        self.started_at.get_or_insert(now);
        for e in events {
            match e {
                Event::List { rows, .. } => self.locations.extend(rows.iter().map(location)),
                Event::Req(n) if self.terms.contains(n) => {
                    if n.repeat && !self.terms.marks_repeats {
                        self.increment(Divergence::Unmarked);
                    }
                    let (units, spread) = (n.units, n.spread.max(1.0));
                    let (frontend, plan, customer) = (n.frontend, n.plan, n.customer);
                    let (attempts, finished) = (Vec::new(), false);
                    self.requests.insert(
                        n.id,
                        OpenRequest { frontend, plan, units, customer, spread, attempts, finished },
                    );
                }
                Event::Ended(e, _) => {
                    let Some(r) = self.requests.get_mut(&e.id) else { continue };
                    if let Some(t) = r.attempts.get_mut(e.nth as usize) {
                        t.running = false;
                        t.ran =
                            !matches!(e.outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent);
                    }
                    r.finished |= e.closed;
                    self.remove_if_finished(e.id);
                }
                Event::Left { id } => self.finish(*id),
                _ => {}
            }
        }
    }

    /// Records the actions that the decisions returned for the round.
    pub fn record_actions(&mut self, now: Timestamp, actions: &[Action]) {
        for a in actions {
            match *a {
                Action::Dispatch { id, server, .. } => self.dispatch(now, id, server),
                Action::Deny { id, back_off } => {
                    let longest = if self.terms.may_hint { self.terms.longest_hint.secs() } else { 0.0 };
                    if back_off.secs() > longest + 1e-6 {
                        self.increment(Divergence::Hint);
                    }
                    let allowed = self.requests.get(&id).is_none_or(|r| {
                        let f = &self.terms.frontends[r.frontend];
                        let deduplicated_everywhere =
                            f.effect == Effect::Deduplicated && f.dedup_scope == DedupScope::All;
                        f.effect == Effect::Replayable
                            || deduplicated_everywhere
                            || !r.attempts.iter().any(|t| t.ran)
                    });
                    if !allowed {
                        self.increment(Divergence::Denial);
                    }
                    self.finish(id);
                }
                Action::Abort { id } => self.finish(id),
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, now: Timestamp, id: u64, server: u32) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let f = self.terms.frontends[r.frontend];
        let (first, running) = (r.attempts.is_empty(), r.attempts.iter().any(|t| t.running));
        let too_many = r.attempts.len() >= f.max_dispatches as usize;
        let forbidden_repeat = r
            .attempts
            .iter()
            .find(|t| t.ran)
            .is_some_and(|t| !may_repeat(&f, t, server, now, &self.locations));
        r.attempts.push(Attempt { server, at: now, running: true, ran: true });
        let (plan, units, customer, spread) = (r.plan, r.units, r.customer, r.spread);
        for (kind, occurred) in [
            (Divergence::SecondCopy, running && !self.terms.may_duplicate),
            (Divergence::Attempts, too_many),
            (Divergence::Repeat, forbidden_repeat),
            (Divergence::Ceiling, first && !self.take_from_ceiling(now, plan, customer, spread, units)),
        ] {
            if occurred {
                self.increment(kind);
            }
        }
    }

    /// Takes the units from this gateway's share of the customer's ceiling if they fit; returns whether they do.
    fn take_from_ceiling(
        &mut self,
        now: Timestamp,
        plan: usize,
        customer: u64,
        spread: f64,
        units: f64,
    ) -> bool {
        let p = &self.terms.plans[plan];
        if p.ceiling_rate <= 0.0 {
            return true;
        }
        if self.shares.len() >= MAX_SHARES {
            // a share that had time to fill up may be dropped: the only difference is that a new one has to fill again
            let fill_time = (p.ceiling_burst / p.ceiling_rate).max(1.0);
            self.shares.retain(|_, s| now.since(s.at) < fill_time);
        }
        let at = self.started_at.unwrap_or(now);
        let s = self.shares.entry(customer).or_insert(CeilingShare { level: 0.0, at });
        let gained = p.ceiling_rate / spread * now.since(s.at);
        (s.level, s.at) = ((s.level + gained).min(p.ceiling_burst / spread), now);
        let fits = s.level >= units;
        s.level -= if fits { units } else { 0.0 };
        fits
    }

    fn finish(&mut self, id: u64) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.finished = true;
        }
        self.remove_if_finished(id);
    }

    fn remove_if_finished(&mut self, id: u64) {
        if self.requests.get(&id).is_some_and(|r| r.finished && !r.attempts.iter().any(|t| t.running)) {
            self.requests.remove(&id);
        }
    }

    fn increment(&mut self, kind: Divergence) {
        self.counts[kind as usize] += 1;
    }

    /// Number of decisions that diverged in this way.
    pub fn count(&self, kind: Divergence) -> u64 {
        self.counts[kind as usize]
    }

    /// Number of requests that are not finished.
    pub fn open(&self) -> usize {
        self.requests.len()
    }
}

/// The location of a server: its zone and cell.
fn location(row: &ServerEntry) -> (u32, (u16, u16)) {
    (row.server, (row.zone, row.cell))
}

/// Whether a request may be sent to this server after a previous attempt that may have run.
fn may_repeat(
    f: &Frontend,
    previous: &Attempt,
    server: u32,
    now: Timestamp,
    locations: &HashMap<u32, (u16, u16)>,
) -> bool {
    let location_of = |server| locations.get(&server).copied().unwrap_or_default();
    let same_scope = match f.dedup_scope {
        DedupScope::All => true,
        DedupScope::Zone => location_of(previous.server).0 == location_of(server).0,
        DedupScope::Cell => location_of(previous.server).1 == location_of(server).1,
    };
    match f.effect {
        Effect::Replayable => true,
        Effect::NonReplayable => false,
        Effect::Deduplicated => same_scope && now - previous.at <= f.dedup_memory,
    }
}

/// Maximum number of customers with a ceiling that are kept, a few megabytes.
const MAX_SHARES: usize = 65_536;
