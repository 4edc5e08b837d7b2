//! An edge process (a gateway) assembled from the system's deterministic parts: membership, updates and counter calls.

use crate::patch_flaws;
use crate::process::{card, send_gossip, Effects, Message, Observation};
use crate::world::{Effect, StartContext};
use crate::{Flaw, Node};
use lupinledge_config::Document;
use lupinledge_consensus::{Ballot, PersistentState};
use lupinledge_counters::local_sums::LocalSums;
use lupinledge_counters::Total;
use lupinledge_membership::{Disseminator, GossipMessage, Update};
use std::collections::VecDeque;
use std::rc::Rc;

/// Seconds between two calls to the counter holder.
const CALL_INTERVAL: f64 = 0.5;
/// Seconds that a counter's name is kept after its last use.
pub const NAME_LIFE: f64 = 600.0;
/// Seconds between two requests for the holder's clock, and after which a node starts without it.
const CLOCK_INTERVAL: f64 = 0.3;
const CLOCK_TIMEOUT: f64 = 3.0;
/// Maximum number of calls without a reply.
const MAX_CALLS: usize = 64;
/// The counters that all edge nodes add to: usage counters of two customers.
pub const NAMES: [u64; 2] = [1 << 24, 2 << 24];

struct Call {
    tag: u64,
    to: Node,
    sums: Vec<f64>,
}

/// An edge process.
pub struct Edge {
    /// Membership and updates.
    pub disseminator: Disseminator,
    /// The document that the process serves by.
    pub document: Option<(Ballot, Rc<Document>)>,
    /// Whether the process accepts clients.
    pub ready: bool,
    flaw: Flaw,
    /// When it last received a document.
    document_received_at: f64,
    documents: patch_flaws::DocumentsByChecksum,
    pub(crate) incarnation: u32,
    local_sums: LocalSums,
    holder: (u64, Node),
    seeds: Vec<Node>,
    started_at: f64,
    next_clock_request: f64,
    /// Whether the holder's clock is known.
    clock_known: bool,
    next_call: f64,
    last_tag: u64,
    calls: VecDeque<Call>,
}

impl Edge {
    /// Starts without a document.
    pub fn new(me: Node, context: StartContext<PersistentState>, seeds: &[Node], flaw: Flaw) -> Edge {
        let StartContext { now, run_id, seed, .. } = context;
        let membership =
            lupinledge_membership::Settings::new(me, run_id, card(me, false), seeds.to_vec(), seed);
        Edge {
            disseminator: Disseminator::new(now, membership, true),
            document: None,
            ready: false,
            flaw,
            document_received_at: f64::NEG_INFINITY,
            documents: patch_flaws::DocumentsByChecksum::new(),
            incarnation: run_id as u32,
            local_sums: LocalSums::default(),
            holder: (0, 0),
            seeds: seeds.to_vec(),
            started_at: now,
            next_clock_request: now,
            clock_known: false,
            next_call: now,
            last_tag: 0,
            calls: VecDeque::new(),
        }
    }

    pub(crate) fn next_wake(&self) -> f64 {
        let clock_request = if self.clock_known { f64::INFINITY } else { self.next_clock_request };
        self.disseminator.next_wake().min(self.next_call).min(clock_request)
    }

    pub(crate) fn tick(&mut self, now: f64, out: &mut Effects) {
        if now >= self.disseminator.next_wake() {
            let messages = self.disseminator.tick(now);
            self.send(messages, out);
        }
        if now >= self.next_call {
            self.next_call = now + CALL_INTERVAL;
            self.call_holder(now, out);
        }
        if !self.clock_known && now >= self.next_clock_request {
            self.next_clock_request =
                if now < self.started_at + CLOCK_TIMEOUT { now + CLOCK_INTERVAL } else { f64::INFINITY };
            let holder = Some(self.holder.1).filter(|node| *node != 0 && !self.seeds.contains(node));
            let nodes = self.seeds.iter().copied().chain(holder);
            out.extend(nodes.map(|node| Effect::SendDatagram(node, Message::ClockRequest)));
        }
        self.update_readiness(now, out);
    }

    fn send(&self, mut messages: lupinledge_membership::Outgoing, out: &mut Effects) {
        if self.flaw == Flaw::DeafEdge && self.ready {
            messages.retain(|(_, message)| !matches!(message, GossipMessage::Fetch(_)));
        }
        send_gossip(messages, out);
    }

    pub(crate) fn handle_message(&mut self, now: f64, from: Node, message: Message, out: &mut Effects) {
        match message {
            Message::Gossip(message) => {
                if let Some((ballot, bytes)) =
                    patch_flaws::accept_older(self.flaw, &mut self.documents, &message)
                {
                    self.apply_document(ballot, &bytes, out);
                }
                if let Some((ballot, bytes)) =
                    patch_flaws::misapplied(self.flaw, self.disseminator.store(), &message)
                {
                    self.apply_document(ballot, &bytes, out);
                }
                let (fresh, messages) = self.disseminator.receive(now, from, message);
                self.send(messages, out);
                let fresh = fresh.map(|update| {
                    patch_flaws::drop_rapid_state(self.flaw, now, &mut self.document_received_at, update)
                });
                fresh.into_iter().for_each(|update| self.apply_update(now, update, out));
            }
            // This names the new holder before the gossip digests do.
            Message::HandoverRequest { epoch } => {
                let update = Update { epoch: Some((epoch, from)), ..Update::default() };
                let (fresh, messages) =
                    self.disseminator.publish(update, lupinledge_membership::Source::Settled);
                self.send(messages, out);
                fresh.into_iter().for_each(|update| self.apply_update(now, update, out));
                if self.holder == (epoch, from) {
                    self.send_handover(now, out);
                }
            }
            Message::CounterReply { tag, epoch, totals } => {
                self.handle_counter_reply(now, (from, tag), epoch, &totals, out)
            }
            Message::ClockReply => self.clock_known = true,
            _ => {}
        }
        self.update_readiness(now, out);
    }

    fn apply_update(&mut self, now: f64, update: Update, out: &mut Effects) {
        if let Some(holder) = update.epoch {
            self.holder = holder;
            self.calls.clear();
            self.send_handover(now, out);
        }
        if let Some((ballot, bytes)) = &update.state {
            self.apply_document(*ballot, bytes, out);
        }
    }

    /// Becomes ready as the data plane does at startup: with a document, a known holder, and the holder's clock known
    /// or waited for long enough.
    fn update_readiness(&mut self, now: f64, out: &mut Effects) {
        let clock = self.clock_known || now >= self.started_at + CLOCK_TIMEOUT;
        let complete = clock && self.document.is_some() || self.flaw == Flaw::ReadyBare;
        if !self.ready && complete && self.holder.1 != 0 {
            self.ready = true;
            self.disseminator.set_card(|card| card.ready = true);
            out.push(Effect::Observe(Observation::BecameReady));
        }
    }

    fn apply_document(&mut self, (epoch, index): (u64, u64), bytes: &[u8], out: &mut Effects) {
        let document = match bytes.is_empty() {
            true => Document::default(),
            false => rmp_serde::from_slice(bytes).expect("encoded by the core"),
        };
        let (ballot, document) = (Ballot { epoch, index }, Rc::new(document));
        self.document = Some((ballot, document.clone()));
        out.push(Effect::Observe(Observation::DocumentApplied(ballot, document)));
    }

    /// Sends the holder the sums that were reported to the holders before it.
    fn send_handover(&self, now: f64, out: &mut Effects) {
        let entries = self.local_sums.handover(now);
        let (epoch, holder) = self.holder;
        out.push(Effect::SendReliable(
            holder,
            Message::Handover { epoch, incarnation: self.incarnation, entries },
        ));
    }

    /// Adds one to each counter and sends the sums to the holder.
    fn call_holder(&mut self, now: f64, out: &mut Effects) {
        if self.holder.1 == 0 {
            return;
        }
        let mut sums = Vec::new();
        for name in NAMES {
            sums.push(self.local_sums.add(now, name, 1.0, NAME_LIFE).expect("there is room"));
            out.push(Effect::Observe(Observation::CounterIncreased { name, amount: 1.0 }));
        }
        self.last_tag += 1;
        if self.calls.len() == MAX_CALLS {
            self.calls.pop_front();
        }
        let (tag, to, incarnation) = (self.last_tag, self.holder.1, self.incarnation);
        let calls = NAMES.into_iter().zip(sums.iter().copied()).collect();
        self.calls.push_back(Call { tag, to, sums });
        out.push(Effect::SendReliable(to, Message::CounterCall { tag, incarnation, calls }));
    }

    fn handle_counter_reply(
        &mut self,
        now: f64,
        (from, tag): (Node, u64),
        epoch: u64,
        totals: &[f64],
        out: &mut Effects,
    ) {
        let Some(position) = self.calls.iter().position(|c| c.tag == tag && c.to == from) else { return };
        let Some(call) = self.calls.remove(position) else { return };
        if totals.len() == NAMES.len() {
            let totals: Vec<(u64, f64)> = NAMES.into_iter().zip(totals.iter().copied()).collect();
            for ((name, total), sum) in totals.iter().zip(&call.sums) {
                self.local_sums.record_total(now, *name, *sum, Total { counted: *total, level: None });
            }
            out.push(Effect::Observe(Observation::TotalsReceived { epoch, totals }));
        }
    }
}
