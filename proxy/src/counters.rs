//! Counts of requests, dispatches and counter calls by outcome; printed on SIGUSR1 and at exit.

use lupinledge::interface::Outcome;
use std::cell::{Cell, RefCell};
use std::fmt;

/// A count that only grows.
#[derive(Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }
    /// The count so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// One count for each outcome.
#[derive(Default)]
pub struct ByOutcome([Count; 8]);

const OUTCOMES: [&str; 8] =
    ["passed", "error", "full", "timed_out", "no_connection", "reset", "cancelled", "not_sent"];

impl ByOutcome {
    /// Adds one to the count of an outcome.
    pub fn increment(&self, outcome: Outcome) {
        let index = match outcome {
            Outcome::Passed => 0,
            Outcome::Error => 1,
            Outcome::Full => 2,
            Outcome::TimedOut => 3,
            Outcome::NoConnection => 4,
            Outcome::Reset => 5,
            Outcome::Cancelled => 6,
            Outcome::NotSent => 7,
        };
        self.0[index].increment();
    }
}

/// All counts of one program. `Display` writes them as one line of `name=number` pairs.
#[derive(Default)]
pub struct Counters {
    /// Requests that the exchange accepted.
    pub taken: Count,
    /// Requests refused before that; counted by the client side.
    pub malformed: Count,
    /// Final answers with a server's successful response.
    pub passed: Count,
    /// Final answers to requests that were denied.
    pub denied: Count,
    /// Final answers to requests that were aborted or got a server's failure response.
    pub aborted: Count,
    /// Requests whose client left before the answer.
    pub left: Count,
    /// Dispatches that the decision module ordered.
    pub dispatches: Count,
    /// Dispatches that ended, by outcome.
    pub dispatch: ByOutcome,
    /// Calls to the counter.
    pub counter_calls: Count,
    /// Calls to the counter that ended, by outcome.
    pub counter_call: ByOutcome,
    /// Connections accepted from clients.
    pub client_connections: Count,
    /// Connection attempts to servers.
    pub srv_connections: Count,
    /// Rounds of the decision module.
    pub rounds: Count,
    /// Named counts that the program adds; printed after the others, in their order.
    pub extra: RefCell<Vec<(String, u64)>>,
}

impl Counters {
    /// Calls `visit` with the name and the value of each count, in a fixed order.
    pub fn each(&self, visit: &mut dyn FnMut(&str, u64)) {
        let totals = [
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
        for (name, count) in totals {
            visit(name, count.get());
        }
        for (kind, by_outcome) in [("dispatch", &self.dispatch), ("counter_call", &self.counter_call)] {
            for (name, count) in OUTCOMES.iter().zip(&by_outcome.0) {
                visit(&format!("{kind}.{name}"), count.get());
            }
        }
        for (name, count) in self.extra.borrow().iter() {
            visit(name, *count);
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "counters")?;
        let mut result = Ok(());
        self.each(&mut |name, count| result = result.and_then(|()| write!(f, " {name}={count}")));
        result
    }
}
