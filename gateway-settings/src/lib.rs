//! The settings text of a gateway, decoded into the module's terms and into what a host on sockets needs
//! beside them. Unknown keys are skipped.

use lupinledge::interface::{DedupScope, Effect, Frontend, Plan, Terms};
use lupinledge::time::Span;
use serde_json::Value;

struct Part<'a>(&'a Value, &'static str);

impl<'a> Part<'a> {
    fn of(v: &'a Value, key: &'static str) -> Result<Part<'a>, String> {
        let part = v.get(key).ok_or_else(|| format!("no `{key}`"))?;
        if part.is_object() {
            Ok(Part(part, key))
        } else {
            Err(format!("`{key}` is no object"))
        }
    }
    fn num(&self, key: &str) -> Result<f64, String> {
        let v = self.0.get(key).ok_or_else(|| format!("no `{}.{key}`", self.1))?;
        v.as_f64().ok_or_else(|| format!("`{}.{key}` is no number", self.1))
    }
    fn span(&self, key: &str) -> Result<Span, String> {
        Ok(Span::from_secs(self.num(key)?))
    }
    fn flag(&self, key: &str) -> Result<bool, String> {
        let v = self.0.get(key).ok_or_else(|| format!("no `{}.{key}`", self.1))?;
        v.as_bool().ok_or_else(|| format!("`{}.{key}` is no true or false", self.1))
    }
    fn word(&self, key: &str) -> Result<&'a str, String> {
        let v = self.0.get(key).ok_or_else(|| format!("no `{}.{key}`", self.1))?;
        v.as_str().ok_or_else(|| format!("`{}.{key}` is no text", self.1))
    }
}

fn list<'a>(v: &'a Value, key: &'static str) -> Result<Vec<Part<'a>>, String> {
    let all = v.get(key).and_then(Value::as_array).ok_or_else(|| format!("no list `{key}`"))?;
    Ok(all.iter().map(|v| Part(v, key)).collect())
}

fn frontend(p: &Part, max_dispatches: u32) -> Result<Frontend, String> {
    let effect = match p.word("effect")? {
        "repeatable" => Effect::Replayable,
        "by_key" => Effect::Deduplicated,
        "once" => Effect::NonReplayable,
        w => return Err(format!("unknown effect `{w}`")),
    };
    let uniqued = effect == Effect::Deduplicated;
    let group = match if uniqued { p.word("group")? } else { "all" } {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        w => return Err(format!("unknown group `{w}`")),
    };
    Ok(Frontend {
        effect,
        group,
        memory: if uniqued { p.span("memorySpan")? } else { Span::ZERO },
        target: p.span("slo")?,
        late_value: p.num("lateWorth")?,
        value: p.num("value")?,
        timeout: p.span("deadline")?,
        max_dispatches,
    })
}

fn plan(p: &Part) -> Result<Plan, String> {
    for key in ["unitsPerS", "storeSize", "atOnce", "capRate", "neverOverDepth"] {
        if p.num(key)? < 0.0 {
            return Err(format!("`{}.{key}` is below 0", p.1));
        }
    }
    if p.num("capRate")? > 0.0 && p.num("neverOverDepth")? <= 0.0 {
        return Err(format!("`{}.neverOverDepth` is 0 beside a `capRate`: nothing would pass", p.1));
    }
    Ok(Plan {
        rate: p.num("unitsPerS")?,
        burst: p.num("storeSize")?,
        price: p.num("pays")?,
        at_once: p.num("atOnce")? as u32,
        overrun_value: p.num("extraWorth")?,
        overrun_cost: p.num("overrunCost")?,
        ceiling_rate: p.num("capRate")?,
        ceiling_burst: p.num("neverOverDepth")?,
    })
}

/// What the module never sees: the names used outside, and figures of the connections.
#[derive(Clone, Debug)]
pub struct HostSettings {
    pub frontends: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
    pub keepalive: Span,
    pub connect_wait: Span,
}

/// The settings as text, as the simulator hands them.
pub fn decode(seed: u64, text: &[u8]) -> Result<Terms, String> {
    terms(seed, &serde_json::from_slice(text).map_err(|e| e.to_string())?)
}

pub fn host_settings(v: &Value) -> Result<HostSettings, String> {
    let limits = Part::of(v, "limits")?;
    let names = |key| -> Result<Vec<String>, String> {
        list(v, key)?.iter().map(|p| Ok(p.word("name")?.to_string())).collect()
    };
    let zone = |z: &Value| z.as_str().map(str::to_string).ok_or("`zones` has an entry that is no text");
    Ok(HostSettings {
        frontends: names("classes")?,
        plans: names("packages")?,
        zones: zones(v)?.iter().map(zone).collect::<Result<_, _>>()?,
        keepalive: limits.span("keepalive")?,
        connect_wait: limits.span("connectTimeout")?,
    })
}

fn zones(v: &Value) -> Result<&Vec<Value>, String> {
    Ok(v.get("zones").and_then(Value::as_array).ok_or("no list `zones`")?)
}

/// Whether clients mark their repeats; so it was taken before the settings told.
fn marks_repeats(v: &Value) -> Result<bool, String> {
    match v.get("clientHabits") {
        None => Ok(true),
        Some(h) if h.is_object() && h.get("marksRetry").is_none() => Ok(true),
        Some(_) => Part::of(v, "clientHabits")?.flag("marksRetry"),
    }
}

pub fn terms(seed: u64, v: &Value) -> Result<Terms, String> {
    let top = Part(v, "settings");
    let (limits, rules, fam) = (Part::of(v, "limits")?, Part::of(v, "rules")?, Part::of(v, "familyInfo")?);
    let most = limits.num("maxAttempts")? as u32;
    Ok(Terms {
        seed,
        gateways: top.num("instances")? as usize,
        zone: top.num("locality")? as u16,
        zones: zones(v)?.len(),
        period: top.span("period")?,
        frontends: list(v, "classes")?.iter().map(|p| frontend(p, most)).collect::<Result<_, _>>()?,
        plans: list(v, "packages")?.iter().map(plan).collect::<Result<_, _>>()?,
        counter: fam.flag("sharedCounter")?,
        count_wait: fam.span("countWait")?,
        max_units: fam.num("largest")?,
        bills_after: fam.flag("costAfter")?,
        peers: limits.flag("peers")?,
        peer_intake: fam.num("peerIntake")?,
        list_on_request: top.word("discovery")? == "on_request",
        may_duplicate: limits.flag("mayDuplicate")?,
        may_cancel: limits.flag("mayCancel")?,
        may_hint: limits.flag("retryAfter")?,
        longest_hint: limits.span("maxRetryAfter")?,
        cold_from: rules.num("coldFrom")?,
        warm_after: rules.span("warmAfter")?,
        fall_multiple: rules.num("fallMultiple")?,
        fall_window: rules.span("tipAfter")?,
        marks_repeats: marks_repeats(v)?,
        start_limit: 3.0,
        ..Terms::default()
    })
}
