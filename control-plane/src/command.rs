//! Operator requests decoded into commands, their replies, and the routing of request lines.

use bytes::Bytes;
use hyper::Method;
use lupinledge_config::{Answer, ErrorKind, Order};
use std::net::SocketAddr;

/// A command of the operator.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    PutConfig { body: Bytes },
    GetConfig,
    Evacuate { zone: String },
    Restore { zone: String },
}

impl Command {
    /// The configuration of a `PutConfig`, else `None`.
    pub fn body(&self) -> Option<&[u8]> {
        match self {
            Command::PutConfig { body } => Some(body),
            _ => None,
        }
    }

    /// The kind of change as the log names it; `None` for a read.
    pub fn change_name(&self) -> Option<&'static str> {
        match self {
            Command::PutConfig { .. } => Some("configuration"),
            Command::Evacuate { .. } => Some("evacuation"),
            Command::Restore { .. } => Some("restoration"),
            Command::GetConfig => None,
        }
    }

    /// The corresponding order on a configuration document.
    pub fn order(&self) -> Order<'_> {
        match self {
            Command::PutConfig { body } => Order::Put(body),
            Command::GetConfig => Order::Get,
            Command::Evacuate { zone } => Order::Evacuate(zone),
            Command::Restore { zone } => Order::Restore(zone),
        }
    }
}

impl From<Answer> for Reply {
    fn from(answer: Answer) -> Reply {
        match answer {
            Answer::Done => Reply::Done,
            Answer::Config(config) => Reply::Config(config.into()),
            Answer::Refused { kind, text } => Reply::Refused { kind, text },
        }
    }
}

/// The result of a command.
#[derive(Clone, Debug)]
pub enum Reply {
    Done,
    Config(Bytes),
    /// Refused; the text names the invalid field.
    Refused {
        kind: ErrorKind,
        text: String,
    },
    /// Another process is the leader; its control address.
    Redirect(SocketAddr),
    /// The outcome is unknown here. Unlike a refusal, the change may still have been committed.
    Unavailable,
}

/// The meaning of a method and path, before the body is read.
#[derive(Debug, PartialEq)]
pub enum Route {
    PutConfig,
    /// A command that is complete without a body.
    NoBody(Command),
    Resolve,
    Nodes,
    Core,
    FoundCore,
    Metrics,
    /// The path exists, but not with this method; the methods that it allows.
    MethodNotAllowed(&'static str),
    /// The part of the request that can not be decoded.
    Malformed(&'static str),
    NotFound,
}

/// Longest zone name in a path.
const MAX_ZONE_BYTES: usize = 128;

/// Routes a request line.
pub fn route(method: &Method, path: &str) -> Route {
    match path {
        "/lupinledge/resolve" if method == Method::GET => Route::Resolve,
        "/lupinledge/resolve" => Route::MethodNotAllowed("GET"),
        "/lupinledge/nodes" if method == Method::GET => Route::Nodes,
        "/lupinledge/nodes" => Route::MethodNotAllowed("GET"),
        "/lupinledge/core" if method == Method::GET => Route::Core,
        "/lupinledge/core" => Route::MethodNotAllowed("GET"),
        "/lupinledge/core/found" if method == Method::POST => Route::FoundCore,
        "/lupinledge/core/found" => Route::MethodNotAllowed("POST"),
        "/lupinledge/metrics" if method == Method::GET => Route::Metrics,
        "/lupinledge/metrics" => Route::MethodNotAllowed("GET"),
        "/lupinledge/config" => match *method {
            Method::PUT => Route::PutConfig,
            Method::GET => Route::NoBody(Command::GetConfig),
            _ => Route::MethodNotAllowed("GET, PUT"),
        },
        _ => {
            let Some(zone) = path.strip_prefix("/lupinledge/evacuation/") else { return Route::NotFound };
            match percent_decode(zone) {
                Some(zone) if zone.is_empty() || zone.contains('/') || zone.len() > MAX_ZONE_BYTES => {
                    Route::NotFound
                }
                Some(zone) if method == Method::POST => Route::NoBody(Command::Evacuate { zone }),
                Some(zone) if method == Method::DELETE => Route::NoBody(Command::Restore { zone }),
                Some(_) => Route::MethodNotAllowed("POST, DELETE"),
                None => Route::Malformed("zone"),
            }
        }
    }
}

/// Decodes percent escapes; `None` if one is invalid or the result is not UTF-8.
pub fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = text.bytes();
    let mut decoded = Vec::with_capacity(text.len());
    while let Some(b) = bytes.next() {
        decoded.push(match b {
            b'%' => {
                let mut digit = || bytes.next().and_then(|d| char::from(d).to_digit(16));
                (digit()? * 16 + digit()?) as u8
            }
            _ => b,
        });
    }
    String::from_utf8(decoded).ok()
}

/// The first value of a name in a query; the outer `None` means that the query is malformed.
pub fn query_value(query: &str, name: &str) -> Option<Option<String>> {
    let mut found = None;
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if percent_decode(key)? == name && found.is_none() {
            found = Some(percent_decode(&value.replace('+', " "))?);
        }
    }
    Some(found)
}

#[cfg(test)]
mod tests;
