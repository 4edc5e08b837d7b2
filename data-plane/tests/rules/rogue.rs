//! A stand-in for servers that break off, come late, say too much and contradict themselves, and the book of what all
//! of them ran. What one does with a request follows from the seed and the request's id alone.

use lupinledge_messaging::list::ListedServer;
use socket2::SockRef;
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a server does with a request that it has read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Deed {
    Good,
    /// In two writes.
    Halves,
    Chunked,
    /// Told ahead of the answer.
    Ahead,
    /// The same answer once more, in the same write.
    Doubled,
    /// The same, in a write of its own: it may come where the next answer is due.
    Trailed,
    /// The next request on the connection is answered with this answer first.
    Overdue,
    /// `Connection: close`, and it closes; or stays, and would serve on.
    Closing,
    Staying,
    /// Answers, and forgets the connection without a word: by an end or a reset.
    Forgets,
    Drops,
    /// Runs it, and resets the connection; or ends it.
    Resets,
    Ends,
    /// An answer cut off: in its head, its body, its last chunk.
    CutHead,
    CutBody,
    CutChunk,
    /// Runs it and says nothing.
    Silent,
    /// Runs it, and answers with what would be a promise from the system itself.
    Busy,
    Slow,
    Many,
    /// Runs it, and answers with another protocol's word.
    Switches,
    /// A failure of its own.
    Fails,
    /// An answer to a request that nobody sent, alone; with its own id beside, first or last.
    Alien,
    AlienAfter,
    AlienBefore,
    /// A success that says that it has not run.
    Contradicts,
    /// Says that it has not run it, and has not.
    Full,
    Misdirected,
}

const DEEDS: [Deed; 28] = [
    Deed::Good,
    Deed::Halves,
    Deed::Chunked,
    Deed::Ahead,
    Deed::Doubled,
    Deed::Trailed,
    Deed::Overdue,
    Deed::Closing,
    Deed::Staying,
    Deed::Forgets,
    Deed::Drops,
    Deed::Resets,
    Deed::Ends,
    Deed::CutHead,
    Deed::CutBody,
    Deed::CutChunk,
    Deed::Silent,
    Deed::Busy,
    Deed::Slow,
    Deed::Many,
    Deed::Switches,
    Deed::Fails,
    Deed::Alien,
    Deed::AlienAfter,
    Deed::AlienBefore,
    Deed::Contradicts,
    Deed::Full,
    Deed::Misdirected,
];

fn hash(of: impl Hash) -> u64 {
    let mut h = DefaultHasher::new();
    of.hash(&mut h);
    h.finish()
}

/// What is done with the request of this id; every other one is served well, so that no server is given up.
pub fn deed(seed: u64, id: &str) -> Deed {
    match hash((seed, id)) % 2 {
        0 => Deed::Good,
        _ => DEEDS[hash((id, seed)) as usize % DEEDS.len()],
    }
}

/// The body that belongs to a request.
pub fn body(id: &str) -> String {
    format!("{id} {}", "z".repeat(hash(id) as usize % 6000))
}

/// What all servers together ran, by id, and what was done how often.
#[derive(Default)]
pub struct Book {
    ran: Mutex<BTreeMap<String, u32>>,
    deeds: Mutex<BTreeMap<Deed, u32>>,
    open: AtomicUsize,
}

impl Book {
    pub fn ran(&self, id: &str) -> u32 {
        self.ran.lock().unwrap().get(id).copied().unwrap_or(0)
    }
    /// How many requests came whole so far.
    pub fn whole(&self) -> u32 {
        self.deeds.lock().unwrap().values().sum()
    }
    pub fn deeds(&self) -> BTreeMap<Deed, u32> {
        self.deeds.lock().unwrap().clone()
    }
    /// Connections that a server still holds.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

/// Starts a server of service `a`; one that has become another answers 421, as `Misdirected` does.
pub fn start(nth: usize, seed: u64, book: &Arc<Book>) -> ListedServer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let book = book.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let book = book.clone();
            book.open.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                let _ = serve(stream, seed, &book);
                book.open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    row(nth, address)
}

fn row(nth: usize, address: SocketAddr) -> ListedServer {
    let (id, zone) = (format!("i-{nth}"), "mead-1".into());
    ListedServer { id, service: "a".into(), address, zone, slots: 64, draining: false, warmup_left_s: 0.0 }
}

fn answer(status: &str, id: &str, more: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nLupinledge-Attempt-Id: {id}\r\nLupinledge-Server-Stamp: st\r\n{more}Content-Length: {length}\r\n\r\n{body}")
}

fn chunked(id: &str, body: &str) -> String {
    let head = format!("HTTP/1.1 200 OK\r\nLupinledge-Attempt-Id: {id}\r\nLupinledge-Server-Stamp: st\r\nTransfer-Encoding: chunked\r\n\r\n");
    let (a, b) = body.split_at(body.len() / 2);
    format!("{head}{:x}\r\n{a}\r\n{:x}\r\n{b}\r\n0\r\n\r\n", a.len(), b.len())
}

fn serve(stream: TcpStream, seed: u64, book: &Book) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut from = BufReader::new(stream);
    let mut overdue = String::new();
    while let Some(m) = lupinledge_example::http::read(&mut from)? {
        let id = m.header("lupinledge-attempt-id").unwrap_or("none").to_string();
        let deed = deed(seed, &id);
        *book.deeds.lock().unwrap().entry(deed).or_default() += 1;
        if !matches!(deed, Deed::Full | Deed::Misdirected) {
            *book.ran.lock().unwrap().entry(id.clone()).or_default() += 1;
        }
        let to = from.get_mut();
        if !overdue.is_empty() {
            to.write_all(std::mem::take(&mut overdue).as_bytes())?;
        }
        let good = answer("200 OK", &id, "", &body(&id));
        let none = "at-nobody";
        let first = match deed {
            Deed::Good | Deed::Forgets | Deed::Drops | Deed::Overdue | Deed::Trailed => good.clone(),
            Deed::Halves | Deed::CutBody => good[..good.len() - 2].to_string(),
            Deed::Chunked => chunked(&id, &body(&id)),
            Deed::Ahead => format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLupinledge-Attempt-Id: {none}\r\nX-A: b\r\n\r\n{good}"),
            Deed::Doubled => format!("{good}{good}"),
            Deed::Closing | Deed::Staying => answer("200 OK", &id, "Connection: close\r\n", &body(&id)),
            Deed::Resets | Deed::Ends | Deed::Silent => String::new(),
            Deed::CutHead => good[..20].to_string(),
            Deed::CutChunk => {
                let whole = chunked(&id, &body(&id));
                whole[..whole.len() - "0\r\n\r\n".len()].to_string()
            }
            Deed::Busy => answer("503 Busy", &id, "Retry-After: 0.01\r\n", ""),
            Deed::Slow => answer("408 Slow", &id, "", ""),
            Deed::Many => answer("429 Many", &id, "Retry-After: 0.01\r\n", ""),
            Deed::Switches => answer("101 Switching", &id, "Connection: upgrade\r\nUpgrade: other\r\n", ""),
            Deed::Fails => answer("500 Own", &id, "", "own"),
            Deed::Alien => answer("200 OK", none, "", &body(none)),
            Deed::AlienAfter => answer("200 OK", &id, &format!("Lupinledge-Attempt-Id: {none}\r\n"), &body(none)),
            Deed::AlienBefore => answer("200 OK", none, &format!("Lupinledge-Attempt-Id: {id}\r\n"), &body(none)),
            Deed::Contradicts => answer("200 OK", &id, "Lupinledge-Not-Executed: full\r\n", &body(&id)),
            Deed::Full => answer("503 Full", &id, "Lupinledge-Not-Executed: full\r\n", ""),
            Deed::Misdirected => answer("421 Not me", &id, "", ""),
        };
        to.write_all(first.as_bytes())?;
        match deed {
            Deed::Halves => {
                std::thread::yield_now();
                to.write_all(&good.as_bytes()[good.len() - 2..])?;
            }
            Deed::Trailed => to.write_all(good.as_bytes())?,
            Deed::Overdue => overdue = good,
            Deed::Forgets | Deed::Resets | Deed::CutHead => {
                return SockRef::from(&*to).set_linger(Some(Duration::ZERO));
            }
            Deed::Closing | Deed::Drops | Deed::Ends | Deed::CutBody | Deed::CutChunk => return Ok(()),
            _ => {}
        }
    }
    Ok(())
}
