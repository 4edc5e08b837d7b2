//! Calls of the operator, decoded into commands that are run elsewhere, and what comes back.

use bytes::Bytes;
use hyper::Method;
use lupinledge_config::{Answer, ErrorKind, Order};
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
    pub fn changes(&self) -> Option<&'static str> {
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
        kind: ErrorKind,
        text: String,
    },
    /// Another process speaks for the whole.
    Elsewhere(SocketAddr),
    /// Nobody here can tell now; not the same as a refusal: it may have been taken.
    Later,
}

/// A path and method that stand for a command, before any body was read.
#[derive(Debug, PartialEq)]
pub enum Asked {
    Put,
    Ready(Command),
    Resolve,
    Nodes,
    Core,
    FoundAnew,
    Metrics,
    NoSuchMethod(&'static str),
    Malformed(&'static str),
    Nothing,
}

const ZONE_MOST: usize = 128;

/// What a request line asks for.
pub fn asked(method: &Method, path: &str) -> Asked {
    match path {
        "/lupinledge/resolve" if method == Method::GET => Asked::Resolve,
        "/lupinledge/resolve" => Asked::NoSuchMethod("GET"),
        "/lupinledge/nodes" if method == Method::GET => Asked::Nodes,
        "/lupinledge/nodes" => Asked::NoSuchMethod("GET"),
        "/lupinledge/core" if method == Method::GET => Asked::Core,
        "/lupinledge/core" => Asked::NoSuchMethod("GET"),
        "/lupinledge/core/found" if method == Method::POST => Asked::FoundAnew,
        "/lupinledge/core/found" => Asked::NoSuchMethod("POST"),
        "/lupinledge/metrics" if method == Method::GET => Asked::Metrics,
        "/lupinledge/metrics" => Asked::NoSuchMethod("GET"),
        "/lupinledge/config" => match *method {
            Method::PUT => Asked::Put,
            Method::GET => Asked::Ready(Command::GetConfig),
            _ => Asked::NoSuchMethod("GET, PUT"),
        },
        _ => {
            let Some(zone) = path.strip_prefix("/lupinledge/evacuation/") else { return Asked::Nothing };
            match unescape(zone) {
                Some(z) if z.is_empty() || z.contains('/') || z.len() > ZONE_MOST => Asked::Nothing,
                Some(zone) if method == Method::POST => Asked::Ready(Command::Evacuate { zone }),
                Some(zone) if method == Method::DELETE => Asked::Ready(Command::Restore { zone }),
                Some(_) => Asked::NoSuchMethod("POST, DELETE"),
                None => Asked::Malformed("zone"),
            }
        }
    }
}

/// Percent signs decoded; `None` where that can't be.
pub fn unescape(text: &str) -> Option<String> {
    let mut bytes = text.bytes();
    let mut plain = Vec::with_capacity(text.len());
    while let Some(b) = bytes.next() {
        plain.push(match b {
            b'%' => {
                let mut digit = || bytes.next().and_then(|d| char::from(d).to_digit(16));
                (digit()? * 16 + digit()?) as u8
            }
            _ => b,
        });
    }
    String::from_utf8(plain).ok()
}

/// The value of a name in a query; the outer `None` stands for a query that can't be read.
pub fn of_query(query: &str, name: &str) -> Option<Option<String>> {
    let mut found = None;
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        if unescape(key)? == name && found.is_none() {
            found = Some(unescape(&value.replace('+', " "))?);
        }
    }
    Some(found)
}

#[cfg(test)]
mod tests;
