//! Gateways that fell silent, and what they are presumed to go on using.
//!
//! Of each customer with a quota, every gateway's recent use is kept, fading over [`MEMORY`]. From a gateway
//! that was not heard for [`SILENT`], its part of that use at its last word is presumed to go on: `rate * part`
//! a second, from that word (or from the birth of the name, where that is later) until it is heard again. Parts
//! of one customer's silent gateways never add up to more than 1, so that the presumed use stays within its
//! quota.

use crate::Node;
use std::collections::{BTreeMap, HashMap};

/// Seconds without a word after which a gateway is silent.
pub const SILENT: f64 = 1.0;

/// Seconds over which use fades.
pub const MEMORY: f64 = 8.0;

/// Most gateways kept; of others nothing is presumed.
pub const NODES_MOST: usize = 4096;

/// Most customers with a quota kept.
pub const CUSTOMERS_MOST: usize = 20_000;

/// Most gateways of all customers together whose use is kept.
pub const USERS_MOST: usize = 200_000;

/// A longer pause between two calls is this process's own: nobody is silent by it.
const PAUSE: f64 = 0.5;

/// Use below this is forgotten, units.
const LEAST: f64 = 1e-3;

/// Who is silent, and with what part of which customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Silence {
    nodes: BTreeMap<Node, Heard>,
    customers: HashMap<u64, Customer>,
    users: usize,
    ticked: Option<f64>,
    look_at: f64, // no one falls silent before this
    fade_at: f64,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: f64,
    silent: bool,
}

#[derive(Clone, Debug, Default)]
struct Customer {
    rate: f64,
    users: BTreeMap<Node, Use>,
    silent: Vec<Silent>,
}

#[derive(Clone, Copy, Debug)]
struct Use {
    amount: f64,
    at: f64,
}

#[derive(Clone, Copy, Debug)]
struct Silent {
    node: Node,
    part: f64,
    since: f64,
}

impl Use {
    fn faded(self, now: f64) -> f64 {
        self.amount * ((self.at - now).min(0.0) / MEMORY).exp()
    }
}

impl Silence {
    pub(crate) fn quota(&mut self, customer: u64, rate: f64) {
        if !(rate > 0.0 && rate.is_finite()) {
            self.users -= self.customers.remove(&customer).map_or(0, |c| c.users.len());
        } else if self.customers.len() < CUSTOMERS_MOST || self.customers.contains_key(&customer) {
            self.customers.entry(customer).or_default().rate = rate;
        }
    }

    /// Takes note of a word; of one that was silent, what it was presumed to have used, by customer.
    pub(crate) fn heard(&mut self, now: f64, node: Node) -> Vec<(u64, f64)> {
        let full = self.nodes.len() >= NODES_MOST;
        match self.nodes.get_mut(&node) {
            Some(heard) => {
                let silent = std::mem::take(&mut heard.silent);
                heard.at = now;
                if silent {
                    return self.returned(now, node);
                }
            }
            None if full => {}
            None => {
                self.look_at = self.look_at.min(now + SILENT);
                self.nodes.insert(node, Heard { at: now, silent: false });
            }
        }
        Vec::new()
    }

    /// Its own reports take the place of the presumption. Its use has not faded meanwhile.
    fn returned(&mut self, now: f64, node: Node) -> Vec<(u64, f64)> {
        self.look_at = self.look_at.min(now + SILENT);
        let mut presumed = Vec::new();
        for (customer, c) in &mut self.customers {
            let Some(at) = c.silent.iter().position(|s| s.node == node) else { continue };
            let silent = c.silent.remove(at);
            presumed.push((*customer, c.rate * silent.part * (now - silent.since).max(0.0)));
            if let Some(u) = c.users.get_mut(&node) {
                u.at = now;
            }
        }
        presumed
    }

    pub(crate) fn used(&mut self, now: f64, node: Node, customer: u64, amount: f64) {
        let Some(c) = self.customers.get_mut(&customer).filter(|_| self.nodes.contains_key(&node)) else {
            return;
        };
        if let Some(u) = c.users.get_mut(&node) {
            *u = Use { amount: (u.faded(now) + amount).clamp(0.0, f64::MAX), at: now };
        } else if amount > 0.0 && self.users < USERS_MOST {
            c.users.insert(node, Use { amount, at: now });
            self.users += 1;
        }
    }

    /// Units presumed of a name that was born then.
    pub(crate) fn presumed(&self, now: f64, customer: u64, born: f64) -> f64 {
        let Some(c) = self.customers.get(&customer) else { return 0.0 };
        let spans = c.silent.iter().map(|s| s.part * (now - s.since.max(born)).max(0.0));
        c.rate * spans.sum::<f64>()
    }

    /// Units presumed of a customer's use, of all names.
    pub(crate) fn presumed_of(&self, now: f64, customer: u64) -> f64 {
        self.presumed(now, customer, f64::NEG_INFINITY)
    }

    pub(crate) fn forget(&mut self, node: Node) {
        if self.nodes.remove(&node).is_none() {
            return;
        }
        for c in self.customers.values_mut() {
            c.silent.retain(|s| s.node != node);
            self.users -= c.users.remove(&node).is_some() as usize;
        }
    }

    pub(crate) fn tick(&mut self, now: f64) {
        let gap = now - self.ticked.replace(now).unwrap_or(now);
        if gap > PAUSE {
            // words sent meanwhile are not read yet
            self.nodes.values_mut().filter(|h| !h.silent).for_each(|h| h.at = (h.at + gap).min(now));
            self.look_at += gap;
        }
        if now >= self.fade_at {
            self.fade_at = now + MEMORY;
            self.fade(now);
        }
        if now >= self.look_at {
            self.look(now);
        }
    }

    fn look(&mut self, now: f64) {
        let mut fallen = Vec::new();
        self.look_at = f64::INFINITY;
        for (&node, heard) in self.nodes.iter_mut().filter(|(_, h)| !h.silent) {
            if now - heard.at > SILENT {
                heard.silent = true;
                fallen.push((node, heard.at));
            } else {
                self.look_at = self.look_at.min(heard.at + SILENT);
            }
        }
        if !fallen.is_empty() {
            self.customers.values_mut().for_each(|c| c.presume(now, &fallen));
        }
    }

    /// Who used next to nothing lately is no user, so that the tables hold who is.
    fn fade(&mut self, now: f64) {
        for c in self.customers.values_mut() {
            let before = c.users.len();
            let silent = &c.silent;
            c.users.retain(|n, u| u.faded(now) >= LEAST || silent.iter().any(|s| s.node == *n));
            self.users -= before - c.users.len();
        }
    }
}

impl Customer {
    /// The fallen share what no silent one has yet, with those who still talk, by their use; a fallen one's
    /// has not faded since its last word, as that of the others was renewed.
    fn presume(&mut self, now: f64, fallen: &[(Node, f64)]) {
        let uses = |&(node, since): &(Node, f64)| Some((node, since, self.users.get(&node)?.faded(since)));
        let newly: Vec<(Node, f64, f64)> = fallen.iter().filter_map(uses).collect();
        if newly.is_empty() {
            return;
        }
        let quiet = |n: &Node| newly.iter().any(|f| f.0 == *n) || self.silent.iter().any(|s| s.node == *n);
        let talking: f64 = self.users.iter().filter(|(n, _)| !quiet(n)).map(|(_, u)| u.faded(now)).sum();
        let all = talking + newly.iter().map(|f| f.2).sum::<f64>();
        let free = (1.0 - self.silent.iter().map(|s| s.part).sum::<f64>()).max(0.0);
        if all < LEAST || !all.is_finite() {
            return;
        }
        let parts =
            newly.into_iter().map(|(node, since, used)| Silent { node, part: free * used / all, since });
        self.silent.extend(parts);
    }
}
