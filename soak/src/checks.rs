//! Checks the observations of a run against the system's promises. Each violation begins with the name of its rule.

use crate::configuration::bounds::*;
use crate::configuration::{
    FREE, HOME, HOMED, LIMITED, MAX_ATTEMPTS, MOVING, READ, ROTATING, UNKNOWN_KEY, ZONES,
};
use crate::operation_checks::Operations;
use crate::record::{Arrival, Observations, Outcome, Process, Seconds, SentRequest, Version};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How many requests may miss a promise whose rule itself tolerates some misses.
const TOLERATED_REQUESTS: usize = 3;
/// How late threads of the harness may be, as the machine may be busy with other runs.
const HARNESS_DELAY: Seconds = 0.3;

/// Which promises are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All promises. The machine needs a spare processor, else the bounds in time are missed without a fault.
    All,
    /// Promises without a bound in time; their result does not depend on the load of the machine.
    Untimed,
}

/// The observations of a run with an index, and the checks on them.
pub struct Evidence<'a> {
    observations: &'a Observations,
    by_id: HashMap<&'a str, Vec<&'a Arrival>>,
}

impl<'a> Evidence<'a> {
    /// Indexes the arrivals by request id.
    pub fn new(observations: &'a Observations) -> Evidence<'a> {
        let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
        observations.arrivals.iter().for_each(|a| by_id.entry(a.id.as_str()).or_default().push(a));
        Evidence { observations, by_id }
    }

    fn runs(&self, id: &str) -> impl Iterator<Item = &&'a Arrival> {
        self.by_id.get(id).into_iter().flatten().filter(|a| a.ran)
    }

    /// Whether neither the edge process nor the core had an unplanned trouble between `from`, less the contact time,
    /// and `until`.
    fn edge_and_core_undisturbed(&self, edge: usize, from: Seconds, until: Seconds) -> bool {
        self.undisturbed(from, until, |process| {
            process == Process::Edge(edge) || matches!(process, Process::Core(_))
        })
    }

    /// Whether the edge process itself had no unplanned trouble in this span.
    fn edge_undisturbed(&self, edge: usize, from: Seconds, until: Seconds) -> bool {
        self.undisturbed(from, until, |process| process == Process::Edge(edge))
    }

    /// Whether no process that `concerns` selects had an unplanned trouble; planned ones of the core count too.
    fn undisturbed(&self, from: Seconds, until: Seconds, concerns: impl Fn(Process) -> bool) -> bool {
        let unplanned_troubles = |from: Seconds, until: Seconds| {
            let concerned = self.observations.troubles.iter().filter(|t| t.process.is_some_and(&concerns));
            let unplanned =
                concerned.filter(|t| !t.planned || t.process.is_some_and(|p| matches!(p, Process::Core(_))));
            unplanned.filter(|t| t.from <= until && t.until + CONTACT >= from).count()
        };
        unplanned_troubles(from, until) == 0
    }

    /// All violations; those with a bound in time only in [`Scope::All`].
    pub fn violations(&self, scope: Scope) -> Vec<String> {
        let mut violations = self.observations.violations.clone();
        for request in &self.observations.requests {
            let request_violations = self.check_request(request).into_iter();
            violations.extend(
                request_violations.map(|violation| format!("{violation}: {}", self.describe(request))),
            );
        }
        violations.extend(self.observations.arrivals.iter().filter_map(|a| self.check_arrival(a)));
        violations.extend(Operations::new(self.observations).violations());
        if scope == Scope::All {
            violations.extend(self.timed_violations());
        }
        violations
    }

    /// Violations of the promises with a bound in time.
    fn timed_violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for request in &self.observations.requests {
            let request_violations =
                self.check_versions(request).into_iter().chain(self.check_answer_received(request));
            violations.extend(
                request_violations.map(|violation| format!("{violation}: {}", self.describe(request))),
            );
        }
        violations.extend(self.observations.arrivals.iter().filter_map(|a| self.check_evacuation(a)));
        violations.extend(self.check_lost());
        let undisturbed = |edge, at: Seconds, ended_at: Seconds| {
            self.edge_undisturbed(edge, at - CONTACT, ended_at + HARNESS_DELAY)
        };
        violations.extend(
            Operations::new(self.observations)
                .check_lost(|request| undisturbed(request.edge, request.at, request.ended_at)),
        );
        violations.extend(self.check_quota());
        violations.extend(self.check_budget());
        violations.extend(self.check_gone());
        violations
    }

    /// A request with its outcome and its arrivals at servers, for the report.
    fn describe(&self, request: &SentRequest) -> String {
        let arrivals = self.by_id.get(request.id.as_str()).into_iter().flatten();
        let arrivals: Vec<String> = arrivals
            .map(|a| {
                format!("{}@{:.3}-{:.3} ran={} stopped={}", a.server, a.at, a.worked_until, a.ran, a.stopped)
            })
            .collect();
        let SentRequest { id, path, edge, at, ended_at, outcome, .. } = request;
        format!("{id} {path} edge {edge} {at:.3}-{ended_at:.3} {outcome:?} {arrivals:?}")
    }

    /// Rules that one request can break regardless of time.
    fn check_request(&self, request: &SentRequest) -> Vec<String> {
        let runs = self.runs(&request.id).count();
        let mut violations = Vec::new();
        if !request.repeatable && runs > 1 {
            violations.push(format!("TWICE: ran {runs} times"));
        }
        match &request.outcome {
            Outcome::Answered { fault: Some(fault), .. } => violations.push(format!("MIXED: {fault}")),
            Outcome::Answered { status: 408 | 421 | 429 | 503, .. } if !request.repeatable && runs > 0 => {
                violations.push("REFUSED: answered as not executed, but a server ran it".into());
            }
            Outcome::Answered { status: 200..300, .. } if runs == 0 => {
                violations.push("MIXED: answered with success, but no server ran it".into())
            }
            Outcome::Answered { status: status @ (400 | 401 | 403 | 404 | 409 | 413 | 431), .. }
                if self.is_always_allowed(request) =>
            {
                violations.push(format!("DENIED: an allowed request was answered {status}"));
            }
            _ => {}
        }
        if request.api_key == UNKNOWN_KEY && runs > 0 {
            violations.push("ROUTE: ran with a key that no configuration contains".into());
        }
        let servers: BTreeSet<&str> =
            self.by_id.get(request.id.as_str()).into_iter().flatten().map(|a| a.server.as_str()).collect();
        if servers.len() > MAX_ATTEMPTS {
            violations.push(format!("BUDGET: sent to {} servers", servers.len()));
        }
        violations
    }

    /// CONFIG: a request gets its final answer in time.
    fn check_answer_received(&self, request: &SentRequest) -> Option<String> {
        let silent = request.outcome == Outcome::Silent
            && self.edge_undisturbed(request.edge, request.at, request.ended_at);
        silent.then(|| "CONFIG: no answer until long after the deadline".into())
    }

    /// Whether every configuration that may be in force allows the request: its key is in all of them, unlike the
    /// rotating keys.
    fn is_always_allowed(&self, request: &SentRequest) -> bool {
        let first_acknowledged =
            self.observations.versions.iter().filter_map(|v| v.acknowledged).fold(f64::INFINITY, f64::min);
        (request.api_key == FREE.1 || request.api_key == LIMITED.1) && first_acknowledged < request.at
    }

    /// The versions that an undisturbed edge process may apply to a request of this span.
    fn may_be_in_force(&self, at: Seconds, ended_at: Seconds) -> Vec<&Version> {
        let applied = |v: &&Version| v.acknowledged.is_some_and(|t| t + CONFIG_APPLY + HARNESS_DELAY < at);
        let newest = self.observations.versions.iter().filter(applied).map(|v| v.number).max().unwrap_or(0);
        let is_candidate = |v: &&Version| v.number >= newest && v.sent_at < ended_at && !v.refused;
        self.observations.versions.iter().filter(is_candidate).collect()
    }

    /// CONFIG: an undisturbed edge process doesn't run what only an outdated configuration allows.
    fn check_versions(&self, request: &SentRequest) -> Vec<String> {
        if !self.edge_and_core_undisturbed(request.edge, request.at - CONFIG_APPLY, request.ended_at) {
            return Vec::new();
        }
        let candidates = self.may_be_in_force(request.at, request.ended_at);
        let mut violations = Vec::new();
        let keys: Vec<&str> = candidates.iter().map(|v| v.key.as_str()).chain([FREE.1, LIMITED.1]).collect();
        let mut runs = self.runs(&request.id).peekable();
        if request.api_key != UNKNOWN_KEY
            && runs.peek().is_some()
            && !keys.contains(&request.api_key.as_str())
        {
            violations.push(format!("CONFIG: ran with a key that had been removed, {}", request.api_key));
        }
        if request.path.starts_with(MOVING) {
            let misrouted = runs.filter(|run| !candidates.iter().any(|v| v.moving_to == run.service));
            violations.extend(
                misrouted
                    .map(|run| format!("CONFIG: routed to {} by an outdated configuration", run.service)),
            );
        }
        violations
    }

    /// Rules that one arrival at a server can break.
    fn check_arrival(&self, arrival: &Arrival) -> Option<String> {
        let services: &[&str] = match &arrival.path {
            p if p.starts_with(HOMED) => &["beta"],
            p if p.starts_with(MOVING) => &["alpha", "beta"],
            _ => &["alpha"],
        };
        let region = ZONES.iter().find(|z| z.0 == arrival.zone).map_or("", |z| z.1);
        let tenants = [FREE.0, LIMITED.0, ROTATING];
        let Arrival { id, server, at, .. } = arrival;
        let fault = if let Some(fault) = arrival.fault {
            format!("UNASKED: {fault}")
        } else if arrival.ran && !services.contains(&arrival.service.as_str()) {
            "ROUTE: run by a service that its route doesn't lead to".into()
        } else if arrival.ran && arrival.path.starts_with(HOMED) && region != HOME {
            "HOME: run outside its home regions".into()
        } else if !arrival.tenant.as_deref().is_some_and(|t| tenants.contains(&t)) {
            "UNASKED: no tenant or an unknown one".into()
        } else {
            return None;
        };
        Some(format!("{fault}: {id} at {server} {at:.3}"))
    }

    /// EVAC: no request reaches an evacuated zone from an undisturbed edge process.
    fn check_evacuation(&self, arrival: &Arrival) -> Option<String> {
        let evacuation_in_force = self.observations.evacuations.iter().find(|evacuation| {
            let in_force =
                evacuation.acknowledged.is_some_and(|at| at + EVACUATE + HARNESS_DELAY < arrival.at);
            evacuation.zone == arrival.zone && in_force && evacuation.revoked.is_none_or(|at| arrival.at < at)
        })?;
        let request = self.observations.requests.iter().find(|request| request.id == arrival.id)?;
        let since = evacuation_in_force.acknowledged.unwrap_or(request.at);
        let undisturbed =
            self.edge_and_core_undisturbed(request.edge, since.max(request.at - EVACUATE), arrival.at);
        undisturbed.then(|| {
            format!(
                "EVAC: {} reached {} in an evacuated zone at {:.3}",
                arrival.id, arrival.server, arrival.at
            )
        })
    }

    /// LOST: an undisturbed edge process doesn't end a connection without an answer.
    fn check_lost(&self) -> Vec<String> {
        let broken = self.observations.requests.iter().filter(|request| request.outcome == Outcome::Broken);
        let excused = |request: &&SentRequest| {
            !self.edge_undisturbed(request.edge, request.at - CONTACT, request.ended_at + HARNESS_DELAY)
        };
        let lost: Vec<&SentRequest> = broken
            .filter(|request| !excused(request))
            .filter(|request| {
                self.by_id.contains_key(request.id.as_str())
                    || request.ended_at - request.at > SLACK + HARNESS_DELAY
            })
            .collect();
        lost.into_iter().map(|request| format!("LOST: no answer: {}", self.describe(request))).collect()
    }

    /// The window with the most runs of the limited tenant: its start and their number.
    pub fn busiest_limited_window(&self) -> Option<(Seconds, usize)> {
        let of_tenant =
            self.observations.arrivals.iter().filter(|a| a.ran && a.tenant.as_deref() == Some(LIMITED.0));
        let mut times: Vec<Seconds> = of_tenant.map(|a| a.at).collect();
        times.sort_by(f64::total_cmp);
        busiest_window(&times, QUOTA_WINDOW)
    }

    /// QUOTA: the limited tenant's runs in any window stay within its quota.
    fn check_quota(&self) -> Option<String> {
        let limit = (RATE * QUOTA_WINDOW + BURST) * (1.0 + QUOTA_EXCESS) + QUOTA_SLACK;
        let (at, count) = self.busiest_limited_window()?;
        (count as f64 > limit)
            .then(|| format!("QUOTA: {count} runs in {QUOTA_WINDOW} s from {at:.1}, {limit:.0} allowed"))
    }

    /// BUDGET: the retries at each service, counted as arrivals after the first of each request, stay within the
    /// retry budget.
    fn check_budget(&self) -> Vec<String> {
        let mut retries: BTreeMap<&str, Vec<Seconds>> = BTreeMap::new();
        for arrivals in self.by_id.values() {
            let mut arrivals = arrivals.clone();
            arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
            arrivals.iter().skip(1).for_each(|a| retries.entry(a.service.as_str()).or_default().push(a.at));
        }
        let requests = |from: Seconds| {
            let request_times = self.observations.requests.iter().map(|request| request.at);
            let times =
                request_times.chain(self.observations.operation_tries.iter().map(|attempt| attempt.at));
            times.filter(|at| *at >= from - RETRY_WINDOW && *at < from + RETRY_WINDOW).count() / 2
        };
        let mut violations = Vec::new();
        for (service, mut times) in retries {
            times.sort_by(f64::total_cmp);
            let Some((at, count)) = busiest_window(&times, RETRY_WINDOW) else { continue };
            let limit = RETRY_RATIO * requests(at) as f64 + RETRY_SLACK;
            if count as f64 > limit {
                violations.push(format!(
                    "BUDGET: {count} retries at {service} within {RETRY_WINDOW} s from {at:.1}, {limit:.0} allowed"
                ));
            }
        }
        violations
    }

    /// GONE: work on repeatable requests ends soon after their clients have left an undisturbed edge process.
    fn check_gone(&self) -> Option<String> {
        let abandoned = |request: &&SentRequest| {
            request.outcome == Outcome::Left && request.repeatable && request.path.starts_with(READ)
        };
        let undisturbed =
            |request: &&SentRequest| self.edge_undisturbed(request.edge, request.at, request.ended_at + 1.0);
        let abandoned: Vec<&SentRequest> =
            self.observations.requests.iter().filter(abandoned).filter(undisturbed).collect();
        let late = |request: &&SentRequest| {
            self.by_id
                .get(request.id.as_str())
                .into_iter()
                .flatten()
                .any(|a| a.at > request.ended_at + 0.5 + HARNESS_DELAY)
        };
        let late = abandoned.iter().copied().filter(late).count();
        let long_runs: Vec<&Arrival> = abandoned
            .iter()
            .flat_map(|request| {
                self.runs(&request.id).filter(|a| a.worked_until > request.ended_at + 0.5).copied()
            })
            .collect();
        let continued = abandoned
            .iter()
            .filter(|request| {
                self.runs(&request.id)
                    .any(|a| !a.stopped && a.worked_until > request.ended_at + 0.5 + HARNESS_DELAY)
            })
            .count();
        if late > TOLERATED_REQUESTS {
            return Some(format!(
                "GONE: {late} requests arrived at a server over half a second after their clients had left"
            ));
        }
        (continued > TOLERATED_REQUESTS && continued * 4 > long_runs.len().max(1)).then(|| {
            format!(
                "GONE: servers continued {continued} of {} requests whose clients had left",
                long_runs.len()
            )
        })
    }
}

/// The window with the most of these sorted times: its start and their number.
fn busiest_window(times: &[Seconds], window: Seconds) -> Option<(Seconds, usize)> {
    let count = |(i, from): (usize, &Seconds)| {
        let until = times.partition_point(|t| *t <= from + window);
        (*from, until - i)
    };
    times.iter().enumerate().map(count).max_by_key(|(_, count)| *count)
}
