//! The document that the core agrees on: the configuration as sent, the evacuated zones, and the history of accepted
//! configurations. Orders turn one document into the next; who may do so is decided elsewhere.

use crate::accepted::{body_hash, AcceptedConfigs, Lookup};
use crate::check::{check_parsed, parse_bounded};
use crate::error::{ConfigError, ErrorKind};
use serde::{Deserialize, Serialize};

/// The replicated state that the operator controls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The bytes of the newest configuration as the operator sent them.
    #[serde(with = "serde_bytes")]
    pub config: Option<Vec<u8>>,
    /// The version of the newest configuration; 0 if there is none.
    pub version: u64,
    /// Names of the evacuated zones, sorted.
    pub evacuated_zones: Vec<String>,
    /// Incremented with each change.
    pub serial: u64,
    /// The configurations that were accepted; not sent to the edge, see [`Document::split_accepted`].
    pub accepted: AcceptedConfigs,
}

/// The result of putting a configuration on top of a document.
#[derive(Clone, Debug, PartialEq)]
pub enum PutResult {
    /// Exactly this configuration was accepted before: 200.
    AlreadyAccepted,
    /// The document to be committed; 200 after the commit.
    Accepted(Document),
    /// The configuration is refused, with the status of the error kind.
    Refused {
        /// Decides the status of the response.
        kind: ErrorKind,
        /// Names the field and describes the error.
        text: String,
    },
}

impl Document {
    /// Puts a configuration on top of this document.
    ///
    /// The checks are made in this order: unreadable, 400; accepted before, 200; so old that it is not known whether
    /// it was accepted, 503; built on another version, 412; the other checks, 400.
    pub fn put(&self, body: &[u8]) -> PutResult {
        if self.config.as_deref() == Some(body) {
            return PutResult::AlreadyAccepted;
        }
        match self.put_parsed(body) {
            Ok(result) => result,
            Err(error) => PutResult::Refused { kind: error.kind, text: error.to_string() },
        }
    }

    fn put_parsed(&self, body: &[u8]) -> Result<PutResult, ConfigError> {
        let config = parse_bounded(body)?;
        let (version, base) = (config.version.0, config.base_version.0);
        let hash = body_hash(body);
        match self.accepted.look_up(self.version, version, &hash) {
            Lookup::Accepted => return Ok(PutResult::AlreadyAccepted),
            // the version of an accepted configuration is above its base and, unless it is in force, below the current
            // version; any other version can't have been accepted
            Lookup::Forgotten if base < version && version < self.version => {
                let text = format!("{} is too old to tell whether it was accepted", config.version);
                return Err(ConfigError::new(ErrorKind::Unsettled, "version", text));
            }
            Lookup::NotAccepted | Lookup::Forgotten => {}
        }
        check_parsed(&config, self.version)?;
        let mut next = self.next();
        (next.config, next.version) = (Some(body.to_vec()), version);
        next.accepted.push(version - self.version, hash);
        Ok(PutResult::Accepted(next))
    }

    /// The document with the zone evacuated; `None` if it is evacuated already. The caller checks first that the zone
    /// exists ([`crate::Settings::has_zone`], else [`ErrorKind::UnknownZone`]), which also bounds the list.
    pub fn evacuate(&self, zone: &str) -> Option<Document> {
        let index = self.evacuated_zones.binary_search_by(|z| z.as_str().cmp(zone)).err()?;
        let mut next = self.next();
        next.evacuated_zones.insert(index, zone.to_string());
        Some(next)
    }

    /// The document with the zone restored; `None` if it is not evacuated.
    pub fn restore(&self, zone: &str) -> Option<Document> {
        let index = self.evacuated_zones.binary_search_by(|z| z.as_str().cmp(zone)).ok()?;
        let mut next = self.next();
        next.evacuated_zones.remove(index);
        Some(next)
    }

    /// Splits off the history of accepted configurations, which only the core needs.
    pub fn split_accepted(mut self) -> (Document, AcceptedConfigs) {
        let accepted = std::mem::take(&mut self.accepted);
        (self, accepted)
    }

    fn next(&self) -> Document {
        Document { serial: self.serial.saturating_add(1), ..self.clone() }
    }
}
