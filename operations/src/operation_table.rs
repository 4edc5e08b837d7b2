//! The operations that a gateway runs or ran, with their answers.

use crate::message::Progress;
use crate::record::{ClaimId, Fingerprint, Key};
use serde_bytes::ByteBuf;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// The state of an operation on this gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// The operation is claimed or running.
    Running,
    /// The operation ended with this answer, encoded by the driver.
    Answered(Rc<[u8]>),
    /// The operation may have run, and its answer will never be known.
    Lost,
    /// The operation has an answer, which was dropped to free memory.
    AnswerDropped,
}

/// An operation that this gateway runs or ran.
#[derive(Clone, Debug)]
pub struct Operation {
    /// The claim under which it runs.
    pub claim: ClaimId,
    /// The fingerprint of its request.
    pub fingerprint: Fingerprint,
    /// Its state on this gateway.
    pub state: State,
    /// When the entry expires, in milliseconds.
    expires: u64,
}

/// Bounded table of operations by key; each entry expires.
#[derive(Debug, Default)]
pub struct OperationTable {
    operations: HashMap<Key, Operation>,
    /// Times at which operations expire, in milliseconds.
    expiries: BTreeSet<(u64, Key)>,
    /// Operations that got an answer, oldest first.
    answered: VecDeque<(Key, ClaimId)>,
    bytes: usize,
    max_bytes: usize,
    max_operations: usize,
}

impl OperationTable {
    /// Creates an empty table, bounded by the number of operations and the bytes of their answers.
    pub fn new(max_operations: usize, max_bytes: usize) -> OperationTable {
        OperationTable { max_operations, max_bytes, ..OperationTable::default() }
    }

    /// Adds an operation for a key claimed by this gateway, which expires in `keep_s` seconds. Returns false if the
    /// table is full.
    pub fn begin(
        &mut self,
        now: f64,
        key: Key,
        claim: ClaimId,
        fingerprint: Fingerprint,
        keep_s: f64,
    ) -> bool {
        self.expire(now);
        if self.operations.len() >= self.max_operations {
            return false;
        }
        self.remove(key);
        let expires = ((now + keep_s) * 1e3) as u64;
        self.expiries.insert((expires, key));
        self.operations.insert(key, Operation { claim, fingerprint, state: State::Running, expires });
        true
    }

    /// Looks up the operation of a key.
    pub fn find(&mut self, now: f64, key: Key) -> Option<&Operation> {
        self.expire(now);
        self.operations.get(&key)
    }

    /// Records the answer of a running operation, and drops the oldest answers if they exceed the bound.
    pub fn record_answer(&mut self, key: Key, claim: ClaimId, answer: Rc<[u8]>) {
        let Some(operation) = self.operations.get_mut(&key).filter(|o| o.claim == claim) else { return };
        if operation.state == State::Running {
            self.bytes += answer.len();
            operation.state = State::Answered(answer);
            self.answered.push_back((key, claim));
        }
        while self.bytes > self.max_bytes {
            let Some((key, claim)) = self.answered.pop_front() else { break };
            self.drop_answer(key, claim);
        }
    }

    fn drop_answer(&mut self, key: Key, claim: ClaimId) {
        let Some(operation) = self.operations.get_mut(&key).filter(|o| o.claim == claim) else { return };
        if let State::Answered(answer) = std::mem::replace(&mut operation.state, State::AnswerDropped) {
            self.bytes -= answer.len();
        }
    }

    /// Marks an operation whose request may have run but whose answer will never be known.
    pub fn mark_lost(&mut self, key: Key, claim: ClaimId) {
        if let Some(operation) = self.operations.get_mut(&key).filter(|o| o.claim == claim) {
            operation.state = State::Lost;
        }
    }

    /// Removes an operation that has not run on this gateway and will not.
    pub fn withdraw(&mut self, key: Key, claim: ClaimId) {
        if self.operations.get(&key).is_some_and(|operation| operation.claim == claim) {
            self.remove(key);
        }
    }

    /// The progress to report to a gateway that asks about this claim. The claim must have been made by this
    /// process since its last start.
    pub fn progress(&mut self, now: f64, key: Key, claim: ClaimId) -> Progress {
        match self.find(now, key).filter(|operation| operation.claim == claim).map(|o| &o.state) {
            None => Progress::Withdrawn,
            Some(State::AnswerDropped) => Progress::Unknown,
            Some(State::Running) => Progress::Running,
            Some(State::Answered(answer)) => Progress::Answered(ByteBuf::from(answer.to_vec())),
            Some(State::Lost) => Progress::Lost,
        }
    }

    /// Number of operations in the table.
    pub fn len(&self) -> usize {
        self.operations.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.operations.is_empty()
    }

    /// Bytes of all stored answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn remove(&mut self, key: Key) {
        let Some(operation) = self.operations.remove(&key) else { return };
        self.expiries.remove(&(operation.expires, key));
        if let State::Answered(answer) = operation.state {
            self.bytes -= answer.len();
        }
    }

    fn expire(&mut self, now: f64) {
        let now = (now * 1e3) as u64;
        while let Some(&(expires_at, key)) = self.expiries.first() {
            if expires_at >= now {
                break;
            }
            self.remove(key);
        }
        while self.answered.front().is_some_and(|(key, claim)| {
            self.operations.get(key).is_none_or(|operation| operation.claim != *claim)
        }) {
            self.answered.pop_front();
        }
    }
}
