//! Posts over the loopback network, each at an address of its own.

use lupinledge_messaging::{NameTotal, Node, Transport, WireMessage};
use std::cell::RefCell;
use std::io::Write;
use std::net::{Ipv4Addr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, LocalOptions};
use tokio::time::sleep;

type Heard = Rc<RefCell<Vec<(Node, WireMessage)>>>;

fn ip(host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 9, host)
}

fn node(host: u8) -> Node {
    ip(host).into()
}

/// A port that is free at all addresses used, for this test alone.
fn port() -> u16 {
    let any = TcpListener::bind((ip(99), 0)).unwrap();
    any.local_addr().unwrap().port()
}

fn open(host: u8, port: u16) -> (Rc<Transport>, Heard) {
    let heard = Heard::default();
    let keep = heard.clone();
    let post =
        Transport::open(node(host), port, Rc::new(move |from, word| keep.borrow_mut().push((from, word))));
    (post.unwrap(), heard)
}

fn run(test: impl std::future::Future<Output = ()> + 'static) {
    Builder::new_current_thread().enable_all().build_local(LocalOptions::default()).unwrap().block_on(test);
}

/// What has not come by then never does, however busy the machine is.
const LONG: Duration = Duration::from_secs(60);

async fn until(what: impl Fn() -> bool) {
    let end = Instant::now() + LONG;
    while !what() {
        assert!(Instant::now() < end, "never");
        sleep(Duration::from_millis(2)).await;
    }
}

fn clock(sent: f64) -> WireMessage {
    WireMessage::ClockRequest { sent }
}

fn sents(heard: &Heard, of: Node) -> Vec<f64> {
    let sent = |(from, word): &(Node, WireMessage)| match word {
        WireMessage::ClockRequest { sent } if *from == of => Some(*sent),
        _ => None,
    };
    heard.borrow().iter().filter_map(sent).collect()
}

#[test]
fn words_come_in_order_over_one_link() {
    run(async {
        let port = port();
        let ((a, heard_a), (b, heard_b)) = (open(1, port), open(2, port));
        (0..100).for_each(|i| a.send(node(2), &clock(f64::from(i))));
        until(|| heard_b.borrow().len() == 100).await;
        assert_eq!(sents(&heard_b, node(1)), (0..100).map(f64::from).collect::<Vec<_>>());
        // answers go back over the same link
        (0..100).for_each(|i| b.send(node(1), &clock(f64::from(i))));
        until(|| heard_a.borrow().len() == 100).await;
        assert_eq!((a.counts().links.get(), b.counts().links.get()), (1, 1));
        assert_eq!(a.pending() + b.pending(), 0);
        a.close();
        b.close();
    });
}

#[test]
fn datagrams_and_words_to_itself() {
    run(async {
        let port = port();
        let ((a, heard_a), (b, heard_b)) = (open(1, port), open(2, port));
        a.send_datagram(node(2), &clock(1.0));
        a.send_datagram(node(1), &clock(2.0));
        a.send(node(1), &clock(3.0));
        // not before the turn is over
        assert!(heard_a.borrow().is_empty());
        until(|| heard_a.borrow().len() == 2 && heard_b.borrow().len() == 1).await;
        assert_eq!(sents(&heard_a, node(1)), [2.0, 3.0]);
        assert_eq!(sents(&heard_b, node(1)), [1.0]);
        a.send_datagram(
            node(2),
            &WireMessage::Totals { tag: 1, round: 1, totals: vec![NameTotal(1 << 40, None); 200] },
        );
        assert_eq!(a.counts().dropped.get(), 1);
        // from another port, or nothing that can be read
        UdpSocket::bind((ip(3), 0)).unwrap().send_to(b"hello", (ip(2), port)).unwrap();
        UdpSocket::bind((ip(3), port)).unwrap().send_to(b"hello", (ip(2), port)).unwrap();
        until(|| b.counts().unreadable.get() == 2).await;
        a.close();
        b.close();
    });
}

/// A document as it goes where nothing can be shared.
fn news(n: u64, len: usize) -> WireMessage {
    WireMessage::Update { digest: Default::default(), state: Some(((1, n), vec![0; len].into())), list: None }
}

/// A link whose other side reads nothing holds a bounded piece of news, however often they are said; other words go
/// ahead of those that wait, and all that was put in arrives once it is read.
#[test]
fn news_wait_behind_other_words_and_are_bounded() {
    run(async {
        let port = port();
        let ((a, _), (b, heard)) = (open(1, port), open(2, port));
        // all within one turn: nothing is written yet
        (0..1000).for_each(|n| a.send(node(2), &news(n, 17_000)));
        assert!(a.pending() <= 64 * 1024 + 17_100, "{} bytes wait", a.pending());
        (0..1000).for_each(|n| a.send(node(2), &news(n, 10)));
        assert!(a.pending() <= 64 * 1024 + 17_100, "{} bytes wait", a.pending());
        (0..200).for_each(|i| a.send(node(2), &clock(f64::from(i))));
        let sent = a.counts().sent.get() as usize;
        assert_eq!((sent, a.counts().dropped.get() as usize), (204, 2200 - 204));
        until(|| heard.borrow().len() == sent).await;
        assert_eq!(sents(&heard, node(1)), (0..200).map(f64::from).collect::<Vec<_>>());
        let first = heard.borrow().iter().position(|(_, word)| matches!(word, WireMessage::Update { .. }));
        assert_eq!(first, Some(200));
        // many short ones leave room for other words, too
        (0..1000).for_each(|n| a.send(node(2), &news(n, 10)));
        assert_eq!(a.counts().sent.get() as usize, 204 + 32);
        (0..200).for_each(|i| a.send(node(2), &clock(f64::from(i))));
        until(|| heard.borrow().len() == 204 + 32 + 200).await;
        assert_eq!(a.pending(), 0);
        a.close();
        b.close();
    });
}

/// A server that drains must be known in time: its list waits for no documents, and finds room however many wait.
#[test]
fn a_list_goes_ahead_of_documents() {
    run(async {
        let port = port();
        let ((a, _), (b, heard)) = (open(1, port), open(2, port));
        (0..100).for_each(|n| a.send(node(2), &news(n, 17_000)));
        let list = Some(((1, 5), vec![0; 18_000].into()));
        a.send(node(2), &WireMessage::Update { digest: Default::default(), state: None, list });
        let sent = a.counts().sent.get() as usize;
        until(|| heard.borrow().len() == sent).await;
        assert!(matches!(
            heard.borrow()[0].1,
            WireMessage::Update { state: None, list: Some(((1, 5), _)), .. }
        ));
        assert!((2..10).contains(&sent), "{sent}");
        a.close();
        b.close();
    });
}

#[test]
fn large_words_and_bounds() {
    run(async {
        let port = port();
        let ((a, _), (b, heard_b)) = (open(1, port), open(2, port));
        let large = WireMessage::Totals { tag: 7, round: 1, totals: vec![NameTotal(1 << 40, None); 240_000] };
        let too_large =
            WireMessage::Totals { tag: 8, round: 1, totals: vec![NameTotal(1 << 40, None); 500_000] };
        (0..5).for_each(|_| a.send(node(2), &large));
        // a fourth one of them is beyond 8 MB
        assert_eq!(a.counts().dropped.get(), 2);
        a.send(node(2), &too_large);
        assert_eq!(a.counts().dropped.get(), 3);
        until(|| heard_b.borrow().len() >= 2).await;
        assert!(
            matches!(&heard_b.borrow()[0].1, WireMessage::Totals { tag: 7, totals, .. } if totals.len() == 240_000)
        );
        until(|| a.pending() == 0).await;
        (0..300).for_each(|i| a.send(node(2), &clock(f64::from(i))));
        assert_eq!(a.counts().dropped.get(), 3 + 300 - 256);
        until(|| heard_b.borrow().len() == 3 + 256).await;
        a.close();
        b.close();
    });
}

#[test]
fn a_link_that_failed_is_opened_anew() {
    run(async {
        let port = port();
        let (a, _) = open(1, port);
        let start = Instant::now();
        a.send(node(2), &clock(1.0));
        until(|| a.counts().dropped.get() == 1).await;
        // refused since `start`, whenever this test came to see it: the next one waits the whole time from then on
        let (b, heard_b) = open(2, port);
        a.send(node(2), &clock(2.0));
        until(|| heard_b.borrow().len() == 1).await;
        assert!(start.elapsed() >= Duration::from_millis(100), "{:?}", start.elapsed());
        b.close();
        drop(b);
        sleep(Duration::from_millis(50)).await;
        let (b, heard_b) = open(2, port);
        a.send(node(2), &clock(3.0));
        until(|| heard_b.borrow().len() == 1).await;
        assert_eq!(sents(&heard_b, node(1)), [3.0]);
        a.close();
        b.close();
    });
}

#[test]
fn both_open_at_once() {
    run(async {
        let port = port();
        let ((a, heard_a), (b, heard_b)) = (open(1, port), open(2, port));
        for i in 0..50 {
            a.send(node(2), &clock(f64::from(i)));
            b.send(node(1), &clock(f64::from(i)));
            sleep(Duration::from_millis(1)).await;
        }
        until(|| heard_a.borrow().len() == 50 && heard_b.borrow().len() == 50).await;
        assert_eq!(sents(&heard_a, node(2)), (0..50).map(f64::from).collect::<Vec<_>>());
        a.close();
        b.close();
    });
}

#[test]
fn strange_links_end() {
    run(async {
        let port = port();
        let (b, heard_b) = open(2, port);
        let hello = |of: u8| [&[0, 0, 0, 8][..], b"wax1", &node(of).to_be_bytes()].concat();
        let dial = |bytes: &[u8]| {
            let mut stream = TcpStream::connect((ip(2), port)).unwrap();
            stream.write_all(bytes).unwrap();
            stream
        };
        // no greeting, one of another address, and a frame that is too long
        let strange = [dial(b"GET / HTTP/1.1\r\n\r\n"), dial(&hello(3))];
        until(|| b.counts().unreadable.get() == 2).await;
        let mut long = hello(0);
        long[8..].copy_from_slice(&[127, 0, 0, 1]);
        long.extend_from_slice(&u32::MAX.to_be_bytes());
        let long = dial(&long);
        until(|| b.counts().unreadable.get() == 3).await;
        // a frame that can't be read does not end the link
        let mut bad = hello(0);
        bad[8..].copy_from_slice(&[127, 0, 0, 1]);
        bad.extend_from_slice(&[0, 0, 0, 1, 0xc1, 0, 0, 0, 0]);
        let mut good = Vec::new();
        lupinledge_messaging::encode(&clock(5.0), &mut good).unwrap();
        bad.extend_from_slice(&(good.len() as u32).to_be_bytes());
        bad.extend_from_slice(&good);
        let bad = dial(&bad);
        until(|| heard_b.borrow().len() == 1).await;
        assert_eq!(b.counts().unreadable.get(), 5);
        drop((strange, long, bad));
        b.close();
    });
}

#[test]
fn idle_links_end() {
    run(async {
        let port = port();
        let ((a, _), (b, heard_b)) = (open(1, port), open(2, port));
        a.send(node(2), &clock(1.0));
        until(|| heard_b.borrow().len() == 1).await;
        tokio::time::pause();
        sleep(Duration::from_secs(25)).await;
        a.send(node(2), &clock(2.0));
        until(|| heard_b.borrow().len() == 2).await;
        assert_eq!(a.counts().links.get(), 1);
        sleep(Duration::from_secs(45)).await;
        b.send(node(1), &clock(3.0));
        a.send(node(2), &clock(3.0));
        until(|| heard_b.borrow().len() == 3).await;
        assert!(a.counts().links.get() > 1);
        assert_eq!(a.counts().dropped.get() + b.counts().dropped.get(), 0);
        a.close();
        b.close();
    });
}
