//! A process of the edge, of its pure parts: membership, news, calls to the counters.

use crate::patch_flaws;
use crate::process::{card, send, Effects, Message, Observation};
use crate::world::{Effect, StartContext};
use crate::{Flaw, Node};
use lupinledge_config::Document;
use lupinledge_consensus::{Ballot, PersistentState};
use lupinledge_counters::local_sums::LocalSums;
use lupinledge_counters::Total;
use lupinledge_membership::{Disseminator, GossipMessage, Update};
use std::collections::VecDeque;
use std::rc::Rc;

/// Seconds between two calls to the counters, and how long a name lives there.
const COUNT: f64 = 0.5;
pub const NAME_LIFE: f64 = 600.0;
/// The clock is asked for so often, and so long, seconds.
const CLOCK: f64 = 0.3;
const CLOCK_WAIT: f64 = 3.0;
/// Calls without an answer.
const WAITING_MOST: usize = 64;
/// The counters that all edge nodes add to: of two customers, names of use.
pub const NAMES: [u64; 2] = [1 << 24, 2 << 24];

struct Call {
    tag: u64,
    to: Node,
    sums: Vec<f64>,
}

/// See the module.
pub struct Edge {
    /// Membership and news.
    pub disseminator: Disseminator,
    /// By what it works.
    pub document: Option<(Ballot, Rc<Document>)>,
    /// Clients come here.
    pub ready: bool,
    flaw: Flaw,
    /// When it took a document last.
    took: f64,
    old: patch_flaws::Old,
    pub(crate) incarnation: u32,
    own: LocalSums,
    holder: (u64, Node),
    /// Whom to ask for the clock, when next, and whether it is known.
    seeds: Vec<Node>,
    began: f64,
    clock_at: f64,
    clock: bool,
    count_at: f64,
    tag: u64,
    calls: VecDeque<Call>,
}

impl Edge {
    /// Begins with nothing.
    pub fn new(me: Node, context: StartContext<PersistentState>, seeds: &[Node], flaw: Flaw) -> Edge {
        let StartContext { now, run_id, seed, .. } = context;
        let swarm = lupinledge_membership::Settings::new(me, run_id, card(me, false), seeds.to_vec(), seed);
        Edge {
            disseminator: Disseminator::new(now, swarm, true),
            document: None,
            ready: false,
            flaw,
            took: f64::NEG_INFINITY,
            old: patch_flaws::Old::new(),
            incarnation: run_id as u32,
            own: LocalSums::default(),
            holder: (0, 0),
            seeds: seeds.to_vec(),
            began: now,
            clock_at: now,
            clock: false,
            count_at: now,
            tag: 0,
            calls: VecDeque::new(),
        }
    }

    pub(crate) fn next_wake(&self) -> f64 {
        let clock = if self.clock { f64::INFINITY } else { self.clock_at };
        self.disseminator.next_wake().min(self.count_at).min(clock)
    }

    pub(crate) fn tick(&mut self, now: f64, out: &mut Effects) {
        if now >= self.disseminator.next_wake() {
            let sends = self.disseminator.tick(now);
            self.send(sends, out);
        }
        if now >= self.count_at {
            self.count_at = now + COUNT;
            self.count(now, out);
        }
        if !self.clock && now >= self.clock_at {
            self.clock_at = if now < self.began + CLOCK_WAIT { now + CLOCK } else { f64::INFINITY };
            let holder = Some(self.holder.1).filter(|node| *node != 0 && !self.seeds.contains(node));
            let asked = self.seeds.iter().copied().chain(holder);
            out.extend(asked.map(|node| Effect::SendDatagram(node, Message::ClockRequest)));
        }
        self.show(now, out);
    }

    fn send(&self, mut sends: lupinledge_membership::Outgoing, out: &mut Effects) {
        if self.flaw == Flaw::DeafEdge && self.ready {
            sends.retain(|(_, said)| !matches!(said, GossipMessage::Fetch(_)));
        }
        send(sends, out);
    }

    pub(crate) fn heard(&mut self, now: f64, from: Node, say: Message, out: &mut Effects) {
        match say {
            Message::Gossip(said) => {
                if let Some((ballot, bytes)) = patch_flaws::older(self.flaw, &mut self.old, &said) {
                    self.follow(ballot, &bytes, out);
                }
                if let Some((ballot, bytes)) =
                    patch_flaws::spoilt(self.flaw, self.disseminator.store(), &said)
                {
                    self.follow(ballot, &bytes, out);
                }
                let (fresh, sends) = self.disseminator.receive(now, from, said);
                self.send(sends, out);
                let fresh = fresh.map(|news| patch_flaws::merged(self.flaw, now, &mut self.took, news));
                fresh.into_iter().for_each(|news| self.news(now, news, out));
            }
            // ahead of the digests
            Message::HandoverRequest { epoch } => {
                let news = Update { epoch: Some((epoch, from)), ..Update::default() };
                let (fresh, sends) = self.disseminator.publish(news, lupinledge_membership::Source::Settled);
                self.send(sends, out);
                fresh.into_iter().for_each(|news| self.news(now, news, out));
                if self.holder == (epoch, from) {
                    self.tell(now, out);
                }
            }
            Message::CounterReply { tag, epoch, totals } => {
                self.counted(now, (from, tag), epoch, &totals, out)
            }
            Message::ClockReply => self.clock = true,
            _ => {}
        }
        self.show(now, out);
    }

    fn news(&mut self, now: f64, fresh: Update, out: &mut Effects) {
        if let Some(holder) = fresh.epoch {
            self.holder = holder;
            self.calls.clear();
            self.tell(now, out);
        }
        if let Some((ballot, bytes)) = &fresh.state {
            self.follow(*ballot, bytes, out);
        }
    }

    /// As in the data plane's start: with the holder and its clock known (or not in time), and a document.
    fn show(&mut self, now: f64, out: &mut Effects) {
        let clock = self.clock || now >= self.began + CLOCK_WAIT;
        let known = clock && self.document.is_some() || self.flaw == Flaw::ReadyBare;
        if !self.ready && known && self.holder.1 != 0 {
            self.ready = true;
            self.disseminator.set_card(|card| card.ready = true);
            out.push(Effect::Observe(Observation::BecameReady));
        }
    }

    fn follow(&mut self, (epoch, index): (u64, u64), bytes: &[u8], out: &mut Effects) {
        let document = match bytes.is_empty() {
            true => Document::default(),
            false => rmp_serde::from_slice(bytes).expect("written by the core"),
        };
        let (ballot, document) = (Ballot { epoch, index }, Rc::new(document));
        self.document = Some((ballot, document.clone()));
        out.push(Effect::Observe(Observation::DocumentApplied(ballot, document)));
    }

    /// Tells a new holder what the one before was told.
    fn tell(&self, now: f64, out: &mut Effects) {
        let told = self.own.handover(now);
        let (epoch, holder) = self.holder;
        out.push(Effect::SendReliable(
            holder,
            Message::Handover { epoch, incarnation: self.incarnation, told },
        ));
    }

    /// Adds one to each counter at the holder.
    fn count(&mut self, now: f64, out: &mut Effects) {
        if self.holder.1 == 0 {
            return;
        }
        let mut sums = Vec::new();
        for name in NAMES {
            sums.push(self.own.add(now, name, 1.0, NAME_LIFE).expect("there is room"));
            out.push(Effect::Observe(Observation::CounterIncreased { name, amount: 1.0 }));
        }
        self.tag += 1;
        if self.calls.len() == WAITING_MOST {
            self.calls.pop_front();
        }
        let (tag, to, incarnation) = (self.tag, self.holder.1, self.incarnation);
        let calls = NAMES.into_iter().zip(sums.iter().copied()).collect();
        self.calls.push_back(Call { tag, to, sums });
        out.push(Effect::SendReliable(to, Message::CounterCall { tag, incarnation, calls }));
    }

    fn counted(&mut self, now: f64, (from, tag): (Node, u64), epoch: u64, totals: &[f64], out: &mut Effects) {
        let Some(at) = self.calls.iter().position(|call| call.tag == tag && call.to == from) else { return };
        let Some(call) = self.calls.remove(at) else { return };
        if totals.len() == NAMES.len() {
            let totals: Vec<(u64, f64)> = NAMES.into_iter().zip(totals.iter().copied()).collect();
            for ((name, total), sum) in totals.iter().zip(&call.sums) {
                self.own.record_total(now, *name, *sum, Total { counted: *total, level: None });
            }
            out.push(Effect::Observe(Observation::TotalsReceived { epoch, totals }));
        }
    }
}
