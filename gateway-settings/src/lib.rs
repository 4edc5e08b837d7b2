//! Decodes the settings of a gateway (JSON) into the terms of the decision module and into what a host on sockets
//! needs beside them. Unknown keys are skipped.

use lupinledge::interface::{DedupScope, Effect, Frontend, Plan, Terms};
use lupinledge::time::Span;
use serde_json::Value;

/// An object of the settings and its key, for error messages.
struct Section<'a>(&'a Value, &'static str);

impl<'a> Section<'a> {
    fn of(v: &'a Value, key: &'static str) -> Result<Section<'a>, String> {
        let section = v.get(key).ok_or_else(|| format!("`{key}` is missing"))?;
        if section.is_object() {
            Ok(Section(section, key))
        } else {
            Err(format!("`{key}` is not an object"))
        }
    }
    fn number(&self, key: &str) -> Result<f64, String> {
        let v = self.0.get(key).ok_or_else(|| format!("`{}.{key}` is missing", self.1))?;
        v.as_f64().ok_or_else(|| format!("`{}.{key}` is not a number", self.1))
    }
    fn span(&self, key: &str) -> Result<Span, String> {
        Ok(Span::from_secs(self.number(key)?))
    }
    fn boolean(&self, key: &str) -> Result<bool, String> {
        let v = self.0.get(key).ok_or_else(|| format!("`{}.{key}` is missing", self.1))?;
        v.as_bool().ok_or_else(|| format!("`{}.{key}` is not a boolean", self.1))
    }
    fn string(&self, key: &str) -> Result<&'a str, String> {
        let v = self.0.get(key).ok_or_else(|| format!("`{}.{key}` is missing", self.1))?;
        v.as_str().ok_or_else(|| format!("`{}.{key}` is not a string", self.1))
    }
}

fn list<'a>(v: &'a Value, key: &'static str) -> Result<Vec<Section<'a>>, String> {
    let items = v.get(key).and_then(Value::as_array).ok_or_else(|| format!("`{key}` is not a list"))?;
    Ok(items.iter().map(|v| Section(v, key)).collect())
}

fn frontend(section: &Section, max_dispatches: u32) -> Result<Frontend, String> {
    let effect = match section.string("effect")? {
        "repeatable" => Effect::Replayable,
        "by_key" => Effect::Deduplicated,
        "once" => Effect::NonReplayable,
        other => return Err(format!("unknown effect `{other}`")),
    };
    let uniqued = effect == Effect::Deduplicated;
    let dedup_scope = match if uniqued { section.string("group")? } else { "all" } {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        other => return Err(format!("unknown group `{other}`")),
    };
    Ok(Frontend {
        effect,
        dedup_scope,
        dedup_memory: if uniqued { section.span("memorySpan")? } else { Span::ZERO },
        target: section.span("slo")?,
        late_value: section.number("lateWorth")?,
        value: section.number("value")?,
        timeout: section.span("deadline")?,
        max_dispatches,
    })
}

fn plan(section: &Section) -> Result<Plan, String> {
    for key in ["unitsPerS", "storeSize", "atOnce", "capRate", "neverOverDepth"] {
        if section.number(key)? < 0.0 {
            return Err(format!("`{}.{key}` is negative", section.1));
        }
    }
    if section.number("capRate")? > 0.0 && section.number("neverOverDepth")? <= 0.0 {
        return Err(format!(
            "`{}.neverOverDepth` is 0 with a `capRate` above 0: nothing would pass",
            section.1
        ));
    }
    Ok(Plan {
        rate: section.number("unitsPerS")?,
        burst: section.number("storeSize")?,
        price: section.number("pays")?,
        at_once: section.number("atOnce")? as u32,
        overrun_value: section.number("extraWorth")?,
        overrun_cost: section.number("overrunCost")?,
        ceiling_rate: section.number("capRate")?,
        ceiling_burst: section.number("neverOverDepth")?,
    })
}

/// What the host needs beside the terms: the names of frontends, plans and zones, and connection timeouts.
#[derive(Clone, Debug)]
pub struct HostSettings {
    pub frontends: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
    pub keepalive: Span,
    pub connect_wait: Span,
}

/// Decodes the terms from settings text, as the simulator sends them.
pub fn decode(seed: u64, text: &[u8]) -> Result<Terms, String> {
    terms(seed, &serde_json::from_slice(text).map_err(|e| e.to_string())?)
}

/// Decodes what the host needs beside the terms.
pub fn host_settings(v: &Value) -> Result<HostSettings, String> {
    let limits = Section::of(v, "limits")?;
    let names = |key| -> Result<Vec<String>, String> {
        list(v, key)?.iter().map(|p| Ok(p.string("name")?.to_string())).collect()
    };
    let zone = |z: &Value| z.as_str().map(str::to_string).ok_or("`zones` has an entry that is not a string");
    Ok(HostSettings {
        frontends: names("classes")?,
        plans: names("packages")?,
        zones: zones(v)?.iter().map(zone).collect::<Result<_, _>>()?,
        keepalive: limits.span("keepalive")?,
        connect_wait: limits.span("connectTimeout")?,
    })
}

fn zones(v: &Value) -> Result<&Vec<Value>, String> {
    Ok(v.get("zones").and_then(Value::as_array).ok_or("`zones` is not a list")?)
}

/// Whether clients mark their retries; assumed where the settings, as older ones do, say nothing about it.
fn marks_repeats(v: &Value) -> Result<bool, String> {
    match v.get("clientHabits") {
        None => Ok(true),
        Some(habits) if habits.is_object() && habits.get("marksRetry").is_none() => Ok(true),
        Some(_) => Section::of(v, "clientHabits")?.boolean("marksRetry"),
    }
}

/// Decodes the terms.
pub fn terms(seed: u64, v: &Value) -> Result<Terms, String> {
    let top = Section(v, "settings");
    let (limits, rules, family) =
        (Section::of(v, "limits")?, Section::of(v, "rules")?, Section::of(v, "familyInfo")?);
    let max_dispatches = limits.number("maxAttempts")? as u32;
    Ok(Terms {
        seed,
        gateways: top.number("instances")? as usize,
        zone: top.number("locality")? as u16,
        zones: zones(v)?.len(),
        period: top.span("period")?,
        frontends: list(v, "classes")?
            .iter()
            .map(|p| frontend(p, max_dispatches))
            .collect::<Result<_, _>>()?,
        plans: list(v, "packages")?.iter().map(plan).collect::<Result<_, _>>()?,
        counter: family.boolean("sharedCounter")?,
        count_wait: family.span("countWait")?,
        max_units: family.number("largest")?,
        bills_after: family.boolean("costAfter")?,
        may_message_peers: limits.boolean("peers")?,
        peer_intake: family.number("peerIntake")?,
        list_on_request: top.string("discovery")? == "on_request",
        may_duplicate: limits.boolean("mayDuplicate")?,
        may_cancel: limits.boolean("mayCancel")?,
        may_hint: limits.boolean("retryAfter")?,
        longest_hint: limits.span("maxRetryAfter")?,
        cold_start_share: rules.number("coldFrom")?,
        warmup_time: rules.span("warmAfter")?,
        overload_multiple: rules.number("fallMultiple")?,
        overload_window: rules.span("tipAfter")?,
        marks_repeats: marks_repeats(v)?,
        start_limit: 3.0,
        ..Terms::default()
    })
}
