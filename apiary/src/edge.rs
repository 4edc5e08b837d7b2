//! A process of the edge, of its pure parts: membership, news, calls to the counters.

use crate::process::{card, send, Out, Say, Told};
use crate::world::{Begin, Order};
use crate::{Flaw, Node};
use lupinledge_nectar::own::Own;
use lupinledge_propolis::Document;
use lupinledge_queen::{Kept, Stamp};
use lupinledge_waggle::{News, Said, Spread};
use std::collections::VecDeque;
use std::rc::Rc;

/// Seconds between two calls to the counters, and how long a name lives there.
const COUNT: f64 = 0.5;
pub const NAME_LIFE: f64 = 600.0;
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
    pub spread: Spread,
    /// By what it works.
    pub document: Option<(Stamp, Rc<Document>)>,
    /// Clients come here.
    pub ready: bool,
    flaw: Flaw,
    life: u16,
    own: Own,
    holder: (u64, Node),
    count_at: f64,
    tag: u64,
    calls: VecDeque<Call>,
}

impl Edge {
    /// Begins with nothing.
    pub fn new(me: Node, begin: Begin<Kept>, seeds: &[Node], flaw: Flaw) -> Edge {
        let Begin { now, run, seed, .. } = begin;
        let swarm = lupinledge_waggle::Settings::new(me, run, card(me, false), seeds.to_vec(), seed);
        Edge {
            spread: Spread::new(now, swarm, true),
            document: None,
            ready: false,
            flaw,
            life: run as u16,
            own: Own::default(),
            holder: (0, 0),
            count_at: now,
            tag: 0,
            calls: VecDeque::new(),
        }
    }

    pub(crate) fn next_wake(&self) -> f64 {
        self.spread.next_wake().min(self.count_at)
    }

    pub(crate) fn tick(&mut self, now: f64, out: &mut Out) {
        if now >= self.spread.next_wake() {
            let sends = self.spread.tick(now);
            self.send(sends, out);
        }
        if now >= self.count_at {
            self.count_at = now + COUNT;
            self.count(now, out);
        }
    }

    fn send(&self, mut sends: lupinledge_waggle::Sends, out: &mut Out) {
        if self.flaw == Flaw::DeafEdge && self.ready {
            sends.retain(|(_, said)| !matches!(said, Said::Want(_)));
        }
        send(sends, out);
    }

    pub(crate) fn heard(&mut self, now: f64, from: Node, say: Say, out: &mut Out) {
        match say {
            Say::Spread(said) => {
                if let (Flaw::OlderNews, Said::News { state: Some((stamp, bytes)), .. }) = (self.flaw, &said)
                {
                    self.follow(*stamp, bytes, out);
                }
                let (fresh, sends) = self.spread.heard(now, from, said);
                self.send(sends, out);
                fresh.into_iter().for_each(|news| self.news(now, news, out));
            }
            // ahead of the digests
            Say::Hold { epoch } => {
                let news = News { epoch: Some((epoch, from)), ..News::default() };
                let (fresh, sends) = self.spread.tell(news, lupinledge_waggle::Source::Settled);
                self.send(sends, out);
                fresh.into_iter().for_each(|news| self.news(now, news, out));
                if self.holder == (epoch, from) {
                    self.tell(now, out);
                }
            }
            Say::Counted { tag, epoch, totals } => self.counted(from, tag, epoch, &totals, out),
            _ => {}
        }
    }

    fn news(&mut self, now: f64, fresh: News, out: &mut Out) {
        if let Some(holder) = fresh.epoch {
            self.holder = holder;
            self.calls.clear();
            self.tell(now, out);
        }
        if let Some((stamp, bytes)) = &fresh.state {
            self.follow(*stamp, bytes, out);
        }
        let known = self.document.is_some() || self.flaw == Flaw::ReadyBare;
        if !self.ready && known && self.holder.1 != 0 {
            self.ready = true;
            self.spread.set_card(|card| card.ready = true);
            out.push(Order::Tell(Told::Ready));
        }
    }

    fn follow(&mut self, (epoch, index): (u64, u64), bytes: &[u8], out: &mut Out) {
        let document = match bytes.is_empty() {
            true => Document::default(),
            false => rmp_serde::from_slice(bytes).expect("written by the core"),
        };
        let (stamp, document) = (Stamp { epoch, index }, Rc::new(document));
        self.document = Some((stamp, document.clone()));
        out.push(Order::Tell(Told::Took(stamp, document)));
    }

    /// Tells a new holder what the one before was told.
    fn tell(&self, now: f64, out: &mut Out) {
        let told = self.own.told(now);
        out.push(Order::Send(self.holder.1, Say::Told { life: self.life, told }));
    }

    /// Adds one to each counter at the holder.
    fn count(&mut self, now: f64, out: &mut Out) {
        if self.holder.1 == 0 {
            return;
        }
        let mut sums = Vec::new();
        for name in NAMES {
            sums.push(self.own.add(now, name, 1.0, NAME_LIFE));
            out.push(Order::Tell(Told::Added { name, amount: 1.0 }));
        }
        self.tag += 1;
        if self.calls.len() == WAITING_MOST {
            self.calls.pop_front();
        }
        let (tag, to, life) = (self.tag, self.holder.1, self.life);
        let calls = NAMES.into_iter().zip(sums.iter().copied()).collect();
        self.calls.push_back(Call { tag, to, sums });
        out.push(Order::Send(to, Say::Count { tag, life, calls }));
    }

    fn counted(&mut self, from: Node, tag: u64, epoch: u64, totals: &[f64], out: &mut Out) {
        let Some(at) = self.calls.iter().position(|call| call.tag == tag && call.to == from) else { return };
        let Some(call) = self.calls.remove(at) else { return };
        if totals.len() == NAMES.len() {
            let totals: Vec<(u64, f64)> = NAMES.into_iter().zip(totals.iter().copied()).collect();
            for ((name, total), sum) in totals.iter().zip(&call.sums) {
                self.own.total(*name, *sum, *total);
            }
            out.push(Order::Tell(Told::Counted { epoch, totals }));
        }
    }
}
