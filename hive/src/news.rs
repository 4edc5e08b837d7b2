//! Passes news on: the holder tells the core and some edge nodes at once, and all answer those who lack some.

use crate::agree::Agree;
use crate::brood::Brood;
use crate::clock::Clock;
use crate::swarm::Members;
use lupinledge_queen::Node;
use lupinledge_waggle::{Digest, Standing};
use lupinledge_wax::list::List;
use lupinledge_wax::{Post, Word};
use serde_bytes::ByteBuf;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// In each other region so many are told; they tell the others there.
const FAR: usize = 2;
/// The same one is asked for news no more often than this.
const ASK_EACH: f64 = 0.3;

pub struct News {
    clock: Rc<Clock>,
    agree: Rc<Agree>,
    brood: Rc<Brood>,
    members: Rc<Members>,
    post: Rc<Post>,
    /// What was told at last.
    told: Cell<Digest>,
    /// The newest list as bytes.
    list: RefCell<Rc<((u64, u64), ByteBuf)>>,
    asked: RefCell<BTreeMap<Node, f64>>,
    /// Bytes of documents and lists sent.
    pub bytes: Cell<u64>,
}

impl News {
    pub fn start(
        clock: Rc<Clock>,
        agree: Rc<Agree>,
        brood: Rc<Brood>,
        members: Rc<Members>,
        post: Rc<Post>,
    ) -> Rc<News> {
        let (told, list, asked) = (Cell::default(), RefCell::default(), RefCell::default());
        let news =
            Rc::new(News { clock, agree, brood, members, post, told, list, asked, bytes: Cell::new(0) });
        let n = news.clone();
        tokio::task::spawn_local(async move {
            loop {
                tokio::select! {
                    _ = n.agree.news.notified() => {}
                    _ = n.brood.renewed.notified() => {}
                }
                n.refresh();
            }
        });
        let n = news.clone();
        tokio::task::spawn_local(async move {
            loop {
                n.members.ahead.notified().await;
                n.ask();
            }
        });
        news
    }

    fn digest(&self) -> Digest {
        let (holder, epoch) = self.agree.last_holder().unwrap_or_default();
        let state = self.agree.agreed().map_or((0, 0), |a| (a.stamp.epoch, a.stamp.index));
        Digest { epoch, holder, state, list: self.brood.list().number }
    }

    /// Tells what this process holds; the holder also tells what is new in it.
    fn refresh(&self) {
        let digest = self.digest();
        self.members.set_digest(digest);
        self.members.tell(|card| card.ready = digest.state > (0, 0));
        // what a former holder had to tell was told by it; gaps are found by digests
        let told = self.told.replace(digest);
        if self.agree.leads().is_none() || !digest.newer(&told) {
            return;
        }
        let list = self.list_since(told.list);
        let state = self.state_since(told.state);
        let (cores, edges) = self.receivers();
        self.count(cores.len(), None, &list);
        self.count(edges.len(), state.as_ref().map(|s| &s.1), &list);
        let to_core = Word::News { digest, state: None, list: list.clone() };
        cores.into_iter().for_each(|core| self.post.send(core, &to_core));
        let to_edge = Word::News { digest, state, list };
        edges.into_iter().for_each(|edge| self.post.send(edge, &to_edge));
    }

    fn count(&self, receivers: usize, state: Option<&ByteBuf>, list: &Option<((u64, u64), ByteBuf)>) {
        let each = state.map_or(0, |s| s.len()) + list.as_ref().map_or(0, |l| l.1.len());
        self.bytes.set(self.bytes.get() + (receivers * each) as u64);
    }

    /// The other members of the core, and the edge nodes that pass news on.
    fn receivers(&self) -> (Vec<Node>, Vec<Node>) {
        let region = self.members.region();
        let (mut cores, mut edges, mut regions) = (Vec::new(), Vec::new(), BTreeSet::new());
        self.members.with(|members| {
            for m in members.filter(|m| m.standing != Standing::Gone) {
                match m.card.core {
                    true => cores.push(m.node),
                    false if m.card.region == region => edges.push(m.node),
                    false => drop(regions.insert(m.card.region.clone())),
                }
            }
        });
        for far in regions {
            edges.extend(self.members.few(FAR, |m| !m.card.core && m.card.region == far));
        }
        (cores, edges)
    }

    fn state_since(&self, had: (u64, u64)) -> Option<((u64, u64), ByteBuf)> {
        let agreed = self.agree.agreed()?;
        let newer = (agreed.stamp.epoch, agreed.stamp.index) > had;
        newer.then(|| ((agreed.stamp.epoch, agreed.stamp.index), agreed.bytes.clone()))
    }

    fn list_since(&self, had: (u64, u64)) -> Option<((u64, u64), ByteBuf)> {
        let newest = self.brood.list();
        if newest.number <= had {
            return None;
        }
        if self.list.borrow().0 != newest.number {
            *self.list.borrow_mut() = Rc::new((newest.number, ByteBuf::from(newest.encode())));
        }
        Some((**self.list.borrow()).clone())
    }

    /// Sends one that asks what is newer here.
    pub fn wanted(&self, from: Node, had: &Digest) {
        let (state, list) = (self.state_since(had.state), self.list_since(had.list));
        self.count(1, state.as_ref().map(|s| &s.1), &list);
        self.post.send(from, &Word::News { digest: self.digest(), state, list });
    }

    /// Takes a list; documents come to the core by agreement alone.
    pub fn heard(&self, list: Option<((u64, u64), ByteBuf)>) {
        let Some((number, bytes)) = list.filter(|l| l.0 > self.brood.list().number) else { return };
        match List::decode(&bytes).filter(|l| l.number == number) {
            Some(list) => self.brood.heard(list),
            None => tracing::warn!(event = "list_spoilt"),
        }
    }

    /// Asks those who hold a newer list.
    fn ask(&self) {
        while let Some((node, digest)) = self.members.ahead() {
            let now = self.clock.now();
            let own = self.digest();
            let mut asked = self.asked.borrow_mut();
            asked.retain(|_, at| now - *at < ASK_EACH);
            if digest.list > own.list && !asked.contains_key(&node) {
                asked.insert(node, now);
                self.post.send(node, &Word::Want(own));
            }
        }
    }
}
