//! The shared counters that the leader holds. A new holder collects what the gateways had reported to the previous one,
//! and answers calls once all live gateways have reported, or after a time limit.

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

/// Entries of one message that are read at most.
const MAX_CALLS: usize = 4096;
/// Interval at which a holder with complete counters checks the gateways.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which missing gateways are asked again while the counters are incomplete.
const COLLECT_INTERVAL: Duration = Duration::from_millis(50);

/// A total in its wire format.
fn name_total(total: Total) -> NameTotal {
    NameTotal(to_fixed(total.counted), total.level.map(to_fixed))
}

/// Runs the counter holder while this process leads.
pub struct CounterService {
    clock: Rc<Clock>,
    consensus: Rc<ConsensusDriver>,
    /// The counters of the epoch that this process led last.
    holder: RefCell<CounterHolder>,
    zones: BTreeMap<String, String>,
    /// The ballot of the document whose quotas are applied.
    rates_ballot: Cell<Option<lupinledge_consensus::Ballot>>,
}

impl CounterService {
    /// A service without counters, until this process leads.
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

    /// Starts checking for silent gateways; a pause of this process does not count as silence of the gateways.
    pub fn run(self: &Rc<CounterService>, gossip: Rc<Gossip>) {
        let service = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let complete = service.poll_holder(&gossip);
                let _ = timeout(
                    if complete { POLL_INTERVAL } else { COLLECT_INTERVAL },
                    service.consensus.leadership_changed(),
                )
                .await;
            }
        });
    }

    /// Polls the holder once; returns `false` while the counters are incomplete.
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

    /// Notes that there was a message from another process.
    pub fn record_contact(&self, from: Node) {
        if let Some(counters) = self.holder.borrow_mut().counters() {
            counters.record_contact(self.clock.now(), from);
        }
    }

    /// Takes a part of what a gateway had reported to the previous holder.
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
                counted_in_total: report.counted_in_total,
                total: report.total,
                life,
                store,
            }
        });
        let part = HandoverPart { index, count, entries: entries.collect() };
        self.start_epoch(epoch);
        self.holder.borrow_mut().receive_handover(self.clock.now(), epoch, from, &part);
    }

    /// Applies the sums of a gateway, and answers with the totals once the counters are complete. If this process does
    /// not lead, the answer has no totals.
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

    /// Starts the counters of an epoch if they are not running, with the quotas of the newest document.
    fn start_epoch(&self, epoch: u64) {
        let mut holder = self.holder.borrow_mut();
        if holder.start_epoch(self.clock.now(), epoch) {
            self.rates_ballot.set(None);
        }
        let Some(counters) = holder.counters() else { return };
        if let Some(committed_document) = self
            .consensus
            .committed_document()
            .filter(|committed| self.rates_ballot.get() != Some(committed.ballot))
        {
            self.rates_ballot.set(Some(committed_document.ballot));
            if let Ok(tables) = Tables::new(&committed_document.document, &self.zones) {
                let quota = |t: &Tenant| Quota { rate: t.rate, size: t.bucket_capacity() };
                tables.tenants().iter().for_each(|t| counters.set_quota(t.id, quota(t)));
            }
        }
    }
}
