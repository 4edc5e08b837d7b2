//! Client connections that are closed while a request or a response is still in transit.

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

/// More than the socket buffers of both sides hold.
const RESPONSE_BYTES: usize = 16 << 20;
/// The part of the large response that is read slowly.
const SLOW_BYTES: usize = 8 << 20;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

fn limits(idle_timeout: Duration, unfinished_timeout: Duration) -> ClientLimits {
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

struct LargeResponse;

impl RequestHandler for LargeResponse {
    async fn handle(&self, _: Request<Incoming>, _: &RequestFraming, _: Instant) -> Reply {
        text_reply(StatusCode::OK, vec![b'x'; RESPONSE_BYTES])
    }
}

/// Sends one request and reads the response, at first slowly. Returns the number of bytes read.
fn slow_reader(addr: SocketAddr) -> usize {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(32 << 10).expect("a small buffer");
    socket.connect(&addr.into()).expect("a connection");
    let mut stream = Blocking::from(socket);
    stream.write_all(REQUEST).expect("written");
    let (mut received, mut buf) = (0, vec![0; 20 << 10]);
    loop {
        match stream.read(&mut buf) {
            Ok(n @ 1..) => received += n,
            _ => return received,
        }
        if received < SLOW_BYTES {
            sleep(Duration::from_millis(10));
        }
    }
}

/// Guards against lost responses: a connection whose client reads the response slowly must not count as idle, and when
/// it is to be closed, the response continues as long as the client reads.
#[test_case(false; "idle")]
#[test_case(true; "closing")]
fn slowly_read_response_is_completed(closing: bool) {
    run(async move {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let addr = listener.local_addr().expect("its address");
        let short_timeout = Duration::from_millis(1500);
        let clients = ClientConnections::start(
            Rc::new(LargeResponse),
            Rc::default(),
            limits(short_timeout, short_timeout),
        );
        let (done, received) = tokio::sync::oneshot::channel();
        spawn(move || done.send(slow_reader(addr)));
        let (stream, peer) = listener.accept().await.expect("a connection");
        let permit = DescriptorPool::new(1).try_acquire().expect("a permit");
        clients.serve(stream, peer, permit, false);
        if closing {
            tokio::time::sleep(Duration::from_millis(300)).await;
            clients.start_closing();
            clients.close_all();
        }
        let received = received.await.expect("the client's result");
        assert!(received > RESPONSE_BYTES, "{received} bytes of {RESPONSE_BYTES} and a head");
    });
}

/// Answers after 20 ms, and counts the requests.
struct DelayedHandler(Cell<usize>);

impl RequestHandler for DelayedHandler {
    async fn handle(&self, _: Request<Incoming>, _: &RequestFraming, _: Instant) -> Reply {
        self.0.set(self.0.get() + 1);
        tokio::time::sleep(Duration::from_millis(20)).await;
        empty_reply(StatusCode::OK)
    }
}

/// Reads to the end of the connection. Returns whether a response was received.
fn has_response(mut stream: Blocking) -> bool {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    text.windows(7).filter(|w| *w == b" 200 OK").count() > 0
}

/// Guards against lost requests: a request that is read at the moment at which its idle connection is closed to free a
/// descriptor must still get its response.
#[test]
fn request_read_while_its_connection_is_closed() {
    run(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let addr = listener.local_addr().expect("its address");
        let (handler, long_timeout) = (Rc::new(DelayedHandler(Cell::new(0))), Duration::from_secs(60));
        let clients = ClientConnections::start(
            handler.clone(),
            Rc::default(),
            limits(long_timeout, Duration::from_millis(300)),
        );
        let descriptors = DescriptorPool::new(64);
        let mut streams: Vec<Blocking> = Vec::new();
        for _ in 0..40 {
            let mut stream = Blocking::connect(addr).expect("a connection");
            let (accepted, peer) = listener.accept().await.expect("a connection");
            clients.serve(accepted, peer, descriptors.try_acquire().expect("a permit"), false);
            stream.write_all(REQUEST).expect("written");
            tokio::time::sleep(Duration::from_millis(30)).await;
            // not on the runtime's only thread, which may still have to write the response
            let reader = tokio::task::spawn_blocking(move || (stream.read(&mut [0; 512]), stream));
            let (received, stream) = reader.await.expect("the client's result");
            assert!(received.expect("a response") > 0);
            streams.push(stream);
        }
        assert_eq!(handler.0.get(), 40);
        // all of it in one turn of the runtime: this task and those of the connections are woken by the same poll of
        // the sockets
        let signal = TcpStream::connect(addr).await.expect("a connection");
        let (mut signal_sender, _) = listener
            .accept()
            .await
            .expect("a connection")
            .0
            .into_std()
            .map(|s| (s, ()))
            .expect("a blocking socket");
        signal_sender.set_nonblocking(false).expect("blocking");
        signal_sender.write_all(b"x").expect("written");
        streams.iter_mut().for_each(|s| s.write_all(REQUEST).expect("written"));
        signal.readable().await.expect("the signal");
        (0..40).for_each(|_| clients.free_descriptors());
        let readers = streams.into_iter().map(|s| tokio::task::spawn_blocking(move || has_response(s)));
        let readers: Vec<_> = readers.collect();
        tokio::time::sleep(Duration::from_millis(100)).await;
        clients.close_all();
        let mut responses = 0;
        for reader in readers {
            responses += usize::from(reader.await.expect("the client's result"));
        }
        assert_eq!(responses, handler.0.get() - 40, "one response for each request that was read");
    });
}
