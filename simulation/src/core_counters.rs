//! How a core process serves the counters while it leads an epoch.

use crate::core::Core;
use crate::edge::{NAMES, NAME_LIFE};
use crate::process::{Effects, Message, Observation};
use crate::world::Effect;
use crate::Flaw;
use lupinledge_counters::handover::{HandoverEntry, HandoverPart};
use lupinledge_counters::holder::{Answer, GatewayStatus, HandoverStatus};
use lupinledge_counters::Incarnation;
use lupinledge_membership::{Member, Standing};

/// Seconds between two polls of the counters, and while handovers are being collected.
const POLL_INTERVAL: f64 = 0.25;
const COLLECT_INTERVAL: f64 = 0.05;

impl Core {
    /// Switches to the counters of the epoch that this process leads; `None` if it leads none.
    fn start_counters(&mut self, now: f64) -> Option<u64> {
        let unheld = self.counter_epoch_and_next_poll.0.filter(|_| self.flaw == Flaw::CountsUnheld);
        let epoch = self.replica.leading_epoch(now).or(unheld)?;
        self.counter_holder.start_epoch(now, epoch);
        self.counter_epoch_and_next_poll.0 = Some(epoch);
        Some(epoch)
    }

    /// Asks gateways for missing handovers, and answers the calls that waited once the totals are complete.
    pub(crate) fn poll_counters(&mut self, now: f64, out: &mut Effects) {
        self.counter_epoch_and_next_poll.1 = now + POLL_INTERVAL;
        let Some(epoch) = self.start_counters(now) else { return };
        let status = |m: &Member| {
            let (alive, gone) = (m.standing == Standing::Alive, m.standing == Standing::Gone);
            GatewayStatus { node: m.node, alive, leaving: m.card.leaving, gone }
        };
        let gateways: Vec<GatewayStatus> =
            self.disseminator.membership().members().filter(|m| !m.card.core).map(status).collect();
        let handover = self.counter_holder.poll(now, &gateways);
        if matches!(handover, HandoverStatus::Collecting(_)) {
            self.counter_epoch_and_next_poll.1 = now + COLLECT_INTERVAL;
        }
        match handover {
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

    /// Receives a gateway's handover. It is ignored if it was sent for another epoch than the one that this process
    /// leads, as happens when it is delayed.
    pub(crate) fn receive_handover(
        &mut self,
        now: f64,
        for_epoch: u64,
        from: Incarnation,
        entries: &[HandoverEntry],
        out: &mut Effects,
    ) {
        let Some(epoch) = self.start_counters(now).filter(|epoch| *epoch == for_epoch) else { return };
        let incomplete = self.counter_holder.counters().is_some_and(|counters| !counters.is_complete());
        for entry in entries {
            out.push(Effect::Observe(Observation::SumReceived {
                epoch,
                from,
                name: entry.name,
                sum: entry.sum,
            }));
            out.push(Effect::Observe(Observation::HandoverReceived {
                epoch,
                from,
                entry: *entry,
                incomplete,
            }));
        }
        if self.flaw != Flaw::CountsDeaf {
            self.counter_holder.receive_handover(now, epoch, from, &HandoverPart::single(entries.to_vec()));
        }
    }

    /// Adds a gateway's sums if this process is the holder; otherwise replies that it is not.
    pub(crate) fn handle_counter_call(
        &mut self,
        now: f64,
        from: Incarnation,
        tag: u64,
        calls: &[(u64, f64)],
        out: &mut Effects,
    ) {
        let Some(epoch) = self.start_counters(now) else {
            return out.push(Effect::SendReliable(
                from.0,
                Message::CounterReply { tag, epoch: 0, totals: Vec::new() },
            ));
        };
        for (name, sum) in calls {
            out.push(Effect::Observe(Observation::SumReceived { epoch, from, name: *name, sum: *sum }));
        }
        let calls = calls.iter().map(|(name, sum)| (*name, *sum, NAME_LIFE));
        if let Some(totals) = self.counter_holder.apply_call(now, from, tag, calls) {
            self.answer(epoch, Answer { from, tag, totals }, out);
        }
    }
}
