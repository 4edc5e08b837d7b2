//! A node checks its own routing tables. Each step recomputes the fingerprint of one part from memory, and routes one
//! random request of the configuration through the tables; the result is compared with a direct evaluation of the
//! configuration.

use fastrand::Rng;
use lupinledge_config::reference::{random_probe, route_by_scan, route_with_tables};
use lupinledge_config::{Config, Fingerprints, Part, Tables};

/// Tables in memory that differ from the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The part that differs.
    pub part: Part,
    /// Names of the first routes, tenants or services that differ.
    pub names: Vec<String>,
}

/// Steps until every part has been checked once.
const STEPS_PER_ROUND: u32 = Part::ALL.len() as u32;

/// The state of the checks, see the module.
pub struct Audit {
    rng: Rng,
    steps: u32,
    /// Steps without a finding, since the tables were first seen or since the last finding.
    clean_steps: u32,
    last_seen: Option<Fingerprints>,
    live_print: Fingerprints,
}

impl Audit {
    /// The seed determines the probes.
    pub fn new(seed: u64) -> Audit {
        Audit {
            rng: Rng::with_seed(seed),
            steps: 0,
            clean_steps: 0,
            last_seen: None,
            live_print: Fingerprints::default(),
        }
    }

    /// Must be called when the tables were rebuilt: findings in the old tables do not apply to the new ones.
    pub fn reset(&mut self) {
        self.last_seen = None;
    }

    /// The fingerprint of the tables in memory, as of the last check of each part.
    pub fn live_print(&self) -> Fingerprints {
        self.live_print
    }

    /// Whether all parts were checked without a finding since the last change.
    pub fn is_clean(&self) -> bool {
        self.clean_steps >= STEPS_PER_ROUND
    }

    /// Checks one part and sends one probe. `config` is what the tables were built from; `expected` are newly built tables
    /// of the same configuration, if the caller has them.
    pub fn step(
        &mut self,
        tables: &Tables,
        config: Option<&Config>,
        expected: Option<&Tables>,
    ) -> Option<Finding> {
        if tables.fingerprints() == Fingerprints::default() {
            return None; // there is no configuration yet
        }
        if self.last_seen.replace(tables.fingerprints()) != Some(tables.fingerprints()) {
            (self.clean_steps, self.live_print) = (0, tables.fingerprints());
        }
        let part = Part::ALL[(self.steps % STEPS_PER_ROUND) as usize];
        self.steps = self.steps.wrapping_add(1);
        let print = tables.recompute_fingerprint(part);
        self.live_print.set(part, print);
        let corrupted = print != tables.fingerprints().part(part);
        let differing = expected.and_then(|e| {
            Part::ALL.into_iter().find(|p| e.fingerprints().part(*p) != tables.recompute_fingerprint(*p))
        });
        let found = match (corrupted, differing, config) {
            (true, ..) => Some(Finding { part, names: Vec::new() }),
            (_, Some(part), _) => Some(Finding { part, names: Vec::new() }),
            (_, _, Some(config)) => self.probe(tables, config),
            _ => None,
        };
        self.clean_steps = if found.is_some() { 0 } else { self.clean_steps.saturating_add(1) };
        found
    }

    fn probe(&mut self, tables: &Tables, config: &Config) -> Option<Finding> {
        let probe = random_probe(config, &mut self.rng)?;
        let (actual, expected) = (route_with_tables(tables, &probe), route_by_scan(config, &probe));
        let names = || actual.iter().chain(&expected).map(|w| w.route.clone()).take(1).collect();
        let tenant =
            |w: &Option<lupinledge_config::reference::RoutingResult>| w.as_ref().map(|w| w.tenant.clone());
        let part = if tenant(&actual) != tenant(&expected) { Part::Tenants } else { Part::Routes };
        (actual != expected).then(|| Finding { part, names: names() })
    }
}

#[cfg(test)]
mod tests;
