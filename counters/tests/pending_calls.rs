//! Which answers of a holder are taken for which calls: holders, epochs and starts of the asking process follow each
//! other while answers are late, lost, doubled and out of order.

use lupinledge_counters::pending_calls::{PendingCalls, WAITING_MOST};
use lupinledge_counters::Node;

/// What a call stands for: the start of its process, and which of that start's calls it is.
type What = (u32, u32);

/// An answer under way.
#[derive(Clone, Copy)]
struct Answer {
    from: Node,
    tag: u64,
    epoch: Option<u64>,
    what: What,
}

struct Play {
    rng: fastrand::Rng,
    calls: PendingCalls<What>,
    incarnation: u32,
    made: u32,
    holder: (u64, Node),
    under_way: Vec<Answer>,
    taken: Vec<What>,
    late: u32,
}

impl Play {
    fn step(&mut self, now: f64) {
        match self.rng.u8(..20) {
            0 => {
                // another start: its numbers of calls begin anew, and the holder knows nothing of it
                self.incarnation = self.incarnation.wrapping_add(self.rng.u32(1..4) << 16);
                (self.calls, self.made) = (PendingCalls::new(self.incarnation), 0);
            }
            1 => {
                // the same machine may hold the next epoch too, or one after the next
                self.holder = (self.holder.0 + self.rng.u64(1..3), self.rng.u32(1..3));
                self.calls.drain();
            }
            2 => {
                let _ = self.calls.take_overdue(now, 4.0);
            }
            3..11 => {
                self.made += 1;
                let what = (self.incarnation, self.made);
                let Ok(tag) = self.calls.register(now, self.holder, what) else { return };
                let (epoch, from) = self.holder;
                let counted = Some(epoch).filter(|_| self.rng.u8(..8) > 0);
                self.under_way.push(Answer { from, tag, epoch: counted, what });
            }
            _ if !self.under_way.is_empty() => {
                let at = self.rng.usize(..self.under_way.len());
                let answer = self.under_way[at];
                // one in four comes once more later, or much later
                if self.rng.u8(..4) > 0 {
                    self.under_way.swap_remove(at);
                }
                match self.calls.take_answered(answer.from, answer.tag, answer.epoch) {
                    Some(what) => {
                        assert_eq!(what, answer.what, "another call's answer");
                        assert_eq!(what.0, self.incarnation, "an earlier start's");
                        assert!(answer.epoch.is_none_or(|e| e == self.holder.0), "an earlier epoch's");
                        self.taken.push(what);
                    }
                    None => self.late += 1,
                }
            }
            _ => {}
        }
    }
}

#[test]
fn an_answer_reaches_its_own_call_once() {
    for seed in 0..200 {
        let rng = fastrand::Rng::with_seed(seed);
        let (calls, holder) = (PendingCalls::new(7), (1, 1));
        let (under_way, taken) = (Vec::new(), Vec::new());
        let mut play = Play { rng, calls, incarnation: 7, made: 0, holder, under_way, taken, late: 0 };
        (0..400).for_each(|n| play.step(f64::from(n)));
        let all = play.taken.len();
        play.taken.sort_unstable();
        play.taken.dedup();
        assert_eq!(play.taken.len(), all, "seed {seed}: twice");
        assert!(all > 10 && play.late > 10, "seed {seed}: {all} taken, {} late", play.late);
    }
}

/// The same machine held the epoch before: what it still says of that one is no answer to what is asked of it now,
/// and the call goes on waiting.
#[test]
fn an_earlier_epoch_is_no_answer() {
    let mut calls = PendingCalls::new(1);
    let tag = calls.register(0.0, (5, 9), "a").unwrap();
    assert_eq!(calls.take_answered(9, tag, Some(4)), None);
    assert_eq!(calls.take_answered(8, tag, Some(5)), None, "another process");
    assert_eq!(calls.take_answered(9, tag, Some(5)), Some("a"));
    let tag = calls.register(0.0, (5, 9), "b").unwrap();
    assert_eq!(calls.take_answered(9, tag, Some(7)), Some("b"), "it holds a later one already");
}

#[test]
fn calls_are_bounded_and_numbers_come_again_late() {
    let mut calls = PendingCalls::new(u32::MAX);
    let tags: Vec<u64> = (0..WAITING_MOST).map(|n| calls.register(0.0, (1, 1), n).unwrap()).collect();
    assert_eq!((calls.register(0.0, (1, 1), 0), calls.len()), (Err(0), WAITING_MOST));
    assert_eq!(calls.drain().len(), WAITING_MOST);
    let again = (0..u32::from(u16::MAX)).find(|_| {
        let tag = calls.register(1.0, (1, 1), 0).unwrap();
        calls.take_overdue(1.0, 0.0);
        assert!(tag < 1 << 48);
        tag == tags[0]
    });
    assert!(again.is_none_or(|n| n as usize + WAITING_MOST >= 1 << 16));
}
