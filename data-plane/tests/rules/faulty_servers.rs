//! Test servers that close connections, answer late, send too much and contradict themselves, with a record
//! of what all of them ran. What a server does with a request depends only on the seed and the request's
//! attempt id.

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

/// What a server does with a request that it has read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultyBehavior {
    /// Answers as it should.
    Good,
    /// Answers in two writes.
    TwoWrites,
    /// Answers with a chunked body.
    Chunked,
    /// Sends informational answers first.
    Informational,
    /// Sends the same answer twice in one write.
    RepeatedAtOnce,
    /// Sends the answer again in a second write, which may arrive when the next answer is due.
    RepeatedLater,
    /// The next request on the connection is answered with this answer first.
    Stale,
    /// Answers with `Connection: close` and closes the connection, or leaves it open and would continue to
    /// serve.
    ClosesAsAnnounced,
    StaysOpen,
    /// Answers, and then resets or closes the connection without notice.
    AnswersAndResets,
    AnswersAndCloses,
    /// Runs the request and resets or closes the connection without an answer.
    Resets,
    Closes,
    /// Sends an answer that is cut off in its head, its body, or its last chunk.
    CutHead,
    CutBody,
    CutChunk,
    /// Runs the request and does not answer.
    Silent,
    /// Runs the request and answers with a status that would be a promise from the gateway that it has not
    /// run.
    Busy,
    RequestTimeout,
    TooManyRequests,
    /// Runs the request and answers that it switches to another protocol.
    SwitchesProtocol,
    /// Answers with a failure of its own.
    ServerError,
    /// Answers with the id of a request that was never sent: alone, after the request's own id, or before it.
    ForeignId,
    ForeignIdAfter,
    ForeignIdBefore,
    /// Answers with a success that states that the request has not run.
    Contradicts,
    /// States truthfully that the request has not run.
    Full,
    Misdirected,
}

const BEHAVIORS: [FaultyBehavior; 28] = [
    FaultyBehavior::Good,
    FaultyBehavior::TwoWrites,
    FaultyBehavior::Chunked,
    FaultyBehavior::Informational,
    FaultyBehavior::RepeatedAtOnce,
    FaultyBehavior::RepeatedLater,
    FaultyBehavior::Stale,
    FaultyBehavior::ClosesAsAnnounced,
    FaultyBehavior::StaysOpen,
    FaultyBehavior::AnswersAndResets,
    FaultyBehavior::AnswersAndCloses,
    FaultyBehavior::Resets,
    FaultyBehavior::Closes,
    FaultyBehavior::CutHead,
    FaultyBehavior::CutBody,
    FaultyBehavior::CutChunk,
    FaultyBehavior::Silent,
    FaultyBehavior::Busy,
    FaultyBehavior::RequestTimeout,
    FaultyBehavior::TooManyRequests,
    FaultyBehavior::SwitchesProtocol,
    FaultyBehavior::ServerError,
    FaultyBehavior::ForeignId,
    FaultyBehavior::ForeignIdAfter,
    FaultyBehavior::ForeignIdBefore,
    FaultyBehavior::Contradicts,
    FaultyBehavior::Full,
    FaultyBehavior::Misdirected,
];

fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The behavior for the request with this attempt id. Half of the requests are served well, so that no server
/// is given up.
pub fn behavior_of(seed: u64, id: &str) -> FaultyBehavior {
    match hash((seed, id)) % 2 {
        0 => FaultyBehavior::Good,
        _ => BEHAVIORS[hash((id, seed)) as usize % BEHAVIORS.len()],
    }
}

/// The body of the right answer to a request.
pub fn body(id: &str) -> String {
    format!("{id} {}", "z".repeat(hash(id) as usize % 6000))
}

/// Records what all servers together ran, by attempt id, and how often each behavior occurred.
#[derive(Default)]
pub struct RunLog {
    ran: Mutex<BTreeMap<String, u32>>,
    behaviors: Mutex<BTreeMap<FaultyBehavior, u32>>,
    open: AtomicUsize,
}

impl RunLog {
    /// How often the request with this attempt id ran.
    pub fn ran(&self, id: &str) -> u32 {
        self.ran.lock().unwrap().get(id).copied().unwrap_or(0)
    }
    /// The number of requests that were received completely so far.
    pub fn whole(&self) -> u32 {
        self.behaviors.lock().unwrap().values().sum()
    }
    /// How often each behavior occurred.
    pub fn behaviors(&self) -> BTreeMap<FaultyBehavior, u32> {
        self.behaviors.lock().unwrap().clone()
    }
    /// The number of connections that servers still have open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

/// Starts a server of service `a`. A 421 answer means that the address belongs to another instance now.
pub fn start(nth: usize, seed: u64, run_log: &Arc<RunLog>) -> ListedServer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let run_log = run_log.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let run_log = run_log.clone();
            run_log.open.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                let _ = serve(stream, seed, &run_log);
                run_log.open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    server_row(nth, address)
}

fn server_row(nth: usize, address: SocketAddr) -> ListedServer {
    let (id, zone) = (format!("i-{nth}"), "mead-1".into());
    ListedServer { id, service: "a".into(), address, zone, slots: 64, draining: false, warmup_left_s: 0.0 }
}

/// The text of an answer with its length.
fn answer(status: &str, id: &str, more: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nLupinledge-Attempt-Id: {id}\r\nLupinledge-Server-Stamp: st\r\n{more}Content-Length: {length}\r\n\r\n{body}")
}

/// The text of a chunked answer.
fn chunked(id: &str, body: &str) -> String {
    let head = format!("HTTP/1.1 200 OK\r\nLupinledge-Attempt-Id: {id}\r\nLupinledge-Server-Stamp: st\r\nTransfer-Encoding: chunked\r\n\r\n");
    let (a, b) = body.split_at(body.len() / 2);
    format!("{head}{:x}\r\n{a}\r\n{:x}\r\n{b}\r\n0\r\n\r\n", a.len(), b.len())
}

fn serve(stream: TcpStream, seed: u64, run_log: &RunLog) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut from = BufReader::new(stream);
    let mut stale_answer = String::new();
    while let Some(request) = lupinledge_example::http::read_message(&mut from)? {
        let id = request.header("lupinledge-attempt-id").unwrap_or("none").to_string();
        let behavior = behavior_of(seed, &id);
        *run_log.behaviors.lock().unwrap().entry(behavior).or_default() += 1;
        if !matches!(behavior, FaultyBehavior::Full | FaultyBehavior::Misdirected) {
            *run_log.ran.lock().unwrap().entry(id.clone()).or_default() += 1;
        }
        let stream_writer = from.get_mut();
        if !stale_answer.is_empty() {
            stream_writer.write_all(std::mem::take(&mut stale_answer).as_bytes())?;
        }
        let good = answer("200 OK", &id, "", &body(&id));
        let unknown_id = "at-nobody";
        let first_write = match behavior {
            FaultyBehavior::Good | FaultyBehavior::AnswersAndResets | FaultyBehavior::AnswersAndCloses | FaultyBehavior::Stale | FaultyBehavior::RepeatedLater => good.clone(),
            FaultyBehavior::TwoWrites | FaultyBehavior::CutBody => good[..good.len() - 2].to_string(),
            FaultyBehavior::Chunked => chunked(&id, &body(&id)),
            FaultyBehavior::Informational => format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLupinledge-Attempt-Id: {unknown_id}\r\nX-A: b\r\n\r\n{good}"),
            FaultyBehavior::RepeatedAtOnce => format!("{good}{good}"),
            FaultyBehavior::ClosesAsAnnounced | FaultyBehavior::StaysOpen => answer("200 OK", &id, "Connection: close\r\n", &body(&id)),
            FaultyBehavior::Resets | FaultyBehavior::Closes | FaultyBehavior::Silent => String::new(),
            FaultyBehavior::CutHead => good[..20].to_string(),
            FaultyBehavior::CutChunk => {
                let whole = chunked(&id, &body(&id));
                whole[..whole.len() - "0\r\n\r\n".len()].to_string()
            }
            FaultyBehavior::Busy => answer("503 Busy", &id, "Retry-After: 0.01\r\n", ""),
            FaultyBehavior::RequestTimeout => answer("408 Slow", &id, "", ""),
            FaultyBehavior::TooManyRequests => answer("429 Many", &id, "Retry-After: 0.01\r\n", ""),
            FaultyBehavior::SwitchesProtocol => answer("101 Switching", &id, "Connection: upgrade\r\nUpgrade: other\r\n", ""),
            FaultyBehavior::ServerError => answer("500 Own", &id, "", "own"),
            FaultyBehavior::ForeignId => answer("200 OK", unknown_id, "", &body(unknown_id)),
            FaultyBehavior::ForeignIdAfter => answer("200 OK", &id, &format!("Lupinledge-Attempt-Id: {unknown_id}\r\n"), &body(unknown_id)),
            FaultyBehavior::ForeignIdBefore => answer("200 OK", unknown_id, &format!("Lupinledge-Attempt-Id: {id}\r\n"), &body(unknown_id)),
            FaultyBehavior::Contradicts => answer("200 OK", &id, "Lupinledge-Not-Executed: full\r\n", &body(&id)),
            FaultyBehavior::Full => answer("503 Full", &id, "Lupinledge-Not-Executed: full\r\n", ""),
            FaultyBehavior::Misdirected => answer("421 Not me", &id, "", ""),
        };
        stream_writer.write_all(first_write.as_bytes())?;
        match behavior {
            FaultyBehavior::TwoWrites => {
                std::thread::yield_now();
                stream_writer.write_all(&good.as_bytes()[good.len() - 2..])?;
            }
            FaultyBehavior::RepeatedLater => stream_writer.write_all(good.as_bytes())?,
            FaultyBehavior::Stale => stale_answer = good,
            FaultyBehavior::AnswersAndResets | FaultyBehavior::Resets | FaultyBehavior::CutHead => {
                return SockRef::from(&*stream_writer).set_linger(Some(Duration::ZERO));
            }
            FaultyBehavior::ClosesAsAnnounced
            | FaultyBehavior::AnswersAndCloses
            | FaultyBehavior::Closes
            | FaultyBehavior::CutBody
            | FaultyBehavior::CutChunk => return Ok(()),
            _ => {}
        }
    }
    Ok(())
}
