//! Parsing of JSON, where an error names the path of its field, and checks that several types share.

use crate::error::{ConfigError, ErrorKind};
use garde::Validate;
use serde::{Deserialize, Deserializer};
use serde_json::error::Category;

/// Parses the bytes, all of them, into one value, and runs the checks that its type carries.
pub(crate) fn parse<T: for<'de> Deserialize<'de> + Validate<Context = ()>>(
    bytes: &[u8],
) -> Result<T, ConfigError> {
    let mut json = serde_json::Deserializer::from_slice(bytes);
    let value: T = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = match e.path().to_string() {
            top if top == "." => String::new(),
            path => path,
        };
        json_error(path, e.inner())
    })?;
    json.end().map_err(|e| json_error(String::new(), &e))?;
    value.validate().map_err(|report| match report.iter().next() {
        Some((path, error)) => ConfigError::invalid(path.to_string().replace("r#", ""), error.to_string()),
        None => ConfigError::invalid("", "breaks a rule"),
    })?;
    Ok(value)
}

fn json_error(path: String, e: &serde_json::Error) -> ConfigError {
    let text = e.to_string();
    match e.classify() {
        Category::Syntax | Category::Eof | Category::Io => ConfigError::new(ErrorKind::Malformed, path, text),
        Category::Data => ConfigError::invalid(with_missing_field(path, &text), text),
    }
}

/// Appends the name of a missing field to the path, which ends at the parent; only the error text has the name.
fn with_missing_field(path: String, text: &str) -> String {
    let Some(name) = text.strip_prefix("missing field `").and_then(|t| t.split('`').next()) else {
        return path;
    };
    match path.is_empty() {
        true => name.to_string(),
        false => format!("{path}.{name}"),
    }
}

/// Reads null like a field that was left out.
pub(crate) fn or_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(
    d: D,
) -> Result<T, D::Error> {
    Ok(Option::deserialize(d)?.unwrap_or_default())
}

/// The largest number that is accepted, also named in the messages below. No configuration needs a larger one, and
/// sums of such numbers stay finite.
const MAX_NUMBER: f64 = 1e15;

pub(crate) fn not_negative(v: &f64, _: &()) -> garde::Result {
    match (0.0..=MAX_NUMBER).contains(v) {
        true => Ok(()),
        false => Err(garde::Error::new("must be 0 or more, up to 1e15")),
    }
}

pub(crate) fn positive(v: &f64, _: &()) -> garde::Result {
    match *v > 0.0 && *v <= MAX_NUMBER {
        true => Ok(()),
        false => Err(garde::Error::new("must be above 0, up to 1e15")),
    }
}

/// Rejects control characters: names and paths go into headers and request lines.
pub(crate) fn printable(s: &str, _: &()) -> garde::Result {
    match s.chars().any(char::is_control) {
        true => Err(garde::Error::new("must not contain a control character")),
        false => Ok(()),
    }
}
