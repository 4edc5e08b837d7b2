//! What an operator may order, and what that comes to on top of a document.

use crate::{Document, ErrorKind, Verdict};

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order<'a> {
    /// To put these bytes in force as configuration.
    Put(&'a [u8]),
    /// To read the configuration in force.
    Get,
    /// To empty a zone.
    Evacuate(&'a str),
    /// To take a zone back.
    Restore(&'a str),
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is in force.
    Done,
    /// The configuration in force.
    Config(Vec<u8>),
    /// Refused; the text names the field that is at fault.
    Refused {
        /// Decides the answer.
        kind: ErrorKind,
        /// For people.
        text: String,
    },
}

/// What an order comes to on top of a document.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It can be said without asking anyone.
    Reply(Answer),
    /// It speaks for the whole: the whole has to be asked first whether the document is still the newest.
    ReplyIfNewest(Answer),
    /// This one is to be agreed on; `Done` once it is.
    Propose(Document),
}

impl Document {
    /// Judges an order on top of this document; `known` says whether there is such a zone.
    pub fn decide(&self, order: Order, known: impl Fn(&str) -> bool) -> Decision {
        // what was done before is said, and can be undone, also where the zone has left the settings since
        let changed = |zone: &str, change: Option<Document>| match change {
            _ if !known(zone) && !self.evacuated_zones.iter().any(|z| z == zone) => {
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
                None => Answer::Refused { kind: ErrorKind::NoSuchPath, text: "no configuration yet".into() },
            }),
            Order::Put(body) => match self.put(body) {
                Verdict::Take(document) => Decision::Propose(document),
                Verdict::Already => Decision::ReplyIfNewest(Answer::Done),
                Verdict::Refuse { kind: ErrorKind::Malformed, text } => {
                    Decision::Reply(Answer::Refused { kind: ErrorKind::Malformed, text })
                }
                Verdict::Refuse { kind, text } => Decision::ReplyIfNewest(Answer::Refused { kind, text }),
            },
            Order::Evacuate(zone) => changed(zone, self.evacuate(zone)),
            Order::Restore(zone) => changed(zone, self.restore(zone)),
        }
    }
}
