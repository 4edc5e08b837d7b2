//! The document that the core agrees on: the configuration as sent, the evacuated zones, and what was taken
//! before. Orders turn one document into the next; nothing here decides who may do so.

use crate::accepted::{body_hash, AcceptedConfigs, Lookup};
use crate::check::{check_read, read_bounded};
use crate::error::{ConfigError, ErrorKind};
use serde::{Deserialize, Serialize};

/// What all have to know, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The bytes of the newest configuration as the operator sent them.
    #[serde(with = "serde_bytes")]
    pub config: Option<Vec<u8>>,
    /// Its number; 0 where there is none.
    pub version: u64,
    /// Names of the evacuated zones, sorted.
    pub evacuated_zones: Vec<String>,
    /// Raised by one with each change.
    pub serial: u64,
    /// The configurations that were taken; not told to the edge, see [`Document::split`].
    pub accepted: AcceptedConfigs,
}

/// What becomes of a configuration that an operator puts.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Exactly this one was taken before: 200.
    Already,
    /// The document that is to be agreed on; 200 once it is.
    Take(Document),
    /// It is refused, with the kind's status.
    Refuse {
        /// Decides the answer.
        kind: ErrorKind,
        /// Names the field and what is wrong with it.
        text: String,
    },
}

impl Document {
    /// Judges a configuration put on top of this document.
    ///
    /// In this order: unreadable, 400; taken before, 200; maybe taken so long ago that nobody can tell, 503; built on
    /// another version, 412; the other checks, 400.
    pub fn put(&self, body: &[u8]) -> Verdict {
        if self.config.as_deref() == Some(body) {
            return Verdict::Already;
        }
        match self.taken_on(body) {
            Ok(verdict) => verdict,
            Err(fault) => Verdict::Refuse { kind: fault.kind, text: fault.to_string() },
        }
    }

    fn taken_on(&self, body: &[u8]) -> Result<Verdict, ConfigError> {
        let config = read_bounded(body)?;
        let (version, base) = (config.version.0, config.base_version.0);
        let hash = body_hash(body);
        match self.accepted.look_up(self.version, version, &hash) {
            Lookup::Accepted => return Ok(Verdict::Already),
            // one that was taken came after its base, and others than those in force came before it
            Lookup::Forgotten if base < version && version < self.version => {
                let text = format!("{} was current too long ago to tell what was taken", config.version);
                return Err(ConfigError::new(ErrorKind::Unsettled, "version", text));
            }
            Lookup::NotAccepted | Lookup::Forgotten => {}
        }
        check_read(&config, self.version)?;
        let mut next = self.next();
        (next.config, next.version) = (Some(body.to_vec()), version);
        next.accepted.push(version - self.version, hash);
        Ok(Verdict::Take(next))
    }

    /// The document with the zone emptied; none where it is already. Whether there is such a zone is for the
    /// caller to check ([`crate::Settings::has_zone`], else [`ErrorKind::UnknownZone`]): this bounds the list too.
    pub fn evacuate(&self, zone: &str) -> Option<Document> {
        let at = self.evacuated_zones.binary_search_by(|z| z.as_str().cmp(zone)).err()?;
        let mut next = self.next();
        next.evacuated_zones.insert(at, zone.to_string());
        Some(next)
    }

    /// The document with the zone taken back; none where it is not evacuated.
    pub fn restore(&self, zone: &str) -> Option<Document> {
        let at = self.evacuated_zones.binary_search_by(|z| z.as_str().cmp(zone)).ok()?;
        let mut next = self.next();
        next.evacuated_zones.remove(at);
        Some(next)
    }

    /// Without the memory of what was taken, which the core alone needs, and that memory.
    pub fn split_accepted(mut self) -> (Document, AcceptedConfigs) {
        let taken = std::mem::take(&mut self.accepted);
        (self, taken)
    }

    fn next(&self) -> Document {
        Document { serial: self.serial.saturating_add(1), ..self.clone() }
    }
}
