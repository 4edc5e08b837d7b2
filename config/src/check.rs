//! The checks of a configuration across its fields, and of its place among the versions.

use crate::config::{Action, Config, Version};
use crate::error::{ConfigError, ErrorKind};
use crate::host::normalized_host;
use crate::read::read;
use std::collections::{HashMap, HashSet};

/// Bytes of the largest configuration that is taken: it has to fit into a message between own processes.
pub const MAX_CONFIG_BYTES: usize = 3 << 20;

impl Config {
    /// Reads a configuration and checks all but its place among the versions.
    pub fn parse(bytes: &[u8]) -> Result<Config, ConfigError> {
        let config: Config = read(bytes)?;
        config.across()?;
        Ok(config)
    }

    /// What no field can tell by itself.
    fn across(&self) -> Result<(), ConfigError> {
        let mut services = HashSet::new();
        for (i, c) in self.clusters.iter().enumerate() {
            if !services.insert(c.name.as_str()) {
                return Err(ConfigError::invalid(format!("clusters[{i}].name"), "is there twice"));
            }
        }
        let mut places = HashSet::new();
        for (i, l) in self.listeners.iter().enumerate() {
            let host = normalized_host(&l.host);
            for (j, r) in l.rules.iter().enumerate() {
                let at = format!("listeners[{i}].rules[{j}]");
                if !places.insert((host.clone(), r.r#match.path_prefix.as_str())) {
                    let at = at + ".match.path_prefix";
                    return Err(ConfigError::invalid(at, "another route has the same host and prefix"));
                }
                r.action
                    .known(&services)
                    .map_err(|(field, text)| ConfigError::invalid(format!("{at}.action{field}"), text))?;
            }
        }
        self.keys()
    }

    fn keys(&self) -> Result<(), ConfigError> {
        let (mut names, mut owners) = (HashSet::new(), HashMap::new());
        for (i, t) in self.tenants.iter().flatten().enumerate() {
            if !names.insert(t.name.as_str()) {
                return Err(ConfigError::invalid(format!("tenants[{i}].name"), "is there twice"));
            }
            for (j, key) in t.api_keys.iter().enumerate() {
                if *owners.entry(key.as_str()).or_insert(i) != i {
                    let at = format!("tenants[{i}].api_keys[{j}]");
                    return Err(ConfigError::invalid(at, "another tenant has the same key"));
                }
            }
        }
        Ok(())
    }
}

impl Action {
    fn known(&self, services: &HashSet<&str>) -> Result<(), (String, String)> {
        let parts = self.split.iter().enumerate().map(|(i, s)| (format!(".split[{i}].service"), &s.service));
        let all = self.service.iter().map(|s| (".service".to_string(), s)).chain(parts);
        for (field, service) in all {
            if !services.contains(service.as_str()) {
                let short: String = service.chars().take(80).collect();
                return Err((field, format!("no service is named {short:?}")));
            }
        }
        match self.service.is_none() && self.split.is_empty() {
            true => Err((".service".into(), "is missing, and there is no split".into())),
            false => Ok(()),
        }
    }
}

/// Reads and checks a configuration that is to follow version `current` (none: it is the first).
///
/// Faults in this order: what can't be read (400), another base than `current` (412), the rest (400).
pub fn check(bytes: &[u8], current: Option<u64>) -> Result<Config, ConfigError> {
    let config = read_bounded(bytes)?;
    check_read(&config, current.unwrap_or(0))?;
    Ok(config)
}

/// The checks that are left once a configuration could be read; 0 where there is no current one.
pub(crate) fn check_read(config: &Config, current: u64) -> Result<(), ConfigError> {
    follows(config, current)?;
    config.across()
}

pub(crate) fn read_bounded(bytes: &[u8]) -> Result<Config, ConfigError> {
    if bytes.len() > MAX_CONFIG_BYTES {
        return Err(ConfigError::new(
            ErrorKind::TooLarge,
            "",
            format!("is larger than {MAX_CONFIG_BYTES} bytes"),
        ));
    }
    read(bytes)
}

/// Whether the configuration may follow the current version.
fn follows(config: &Config, current: u64) -> Result<(), ConfigError> {
    let (version, base) = (config.version, config.base_version);
    if base.0 != current {
        let text = format!("builds on {base}, but {} is in place", Version(current));
        return Err(ConfigError::new(ErrorKind::Stale, "base_version", text));
    }
    if version.0 <= current {
        let text = format!("{version} is not above {}", Version(current));
        return Err(ConfigError::invalid("version", text));
    }
    Ok(())
}
