//! The gateway settings that the rule checks need: classes and plans, parsed from the same JSON file that the
//! gateways are started with, so that no value is stated twice.

use serde::Deserialize;

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Repeatable,
    /// May be repeated under the same `Idempotency-Key`: the server runs it once.
    ByKey,
    /// Must never run twice.
    Once,
}

/// A request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// First path segment of its requests.
    pub name: String,
    /// Whether its requests may run more than once.
    pub effect: Effect,
    /// Target for the response time, s.
    pub slo: f64,
    /// Deadline, s.
    pub deadline: f64,
}

/// The plan of a customer.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Value of the `Plan` header.
    pub name: String,
    /// Maximum number of concurrent requests of one customer over all gateways; 0 for no limit.
    pub at_once: usize,
    /// Refill rate of the token bucket; 0 for a plan without a rate limit.
    pub units_per_s: f64,
    /// Capacity of the token bucket, units.
    pub store_size: f64,
}

impl Plan {
    /// Maximum units a customer may use in any `span_s` seconds: a full token bucket and its refill in that time.
    /// `None` for a plan without a rate limit.
    pub fn allowed(&self, span_s: f64) -> Option<f64> {
        (self.units_per_s > 0.0).then_some(self.store_size + self.units_per_s * span_s)
    }
}

/// Classes and plans of the gateways under test.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Classes, in the order of the file.
    pub classes: Vec<Class>,
    /// Plans, in the order of the file.
    pub plans: Vec<Plan>,
    /// The whole configuration, from which the file of each gateway is made.
    pub raw_config: serde_json::Value,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireClass {
    name: String,
    effect: String,
    slo: f64,
    deadline: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WirePlan {
    name: String,
    at_once: f64,
    units_per_s: f64,
    store_size: f64,
}

impl GatewaySettings {
    /// Parses a gateway configuration (the format of `example/config.json`); the error names the invalid field.
    pub fn parse(text: &str) -> Result<GatewaySettings, String> {
        let raw_config: serde_json::Value =
            serde_json::from_str(text).map_err(|e| format!("invalid JSON: {e}"))?;
        let section = raw_config.get("settings").ok_or("`settings`: missing")?;
        let classes: Vec<WireClass> = serde_json::from_value(section["classes"].clone())
            .map_err(|e| format!("`settings.classes`: {e}"))?;
        let plans: Vec<WirePlan> = serde_json::from_value(section["packages"].clone())
            .map_err(|e| format!("`settings.packages`: {e}"))?;
        let classes = classes
            .into_iter()
            .map(|c| {
                let effect = match c.effect.as_str() {
                    "repeatable" => Effect::Repeatable,
                    "by_key" => Effect::ByKey,
                    "once" => Effect::Once,
                    e => return Err(format!("`settings.classes.effect`: unknown value `{e}`")),
                };
                Ok(Class { name: c.name, effect, slo: c.slo, deadline: c.deadline })
            })
            .collect::<Result<_, String>>()?;
        let plans = plans
            .into_iter()
            .map(|p| Plan {
                name: p.name,
                at_once: p.at_once as usize,
                units_per_s: p.units_per_s,
                store_size: p.store_size,
            })
            .collect();
        Ok(GatewaySettings { classes, plans, raw_config })
    }

    /// Index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.name == name)
    }
    /// Index of a plan.
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|p| p.name == name)
    }
}
