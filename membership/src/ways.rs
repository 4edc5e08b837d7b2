//! Whom to ask when, and the questions for members.

use crate::swarm::Membership;
use crate::{Body, Node, Packet, Standing};

/// So many probes for others at once.
pub(crate) const RELAYS: usize = 64;
/// How often one that is gone, or a seed not known, is tried.
const SLOW: f64 = 1.0;
/// The same after one came back, for `HURRY` seconds: others may be back too.
const FAST: f64 = 0.2;
const HURRY: f64 = 2.0;
/// A question for members is repeated after this many seconds, so often.
const ANSWER: f64 = 0.4;
const TRIES: u8 = 5;
/// No new one within so many seconds.
const ASK: f64 = 0.5;
/// Those who start together learn of each other by asking a seed again, so often, after so many seconds each.
const GREETINGS: u8 = 4;
const GREET: f64 = 0.6;
/// One of the core, by turns, is asked for those that are not known here once in so many seconds, and half a second for each one
/// known: who came while this process was cut off is told of by nobody any more.
const SURVEY: f64 = 10.0;
const SURVEY_EACH: f64 = 0.5;
/// So many known ones are named at most.
const KNOWN: usize = 180;

/// A probe without an answer yet.
pub(crate) struct Probe {
    pub n: u32,
    pub of: Node,
    pub sent: f64,
    pub due: f64,
    pub helped: bool,
    /// One of many: nobody else is asked for it.
    pub alone: bool,
}

/// A probe for another one.
pub(crate) struct Relay {
    pub n: u32,
    pub of: Node,
    pub to: Node,
    pub asked: u32,
    pub due: f64,
}

/// A question for all members.
pub(crate) struct Asked {
    pub n: u32,
    pub to: Node,
    /// Asked of a seed that may not be there.
    pub seed: bool,
    pub all: bool,
    pub got: u64,
    pub of: u16,
    pub due: f64,
    pub tries: u8,
}

/// Whom to ask when.
pub(crate) struct Ways {
    pub probes: Vec<Probe>,
    pub relays: Vec<Relay>,
    /// News of this process's own: it is passed on before the next probe is due.
    pub hasten: bool,
    /// This process is ready or leaves, or no more: the core, which tells clients where to go, hears it at once.
    pub herald: bool,
    /// Whom to ask for members, and whether also for what is thought of known ones.
    pub lacking: Option<(Node, bool)>,
    pub last_n: u32,
    pub next: f64,
    pub hastened: f64,
    pub round: u32,
    pub slow: f64,
    pub slow_at: usize,
    pub seed_at: usize,
    pub hurry: f64,
    pub asked: Option<Asked>,
    pub ask_not_before: f64,
    /// After the start: so many questions for members yet, and when the next one is due.
    pub greetings: u8,
    pub greet: f64,
    /// When members are asked for next without a cause.
    pub survey: f64,
    pub surveys: usize,
    pub tell_not_before: f64,
    /// Alive ones by region, from this one's place in the ring on.
    pub ring: Vec<Node>,
    pub near: Vec<Node>,
    /// Alive ones of each other region.
    pub far: Vec<Vec<Node>>,
    pub near_left: Vec<Node>,
    pub stale: bool,
}

impl Ways {
    pub fn new(now: f64, first: f64, n: u32) -> Ways {
        Ways {
            probes: Vec::new(),
            relays: Vec::new(),
            hasten: false,
            herald: false,
            lacking: None,
            last_n: n,
            next: now + first,
            hastened: now,
            round: n >> 8,
            slow: now,
            slow_at: 0,
            seed_at: n as usize >> 4,
            hurry: now,
            asked: None,
            ask_not_before: now,
            greetings: GREETINGS,
            greet: now + GREET,
            survey: now + SURVEY,
            surveys: n as usize >> 6,
            tell_not_before: now,
            ring: Vec::new(),
            near: Vec::new(),
            far: Vec::new(),
            near_left: Vec::new(),
            stale: true,
        }
    }

    /// A fresh number for a question; never 0.
    pub fn number(&mut self) -> u32 {
        self.last_n = self.last_n.wrapping_add(1).max(1);
        self.last_n
    }

    /// The table changed.
    pub fn stale(&mut self) {
        self.stale = true;
    }

    /// There is something to be asked of this one.
    pub fn lack(&mut self, of: Node, all: bool) {
        let before = self.lacking.is_some_and(|l| l.1);
        self.lacking = Some((of, all || before));
    }

    /// One that was gone is back: others may be, too.
    pub fn hurry(&mut self, now: f64) {
        self.hurry = now + HURRY;
        self.slow = self.slow.min(now + FAST);
    }

    /// Whether a question for all members may be answered now.
    pub fn may_tell(&mut self, now: f64) -> bool {
        // some at once, then 25 a second
        let free = self.tell_not_before <= now + 2.0;
        if free {
            self.tell_not_before = self.tell_not_before.max(now) + 0.04;
        }
        free
    }

    /// A question for all members goes out now.
    fn ask(&mut self, now: f64, n: u32, to: Node, seed: bool, all: bool) {
        let (due, tries) = (now + ANSWER, TRIES);
        self.asked = Some(Asked { n, to, seed, all, got: 0, of: 1, due, tries });
    }

    /// Whether this number is the one of the present question for all members.
    pub fn asked(&self, n: u32) -> bool {
        self.asked.as_ref().is_some_and(|a| a.n == n)
    }

    /// A piece of the answer came.
    pub fn piece(&mut self, n: u32, part: u16, of: u16) {
        let Some(asked) = self.asked.as_mut().filter(|a| a.n == n && part < 64) else { return };
        asked.got |= 1 << part;
        asked.of = of.min(64);
        if asked.got.count_ones() >= u32::from(asked.of) {
            self.asked = None;
        }
    }
}

impl Membership {
    /// Tries one that is gone, and a seed that is not known.
    pub(crate) fn slow(&mut self, now: f64, out: &mut Vec<(Node, Packet)>) {
        self.table.forget(now - self.set.forget);
        let hurry = now < self.ways.hurry;
        let gone: Vec<Node> = self.table.with(Standing::Gone).map(|e| e.member.node).collect();
        self.ways.slow = now + if hurry && !gone.is_empty() { FAST } else { SLOW };
        if !gone.is_empty() {
            // by turns; the start differs from process to process
            self.ways.slow_at = self.ways.slow_at.wrapping_add(1);
            let at = (self.ways.slow_at + self.ways.seed_at % 4096) % gone.len();
            let n = self.ways.number();
            out.push(self.doubtful(now, gone[at], Body::Ping { n }));
        }
        if now >= self.ways.survey {
            self.ways.survey = now + SURVEY.max(SURVEY_EACH * self.table.map.len() as f64);
            let core = self.table.with(Standing::Alive).filter(|e| e.member.card.core);
            let core: Vec<Node> = core.map(|e| e.member.node).collect();
            self.ways.surveys = self.ways.surveys.wrapping_add(1);
            if let Some(node) = core.get(self.ways.surveys % core.len().max(1)) {
                self.ways.lack(*node, false);
            }
        }
        let unknown = |s: &&Node| !self.table.map.contains_key(s);
        let seeds: Vec<Node> = self.set.seeds.iter().filter(unknown).copied().collect();
        if !seeds.is_empty() {
            self.ways.seed_at = self.ways.seed_at.wrapping_add(1);
            let to = seeds[self.ways.seed_at % seeds.len()];
            if self.table.map.is_empty() {
                self.ways.slow = now + ANSWER;
                self.ways.greet = now + GREET;
                self.ways.lacking = None;
            }
            let n = self.ways.number();
            if self.ways.asked.is_none() {
                self.ways.ask(now, n, to, true, false);
            }
            self.hello(now, n, to, false, out);
        }
    }

    /// Asks for members.
    fn hello(&mut self, now: f64, n: u32, to: Node, all: bool, out: &mut Vec<(Node, Packet)>) {
        let known = self.table.map.keys().copied().take(KNOWN).collect();
        out.push(self.doubtful(now, to, Body::Hello { n, all, known }));
    }

    /// Asks for all members where that is called for, and again while pieces are missing.
    pub(crate) fn ask_members(&mut self, now: f64, out: &mut Vec<(Node, Packet)>) {
        if let Some(mut asked) = self.ways.asked.take_if(|a| now >= a.due) {
            if asked.tries > 0 && !(asked.seed && asked.got == 0) {
                asked.to = self.sample_alive(1, |_| true).first().copied().unwrap_or(asked.to);
                (asked.tries, asked.got, asked.due) = (asked.tries - 1, 0, now + ANSWER);
                asked.n = self.ways.number();
                self.hello(now, asked.n, asked.to, asked.all, out);
                self.ways.asked = Some(asked);
            }
        }
        if self.ways.greetings > 0 && now >= self.ways.greet && !self.table.map.is_empty() {
            self.ways.greetings -= 1;
            self.ways.greet = now + GREET;
            let set = &self.set;
            let seeds = self.table.with(Standing::Alive).filter(|e| set.seeds.contains(&e.member.node));
            let seeds: Vec<Node> = seeds.map(|e| e.member.node).collect();
            // each of them in turn: it knows whoever asked it first
            let turn = self.ways.seed_at.wrapping_add(usize::from(self.ways.greetings));
            if !seeds.is_empty() {
                self.ways.lack(seeds[turn % seeds.len()], false);
            }
        }
        if self.ways.asked.is_some() || now < self.ways.ask_not_before {
            return;
        }
        let Some((to, all)) = self.ways.lacking.take() else { return };
        self.ways.ask_not_before = now + ASK;
        let n = self.ways.number();
        self.ways.ask(now, n, to, false, all);
        self.hello(now, n, to, all, out);
    }
}
