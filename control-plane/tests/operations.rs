//! Three processes of the core on loopback as voters on operation keys, asked by a stand-in for a gateway over the port
//! for messages: what they granted outlives kills, and who lost its memory learns before it votes.

mod common;

use common::{until, Members};
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

/// Seconds for which a key stays taken.
const KEEP: f32 = 3600.0;
/// A claim without a vote is sent again after so long.
const REPEAT: Duration = Duration::from_millis(100);
const ALL: [usize; 3] = [0, 1, 2];

type Vote = (ElectorateId, Verdict);
type Votes = Arc<Mutex<BTreeMap<(Node, ClaimId), Vote>>>;

/// A stand-in for a gateway, with a thread of its own for its messages.
struct Gateway {
    node: Node,
    voters: [Node; 3],
    sequence: u64,
    /// The last vote of each voter on each claim.
    votes: Votes,
    out: Option<UnboundedSender<(Node, Message)>>,
    thread: Option<JoinHandle<()>>,
}

impl Gateway {
    /// At the one address of these that no member has.
    fn of(core: &Members) -> Gateway {
        let (ip, port, votes) = (core.ips[3], core.peers, Votes::default());
        let (out, orders) = unbounded_channel();
        let keep = votes.clone();
        let thread = std::thread::spawn(move || carry(ip, port, keep, orders));
        let voters = ALL.map(|i| Node::from(core.ips[i]));
        Gateway { node: ip.into(), voters, sequence: 0, votes, out: Some(out), thread: Some(thread) }
    }

    fn next(&mut self) -> ClaimId {
        self.sequence += 1;
        ClaimId { gateway: self.node, start: 1, sequence: self.sequence }
    }

    fn send(&self, to: usize, message: Message) {
        self.out.as_ref().unwrap().send((self.voters[to], message)).unwrap();
    }

    /// What this member says to this claim of a key.
    fn ask(&self, i: usize, key: u64, claim: ClaimId) -> Vote {
        self.votes.lock().unwrap().remove(&(self.voters[i], claim));
        let mut sent: Option<Instant> = None;
        until("a vote", || {
            if sent.is_none_or(|sent| sent.elapsed() > REPEAT) {
                sent = Some(Instant::now());
                let (key, fingerprint) = (Key(key, 0), Fingerprint(key));
                let electorate = ElectorateId::default();
                self.send(i, Message::Claim { key, claim, fingerprint, keep_s: KEEP, electorate });
            }
            self.votes.lock().unwrap().get(&(self.voters[i], claim)).copied()
        })
    }

    fn verdict(&self, i: usize, key: u64, claim: ClaimId) -> Verdict {
        self.ask(i, key, claim).1
    }

    /// Claims a key until a majority has granted it under one electorate; also tells who did.
    fn granted(&mut self, key: u64) -> (ClaimId, Vec<usize>) {
        let claim = self.next();
        let granted = until("a majority grants it", || {
            let votes = ALL.map(|i| self.ask(i, key, claim));
            let granted = |id| ALL.into_iter().filter(move |&i| votes[i] == (id, Verdict::Granted));
            let electorates = votes.map(|(id, _)| granted(id).collect::<Vec<_>>());
            electorates.into_iter().find(|granted| granted.len() > 1)
        });
        (claim, granted)
    }

    /// Another claim of the key is told that it is held by this one.
    fn held(&mut self, i: usize, key: u64, by: ClaimId) {
        let rival = self.next();
        let verdict = self.verdict(i, key, rival);
        assert!(matches!(verdict, Verdict::Held { by: holder, .. } if holder == by), "{i}: {verdict:?}");
    }

    fn abstains(&mut self, i: usize, key: u64) {
        let claim = self.next();
        assert_eq!(self.verdict(i, key, claim), Verdict::Abstained, "{i}");
    }

    /// Waits until this member has learnt by whom the key is held; before that it may say nothing but that it abstains.
    fn learns(&mut self, i: usize, key: u64, by: ClaimId) {
        until("it has learnt", || {
            let rival = self.next();
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
        self.out = None;
        let ended = self.thread.take().unwrap().join();
        assert!(ended.is_ok() || std::thread::panicking());
    }
}

/// Sends what it is told to, and notes the votes that come.
fn carry(ip: Ipv4Addr, port: u16, votes: Votes, mut orders: UnboundedReceiver<(Node, Message)>) {
    let note = move |from, word| {
        if let WireMessage::Operation(Message::Vote { claim, electorate, verdict, .. }) = word {
            votes.lock().unwrap().insert((from, claim), (electorate, verdict));
        }
    };
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default()).unwrap();
    runtime.block_on(async move {
        let post = Transport::open(ip.into(), port, Rc::new(note)).unwrap();
        while let Some((to, message)) = orders.recv().await {
            post.send(to, &WireMessage::Operation(message));
        }
        post.close();
    });
}

/// The files of a member's journal, oldest first.
fn journal(folder: &Path) -> Vec<PathBuf> {
    let files = fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    let is_journal = |path: &PathBuf| path.file_name().unwrap().to_string_lossy().starts_with("operations-");
    let mut files: Vec<PathBuf> = files.filter(is_journal).collect();
    files.sort();
    assert!(!files.is_empty());
    files
}

/// Waits until the state of the agreement is on the disk of a member.
fn has_state(core: &Members, i: usize) {
    until("its state", || core.data(i).join("snapshot").exists().then_some(()));
}

fn kill_all(core: &mut Members) {
    ALL.into_iter().for_each(|i| core.kill(i));
}

fn start_all(core: &mut Members) {
    ALL.into_iter().for_each(|i| core.start(i, false));
}

fn log(core: &Members, i: usize) -> String {
    fs::read_to_string(core.log(i)).unwrap()
}

#[test]
fn a_granted_key_stays_taken_when_all_three_are_killed() {
    let mut core = Members::found(None);
    let mut gateway = Gateway::of(&core);
    let (first, granted) = gateway.granted(1);
    granted.iter().for_each(|&i| gateway.held(i, 1, first));
    kill_all(&mut core);
    start_all(&mut core);
    granted.iter().for_each(|&i| gateway.held(i, 1, first));
    granted.iter().for_each(|&i| assert_eq!(gateway.verdict(i, 1, first), Verdict::Granted));
    // and the core goes on: the next key is free
    let (second, granted) = gateway.granted(2);
    granted.iter().for_each(|&i| gateway.held(i, 2, second));
}

#[test]
fn a_released_key_is_free_for_another_claim() {
    let core = Members::found(None);
    let mut gateway = Gateway::of(&core);
    let (first, granted) = gateway.granted(1);
    let second = gateway.next();
    until("it is free", || {
        let released = Message::Release { key: Key(1, 0), claim: first };
        ALL.into_iter().for_each(|i| gateway.send(i, released.clone()));
        granted.iter().all(|&i| gateway.verdict(i, 1, second) == Verdict::Granted).then_some(())
    });
    granted.iter().for_each(|&i| gateway.held(i, 1, second));
}

#[test]
fn a_member_with_its_folder_votes_alone_at_once() {
    let mut core = Members::found(None);
    let mut gateway = Gateway::of(&core);
    let (first, granted) = gateway.granted(1);
    kill_all(&mut core);
    let i = granted[0];
    core.start(i, false);
    gateway.held(i, 1, first);
    let next = gateway.next();
    assert_eq!(gateway.verdict(i, 2, next), Verdict::Granted);
    assert!(!log(&core, i).contains("event=operations_learning"));
    let figures = figures_of(&core, i);
    assert!(figures.contains("operations.records 2") && figures.contains("operations.votes 1"), "{figures}");
}

/// Else a state without a journal, which means that nothing was ever granted here, could be that of a machine that did.
#[test]
fn no_state_of_the_agreement_is_saved_before_the_journal_has_begun() {
    let mut core = Members::found(None);
    let mut gateway = Gateway::of(&core);
    gateway.granted(1);
    drop(gateway);
    let newcomer = 3;
    let unreadable = core.data(newcomer).join("operations-000001.log");
    fs::create_dir_all(&unreadable).unwrap();
    core.start(newcomer, false);
    core.logged(newcomer, "event=journal_unread");
    until("it listens", || Client::connect(core.at(newcomer)).ok());
    assert!(!core.data(newcomer).join("snapshot").exists());
    assert!(!log(&core, newcomer).contains("event=started"));
    fs::remove_dir(&unreadable).unwrap();
    core.logged(newcomer, "event=started");
    core.logged(newcomer, "event=operations_learning");
    core.logged(newcomer, "event=operations_voting records=1");
    has_state(&core, newcomer);
}

#[test]
fn a_member_without_its_folder_abstains_until_it_has_learnt() {
    let mut core = Members::found(None);
    let mut gateway = Gateway::of(&core);
    let (first, granted) = gateway.granted(1);
    kill_all(&mut core);
    let wiped = granted[0];
    fs::remove_dir_all(core.data(wiped)).unwrap();
    core.start(wiped, false);
    gateway.abstains(wiped, 1);
    gateway.abstains(wiped, 2);
    core.logged(wiped, "event=operations_learning");
    ALL.into_iter().filter(|&i| i != wiped).for_each(|i| core.start(i, false));
    gateway.learns(wiped, 1, first);
    core.logged(wiped, "event=operations_voting records=1");
    // without a state of the agreement the journal alone would not do
    has_state(&core, wiped);
    // what it learnt is on its own disk
    kill_all(&mut core);
    core.start(wiped, false);
    gateway.held(wiped, 1, first);
}

#[test]
fn a_member_with_a_damaged_journal_abstains_until_it_has_learnt() {
    let mut core = Members::found(None);
    let mut gateway = Gateway::of(&core);
    let (first, granted) = gateway.granted(1);
    let hurt = granted[0];
    core.kill(hurt);
    core.start(hurt, false);
    gateway.held(hurt, 1, first);
    let next = gateway.next();
    gateway.verdict(hurt, 2, next);
    kill_all(&mut core);
    // another start has begun another file: the end of the one before was told as saved
    let files = journal(&core.data(hurt));
    assert!(files.len() > 1, "{files:?}");
    let bytes = fs::read(&files[0]).unwrap();
    fs::write(&files[0], &bytes[..bytes.len() - 1]).unwrap();
    core.start(hurt, false);
    gateway.abstains(hurt, 1);
    gateway.abstains(hurt, 3);
    core.logged(hurt, "event=journal_damaged");
    ALL.into_iter().filter(|&i| i != hurt).for_each(|i| core.start(i, false));
    gateway.learns(hurt, 1, first);
}

#[test]
fn a_member_that_lost_its_state_of_the_agreement_alone_abstains_until_it_has_learnt() {
    let mut core = Members::found(None);
    let mut gateway = Gateway::of(&core);
    let (first, granted) = gateway.granted(1);
    kill_all(&mut core);
    let hurt = granted[0];
    for file in fs::read_dir(core.data(hurt)).unwrap().map(|file| file.unwrap().path()) {
        let name = file.file_name().unwrap().to_string_lossy().into_owned();
        if name == "snapshot" || name.starts_with("wal-") {
            fs::remove_file(file).unwrap();
        }
    }
    core.start(hurt, false);
    gateway.abstains(hurt, 1);
    gateway.abstains(hurt, 2);
    ALL.into_iter().filter(|&i| i != hurt).for_each(|i| core.start(i, false));
    gateway.learns(hurt, 1, first);
}

#[test]
fn a_member_with_the_folder_of_another_abstains_until_it_has_learnt() {
    let mut core = Members::found(None);
    let mut gateway = Gateway::of(&core);
    let (first, granted) = gateway.granted(1);
    kill_all(&mut core);
    let (copied, other) = (granted[0], granted[1]);
    fs::remove_dir_all(core.data(copied)).unwrap();
    fs::create_dir(core.data(copied)).unwrap();
    for file in fs::read_dir(core.data(other)).unwrap() {
        let file = file.unwrap();
        fs::copy(file.path(), core.data(copied).join(file.file_name())).unwrap();
    }
    core.start(copied, false);
    gateway.abstains(copied, 1);
    gateway.abstains(copied, 2);
    ALL.into_iter().filter(|&i| i != copied).for_each(|i| core.start(i, false));
    gateway.learns(copied, 1, first);
}

#[test]
fn folders_of_a_build_without_a_journal_start_and_vote() {
    let mut core = Members::found(None);
    let mut gateway = Gateway::of(&core);
    gateway.granted(1);
    ALL.into_iter().for_each(|i| has_state(&core, i));
    kill_all(&mut core);
    for i in ALL {
        journal(&core.data(i)).into_iter().for_each(|file| fs::remove_file(file).unwrap());
    }
    start_all(&mut core);
    let (second, granted) = gateway.granted(2);
    granted.iter().for_each(|&i| gateway.held(i, 2, second));
    ALL.into_iter().for_each(|i| assert!(!log(&core, i).contains("event=operations_learning"), "{i}"));
}

/// What a member tells of its messages and of operations.
fn figures_of(core: &Members, i: usize) -> String {
    let told = core.ask(core.at(i), ("GET", "/lupinledge/metrics"), b"", common::LONG).expect("an answer");
    let lines = told.text().lines().map(String::from).collect::<Vec<_>>();
    let wanted = |line: &&String| line.starts_with("operations.") || line.starts_with("messages.dropped");
    lines.iter().filter(wanted).cloned().collect::<Vec<_>>().join(", ")
}

/// Processor time of a process so far, seconds.
fn processor_time(id: u32) -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    let ticks = |at: usize| fields[at].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Processor time of each member over a span in which `step` is called each millisecond.
fn spent(core: &Members, span: Duration, mut step: impl FnMut(Duration)) -> [f64; 3] {
    let before = ALL.map(|i| processor_time(core.id(i)));
    let began = Instant::now();
    while began.elapsed() < span {
        step(began.elapsed());
        std::thread::sleep(Duration::from_millis(1));
    }
    ALL.map(|i| processor_time(core.id(i)) - before[i])
}

/// `RATES=100,500,1000 cargo test --profile field -p lupinledge-control-plane --test operations -- --ignored
/// --nocapture`: what claims cost a member, each one sent to all three, and how many have the votes of a majority at
/// the end.
#[test]
#[ignore = "figures; takes 20 s, and 10 s for each rate"]
fn figures() {
    const SPAN: Duration = Duration::from_secs(10);
    let rates = std::env::var("RATES").unwrap_or("100,500,1000".into());
    let core = Members::found(None);
    let mut gateway = Gateway::of(&core);
    let (claim, granted) = gateway.granted(0);
    let (electorate, _) = gateway.ask(granted[0], 0, claim);
    std::thread::sleep(SPAN);
    let idle = spent(&core, SPAN, |_| {});
    println!("| claims a second | processor ms per 1,000 claims at each member, less idle | claims | granted by 2 |");
    for rate in rates.split(',').map(|rate| rate.parse::<f64>().expect("a number")) {
        let first = gateway.sequence;
        let spent = spent(&core, SPAN, |elapsed| {
            while ((gateway.sequence - first) as f64) < rate * elapsed.as_secs_f64() {
                let claim = gateway.next();
                let (key, fingerprint) = (Key(claim.sequence, 1), Fingerprint(1));
                let message = Message::Claim { key, claim, fingerprint, keep_s: KEEP, electorate };
                ALL.into_iter().for_each(|i| gateway.send(i, message.clone()));
            }
        });
        let claims = gateway.sequence - first;
        let each = ALL.map(|i| format!("{:.1}", (spent[i] - idle[i]) * 1e6 / claims as f64));
        let mut granted = BTreeMap::<ClaimId, usize>::new();
        for ((_, claim), (_, verdict)) in gateway.votes.lock().unwrap().iter() {
            if claim.sequence > first && *verdict == Verdict::Granted {
                *granted.entry(*claim).or_default() += 1;
            }
        }
        let carried = granted.values().filter(|votes| **votes > 1).count();
        println!("| {rate} | {} | {claims} | {carried} |", each.join(", "));
        for i in ALL {
            println!("{}", figures_of(&core, i));
        }
    }
}
