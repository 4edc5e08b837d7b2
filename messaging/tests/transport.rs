//! Transports over the loopback network, each with its own address.

use lupinledge_messaging::{NameTotal, Node, Transport, WireMessage};
use lupinledge_operations::{ClaimId, Key, Message};
use std::cell::RefCell;
use std::io::Write;
use std::net::{Ipv4Addr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::runtime::{Builder, LocalOptions};
use tokio::time::sleep;

type Received = Rc<RefCell<Vec<(Node, WireMessage)>>>;

fn ip(host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 9, host)
}

fn node(host: u8) -> Node {
    ip(host).into()
}

/// Returns a port that is free at all addresses used; the address is used by this test only.
fn port() -> u16 {
    let any = TcpListener::bind((ip(99), 0)).unwrap();
    any.local_addr().unwrap().port()
}

fn open(host: u8, port: u16) -> (Rc<Transport>, Received) {
    let received = Received::default();
    let sink = received.clone();
    let transport = Transport::open(
        node(host),
        port,
        Rc::new(move |from, message| sink.borrow_mut().push((from, message))),
    );
    (transport.unwrap(), received)
}

fn run(test: impl std::future::Future<Output = ()> + 'static) {
    Builder::new_current_thread().enable_all().build_local(LocalOptions::default()).unwrap().block_on(test);
}

/// Maximum time to wait for a condition. Generous, as the machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(60);

async fn until(condition: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "condition not met in time");
        sleep(Duration::from_millis(2)).await;
    }
}

fn clock_request(sent: f64) -> WireMessage {
    WireMessage::ClockRequest { sent }
}

fn sent_times(received: &Received, sender: Node) -> Vec<f64> {
    let sent_time = |(from, message): &(Node, WireMessage)| match message {
        WireMessage::ClockRequest { sent } if *from == sender => Some(*sent),
        _ => None,
    };
    received.borrow().iter().filter_map(sent_time).collect()
}

#[test]
fn messages_arrive_in_order_over_one_link() {
    run(async {
        let port = port();
        let ((a, received_a), (b, received_b)) = (open(1, port), open(2, port));
        (0..100).for_each(|i| a.send(node(2), &clock_request(f64::from(i))));
        until(|| received_b.borrow().len() == 100).await;
        assert_eq!(sent_times(&received_b, node(1)), (0..100).map(f64::from).collect::<Vec<_>>());
        // Answers go back over the same link.
        (0..100).for_each(|i| b.send(node(1), &clock_request(f64::from(i))));
        until(|| received_a.borrow().len() == 100).await;
        assert_eq!((a.counts().links.get(), b.counts().links.get()), (1, 1));
        assert_eq!(a.pending() + b.pending(), 0);
        a.close();
        b.close();
    });
}

#[test]
fn datagrams_and_messages_to_itself() {
    run(async {
        let port = port();
        let ((a, received_a), (b, received_b)) = (open(1, port), open(2, port));
        a.send_datagram(node(2), &clock_request(1.0));
        a.send_datagram(node(1), &clock_request(2.0));
        a.send(node(1), &clock_request(3.0));
        // Messages to itself are not delivered within the call.
        assert!(received_a.borrow().is_empty());
        until(|| received_a.borrow().len() == 2 && received_b.borrow().len() == 1).await;
        assert_eq!(sent_times(&received_a, node(1)), [2.0, 3.0]);
        assert_eq!(sent_times(&received_b, node(1)), [1.0]);
        a.send_datagram(
            node(2),
            &WireMessage::Totals { tag: 1, round: 1, totals: vec![NameTotal(1 << 40, None); 200] },
        );
        assert_eq!(a.counts().dropped.get(), 1);
        // A datagram from another port, and one that cannot be decoded.
        UdpSocket::bind((ip(3), 0)).unwrap().send_to(b"hello", (ip(2), port)).unwrap();
        UdpSocket::bind((ip(3), port)).unwrap().send_to(b"hello", (ip(2), port)).unwrap();
        until(|| b.counts().unreadable.get() == 2).await;
        a.close();
        b.close();
    });
}

/// Returns an update with a full document.
fn update(n: u64, len: usize) -> WireMessage {
    WireMessage::Update { digest: Default::default(), state: Some(((1, n), vec![0; len].into())), list: None }
}

/// A link whose other side reads nothing holds a bounded number of updates, however many are sent. Other
/// messages go ahead of those that wait, and everything that was accepted arrives once it is read.
#[test]
fn updates_wait_behind_other_messages_and_are_bounded() {
    run(async {
        let port = port();
        let ((a, _), (b, received)) = (open(1, port), open(2, port));
        // All within one turn of the runtime, so nothing is written yet.
        (0..1000).for_each(|n| a.send(node(2), &update(n, 17_000)));
        assert!(a.pending() <= 64 * 1024 + 17_100, "{} bytes wait", a.pending());
        (0..1000).for_each(|n| a.send(node(2), &update(n, 10)));
        assert!(a.pending() <= 64 * 1024 + 17_100, "{} bytes wait", a.pending());
        (0..200).for_each(|i| a.send(node(2), &clock_request(f64::from(i))));
        let sent = a.counts().sent.get() as usize;
        assert_eq!((sent, a.counts().dropped.get() as usize), (204, 2200 - 204));
        until(|| received.borrow().len() == sent).await;
        assert_eq!(sent_times(&received, node(1)), (0..200).map(f64::from).collect::<Vec<_>>());
        let first =
            received.borrow().iter().position(|(_, message)| matches!(message, WireMessage::Update { .. }));
        assert_eq!(first, Some(200));
        // Many short updates leave room for other messages, too.
        (0..1000).for_each(|n| a.send(node(2), &update(n, 10)));
        assert_eq!(a.counts().sent.get() as usize, 204 + 32);
        (0..200).for_each(|i| a.send(node(2), &clock_request(f64::from(i))));
        until(|| received.borrow().len() == 204 + 32 + 200).await;
        assert_eq!(a.pending(), 0);
        a.close();
        b.close();
    });
}

/// It must be known in time that a server is draining: a list does not wait for documents, and finds room
/// however many of them wait.
#[test]
fn a_list_goes_ahead_of_documents() {
    run(async {
        let port = port();
        let ((a, _), (b, received)) = (open(1, port), open(2, port));
        (0..100).for_each(|n| a.send(node(2), &update(n, 17_000)));
        let list = Some(((1, 5), vec![0; 18_000].into()));
        a.send(node(2), &WireMessage::Update { digest: Default::default(), state: None, list });
        let sent = a.counts().sent.get() as usize;
        until(|| received.borrow().len() == sent).await;
        assert!(matches!(
            received.borrow()[0].1,
            WireMessage::Update { state: None, list: Some(((1, 5), _)), .. }
        ));
        assert!((2..10).contains(&sent), "{sent}");
        a.close();
        b.close();
    });
}

#[test]
fn large_messages_and_limits() {
    run(async {
        let port = port();
        let ((a, _), (b, received_b)) = (open(1, port), open(2, port));
        let large = WireMessage::Totals { tag: 7, round: 1, totals: vec![NameTotal(1 << 40, None); 240_000] };
        let too_large =
            WireMessage::Totals { tag: 8, round: 1, totals: vec![NameTotal(1 << 40, None); 500_000] };
        (0..5).for_each(|_| a.send(node(2), &large));
        // A fourth message of this size would exceed 8 MB.
        assert_eq!(a.counts().dropped.get(), 2);
        a.send(node(2), &too_large);
        assert_eq!(a.counts().dropped.get(), 3);
        until(|| received_b.borrow().len() >= 2).await;
        assert!(
            matches!(&received_b.borrow()[0].1, WireMessage::Totals { tag: 7, totals, .. } if totals.len() == 240_000)
        );
        until(|| a.pending() == 0).await;
        (0..300).for_each(|i| a.send(node(2), &clock_request(f64::from(i))));
        assert_eq!(a.counts().dropped.get(), 3 + 300 - 256);
        until(|| received_b.borrow().len() == 3 + 256).await;
        a.close();
        b.close();
    });
}

#[test]
fn a_failed_link_is_reopened() {
    run(async {
        let port = port();
        let (a, _) = open(1, port);
        let start = Instant::now();
        a.send(node(2), &clock_request(1.0));
        until(|| a.counts().dropped.get() == 1).await;
        // Connecting was refused after `start`, whenever this test noticed it: the next attempt waits the
        // whole delay.
        let (b, received_b) = open(2, port);
        a.send(node(2), &clock_request(2.0));
        until(|| received_b.borrow().len() == 1).await;
        assert!(start.elapsed() >= Duration::from_millis(100), "{:?}", start.elapsed());
        b.close();
        drop(b);
        sleep(Duration::from_millis(50)).await;
        let (b, received_b) = open(2, port);
        a.send(node(2), &clock_request(3.0));
        until(|| received_b.borrow().len() == 1).await;
        assert_eq!(sent_times(&received_b, node(1)), [3.0]);
        a.close();
        b.close();
    });
}

#[test]
fn both_sides_open_a_link_at_once() {
    run(async {
        let port = port();
        let ((a, received_a), (b, received_b)) = (open(1, port), open(2, port));
        for i in 0..50 {
            a.send(node(2), &clock_request(f64::from(i)));
            b.send(node(1), &clock_request(f64::from(i)));
            sleep(Duration::from_millis(1)).await;
        }
        until(|| received_a.borrow().len() == 50 && received_b.borrow().len() == 50).await;
        assert_eq!(sent_times(&received_a, node(2)), (0..50).map(f64::from).collect::<Vec<_>>());
        a.close();
        b.close();
    });
}

#[test]
fn links_without_a_valid_hello_or_frame_end() {
    run(async {
        let port = port();
        let (b, received_b) = open(2, port);
        let hello = |host: u8| [&[0, 0, 0, 8][..], b"wax1", &node(host).to_be_bytes()].concat();
        let connect = |bytes: &[u8]| {
            let mut stream = TcpStream::connect((ip(2), port)).unwrap();
            stream.write_all(bytes).unwrap();
            stream
        };
        // No hello frame, a hello frame with another address, and a frame that is too long.
        let invalid = [connect(b"GET / HTTP/1.1\r\n\r\n"), connect(&hello(3))];
        until(|| b.counts().unreadable.get() == 2).await;
        let mut long = hello(0);
        long[8..].copy_from_slice(&[127, 0, 0, 1]);
        long.extend_from_slice(&u32::MAX.to_be_bytes());
        let long = connect(&long);
        until(|| b.counts().unreadable.get() == 3).await;
        // A frame that cannot be decoded does not end the link.
        let mut bad = hello(0);
        bad[8..].copy_from_slice(&[127, 0, 0, 1]);
        bad.extend_from_slice(&[0, 0, 0, 1, 0xc1, 0, 0, 0, 0]);
        let mut good = Vec::new();
        lupinledge_messaging::encode(&clock_request(5.0), &mut good).unwrap();
        bad.extend_from_slice(&(good.len() as u32).to_be_bytes());
        bad.extend_from_slice(&good);
        let bad = connect(&bad);
        until(|| received_b.borrow().len() == 1).await;
        assert_eq!(b.counts().unreadable.get(), 5);
        drop((invalid, long, bad));
        b.close();
    });
}

#[test]
fn idle_links_end() {
    run(async {
        let port = port();
        let ((a, _), (b, received_b)) = (open(1, port), open(2, port));
        a.send(node(2), &clock_request(1.0));
        until(|| received_b.borrow().len() == 1).await;
        tokio::time::pause();
        sleep(Duration::from_secs(25)).await;
        a.send(node(2), &clock_request(2.0));
        until(|| received_b.borrow().len() == 2).await;
        assert_eq!(a.counts().links.get(), 1);
        sleep(Duration::from_secs(45)).await;
        b.send(node(1), &clock_request(3.0));
        a.send(node(2), &clock_request(3.0));
        until(|| received_b.borrow().len() == 3).await;
        assert!(a.counts().links.get() > 1);
        assert_eq!(a.counts().dropped.get() + b.counts().dropped.get(), 0);
        a.close();
        b.close();
    });
}

/// The other side of a link, which reads only when it is told to.
struct SlowReader {
    stream: tokio::net::TcpStream,
    bytes: Vec<u8>,
}

impl SlowReader {
    /// Reads a part of what has arrived.
    async fn read_some(&mut self) {
        let mut part = vec![0; 64 << 10];
        let len = self.stream.read(&mut part).await.unwrap();
        self.bytes.extend_from_slice(&part[..len]);
    }

    /// Whether a list of servers is among the frames read so far.
    fn has_list(&self) -> bool {
        let mut rest = &self.bytes[..];
        while let Some((len, after)) = rest.split_first_chunk::<4>() {
            let len = u32::from_be_bytes(*len) as usize;
            if after.len() < len {
                return false;
            }
            let (frame, next) = after.split_at(len);
            if let Ok(WireMessage::Update { state: None, list: Some(_), .. }) =
                lupinledge_messaging::decode(frame)
            {
                return true;
            }
            rest = next;
        }
        false
    }
}

/// Guards against DRAIN: on a full link other messages wait at all times, and a list of servers never went out.
#[test]
fn a_list_goes_out_on_a_full_link() {
    run(async {
        let port = port();
        let listener = tokio::net::TcpListener::bind((ip(2), port)).await.unwrap();
        let (a, _) = open(1, port);
        let fill = || {
            // a message of some size; the queue takes so many that one more is refused
            let answer = vec![0; 16 << 10].into();
            let store = Message::Store { key: Key(1, 2), claim: ClaimId::default(), answer };
            let dropped = a.counts().dropped.get();
            while a.counts().dropped.get() == dropped {
                a.send(node(2), &WireMessage::Operation(store.clone()));
            }
        };
        fill();
        let (stream, _) = listener.accept().await.unwrap();
        let mut reader = SlowReader { stream, bytes: Vec::new() };
        // until the sockets take no more
        let mut pending = 0;
        while pending != a.pending() {
            pending = a.pending();
            sleep(Duration::from_millis(50)).await;
            fill();
        }
        reader.read_some().await;
        sleep(Duration::from_millis(5)).await;
        fill();
        let list = Some(((1, 5), vec![0; 1000].into()));
        a.send(node(2), &WireMessage::Update { digest: Default::default(), state: None, list });
        // more than the sockets and the queue hold
        while reader.bytes.len() < 32 << 20 && !reader.has_list() {
            fill();
            reader.read_some().await;
        }
        assert!(reader.has_list(), "not among {} bytes", reader.bytes.len());
        a.close();
    });
}
