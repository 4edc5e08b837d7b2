//! Planned work on the core: machines that are told to end, and start again with their disks or are replaced.

use crate::cluster::LOOK;
use crate::process::Process;
use crate::{Cluster, Flaw, Node};

/// The platform ends a process that was told to end and doesn't, seconds.
const GRACE: f64 = 3.0;
/// A successor is there for so long before the old machine is told to end.
const CATCH_UP: f64 = 4.0;
const RELIEVED: u32 = 3;

/// A machine that is to end, or was told to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingShutdown {
    node: Node,
    /// Its disk and address stay, and it starts again.
    again: bool,
    /// When it is told, or ended if it was told.
    at: f64,
    told: bool,
}

impl Cluster {
    /// One of the core, the holder if it is to be that one and there is one, if it isn't to end already.
    fn stays(&self, place: u8, holder: bool) -> Option<Node> {
        let holder = self.leaders().first().copied().filter(|_| holder);
        let node = holder.unwrap_or_else(|| self.core_at(place));
        self.leavers.iter().all(|leaver| leaver.node != node).then_some(node)
    }

    /// A core machine is told to end, and starts again.
    pub(crate) fn restart_in_order(&mut self, place: u8, holder: bool) {
        let Some(node) = self.stays(place, holder) else { return };
        self.leavers.push(PendingShutdown { node, again: true, at: self.world.now, told: false });
    }

    /// A new machine comes; once it has had its time, an old one is told to end, for good.
    pub(crate) fn relieve(&mut self, place: u8, holder: bool) {
        let Some(node) = self.stays(place, holder) else { return };
        let beside = self.cores.len() > 2 * self.tolerate + 1;
        if beside || self.relieved == RELIEVED || self.impaired_members() > 0 || !self.settled() {
            return;
        }
        self.relieved += 1;
        self.newcomer(node % 100 + 2000 * self.relieved);
        let at = self.world.now + CATCH_UP;
        self.leavers.push(PendingShutdown { node, again: false, at, told: false });
    }

    /// An empty machine comes at a new address; its seeds are those that are there now.
    pub(crate) fn newcomer(&mut self, node: Node) {
        self.own_seeds.insert(node, self.cores.clone());
        self.cores.push(node);
        self.start_cores();
    }

    /// Tells those whose time has come, and ends those that may end, or don't in time.
    pub(crate) fn advance_shutdowns(&mut self) {
        let now = self.world.now;
        for leaver in std::mem::take(&mut self.leavers) {
            let process = self.world.process(leaver.node).and_then(Process::core);
            let left = process.is_some_and(|core| core.replica.can_stop());
            let ended = leaver.told && process.is_none();
            // who lost its disk goes at once, as it counts as lost already, and so does who knows of no successor yet
            let newest = self.world.observer.newest().map(|newest| newest.0);
            let knows = process.and_then(|core| core.replica.committed()).map(|(ballot, _)| ballot.index);
            let knows = knows == newest && process.is_some_and(|core| !core.replica.is_learning());
            if !leaver.told && now >= leaver.at && process.is_some() {
                self.disturb(0.0);
                if self.flaw != Flaw::LeavesAtOnce {
                    self.world.call(leaver.node, |process, now, out| process.leave(now, out));
                }
                self.leavers.push(PendingShutdown { at: now + GRACE, told: true, ..leaver });
            } else if leaver.told && (left || self.flaw == Flaw::LeavesAtOnce) {
                self.ends(leaver, knows);
            } else if (ended || now >= leaver.at) && (leaver.again || self.impaired_members() < self.tolerate)
            {
                // taken away while it was down, or too slow: one more that is lost
                self.ends(leaver, false);
            } else if ended || leaver.told && now >= leaver.at {
                // more can't be lost now: the platform lets it start again
                self.ends(PendingShutdown { again: true, ..leaver }, false);
            } else {
                self.leavers.push(leaver);
            }
        }
    }

    fn ends(&mut self, leaver: PendingShutdown, in_order: bool) {
        let node = leaver.node;
        self.kill(node);
        if leaver.again {
            return self.start_cores();
        }
        self.cores.retain(|&other| other != node);
        let members = self.members();
        let most = 2 * self.tolerate + 1;
        if in_order && members.contains(&node) && members.len() > most {
            let text = format!("{node} left in order and still counts among {members:?}");
            self.world.observer.fail(text);
        }
    }

    /// Those that were told go, others stay.
    pub(crate) fn finish_shutdowns(&mut self) {
        self.leavers.retain(|leaver| leaver.told);
        while !self.leavers.is_empty() && self.world.observer.violation.is_none() {
            self.run(LOOK);
        }
    }
}
