//! What follows from verdicts over time. Late is not wrong, unheard is not wrong, and who is in doubt whether it is
//! wrong stays; a node goes out only where another one is left that serves what was set.

use crate::verdict::{Detector, LocalState, Others, Verdict};
use lupinledge_config::Part;

/// Set times, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// A node may be behind for so long.
    pub late: f64,
    /// The core's word of a difference stands for so long before it is acted on; that of peers as well.
    pub control: f64,
    pub peers: f64,
    /// How long a node stays out the first time; doubled each time again, up to `most`.
    pub hold: f64,
    pub most: f64,
    /// Prints and probes have to agree for so long before it returns.
    pub agree: f64,
    /// Before the directory names it again, it takes those clients for so long that know it.
    pub ease: f64,
    /// After so long without a difference former ones are forgotten.
    pub forgive: f64,
    /// Where nobody else takes clients, one that went out returns after so long in any case.
    pub alone: f64,
}

impl Settings {
    /// `apply`: when a change has to be in force everywhere after its acknowledgement.
    pub fn new(apply: f64) -> Settings {
        let (control, peers, hold, most) = (0.3, 1.0, 1.0, 60.0);
        let (agree, ease, forgive, alone) = (1.0, 1.0, 300.0, 3.0);
        Settings { late: apply + 0.5, control, peers, hold, most, agree, ease, forgive, alone }
    }
}

/// Where a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Matching,
    Late,
    Doubt,
    Out,
    Returning,
}

/// What the host is to do, in this order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// No client is to be taken, and nothing is to be sent any more.
    Withdraw { detector: Detector, part: Option<Part>, times: u32, hold: f64 },
    /// The tables are to be built from nothing, of the document that is held.
    Rebuild,
    /// The document is to be asked for afresh.
    Refetch,
    /// Clients that come are taken.
    AcceptClients,
    /// The directory may name it.
    Announce,
}

enum State {
    In,
    Out {
        wrong: (Detector, u64, u32),
        began: f64,
        until: f64,
        clean: Option<f64>,
        asked: f64,
        alone: Option<f64>,
    },
    Back {
        until: f64,
    },
}

/// Looks further apart than this mean that the process stood still: what it knew is old.
const STILL: f64 = 1.0;
/// While out, or in doubt with nobody to take its place, the state is asked for again after so long.
const AGAIN: f64 = 1.0;

/// See the module.
pub struct DriftMonitor {
    set: Settings,
    state: State,
    last: f64,
    /// For how long a difference or being behind was seen without a break.
    differs: f64,
    behind: f64,
    /// How often it went out lately, and when it last came back.
    times: u32,
    back: f64,
    asked: f64,
    standing: Standing,
}

impl DriftMonitor {
    /// In, and nothing known against it.
    pub fn new(now: f64, set: Settings) -> DriftMonitor {
        let (state, standing) = (State::In, Standing::Matching);
        let (differs, behind, times, asked) = (0.0, 0.0, 0, f64::NEG_INFINITY);
        DriftMonitor { set, state, last: now, differs, behind, times, back: now, asked, standing }
    }

    /// Where it stands since the last look.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Seconds after which a client may come back: to one of the others soon, to this one later.
    pub fn retry_after(&self, now: f64) -> f64 {
        match self.state {
            State::Out { alone: Some(_), until, .. } => (until - now).clamp(self.set.agree, 5.0),
            State::Out { .. } => 0.2,
            _ => 0.0,
        }
    }

    /// To be called several times a second, with what is seen now.
    pub fn evaluate(&mut self, now: f64, own: &LocalState, others: &Others) -> Vec<Action> {
        let gap = now - std::mem::replace(&mut self.last, now);
        let still = gap > STILL;
        let step = if still { 0.0 } else { gap.max(0.0) };
        let verdict = others.verdict;
        let count = |so_far: f64, on: bool| if on && !still { so_far + step } else { 0.0 };
        self.behind = count(self.behind, verdict == Verdict::Late);
        self.differs = count(self.differs, matches!(verdict, Verdict::Differs(_)));
        match &mut self.state {
            State::Out { .. } => self.out(now, own, others),
            State::In | State::Back { .. } => self.inside(now, own, others),
        }
    }

    fn inside(&mut self, now: f64, own: &LocalState, others: &Others) -> Vec<Action> {
        let due = match others.verdict {
            Verdict::Differs(Detector::Own) => Some((Detector::Own, true)),
            Verdict::Differs(Detector::Control) => {
                Some((Detector::Control, self.differs >= self.set.control))
            }
            Verdict::Differs(Detector::Peers) => Some((Detector::Peers, self.differs >= self.set.peers)),
            Verdict::Late => Some((Detector::Control, self.behind >= self.set.late)),
            Verdict::Matching | Verdict::Unheard => None,
        };
        if let Some((detector, true)) = due {
            self.standing = Standing::Doubt;
            if others.witness {
                return self.go_out(now, own, detector);
            }
            // nobody else is left that serves what was set: mended without a pause, if it can be
            if now - self.asked < AGAIN {
                return Vec::new();
            }
            self.asked = now;
            return match detector {
                Detector::Own => vec![Action::Rebuild],
                _ => vec![Action::Rebuild, Action::Refetch],
            };
        }
        if let State::Back { until } = self.state {
            self.standing = Standing::Returning;
            if now >= until && due.is_none() {
                (self.state, self.back) = (State::In, now);
                return vec![Action::Announce];
            }
            return Vec::new();
        }
        self.standing = match due {
            None => Standing::Matching,
            Some(_) if others.verdict == Verdict::Late => Standing::Late,
            Some(_) => Standing::Doubt,
        };
        if due.is_none() && now - self.back >= self.set.forgive {
            self.times = 0;
        }
        Vec::new()
    }

    fn go_out(&mut self, now: f64, own: &LocalState, detector: Detector) -> Vec<Action> {
        self.times += 1;
        let hold = (self.set.hold * 2f64.powi(self.times.min(30) as i32 - 1)).min(self.set.most);
        self.state = State::Out {
            wrong: (detector, own.index, own.print),
            began: now,
            until: now + hold,
            clean: None,
            asked: now,
            alone: None,
        };
        self.standing = Standing::Out;
        let shut = Action::Withdraw { detector, part: own.faulty_part, times: self.times, hold };
        vec![shut, Action::Rebuild, Action::Refetch]
    }

    fn out(&mut self, now: f64, own: &LocalState, others: &Others) -> Vec<Action> {
        let State::Out { wrong, began, until, clean, asked, alone } = &mut self.state else {
            return Vec::new();
        };
        // what others found is over when they say so, or when there are other rules in force
        let same = wrong.0 != Detector::Own && (wrong.1, wrong.2) == (own.index, own.print);
        let agrees = match others.verdict {
            Verdict::Matching => own.verified,
            Verdict::Unheard => own.verified && own.index > 0 && !same,
            _ => false,
        };
        *clean = if agrees { clean.or(Some(now)) } else { None };
        *alone = if others.ready == 0 { alone.or(Some(now)) } else { None };
        let lonely = alone.is_some();
        let whole = clean.is_some_and(|since| now - since >= self.set.agree);
        let needed =
            alone.is_some_and(|since| now - since >= self.set.alone) && now - *began >= self.set.alone;
        if whole && (now >= *until || lonely) || needed {
            self.state = State::Back { until: now + if lonely { 0.0 } else { self.set.ease } };
            (self.standing, self.differs, self.behind) = (Standing::Returning, 0.0, 0.0);
            return vec![Action::AcceptClients];
        }
        if !agrees && now - *asked >= AGAIN {
            *asked = now;
            return vec![Action::Rebuild, Action::Refetch];
        }
        Vec::new()
    }
}
