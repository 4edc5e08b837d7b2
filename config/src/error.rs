//! The closed list of the kinds of errors, and the table from kind to answer.

use std::fmt;

/// What may be wrong with an operator's or another caller's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ErrorKind {
    /// The body is not JSON, or ends too early.
    Malformed,
    /// The body can be read, but breaks a rule for configurations.
    Invalid,
    /// It builds on another version than the current one.
    Stale,
    /// No zone of that name is in the settings.
    UnknownZone,
    /// The body is larger than any that is taken.
    TooLarge,
    /// This process does not hold the duty; another one is to be asked.
    NotHolder,
    /// Whether the order is in force could not be settled in time.
    Unsettled,
    /// Nothing is served under that path.
    NoSuchPath,
    /// That path does not take this method.
    NoSuchMethod,
    /// Too many orders at once.
    Overloaded,
}

/// The table from kind to status and name.
const TABLE: [(ErrorKind, u16, &str); 10] = [
    (ErrorKind::Malformed, 400, "malformed"),
    (ErrorKind::Invalid, 400, "invalid"),
    (ErrorKind::Stale, 412, "stale"),
    (ErrorKind::UnknownZone, 404, "unknown_zone"),
    (ErrorKind::TooLarge, 413, "too_large"),
    (ErrorKind::NotHolder, 503, "not_holder"),
    (ErrorKind::Unsettled, 503, "unsettled"),
    (ErrorKind::NoSuchPath, 404, "no_such_path"),
    (ErrorKind::NoSuchMethod, 405, "no_such_method"),
    (ErrorKind::Overloaded, 503, "overloaded"),
];

impl ErrorKind {
    /// Every kind, in the order of the table.
    pub fn all() -> impl Iterator<Item = ErrorKind> {
        TABLE.iter().map(|row| row.0)
    }

    /// The HTTP status that answers it.
    pub fn status(self) -> u16 {
        TABLE[self as usize].1
    }

    /// Its name in logs and bodies.
    pub fn name(self) -> &'static str {
        TABLE[self as usize].2
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    /// Decides the answer.
    pub kind: ErrorKind,
    /// Path of the field, as in `listeners[0].rules[2].action.timeout_s`; empty for the whole body.
    pub field: String,
    /// What is wrong with it, for people.
    pub message: String,
}

impl ConfigError {
    pub(crate) fn new(kind: ErrorKind, field: impl Into<String>, text: impl Into<String>) -> ConfigError {
        ConfigError { kind, field: field.into(), message: text.into() }
    }

    pub(crate) fn invalid(field: impl Into<String>, text: impl Into<String>) -> ConfigError {
        ConfigError::new(ErrorKind::Invalid, field, text)
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
