//! Three core processes on loopback as voters for operation keys, with claims from a simulated gateway over the peer
//! port: granted keys survive kills, and a member that lost its state learns before it votes.

mod common;

use common::{wait_for, Cluster};
use lupinledge_example::http::Client;
use lupinledge_messaging::{Transport, WireMessage};
use lupinledge_operations::{ClaimId, ElectorateId, Fingerprint, Key, Message, Node, Verdict};
use std::collections::BTreeMap;
use std::fs;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, LocalOptions};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// Seconds for which a key is held.
const KEEP_S: f32 = 3600.0;
/// Time after which a claim without a vote is sent again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);
/// The three founders.
const ALL: [usize; 3] = [0, 1, 2];

type Vote = (ElectorateId, Verdict);
type Votes = Arc<Mutex<BTreeMap<(Node, ClaimId), Vote>>>;

/// A simulated gateway, with a thread of its own for its messages.
struct Gateway {
    node: Node,
    voters: [Node; 3],
    sequence: u64,
    /// The last vote of each voter on each claim.
    votes: Votes,
    sender: Option<UnboundedSender<(Node, Message)>>,
    thread: Option<JoinHandle<()>>,
}

impl Gateway {
    /// Starts it at the address of the fourth member, which is not in use.
    fn start(core: &Cluster) -> Gateway {
        let (ip, port, votes) = (core.ips[3], core.peer_port, Votes::default());
        let (sender, outgoing) = unbounded_channel();
        let shared_votes = votes.clone();
        let thread = std::thread::spawn(move || run_transport(ip, port, shared_votes, outgoing));
        let voters = ALL.map(|i| Node::from(core.ips[i]));
        Gateway { node: ip.into(), voters, sequence: 0, votes, sender: Some(sender), thread: Some(thread) }
    }

    /// A new claim id.
    fn next_claim(&mut self) -> ClaimId {
        self.sequence += 1;
        ClaimId { gateway: self.node, start: 1, sequence: self.sequence }
    }

    /// Sends a message to a member.
    fn send(&self, to: usize, message: Message) {
        self.sender.as_ref().unwrap().send((self.voters[to], message)).unwrap();
    }

    /// Sends a claim of a key to a member until it votes.
    fn vote(&self, i: usize, key: u64, claim: ClaimId) -> Vote {
        self.votes.lock().unwrap().remove(&(self.voters[i], claim));
        let mut sent: Option<Instant> = None;
        wait_for("a vote", || {
            if sent.is_none_or(|sent| sent.elapsed() > REPEAT_INTERVAL) {
                sent = Some(Instant::now());
                let (key, fingerprint) = (Key(key, 0), Fingerprint(key));
                let electorate = ElectorateId::default();
                self.send(i, Message::Claim { key, claim, fingerprint, keep_s: KEEP_S, electorate });
            }
            self.votes.lock().unwrap().get(&(self.voters[i], claim)).copied()
        })
    }

    /// The verdict of the vote of a member.
    fn verdict(&self, i: usize, key: u64, claim: ClaimId) -> Verdict {
        self.vote(i, key, claim).1
    }

    /// Claims a key until a majority has granted it under one electorate; also returns the members that did.
    fn claim_majority(&mut self, key: u64) -> (ClaimId, Vec<usize>) {
        let claim = self.next_claim();
        let granted = wait_for("the votes of a majority", || {
            let votes = ALL.map(|i| self.vote(i, key, claim));
            let granted = |id| ALL.into_iter().filter(move |&i| votes[i] == (id, Verdict::Granted));
            let electorates = votes.map(|(id, _)| granted(id).collect::<Vec<_>>());
            electorates.into_iter().find(|granted| granted.len() > 1)
        });
        (claim, granted)
    }

    /// Checks that a member refuses another claim, as the key is held by this one.
    fn assert_held(&mut self, i: usize, key: u64, by: ClaimId) {
        let rival = self.next_claim();
        let verdict = self.verdict(i, key, rival);
        assert!(matches!(verdict, Verdict::Held { by: holder, .. } if holder == by), "{i}: {verdict:?}");
    }

    /// Checks that a member abstains.
    fn assert_abstains(&mut self, i: usize, key: u64) {
        let claim = self.next_claim();
        assert_eq!(self.verdict(i, key, claim), Verdict::Abstained, "{i}");
    }

    /// Waits until a member has learnt which claim holds the key; until then it must abstain.
    fn wait_until_learnt(&mut self, i: usize, key: u64, by: ClaimId) {
        wait_for("the member to learn", || {
            let rival = self.next_claim();
            match self.verdict(i, key, rival) {
                Verdict::Abstained => None,
                Verdict::Held { by: holder, .. } if holder == by => Some(()),
                verdict => panic!("{i}: {verdict:?}"),
            }
        })
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.sender = None;
        let ended = self.thread.take().unwrap().join();
        assert!(ended.is_ok() || std::thread::panicking());
    }
}

/// Sends the outgoing messages, and records the votes received.
fn run_transport(ip: Ipv4Addr, port: u16, votes: Votes, mut outgoing: UnboundedReceiver<(Node, Message)>) {
    let record_vote = move |from, message| {
        if let WireMessage::Operation(Message::Vote { claim, electorate, verdict, .. }) = message {
            votes.lock().unwrap().insert((from, claim), (electorate, verdict));
        }
    };
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default()).unwrap();
    runtime.block_on(async move {
        let transport = Transport::open(ip.into(), port, Rc::new(record_vote)).unwrap();
        while let Some((to, message)) = outgoing.recv().await {
            transport.send(to, &WireMessage::Operation(message));
        }
        transport.close();
    });
}

/// The journal files of a member, oldest first.
fn journal_files(folder: &Path) -> Vec<PathBuf> {
    let files = fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    let is_journal = |path: &PathBuf| path.file_name().unwrap().to_string_lossy().starts_with("operations-");
    let mut files: Vec<PathBuf> = files.filter(is_journal).collect();
    files.sort();
    assert!(!files.is_empty());
    files
}

/// Waits until the consensus state is on the disk of a member.
fn wait_for_state(core: &Cluster, i: usize) {
    wait_for("the consensus state on disk", || core.data_dir(i).join("snapshot").exists().then_some(()));
}

fn kill_all(core: &mut Cluster) {
    ALL.into_iter().for_each(|i| core.kill(i));
}

fn start_all(core: &mut Cluster) {
    ALL.into_iter().for_each(|i| core.start(i, false));
}

/// The log of a member so far.
fn log_text(core: &Cluster, i: usize) -> String {
    fs::read_to_string(core.log_path(i)).unwrap()
}

#[test]
fn a_granted_key_stays_held_when_all_three_are_killed() {
    let mut core = Cluster::start_founders(None);
    let mut gateway = Gateway::start(&core);
    let (first, granted) = gateway.claim_majority(1);
    granted.iter().for_each(|&i| gateway.assert_held(i, 1, first));
    kill_all(&mut core);
    start_all(&mut core);
    granted.iter().for_each(|&i| gateway.assert_held(i, 1, first));
    granted.iter().for_each(|&i| assert_eq!(gateway.verdict(i, 1, first), Verdict::Granted));
    // the core still grants keys: the next key is free
    let (second, granted) = gateway.claim_majority(2);
    granted.iter().for_each(|&i| gateway.assert_held(i, 2, second));
}

#[test]
fn a_released_key_is_free_for_another_claim() {
    let core = Cluster::start_founders(None);
    let mut gateway = Gateway::start(&core);
    let (first, granted) = gateway.claim_majority(1);
    let second = gateway.next_claim();
    wait_for("the released key", || {
        let released = Message::Release { key: Key(1, 0), claim: first };
        ALL.into_iter().for_each(|i| gateway.send(i, released.clone()));
        granted.iter().all(|&i| gateway.verdict(i, 1, second) == Verdict::Granted).then_some(())
    });
    granted.iter().for_each(|&i| gateway.assert_held(i, 1, second));
}

#[test]
fn a_restarted_member_with_its_folder_votes_at_once() {
    let mut core = Cluster::start_founders(None);
    let mut gateway = Gateway::start(&core);
    let (first, granted) = gateway.claim_majority(1);
    kill_all(&mut core);
    let i = granted[0];
    core.start(i, false);
    gateway.assert_held(i, 1, first);
    let next_claim = gateway.next_claim();
    assert_eq!(gateway.verdict(i, 2, next_claim), Verdict::Granted);
    assert!(!log_text(&core, i).contains("event=operations_learning"));
    let figures = voter_metrics(&core, i);
    assert!(figures.contains("operations.records 2") && figures.contains("operations.votes 1"), "{figures}");
}

/// A consensus state without a journal means that the machine never granted a key. If the state were saved first, a
/// machine that did grant keys could look the same.
#[test]
fn no_consensus_state_is_saved_before_the_first_journal_entries() {
    let mut core = Cluster::start_founders(None);
    let mut gateway = Gateway::start(&core);
    gateway.claim_majority(1);
    drop(gateway);
    let newcomer = 3;
    let unreadable = core.data_dir(newcomer).join("operations-000001.log");
    fs::create_dir_all(&unreadable).unwrap();
    core.start(newcomer, false);
    core.wait_for_log(newcomer, "event=journal_unread");
    wait_for("the newcomer to listen", || Client::connect(core.control_address(newcomer)).ok());
    assert!(!core.data_dir(newcomer).join("snapshot").exists());
    assert!(!log_text(&core, newcomer).contains("event=started"));
    fs::remove_dir(&unreadable).unwrap();
    core.wait_for_log(newcomer, "event=started");
    core.wait_for_log(newcomer, "event=operations_learning");
    core.wait_for_log(newcomer, "event=operations_voting records=1");
    wait_for_state(&core, newcomer);
}

#[test]
fn a_member_without_its_folder_abstains_until_it_has_learnt() {
    let mut core = Cluster::start_founders(None);
    let mut gateway = Gateway::start(&core);
    let (first, granted) = gateway.claim_majority(1);
    kill_all(&mut core);
    let wiped = granted[0];
    fs::remove_dir_all(core.data_dir(wiped)).unwrap();
    core.start(wiped, false);
    gateway.assert_abstains(wiped, 1);
    gateway.assert_abstains(wiped, 2);
    core.wait_for_log(wiped, "event=operations_learning");
    ALL.into_iter().filter(|&i| i != wiped).for_each(|i| core.start(i, false));
    gateway.wait_until_learnt(wiped, 1, first);
    core.wait_for_log(wiped, "event=operations_voting records=1");
    // without the consensus state the journal alone would not be valid at the next start
    wait_for_state(&core, wiped);
    // the learnt keys are on its own disk
    kill_all(&mut core);
    core.start(wiped, false);
    gateway.assert_held(wiped, 1, first);
}

#[test]
fn a_member_with_a_damaged_journal_abstains_until_it_has_learnt() {
    let mut core = Cluster::start_founders(None);
    let mut gateway = Gateway::start(&core);
    let (first, granted) = gateway.claim_majority(1);
    let damaged = granted[0];
    core.kill(damaged);
    core.start(damaged, false);
    gateway.assert_held(damaged, 1, first);
    let next_claim = gateway.next_claim();
    gateway.verdict(damaged, 2, next_claim);
    kill_all(&mut core);
    // the restart began another file, so the damaged end of the first file was already reported as saved
    let files = journal_files(&core.data_dir(damaged));
    assert!(files.len() > 1, "{files:?}");
    let bytes = fs::read(&files[0]).unwrap();
    fs::write(&files[0], &bytes[..bytes.len() - 1]).unwrap();
    core.start(damaged, false);
    gateway.assert_abstains(damaged, 1);
    gateway.assert_abstains(damaged, 3);
    core.wait_for_log(damaged, "event=journal_damaged");
    ALL.into_iter().filter(|&i| i != damaged).for_each(|i| core.start(i, false));
    gateway.wait_until_learnt(damaged, 1, first);
}

#[test]
fn a_member_that_lost_only_its_consensus_state_abstains_until_it_has_learnt() {
    let mut core = Cluster::start_founders(None);
    let mut gateway = Gateway::start(&core);
    let (first, granted) = gateway.claim_majority(1);
    kill_all(&mut core);
    let damaged = granted[0];
    for file in fs::read_dir(core.data_dir(damaged)).unwrap().map(|file| file.unwrap().path()) {
        let name = file.file_name().unwrap().to_string_lossy().into_owned();
        if name == "snapshot" || name.starts_with("wal-") {
            fs::remove_file(file).unwrap();
        }
    }
    core.start(damaged, false);
    gateway.assert_abstains(damaged, 1);
    gateway.assert_abstains(damaged, 2);
    ALL.into_iter().filter(|&i| i != damaged).for_each(|i| core.start(i, false));
    gateway.wait_until_learnt(damaged, 1, first);
}

#[test]
fn a_member_with_the_folder_of_another_abstains_until_it_has_learnt() {
    let mut core = Cluster::start_founders(None);
    let mut gateway = Gateway::start(&core);
    let (first, granted) = gateway.claim_majority(1);
    kill_all(&mut core);
    let (copied, other) = (granted[0], granted[1]);
    fs::remove_dir_all(core.data_dir(copied)).unwrap();
    fs::create_dir(core.data_dir(copied)).unwrap();
    for file in fs::read_dir(core.data_dir(other)).unwrap() {
        let file = file.unwrap();
        fs::copy(file.path(), core.data_dir(copied).join(file.file_name())).unwrap();
    }
    core.start(copied, false);
    gateway.assert_abstains(copied, 1);
    gateway.assert_abstains(copied, 2);
    ALL.into_iter().filter(|&i| i != copied).for_each(|i| core.start(i, false));
    gateway.wait_until_learnt(copied, 1, first);
}

#[test]
fn folders_of_a_build_without_a_journal_start_and_vote() {
    let mut core = Cluster::start_founders(None);
    let mut gateway = Gateway::start(&core);
    gateway.claim_majority(1);
    ALL.into_iter().for_each(|i| wait_for_state(&core, i));
    kill_all(&mut core);
    for i in ALL {
        journal_files(&core.data_dir(i)).into_iter().for_each(|file| fs::remove_file(file).unwrap());
    }
    start_all(&mut core);
    let (second, granted) = gateway.claim_majority(2);
    granted.iter().for_each(|&i| gateway.assert_held(i, 2, second));
    ALL.into_iter().for_each(|i| assert!(!log_text(&core, i).contains("event=operations_learning"), "{i}"));
}

/// The metrics of a member about operations and dropped messages.
fn voter_metrics(core: &Cluster, i: usize) -> String {
    let answer = core
        .request(core.control_address(i), ("GET", "/lupinledge/metrics"), b"", common::WAIT_LIMIT)
        .expect("an answer");
    let lines = answer.text().lines().map(String::from).collect::<Vec<_>>();
    let wanted = |line: &&String| line.starts_with("operations.") || line.starts_with("messages.dropped");
    lines.iter().filter(wanted).cloned().collect::<Vec<_>>().join(", ")
}

/// Processor time used by a process, seconds.
fn processor_time(id: u32) -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    let ticks = |at: usize| fields[at].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Processor time of each member over a span in which `step` is called each millisecond.
fn processor_time_over(core: &Cluster, span: Duration, mut step: impl FnMut(Duration)) -> [f64; 3] {
    let before = ALL.map(|i| processor_time(core.process_id(i)));
    let started = Instant::now();
    while started.elapsed() < span {
        step(started.elapsed());
        std::thread::sleep(Duration::from_millis(1));
    }
    ALL.map(|i| processor_time(core.process_id(i)) - before[i])
}

/// `RATES=100,500,1000 cargo test --profile field -p lupinledge-control-plane --test operations -- --ignored
/// --nocapture`: measures the processor time of claims on each member, with each claim sent to all three, and how many
/// claims have the votes of a majority at the end.
#[test]
#[ignore = "prints measurements; takes 20 s, and 10 s for each rate"]
fn figures() {
    const SPAN: Duration = Duration::from_secs(10);
    let rates = std::env::var("RATES").unwrap_or("100,500,1000".into());
    let core = Cluster::start_founders(None);
    let mut gateway = Gateway::start(&core);
    let (claim, granted) = gateway.claim_majority(0);
    let (electorate, _) = gateway.vote(granted[0], 0, claim);
    std::thread::sleep(SPAN);
    let idle = processor_time_over(&core, SPAN, |_| {});
    println!("| claims a second | processor ms per 1,000 claims at each member, less idle | claims | granted by 2 |");
    for rate in rates.split(',').map(|rate| rate.parse::<f64>().expect("a number")) {
        let first = gateway.sequence;
        let processor_s = processor_time_over(&core, SPAN, |elapsed| {
            while ((gateway.sequence - first) as f64) < rate * elapsed.as_secs_f64() {
                let claim = gateway.next_claim();
                let (key, fingerprint) = (Key(claim.sequence, 1), Fingerprint(1));
                let message = Message::Claim { key, claim, fingerprint, keep_s: KEEP_S, electorate };
                ALL.into_iter().for_each(|i| gateway.send(i, message.clone()));
            }
        });
        let claims = gateway.sequence - first;
        let each = ALL.map(|i| format!("{:.1}", (processor_s[i] - idle[i]) * 1e6 / claims as f64));
        let mut granted = BTreeMap::<ClaimId, usize>::new();
        for ((_, claim), (_, verdict)) in gateway.votes.lock().unwrap().iter() {
            if claim.sequence > first && *verdict == Verdict::Granted {
                *granted.entry(*claim).or_default() += 1;
            }
        }
        let granted_by_majority = granted.values().filter(|votes| **votes > 1).count();
        println!("| {rate} | {} | {claims} | {granted_by_majority} |", each.join(", "));
        for i in ALL {
            println!("{}", voter_metrics(&core, i));
        }
    }
}
