//! Voters whose members were removed one after the other hold the claims that the removed ones granted, and vote.

use lupinledge_operations::voter::{Action, Settings, Voter};
use lupinledge_operations::{
    ClaimId, Electorate, ElectorateId, Entry, Fingerprint, Key, Message, Node, Verdict,
};
use std::collections::BTreeMap;

const GATEWAY: Node = 99;
/// Seconds for which claims are kept.
const KEEP_S: f32 = 60.0;
/// A key that is claimed before the removals, and one that is not.
const OLD_KEY: Key = Key(1, 2);
const NEW_KEY: Key = Key(3, 4);

/// A voter and what is on its disk.
struct Machine {
    voter: Voter,
    journal: Vec<Entry>,
}

/// Voters whose journals are synced at once.
struct Cluster {
    machines: BTreeMap<Node, Machine>,
    now: f64,
    index: u64,
    claims: u64,
    /// Voters whose messages to other voters get lost.
    silent: Vec<Node>,
}

impl Cluster {
    /// Voters 1 to `count`, which founded the system.
    fn new(count: Node) -> Cluster {
        let (machines, silent) = (BTreeMap::new(), Vec::new());
        let mut cluster = Cluster { machines, now: 0.0, index: 1, claims: 0, silent };
        (1..=count).for_each(|node| cluster.start(node, true, Vec::new()));
        let members: Vec<Node> = (1..=count).collect();
        cluster.set_members(&members, &[]);
        cluster
    }

    /// Starts a voter from the entries of its journal.
    fn start(&mut self, node: Node, founder: bool, journal: Vec<Entry>) {
        let settings = Settings { me: node, seed: 7, founder, max_records: 100, max_answer_bytes: 1000 };
        let mut out = Vec::new();
        let voter = Voter::new(self.now, settings, journal.clone(), &mut out);
        self.machines.insert(node, Machine { voter, journal });
        self.carry_out(node, out);
    }

    /// Journals the entries at once, and delivers messages to other voters; returns messages to the gateway.
    fn carry_out(&mut self, node: Node, mut out: Vec<Action>) -> Vec<Message> {
        let (mut to_gateway, mut sends) = (Vec::new(), Vec::new());
        while !out.is_empty() {
            let Some(machine) = self.machines.get_mut(&node) else { break };
            let actions = std::mem::take(&mut out);
            let appended_before = machine.journal.len();
            for action in actions {
                match action {
                    Action::Append { entry, .. } => machine.journal.push(entry),
                    Action::Send(GATEWAY, message) => to_gateway.push(message),
                    Action::Send(to, message) => sends.push((to, message)),
                }
            }
            if machine.journal.len() > appended_before {
                let appended = machine.voter.appended();
                machine.voter.on_saved(self.now, appended, &mut out);
            }
        }
        if self.silent.contains(&node) {
            return to_gateway;
        }
        for (to, message) in sends {
            self.deliver(node, to, message);
        }
        to_gateway
    }

    fn deliver(&mut self, from: Node, to: Node, message: Message) -> Vec<Message> {
        let Some(machine) = self.machines.get_mut(&to) else { return Vec::new() };
        let mut out = Vec::new();
        machine.voter.on_message(self.now, from, message, &mut out);
        self.carry_out(to, out)
    }

    /// Commits a membership; all members adopt it.
    fn set_members(&mut self, members: &[Node], outgoing: &[Node]) {
        self.index += 1;
        for node in members {
            let Some(machine) = self.machines.get_mut(node) else { continue };
            let mut out = Vec::new();
            machine.voter.set_members(self.now, self.index, members, outgoing, &mut out);
            self.carry_out(*node, out);
        }
    }

    /// Removes the last of the members, in the way that consensus does.
    fn remove_last(&mut self, members: &[Node]) {
        let remaining = &members[..members.len() - 1];
        self.set_members(remaining, members);
        self.machines.remove(&members[members.len() - 1]);
        self.set_members(remaining, &[]);
    }

    /// Lets this many seconds pass.
    fn pass(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.1;
            for node in self.machines.keys().copied().collect::<Vec<_>>() {
                let mut out = Vec::new();
                if let Some(machine) = self.machines.get_mut(&node) {
                    machine.voter.tick(self.now, &mut out);
                }
                self.carry_out(node, out);
            }
        }
    }

    /// Ends all processes and starts them again from their disks.
    fn restart_all(&mut self) {
        for node in self.machines.keys().copied().collect::<Vec<_>>() {
            let Some(machine) = self.machines.remove(&node) else { continue };
            self.start(node, false, machine.journal);
        }
    }

    /// As [`Cluster::restart_all`], with journals whose older segments are deleted: the head, and what was granted.
    fn restart_all_from_heads(&mut self) {
        for node in self.machines.keys().copied().collect::<Vec<_>>() {
            let Some(machine) = self.machines.remove(&node) else { continue };
            let granted = machine.journal.into_iter().filter(|entry| matches!(entry, Entry::Granted(_)));
            let head = machine.voter.head().expect("a head");
            self.start(node, false, granted.chain(head).collect());
        }
    }

    /// Whether the asked voters grant a new claim of the key as a majority of the electorate that they all use.
    fn claim(&mut self, key: Key, asked: &[Node]) -> bool {
        self.claims += 1;
        let claim = ClaimId { gateway: GATEWAY, start: 1, sequence: self.claims };
        let (fingerprint, electorate) = (Fingerprint(3), ElectorateId::default());
        let (mut granted, mut under): (Vec<Node>, Vec<Electorate>) = Default::default();
        for &node in asked {
            let message = Message::Claim { key, claim, fingerprint, keep_s: KEEP_S, electorate };
            for reply in self.deliver(GATEWAY, node, message) {
                if let Message::Vote { verdict: Verdict::Granted, full_electorate, .. } = reply {
                    granted.push(node);
                    under.extend(full_electorate);
                }
            }
        }
        let same_electorate = under.windows(2).all(|two| two[0] == two[1]);
        same_electorate
            && under.first().is_some_and(|electorate| electorate.has_majority(|node| granted.contains(&node)))
    }
}

const SEVEN: [Node; 7] = [1, 2, 3, 4, 5, 6, 7];

/// Seven voters, of which 4 to 7 have granted the old key.
fn seven_with_a_claim() -> Cluster {
    let mut cluster = Cluster::new(7);
    assert!(cluster.claim(OLD_KEY, &[4, 5, 6, 7]));
    cluster
}

/// Guards against TWICE: after two removals and a kill of all, voters that had not granted a key granted it again
/// (review/4).
#[test]
fn a_key_is_granted_once_around_two_removals_and_a_restart_of_all() {
    let mut cluster = seven_with_a_claim();
    cluster.silent = SEVEN.to_vec();
    cluster.remove_last(&SEVEN);
    cluster.remove_last(&SEVEN[..6]);
    cluster.restart_all();
    assert!(!cluster.claim(OLD_KEY, &[1, 2, 3]), "before any records were fetched");
    cluster.silent.clear();
    cluster.pass(2.0);
    assert!(!cluster.claim(OLD_KEY, &[1, 2, 3]), "after records were fetched");
}

/// Guards against TWICE as the test above does, with journals of which only the head is left of earlier members.
#[test]
fn a_key_is_granted_once_after_a_restart_from_the_heads_of_journals() {
    let mut cluster = seven_with_a_claim();
    cluster.silent = SEVEN.to_vec();
    cluster.remove_last(&SEVEN);
    cluster.restart_all_from_heads();
    cluster.remove_last(&SEVEN[..6]);
    cluster.restart_all_from_heads();
    assert!(!cluster.claim(OLD_KEY, &[1, 2, 3]));
}

/// Guards against TWICE: a journal whose newest segment begins with a head of the time before the removals.
#[test]
fn a_key_is_granted_once_after_a_restart_with_an_older_head_behind_newer_entries() {
    let mut cluster = seven_with_a_claim();
    cluster.silent = SEVEN.to_vec();
    let heads: Vec<_> =
        cluster.machines.values().map(|machine| machine.voter.head().expect("a head")).collect();
    cluster.remove_last(&SEVEN);
    cluster.remove_last(&SEVEN[..6]);
    for (machine, head) in cluster.machines.values_mut().zip(heads) {
        machine.journal.extend(head);
    }
    cluster.restart_all();
    assert!(!cluster.claim(OLD_KEY, &[1, 2, 3]));
}

/// Guards against an outage: new keys were refused for a whole window after two removals.
#[test]
fn new_keys_are_granted_after_two_removals() {
    let mut cluster = seven_with_a_claim();
    cluster.remove_last(&SEVEN);
    cluster.pass(0.5);
    cluster.remove_last(&SEVEN[..6]);
    assert!(cluster.claim(NEW_KEY, &[1, 2, 3]));
    assert!(!cluster.claim(OLD_KEY, &[1, 2, 3]));
}

/// Guards against an outage: both members are removed before any records could be fetched, and all are restarted.
#[test]
fn new_keys_are_granted_soon_after_two_removals_at_once() {
    let mut cluster = seven_with_a_claim();
    cluster.silent = SEVEN.to_vec();
    cluster.remove_last(&SEVEN);
    cluster.remove_last(&SEVEN[..6]);
    cluster.restart_all();
    cluster.silent.clear();
    cluster.pass(1.5);
    assert!(cluster.claim(NEW_KEY, &[1, 2, 3]));
    assert!(!cluster.claim(OLD_KEY, &[1, 2, 3]));
}

/// Guards against TWICE: a voter that lost its disk after a removal learned from voters none of which held the key.
#[test]
fn a_voter_that_lost_its_disk_after_a_removal_learns_all_claims() {
    let mut cluster = seven_with_a_claim();
    cluster.silent = vec![4, 5];
    cluster.remove_last(&SEVEN);
    cluster.start(6, false, Vec::new());
    cluster.set_members(&SEVEN[..6], &[]);
    cluster.pass(2.0);
    assert!(!cluster.claim(OLD_KEY, &[1, 2, 3, 6]));
}

/// Guards against TWICE: the build before kept no trace of removals in its journal, and a restart under it, or with this
/// build in its place, made its voters vote again.
#[test]
fn a_voter_with_data_of_the_build_before_votes_once_it_has_fetched_records() {
    let mut cluster = seven_with_a_claim();
    cluster.silent = SEVEN.to_vec();
    cluster.remove_last(&SEVEN);
    cluster.remove_last(&SEVEN[..6]);
    let mut electorate = Electorate::default();
    electorate.adopt_members(cluster.index, &SEVEN[..5], &[]);
    for node in 1..=5 {
        let machine = cluster.machines.remove(&node).expect("a machine");
        let granted = machine.journal.into_iter().filter(|entry| matches!(entry, Entry::Granted(_)));
        let head = [Entry::Electorate(electorate.clone()), Entry::Ready { incarnation: 0, nonce: 0 }];
        cluster.start(node, false, granted.chain(head).collect());
    }
    assert!(!cluster.claim(OLD_KEY, &[1, 2, 3]), "before any records were fetched");
    cluster.silent.clear();
    cluster.pass(1.5);
    assert!(!cluster.claim(OLD_KEY, &[1, 2, 3]), "after records were fetched");
    assert!(cluster.claim(NEW_KEY, &[1, 2, 3]));
}

/// Without records of the others, a voter votes once the claims of the time before the removals have expired.
#[test]
fn voters_without_records_of_the_others_vote_after_the_longest_keep_time() {
    let mut cluster = seven_with_a_claim();
    cluster.silent = SEVEN.to_vec();
    cluster.remove_last(&SEVEN);
    cluster.remove_last(&SEVEN[..6]);
    assert!(!cluster.claim(NEW_KEY, &[1, 2, 3]));
    cluster.pass(96.0);
    assert!(cluster.claim(NEW_KEY, &[1, 2, 3]));
}
