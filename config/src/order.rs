//! The orders of operators, and how one is handled on top of a document.

use crate::{Document, ErrorKind, PutResult};

/// An order of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order<'a> {
    /// Puts these bytes in force as the configuration.
    Put(&'a [u8]),
    /// Reads the configuration in force.
    Get,
    /// Evacuates a zone.
    Evacuate(&'a str),
    /// Restores an evacuated zone.
    Restore(&'a str),
}

/// The response to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The order is in force.
    Done,
    /// The configuration in force.
    Config(Vec<u8>),
    /// The order is refused.
    Refused {
        /// Decides the status of the response.
        kind: ErrorKind,
        /// Names the field and describes the error for people.
        text: String,
    },
}

/// How an order is handled on top of a document.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The answer can be sent without asking other processes.
    Reply(Answer),
    /// The answer depends on the document: the core has to confirm first that the document is still the newest.
    ReplyIfNewest(Answer),
    /// This document is to be committed; the answer is `Done` after the commit.
    Propose(Document),
}

impl Document {
    /// Decides how to handle an order on top of this document; `zone_exists` tells whether there is such a zone.
    pub fn decide(&self, order: Order, zone_exists: impl Fn(&str) -> bool) -> Decision {
        // a zone that has left the settings since its evacuation can still be restored, and its evacuation repeated
        let zone_change = |zone: &str, change: Option<Document>| match change {
            _ if !zone_exists(zone) && !self.evacuated_zones.iter().any(|z| z == zone) => {
                Decision::Reply(Answer::Refused {
                    kind: ErrorKind::UnknownZone,
                    text: format!("zone: {zone}"),
                })
            }
            Some(document) => Decision::Propose(document),
            None => Decision::ReplyIfNewest(Answer::Done),
        };
        match order {
            Order::Get => Decision::ReplyIfNewest(match &self.config {
                Some(config) => Answer::Config(config.clone()),
                None => Answer::Refused {
                    kind: ErrorKind::NoSuchPath,
                    text: "no configuration has been accepted yet".into(),
                },
            }),
            Order::Put(body) => match self.put(body) {
                PutResult::Accepted(document) => Decision::Propose(document),
                PutResult::AlreadyAccepted => Decision::ReplyIfNewest(Answer::Done),
                PutResult::Refused { kind: ErrorKind::Malformed, text } => {
                    Decision::Reply(Answer::Refused { kind: ErrorKind::Malformed, text })
                }
                PutResult::Refused { kind, text } => Decision::ReplyIfNewest(Answer::Refused { kind, text }),
            },
            Order::Evacuate(zone) => zone_change(zone, self.evacuate(zone)),
            Order::Restore(zone) => zone_change(zone, self.restore(zone)),
        }
    }
}
