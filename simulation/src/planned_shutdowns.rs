//! Planned maintenance of the core: machines that shut down in an orderly way, and start again with their disks or are
//! replaced.

use crate::cluster::CHECK_INTERVAL;
use crate::process::Process;
use crate::{Cluster, Flaw, Node};

/// Seconds after which the platform kills a process that was asked to shut down and still runs.
const GRACE_PERIOD: f64 = 3.0;
/// Seconds between the start of a successor and the shutdown of the old machine.
const CATCH_UP_TIME: f64 = 4.0;
const MAX_GRACEFUL_REPLACEMENTS: u32 = 3;

/// A machine that has been asked to shut down, or will be.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedShutdown {
    node: Node,
    /// Whether the machine keeps its disk and address and starts again.
    restart: bool,
    /// When it is asked to shut down; after that, when it is killed.
    at: f64,
    requested: bool,
}

impl Cluster {
    /// The core machine with this index, or the holder if `holder` is set and there is one; `None` if its shutdown is
    /// planned already.
    fn shutdown_candidate(&self, index: u8, holder: bool) -> Option<Node> {
        let holder = self.leaders().first().copied().filter(|_| holder);
        let node = holder.unwrap_or_else(|| self.core_at(index));
        self.shutdowns.iter().all(|shutdown| shutdown.node != node).then_some(node)
    }

    /// Shuts a core machine down in an orderly way and starts it again.
    pub(crate) fn graceful_restart(&mut self, index: u8, holder: bool) {
        let Some(node) = self.shutdown_candidate(index, holder) else { return };
        self.shutdowns.push(PlannedShutdown { node, restart: true, at: self.world.now, requested: false });
    }

    /// Adds a new core machine, and later shuts an old one down for good.
    pub(crate) fn graceful_replace(&mut self, index: u8, holder: bool) {
        let Some(node) = self.shutdown_candidate(index, holder) else { return };
        let in_progress = self.cores.len() > 2 * self.max_lost_disks + 1;
        if in_progress
            || self.graceful_replacements == MAX_GRACEFUL_REPLACEMENTS
            || self.impaired_members() > 0
            || !self.membership_settled()
        {
            return;
        }
        self.graceful_replacements += 1;
        self.add_core(node % 100 + 2000 * self.graceful_replacements);
        let at = self.world.now + CATCH_UP_TIME;
        self.shutdowns.push(PlannedShutdown { node, restart: false, at, requested: false });
    }

    /// Adds an empty core machine at a new address; its seeds are the present core machines.
    pub(crate) fn add_core(&mut self, node: Node) {
        self.seeds_by_node.insert(node, self.cores.clone());
        self.cores.push(node);
        self.start_cores();
    }

    /// Requests the shutdowns that are due, and ends the processes that may stop or have exceeded the grace period.
    pub(crate) fn advance_shutdowns(&mut self) {
        let now = self.world.now;
        for shutdown in std::mem::take(&mut self.shutdowns) {
            let process = self.world.process(shutdown.node).and_then(Process::core);
            let may_stop = process.is_some_and(|core| core.replica.can_stop());
            let ended = shutdown.requested && process.is_none();
            // Some processes may stop before they are replaced: one that lost its disk, as it counts as lost already,
            // and one that has not received the committed change that names its successor.
            let newest = self.world.observer.newest().map(|newest| newest.0);
            let up_to_date =
                process.and_then(|core| core.replica.committed()).map(|(ballot, _)| ballot.index);
            let up_to_date = up_to_date == newest && process.is_some_and(|core| !core.replica.is_learning());
            if !shutdown.requested && now >= shutdown.at && process.is_some() {
                self.disturb(0.0);
                if self.flaw != Flaw::LeavesAtOnce {
                    self.world.call(shutdown.node, |process, now, out| process.leave(now, out));
                }
                self.shutdowns.push(PlannedShutdown { at: now + GRACE_PERIOD, requested: true, ..shutdown });
            } else if shutdown.requested && (may_stop || self.flaw == Flaw::LeavesAtOnce) {
                self.shut_down(shutdown, up_to_date);
            } else if (ended || now >= shutdown.at)
                && (shutdown.restart || self.impaired_members() < self.max_lost_disks)
            {
                // It is removed while it was down, or was too slow: one more member is lost.
                self.shut_down(shutdown, false);
            } else if ended || shutdown.requested && now >= shutdown.at {
                // No further member may be lost now, so the platform starts it again.
                self.shut_down(PlannedShutdown { restart: true, ..shutdown }, false);
            } else {
                self.shutdowns.push(shutdown);
            }
        }
    }

    /// Ends the process. After an orderly shutdown for good the machine must have been replaced in the membership.
    fn shut_down(&mut self, shutdown: PlannedShutdown, orderly: bool) {
        let node = shutdown.node;
        self.kill(node);
        if shutdown.restart {
            return self.start_cores();
        }
        self.cores.retain(|&other| other != node);
        let members = self.members();
        let wanted = 2 * self.max_lost_disks + 1;
        if orderly && members.contains(&node) && members.len() > wanted {
            let text = format!("{node} shut down in an orderly way and is still a member: {members:?}");
            self.world.observer.fail(text);
        }
    }

    /// Completes the shutdowns that were requested and cancels the others.
    pub(crate) fn finish_shutdowns(&mut self) {
        self.shutdowns.retain(|shutdown| shutdown.requested);
        while !self.shutdowns.is_empty() && self.world.observer.violation.is_none() {
            self.run(CHECK_INTERVAL);
        }
    }
}
