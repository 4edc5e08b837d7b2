//! The emulated disk of a machine: it tears, stalls, refuses, lies and vanishes.

use std::collections::VecDeque;

/// One whole state that survives power loss, and what is under way to it.
#[derive(Clone, Debug)]
pub struct Disk<K> {
    /// What survives power loss.
    pub kept: Option<K>,
    /// Was it ever written?
    pub used: bool,
    /// No save ends before this moment.
    pub stalled_until: f64,
    /// One of so many saves fails; 0: none.
    pub refuses: u64,
    /// A planted fault: what is said to be saved gets there so many seconds later.
    pub lies: f64,
    saving: Option<(u64, K)>,
    landing: VecDeque<(f64, K)>,
}

impl<K> Default for Disk<K> {
    fn default() -> Disk<K> {
        Disk {
            kept: None,
            used: false,
            stalled_until: 0.0,
            refuses: 0,
            lies: 0.0,
            saving: None,
            landing: VecDeque::new(),
        }
    }
}

impl<K> Disk<K> {
    /// A save begins. Panics if one is under way: the state machines order one at a time.
    pub fn save(&mut self, ticket: u64, state: K) {
        assert!(self.saving.replace((ticket, state)).is_none(), "two saves at once");
    }

    /// The save under way ends; `whole`: its state got there.
    pub fn end(&mut self, now: f64, whole: bool) {
        if let Some((_, state)) = self.saving.take().filter(|_| whole) {
            self.landing.push_back((now + self.lies, state));
        }
        self.land(now);
    }

    /// The power goes; the state under way may have reached the disk whole or not at all.
    pub fn power_lost(&mut self, now: f64, reached: bool) {
        self.land(now);
        self.landing.clear();
        let lies = std::mem::take(&mut self.lies);
        self.end(now, reached);
        self.lies = lies;
    }

    /// The disk is lost.
    pub fn vanish(&mut self) {
        (self.kept, self.saving) = (None, None);
        self.landing.clear();
    }

    fn land(&mut self, now: f64) {
        while self.landing.front().is_some_and(|(at, _)| *at <= now) {
            self.kept = self.landing.pop_front().map(|(_, state)| state);
            self.used = true;
        }
    }
}
