//! Checks of the five rules, based only on what the clients and the emulator recorded: nothing that a gateway reports
//! about itself is used. Pure functions from the record and the settings to a verdict.

use crate::gateway_settings::{Effect, GatewaySettings};
use crate::record::{Outcome, Record};
use std::collections::BTreeMap;

/// Tolerance that the bench adds to every time limit on sockets, s.
pub const SLACK_S: f64 = 0.05;

/// One of the five rules, as the protocol page numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every request gets exactly one final answer in time, made for it.
    OneFinalAnswer,
    /// A request that must not be repeated runs at most once.
    NoDuplicateEffect,
    /// A draining server receives no request after the grace period.
    NothingToDrainedServer,
    /// A cold server is not sent more than it can run concurrently.
    ColdServerNotOverloaded,
    /// The concurrency limit of a plan holds over all gateways together.
    ConcurrencyLimitAcrossGateways,
}

impl Rule {
    /// Every rule, in the order of their numbers.
    pub const ALL: [Rule; 5] = [
        Rule::OneFinalAnswer,
        Rule::NoDuplicateEffect,
        Rule::NothingToDrainedServer,
        Rule::ColdServerNotOverloaded,
        Rule::ConcurrencyLimitAcrossGateways,
    ];
    /// Name in reports.
    pub fn label(self) -> &'static str {
        match self {
            Rule::OneFinalAnswer => "1 one final answer",
            Rule::NoDuplicateEffect => "2 no effect twice",
            Rule::NothingToDrainedServer => "3 nothing to a gone srv past grace",
            Rule::ColdServerNotOverloaded => "4 cold srv never pushed over",
            Rule::ConcurrencyLimitAcrossGateways => "5 ceilings across gateways",
        }
    }
}

/// The number of violations of a rule, and descriptions of the first few.
#[derive(Clone, Debug, Default)]
pub struct Violations {
    /// Number of violations.
    pub count: usize,
    /// Descriptions of the first violations.
    pub examples: Vec<String>,
}

/// Maximum number of examples per rule: enough to start an investigation, few enough for a table cell.
const MAX_EXAMPLES: usize = 3;

impl Violations {
    fn add(&mut self, describe: impl FnOnce() -> String) {
        self.count += 1;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(describe());
        }
    }
}

/// Every rule with its violations, in the order of `Rule::ALL`.
pub type Verdict = BTreeMap<Rule, Violations>;

/// Checks the five rules; `grace_s` is the grace period of drains in the scenario.
pub fn check(record: &Record, settings: &GatewaySettings, grace_s: f64) -> Verdict {
    let mut verdict: Verdict = Rule::ALL.iter().map(|r| (*r, Violations::default())).collect();
    let final_answer = verdict.get_mut(&Rule::OneFinalAnswer).expect("all rules");
    for request in &record.requests {
        match request.outcome {
            Outcome::NoAnswer => final_answer
                .add(|| format!("request {:016x}: connection closed without a response", request.id)),
            Outcome::Late => final_answer
                .add(|| format!("request {:016x}: no response within {:.3} s", request.id, request.timeout)),
            Outcome::ForeignAnswer => final_answer
                .add(|| format!("request {:016x}: received the response to another request", request.id)),
            _ => {}
        }
    }
    // Counts the runs of each request that must not be repeated. Requests with an idempotency key are not counted:
    // the server recognizes their repeats.
    let mut runs: BTreeMap<u64, usize> = BTreeMap::new();
    for arrival in record.arrivals.iter().filter(|a| a.ran && !a.repeat_of_key) {
        if settings.classes.get(arrival.class as usize).is_some_and(|c| c.effect == Effect::Once) {
            *runs.entry(arrival.id).or_default() += 1;
        }
    }
    let repeated = verdict.get_mut(&Rule::NoDuplicateEffect).expect("all rules");
    for (id, n) in runs.iter().filter(|(_, n)| **n > 1) {
        repeated.add(|| format!("request {id:016x} ran {n} times"));
    }
    let drained = verdict.get_mut(&Rule::NothingToDrainedServer).expect("all rules");
    for arrival in record.arrivals.iter().filter(|a| a.since_drain_announced > grace_s + SLACK_S) {
        drained.add(|| {
            format!(
                "server {} received request {:016x} {:.3} s after its drain was announced",
                arrival.server, arrival.id, arrival.since_drain_announced
            )
        });
    }
    let cold_server = verdict.get_mut(&Rule::ColdServerNotOverloaded).expect("all rules");
    for arrival in record.arrivals.iter().filter(|a| a.cold && a.running >= a.limit) {
        cold_server.add(|| {
            format!(
                "cold server {} at {:.2} s: {} running, limit {}",
                arrival.server,
                arrival.at,
                arrival.running + 1,
                arrival.limit
            )
        });
    }
    let concurrency = verdict.get_mut(&Rule::ConcurrencyLimitAcrossGateways).expect("all rules");
    let plans = customer_plans(record);
    for arrival in &record.arrivals {
        let at_once = plans
            .get(&arrival.customer)
            .and_then(|p| settings.plans.get(*p as usize))
            .map_or(0, |p| p.at_once);
        if at_once > 0 && arrival.customer_open.len() > at_once {
            concurrency.add(|| {
                let open: Vec<String> =
                    arrival.customer_open.iter().map(|(s, i)| format!("{i:x}@server{s}")).collect();
                format!(
                    "customer {} at {:.2} s: open requests {}, limit of the plan {at_once}",
                    arrival.customer,
                    arrival.at,
                    open.join(" ")
                )
            });
        }
    }
    verdict
}

/// The plan of each customer, from its requests (a customer keeps one plan throughout a run).
pub(crate) fn customer_plans(record: &Record) -> BTreeMap<u32, u8> {
    record.requests.iter().map(|r| (r.customer, r.plan)).collect()
}

/// Whether no rule was violated.
pub fn no_violations(verdict: &Verdict) -> bool {
    verdict.values().all(|b| b.count == 0)
}

#[cfg(test)]
mod tests;
