//! The counters of the holder. A new one is told by the gateways what they had told the one before, and answers as
//! soon as that is whole: when all that are alive have told, or after so long.

use crate::clock::Clock;
use crate::consensus_driver::ConsensusDriver;
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

const MAX_CALLS: usize = 4096;
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// While the counters are not whole, those that have not told are asked again so often.
const COLLECT_INTERVAL: Duration = Duration::from_millis(50);

/// A total as it goes over the network.
fn name_total(total: Total) -> NameTotal {
    NameTotal(to_fixed(total.counted), total.level.map(to_fixed))
}

pub struct CounterService {
    clock: Rc<Clock>,
    consensus: Rc<ConsensusDriver>,
    /// Those of the epoch that was won last.
    holder: RefCell<CounterHolder>,
    zones: BTreeMap<String, String>,
    /// Up to which document the rates were taken over.
    rates_ballot: Cell<Option<lupinledge_consensus::Ballot>>,
}

impl CounterService {
    pub fn new(
        clock: Rc<Clock>,
        consensus: Rc<ConsensusDriver>,
        zones: BTreeMap<String, String>,
    ) -> Rc<CounterService> {
        Rc::new(CounterService {
            clock,
            consensus,
            zones,
            holder: RefCell::default(),
            rates_ballot: Cell::new(None),
        })
    }

    /// From here on silences are looked for: a pause of this process is none of the others'.
    pub fn run(self: &Rc<CounterService>, gossip: Rc<Gossip>) {
        let service = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let whole = service.poll_holder(&gossip);
                let _ = timeout(
                    if whole { POLL_INTERVAL } else { COLLECT_INTERVAL },
                    service.consensus.leadership_changed(),
                )
                .await;
            }
        });
    }

    /// Looks after the counters; returns whether they are whole, or another's.
    fn poll_holder(&self, gossip: &Gossip) -> bool {
        let Some(epoch) = self.consensus.leading_epoch() else { return true };
        self.start_epoch(epoch);
        let gateway_status = |m: &Member| {
            let (alive, gone) = (m.standing == Standing::Alive, m.standing == Standing::Gone);
            GatewayStatus { node: m.node, alive, leaving: m.card.leaving, gone }
        };
        let gateways: Vec<GatewayStatus> = gossip.with_membership(|membership| {
            membership.members().filter(|m| !m.card.core).map(gateway_status).collect()
        });
        let announce = |nodes: Vec<Node>| {
            nodes.into_iter().for_each(|n| gossip.post().send_datagram(n, &WireMessage::NewHolder { epoch }))
        };
        match self.holder.borrow_mut().poll(self.clock.now(), &gateways) {
            HandoverStatus::Serving(nodes) => announce(nodes),
            HandoverStatus::Collecting(nodes) => {
                announce(nodes);
                return false;
            }
            HandoverStatus::Completed(answers, missing) => {
                tracing::info!(event = "counters_whole", epoch, missing, waiting = answers.len());
                for Answer { from, tag, totals } in answers {
                    let totals = totals.into_iter().map(name_total).collect();
                    gossip
                        .post()
                        .send(from.0, &WireMessage::Totals { tag, round: round_of_epoch(epoch), totals });
                }
            }
        }
        true
    }

    /// Any word of another process.
    pub fn record_contact(&self, from: Node) {
        if let Some(counters) = self.holder.borrow_mut().counters() {
            counters.record_contact(self.clock.now(), from);
        }
    }

    /// What a gateway told the holder before this one.
    pub fn receive_handover(
        &self,
        from: Incarnation,
        to_epoch: u64,
        reports: &[NameReport],
        (index, count): (u8, u8),
    ) {
        let Some(epoch) = self.consensus.leading_epoch().filter(|epoch| *epoch == to_epoch) else { return };
        let entries = reports.iter().take(MAX_CALLS).map(|report| {
            let store = report.store.map(|(level, age)| Reading { level, age: f64::from(age) });
            let life = f64::from(report.life);
            HandoverEntry {
                name: report.name,
                sum: report.sum,
                within: report.within,
                total: report.total,
                life,
                store,
            }
        });
        let part = HandoverPart { index, count, entries: entries.collect() };
        self.start_epoch(epoch);
        self.holder.borrow_mut().receive_handover(self.clock.now(), epoch, from, &part);
    }

    /// Takes sums, and answers with the totals as soon as they are whole; without the duty, with none.
    pub fn apply_sums(&self, transport: &Transport, from: Incarnation, tag: u64, calls: &[(u64, i64, u16)]) {
        let Some(epoch) = self.consensus.leading_epoch() else {
            return transport.send(from.0, &WireMessage::Totals { tag, round: 0, totals: Vec::new() });
        };
        self.start_epoch(epoch);
        let calls = calls.iter().take(MAX_CALLS);
        let calls = calls.map(|(name, sum, life)| (*name, from_fixed(*sum), f64::from(*life)));
        if let Some(totals) = self.holder.borrow_mut().apply_call(self.clock.now(), from, tag, calls) {
            let totals = totals.into_iter().map(name_total).collect();
            transport.send(from.0, &WireMessage::Totals { tag, round: round_of_epoch(epoch), totals });
        }
    }

    /// Turns to an epoch, with the quotas of the newest document.
    fn start_epoch(&self, epoch: u64) {
        let mut holder = self.holder.borrow_mut();
        if holder.start_epoch(self.clock.now(), epoch) {
            self.rates_ballot.set(None);
        }
        let Some(counters) = holder.counters() else { return };
        if let Some(committed_document) =
            self.consensus.committed_document().filter(|a| self.rates_ballot.get() != Some(a.ballot))
        {
            self.rates_ballot.set(Some(committed_document.ballot));
            if let Ok(tables) = Tables::new(&committed_document.document, &self.zones) {
                let quota = |t: &Tenant| Quota { rate: t.rate, size: t.store_size() };
                tables.tenants().iter().for_each(|t| counters.set_quota(t.customer, quota(t)));
            }
        }
    }
}
