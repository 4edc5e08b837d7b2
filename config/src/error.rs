//! The closed list of error kinds, with the HTTP status and the outer name of each.

use std::fmt;

/// What may be wrong with an order or with another caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ErrorKind {
    /// The body is not JSON, or ends too early.
    Malformed,
    /// The body can be read, but breaks a rule for configurations.
    Invalid,
    /// The configuration builds on another version than the current one.
    Stale,
    /// The settings name no such zone.
    UnknownZone,
    /// The body is larger than [`crate::check::MAX_CONFIG_BYTES`].
    TooLarge,
    /// This process is not the leader; the caller has to ask another process.
    NotLeader,
    /// Whether the order is in force could not be settled in time.
    Unsettled,
    /// Nothing is served under that path.
    NoSuchPath,
    /// That path does not support this method.
    NoSuchMethod,
    /// Too many orders at once.
    Overloaded,
}

/// Status and name by kind, in the order of the variants.
const STATUS_AND_NAME: [(ErrorKind, u16, &str); 10] = [
    (ErrorKind::Malformed, 400, "malformed"),
    (ErrorKind::Invalid, 400, "invalid"),
    (ErrorKind::Stale, 412, "stale"),
    (ErrorKind::UnknownZone, 404, "unknown_zone"),
    (ErrorKind::TooLarge, 413, "too_large"),
    (ErrorKind::NotLeader, 503, "not_holder"),
    (ErrorKind::Unsettled, 503, "unsettled"),
    (ErrorKind::NoSuchPath, 404, "no_such_path"),
    (ErrorKind::NoSuchMethod, 405, "no_such_method"),
    (ErrorKind::Overloaded, 503, "overloaded"),
];

impl ErrorKind {
    /// Every kind, in the order of the variants.
    pub fn all() -> impl Iterator<Item = ErrorKind> {
        STATUS_AND_NAME.iter().map(|row| row.0)
    }

    /// The HTTP status of a response with this error.
    pub fn status(self) -> u16 {
        STATUS_AND_NAME[self as usize].1
    }

    /// The name in logs and response bodies.
    pub fn name(self) -> &'static str {
        STATUS_AND_NAME[self as usize].2
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// An error in a configuration or a settings file, with the field that has it.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    /// Decides the status of the response.
    pub kind: ErrorKind,
    /// Path of the field, as in `listeners[0].rules[2].action.timeout_s`; empty for the whole body.
    pub field: String,
    /// Describes the error for people.
    pub message: String,
}

impl ConfigError {
    pub(crate) fn new(kind: ErrorKind, field: impl Into<String>, message: impl Into<String>) -> ConfigError {
        ConfigError { kind, field: field.into(), message: message.into() }
    }

    pub(crate) fn invalid(field: impl Into<String>, message: impl Into<String>) -> ConfigError {
        ConfigError::new(ErrorKind::Invalid, field, message)
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.field.is_empty() {
            return f.write_str(&self.message);
        }
        write!(f, "{}: {}", self.field, self.message)
    }
}

impl std::error::Error for ConfigError {}
