//! The five rules, checked from the emulator's own view of a run: no word of the gateway is taken for them.
//!
//! Pure: a record and the terms in, a verdict out.

use crate::gateway_settings::{Effect, GatewaySettings};
use crate::record::{Outcome, Record};
use std::collections::BTreeMap;

/// The bench adds this much to every time limit on sockets, s.
pub const SLACK_S: f64 = 0.05;

/// One of the five rules, as the protocol page numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    OneFinalAnswer,
    NoDuplicateEffect,
    NothingToDrainedServer,
    ColdServerNotOverloaded,
    ConcurrencyLimitAcrossGateways,
}

impl Rule {
    pub const ALL: [Rule; 5] = [
        Rule::OneFinalAnswer,
        Rule::NoDuplicateEffect,
        Rule::NothingToDrainedServer,
        Rule::ColdServerNotOverloaded,
        Rule::ConcurrencyLimitAcrossGateways,
    ];
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

/// A rule's count of breaks and the first few, told in words.
#[derive(Clone, Debug, Default)]
pub struct Violations {
    pub count: usize,
    pub examples: Vec<String>,
}

/// How many examples a rule keeps: enough to start a search, few enough for a table.
const MAX_EXAMPLES: usize = 3;

impl Violations {
    fn add(&mut self, what: impl FnOnce() -> String) {
        self.count += 1;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(what());
        }
    }
}

/// Every rule with its breaks, in the order of `Rule::ALL`.
pub type Verdict = BTreeMap<Rule, Violations>;

/// Checks the five rules; `grace_s` is the scenario's drain grace.
pub fn check(record: &Record, settings: &GatewaySettings, grace_s: f64) -> Verdict {
    let mut v: Verdict = Rule::ALL.iter().map(|r| (*r, Violations::default())).collect();
    let one = v.get_mut(&Rule::OneFinalAnswer).expect("all rules");
    for r in &record.requests {
        match r.outcome {
            Outcome::NoAnswer => one.add(|| format!("req {:016x}: connection ended without an answer", r.id)),
            Outcome::Late => one.add(|| format!("req {:016x}: no answer within {:.3} s", r.id, r.timeout)),
            Outcome::ForeignAnswer => {
                one.add(|| format!("req {:016x}: answered with what no srv made for it", r.id))
            }
            _ => {}
        }
    }
    // Runs of each non-replayable req: a uniqued one is safe again only under its key, which the srv remembers.
    let mut runs: BTreeMap<u64, usize> = BTreeMap::new();
    for a in record.arrivals.iter().filter(|a| a.ran && !a.repeat_of_key) {
        if settings.classes.get(a.class as usize).is_some_and(|c| c.effect == Effect::Once) {
            *runs.entry(a.id).or_default() += 1;
        }
    }
    let twice = v.get_mut(&Rule::NoDuplicateEffect).expect("all rules");
    for (id, n) in runs.iter().filter(|(_, n)| **n > 1) {
        twice.add(|| format!("req {id:016x} ran {n} times"));
    }
    let gone = v.get_mut(&Rule::NothingToDrainedServer).expect("all rules");
    for a in record.arrivals.iter().filter(|a| a.since_drain_announced > grace_s + SLACK_S) {
        gone.add(|| {
            format!(
                "srv {} got req {:016x} {:.3} s after its drain was told",
                a.server, a.id, a.since_drain_announced
            )
        });
    }
    let cold = v.get_mut(&Rule::ColdServerNotOverloaded).expect("all rules");
    for a in record.arrivals.iter().filter(|a| a.cold && a.running >= a.limit) {
        cold.add(|| {
            format!("cold srv {} at {:.2} s: {} running, takes {}", a.server, a.at, a.running + 1, a.limit)
        });
    }
    let ceilings = v.get_mut(&Rule::ConcurrencyLimitAcrossGateways).expect("all rules");
    let plans = customer_plans(record);
    for a in &record.arrivals {
        let at_once =
            plans.get(&a.customer).and_then(|p| settings.plans.get(*p as usize)).map_or(0, |p| p.at_once);
        if at_once > 0 && a.customer_open.len() > at_once {
            ceilings.add(|| {
                let open: Vec<String> =
                    a.customer_open.iter().map(|(s, i)| format!("{i:x}@srv{s}")).collect();
                format!(
                    "customer {} at {:.2} s had {} open, its plan {at_once}",
                    a.customer,
                    a.at,
                    open.join(" ")
                )
            });
        }
    }
    v
}

/// Each customer's plan, from its reqs (a customer keeps one plan through a run).
pub(crate) fn customer_plans(record: &Record) -> BTreeMap<u32, u8> {
    record.requests.iter().map(|r| (r.customer, r.plan)).collect()
}

/// Whether no rule broke.
pub fn no_violations(v: &Verdict) -> bool {
    v.values().all(|b| b.count == 0)
}

#[cfg(test)]
mod tests;
