//! What was taken in, sent and answered, counted by outcome; printed on SIGUSR1 and at exit.

use lupinledge::interface::Outcome;
use std::cell::{Cell, RefCell};
use std::fmt;

/// A number that only grows.
#[derive(Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// One more.
    pub fn up(&self) {
        self.0.set(self.0.get() + 1);
    }
    /// The number so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// One count by outcome.
#[derive(Default)]
pub struct ByOutcome([Count; 8]);

const OUTCOMES: [&str; 8] =
    ["passed", "error", "full", "timed_out", "no_connection", "reset", "cancelled", "not_sent"];

impl ByOutcome {
    /// One more that ended so.
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

/// All counts of one program, shown as one line of `name=number`.
#[derive(Default)]
pub struct Counters {
    /// Reqs that the exchange took.
    pub taken: Count,
    /// Reqs refused before that, which the client side counts.
    pub malformed: Count,
    /// Final answers, by kind; a failure that a srv told counts as aborted.
    pub passed: Count,
    pub denied: Count,
    pub aborted: Count,
    /// Reqs whose client left before the answer.
    pub left: Count,
    /// Dispatches decided on, and how they ended.
    pub dispatches: Count,
    pub dispatch: ByOutcome,
    /// Calls to the counter, and how they ended.
    pub counter_calls: Count,
    pub counter_call: ByOutcome,
    /// Connections taken from clients, and tried to srvs.
    pub client_connections: Count,
    pub srv_connections: Count,
    /// Rounds of the decisions.
    pub rounds: Count,
    /// Counts that the program adds by name, printed after the others in their order.
    pub further: RefCell<Vec<(String, u64)>>,
}

impl Counters {
    /// Calls `show` with the name and the number of each count, in a fixed order.
    pub fn each(&self, show: &mut dyn FnMut(&str, u64)) {
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
        for (name, n) in reqs {
            show(name, n.get());
        }
        for (kind, by) in [("dispatch", &self.dispatch), ("counter_call", &self.counter_call)] {
            for (name, n) in OUTCOMES.iter().zip(&by.0) {
                show(&format!("{kind}.{name}"), n.get());
            }
        }
        for (name, n) in self.further.borrow().iter() {
            show(name, *n);
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "counters")?;
        let mut end = Ok(());
        self.each(&mut |name, n| end = end.and_then(|()| write!(f, " {name}={n}")));
        end
    }
}
