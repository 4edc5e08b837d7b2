//! The conclusion from verdicts over time. Being behind for a short time is not an error, and neither is a lack of
//! reports. While it is uncertain whether a node's tables are wrong, it stays in service. A node withdraws only if
//! another one remains that serves the current configuration.

use crate::verdict::{Comparison, Detector, LocalState, Verdict};
use lupinledge_config::Part;

/// Timing of the decisions, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a node may have an older document than the core.
    pub max_lag: f64,
    /// How long a difference from the core must last before the node acts on it.
    pub core_delay: f64,
    /// The same for a difference from other edge nodes.
    pub peers_delay: f64,
    /// How long a node stays withdrawn the first time; doubled with each repetition, up to `max_hold`.
    pub initial_hold: f64,
    /// Upper limit of the doubled `initial_hold`.
    pub max_hold: f64,
    /// How long fingerprints and probes must match before the node returns.
    pub clean_period: f64,
    /// How long a returning node accepts only the clients that already have its address, before the directory lists it
    /// again.
    pub unlisted_period: f64,
    /// After this time without a difference, earlier withdrawals are no longer counted.
    pub forget_after: f64,
    /// If no other node accepts clients, a withdrawn node returns after this time in any case.
    pub alone_timeout: f64,
}

impl Settings {
    /// `apply` is the time within which a change must be in force everywhere after its acknowledgement.
    pub fn new(apply: f64) -> Settings {
        let (core_delay, peers_delay, initial_hold, max_hold) = (0.3, 1.0, 1.0, 60.0);
        let (clean_period, unlisted_period, forget_after, alone_timeout) = (1.0, 1.0, 300.0, 3.0);
        Settings {
            max_lag: apply + 0.5,
            core_delay,
            peers_delay,
            initial_hold,
            max_hold,
            clean_period,
            unlisted_period,
            forget_after,
            alone_timeout,
        }
    }
}

/// The status of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// In service, with no evidence of a difference.
    Matching,
    /// In service, and behind the core within the allowed time.
    Behind,
    /// In service, and suspected to differ.
    Suspected,
    /// Withdrawn from service.
    Withdrawn,
    /// Accepts clients again, but is not listed in the directory yet.
    Returning,
}

/// What the caller has to do, in this order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Stop accepting clients and stop forwarding requests. `times` is the number of recent withdrawals including this
    /// one, `hold` the seconds until the node may return.
    Withdraw { detector: Detector, part: Option<Part>, times: u32, hold: f64 },
    /// Rebuild the tables from scratch, from the document that is held.
    Rebuild,
    /// Request the document again.
    Refetch,
    /// Accept clients again.
    AcceptClients,
    /// Allow the directory to list the node.
    Announce,
}

enum State {
    InService,
    Withdrawn {
        diverged: (Detector, u64, u32),
        since: f64,
        until: f64,
        clean_since: Option<f64>,
        last_request: f64,
        alone_since: Option<f64>,
    },
    Returning {
        until: f64,
    },
}

/// A longer gap between two evaluations means that the process was paused: its view of the others is outdated.
const MAX_GAP: f64 = 1.0;
/// Interval of repeated requests for the state, while withdrawn or while suspected without a replacement.
const REQUEST_INTERVAL: f64 = 1.0;

/// Decides from the verdicts over time whether the node withdraws and when it returns.
pub struct DriftMonitor {
    settings: Settings,
    state: State,
    last: f64,
    /// For how long without interruption a difference was seen.
    differs: f64,
    /// For how long without interruption the node was behind.
    behind: f64,
    /// Number of recent withdrawals.
    withdrawals: u32,
    /// When the node last returned to service.
    returned_at: f64,
    last_request: f64,
    status: Status,
}

impl DriftMonitor {
    /// In service, with no evidence of a difference.
    pub fn new(now: f64, settings: Settings) -> DriftMonitor {
        let (state, status) = (State::InService, Status::Matching);
        let (differs, behind, withdrawals, last_request) = (0.0, 0.0, 0, f64::NEG_INFINITY);
        DriftMonitor {
            settings,
            state,
            last: now,
            differs,
            behind,
            withdrawals,
            returned_at: now,
            last_request,
            status,
        }
    }

    /// The status as of the last evaluation.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Seconds after which a client should retry: soon if another node accepts clients, otherwise when this node may
    /// return.
    pub fn retry_after(&self, now: f64) -> f64 {
        match self.state {
            State::Withdrawn { alone_since: Some(_), until, .. } => {
                (until - now).clamp(self.settings.clean_period, 5.0)
            }
            State::Withdrawn { .. } => 0.2,
            _ => 0.0,
        }
    }

    /// Must be called several times a second with the current observations; returns what the caller has to do.
    pub fn evaluate(&mut self, now: f64, own: &LocalState, others: &Comparison) -> Vec<Action> {
        let gap = now - std::mem::replace(&mut self.last, now);
        let paused = gap > MAX_GAP;
        let step = if paused { 0.0 } else { gap.max(0.0) };
        let verdict = others.verdict;
        let accumulate = |so_far: f64, on: bool| if on && !paused { so_far + step } else { 0.0 };
        self.behind = accumulate(self.behind, verdict == Verdict::Behind);
        self.differs = accumulate(self.differs, matches!(verdict, Verdict::Differs(_)));
        match &mut self.state {
            State::Withdrawn { .. } => self.evaluate_withdrawn(now, own, others),
            State::InService | State::Returning { .. } => self.evaluate_in_service(now, own, others),
        }
    }

    fn evaluate_in_service(&mut self, now: f64, own: &LocalState, others: &Comparison) -> Vec<Action> {
        // the detector of a problem, and whether the problem has lasted long enough to act on it
        let problem = match others.verdict {
            Verdict::Differs(Detector::Own) => Some((Detector::Own, true)),
            Verdict::Differs(Detector::Core) => {
                Some((Detector::Core, self.differs >= self.settings.core_delay))
            }
            Verdict::Differs(Detector::Peers) => {
                Some((Detector::Peers, self.differs >= self.settings.peers_delay))
            }
            Verdict::Behind => Some((Detector::Core, self.behind >= self.settings.max_lag)),
            Verdict::Matching | Verdict::Unknown => None,
        };
        if let Some((detector, true)) = problem {
            self.status = Status::Suspected;
            if others.replacement {
                return self.withdraw(now, own, detector);
            }
            // no other node serves the current configuration: try a repair while staying in service
            if now - self.last_request < REQUEST_INTERVAL {
                return Vec::new();
            }
            self.last_request = now;
            return match detector {
                Detector::Own => vec![Action::Rebuild],
                _ => vec![Action::Rebuild, Action::Refetch],
            };
        }
        if let State::Returning { until } = self.state {
            self.status = Status::Returning;
            if now >= until && problem.is_none() {
                (self.state, self.returned_at) = (State::InService, now);
                return vec![Action::Announce];
            }
            return Vec::new();
        }
        self.status = match problem {
            None => Status::Matching,
            Some(_) if others.verdict == Verdict::Behind => Status::Behind,
            Some(_) => Status::Suspected,
        };
        if problem.is_none() && now - self.returned_at >= self.settings.forget_after {
            self.withdrawals = 0;
        }
        Vec::new()
    }

    fn withdraw(&mut self, now: f64, own: &LocalState, detector: Detector) -> Vec<Action> {
        self.withdrawals += 1;
        let hold = (self.settings.initial_hold * 2f64.powi(self.withdrawals.min(30) as i32 - 1))
            .min(self.settings.max_hold);
        self.state = State::Withdrawn {
            diverged: (detector, own.index, own.fingerprint),
            since: now,
            until: now + hold,
            clean_since: None,
            last_request: now,
            alone_since: None,
        };
        self.status = Status::Withdrawn;
        let withdraw = Action::Withdraw { detector, part: own.faulty_part, times: self.withdrawals, hold };
        vec![withdraw, Action::Rebuild, Action::Refetch]
    }

    fn evaluate_withdrawn(&mut self, now: f64, own: &LocalState, others: &Comparison) -> Vec<Action> {
        let State::Withdrawn { diverged, since, until, clean_since, last_request, alone_since } =
            &mut self.state
        else {
            return Vec::new();
        };
        // a difference that others found has ended once they report a match, or once other tables are in use
        let unchanged =
            diverged.0 != Detector::Own && (diverged.1, diverged.2) == (own.index, own.fingerprint);
        let clean = match others.verdict {
            Verdict::Matching => own.verified,
            Verdict::Unknown => own.verified && own.index > 0 && !unchanged,
            _ => false,
        };
        *clean_since = if clean { clean_since.or(Some(now)) } else { None };
        *alone_since = if others.ready == 0 { alone_since.or(Some(now)) } else { None };
        let alone = alone_since.is_some();
        let clean_long_enough = clean_since.is_some_and(|from| now - from >= self.settings.clean_period);
        let needed = alone_since.is_some_and(|from| now - from >= self.settings.alone_timeout)
            && now - *since >= self.settings.alone_timeout;
        if clean_long_enough && (now >= *until || alone) || needed {
            self.state =
                State::Returning { until: now + if alone { 0.0 } else { self.settings.unlisted_period } };
            (self.status, self.differs, self.behind) = (Status::Returning, 0.0, 0.0);
            return vec![Action::AcceptClients];
        }
        if !clean && now - *last_request >= REQUEST_INTERVAL {
            *last_request = now;
            return vec![Action::Rebuild, Action::Refetch];
        }
        Vec::new()
    }
}
