//! Gateways that became unreachable ("silent"), and the usage that they are presumed to continue.
//!
//! For each customer with a quota, the recent usage of every gateway is kept, decaying over [`USAGE_DECAY`]. Once a
//! gateway has sent nothing for [`SILENCE_TIMEOUT`], its share of that usage at its last message is presumed to go on:
//! `rate * share` a second, from that message (or from the creation of the name, if that is later) until the gateway
//! sends a message again. The shares of a customer's silent gateways never add up to more than 1, so the presumed usage
//! stays within the quota.

use crate::Node;
use std::collections::{BTreeMap, HashMap};

/// Seconds without a message after which a gateway is silent.
pub const SILENCE_TIMEOUT: f64 = 1.0;

/// Time constant of the exponential decay of recent usage, in seconds.
pub const USAGE_DECAY: f64 = 8.0;

/// Maximum number of gateways kept; no usage is presumed of additional gateways.
pub const MAX_NODES: usize = 4096;

/// Maximum number of customers with a quota that are kept.
pub const MAX_CUSTOMERS: usize = 20_000;

/// Maximum number of usage records, counted over all customers and gateways.
pub const MAX_USAGE_RECORDS: usize = 200_000;

/// A longer gap between two ticks is a pause of this process: no gateway is silent because of it.
const OWN_PAUSE: f64 = 0.5;

/// Usage below this is dropped, in units.
const MIN_USAGE: f64 = 1e-3;

/// Which gateways are silent, and which share of each customer's usage they had.
#[derive(Clone, Debug, Default)]
pub(crate) struct SilenceTracker {
    nodes: BTreeMap<Node, Contact>,
    customers: HashMap<u64, CustomerUsage>,
    usage_records: usize,
    last_tick: Option<f64>,
    next_check: f64, // no gateway becomes silent before this
    next_prune: f64,
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    at: f64,
    silent: bool,
}

#[derive(Clone, Debug, Default)]
struct CustomerUsage {
    rate: f64,
    usage: BTreeMap<Node, RecentUsage>,
    silent: Vec<SilentShare>,
}

#[derive(Clone, Copy, Debug)]
struct RecentUsage {
    amount: f64,
    at: f64,
}

#[derive(Clone, Copy, Debug)]
struct SilentShare {
    node: Node,
    share: f64,
    since: f64,
}

impl RecentUsage {
    fn decayed(self, now: f64) -> f64 {
        self.amount * ((self.at - now).min(0.0) / USAGE_DECAY).exp()
    }
}

impl SilenceTracker {
    pub(crate) fn set_quota(&mut self, customer: u64, rate: f64) {
        if !(rate > 0.0 && rate.is_finite()) {
            self.usage_records -= self.customers.remove(&customer).map_or(0, |c| c.usage.len());
        } else if self.customers.len() < MAX_CUSTOMERS || self.customers.contains_key(&customer) {
            self.customers.entry(customer).or_default().rate = rate;
        }
    }

    /// Records a message from a gateway. If the gateway was silent, returns what it was presumed to have used, by
    /// customer.
    pub(crate) fn record_contact(&mut self, now: f64, node: Node) -> Vec<(u64, f64)> {
        let full = self.nodes.len() >= MAX_NODES;
        match self.nodes.get_mut(&node) {
            Some(contact) => {
                let silent = std::mem::take(&mut contact.silent);
                contact.at = now;
                if silent {
                    return self.end_silence(now, node);
                }
            }
            None if full => {}
            None => {
                self.next_check = self.next_check.min(now + SILENCE_TIMEOUT);
                self.nodes.insert(node, Contact { at: now, silent: false });
            }
        }
        Vec::new()
    }

    /// The gateway's own reports replace the presumption. Its recent usage has not decayed during the silence.
    fn end_silence(&mut self, now: f64, node: Node) -> Vec<(u64, f64)> {
        self.next_check = self.next_check.min(now + SILENCE_TIMEOUT);
        let mut presumed = Vec::new();
        for (customer, c) in &mut self.customers {
            let Some(at) = c.silent.iter().position(|s| s.node == node) else { continue };
            let silent = c.silent.remove(at);
            presumed.push((*customer, c.rate * silent.share * (now - silent.since).max(0.0)));
            if let Some(u) = c.usage.get_mut(&node) {
                u.at = now;
            }
        }
        presumed
    }

    pub(crate) fn record_usage(&mut self, now: f64, node: Node, customer: u64, amount: f64) {
        let Some(c) = self.customers.get_mut(&customer).filter(|_| self.nodes.contains_key(&node)) else {
            return;
        };
        if let Some(u) = c.usage.get_mut(&node) {
            *u = RecentUsage { amount: (u.decayed(now) + amount).clamp(0.0, f64::MAX), at: now };
        } else if amount > 0.0 && self.usage_records < MAX_USAGE_RECORDS {
            c.usage.insert(node, RecentUsage { amount, at: now });
            self.usage_records += 1;
        }
    }

    /// Units presumed to be used of a name that was created at `created_at`.
    pub(crate) fn presumed(&self, now: f64, customer: u64, created_at: f64) -> f64 {
        let Some(c) = self.customers.get(&customer) else { return 0.0 };
        let spans = c.silent.iter().map(|s| s.share * (now - s.since.max(created_at)).max(0.0));
        c.rate * spans.sum::<f64>()
    }

    /// Units presumed to be used by a customer, independent of when its names were created.
    pub(crate) fn presumed_of_customer(&self, now: f64, customer: u64) -> f64 {
        self.presumed(now, customer, f64::NEG_INFINITY)
    }

    pub(crate) fn remove(&mut self, node: Node) {
        if self.nodes.remove(&node).is_none() {
            return;
        }
        for c in self.customers.values_mut() {
            c.silent.retain(|s| s.node != node);
            self.usage_records -= c.usage.remove(&node).is_some() as usize;
        }
    }

    pub(crate) fn tick(&mut self, now: f64) {
        let gap = now - self.last_tick.replace(now).unwrap_or(now);
        if gap > OWN_PAUSE {
            // messages sent during the pause have not been read yet
            self.nodes.values_mut().filter(|c| !c.silent).for_each(|c| c.at = (c.at + gap).min(now));
            self.next_check += gap;
        }
        if now >= self.next_prune {
            self.next_prune = now + USAGE_DECAY;
            self.prune(now);
        }
        if now >= self.next_check {
            self.check(now);
        }
    }

    /// Finds the gateways that have become silent since the last check.
    fn check(&mut self, now: f64) {
        let mut newly_silent = Vec::new();
        self.next_check = f64::INFINITY;
        for (&node, contact) in self.nodes.iter_mut().filter(|(_, c)| !c.silent) {
            if now - contact.at > SILENCE_TIMEOUT {
                contact.silent = true;
                newly_silent.push((node, contact.at));
            } else {
                self.next_check = self.next_check.min(contact.at + SILENCE_TIMEOUT);
            }
        }
        if !newly_silent.is_empty() {
            self.customers.values_mut().for_each(|c| c.presume(now, &newly_silent));
        }
    }

    /// Drops records with almost no recent usage, so that the bounded tables have room for active gateways.
    fn prune(&mut self, now: f64) {
        for c in self.customers.values_mut() {
            let before = c.usage.len();
            let silent = &c.silent;
            c.usage.retain(|n, u| u.decayed(now) >= MIN_USAGE || silent.iter().any(|s| s.node == *n));
            self.usage_records -= before - c.usage.len();
        }
    }
}

impl CustomerUsage {
    /// Divides the share that is not assigned to silent gateways yet among the newly silent and the active gateways, in
    /// proportion to their usage. The usage of a newly silent gateway is taken as of its last message, since that of
    /// the others was refreshed by theirs.
    fn presume(&mut self, now: f64, newly_silent: &[(Node, f64)]) {
        let usage_at_last_message =
            |&(node, since): &(Node, f64)| Some((node, since, self.usage.get(&node)?.decayed(since)));
        let newly_silent_usage: Vec<(Node, f64, f64)> =
            newly_silent.iter().filter_map(usage_at_last_message).collect();
        if newly_silent_usage.is_empty() {
            return;
        }
        let is_silent = |n: &Node| {
            newly_silent_usage.iter().any(|u| u.0 == *n) || self.silent.iter().any(|s| s.node == *n)
        };
        let active: f64 = self.usage.iter().filter(|(n, _)| !is_silent(n)).map(|(_, u)| u.decayed(now)).sum();
        let all = active + newly_silent_usage.iter().map(|u| u.2).sum::<f64>();
        let unassigned = (1.0 - self.silent.iter().map(|s| s.share).sum::<f64>()).max(0.0);
        if all < MIN_USAGE || !all.is_finite() {
            return;
        }
        let shares = newly_silent_usage.into_iter().map(|(node, since, used)| SilentShare {
            node,
            share: unassigned * used / all,
            since,
        });
        self.silent.extend(shares);
    }
}
