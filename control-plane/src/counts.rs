//! The counters of the holder. A new one is told by the gateways what they had told the one before, and answers as
//! soon as that is whole: when all that are alive have told, or after so long.

use crate::agree::Agree;
use crate::clock::Clock;
use lupinledge_config::{Tables, Tenant};
use lupinledge_consensus::Node;
use lupinledge_counters::handover::{HandoverEntry, HandoverPart};
use lupinledge_counters::holder::{Answer, CounterHolder, GatewayStatus, HandoverStatus};
use lupinledge_counters::store::{Quota, Reading};
use lupinledge_counters::{Incarnation, Total};
use lupinledge_gossip::Gossip;
use lupinledge_membership::{Member, Standing};
use lupinledge_messaging::{
    from_fixed, round_of_epoch, to_fixed, NameReport, NameTotal, Transport, WireMessage,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

const CALLS_MOST: usize = 4096;
const TICK: Duration = Duration::from_millis(250);
/// While the counters are not whole, those that have not told are asked again so often.
const ASK: Duration = Duration::from_millis(50);

/// A total as it goes over the network.
fn told_total(total: Total) -> NameTotal {
    NameTotal(to_fixed(total.counted), total.level.map(to_fixed))
}

pub struct Counts {
    clock: Rc<Clock>,
    agree: Rc<Agree>,
    /// Those of the epoch that was won last.
    duty: RefCell<CounterHolder>,
    zones: BTreeMap<String, String>,
    /// Up to which document the rates were taken over.
    rates: Cell<Option<lupinledge_consensus::Ballot>>,
}

impl Counts {
    pub fn new(clock: Rc<Clock>, agree: Rc<Agree>, zones: BTreeMap<String, String>) -> Rc<Counts> {
        Rc::new(Counts { clock, agree, zones, duty: RefCell::default(), rates: Cell::new(None) })
    }

    /// From here on silences are looked for: a pause of this process is none of the others'.
    pub fn run(self: &Rc<Counts>, gossip: Rc<Gossip>) {
        let counts = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let whole = counts.look(&gossip);
                let _ = timeout(if whole { TICK } else { ASK }, counts.agree.changed()).await;
            }
        });
    }

    /// Looks after the counters; returns whether they are whole, or another's.
    fn look(&self, gossip: &Gossip) -> bool {
        let Some(epoch) = self.agree.leads() else { return true };
        self.hold(epoch);
        let seen = |m: &Member| {
            let (alive, gone) = (m.standing == Standing::Alive, m.standing == Standing::Gone);
            GatewayStatus { node: m.node, alive, leaving: m.card.leaving, gone }
        };
        let gateways: Vec<GatewayStatus> =
            gossip.with_membership(|swarm| swarm.members().filter(|m| !m.card.core).map(seen).collect());
        let ask = |nodes: Vec<Node>| {
            nodes.into_iter().for_each(|n| gossip.post().send_datagram(n, &WireMessage::NewHolder { epoch }))
        };
        match self.duty.borrow_mut().poll(self.clock.now(), &gateways) {
            HandoverStatus::Serving(nodes) => ask(nodes),
            HandoverStatus::Collecting(nodes) => {
                ask(nodes);
                return false;
            }
            HandoverStatus::Completed(answers, missing) => {
                tracing::info!(event = "counters_whole", epoch, missing, waiting = answers.len());
                for Answer { from, tag, totals } in answers {
                    let totals = totals.into_iter().map(told_total).collect();
                    gossip
                        .post()
                        .send(from.0, &WireMessage::Totals { tag, round: round_of_epoch(epoch), totals });
                }
            }
        }
        true
    }

    /// Any word of another process.
    pub fn lives(&self, from: Node) {
        if let Some(counters) = self.duty.borrow_mut().counters() {
            counters.record_contact(self.clock.now(), from);
        }
    }

    /// What a gateway told the holder before this one.
    pub fn told(&self, from: Incarnation, to: u64, told: &[NameReport], (index, count): (u8, u8)) {
        let Some(epoch) = self.agree.leads().filter(|e| *e == to) else { return };
        let told = told.iter().take(CALLS_MOST).map(|t| {
            let store = t.store.map(|(level, age)| Reading { level, age: f64::from(age) });
            let life = f64::from(t.life);
            HandoverEntry { name: t.name, sum: t.sum, within: t.within, total: t.total, life, store }
        });
        let part = HandoverPart { index, count, entries: told.collect() };
        self.hold(epoch);
        self.duty.borrow_mut().receive_handover(self.clock.now(), epoch, from, &part);
    }

    /// Takes sums, and answers with the totals as soon as they are whole; without the duty, with none.
    pub fn heard(&self, post: &Transport, from: Incarnation, tag: u64, calls: &[(u64, i64, u16)]) {
        let Some(epoch) = self.agree.leads() else {
            return post.send(from.0, &WireMessage::Totals { tag, round: 0, totals: Vec::new() });
        };
        self.hold(epoch);
        let calls = calls.iter().take(CALLS_MOST);
        let calls = calls.map(|(name, sum, life)| (*name, from_fixed(*sum), f64::from(*life)));
        if let Some(totals) = self.duty.borrow_mut().apply_call(self.clock.now(), from, tag, calls) {
            let totals = totals.into_iter().map(told_total).collect();
            post.send(from.0, &WireMessage::Totals { tag, round: round_of_epoch(epoch), totals });
        }
    }

    /// Turns to an epoch, with the quotas of the newest document.
    fn hold(&self, epoch: u64) {
        let mut duty = self.duty.borrow_mut();
        if duty.start_epoch(self.clock.now(), epoch) {
            self.rates.set(None);
        }
        let Some(counters) = duty.counters() else { return };
        if let Some(agreed) = self.agree.agreed().filter(|a| self.rates.get() != Some(a.ballot)) {
            self.rates.set(Some(agreed.ballot));
            if let Ok(tables) = Tables::new(&agreed.document, &self.zones) {
                let quota = |t: &Tenant| Quota { rate: t.rate, size: t.bucket_capacity() };
                tables.tenants().iter().for_each(|t| counters.set_quota(t.id, quota(t)));
            }
        }
    }
}
