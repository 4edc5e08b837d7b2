//! Whose answer a client gets, and how often what may run once is sent, with servers and clients of every bad manner:
//! the data plane on loopback between them, hundreds of requests a seed, judged by what clients and servers saw.

use crate::fleet::{req, row, until, Fleet};
use crate::hive::Answers;
use crate::rogue::{self, deed, Book, Deed};
use crate::srv::{Manner, Srv, FULL, GOOD};
use crate::{ms, srv};
use lupinledge_example::door::Door;
use lupinledge_example::http::{Client, Message};
use lupinledge_messaging::list::ListedServer;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use test_case::test_case;

const CLIENTS: u64 = 8;
const EACH: usize = 100;

/// A request as its client saw it.
struct Seen {
    id: String,
    repeatable: bool,
    /// Of its answer, if one came.
    status: Option<u16>,
    /// What is wrong with the answer by itself.
    fault: Option<&'static str>,
}

/// How a client asks: so many at once on its connection, and whether it leaves without waiting.
fn turn(rng: &mut fastrand::Rng) -> (usize, bool) {
    let at_once = [1, 1, 1, 2, 3][rng.usize(..5)];
    (at_once, rng.u8(..12) == 0)
}

/// What is wrong with an answer to this request.
fn fault(id: &str, answer: &Message) -> Option<&'static str> {
    match answer.status() {
        200..300 if answer.text() != rogue::body(id) => Some("a body of another's, or a part"),
        200..300 if answer.header("lupinledge-attempt-id") != Some(id) => Some("another's id"),
        200..600 => None,
        _ => Some("no answer at all"),
    }
}

/// Asks until it has done its part.
fn client(front: SocketAddr, deeds: u64, seed: u64) -> Vec<Seen> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut seen, mut link) = (Vec::<Seen>::new(), None);
    while seen.len() < EACH {
        let mut c = link.take().unwrap_or_else(|| Client::to(front).expect("a connection"));
        let (at_once, leaves) = turn(&mut rng);
        let (mut text, from) = (String::new(), seen.len());
        for _ in 0..at_once {
            let repeatable = rng.u8(..4) == 0;
            let line = if repeatable { "GET /read/x" } else { "POST /pay/x" };
            let (old, one) = req(line, "key", "", if repeatable { "" } else { "sum" });
            let id = format!("of{seed:02x}-{:04}", seen.len()); // whatever other tests ask meanwhile
            let one = one.replace(&old, &id);
            // one that is never answered is not waited for by its whole time
            let within = if deed(deeds, &id) == Deed::Silent { 300 } else { 5000 };
            text += &one.replace("Host:", &format!("Lupinledge-Deadline-Ms: {within}\r\nHost:"));
            seen.push(Seen { id, repeatable, status: None, fault: None });
        }
        if c.write(text.as_bytes()).is_err() || leaves {
            continue; // its connection ends with it
        }
        let mut open = true;
        for s in &mut seen[from..] {
            let Ok(Some(answer)) = c.answer() else {
                open = false;
                break;
            };
            (s.status, s.fault) = (Some(answer.status()), fault(&s.id, &answer));
            open = answer.header("connection") != Some("close") && s.fault.is_none();
            if !open {
                break;
            }
        }
        link = Some(c).filter(|_| open);
    }
    seen
}

/// MIXED, TWICE, REFUSED: no client gets another's answer or a part of one, nothing that may run once runs twice over
/// all servers, and no promise is given for what ran.
#[test_case(1, &[])]
#[test_case(2, &[])]
#[test_case(3, &[])]
#[test_case(4, &[3000, 20, 50, 20, 300]; "standing still now and then")]
fn rogues(seed: u64, freezes: &[u64]) {
    let book: Arc<Book> = Arc::default();
    let f = Fleet::start((0..8).map(|nth| rogue::start(nth, seed, &book)).collect());
    let front = f.front;
    let clients: Vec<_> =
        (0..CLIENTS).map(|c| std::thread::spawn(move || client(front, seed, seed << 4 | c))).collect();
    // what servers and clients do meanwhile meets it all at once
    for stands in freezes {
        let more = book.whole() + 40;
        until("it goes on", || book.whole() >= more || clients.iter().all(|c| c.is_finished()));
        f.signal("STOP");
        sleep(ms(*stands));
        f.signal("CONT");
    }
    let seen: Vec<Seen> = clients.into_iter().flat_map(|c| c.join().expect("a client")).collect();
    drop(f);
    until("servers are rid of it", || book.open() == 0);
    let (mut faults, mut statuses) = (BTreeMap::<_, usize>::new(), BTreeMap::<_, usize>::new());
    for s in &seen {
        *statuses.entry(s.status).or_default() += 1;
        let (deed, ran) = (deed(seed, &s.id), book.ran(&s.id));
        let promised = matches!(s.status, Some(408 | 421 | 429 | 503));
        let wrong = match s {
            Seen { fault: Some(fault), .. } => Some(*fault),
            Seen { repeatable: false, .. } if ran > 1 => Some("ran twice"),
            Seen { repeatable: false, .. } if promised && ran > 0 => Some("a promise for what ran"),
            Seen { status: Some(200..300), .. } if ran == 0 => Some("a success that nobody made"),
            _ => None,
        };
        wrong.into_iter().for_each(|w| *faults.entry((deed, w)).or_default() += 1);
    }
    assert!(faults.is_empty(), "{faults:?}, of {statuses:?}");
    assert!(statuses.get(&Some(200)).is_some_and(|n| *n >= EACH), "{statuses:?}");
    let bad = book.deeds().iter().filter(|d| *d.0 != Deed::Good).map(|d| d.1).sum::<u32>();
    assert!(bad >= 100 && book.deeds().len() > 20, "{:?}", book.deeds());
}

/// TWICE: an id that a client uses again, on any connection, is refused, unless what came under it before was promised
/// not to have run; one that may be repeated may.
#[test]
fn an_id_is_had_once() {
    let s = srv("i-1", GOOD);
    let f = Fleet::start(vec![row(&s, "a")]);
    let (_, text) = req("POST /pay/x", "key", "", "sum");
    let mut c = Client::to(f.front).unwrap();
    c.write((text.clone() + &text).as_bytes()).unwrap();
    let mut status = || c.answer().unwrap().map(|a| (a.status(), a.header("connection").is_some()));
    assert_eq!((status(), status()), (Some((200, false)), Some((409, true))), "pipelined");
    assert_eq!((f.ask(&text).status(), s.got().len()), (409, 1));
    assert_eq!(f.ask(&text.replace("Token key", "Token wold-key")).status(), 429, "another tenant's own");
    let (_, read) = req("GET /read/x", "key", "", "");
    assert_eq!([f.ask(&read).status(), f.ask(&read).status()], [200, 200]);
    let (_, text) = req("POST /pay/x", "key", "", "sum");
    s.now(FULL);
    assert_eq!(f.ask(&text).status(), 429);
    s.now(Manner::Close(""));
    assert_eq!([f.ask(&text).status(), f.ask(&text).status()], [502, 409], "it may have run");
}

/// QUOTA: what the counters answer to an earlier start of this process, under the same address, is no answer to this
/// one, whose calls count from the first again.
#[test]
fn an_earlier_starts_totals() {
    let s = srv("i-1", GOOD);
    let mut f = Fleet::start(vec![row(&s, "a")]);
    f.hive.answers(Answers::Withheld);
    assert_eq!(f.statuses(1, "GET /read/x", "small-key"), [200], "by its own part");
    f.restart();
    f.hive.answers(Answers::Late);
    assert_eq!(f.statuses(1, "GET /read/x", "small-key"), [200], "the same");
    assert!(f.hive.counts.stale.load(Ordering::SeqCst) > 0);
}

/// QUOTA: nor is what the same machine says of an epoch that it held before.
#[test]
fn an_earlier_epochs_totals() {
    let s = srv("i-1", GOOD);
    let f = Fleet::start(vec![row(&s, "a")]);
    assert_eq!(f.statuses(1, "GET /read/x", "small-key"), [200]);
    f.hive.round(2);
    until("the new holder is told", || f.hive.counts.told.load(Ordering::SeqCst) > 0);
    f.hive.answers(Answers::Outdated);
    assert_eq!(f.statuses(1, "GET /read/x", "small-key"), [200]);
    assert!(f.hive.counts.stale.load(Ordering::SeqCst) > 0);
}

/// How long a request is, once its head is there.
fn length(got: &[u8]) -> Option<usize> {
    let head = got.windows(4).position(|w| w == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&got[..head]).to_ascii_lowercase();
    let body = text.split("content-length: ").nth(1).and_then(|l| l.split('\r').next()?.parse().ok());
    Some(head + 4 + body.unwrap_or(0))
}

/// Reads so many bytes of a request at most; whether that was all of it.
fn read_some(from: &mut TcpStream, most: usize) -> bool {
    let (mut front, mut have, mut buf) = (Vec::new(), 0, vec![0; 64 << 10]);
    loop {
        if length(&front).is_some_and(|l| have >= l) {
            return true;
        }
        let want = buf.len().min(most - have);
        let Ok(n @ 1..) = from.read(&mut buf[..want]) else { return false };
        have += n;
        if front.len() < 4096 {
            front.extend_from_slice(&buf[..n]);
        }
    }
}

/// TWICE: where a server breaks off after so many bytes of a request, another one gets it only if the first has not
/// had it whole; where it may have, the client is told by 502.
#[test]
fn broken_off_after_any_byte() {
    let (cut, tried, whole): (Arc<AtomicUsize>, Arc<AtomicBool>, Arc<AtomicBool>) = Default::default();
    let (most, has_tried, had_whole) = (cut.clone(), tried.clone(), whole.clone());
    let breaks = Door::open("127.0.0.1:0", move |mut stream| {
        has_tried.store(true, Ordering::SeqCst);
        let whole = read_some(&mut stream, most.load(Ordering::SeqCst));
        had_whole.fetch_or(whole, Ordering::SeqCst);
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    });
    let (two, breaks) = (Srv::start("i-2", "wold-1", GOOD), breaks.unwrap().addr);
    let f = Fleet::start(vec![row(&two, "a")]);
    let (mut rng, mut met) = (fastrand::Rng::with_seed(5), BTreeMap::<_, usize>::new());
    for (nth, size) in [0, 3, 100, 20 << 10, 8 << 20, 32 << 20].repeat(5).into_iter().enumerate() {
        // a new one each time: one that broke off is asked less
        let (id, zone) = (format!("i-broken-{nth}"), "mead-1".into());
        f.list(vec![ListedServer { id, zone, address: breaks, ..row(&two, "a") }, row(&two, "a")]);
        let (id, text) = req("POST /pay/x", "key", "", &"x".repeat(size));
        tried.store(false, Ordering::SeqCst);
        whole.store(false, Ordering::SeqCst);
        // of the largest, most stays where the machine's buffers have no room for it
        let never_whole = size == 32 << 20;
        let after = if never_whole { rng.usize(2000..size / 4) } else { rng.usize(1..size * 3 / 2 + 600) };
        cut.store(after, Ordering::SeqCst);
        let before = two.got().len();
        let answer = f.ask(&text);
        let (had, [tried, whole]) =
            (two.got().len() - before, [&tried, &whole].map(|f| f.load(Ordering::SeqCst)));
        assert!(tried, "the near one is asked first");
        assert!(matches!((answer.status(), had), (200, 1) | (502, 0)), "{}, {had} of {size}", answer.start);
        assert!(!never_whole || had == 1, "{}: it can't have had the last byte", answer.start);
        assert!(had == 0 || answer.text() == format!("i-2 for {id}"));
        assert!(had == 0 || !whole, "{size}: both had it whole");
        *met.entry((had, whole)).or_default() += 1;
    }
    assert_eq!(met.len(), 3, "{met:?}: had whole, maybe had, and sent on are all met");
}
