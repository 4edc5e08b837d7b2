//! Members that are replaced, added and removed.

use super::{Event, Machine, World};
use lupinledge_operations::voter::Voter;
use lupinledge_operations::Node;
use std::collections::BTreeSet;

impl World {
    /// Nodes whose votes count now.
    pub(super) fn current_members(&self) -> Vec<Node> {
        let (members, outgoing) = self.memberships.last().cloned().unwrap_or_default();
        members.into_iter().chain(outgoing).collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Whether a majority of the members has adopted the newest membership, so that the next change may begin.
    fn may_change_members(&self) -> bool {
        let (members, outgoing) = self.memberships.last().cloned().unwrap_or_default();
        let newest = self.memberships.len() - 1;
        let adopted =
            |(node, machine): &(&Node, &Machine)| members.contains(node) && machine.membership >= newest;
        outgoing.is_empty() && 2 * self.machines.iter().filter(adopted).count() > members.len()
    }

    /// Whether a member may be removed, as far as consensus waits for that: the voters hold each other's records.
    fn may_remove_member(&self) -> bool {
        let catches_up = |node: &Node| {
            let voter = self.machines.get(node).and_then(|machine| machine.voter.as_ref());
            voter.is_none_or(Voter::is_catching_up)
        };
        self.may_change_members() && !self.current_members().iter().any(catches_up)
    }

    /// Commits the next members in two steps, and tells them to all machines.
    fn change_members(&mut self, next: Vec<Node>) {
        let (members, _) = self.memberships.last().cloned().unwrap_or_default();
        self.memberships.push((next.clone(), members));
        self.memberships.push((next, Vec::new()));
        let first = self.memberships.len() - 2;
        let nodes: Vec<Node> = self.machines.keys().copied().collect();
        for voter in nodes {
            let delay = self.rng.f64();
            self.schedule(delay, Event::Members { voter, membership: first });
        }
    }

    /// Starts a machine with an empty disk, which is to become a member.
    fn add_new_machine(&mut self) -> Node {
        let node = self.next_node;
        self.next_node += 1;
        self.add_machine(node, false);
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.lost_until = self.now + 3.0;
        }
        node
    }

    /// Stops a machine for good.
    fn remove_machine(&mut self, node: Node) {
        self.stop_machine(node, true, 1e9, 1e9);
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.removed = true;
        }
    }

    /// Removes a member permanently and adds another one in its place.
    pub(super) fn replace_member(&mut self, removed_node: Node) {
        if !self.may_change_members() {
            return;
        }
        self.remove_machine(removed_node);
        let (mut next, _) = self.memberships.last().cloned().unwrap_or_default();
        next.retain(|&member| member != removed_node);
        next.push(self.add_new_machine());
        self.change_members(next);
    }

    /// Adds a member, or removes this one if there are more than at the start.
    pub(super) fn resize(&mut self, node: Node) {
        let (mut next, _) = self.memberships.last().cloned().unwrap_or_default();
        if !self.may_change_members() || !next.contains(&node) {
            return;
        }
        let extra = next.len().saturating_sub(self.plan.voters);
        if extra == 0 || extra == 1 && self.rng.bool() {
            next.push(self.add_new_machine());
        } else if self.may_remove_member() {
            self.remove_machine(node);
            next.retain(|&member| member != node);
        } else {
            return;
        }
        self.change_members(next);
    }

    pub(super) fn deliver_members(&mut self, node: Node, membership: usize) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let Some((members, outgoing)) = self.memberships.get(membership).cloned() else { return };
        if machine.paused {
            return self.schedule(0.5, Event::Members { voter: node, membership });
        }
        let mut out = Vec::new();
        if let Some(voter) = &mut machine.voter {
            voter.set_members(self.now, membership as u64 + 1, &members, &outgoing, &mut out);
            machine.membership = machine.membership.max(membership);
        }
        self.apply_voter_actions(node, out);
        if membership + 1 < self.memberships.len() {
            let delay = self.rng.f64() * 0.6;
            self.schedule(delay, Event::Members { voter: node, membership: membership + 1 });
        }
    }

    /// Adds two members and removes two others soon after each other, then kills all voters.
    pub(super) fn replace_members_by_plan(&mut self) {
        for _ in 0..2 {
            let (mut next, _) = self.memberships.last().cloned().unwrap_or_default();
            next.push(self.add_new_machine());
            self.change_members(next);
            self.run_until(self.now + 4.0);
        }
        for _ in 0..2 {
            let (mut next, _) = self.memberships.last().cloned().unwrap_or_default();
            let removed = next.remove(self.rng.usize(..next.len()));
            self.remove_machine(removed);
            self.change_members(next);
            let pause = self.rng.f64() * 2.0;
            self.run_until(self.now + pause);
            self.kill_all();
            self.run_until(self.now + 2.0);
            let end = self.now + 6.0;
            while !self.may_remove_member() && self.now < end {
                self.run_until(self.now + 0.1);
            }
        }
        self.run_until(self.now + 6.0);
    }
}
