//! What a gateway watches before its operators move to other terms: it decides as before, and this counts, by
//! kind, where the terms to come would not have allowed a decision or would have taken it otherwise. It is
//! shown the events and actions of each round, changes neither, and keeps only reqs that are not over.

use lupinledge::interface::{Action, DedupScope, Effect, Event, Frontend, Outcome, ServerEntry, Terms};
use lupinledge::time::Timestamp;
use std::collections::HashMap;

/// Kinds of decisions that the terms to come would have taken otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Divergence {
    /// A dispatch beside another of the same req, where two may not be out at once.
    SecondCopy,
    /// A dispatch more than a req may have.
    Attempts,
    /// A dispatch of a req that may have run, where its effect forbids it.
    Repeat,
    /// A denial of a req that may have run, where it would have to be an abort.
    Denial,
    /// A first dispatch past this gateway's even part of a hard ceiling.
    Ceiling,
    /// A req that its mark tells to be a repeat, where clients carry none.
    Unmarked,
    /// A hint when to come back, where none may be given or only a shorter one.
    Hint,
}

impl Divergence {
    pub const ALL: [Divergence; 7] = [
        Divergence::SecondCopy,
        Divergence::Attempts,
        Divergence::Repeat,
        Divergence::Denial,
        Divergence::Ceiling,
        Divergence::Unmarked,
        Divergence::Hint,
    ];
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

struct Sent {
    srv: u32,
    at: Timestamp,
    running: bool,
    ran: bool,
}

struct Seen {
    frontend: usize,
    plan: usize,
    units: f64,
    customer: u64,
    spread: f64,
    sent: Vec<Sent>,
    over: bool,
}

/// A part of a hard ceiling: empty at the start, as the decisions keep it.
struct Slice {
    holds: f64,
    at: Timestamp,
}

pub struct ShadowCounter {
    terms: Terms,
    began: Option<Timestamp>,
    reqs: HashMap<u64, Seen>,
    places: HashMap<u32, (u16, u16)>,
    slices: HashMap<u64, Slice>,
    counts: [u64; Divergence::ALL.len()],
}

impl ShadowCounter {
    /// With the terms to come. Frontends and plans are those of the terms in force, in the same order.
    pub fn new(terms: Terms) -> ShadowCounter {
        let (reqs, places, slices) = Default::default();
        ShadowCounter { terms, began: None, reqs, places, slices, counts: [0; Divergence::ALL.len()] }
    }

    /// Shows one round: its events, before the decisions take them.
    pub fn record_events(&mut self, now: Timestamp, events: &[Event]) {
        self.began.get_or_insert(now);
        for e in events {
            match e {
                Event::List { rows, .. } => self.places.extend(rows.iter().map(place)),
                Event::Req(n) if self.terms.contains(n) => {
                    if n.repeat && !self.terms.marks_repeats {
                        self.up(Divergence::Unmarked);
                    }
                    let (units, spread) = (n.units, n.spread.max(1.0));
                    let (frontend, plan, customer) = (n.frontend, n.plan, n.customer);
                    let (sent, over) = (Vec::new(), false);
                    self.reqs.insert(n.id, Seen { frontend, plan, units, customer, spread, sent, over });
                }
                Event::Ended(e, _) => {
                    let Some(r) = self.reqs.get_mut(&e.id) else { continue };
                    if let Some(t) = r.sent.get_mut(e.nth as usize) {
                        t.running = false;
                        t.ran =
                            !matches!(e.outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent);
                    }
                    r.over |= e.closed;
                    self.drop_over(e.id);
                }
                Event::Left { id } => self.over(*id),
                _ => {}
            }
        }
    }

    /// And the actions that the decisions answered it with.
    pub fn record_actions(&mut self, now: Timestamp, actions: &[Action]) {
        for a in actions {
            match *a {
                Action::Dispatch { id, server, .. } => self.dispatch(now, id, server),
                Action::Deny { id, back_off } => {
                    let longest = if self.terms.may_hint { self.terms.longest_hint.secs() } else { 0.0 };
                    if back_off.secs() > longest + 1e-6 {
                        self.up(Divergence::Hint);
                    }
                    let may = self.reqs.get(&id).is_none_or(|r| {
                        let f = &self.terms.frontends[r.frontend];
                        let harmless = f.effect == Effect::Deduplicated && f.group == DedupScope::All;
                        f.effect == Effect::Replayable || harmless || !r.sent.iter().any(|t| t.ran)
                    });
                    if !may {
                        self.up(Divergence::Denial);
                    }
                    self.over(id);
                }
                Action::Abort { id } => self.over(id),
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, now: Timestamp, id: u64, srv: u32) {
        let Some(r) = self.reqs.get_mut(&id) else { return };
        let f = self.terms.frontends[r.frontend];
        let (first, running) = (r.sent.is_empty(), r.sent.iter().any(|t| t.running));
        let attempts = r.sent.len() >= f.max_dispatches as usize;
        let repeat = r.sent.iter().find(|t| t.ran).is_some_and(|t| !repeats(&f, t, srv, now, &self.places));
        r.sent.push(Sent { srv, at: now, running: true, ran: true });
        let (plan, units, customer, spread) = (r.plan, r.units, r.customer, r.spread);
        for (kind, holds) in [
            (Divergence::SecondCopy, running && !self.terms.may_duplicate),
            (Divergence::Attempts, attempts),
            (Divergence::Repeat, repeat),
            (Divergence::Ceiling, first && !self.ceiling(now, plan, customer, spread, units)),
        ] {
            if holds {
                self.up(kind);
            }
        }
    }

    /// Whether the units fit into the customer's slice here; they are taken from it if they do.
    fn ceiling(&mut self, now: Timestamp, plan: usize, customer: u64, spread: f64, units: f64) -> bool {
        let p = &self.terms.plans[plan];
        if p.ceiling_rate <= 0.0 {
            return true;
        }
        if self.slices.len() >= MOST_SLICES {
            // a full one is as one never met, but for the time that a new one takes to fill
            let all = (p.ceiling_burst / p.ceiling_rate).max(1.0);
            self.slices.retain(|_, s| now.since(s.at) < all);
        }
        let at = self.began.unwrap_or(now);
        let s = self.slices.entry(customer).or_insert(Slice { holds: 0.0, at });
        let gained = p.ceiling_rate / spread * now.since(s.at);
        (s.holds, s.at) = ((s.holds + gained).min(p.ceiling_burst / spread), now);
        let fits = s.holds >= units;
        s.holds -= if fits { units } else { 0.0 };
        fits
    }

    fn over(&mut self, id: u64) {
        if let Some(r) = self.reqs.get_mut(&id) {
            r.over = true;
        }
        self.drop_over(id);
    }

    fn drop_over(&mut self, id: u64) {
        if self.reqs.get(&id).is_some_and(|r| r.over && !r.sent.iter().any(|t| t.running)) {
            self.reqs.remove(&id);
        }
    }

    fn up(&mut self, kind: Divergence) {
        self.counts[kind as usize] += 1;
    }

    pub fn count(&self, kind: Divergence) -> u64 {
        self.counts[kind as usize]
    }

    /// Reqs that are not over.
    pub fn open(&self) -> usize {
        self.reqs.len()
    }
}

fn place(row: &ServerEntry) -> (u32, (u16, u16)) {
    (row.server, (row.zone, row.cell))
}

/// Whether a req may go to this srv after a dispatch that may have run.
fn repeats(f: &Frontend, ran: &Sent, srv: u32, now: Timestamp, places: &HashMap<u32, (u16, u16)>) -> bool {
    let at = |srv| places.get(&srv).copied().unwrap_or_default();
    let same = match f.group {
        DedupScope::All => true,
        DedupScope::Zone => at(ran.srv).0 == at(srv).0,
        DedupScope::Cell => at(ran.srv).1 == at(srv).1,
    };
    match f.effect {
        Effect::Replayable => true,
        Effect::NonReplayable => false,
        Effect::Deduplicated => same && now - ran.at <= f.memory,
    }
}

/// Customers under a ceiling that are kept; some megabytes at the most.
const MOST_SLICES: usize = 65_536;
