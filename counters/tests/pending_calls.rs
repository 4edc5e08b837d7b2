//! Which answer is accepted for which call, while holders, epochs and restarts of the calling process follow each other
//! and answers are late, lost, duplicated and out of order.

use lupinledge_counters::pending_calls::{PendingCalls, MAX_WAITING};
use lupinledge_counters::Node;

/// The value attached to a call: the incarnation of its process, and the count of calls made by it so far.
type Value = (u32, u32);

/// An answer in flight.
#[derive(Clone, Copy)]
struct Answer {
    from: Node,
    tag: u64,
    epoch: Option<u64>,
    value: Value,
}

struct Scenario {
    rng: fastrand::Rng,
    calls: PendingCalls<Value>,
    incarnation: u32,
    made: u32,
    holder: (u64, Node),
    in_flight: Vec<Answer>,
    accepted: Vec<Value>,
    dropped: u32,
}

impl Scenario {
    fn step(&mut self, now: f64) {
        match self.rng.u8(..20) {
            0 => {
                // a restart: call numbers start over, and the holder does not notice
                self.incarnation = self.incarnation.wrapping_add(self.rng.u32(1..4) << 16);
                (self.calls, self.made) = (PendingCalls::new(self.incarnation), 0);
            }
            1 => {
                // the same node may also hold the next epoch, or the one after it
                self.holder = (self.holder.0 + self.rng.u64(1..3), self.rng.u32(1..3));
                self.calls.drain();
            }
            2 => {
                let _ = self.calls.take_overdue(now, 4.0);
            }
            3..11 => {
                self.made += 1;
                let value = (self.incarnation, self.made);
                let Ok(tag) = self.calls.register(now, self.holder, value) else { return };
                let (epoch, from) = self.holder;
                let counted = Some(epoch).filter(|_| self.rng.u8(..8) > 0);
                self.in_flight.push(Answer { from, tag, epoch: counted, value });
            }
            _ if !self.in_flight.is_empty() => {
                let at = self.rng.usize(..self.in_flight.len());
                let answer = self.in_flight[at];
                // one in four stays in flight and arrives again later
                if self.rng.u8(..4) > 0 {
                    self.in_flight.swap_remove(at);
                }
                match self.calls.take_answered(answer.from, answer.tag, answer.epoch) {
                    Some(value) => {
                        assert_eq!(value, answer.value, "accepted for a different call");
                        assert_eq!(value.0, self.incarnation, "accepted for an earlier incarnation");
                        assert!(
                            answer.epoch.is_none_or(|e| e == self.holder.0),
                            "accepted from an earlier epoch"
                        );
                        self.accepted.push(value);
                    }
                    None => self.dropped += 1,
                }
            }
            _ => {}
        }
    }
}

#[test]
fn each_answer_is_accepted_once_and_for_its_own_call() {
    for seed in 0..200 {
        let rng = fastrand::Rng::with_seed(seed);
        let (calls, holder) = (PendingCalls::new(7), (1, 1));
        let (in_flight, accepted) = (Vec::new(), Vec::new());
        let mut scenario =
            Scenario { rng, calls, incarnation: 7, made: 0, holder, in_flight, accepted, dropped: 0 };
        (0..400).for_each(|n| scenario.step(f64::from(n)));
        let total = scenario.accepted.len();
        scenario.accepted.sort_unstable();
        scenario.accepted.dedup();
        assert_eq!(scenario.accepted.len(), total, "seed {seed}: an answer was accepted twice");
        assert!(
            total > 10 && scenario.dropped > 10,
            "seed {seed}: {total} accepted, {} dropped",
            scenario.dropped
        );
    }
}

/// The same node held the previous epoch: its late answer of that epoch does not answer a call of the current one, which
/// goes on waiting.
#[test]
fn an_answer_of_an_earlier_epoch_is_dropped() {
    let mut calls = PendingCalls::new(1);
    let tag = calls.register(0.0, (5, 9), "a").unwrap();
    assert_eq!(calls.take_answered(9, tag, Some(4)), None);
    assert_eq!(calls.take_answered(8, tag, Some(5)), None, "answer of a different process");
    assert_eq!(calls.take_answered(9, tag, Some(5)), Some("a"));
    let tag = calls.register(0.0, (5, 9), "b").unwrap();
    assert_eq!(calls.take_answered(9, tag, Some(7)), Some("b"), "the process already holds a later epoch");
}

#[test]
fn calls_are_bounded_and_numbers_are_reused_late() {
    let mut calls = PendingCalls::new(u32::MAX);
    let tags: Vec<u64> = (0..MAX_WAITING).map(|n| calls.register(0.0, (1, 1), n).unwrap()).collect();
    assert_eq!((calls.register(0.0, (1, 1), 0), calls.len()), (Err(0), MAX_WAITING));
    assert_eq!(calls.drain().len(), MAX_WAITING);
    let reused_after = (0..u32::from(u16::MAX)).find(|_| {
        let tag = calls.register(1.0, (1, 1), 0).unwrap();
        calls.take_overdue(1.0, 0.0);
        assert!(tag < 1 << 48);
        tag == tags[0]
    });
    assert!(reused_after.is_none_or(|n| n as usize + MAX_WAITING >= 1 << 16));
}
