//! Checks on keyed operations: compares their runs, which are executions by a server, with the answers that clients
//! received.

use crate::configuration::bounds::{CONTACT, KEY_WINDOW, SLACK};
use crate::record::{Observations, OperationProbe, OperationRun, OperationTry, Outcome, Seconds};
use std::collections::{BTreeMap, HashMap};

/// The runs and tries of keyed operations, indexed by operation and by try, and the checks on them.
pub struct Operations<'a> {
    observations: &'a Observations,
    runs_of_operation: BTreeMap<&'a str, Vec<&'a OperationRun>>,
    tries: BTreeMap<&'a str, Vec<&'a OperationTry>>,
    runs_of_attempt: HashMap<&'a str, Vec<&'a OperationRun>>,
}

fn is_success(operation_try: &OperationTry) -> bool {
    matches!(operation_try.outcome, Outcome::Answered { status: 200..300, .. })
}

/// Whether two successful tries got the same answer (stamp and body).
fn same_answer(first: &OperationTry, second: &OperationTry) -> bool {
    first.stamp == second.stamp && first.body == second.body
}

impl<'a> Operations<'a> {
    /// Indexes runs and tries.
    pub fn new(observations: &'a Observations) -> Operations<'a> {
        let mut runs_of_operation: BTreeMap<&str, Vec<&OperationRun>> = BTreeMap::new();
        let mut tries: BTreeMap<&str, Vec<&OperationTry>> = BTreeMap::new();
        let mut runs_of_attempt: HashMap<&str, Vec<&OperationRun>> = HashMap::new();
        for run in &observations.operation_runs {
            runs_of_operation.entry(&run.operation).or_default().push(run);
            runs_of_attempt.entry(&run.attempt).or_default().push(run);
        }
        for operation_try in &observations.operation_tries {
            tries.entry(&operation_try.operation).or_default().push(operation_try);
        }
        Operations { observations, runs_of_operation, tries, runs_of_attempt }
    }

    fn runs_of_operation(&self, operation: &str) -> &[&'a OperationRun] {
        self.runs_of_operation.get(operation).map_or(&[], Vec::as_slice)
    }

    fn successes(&self, operation: &str) -> impl Iterator<Item = &&'a OperationTry> {
        self.tries.get(operation).into_iter().flatten().filter(|operation_try| is_success(operation_try))
    }

    /// Violations of the promises without a bound in time.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.check_twice();
        violations.extend(self.check_successes_equal());
        for operation_try in &self.observations.operation_tries {
            violations.extend(
                self.check_try(operation_try)
                    .map(|violation| format!("{violation}: {}", self.describe(&operation_try.operation))),
            );
        }
        violations
            .extend(self.observations.operation_probes.iter().filter_map(|probe| self.check_probe(probe)));
        violations
    }

    /// TWICE: an operation doesn't run again within its key's window.
    fn check_twice(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (operation, runs) in &self.runs_of_operation {
            let mut times: Vec<f64> = runs.iter().map(|run| run.at).collect();
            times.sort_by(f64::total_cmp);
            if times.windows(2).any(|pair| pair[1] - pair[0] < KEY_WINDOW) {
                violations.push(format!(
                    "TWICE: an operation ran {} times: {}",
                    runs.len(),
                    self.describe(operation)
                ));
            }
        }
        violations
    }

    /// MIXED: all successes of one operation have the same answer.
    fn check_successes_equal(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for operation in self.tries.keys() {
            let mut successes = self.successes(operation);
            let Some(first) = successes.next() else { continue };
            if successes.any(|later| !same_answer(first, later)) {
                violations.push(format!(
                    "MIXED: successes of one operation have different answers: {}",
                    self.describe(operation)
                ));
            }
        }
        violations
    }

    /// Rules that the answer to one try can break.
    fn check_try(&self, operation_try: &OperationTry) -> Option<String> {
        let Outcome::Answered { status, fault } = &operation_try.outcome else { return None };
        let ran = self.runs_of_attempt.contains_key(operation_try.attempt.as_str());
        match status {
            _ if fault.is_some() => Some(format!("MIXED: {}", fault.unwrap_or_default())),
            200..300 if !self.matches_a_run(operation_try) => {
                Some("MIXED: the answer of a success belongs to no run of its operation".into())
            }
            400 | 401 | 403 | 404 | 413 | 422 | 431 => {
                Some(format!("DENIED: an allowed keyed request was answered {status}"))
            }
            408 | 421 | 429 | 503 if ran => {
                Some(format!("REFUSED: answered {status} as not executed, but a server ran it"))
            }
            _ => None,
        }
    }

    /// Whether the answer has the stamp and body of a run of its operation.
    fn matches_a_run(&self, operation_try: &OperationTry) -> bool {
        let runs = self.runs_of_operation(&operation_try.operation);
        runs.iter()
            .any(|run| Some(&run.stamp) == operation_try.stamp.as_ref() && run.body == operation_try.body)
    }

    /// RECOVER: the last of a probe's operations succeeds, and its repeat gets the same answer.
    fn check_probe(&self, probe: &OperationProbe) -> Option<String> {
        let last = probe.operations.last().map_or("", String::as_str);
        let mut successes = self.successes(last);
        let repeated = match successes.next() {
            Some(first) => successes.next().is_some_and(|second| same_answer(first, second)),
            None => false,
        };
        let edge = (!repeated).then_some(probe.edge)?;
        Some(format!(
            "RECOVER: no operation succeeded at edge {edge} and got the same answer when repeated: {}",
            self.describe(last)
        ))
    }

    /// LOST: connections that ended without an answer, of the tries for which `undisturbed` reports that their edge
    /// process had no trouble.
    pub fn check_lost(&self, undisturbed: impl Fn(&OperationTry) -> bool) -> Vec<String> {
        let broken = self
            .observations
            .operation_tries
            .iter()
            .filter(|operation_try| operation_try.outcome == Outcome::Broken);
        let was_taken = |operation_try: &&OperationTry| {
            self.runs_of_attempt.contains_key(operation_try.attempt.as_str())
                || operation_try.ended_at - operation_try.at > SLACK
        };
        let lost = broken.filter(|operation_try| undisturbed(operation_try)).filter(was_taken);
        lost.map(|operation_try| {
            format!(
                "LOST: no answer to {}: {}",
                operation_try.attempt,
                self.describe(&operation_try.operation)
            )
        })
        .collect()
    }

    /// Counts answered repeats of operations that had succeeded before, where no process had a trouble from shortly
    /// before that success until the repeat ended: how many succeeded too, and how many there were.
    pub fn undisturbed_repeats(&self) -> (usize, usize) {
        let (mut answered, mut all) = (0, 0);
        for (operation, tries) in &self.tries {
            let Some(first) = self.successes(operation).next() else { continue };
            let was_answered =
                |operation_try: &&&OperationTry| matches!(operation_try.outcome, Outcome::Answered { .. });
            let repeats =
                tries.iter().filter(|operation_try| operation_try.at > first.ended_at).filter(was_answered);
            let undisturbed =
                repeats.filter(|operation_try| self.undisturbed(first.at - CONTACT, operation_try.ended_at));
            for repeat in undisturbed {
                all += 1;
                answered += usize::from(is_success(repeat));
            }
        }
        (answered, all)
    }

    /// Whether no process had a trouble, planned or not, in this span.
    fn undisturbed(&self, from: Seconds, until: Seconds) -> bool {
        let mut of_processes = self.observations.troubles.iter().filter(|trouble| trouble.process.is_some());
        !of_processes.any(|trouble| trouble.from <= until && trouble.until >= from)
    }

    /// All operations with their tries and runs, one line each.
    pub fn describe_all(&self) -> String {
        self.tries.keys().map(|operation| self.describe(operation) + "\n").collect()
    }

    /// An operation's tries and runs, for the report.
    fn describe(&self, operation: &str) -> String {
        let tries = self.tries.get(operation).into_iter().flatten().map(|operation_try| {
            let OperationTry { attempt, edge, at, ended_at, outcome, stamp, .. } = operation_try;
            format!("{attempt} edge {edge} {at:.3}-{ended_at:.3} {outcome:?} {stamp:?}")
        });
        let runs = self.runs_of_operation(operation).iter().map(|run| {
            let OperationRun { attempt, server, at, stamp, .. } = run;
            format!("{attempt} at {server} {at:.3} {stamp}")
        });
        let (tries, runs): (Vec<String>, Vec<String>) = (tries.collect(), runs.collect());
        format!("{operation} tries {tries:?} runs {runs:?}")
    }

    /// A line of counts for the report: operations, runs, tries by ending, and undisturbed repeats.
    pub fn summary(&self) -> String {
        let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
        for operation_try in &self.observations.operation_tries {
            let outcome = match &operation_try.outcome {
                Outcome::Answered { status, .. } => status.to_string(),
                other => format!("{other:?}").to_lowercase(),
            };
            *outcomes.entry(outcome).or_default() += 1;
        }
        let (operations, runs) = (self.tries.len(), self.observations.operation_runs.len());
        let (answered, repeats) = self.undisturbed_repeats();
        format!("operations={operations} operation_runs={runs} tries={outcomes:?} calm_repeats={answered}/{repeats}")
    }
}
