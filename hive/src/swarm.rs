//! Drives the membership: carries its packets, and tells where clients may go.

use crate::clock::Clock;
use lupinledge_waggle::{Card, Digest, Member, Node, Packet, Settings, Standing, Swarm};
use lupinledge_wax::{Post, Word};
use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

const FRONTS_MOST: usize = 64;
const SOON: f64 = 0.002;

/// All processes as seen from here.
pub struct Members {
    clock: Rc<Clock>,
    swarm: RefCell<Swarm>,
    post: OnceCell<Rc<Post>>,
    card: RefCell<Card>,
    due: Cell<f64>,
    wake: Notify,
    /// Told when another one holds something newer.
    pub ahead: Notify,
    turn: Cell<usize>,
}

impl Members {
    pub fn start(clock: Rc<Clock>, settings: Settings) -> Rc<Members> {
        let card = RefCell::new(settings.card.clone());
        let swarm = RefCell::new(Swarm::new(clock.now(), settings));
        let (due, wake, ahead) = (Cell::new(0.0), Notify::new(), Notify::new());
        Rc::new(Members { clock, swarm, post: OnceCell::new(), card, due, wake, ahead, turn: Cell::new(0) })
    }

    pub fn run(self: &Rc<Members>, post: Rc<Post>) {
        let _ = self.post.set(post);
        let members = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let wait = (members.due.get() - members.clock.now()).clamp(0.001, 1.0);
                tokio::select! {
                    _ = sleep(Duration::from_secs_f64(wait)) => members.turn(|swarm, now| swarm.tick(now)),
                    _ = members.wake.notified() => {}
                }
            }
        });
    }

    pub fn heard(&self, from: Node, packet: Packet) {
        if packet.from == from {
            self.turn(|swarm, now| swarm.heard(now, packet));
            self.ahead.notify_one();
        }
    }

    fn turn(&self, step: impl FnOnce(&mut Swarm, f64) -> Vec<(Node, Packet)>) {
        let packets = step(&mut self.swarm.borrow_mut(), self.clock.now());
        if let Some(post) = self.post.get() {
            packets.into_iter().for_each(|(to, packet)| post.cast(to, &Word::Probe(packet)));
        }
        let due = self.swarm.borrow().next_wake();
        if due < self.due.replace(due) - SOON {
            self.wake.notify_one();
        }
    }

    /// What this process tells about itself, changed where it differs.
    pub fn tell(&self, change: impl FnOnce(&mut Card)) {
        let mut card = self.card.borrow().clone();
        change(&mut card);
        if *self.card.borrow() != card {
            self.swarm.borrow_mut().set_card(card.clone());
            *self.card.borrow_mut() = card;
        }
    }

    pub fn region(&self) -> String {
        self.card.borrow().region.clone()
    }

    pub fn set_digest(&self, digest: Digest) {
        self.swarm.borrow_mut().set_digest(digest);
    }

    /// One that holds something newer than this process; told once.
    pub fn ahead(&self) -> Option<(Node, Digest)> {
        self.swarm.borrow_mut().ahead()
    }

    /// At most `n` others by chance.
    pub fn few(&self, n: usize, pass: impl Fn(&Member) -> bool) -> Vec<Node> {
        self.swarm.borrow_mut().few(n, pass)
    }

    pub fn with<T>(&self, look: impl FnOnce(&mut dyn Iterator<Item = &Member>) -> T) -> T {
        look(&mut self.swarm.borrow().members())
    }

    /// Fronts for clients of a region: its own if it has two, else all.
    pub fn fronts(&self, region: &str) -> Vec<SocketAddr> {
        self.with(|members| {
            let edges =
                members.filter(|m| !m.card.core && m.card.ready && !m.card.leaving && m.card.front.is_some());
            let (alive, doubted): (Vec<_>, Vec<_>) =
                edges.filter(|m| m.standing != Standing::Gone).partition(|m| m.standing == Standing::Alive);
            // one that is only suspected is better than none
            let all = if alive.is_empty() { doubted } else { alive };
            let near: Vec<_> = all.iter().filter(|m| m.card.region == region).copied().collect();
            let chosen = if near.len() >= 2 { near } else { all };
            // of more than fit, each call gets others
            let first = self.turn.replace(self.turn.get().wrapping_add(FRONTS_MOST)) % chosen.len().max(1);
            let fronts = chosen[first.min(chosen.len())..].iter().chain(&chosen[..first.min(chosen.len())]);
            fronts.take(FRONTS_MOST).filter_map(|m| m.card.front).collect()
        })
    }
}
