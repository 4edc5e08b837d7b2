//! The counters of the holder.

use crate::agree::Agree;
use crate::clock::Clock;
use crate::swarm::Members;
use lupinledge_nectar::Counters;
use lupinledge_propolis::Tables;
use lupinledge_queen::Node;
use lupinledge_waggle::{Member, Standing};
use lupinledge_wax::{Post, Word};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const CALLS_MOST: usize = 4096;
const TICK: Duration = Duration::from_millis(250);

pub struct Counts {
    clock: Rc<Clock>,
    agree: Rc<Agree>,
    /// Those of the epoch that was won last.
    counters: RefCell<Option<(u64, Counters)>>,
    zones: BTreeMap<String, String>,
    /// Up to which document the rates were taken over.
    rates: Cell<Option<lupinledge_queen::Stamp>>,
}

impl Counts {
    pub fn new(clock: Rc<Clock>, agree: Rc<Agree>, zones: BTreeMap<String, String>) -> Rc<Counts> {
        Rc::new(Counts { clock, agree, zones, counters: RefCell::default(), rates: Cell::new(None) })
    }

    /// From here on silences are looked for: a pause of this process is none of the others'.
    pub fn run(self: &Rc<Counts>, members: Rc<Members>) {
        let counts = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(TICK).await;
                if let Some((_, counters)) =
                    counts.counters.borrow_mut().as_mut().filter(|_| counts.agree.leads().is_some())
                {
                    counters.tick(counts.clock.now());
                    // one that is gone without a word may go on out of sight
                    let ended = |m: &&Member| m.card.leaving && m.standing == Standing::Gone;
                    members.with(|members| members.filter(ended).for_each(|m| counters.forget(m.node)));
                }
            }
        });
    }

    /// Any word of another process.
    pub fn lives(&self, from: Node) {
        if let Some((_, counters)) = self.counters.borrow_mut().as_mut() {
            counters.heard(self.clock.now(), from);
        }
    }

    /// Adds, and answers with the totals; without the duty, with none.
    pub fn heard(&self, post: &Post, from: Node, tag: u64, calls: &[(u64, f64, f32)]) {
        let (epoch, totals) = match self.agree.leads() {
            Some(epoch) => (epoch, self.add(epoch, from, calls)),
            None => (0, Vec::new()),
        };
        post.send(from, &Word::Counted { tag, epoch, totals });
    }

    fn add(&self, epoch: u64, from: Node, calls: &[(u64, f64, f32)]) -> Vec<f64> {
        let mut held = self.counters.borrow_mut();
        if held.as_ref().is_none_or(|(e, _)| *e != epoch) {
            *held = Some((epoch, Counters::new(epoch)));
            self.rates.set(None);
        }
        let Some((_, counters)) = held.as_mut() else { return Vec::new() };
        if let Some(agreed) = self.agree.agreed().filter(|a| self.rates.get() != Some(a.stamp)) {
            self.rates.set(Some(agreed.stamp));
            if let Ok(tables) = Tables::new(&agreed.document, &self.zones) {
                tables.tenants().iter().for_each(|t| counters.quota(t.customer, t.rate));
            }
        }
        let now = self.clock.now();
        let calls = calls.iter().take(CALLS_MOST);
        calls.map(|(name, amount, life)| counters.add(now, from, *name, *amount, f64::from(*life))).collect()
    }
}
