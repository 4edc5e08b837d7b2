//! A node looks at its own tables: prints are worked out anew from memory, a part a turn; requests drawn from the
//! intent are routed, and the way is compared with that of the plain reading.

use fastrand::Rng;
use lupinledge_config::plain::{draw, way, way_in};
use lupinledge_config::{Config, Part, Print, Tables};

/// Something in memory is not what the intent says.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The part that differs.
    pub part: Part,
    /// Routes, tenants or services that differ, the first few.
    pub names: Vec<String>,
}

/// Turns until all parts were looked at once.
const ROUND: u32 = Part::ALL.len() as u32;

/// See the module.
pub struct Audit {
    chance: Rng,
    turn: u32,
    /// Turns since the tables were looked at for the first time or since something was found.
    sound: u32,
    seen: Option<Print>,
    live: Print,
}

impl Audit {
    /// The probes are drawn by the seed.
    pub fn new(seed: u64) -> Audit {
        Audit { chance: Rng::with_seed(seed), turn: 0, sound: 0, seen: None, live: Print::default() }
    }

    /// The tables were built anew: what was found in the former ones says nothing of these.
    pub fn reset(&mut self) {
        self.seen = None;
    }

    /// The print of what is in memory, by the last look at each part.
    pub fn live_print(&self) -> Print {
        self.live
    }

    /// Whether everything was looked at since something changed, and nothing was found.
    pub fn is_clean(&self) -> bool {
        self.sound >= ROUND
    }

    /// One turn: a part, and a probe. `config` is what the tables were built from; `due` the tables that a build
    /// from it gives now, where the caller has them.
    pub fn step(
        &mut self,
        tables: &Tables,
        config: Option<&Config>,
        due: Option<&Tables>,
    ) -> Option<Finding> {
        if tables.print() == Print::default() {
            return None; // nothing is in force yet
        }
        if self.seen.replace(tables.print()) != Some(tables.print()) {
            (self.sound, self.live) = (0, tables.print());
        }
        let part = Part::ALL[(self.turn % ROUND) as usize];
        self.turn = self.turn.wrapping_add(1);
        let print = tables.reprint(part);
        self.live.set(part, print);
        let bent = print != tables.print().part(part);
        let other =
            due.and_then(|d| Part::ALL.into_iter().find(|p| d.print().part(*p) != tables.reprint(*p)));
        let found = match (bent, other, config) {
            (true, ..) => Some(Finding { part, names: Vec::new() }),
            (_, Some(part), _) => Some(Finding { part, names: Vec::new() }),
            (_, _, Some(config)) => self.probe(tables, config),
            _ => None,
        };
        self.sound = if found.is_some() { 0 } else { self.sound.saturating_add(1) };
        found
    }

    fn probe(&mut self, tables: &Tables, config: &Config) -> Option<Finding> {
        let probe = draw(config, &mut self.chance)?;
        let (is, due) = (way_in(tables, &probe), way(config, &probe));
        let names = || is.iter().chain(&due).map(|w| w.route.clone()).take(1).collect();
        let bare = |w: &Option<lupinledge_config::plain::Way>| w.as_ref().map(|w| w.tenant.clone());
        let part = if bare(&is) != bare(&due) { Part::Tenants } else { Part::Routes };
        (is != due).then(|| Finding { part, names: names() })
    }
}

#[cfg(test)]
mod tests;
