//! Fingerprints of the parts of the tables, with which processes compare the rules that they have in force. They don't
//! depend on the order of the entries, and are the same on every machine and with every build.

use crate::config::RouteKind;
use crate::tables::{Limits, Route, Service, Tables, Tenant};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A part of the tables that has its own fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Part {
    /// Hosts and routes.
    Routes,
    /// Tenants and their keys.
    Tenants,
    /// Services.
    Clusters,
    /// Evacuated zones.
    Evacuations,
    /// Limits on requests and client connections.
    Limits,
}

impl Part {
    /// All parts, in the order of [`Fingerprints::parts`].
    pub const ALL: [Part; 5] = [Part::Routes, Part::Tenants, Part::Clusters, Part::Evacuations, Part::Limits];

    /// The name in logs and in responses to operators.
    pub fn name(self) -> &'static str {
        match self {
            Part::Routes => "routes",
            Part::Tenants => "tenants",
            Part::Clusters => "clusters",
            Part::Evacuations => "evacuations",
            Part::Limits => "limits",
        }
    }
}

/// The format of the fingerprints; those of different formats can't be compared. It has to be incremented with each
/// change of what goes into a fingerprint.
const FORMAT: u32 = 2;

/// Whether two combined fingerprints can be compared: both were received (not 0) and have the same format.
pub fn comparable(a: u32, b: u32) -> bool {
    a != 0 && b != 0 && a >> 24 == b >> 24
}

/// A fingerprint of each part of the tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fingerprints {
    /// Hosts and routes.
    pub routes: u64,
    /// Tenants with their keys and quotas.
    pub tenants: u64,
    /// Services.
    pub clusters: u64,
    /// Evacuated zones.
    pub evacuations: u64,
    /// Limits on requests and client connections.
    pub limits: u64,
}

/// A 64-bit SipHash-1-3 with a fixed key. It is not meant to resist forgery: all input comes from one operator.
#[derive(Clone, Copy)]
pub(crate) struct Hash(SipHasher13);

impl Hash {
    pub(crate) fn new() -> Hash {
        Hash(SipHasher13::new_with_keys(0, 0))
    }

    /// The hash of the bytes.
    pub(crate) fn of(bytes: &[u8]) -> u64 {
        Hash::new().bytes(bytes).end()
    }

    fn bytes(mut self, bytes: &[u8]) -> Hash {
        self.0.write(bytes);
        self
    }

    fn integer(self, n: u64) -> Hash {
        self.bytes(&n.to_le_bytes())
    }

    fn float(self, f: f64) -> Hash {
        self.integer((f + 0.0).to_bits()) // turns -0 into 0
    }

    /// Adds a text with its length, so that adjacent texts can't be confused.
    fn text(self, text: &str) -> Hash {
        self.integer(text.len() as u64).bytes(text.as_bytes())
    }

    fn texts<'a>(self, texts: impl Iterator<Item = &'a str>) -> Hash {
        self.set(texts.map(|t| Hash::of(t.as_bytes())))
    }

    /// Adds hashes of entries whose order doesn't matter.
    fn set(self, hashes: impl Iterator<Item = u64>) -> Hash {
        let mut sorted: Vec<u64> = hashes.collect();
        sorted.sort_unstable();
        let with_len = self.integer(sorted.len() as u64);
        sorted.into_iter().fold(with_len, Hash::integer)
    }

    fn end(self) -> u64 {
        self.0.finish()
    }
}

impl Fingerprints {
    /// Computes the fingerprints of the tables as they are in memory now.
    pub(crate) fn of(tables: &Tables) -> Fingerprints {
        let [routes, tenants, clusters, evacuations, limits] = Part::ALL.map(|p| compute(tables, p));
        Fingerprints { routes, tenants, clusters, evacuations, limits }
    }

    /// All fingerprints, in the order of [`Part::ALL`].
    pub fn parts(&self) -> [u64; 5] {
        [self.routes, self.tenants, self.clusters, self.evacuations, self.limits]
    }

    /// The fingerprint of one part.
    pub fn part(&self, part: Part) -> u64 {
        self.parts()[part as usize]
    }

    /// Replaces the fingerprint of a part.
    pub fn set(&mut self, part: Part, fingerprint: u64) {
        let field = match part {
            Part::Routes => &mut self.routes,
            Part::Tenants => &mut self.tenants,
            Part::Clusters => &mut self.clusters,
            Part::Evacuations => &mut self.evacuations,
            Part::Limits => &mut self.limits,
        };
        *field = fingerprint;
    }

    /// A fingerprint of all parts in 4 bytes, never 0. The highest byte is the format, see [`comparable`].
    pub fn combined(&self) -> u32 {
        let all = self.parts().into_iter().fold(Hash::new(), Hash::integer).end();
        FORMAT << 24 | ((all as u32 & 0x00ff_ffff).max(1))
    }
}

/// Computes the fingerprint of a part from the data that lookups read: the index of hosts, the keys, and the entries
/// that these refer to.
pub(crate) fn compute(tables: &Tables, part: Part) -> u64 {
    match part {
        Part::Routes => {
            Hash::new().set(tables.by_host().map(|(host, list)| host_hash(tables, host, list))).end()
        }
        Part::Tenants => {
            let mut keys = vec![Vec::new(); tables.tenants().len()];
            let mut dangling = 0;
            for (key, i) in tables.keys() {
                match keys.get_mut(i) {
                    Some(tenant_keys) => tenant_keys.push(key),
                    None => dangling += 1,
                }
            }
            let tenants = tables.tenants().iter().zip(&keys);
            let tenants = tenants.map(|(t, keys)| tenant_hash(t).texts(keys.iter().copied()).end());
            Hash::new().integer(tables.requires_key() as u64).integer(dangling).set(tenants).end()
        }
        Part::Clusters => Hash::new().set(tables.services().iter().map(service_hash)).end(),
        Part::Evacuations => Hash::new().texts(tables.evacuations()).end(),
        Part::Limits => limits_hash(tables.limits()),
    }
}

/// The hash of a host's routes. Their order matters only if a longer prefix comes after a shorter one, where lookups
/// wouldn't find it.
fn host_hash(tables: &Tables, host: &str, list: &[usize]) -> u64 {
    let routes = || list.iter().filter_map(|&i| tables.routes().get(i));
    let longest_first = routes().zip(routes().skip(1)).all(|(a, b)| a.key.len() >= b.key.len());
    let complete = routes().count() == list.len();
    let h = Hash::new().text(host).integer(longest_first as u64).integer(complete as u64);
    h.set(routes().map(|r| route_hash(r, tables.services()))).end()
}

fn route_hash(r: &Route, services: &[Service]) -> u64 {
    let name = |i: usize| services.get(i).map_or("", |s| s.name.as_str());
    let weighted = |&(i, w): &(usize, f64)| Hash::new().text(name(i)).float(w).end();
    let kind = match r.kind {
        RouteKind::Idempotent => 1,
        RouteKind::NonIdempotent => 2,
        RouteKind::Keyed => 3,
    };
    let h = Hash::new().text(&r.name).text(&r.key).set(r.services.iter().map(weighted)).integer(kind);
    let h = h.float(r.timeout).float(r.target).integer(r.priority as u64).integer(r.public as u64);
    h.integer(r.max_dispatches as u64).texts(r.home_regions.iter().map(String::as_str)).end()
}

fn tenant_hash(t: &Tenant) -> Hash {
    let h = Hash::new().text(&t.name).float(t.rate).float(t.burst).integer(t.priority as u64);
    h.texts(t.home_regions.iter().map(String::as_str))
}

fn service_hash(s: &Service) -> u64 {
    let h = Hash::new().text(&s.name).text(&s.health_path).integer(s.max_conns as u64);
    h.float(s.warmup_s).float(s.warmup_per_s).end()
}

fn limits_hash(l: Limits) -> u64 {
    let h = Hash::new().integer(l.max_header_bytes as u64).integer(l.max_body_bytes);
    h.float(l.header_timeout).float(l.idle_timeout).end()
}
