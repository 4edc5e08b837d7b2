//! The verdict: what was seen outside against the system's promises. Each check names the rule that it stands for.

use crate::configuration::bounds::*;
use crate::configuration::{
    FREE, HOME, HOMED, LIMITED, MAX_ATTEMPTS, MOVING, READ, ROTATING, UNKNOWN_KEY, ZONES,
};
use crate::operation_checks::Operations;
use crate::record::{Arrival, Ending, Process, Seconds, Seen, Sent, Version};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Requests that may miss a promise with a number of its own in the rules.
const FEW: usize = 3;
/// What threads of the harness may be late, on a machine that is busy with other runs.
const HARNESS: Seconds = 0.3;

/// Which promises are judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All of them; the machine is to have a processor to spare.
    All,
    /// Those without a bound in time: their verdict is the same on a machine of any load.
    Untimed,
}

/// All that is asked of what was seen, by index.
pub struct Evidence<'a> {
    seen: &'a Seen,
    by_id: HashMap<&'a str, Vec<&'a Arrival>>,
}

impl<'a> Evidence<'a> {
    /// Indexes what was seen.
    pub fn new(seen: &'a Seen) -> Evidence<'a> {
        let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
        seen.arrivals.iter().for_each(|a| by_id.entry(a.id.as_str()).or_default().push(a));
        Evidence { seen, by_id }
    }

    fn runs(&self, id: &str) -> impl Iterator<Item = &&'a Arrival> {
        self.by_id.get(id).into_iter().flatten().filter(|a| a.ran)
    }

    /// Whether nothing unplanned befell an edge process or the core from the contact time before `from` to `until`.
    fn in_touch(&self, edge: usize, from: Seconds, until: Seconds) -> bool {
        self.calm(from, until, |process| {
            process == Process::Edge(edge) || matches!(process, Process::Core(_))
        })
    }

    /// Whether nothing unplanned befell an edge process itself.
    fn edge_calm(&self, edge: usize, from: Seconds, until: Seconds) -> bool {
        self.calm(from, until, |process| process == Process::Edge(edge))
    }

    fn calm(&self, from: Seconds, until: Seconds, of: impl Fn(Process) -> bool) -> bool {
        let strikes = |from: Seconds, until: Seconds| {
            let concerned = self.seen.troubles.iter().filter(|t| t.process.is_some_and(&of));
            let unplanned =
                concerned.filter(|t| !t.planned || t.process.is_some_and(|p| matches!(p, Process::Core(_))));
            unplanned.filter(|t| t.from <= until && t.until + CONTACT >= from).count()
        };
        strikes(from, until) == 0
    }

    /// All that is broken.
    pub fn violations(&self, scope: Scope) -> Vec<String> {
        let mut found = self.seen.violations.clone();
        for sent in &self.seen.sent {
            let of_request = self.of_request(sent).into_iter();
            found.extend(of_request.map(|what| format!("{what}: {}", self.story(sent))));
        }
        found.extend(self.seen.arrivals.iter().filter_map(|a| self.of_arrival(a)));
        found.extend(Operations::new(self.seen).violations());
        if scope == Scope::All {
            found.extend(self.timed());
        }
        found
    }

    /// What is broken of the promises with a bound in time.
    fn timed(&self) -> Vec<String> {
        let mut found = Vec::new();
        for sent in &self.seen.sent {
            let of_request = self.of_versions(sent).into_iter().chain(self.silent(sent));
            found.extend(of_request.map(|what| format!("{what}: {}", self.story(sent))));
        }
        found.extend(self.seen.arrivals.iter().filter_map(|a| self.evacuated(a)));
        found.extend(self.lost());
        let calm = |edge, at: Seconds, ended: Seconds| self.edge_calm(edge, at - CONTACT, ended + HARNESS);
        found.extend(Operations::new(self.seen).lost(|sent| calm(sent.edge, sent.at, sent.ended)));
        found.extend(self.quota());
        found.extend(self.budget());
        found.extend(self.gone());
        found
    }

    /// A request and what became of it, for the report.
    fn story(&self, sent: &Sent) -> String {
        let arrivals = self.by_id.get(sent.id.as_str()).into_iter().flatten();
        let arrivals: Vec<String> = arrivals
            .map(|a| {
                format!("{}@{:.3}-{:.3} ran={} stopped={}", a.server, a.at, a.worked_until, a.ran, a.stopped)
            })
            .collect();
        let Sent { id, path, edge, at, ended, ending, .. } = sent;
        format!("{id} {path} edge {edge} {at:.3}-{ended:.3} {ending:?} {arrivals:?}")
    }

    fn of_request(&self, sent: &Sent) -> Vec<String> {
        let runs = self.runs(&sent.id).count();
        let mut found = Vec::new();
        if !sent.repeatable && runs > 1 {
            found.push(format!("TWICE: ran {runs} times"));
        }
        match &sent.ending {
            Ending::Answered { fault: Some(fault), .. } => found.push(format!("MIXED: {fault}")),
            Ending::Answered { status: 408 | 421 | 429 | 503, .. } if !sent.repeatable && runs > 0 => {
                found.push("REFUSED: a promise for what ran".into());
            }
            Ending::Answered { status: 200..300, .. } if runs == 0 => {
                found.push("MIXED: a success that nobody made".into())
            }
            Ending::Answered { status: status @ (400 | 401 | 403 | 404 | 409 | 413 | 431), .. }
                if self.proper(sent) =>
            {
                found.push(format!("DENIED: a proper request was answered {status}"));
            }
            _ => {}
        }
        if sent.key == UNKNOWN_KEY && runs > 0 {
            found.push("ROUTE: ran with a key that no configuration held".into());
        }
        let servers: BTreeSet<&str> =
            self.by_id.get(sent.id.as_str()).into_iter().flatten().map(|a| a.server.as_str()).collect();
        if servers.len() > MAX_ATTEMPTS {
            found.push(format!("BUDGET: went to {} servers", servers.len()));
        }
        found
    }

    /// CONFIG: no final answer in time.
    fn silent(&self, sent: &Sent) -> Option<String> {
        let silent = sent.ending == Ending::Silent && self.edge_calm(sent.edge, sent.at, sent.ended);
        silent.then(|| "CONFIG: no answer for long after its deadline".into())
    }

    /// Whether every configuration that may be in force allows it: its key is no rotating one.
    fn proper(&self, sent: &Sent) -> bool {
        let first = self.seen.versions.iter().filter_map(|v| v.acknowledged).fold(f64::INFINITY, f64::min);
        (sent.key == FREE.1 || sent.key == LIMITED.1) && first < sent.at
    }

    /// The versions that an edge process in touch may go by, for a request of this span.
    fn may_be_in_force(&self, at: Seconds, ended: Seconds) -> Vec<&Version> {
        let applied = |v: &&Version| v.acknowledged.is_some_and(|t| t + CONFIG_APPLY + HARNESS < at);
        let newest = self.seen.versions.iter().filter(applied).map(|v| v.number).max().unwrap_or(0);
        let may = |v: &&Version| v.number >= newest && v.sent < ended && !v.refused;
        self.seen.versions.iter().filter(may).collect()
    }

    /// CONFIG: what only an older configuration allows, at an edge process in touch.
    fn of_versions(&self, sent: &Sent) -> Vec<String> {
        if !self.in_touch(sent.edge, sent.at - CONFIG_APPLY, sent.ended) {
            return Vec::new();
        }
        let may = self.may_be_in_force(sent.at, sent.ended);
        let mut found = Vec::new();
        let keys: Vec<&str> = may.iter().map(|v| v.key.as_str()).chain([FREE.1, LIMITED.1]).collect();
        let mut runs = self.runs(&sent.id).peekable();
        if sent.key != UNKNOWN_KEY && runs.peek().is_some() && !keys.contains(&sent.key.as_str()) {
            found.push(format!("CONFIG: ran with a key that was taken away, {}", sent.key));
        }
        if sent.path.starts_with(MOVING) {
            let strays = runs.filter(|run| !may.iter().any(|v| v.moving_to == run.service));
            found.extend(
                strays.map(|run| format!("CONFIG: an older configuration led it to {}", run.service)),
            );
        }
        found
    }

    fn of_arrival(&self, arrival: &Arrival) -> Option<String> {
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
            "ROUTE: another service ran it".into()
        } else if arrival.ran && arrival.path.starts_with(HOMED) && region != HOME {
            "HOME: it ran away from home".into()
        } else if !arrival.tenant.as_deref().is_some_and(|t| tenants.contains(&t)) {
            "UNASKED: the tenant of nobody".into()
        } else {
            return None;
        };
        Some(format!("{fault}: {id} at {server} {at:.3}"))
    }

    /// EVAC: a request reaches an evacuated zone from an edge process in touch.
    fn evacuated(&self, arrival: &Arrival) -> Option<String> {
        let shut = self.seen.evacuations.iter().find(|e| {
            let shuts = e.acknowledged.is_some_and(|at| at + EVACUATE + HARNESS < arrival.at);
            e.zone == arrival.zone && shuts && e.taken_back.is_none_or(|at| arrival.at < at)
        })?;
        let sent = self.seen.sent.iter().find(|s| s.id == arrival.id)?;
        let since = shut.acknowledged.unwrap_or(sent.at);
        let touch = self.in_touch(sent.edge, since.max(sent.at - EVACUATE), arrival.at);
        touch.then(|| format!("EVAC: {} reached {} at {:.3}", arrival.id, arrival.server, arrival.at))
    }

    /// LOST: an edge process that nothing unplanned befell ends a connection without an answer.
    fn lost(&self) -> Vec<String> {
        let broken = self.seen.sent.iter().filter(|s| s.ending == Ending::Broken);
        let excused = |s: &&Sent| !self.edge_calm(s.edge, s.at - CONTACT, s.ended + HARNESS);
        let lost: Vec<&Sent> = broken
            .filter(|s| !excused(s))
            .filter(|s| self.by_id.contains_key(s.id.as_str()) || s.ended - s.at > SLACK + HARNESS)
            .collect();
        lost.into_iter().map(|s| format!("LOST: no answer: {}", self.story(s))).collect()
    }

    /// The window with the most runs of the limited tenant: its begin and their number.
    pub fn most_limited(&self) -> Option<(Seconds, usize)> {
        let of_tenant = self.seen.arrivals.iter().filter(|a| a.ran && a.tenant.as_deref() == Some(LIMITED.0));
        let mut times: Vec<Seconds> = of_tenant.map(|a| a.at).collect();
        times.sort_by(f64::total_cmp);
        densest(&times, QUOTA_WINDOW)
    }

    /// QUOTA: runs of the limited tenant in any window.
    fn quota(&self) -> Option<String> {
        let most = (RATE * QUOTA_WINDOW + BURST) * (1.0 + QUOTA_EXCESS) + QUOTA_SLACK;
        let (at, count) = self.most_limited()?;
        (count as f64 > most)
            .then(|| format!("QUOTA: {count} runs in {QUOTA_WINDOW} s from {at:.1}, {most:.0} allowed"))
    }

    /// BUDGET: arrivals past the first of each request, of each service.
    fn budget(&self) -> Vec<String> {
        let mut further: BTreeMap<&str, Vec<Seconds>> = BTreeMap::new();
        for arrivals in self.by_id.values() {
            let mut arrivals = arrivals.clone();
            arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
            arrivals.iter().skip(1).for_each(|a| further.entry(a.service.as_str()).or_default().push(a.at));
        }
        let requests = |from: Seconds| {
            let plain = self.seen.sent.iter().map(|s| s.at);
            let times = plain.chain(self.seen.operation_tries.iter().map(|s| s.at));
            times.filter(|at| *at >= from - RETRY_WINDOW && *at < from + RETRY_WINDOW).count() / 2
        };
        let mut found = Vec::new();
        for (service, mut times) in further {
            times.sort_by(f64::total_cmp);
            let Some((at, count)) = densest(&times, RETRY_WINDOW) else { continue };
            let most = RETRY_RATIO * requests(at) as f64 + RETRY_SLACK;
            if count as f64 > most {
                found.push(format!(
                    "BUDGET: {count} further arrivals at {service} from {at:.1}, {most:.0} allowed"
                ));
            }
        }
        found
    }

    /// GONE: servers go on with repeatable requests whose clients have left an edge process in touch.
    fn gone(&self) -> Option<String> {
        let left = |s: &&Sent| s.ending == Ending::Left && s.repeatable && s.path.starts_with(READ);
        let calm = |s: &&Sent| self.edge_calm(s.edge, s.at, s.ended + 1.0);
        let left: Vec<&Sent> = self.seen.sent.iter().filter(left).filter(calm).collect();
        let late = |s: &&Sent| {
            self.by_id.get(s.id.as_str()).into_iter().flatten().any(|a| a.at > s.ended + 0.5 + HARNESS)
        };
        let late = left.iter().copied().filter(late).count();
        let long: Vec<&Arrival> = left
            .iter()
            .flat_map(|s| self.runs(&s.id).filter(|a| a.worked_until > s.ended + 0.5).copied())
            .collect();
        let goes_on = left
            .iter()
            .filter(|s| self.runs(&s.id).any(|a| !a.stopped && a.worked_until > s.ended + 0.5 + HARNESS))
            .count();
        if late > FEW {
            return Some(format!(
                "GONE: {late} requests arrived over half a second after their clients had left"
            ));
        }
        (goes_on > FEW && goes_on * 4 > long.len().max(1))
            .then(|| format!("GONE: servers go on with {goes_on} of {}", long.len()))
    }
}

/// The window with the most of these sorted times: its begin and their number.
fn densest(times: &[Seconds], window: Seconds) -> Option<(Seconds, usize)> {
    let count = |(i, from): (usize, &Seconds)| {
        let until = times.partition_point(|t| *t <= from + window);
        (*from, until - i)
    };
    times.iter().enumerate().map(count).max_by_key(|(_, count)| *count)
}
