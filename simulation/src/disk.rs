//! The simulated disk of a machine. It can tear a write, stall, fail saves, report a save as finished before it is
//! durable, and lose its contents.

use std::collections::VecDeque;

/// A disk that holds one saved state, and the saves that have not reached it yet.
#[derive(Clone, Debug)]
pub struct Disk<S> {
    /// The state that survives power loss.
    pub saved_state: Option<S>,
    /// True if the disk was ever written, even if its contents were lost since.
    pub written: bool,
    /// No save finishes before this time.
    pub stalled_until: f64,
    /// One of this many saves fails, by chance; 0 if no save fails.
    pub fail_one_in: u64,
    /// An injected fault: seconds after which a save that was reported as finished becomes durable.
    pub write_delay: f64,
    in_progress: Option<(u64, S)>,
    delayed: VecDeque<(f64, S)>,
}

impl<S> Default for Disk<S> {
    fn default() -> Disk<S> {
        Disk {
            saved_state: None,
            written: false,
            stalled_until: 0.0,
            fail_one_in: 0,
            write_delay: 0.0,
            in_progress: None,
            delayed: VecDeque::new(),
        }
    }
}

impl<S> Disk<S> {
    /// Begins a save. Panics if a save is in progress: a state machine may request only one at a time.
    pub fn save(&mut self, ticket: u64, state: S) {
        assert!(self.in_progress.replace((ticket, state)).is_none(), "two saves at once");
    }

    /// Ends the save in progress; its state is written only if `written` is true.
    pub fn finish_save(&mut self, now: f64, written: bool) {
        if let Some((_, state)) = self.in_progress.take().filter(|_| written) {
            self.delayed.push_back((now + self.write_delay, state));
        }
        self.apply_delayed(now);
    }

    /// Cuts the power; `reached_disk` says whether the save in progress was written, which happens entirely or not
    /// at all.
    pub fn power_lost(&mut self, now: f64, reached_disk: bool) {
        self.apply_delayed(now);
        self.delayed.clear();
        let write_delay = std::mem::take(&mut self.write_delay);
        self.finish_save(now, reached_disk);
        self.write_delay = write_delay;
    }

    /// Erases the contents of the disk.
    pub fn erase(&mut self) {
        (self.saved_state, self.in_progress) = (None, None);
        self.delayed.clear();
    }

    fn apply_delayed(&mut self, now: f64) {
        while self.delayed.front().is_some_and(|(at, _)| *at <= now) {
            self.saved_state = self.delayed.pop_front().map(|(_, state)| state);
            self.written = true;
        }
    }
}
