//! What a gateway knows of the operations that it runs or ran.

use crate::message::Progress;
use crate::record::{ClaimId, Fingerprint, Key};
use serde_bytes::ByteBuf;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// How far an operation is here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// It is claimed or at work.
    Running,
    /// Its answer, encoded by the driver.
    Answered(Rc<[u8]>),
    /// It may have run, and its answer will not be known.
    Lost,
    /// It has an answer, for which there was no room any more.
    AnswerDropped,
}

/// One operation.
#[derive(Clone, Debug)]
pub struct Operation {
    pub claim: ClaimId,
    pub fingerprint: Fingerprint,
    pub state: State,
    expires: u64,
}

/// See the module.
#[derive(Debug, Default)]
pub struct OperationTable {
    operations: HashMap<Key, Operation>,
    /// Milliseconds at which operations expire.
    expiries: BTreeSet<(u64, Key)>,
    /// Those with an answer, the oldest first.
    answered: VecDeque<(Key, ClaimId)>,
    bytes: usize,
    max_bytes: usize,
    max_operations: usize,
}

impl OperationTable {
    /// Bounds: operations, and bytes of their answers.
    pub fn new(max_operations: usize, max_bytes: usize) -> OperationTable {
        OperationTable { max_operations, max_bytes, ..OperationTable::default() }
    }

    /// A key is claimed here; `keep_s`: seconds from now for which it is known. False: there is no room.
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
        self.forget(key);
        let expires = ((now + keep_s) * 1e3) as u64;
        self.expiries.insert((expires, key));
        self.operations.insert(key, Operation { claim, fingerprint, state: State::Running, expires });
        true
    }

    /// The operation of a key.
    pub fn find(&mut self, now: f64, key: Key) -> Option<&Operation> {
        self.expire(now);
        self.operations.get(&key)
    }

    /// The operation ended with this answer.
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

    /// The operation may have run, and nothing more will be known of it.
    pub fn mark_lost(&mut self, key: Key, claim: ClaimId) {
        if let Some(operation) = self.operations.get_mut(&key).filter(|o| o.claim == claim) {
            operation.state = State::Lost;
        }
    }

    /// The operation has not run here and will not.
    pub fn withdraw(&mut self, key: Key, claim: ClaimId) {
        if self.operations.get(&key).is_some_and(|operation| operation.claim == claim) {
            self.forget(key);
        }
    }

    /// What another gateway is told that asks for the operation that this claim runs, one of this start of the gateway.
    pub fn progress(&mut self, now: f64, key: Key, claim: ClaimId) -> Progress {
        match self.find(now, key).filter(|operation| operation.claim == claim).map(|o| &o.state) {
            None => Progress::Withdrawn,
            Some(State::AnswerDropped) => Progress::Unknown,
            Some(State::Running) => Progress::Running,
            Some(State::Answered(answer)) => Progress::Answered(ByteBuf::from(answer.to_vec())),
            Some(State::Lost) => Progress::Lost,
        }
    }

    /// Operations that are known.
    pub fn len(&self) -> usize {
        self.operations.len()
    }

    /// Is none known?
    pub fn is_empty(&self) -> bool {
        self.operations.is_empty()
    }

    /// Bytes of answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn forget(&mut self, key: Key) {
        let Some(operation) = self.operations.remove(&key) else { return };
        self.expiries.remove(&(operation.expires, key));
        if let State::Answered(answer) = operation.state {
            self.bytes -= answer.len();
        }
    }

    fn expire(&mut self, now: f64) {
        let now = (now * 1e3) as u64;
        while let Some(&(at, key)) = self.expiries.first() {
            if at >= now {
                break;
            }
            self.forget(key);
        }
        while self.answered.front().is_some_and(|(key, claim)| {
            self.operations.get(key).is_none_or(|operation| operation.claim != *claim)
        }) {
            self.answered.pop_front();
        }
    }
}
