//! The verdict on keyed operations: what servers ran against what clients were answered.

use crate::configuration::bounds::{CONTACT, KEY_WINDOW, SLACK};
use crate::record::{Ending, OperationProbe, OperationRun, OperationTry, Seconds, Seen};
use std::collections::{BTreeMap, HashMap};

/// All runs and tries, by operation and by try.
pub struct Operations<'a> {
    seen: &'a Seen,
    runs: BTreeMap<&'a str, Vec<&'a OperationRun>>,
    tries: BTreeMap<&'a str, Vec<&'a OperationTry>>,
    runs_of_attempt: HashMap<&'a str, Vec<&'a OperationRun>>,
}

fn is_success(sent: &OperationTry) -> bool {
    matches!(sent.ending, Ending::Answered { status: 200..300, .. })
}

/// Whether two successes are one run's answer.
fn alike(first: &OperationTry, second: &OperationTry) -> bool {
    first.stamp == second.stamp && first.body == second.body
}

impl<'a> Operations<'a> {
    /// Indexes what was seen.
    pub fn new(seen: &'a Seen) -> Operations<'a> {
        let mut runs: BTreeMap<&str, Vec<&OperationRun>> = BTreeMap::new();
        let mut tries: BTreeMap<&str, Vec<&OperationTry>> = BTreeMap::new();
        let mut runs_of_attempt: HashMap<&str, Vec<&OperationRun>> = HashMap::new();
        for run in &seen.operation_runs {
            runs.entry(&run.operation).or_default().push(run);
            runs_of_attempt.entry(&run.attempt).or_default().push(run);
        }
        for sent in &seen.operation_tries {
            tries.entry(&sent.operation).or_default().push(sent);
        }
        Operations { seen, runs, tries, runs_of_attempt }
    }

    fn runs(&self, operation: &str) -> &[&'a OperationRun] {
        self.runs.get(operation).map_or(&[], Vec::as_slice)
    }

    fn successes(&self, operation: &str) -> impl Iterator<Item = &&'a OperationTry> {
        self.tries.get(operation).into_iter().flatten().filter(|sent| is_success(sent))
    }

    /// All that is broken; none of it has a bound in time.
    pub fn violations(&self) -> Vec<String> {
        let mut found = self.twice();
        found.extend(self.different_successes());
        for sent in &self.seen.operation_tries {
            found.extend(self.of_try(sent).map(|what| format!("{what}: {}", self.story(&sent.operation))));
        }
        found.extend(self.seen.operation_probes.iter().filter_map(|probe| self.recover(probe)));
        found
    }

    /// TWICE: two runs of an operation, less than its key's window apart.
    fn twice(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (operation, runs) in &self.runs {
            let mut times: Vec<f64> = runs.iter().map(|run| run.at).collect();
            times.sort_by(f64::total_cmp);
            if times.windows(2).any(|pair| pair[1] - pair[0] < KEY_WINDOW) {
                found.push(format!(
                    "TWICE: an operation ran {} times: {}",
                    runs.len(),
                    self.story(operation)
                ));
            }
        }
        found
    }

    /// MIXED: successes of one operation that differ.
    fn different_successes(&self) -> Vec<String> {
        let mut found = Vec::new();
        for operation in self.tries.keys() {
            let mut successes = self.successes(operation);
            let Some(first) = successes.next() else { continue };
            if successes.any(|later| !alike(first, later)) {
                found.push(format!("MIXED: repeats were answered differently: {}", self.story(operation)));
            }
        }
        found
    }

    fn of_try(&self, sent: &OperationTry) -> Option<String> {
        let Ending::Answered { status, fault } = &sent.ending else { return None };
        let ran = self.runs_of_attempt.contains_key(sent.attempt.as_str());
        match status {
            _ if fault.is_some() => Some(format!("MIXED: {}", fault.unwrap_or_default())),
            200..300 if !self.is_of_a_run(sent) => Some("MIXED: a success of no run of its operation".into()),
            400 | 401 | 403 | 404 | 413 | 422 | 431 => {
                Some(format!("DENIED: a proper keyed request was answered {status}"))
            }
            408 | 421 | 429 | 503 if ran => Some(format!("REFUSED: {status} for a try that ran")),
            _ => None,
        }
    }

    fn is_of_a_run(&self, sent: &OperationTry) -> bool {
        let runs = self.runs(&sent.operation);
        runs.iter().any(|run| Some(&run.stamp) == sent.stamp.as_ref() && run.body == sent.body)
    }

    /// RECOVER: the last of a probe's operations is served, and answered alike when it is repeated.
    fn recover(&self, probe: &OperationProbe) -> Option<String> {
        let last = probe.operations.last().map_or("", String::as_str);
        let mut successes = self.successes(last);
        let repeated = match successes.next() {
            Some(first) => successes.next().is_some_and(|second| alike(first, second)),
            None => false,
        };
        let edge = (!repeated).then_some(probe.edge)?;
        Some(format!("RECOVER: edge {edge} serves no operation that is repeated alike: {}", self.story(last)))
    }

    /// LOST: tries whose connection ended without an answer, at edge processes that `calm` says nothing befell.
    pub fn lost(&self, calm: impl Fn(&OperationTry) -> bool) -> Vec<String> {
        let broken = self.seen.operation_tries.iter().filter(|sent| sent.ending == Ending::Broken);
        let was_taken = |sent: &&OperationTry| {
            self.runs_of_attempt.contains_key(sent.attempt.as_str()) || sent.ended - sent.at > SLACK
        };
        let lost = broken.filter(|sent| calm(sent)).filter(was_taken);
        lost.map(|sent| format!("LOST: no answer to {}: {}", sent.attempt, self.story(&sent.operation)))
            .collect()
    }

    /// Repeats of operations that were answered well, with no trouble of any process since shortly before that: how
    /// many were answered well too, and how many there were.
    pub fn calm_repeats(&self) -> (usize, usize) {
        let (mut answered, mut all) = (0, 0);
        for (operation, tries) in &self.tries {
            let Some(first) = self.successes(operation).next() else { continue };
            let waited = |sent: &&&OperationTry| matches!(sent.ending, Ending::Answered { .. });
            let repeats = tries.iter().filter(|sent| sent.at > first.ended).filter(waited);
            let calm = repeats.filter(|sent| self.calm(first.at - CONTACT, sent.ended));
            for repeat in calm {
                all += 1;
                answered += usize::from(is_success(repeat));
            }
        }
        (answered, all)
    }

    fn calm(&self, from: Seconds, until: Seconds) -> bool {
        let mut of_processes = self.seen.troubles.iter().filter(|trouble| trouble.process.is_some());
        !of_processes.any(|trouble| trouble.from <= until && trouble.until >= from)
    }

    /// All operations with their tries and runs, a line each.
    pub fn stories(&self) -> String {
        self.tries.keys().map(|operation| self.story(operation) + "\n").collect()
    }

    /// An operation's tries and runs, for the report.
    fn story(&self, operation: &str) -> String {
        let tries = self.tries.get(operation).into_iter().flatten().map(|sent| {
            let OperationTry { attempt, edge, at, ended, ending, stamp, .. } = sent;
            format!("{attempt} edge {edge} {at:.3}-{ended:.3} {ending:?} {stamp:?}")
        });
        let runs = self.runs(operation).iter().map(|run| {
            let OperationRun { attempt, server, at, stamp, .. } = run;
            format!("{attempt} at {server} {at:.3} {stamp}")
        });
        let (tries, runs): (Vec<String>, Vec<String>) = (tries.collect(), runs.collect());
        format!("{operation} tries {tries:?} runs {runs:?}")
    }

    /// A line of figures: operations, tries, runs, and tries by ending.
    pub fn summary(&self) -> String {
        let mut endings: BTreeMap<String, usize> = BTreeMap::new();
        for sent in &self.seen.operation_tries {
            let ending = match &sent.ending {
                Ending::Answered { status, .. } => status.to_string(),
                other => format!("{other:?}").to_lowercase(),
            };
            *endings.entry(ending).or_default() += 1;
        }
        let (operations, runs) = (self.tries.len(), self.seen.operation_runs.len());
        let (answered, repeats) = self.calm_repeats();
        format!("operations={operations} operation_runs={runs} tries={endings:?} calm_repeats={answered}/{repeats}")
    }
}
