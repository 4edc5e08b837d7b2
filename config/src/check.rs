//! The checks of a configuration across its fields, and of its version against the current one.

use crate::config::{Action, Config, Version};
use crate::error::{ConfigError, ErrorKind};
use crate::host::normalized_host;
use crate::parse::parse;
use std::collections::{HashMap, HashSet};

/// Bytes of the largest configuration that is accepted: it has to fit into a message between processes of the system.
pub const MAX_CONFIG_BYTES: usize = 3 << 20;

impl Config {
    /// Parses a configuration and makes all checks except that of its version against the current one.
    pub fn parse(bytes: &[u8]) -> Result<Config, ConfigError> {
        let config: Config = parse(bytes)?;
        config.check_across_fields()?;
        Ok(config)
    }

    /// The checks that concern more than one field.
    fn check_across_fields(&self) -> Result<(), ConfigError> {
        let mut services = HashSet::new();
        for (i, c) in self.clusters.iter().enumerate() {
            if !services.insert(c.name.as_str()) {
                return Err(ConfigError::invalid(
                    format!("clusters[{i}].name"),
                    "another cluster has the same name",
                ));
            }
        }
        let mut matches = HashSet::new();
        for (i, l) in self.listeners.iter().enumerate() {
            let host = normalized_host(&l.host);
            for (j, r) in l.rules.iter().enumerate() {
                let field = format!("listeners[{i}].rules[{j}]");
                if !matches.insert((host.clone(), r.r#match.path_prefix.as_str())) {
                    let field = field + ".match.path_prefix";
                    return Err(ConfigError::invalid(field, "another route has the same host and prefix"));
                }
                r.action.check_services(&services).map_err(|(suffix, text)| {
                    ConfigError::invalid(format!("{field}.action{suffix}"), text)
                })?;
            }
        }
        self.check_tenants()
    }

    fn check_tenants(&self) -> Result<(), ConfigError> {
        let (mut names, mut owners) = (HashSet::new(), HashMap::new());
        for (i, t) in self.tenants.iter().flatten().enumerate() {
            if !names.insert(t.name.as_str()) {
                return Err(ConfigError::invalid(
                    format!("tenants[{i}].name"),
                    "another tenant has the same name",
                ));
            }
            for (j, key) in t.api_keys.iter().enumerate() {
                if *owners.entry(key.as_str()).or_insert(i) != i {
                    let field = format!("tenants[{i}].api_keys[{j}]");
                    return Err(ConfigError::invalid(field, "another tenant has the same key"));
                }
            }
        }
        Ok(())
    }
}

impl Action {
    /// Whether the action names a service, and only existing ones. The error holds the field, relative to the action,
    /// and the message.
    fn check_services(&self, services: &HashSet<&str>) -> Result<(), (String, String)> {
        let parts = self.split.iter().enumerate().map(|(i, s)| (format!(".split[{i}].service"), &s.service));
        let all = self.service.iter().map(|s| (".service".to_string(), s)).chain(parts);
        for (field, service) in all {
            if !services.contains(service.as_str()) {
                let short: String = service.chars().take(80).collect();
                return Err((field, format!("no cluster is named {short:?}")));
            }
        }
        match self.service.is_none() && self.split.is_empty() {
            true => Err((".service".into(), "is missing, and there is no split".into())),
            false => Ok(()),
        }
    }
}

/// Parses and checks a configuration that is to follow version `current` (`None` if it is the first).
///
/// Reports the first error in this order: unreadable (400), another base than `current` (412), the rest (400).
pub fn check(bytes: &[u8], current: Option<u64>) -> Result<Config, ConfigError> {
    let config = parse_bounded(bytes)?;
    check_parsed(&config, current.unwrap_or(0))?;
    Ok(config)
}

/// The checks that are left after parsing; `current` is 0 if there is no current version.
pub(crate) fn check_parsed(config: &Config, current: u64) -> Result<(), ConfigError> {
    check_versions(config, current)?;
    config.check_across_fields()
}

/// Parses a configuration of up to [`MAX_CONFIG_BYTES`].
pub(crate) fn parse_bounded(bytes: &[u8]) -> Result<Config, ConfigError> {
    if bytes.len() > MAX_CONFIG_BYTES {
        return Err(ConfigError::new(
            ErrorKind::TooLarge,
            "",
            format!("is larger than {MAX_CONFIG_BYTES} bytes"),
        ));
    }
    parse(bytes)
}

/// Checks that the configuration may follow the current version.
fn check_versions(config: &Config, current: u64) -> Result<(), ConfigError> {
    let (version, base) = (config.version, config.base_version);
    if base.0 != current {
        let text = format!("builds on {base}, but {} is current", Version(current));
        return Err(ConfigError::new(ErrorKind::Stale, "base_version", text));
    }
    if version.0 <= current {
        let text = format!("{version} is not above the current {}", Version(current));
        return Err(ConfigError::invalid("version", text));
    }
    Ok(())
}
