//! Units a gateway spent alone, to be reported to the counter once it answers: at most once each. A report has
//! this gateway's number and a sequence; its outcome decides whether it goes again. One whose call may have
//! been added (the connection broke after the last byte was written, or nothing came) is not sent again: at
//! most once costs at most the units in doubt, which are counted, while twice would be an effect twice.

use std::collections::BTreeMap;

/// Most customers with units waiting; further units of new customers are counted as lost, not kept.
const MOST_WAITING: usize = 100_000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    pub gateway: u16,
    pub seq: u64,
    pub customer: u64,
    pub units: f64,
}

/// How a report's call ended, in the words of the counter's protocol page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Added,
    /// `-BUSY`, `-ERR`, or the connection broke before the last byte: nothing was added.
    NotAdded,
    /// It may have been added, or may yet be.
    InDoubt,
}

#[derive(Clone, Debug, Default)]
pub struct Ledger {
    gateway: u16,
    next_seq: u64,
    /// Units spent alone and not yet in a report, by customer.
    waiting: BTreeMap<u64, f64>,
    /// Reports sent and not yet ended, by sequence.
    out: BTreeMap<u64, Report>,
    /// Units reported, units whose report is in doubt, units that could not be kept.
    pub reported: f64,
    pub in_doubt: f64,
    pub lost: f64,
}

impl Ledger {
    pub fn new(gateway: u16) -> Ledger {
        Ledger { gateway, ..Ledger::default() }
    }

    /// Units spent alone by a customer.
    pub fn spent(&mut self, customer: u64, units: f64) {
        if self.waiting.len() >= MOST_WAITING && !self.waiting.contains_key(&customer) {
            self.lost += units;
            return;
        }
        *self.waiting.entry(customer).or_default() += units;
    }

    /// The reports to send now, one a customer, in order of customer; each is out until `ended`.
    pub fn due(&mut self) -> Vec<Report> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting
            .into_iter()
            .filter(|(_, u)| *u > 0.0)
            .map(|(customer, units)| {
                let r = Report { gateway: self.gateway, seq: self.next_seq, customer, units };
                self.next_seq += 1;
                self.out.insert(r.seq, r);
                r
            })
            .collect()
    }

    /// A report's call ended. One not added waits again (with any units spent since); one in doubt is done.
    pub fn ended(&mut self, seq: u64, outcome: Outcome) {
        let Some(r) = self.out.remove(&seq) else { return };
        match outcome {
            Outcome::Added => self.reported += r.units,
            Outcome::InDoubt => self.in_doubt += r.units,
            Outcome::NotAdded => self.spent(r.customer, r.units),
        }
    }

    /// Units spent alone that are not yet known to the counter: waiting or out.
    pub fn unsettled(&self) -> f64 {
        self.waiting.values().sum::<f64>() + self.out.values().map(|r| r.units).sum::<f64>()
    }
}

#[cfg(test)]
mod tests;
