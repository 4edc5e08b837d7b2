//! Reading JSON: the first thing wrong is told with the path of its field. Checks that several types share.

use crate::error::{ConfigError, ErrorKind};
use garde::Validate;
use serde::{Deserialize, Deserializer};
use serde_json::error::Category;

/// The whole of the bytes as one value, with the checks that its type carries.
pub(crate) fn read<T: for<'de> Deserialize<'de> + Validate<Context = ()>>(
    bytes: &[u8],
) -> Result<T, ConfigError> {
    let mut json = serde_json::Deserializer::from_slice(bytes);
    let value: T = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let path = match e.path().to_string() {
            top if top == "." => String::new(),
            path => path,
        };
        unreadable(path, e.inner())
    })?;
    json.end().map_err(|e| unreadable(String::new(), &e))?;
    value.validate().map_err(|report| match report.iter().next() {
        Some((path, error)) => ConfigError::invalid(path.to_string().replace("r#", ""), error.to_string()),
        None => ConfigError::invalid("", "breaks a rule"),
    })?;
    Ok(value)
}

fn unreadable(path: String, e: &serde_json::Error) -> ConfigError {
    let text = e.to_string();
    match e.classify() {
        Category::Syntax | Category::Eof | Category::Io => ConfigError::new(ErrorKind::Malformed, path, text),
        Category::Data => ConfigError::invalid(missing(path, &text), text),
    }
}

/// A missing field has no path of its own: it is named in the text.
fn missing(path: String, text: &str) -> String {
    let Some(name) = text.strip_prefix("missing field `").and_then(|t| t.split('`').next()) else {
        return path;
    };
    match path.is_empty() {
        true => name.to_string(),
        false => format!("{path}.{name}"),
    }
}

/// Null stands for a field left out.
pub(crate) fn or_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(
    d: D,
) -> Result<T, D::Error> {
    Ok(Option::deserialize(d)?.unwrap_or_default())
}

/// Figures larger than this are no one's wish; sums of them stay finite.
const MOST: f64 = 1e15;

pub(crate) fn not_negative(v: &f64, _: &()) -> garde::Result {
    match (0.0..=MOST).contains(v) {
        true => Ok(()),
        false => Err(garde::Error::new("has to be 0 or more")),
    }
}

pub(crate) fn positive(v: &f64, _: &()) -> garde::Result {
    match *v > 0.0 && *v <= MOST {
        true => Ok(()),
        false => Err(garde::Error::new("has to be above 0")),
    }
}

/// Names and paths go into headers and request lines.
pub(crate) fn printable(s: &str, _: &()) -> garde::Result {
    match s.chars().any(char::is_control) {
        true => Err(garde::Error::new("holds a control character")),
        false => Ok(()),
    }
}
