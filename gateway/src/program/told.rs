//! What the gateway is told at its start: the configuration file named by the environment.

use crate::protocol::discovery::{Members, WireMembers};
use lupinledge::interface::Terms;
use lupinledge_gateway_settings::HostSettings;
use serde_json::Value;
use std::net::SocketAddr;

pub const FILE_VARIABLE: &str = "EDGE_CONFIG";

pub struct Told {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    pub sockets: usize,
    pub terms: Terms,
    /// Terms to come, for the program to watch: it decides by those in force and counts where these differ.
    pub watch: Option<Terms>,
    pub outside: HostSettings,
    pub known: Option<Members>,
}

/// Reads the file; an error names the field that is missing or wrong.
pub fn read() -> Result<Told, String> {
    let path = std::env::var(FILE_VARIABLE).map_err(|_| format!("{FILE_VARIABLE} is not set"))?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    parse(&text).map_err(|e| format!("{path}: {e}"))
}

fn parse(text: &[u8]) -> Result<Told, String> {
    let v: Value = serde_json::from_slice(text).map_err(|e| format!("no JSON: {e}"))?;
    let word = |key: &str| v.get(key).and_then(Value::as_str).ok_or(format!("`{key}`: no text"));
    let addr = |key: &str| {
        let word = word(key)?;
        word.parse::<SocketAddr>().map_err(|_| format!("`{key}`: `{word}` is no address with a port"))
    };
    let seed = word("seed")?;
    let seed = u64::from_str_radix(seed, 16).map_err(|_| format!("`seed`: `{seed}` is no hex number"))?;
    let sockets = v.get("limits").and_then(|l| l.get("sockets")).and_then(Value::as_u64);
    let sockets = sockets.ok_or("`limits.sockets`: no whole number")? as usize;
    if sockets < LEAST_SOCKETS {
        return Err(format!("`limits.sockets`: {sockets}, needs {LEAST_SOCKETS}"));
    }
    let settings = v.get("settings").ok_or("`settings`: missing")?;
    let terms = lupinledge_gateway_settings::terms(seed, settings).map_err(|e| format!("`settings`: {e}"))?;
    let watch = v.get("watch").filter(|w| !w.is_null()).map(|w| to_come(seed, settings, w, &terms));
    let watch = watch.transpose().map_err(|e| format!("`watch`: {e}"))?;
    let outside =
        lupinledge_gateway_settings::host_settings(settings).map_err(|e| format!("`settings`: {e}"))?;
    let known = match v.get("known").filter(|k| !k.is_null()) {
        None => None,
        Some(k) => {
            let wire: WireMembers = serde_json::from_value(k.clone()).map_err(|e| format!("`known`: {e}"))?;
            let known = wire.members(&outside.zones);
            if let Some(fault) = known.faults.first() {
                return Err(format!("`known`: {fault}"));
            }
            Some(known)
        }
    };
    Ok(Told {
        name: word("name")?.to_string(),
        listen: addr("listen")?,
        discovery: addr("discovery")?,
        counter: if terms.counter { Some(addr("counter")?) } else { None },
        sockets,
        terms,
        watch,
        outside,
        known,
    })
}

/// The settings with the changes that `watch` names: an object's keys one by one, anything else whole.
fn to_come(seed: u64, settings: &Value, changes: &Value, now: &Terms) -> Result<Terms, String> {
    if !changes.is_object() {
        return Err("no object".to_string());
    }
    let mut all = settings.clone();
    lay_over(&mut all, changes, "")?;
    let terms = lupinledge_gateway_settings::terms(seed, &all)?;
    if (terms.frontends.len(), terms.plans.len()) != (now.frontends.len(), now.plans.len()) {
        return Err("`classes` and `packages` must be as many as in `settings`".to_string());
    }
    Ok(terms)
}

fn lay_over(to: &mut Value, changes: &Value, path: &str) -> Result<(), String> {
    let Some(changes) = changes.as_object() else {
        *to = changes.clone();
        return Ok(());
    };
    for (key, change) in changes {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        // a wrong name would change nothing and look like a shape that needs nothing
        let known = to.get(key).is_some() || ABSENT.contains(&path.as_str());
        let to = to.as_object_mut().filter(|_| known).ok_or(format!("`{path}` is in no settings"))?;
        lay_over(to.entry(key).or_insert_with(|| serde_json::json!({})), change, &path)?;
    }
    Ok(())
}

/// Keys that settings may leave out.
const ABSENT: [&str; 2] = ["clientHabits", "clientHabits.marksRetry"];

/// Sixteen for the program itself, and as many again for connections of either side.
const LEAST_SOCKETS: usize = 48;
