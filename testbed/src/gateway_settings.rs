//! What the lab must know of the gateway's settings to judge it: classes and plans, read from the same JSON
//! file the gateways are started with, so that no figure of them is written twice.

use serde::Deserialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Repeatable,
    /// Uniqued: safe again under its `Idempotency-Key`.
    ByKey,
    /// Non-replayable: must never run twice.
    Once,
}

#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    pub effect: Effect,
    /// Response target and deadline, s.
    pub slo: f64,
    pub deadline: f64,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub name: String,
    /// Most reqs of one customer open at once over all gateways; 0 for none.
    pub at_once: usize,
    /// The quota's store: it fills at `units_per_s` up to `store_size` units; 0 for a plan without a rate.
    pub units_per_s: f64,
    pub store_size: f64,
}

impl Plan {
    /// Most units a customer may use in any span of `span_s` seconds: a full store and what fills meanwhile.
    /// `None` for a plan without a rate.
    pub fn allowed(&self, span_s: f64) -> Option<f64> {
        (self.units_per_s > 0.0).then_some(self.store_size + self.units_per_s * span_s)
    }
}

#[derive(Clone, Debug)]
pub struct GatewaySettings {
    pub classes: Vec<Class>,
    pub plans: Vec<Plan>,
    /// The gateway's configuration as read, to be started with.
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
    /// Reads a gateway configuration (the format of `example/config.json`); the error names the field.
    pub fn parse(text: &str) -> Result<GatewaySettings, String> {
        let raw_config: serde_json::Value =
            serde_json::from_str(text).map_err(|e| format!("no JSON: {e}"))?;
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
                    e => return Err(format!("`settings.classes.effect`: `{e}`")),
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

    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.name == name)
    }
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|p| p.name == name)
    }
}
