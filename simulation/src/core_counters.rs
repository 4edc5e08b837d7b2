//! The counters of a core process, while it holds the duty.

use crate::core::Core;
use crate::edge::{NAMES, NAME_LIFE};
use crate::process::{Effects, Message, Observation};
use crate::world::Effect;
use crate::Flaw;
use lupinledge_counters::handover::{HandoverEntry as Sum, HandoverPart};
use lupinledge_counters::holder::{Answer, GatewayStatus, HandoverStatus};
use lupinledge_counters::Incarnation;
use lupinledge_membership::{Member, Standing};

/// The counters are looked at so often, and while they are not whole, seconds.
const LOOK: f64 = 0.25;
const ASK: f64 = 0.05;

impl Core {
    /// Turns to the counters of the epoch that is held; `None` where none is.
    fn hold(&mut self, now: f64) -> Option<u64> {
        let unheld = self.counts.0.filter(|_| self.flaw == Flaw::CountsUnheld);
        let epoch = self.replica.leading_epoch(now).or(unheld)?;
        self.duty.start_epoch(now, epoch);
        self.counts.0 = Some(epoch);
        Some(epoch)
    }

    pub(crate) fn look(&mut self, now: f64, out: &mut Effects) {
        self.counts.1 = now + LOOK;
        let Some(epoch) = self.hold(now) else { return };
        let seen = |m: &Member| {
            let (alive, gone) = (m.standing == Standing::Alive, m.standing == Standing::Gone);
            GatewayStatus { node: m.node, alive, leaving: m.card.leaving, gone }
        };
        let gateways: Vec<GatewayStatus> =
            self.disseminator.membership().members().filter(|m| !m.card.core).map(seen).collect();
        let look = self.duty.poll(now, &gateways);
        if matches!(look, HandoverStatus::Collecting(_)) {
            self.counts.1 = now + ASK;
        }
        match look {
            HandoverStatus::Serving(_) if self.flaw == Flaw::CountsAsked => {}
            HandoverStatus::Serving(nodes) | HandoverStatus::Collecting(nodes) => {
                out.extend(
                    nodes
                        .into_iter()
                        .map(|node| Effect::SendDatagram(node, Message::HandoverRequest { epoch })),
                );
            }
            HandoverStatus::Completed(answers, _) => {
                answers.into_iter().for_each(|answer| self.answer(epoch, answer, out));
            }
        }
    }

    fn answer(&mut self, epoch: u64, Answer { from, tag, totals }: Answer, out: &mut Effects) {
        let totals: Vec<f64> = totals.into_iter().map(|total| total.counted).collect();
        for (name, total) in NAMES.into_iter().zip(&totals) {
            out.push(Effect::Observe(Observation::TotalReported { epoch, name, total: *total }));
        }
        out.push(Effect::SendReliable(from.0, Message::CounterReply { tag, epoch, totals }));
    }

    /// What was told for another epoch that this process held, and waited, is none.
    pub(crate) fn gather(&mut self, now: f64, of: u64, from: Incarnation, told: &[Sum], out: &mut Effects) {
        let Some(epoch) = self.hold(now).filter(|epoch| *epoch == of) else { return };
        let before = self.duty.counters().is_some_and(|counters| !counters.is_complete());
        for sum in told {
            out.push(Effect::Observe(Observation::SumReceived { epoch, from, name: sum.name, sum: sum.sum }));
            out.push(Effect::Observe(Observation::HandoverReceived { epoch, from, told: *sum, before }));
        }
        if self.flaw != Flaw::CountsDeaf {
            self.duty.receive_handover(now, epoch, from, &HandoverPart::single(told.to_vec()));
        }
    }

    /// Takes the sums of a gateway, as the holder; else tells it that this is not the holder.
    pub(crate) fn count(
        &mut self,
        now: f64,
        from: Incarnation,
        tag: u64,
        calls: &[(u64, f64)],
        out: &mut Effects,
    ) {
        let Some(epoch) = self.hold(now) else {
            return out.push(Effect::SendReliable(
                from.0,
                Message::CounterReply { tag, epoch: 0, totals: Vec::new() },
            ));
        };
        for (name, sum) in calls {
            out.push(Effect::Observe(Observation::SumReceived { epoch, from, name: *name, sum: *sum }));
        }
        let calls = calls.iter().map(|(name, sum)| (*name, *sum, NAME_LIFE));
        if let Some(totals) = self.duty.apply_call(now, from, tag, calls) {
            self.answer(epoch, Answer { from, tag, totals }, out);
        }
    }
}
