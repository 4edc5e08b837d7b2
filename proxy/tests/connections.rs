//! Connections of clients that are ended while something is still on its way on them.

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use lupinledge_proxy::clients::{
    empty_reply, text_reply, ClientConnections, ClientLimits, Reply, RequestHandler,
};
use lupinledge_proxy::transport::descriptors::DescriptorPool;
use lupinledge_proxy::transport::framing::RequestFraming;
use socket2::{Domain, Socket, Type};
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream as Blocking};
use std::rc::Rc;
use std::thread::{sleep, spawn};
use std::time::Duration;
use test_case::test_case;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, LocalOptions};
use tokio::time::Instant;

/// More than both machines' buffers hold.
const LARGE: usize = 16 << 20;
/// Of the large answer so much is read slowly.
const SLOWLY: usize = 8 << 20;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

fn bounds(idle_timeout: Duration, unfinished_timeout: Duration) -> ClientLimits {
    ClientLimits {
        idle_timeout,
        head_timeout: Duration::from_secs(60),
        request_timeout: Duration::from_secs(60),
        unfinished_timeout,
        sweep_interval: Duration::from_millis(50),
        first_byte_wait: Duration::from_secs(60),
        max_head_bytes: 8 << 10,
    }
}

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(test);
}

struct Large;

impl RequestHandler for Large {
    async fn handle(&self, _: Request<Incoming>, _: &RequestFraming, _: Instant) -> Reply {
        text_reply(StatusCode::OK, vec![b'x'; LARGE])
    }
}

/// Asks once and reads the answer slowly at first; how many bytes came.
fn slow_reader(at: SocketAddr) -> usize {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(32 << 10).expect("a small buffer");
    socket.connect(&at.into()).expect("a connection");
    let mut stream = Blocking::from(socket);
    stream.write_all(REQUEST).expect("written");
    let (mut came, mut buf) = (0, vec![0; 20 << 10]);
    loop {
        match stream.read(&mut buf) {
            Ok(n @ 1..) => came += n,
            _ => return came,
        }
        if came < SLOWLY {
            sleep(Duration::from_millis(10));
        }
    }
}

/// LOST: an answer that its client reads slowly is no idle connection, and one that is to end goes on with it for as
/// long as it gets on.
#[test_case(false; "idle")]
#[test_case(true; "to end")]
fn an_answer_that_is_read_slowly(to_end: bool) {
    run(async move {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let at = listener.local_addr().expect("its address");
        let short = Duration::from_millis(1500);
        let clients = ClientConnections::start(Rc::new(Large), Rc::default(), bounds(short, short));
        let (done, came) = tokio::sync::oneshot::channel();
        spawn(move || done.send(slow_reader(at)));
        let (stream, peer) = listener.accept().await.expect("a connection");
        let place = DescriptorPool::new(1).try_acquire().expect("a place");
        clients.serve(stream, peer, place, false);
        if to_end {
            tokio::time::sleep(Duration::from_millis(300)).await;
            clients.start_closing();
            clients.close_all();
        }
        let came = came.await.expect("the client's word");
        assert!(came > LARGE, "{came} bytes of {LARGE} and a head");
    });
}

/// Answers after a moment, and counts.
struct Later(Cell<usize>);

impl RequestHandler for Later {
    async fn handle(&self, _: Request<Incoming>, _: &RequestFraming, _: Instant) -> Reply {
        self.0.set(self.0.get() + 1);
        tokio::time::sleep(Duration::from_millis(20)).await;
        empty_reply(StatusCode::OK)
    }
}

/// Reads to the end of the connection; whether an answer came.
fn answered(mut stream: Blocking) -> bool {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    text.windows(7).filter(|w| *w == b" 200 OK").count() > 0
}

/// LOST: a request that is read in the very moment in which its connection, idle until then, is ended to make room has
/// its answer all the same.
#[test]
fn a_request_that_meets_the_end_of_its_connection() {
    run(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let at = listener.local_addr().expect("its address");
        let (later, long) = (Rc::new(Later(Cell::new(0))), Duration::from_secs(60));
        let clients =
            ClientConnections::start(later.clone(), Rc::default(), bounds(long, Duration::from_millis(300)));
        let places = DescriptorPool::new(64);
        let mut streams: Vec<Blocking> = Vec::new();
        for _ in 0..40 {
            let mut stream = Blocking::connect(at).expect("a connection");
            let (taken, peer) = listener.accept().await.expect("the same");
            clients.serve(taken, peer, places.try_acquire().expect("a place"), false);
            stream.write_all(REQUEST).expect("written");
            let (_, answer) = (tokio::time::sleep(Duration::from_millis(30)).await, &mut [0; 512]);
            assert!(stream.read(answer).expect("an answer") > 0);
            streams.push(stream);
        }
        assert_eq!(later.0.get(), 40);
        // all of it in one turn of the runtime: this task is woken by the same look at the sockets as the connections'
        let signal = TcpStream::connect(at).await.expect("a connection");
        let (mut signals, _) =
            listener.accept().await.expect("the same").0.into_std().map(|s| (s, ())).expect("it");
        signals.set_nonblocking(false).expect("blocking");
        signals.write_all(b"x").expect("written");
        streams.iter_mut().for_each(|s| s.write_all(REQUEST).expect("written"));
        signal.readable().await.expect("the signal");
        (0..40).for_each(|_| clients.free_descriptors());
        let ends = streams.into_iter().map(|s| tokio::task::spawn_blocking(move || answered(s)));
        let ends: Vec<_> = ends.collect();
        tokio::time::sleep(Duration::from_millis(100)).await;
        clients.close_all();
        let mut answers = 0;
        for end in ends {
            answers += usize::from(end.await.expect("the client's word"));
        }
        assert_eq!(answers, later.0.get() - 40, "answers, of the requests that were read");
    });
}
