//! Fingerprints of the parts of the tables, the same whatever the order things came in, on every machine and
//! with every build: processes compare what they have in force by them.

use crate::config::RouteKind;
use crate::tables::{Limits, Route, Service, Tables, Tenant};

/// A fingerprint a part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Print {
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

/// FNV-1a with 64 bits and a last mix. Not against forgers: it tells texts of one operator apart.
#[derive(Clone, Copy)]
pub(crate) struct Hash(u64);

impl Hash {
    pub(crate) fn new() -> Hash {
        Hash(0xcbf2_9ce4_8422_2325)
    }

    /// Of bytes alone.
    pub(crate) fn of(bytes: &[u8]) -> u64 {
        Hash::new().bytes(bytes).end()
    }

    fn bytes(mut self, bytes: &[u8]) -> Hash {
        for b in bytes {
            self.0 = (self.0 ^ *b as u64).wrapping_mul(0x0000_0100_0000_01b3);
        }
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
        let mut h = self.0;
        h = (h ^ (h >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        h = (h ^ (h >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        h ^ (h >> 33)
    }
}

impl Print {
    /// Of tables; the keys of each tenant come apart, as tenants don't hold them.
    pub(crate) fn of(tables: &Tables, keys: &[Vec<&str>], evacuated: &[String]) -> Print {
        let routes = tables.routes().iter().map(|r| route(r, tables.services()));
        let tenants = tables.tenants().iter().zip(keys);
        let tenants = tenants.map(|(t, keys)| tenant(t).texts(keys.iter().copied()).end());
        Print {
            routes: Hash::new().set(routes).end(),
            tenants: Hash::new().num(tables.keyed() as u64).set(tenants).end(),
            clusters: Hash::new().set(tables.services().iter().map(service)).end(),
            evacuations: Hash::new().texts(evacuated.iter().map(String::as_str)).end(),
            limits: limits(tables.limits()),
        }
    }
}

fn route(r: &Route, services: &[Service]) -> u64 {
    let part = |&(i, w): &(usize, f64)| Hash::new().text(&services[i].name).figure(w).end();
    let kind = match r.kind {
        RouteKind::Idempotent => 1,
        RouteKind::NonIdempotent => 2,
    };
    let h = Hash::new().text(&r.name).text(&r.key).set(r.services.iter().map(part)).num(kind);
    let h = h.figure(r.timeout).figure(r.target).num(r.priority as u64).num(r.public as u64);
    h.num(r.max_attempts as u64).texts(r.homes.iter().map(String::as_str)).end()
}

fn tenant(t: &Tenant) -> Hash {
    let h = Hash::new().text(&t.name).figure(t.rate).figure(t.burst).num(t.priority as u64);
    h.texts(t.homes.iter().map(String::as_str))
}

fn service(s: &Service) -> u64 {
    let h = Hash::new().text(&s.name).text(&s.health_path).num(s.max_conns as u64);
    h.figure(s.warmup_s).figure(s.warmup_per_s).end()
}

fn limits(l: Limits) -> u64 {
    let h = Hash::new().num(l.max_header_bytes as u64).num(l.max_body_bytes);
    h.figure(l.header_timeout).figure(l.idle_timeout).end()
}
