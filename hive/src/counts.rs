//! The counters of the holder. A new one is told by the gateways what they had told the one before, and answers as
//! soon as that is whole: when all that are alive have told, or after so long.

use crate::agree::Agree;
use crate::clock::Clock;
use lupinledge_dance::Dance;
use lupinledge_nectar::told::Told;
use lupinledge_nectar::{Counters, Life};
use lupinledge_propolis::Tables;
use lupinledge_queen::Node;
use lupinledge_waggle::{Member, Standing};
use lupinledge_wax::{parts, units, Post, Word};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

const CALLS_MOST: usize = 4096;
const TICK: Duration = Duration::from_millis(250);
/// While the counters are not whole, those that have not told are asked again so often.
const ASK: Duration = Duration::from_millis(50);
/// A process that just started knows nobody: it waits so long for gateways to show, seconds.
const SHOW: f64 = 0.3;
/// One that is alive and does not tell is waited for no longer, seconds.
const TELL: f64 = 0.6;
/// Calls that wait for the totals.
const WAITING_MOST: usize = 4096;

struct Held {
    epoch: u64,
    since: f64,
    counters: Counters,
    waiting: Vec<(Life, u64, Vec<u64>)>,
}

pub struct Counts {
    clock: Rc<Clock>,
    agree: Rc<Agree>,
    /// Those of the epoch that was won last.
    held: RefCell<Option<Held>>,
    zones: BTreeMap<String, String>,
    /// Up to which document the rates were taken over.
    rates: Cell<Option<lupinledge_queen::Stamp>>,
}

impl Counts {
    pub fn new(clock: Rc<Clock>, agree: Rc<Agree>, zones: BTreeMap<String, String>) -> Rc<Counts> {
        Rc::new(Counts { clock, agree, zones, held: RefCell::default(), rates: Cell::new(None) })
    }

    /// From here on silences are looked for: a pause of this process is none of the others'.
    pub fn run(self: &Rc<Counts>, dance: Rc<Dance>) {
        let counts = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let whole = counts.look(&dance);
                let _ = timeout(if whole { TICK } else { ASK }, counts.agree.changed()).await;
            }
        });
    }

    /// Looks after the counters; returns whether they are whole, or another's.
    fn look(&self, dance: &Dance) -> bool {
        let Some(epoch) = self.agree.leads() else { return true };
        let (now, mut held) = (self.clock.now(), self.held.borrow_mut());
        let held = self.hold(&mut held, epoch);
        held.counters.tick(now);
        // one that is gone without a word may go on out of sight
        let ended = |m: &&Member| m.card.leaving && m.standing == Standing::Gone;
        dance.with(|swarm| swarm.members().filter(ended).for_each(|m| held.counters.forget(m.node)));
        if held.counters.whole() {
            return true;
        }
        let (mut edges, mut asked) = (Vec::new(), Vec::new());
        dance.with(|swarm| {
            for m in swarm.members().filter(|m| !m.card.core && !held.counters.told(m.node)) {
                edges.extend(Some(m.node).filter(|_| !m.card.leaving));
                asked.extend(Some(m.node).filter(|_| m.standing == Standing::Alive));
            }
        });
        let known = held.counters.any_told() || !asked.is_empty();
        let spent = now - held.since;
        if spent < TELL && (!asked.is_empty() || !known && spent < SHOW) {
            asked.into_iter().for_each(|n| dance.post().cast(n, &Word::Hold { epoch }));
            return false;
        }
        held.counters.close(now, &edges);
        tracing::info!(event = "counters_whole", epoch, missing = edges.len(), waiting = held.waiting.len());
        for (from, tag, names) in std::mem::take(&mut held.waiting) {
            let totals = names.into_iter().map(|n| parts(held.counters.total(n))).collect();
            dance.post().send(from.0, &Word::Counted { tag, epoch, totals });
        }
        true
    }

    /// Any word of another process.
    pub fn lives(&self, from: Node) {
        if let Some(held) = self.held.borrow_mut().as_mut() {
            held.counters.heard(self.clock.now(), from);
        }
    }

    /// What a gateway told the holder before this one.
    pub fn told(&self, from: Node, life: u16, told: &[(u64, f64, f64, f64, f32)]) {
        let Some(epoch) = self.agree.leads() else { return };
        let told = told.iter().take(CALLS_MOST).map(|&(name, sum, within, total, life)| {
            let life = f64::from(life);
            Told { name, sum, within, total, life }
        });
        let told: Vec<Told> = told.collect();
        let mut held = self.held.borrow_mut();
        self.hold(&mut held, epoch).counters.tell(self.clock.now(), (from, life), &told);
    }

    /// Takes sums, and answers with the totals as soon as they are whole; without the duty, with none.
    pub fn heard(&self, post: &Post, from: Life, tag: u64, calls: &[(u64, i64, u16)]) {
        let Some(epoch) = self.agree.leads() else {
            return post.send(from.0, &Word::Counted { tag, epoch: 0, totals: Vec::new() });
        };
        let (now, mut held) = (self.clock.now(), self.held.borrow_mut());
        let held = self.hold(&mut held, epoch);
        let calls = &calls[..calls.len().min(CALLS_MOST)];
        let counters = &mut held.counters;
        let totals = calls
            .iter()
            .map(|(name, sum, life)| parts(counters.put(now, from, *name, units(*sum), f64::from(*life))));
        let totals: Vec<i64> = totals.collect();
        if held.counters.whole() {
            post.send(from.0, &Word::Counted { tag, epoch, totals });
        } else if held.waiting.len() < WAITING_MOST {
            held.waiting.push((from, tag, calls.iter().map(|c| c.0).collect()));
        }
    }

    /// The counters of an epoch, with the quotas of the newest document.
    fn hold<'a>(&self, held: &'a mut Option<Held>, epoch: u64) -> &'a mut Held {
        if held.as_ref().is_some_and(|h| h.epoch != epoch) {
            *held = None;
        }
        let since = self.clock.now();
        let held = held.get_or_insert_with(|| {
            self.rates.set(None);
            Held { epoch, since, counters: Counters::new(epoch), waiting: Vec::new() }
        });
        if let Some(agreed) = self.agree.agreed().filter(|a| self.rates.get() != Some(a.stamp)) {
            self.rates.set(Some(agreed.stamp));
            if let Ok(tables) = Tables::new(&agreed.document, &self.zones) {
                tables.tenants().iter().for_each(|t| held.counters.quota(t.customer, t.rate));
            }
        }
        held
    }
}
