//! Calls of the operator, decoded into commands that are run elsewhere, and what comes back.

use bytes::Bytes;
use hyper::Method;
use lupinledge_config::{Answer, Kind, Order};
use std::net::SocketAddr;

/// What the operator asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    PutConfig { body: Bytes },
    GetConfig,
    Evacuate { zone: String },
    Restore { zone: String },
}

impl Command {
    /// The configuration, if it puts one.
    pub fn body(&self) -> Option<&[u8]> {
        match self {
            Command::PutConfig { body } => Some(body),
            _ => None,
        }
    }

    /// What it changes, as it is named in the log; none for a question.
    pub fn change_name(&self) -> Option<&'static str> {
        match self {
            Command::PutConfig { .. } => Some("configuration"),
            Command::Evacuate { .. } => Some("evacuation"),
            Command::Restore { .. } => Some("restoration"),
            Command::GetConfig => None,
        }
    }

    /// As an order on a document.
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

/// What becomes of a command.
#[derive(Clone, Debug)]
pub enum Reply {
    Done,
    Config(Bytes),
    /// Refused; the text names the field that is at fault.
    Refused {
        kind: Kind,
        text: String,
    },
    /// Another process speaks for the whole.
    Redirect(SocketAddr),
    /// Nobody here can tell now; not the same as a refusal: it may have been taken.
    Unavailable,
}

/// A path and method that stand for a command, before any body was read.
#[derive(Debug, PartialEq)]
pub enum Route {
    PutConfig,
    NoBody(Command),
    Resolve,
    Nodes,
    Core,
    FoundCore,
    Metrics,
    MethodNotAllowed(&'static str),
    Malformed(&'static str),
    NotFound,
}

const MAX_ZONE_BYTES: usize = 128;

/// What a request line asks for.
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

/// Percent signs decoded; `None` where that can't be.
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

/// The value of a name in a query; the outer `None` stands for a query that can't be read.
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
