//! Reads the configuration file that the environment names.

use crate::protocol::discovery::{Members, WireMembers};
use lupinledge::interface::Terms;
use lupinledge_gateway_settings::HostSettings;
use serde_json::Value;
use std::net::SocketAddr;

/// The environment variable with the path of the configuration file.
pub const FILE_VARIABLE: &str = "EDGE_CONFIG";

/// The configuration of the gateway.
pub struct GatewayConfig {
    /// The name of this gateway.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the counter, if the terms use one.
    pub counter: Option<SocketAddr>,
    /// The limit on file descriptors.
    pub sockets: usize,
    /// The terms in force.
    pub terms: Terms,
    /// Planned terms: the gateway decides by those in force and counts where these would decide differently.
    pub planned_terms: Option<Terms>,
    /// The settings for the protocols towards other hosts.
    pub host_settings: HostSettings,
    /// The servers that are known at the start.
    pub known_members: Option<Members>,
}

/// Reads the file; an error names the field that is missing or wrong.
pub fn read() -> Result<GatewayConfig, String> {
    let path = std::env::var(FILE_VARIABLE).map_err(|_| format!("{FILE_VARIABLE} is not set"))?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    parse(&text).map_err(|e| format!("{path}: {e}"))
}

fn parse(text: &[u8]) -> Result<GatewayConfig, String> {
    let config: Value = serde_json::from_slice(text).map_err(|e| format!("invalid JSON: {e}"))?;
    let string = |key: &str| config.get(key).and_then(Value::as_str).ok_or(format!("`{key}`: not a string"));
    let addr = |key: &str| {
        let string = string(key)?;
        string.parse::<SocketAddr>().map_err(|_| format!("`{key}`: `{string}` is not an address with a port"))
    };
    let seed = string("seed")?;
    let seed =
        u64::from_str_radix(seed, 16).map_err(|_| format!("`seed`: `{seed}` is not a hexadecimal number"))?;
    let sockets = config.get("limits").and_then(|l| l.get("sockets")).and_then(Value::as_u64);
    let sockets = sockets.ok_or("`limits.sockets`: not a whole number")? as usize;
    if sockets < MIN_SOCKETS {
        return Err(format!("`limits.sockets`: {sockets}, must be at least {MIN_SOCKETS}"));
    }
    let settings = config.get("settings").ok_or("`settings`: missing")?;
    let terms = lupinledge_gateway_settings::terms(seed, settings).map_err(|e| format!("`settings`: {e}"))?;
    let planned_terms =
        config.get("watch").filter(|w| !w.is_null()).map(|w| planned_terms(seed, settings, w, &terms));
    let planned_terms = planned_terms.transpose().map_err(|e| format!("`watch`: {e}"))?;
    let host_settings =
        lupinledge_gateway_settings::host_settings(settings).map_err(|e| format!("`settings`: {e}"))?;
    let known_members = match config.get("known").filter(|k| !k.is_null()) {
        None => None,
        Some(k) => {
            let wire_members: WireMembers =
                serde_json::from_value(k.clone()).map_err(|e| format!("`known`: {e}"))?;
            let members = wire_members.members(&host_settings.zones);
            if let Some(fault) = members.faults.first() {
                return Err(format!("`known`: {fault}"));
            }
            Some(members)
        }
    };
    Ok(GatewayConfig {
        name: string("name")?.to_string(),
        listen: addr("listen")?,
        discovery: addr("discovery")?,
        counter: if terms.counter { Some(addr("counter")?) } else { None },
        sockets,
        terms,
        planned_terms,
        host_settings,
        known_members,
    })
}

/// The terms of the settings with the changes in `watch`: the keys of an object are merged, any other value is
/// replaced.
fn planned_terms(seed: u64, settings: &Value, changes: &Value, in_force: &Terms) -> Result<Terms, String> {
    if !changes.is_object() {
        return Err("not an object".to_string());
    }
    let mut merged = settings.clone();
    merge(&mut merged, changes, "")?;
    let terms = lupinledge_gateway_settings::terms(seed, &merged)?;
    if (terms.frontends.len(), terms.plans.len()) != (in_force.frontends.len(), in_force.plans.len()) {
        return Err("`classes` and `packages` must have as many entries as in `settings`".to_string());
    }
    Ok(terms)
}

/// Merges `changes` into `target`. `path` is the path of `target` in the settings.
fn merge(target: &mut Value, changes: &Value, path: &str) -> Result<(), String> {
    let Some(changes) = changes.as_object() else {
        *target = changes.clone();
        return Ok(());
    };
    for (key, change) in changes {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        // an unknown name would change nothing, and the planned terms would seem to make no difference
        let known = target.get(key).is_some() || OPTIONAL_KEYS.contains(&path.as_str());
        let object =
            target.as_object_mut().filter(|_| known).ok_or(format!("`{path}` is not a known setting"))?;
        merge(object.entry(key).or_insert_with(|| serde_json::json!({})), change, &path)?;
    }
    Ok(())
}

/// Keys that may be missing in the settings.
const OPTIONAL_KEYS: [&str; 2] = ["clientHabits", "clientHabits.marksRetry"];

/// Sixteen for the program itself, sixteen for connections to clients, and sixteen for connections to servers.
const MIN_SOCKETS: usize = 48;
