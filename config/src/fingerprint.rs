//! Fingerprints of the parts of the tables, the same whatever the order things came in, on every machine and
//! with every build: processes compare what they have in force by them.

use crate::config::RouteKind;
use crate::tables::{Limits, Route, Service, Tables, Tenant};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A part of the tables that has a print of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Part {
    Routes,
    Tenants,
    Clusters,
    Evacuations,
    Limits,
}

impl Part {
    /// All, in the order of [`Fingerprints::parts`].
    pub const ALL: [Part; 5] = [Part::Routes, Part::Tenants, Part::Clusters, Part::Evacuations, Part::Limits];

    /// As logs and operators have it.
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

/// Which way of working prints out this build has: prints of another form say nothing about rules. To be raised with
/// each change of what goes into a print.
const FORM: u32 = 2;

/// Whether two folded prints can be compared at all: both were told, in one form.
pub fn comparable(a: u32, b: u32) -> bool {
    a != 0 && b != 0 && a >> 24 == b >> 24
}

/// A fingerprint a part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fingerprints {
    /// Hosts, prefixes and all that routes say.
    pub routes: u64,
    /// Tenants with their keys and quotas.
    pub tenants: u64,
    /// Services.
    pub clusters: u64,
    /// Evacuated zones.
    pub evacuations: u64,
    /// What clients may send.
    pub limits: u64,
}

/// SipHash-1-3 under a fixed key, of 64 bits. Not against forgers: it tells texts of one operator apart.
#[derive(Clone, Copy)]
pub(crate) struct Hash(SipHasher13);

impl Hash {
    pub(crate) fn new() -> Hash {
        Hash(SipHasher13::new_with_keys(0, 0))
    }

    /// Of bytes alone.
    pub(crate) fn of(bytes: &[u8]) -> u64 {
        Hash::new().bytes(bytes).end()
    }

    fn bytes(mut self, bytes: &[u8]) -> Hash {
        self.0.write(bytes);
        self
    }

    fn num(self, n: u64) -> Hash {
        self.bytes(&n.to_le_bytes())
    }

    fn figure(self, f: f64) -> Hash {
        self.num((f + 0.0).to_bits()) // no -0
    }

    /// With its length: two texts don't run into each other.
    fn text(self, text: &str) -> Hash {
        self.num(text.len() as u64).bytes(text.as_bytes())
    }

    fn texts<'a>(self, texts: impl Iterator<Item = &'a str>) -> Hash {
        self.set(texts.map(|t| Hash::of(t.as_bytes())))
    }

    /// Of things whose order says nothing.
    fn set(self, hashes: impl Iterator<Item = u64>) -> Hash {
        let mut all: Vec<u64> = hashes.collect();
        all.sort_unstable();
        let sized = self.num(all.len() as u64);
        all.into_iter().fold(sized, Hash::num)
    }

    fn end(self) -> u64 {
        self.0.finish()
    }
}

impl Fingerprints {
    /// Of tables as they are in memory now.
    pub(crate) fn of(tables: &Tables) -> Fingerprints {
        let [routes, tenants, clusters, evacuations, limits] = Part::ALL.map(|p| of_part(tables, p));
        Fingerprints { routes, tenants, clusters, evacuations, limits }
    }

    /// In the order of [`Part::ALL`].
    pub fn parts(&self) -> [u64; 5] {
        [self.routes, self.tenants, self.clusters, self.evacuations, self.limits]
    }

    /// One part's.
    pub fn part(&self, part: Part) -> u64 {
        self.parts()[part as usize]
    }

    /// Another print of a part.
    pub fn set(&mut self, part: Part, print: u64) {
        let at = match part {
            Part::Routes => &mut self.routes,
            Part::Tenants => &mut self.tenants,
            Part::Clusters => &mut self.clusters,
            Part::Evacuations => &mut self.evacuations,
            Part::Limits => &mut self.limits,
        };
        *at = print;
    }

    /// All parts in a few bytes, never 0; the first byte is the form, see [`comparable`].
    pub fn combined(&self) -> u32 {
        let all = self.parts().into_iter().fold(Hash::new(), Hash::num).end();
        FORM << 24 | ((all as u32 & 0x00ff_ffff).max(1))
    }
}

/// Worked out anew from what look-ups read: the index of hosts, the keys, the rows that these lead to.
pub(crate) fn of_part(tables: &Tables, part: Part) -> u64 {
    match part {
        Part::Routes => {
            Hash::new().set(tables.by_host().map(|(host, list)| by_host(tables, host, list))).end()
        }
        Part::Tenants => {
            let mut keys = vec![Vec::new(); tables.tenants().len()];
            let mut nowhere = 0;
            for (key, i) in tables.keys() {
                match keys.get_mut(i) {
                    Some(of) => of.push(key),
                    None => nowhere += 1,
                }
            }
            let tenants = tables.tenants().iter().zip(&keys);
            let tenants = tenants.map(|(t, keys)| tenant(t).texts(keys.iter().copied()).end());
            Hash::new().num(tables.requires_key() as u64).num(nowhere).set(tenants).end()
        }
        Part::Clusters => Hash::new().set(tables.services().iter().map(service)).end(),
        Part::Evacuations => Hash::new().texts(tables.evacuations()).end(),
        Part::Limits => limits(tables.limits()),
    }
}

/// Of a host's routes; the order among them says something where a longer prefix would come too late.
fn by_host(tables: &Tables, host: &str, list: &[usize]) -> u64 {
    let routes = || list.iter().filter_map(|&i| tables.routes().get(i));
    let falls = routes().zip(routes().skip(1)).all(|(a, b)| a.key.len() >= b.key.len());
    let whole = routes().count() == list.len();
    let h = Hash::new().text(host).num(falls as u64).num(whole as u64);
    h.set(routes().map(|r| route(r, tables.services()))).end()
}

fn route(r: &Route, services: &[Service]) -> u64 {
    let name = |i: usize| services.get(i).map_or("", |s| s.name.as_str());
    let part = |&(i, w): &(usize, f64)| Hash::new().text(name(i)).figure(w).end();
    let kind = match r.kind {
        RouteKind::Idempotent => 1,
        RouteKind::NonIdempotent => 2,
        RouteKind::Keyed => 3,
    };
    let h = Hash::new().text(&r.name).text(&r.key).set(r.services.iter().map(part)).num(kind);
    let h = h.figure(r.timeout).figure(r.target).num(r.priority as u64).num(r.public as u64);
    h.num(r.max_attempts as u64).texts(r.home_regions.iter().map(String::as_str)).end()
}

fn tenant(t: &Tenant) -> Hash {
    let h = Hash::new().text(&t.name).figure(t.rate).figure(t.burst).num(t.priority as u64);
    h.texts(t.home_regions.iter().map(String::as_str))
}

fn service(s: &Service) -> u64 {
    let h = Hash::new().text(&s.name).text(&s.health_path).num(s.max_conns as u64);
    h.figure(s.warmup_s).figure(s.warmup_per_s).end()
}

fn limits(l: Limits) -> u64 {
    let h = Hash::new().num(l.max_header_bytes as u64).num(l.max_body_bytes);
    h.figure(l.header_timeout).figure(l.idle_timeout).end()
}
