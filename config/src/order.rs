//! What an operator may order, and what that comes to on top of a document.

use crate::{Document, Kind, Verdict};

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
        kind: Kind,
        /// For people.
        text: String,
    },
}

/// What an order comes to on top of a document.
#[derive(Clone, Debug, PartialEq)]
pub enum Judged {
    /// It can be said without asking anyone.
    Now(Answer),
    /// It speaks for the whole: the whole has to be asked first whether the document is still the newest.
    Said(Answer),
    /// This one is to be agreed on; `Done` once it is.
    Take(Document),
}

impl Document {
    /// Judges an order on top of this document; `known` says whether there is such a zone.
    pub fn judge(&self, order: Order, known: impl Fn(&str) -> bool) -> Judged {
        // what was done before is said, and can be undone, also where the zone has left the settings since
        let changed = |zone: &str, change: Option<Document>| match change {
            _ if !known(zone) && !self.evacuated.iter().any(|z| z == zone) => {
                Judged::Now(Answer::Refused { kind: Kind::UnknownZone, text: format!("zone: {zone}") })
            }
            Some(document) => Judged::Take(document),
            None => Judged::Said(Answer::Done),
        };
        match order {
            Order::Get => Judged::Said(match &self.config {
                Some(config) => Answer::Config(config.clone()),
                None => Answer::Refused { kind: Kind::NoSuchPath, text: "no configuration yet".into() },
            }),
            Order::Put(body) => match self.put(body) {
                Verdict::Take(document) => Judged::Take(document),
                Verdict::Already => Judged::Said(Answer::Done),
                Verdict::Refuse { kind: Kind::Malformed, text } => {
                    Judged::Now(Answer::Refused { kind: Kind::Malformed, text })
                }
                Verdict::Refuse { kind, text } => Judged::Said(Answer::Refused { kind, text }),
            },
            Order::Evacuate(zone) => changed(zone, self.evacuate(zone)),
            Order::Restore(zone) => changed(zone, self.restore(zone)),
        }
    }
}
