//! What was taken in, sent and answered, counted by outcome; printed on SIGUSR1 and at exit.

use lupinledge::link::Outcome;
use lupinledge_watch::Kind;
use std::cell::Cell;
use std::fmt;

#[derive(Default)]
pub struct Count(Cell<u64>);

impl Count {
    pub fn up(&self) {
        self.0.set(self.0.get() + 1);
    }
}

/// One count by outcome.
#[derive(Default)]
pub struct ByOutcome([Count; 8]);

const OUTCOMES: [&str; 8] =
    ["passed", "error", "full", "timed_out", "no_connection", "reset", "cancelled", "not_sent"];

impl ByOutcome {
    pub fn up(&self, how: Outcome) {
        let i = match how {
            Outcome::Passed => 0,
            Outcome::Error => 1,
            Outcome::Full => 2,
            Outcome::TimedOut => 3,
            Outcome::NoConnection => 4,
            Outcome::Reset => 5,
            Outcome::Cancelled => 6,
            Outcome::NotSent => 7,
        };
        self.0[i].up();
    }
}

#[derive(Default)]
pub struct Counters {
    pub taken: Count,
    pub malformed: Count,
    pub passed: Count,
    pub denied: Count,
    pub aborted: Count,
    pub left: Count,
    pub dispatches: Count,
    pub dispatch: ByOutcome,
    pub counter_calls: Count,
    pub counter_call: ByOutcome,
    pub client_connections: Count,
    pub srv_connections: Count,
    pub rounds: Count,
    /// By kind, what terms to come would have decided otherwise, where the program watches for them.
    pub watched: Cell<[u64; Kind::ALL.len()]>,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let reqs = [
            ("taken", &self.taken),
            ("malformed", &self.malformed),
            ("passed", &self.passed),
            ("denied", &self.denied),
            ("aborted", &self.aborted),
            ("left", &self.left),
            ("dispatches", &self.dispatches),
            ("counter_calls", &self.counter_calls),
            ("client_connections", &self.client_connections),
            ("srv_connections", &self.srv_connections),
            ("rounds", &self.rounds),
        ];
        write!(f, "counters")?;
        for (name, n) in reqs {
            write!(f, " {name}={}", n.0.get())?;
        }
        for (kind, by) in [("dispatch", &self.dispatch), ("counter_call", &self.counter_call)] {
            for (name, n) in OUTCOMES.iter().zip(&by.0) {
                write!(f, " {kind}.{name}={}", n.0.get())?;
            }
        }
        for (kind, n) in Kind::ALL.iter().zip(self.watched.get()) {
            write!(f, " watch.{}={n}", kind.name())?;
        }
        Ok(())
    }
}
