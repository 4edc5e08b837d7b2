//! A server, as the users' pages describe it: it checks `Lupinledge-Expect-Instance`, serves one request at a time on a
//! connection, echoes the attempt id, and stamps its successes. It prints a line to standard output when it begins and
//! ends to work on a request.
//!
//! Path parameters say what a request needs: `work` (milliseconds before the answer begins), `answer` (bytes of its
//! body), `pause` (milliseconds between the first half of the answer and the second one), `close` (whether the
//! connection is closed after the answer), and `extra` (milliseconds after which a second copy follows of the answer
//! that turns the same attempt away for the second time because all slots are taken). A body is read as the work goes
//! on, at `BODY_BYTES_PER_S`, as by a server that processes an upload while it comes; `lead` is the work in milliseconds
//! before it reads on. SIGUSR1 makes a server work `SLOWNESS` times as long from then on, SIGUSR2 as before.

use crate::http::{keep_pace, read_head, Head};
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How fast a server reads a long body.
const BODY_BYTES_PER_S: f64 = 4e6;
/// Requests that a server works on at once, and those that wait for a slot; it turns further ones away.
const SLOTS: usize = 3;
const QUEUE: usize = 2;
/// How much longer a server works that was made slow.
const SLOWNESS: u64 = 4;
const SIGUSR1: i32 = 10;
const SIGUSR2: i32 = 12;
/// How much longer this server works now.
static FACTOR: AtomicU64 = AtomicU64::new(1);

extern "C" {
    fn signal(signal: i32, handler: extern "C" fn(i32)) -> usize;
}

extern "C" fn set_pace(signal: i32) {
    FACTOR.store(if signal == SIGUSR1 { SLOWNESS } else { 1 }, Ordering::SeqCst);
}

/// Works for a time; a slow server takes longer.
fn work(ms: usize) {
    let mut left = Duration::from_millis(ms as u64);
    while !left.is_zero() {
        let step = left.min(Duration::from_millis(10));
        thread::sleep(step * FACTOR.load(Ordering::SeqCst) as u32);
        left -= step;
    }
}

/// How often each attempt was turned away.
static TURNED_AWAY: Mutex<Vec<(String, usize)>> = Mutex::new(Vec::new());
/// Requests at work, and those that wait.
static PLACES: Mutex<(usize, usize)> = Mutex::new((0, 0));
static FREED: Condvar = Condvar::new();

/// A slot, taken until it is dropped.
struct Slot;

impl Slot {
    /// Takes a slot, after a wait if the queue has room; `None` if it has none, or the deadline passes first.
    fn take(deadline: Instant) -> Option<Slot> {
        let mut places = PLACES.lock().unwrap();
        if places.0 >= SLOTS {
            if places.1 >= QUEUE {
                return None;
            }
            places.1 += 1;
            while places.0 >= SLOTS && Instant::now() < deadline {
                let left = deadline.saturating_duration_since(Instant::now());
                places = FREED.wait_timeout(places, left).unwrap().0;
            }
            places.1 -= 1;
            if places.0 >= SLOTS {
                return None;
            }
        }
        places.0 += 1;
        Some(Slot)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        PLACES.lock().unwrap().0 -= 1;
        FREED.notify_one();
    }
}

/// `server ADDRESS ID`
pub fn run(args: &[String]) -> ExitCode {
    let [address, id] = args else { return ExitCode::from(2) };
    let Ok(listener) = TcpListener::bind(address) else { return ExitCode::from(2) };
    let id: Arc<str> = id.as_str().into();
    // SAFETY: the handler only stores a number
    unsafe {
        signal(SIGUSR1, set_pace);
        signal(SIGUSR2, set_pace);
    }
    println!("up {id}");
    for stream in listener.incoming().flatten() {
        let id = id.clone();
        thread::spawn(move || drop(serve(stream, &id)));
    }
    ExitCode::SUCCESS
}

/// Counts that an attempt was turned away; returns how often it was.
fn turned_away(attempt: &str) -> usize {
    let mut all = TURNED_AWAY.lock().unwrap();
    match all.iter_mut().find(|(other, _)| other == attempt) {
        Some((_, count)) => {
            *count += 1;
            *count
        }
        None => {
            all.push((attempt.to_string(), 1));
            1
        }
    }
}

fn parameter(first: &str, name: &str) -> usize {
    let query = first.split(' ').nth(1).and_then(|path| path.split_once('?')).map_or("", |(_, query)| query);
    let value = query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn serve(mut stream: TcpStream, id: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut rest = Vec::new();
    while let Some((head, body_start)) = read_head(&mut stream, rest)? {
        rest = Vec::new();
        answer(&mut stream, &head, body_start, id)?;
    }
    Ok(())
}

fn answer(stream: &mut TcpStream, head: &Head, body_start: Vec<u8>, id: &str) -> io::Result<()> {
    let path = head.first.split(' ').nth(1).unwrap_or_default();
    if path == "/health" {
        return write!(
            stream,
            "HTTP/1.1 200 OK\r\nLupinledge-Instance-Id: {id}\r\nLupinledge-Server-Load: 0,0,3\r\nContent-Length: 0\r\n\r\n"
        );
    }
    let attempt = head.get("lupinledge-attempt-id").unwrap_or("-").to_string();
    let expected = head.get("lupinledge-expect-instance");
    if expected.is_some_and(|expected| expected != id) {
        read_body(stream, head, body_start.len(), None)?;
        return write!(
            stream,
            "HTTP/1.1 421 Misdirected Request\r\nLupinledge-Attempt-Id: {attempt}\r\nLupinledge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
    }
    let left_ms = head.get("lupinledge-deadline-ms").and_then(|ms| ms.parse().ok()).unwrap_or(5000);
    let Some(_slot) = Slot::take(Instant::now() + Duration::from_millis(left_ms)) else {
        read_body(stream, head, body_start.len(), None)?;
        let full = format!(
            "HTTP/1.1 503 Service Unavailable\r\nLupinledge-Attempt-Id: {attempt}\r\nLupinledge-Not-Executed: 1\r\nLupinledge-Server-Load: 3,2,3\r\nContent-Length: 0\r\n\r\n"
        );
        println!("full {id} {attempt}");
        stream.write_all(full.as_bytes())?;
        let extra = parameter(&head.first, "extra");
        if extra > 0 && turned_away(&attempt) == 2 {
            let (mut stream, id) = (stream.try_clone()?, id.to_string());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(extra as u64));
                println!("extra {id} {attempt} {:?}", stream.write_all(full.as_bytes()).is_ok());
            });
        }
        return Ok(());
    };
    // from here on the request has run
    let tenant = head.get("lupinledge-tenant").unwrap_or("(none)");
    let key = head.get("lupinledge-operation-key").unwrap_or("-");
    println!("begin {id} {attempt} key={key} tenant={tenant}");
    work(parameter(&head.first, "lead"));
    let read = read_body(stream, head, body_start.len(), Some(BODY_BYTES_PER_S))?;
    work(parameter(&head.first, "work"));
    let (length, pause) = (parameter(&head.first, "answer").max(2), parameter(&head.first, "pause"));
    let close = if parameter(&head.first, "close") > 0 { "Connection: close\r\n" } else { "" };
    write!(
        stream,
        "HTTP/1.1 200 OK\r\n{close}Lupinledge-Attempt-Id: {attempt}\r\nLupinledge-Server-Stamp: {id}.{attempt}\r\nLupinledge-Server-Load: 0,0,3\r\nContent-Length: {length}\r\n\r\n"
    )?;
    let body = vec![b'x'; length];
    let (first, second) = body.split_at(length / 2);
    stream.write_all(first)?;
    if pause > 0 {
        thread::sleep(Duration::from_millis(pause as u64));
    }
    stream.write_all(second)?;
    if !close.is_empty() {
        stream.shutdown(std::net::Shutdown::Write)?;
    }
    println!("end {id} {attempt} key={} read={read} answered={length}", head.get("lupinledge-operation-key").unwrap_or("-"));
    Ok(())
}

/// Reads the rest of a body, at this pace.
fn read_body(stream: &mut TcpStream, head: &Head, mut read: usize, pace: Option<f64>) -> io::Result<usize> {
    let (length, began) = (head.length(), Instant::now());
    let mut piece = vec![0; 64 << 10];
    while read < length {
        let most = piece.len().min(length - read);
        match stream.read(&mut piece[..most])? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => read += n,
        }
        if let Some(bytes_per_s) = pace {
            keep_pace(began, read, bytes_per_s);
        }
    }
    Ok(read)
}
