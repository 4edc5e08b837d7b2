//! Starts the program without any other process of the system, and talks to it over sockets.

use lupinledge_example::scheduling_delay;
use lupinledge_messaging::{decode, WireMessage};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// What has not happened after this time never will, however busy the machine is.
const LONG_WAIT: Duration = Duration::from_secs(60);

/// Time within which the program must do what it does at once, not counting the time that it and this thread
/// wait for a processor.
const PROMPT_LIMIT: Duration = Duration::from_secs(2);

/// The program, killed when dropped, and its settings file.
struct Gateway(Child, std::path::PathBuf);

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_file(&self.1);
    }
}

impl Gateway {
    /// The time since `began`, without the time that the program and this thread have waited for a processor
    /// since. `waited` is the wait of both at `began`.
    fn elapsed_without_waits(&self, began: Instant, waited: Duration) -> Duration {
        began.elapsed().saturating_sub(self.waits().saturating_sub(waited))
    }
    /// The time that the program and this thread have waited for a processor.
    fn waits(&self) -> Duration {
        scheduling_delay::of_thread(format!("/proc/{}", self.0.id()).as_ref())
            + scheduling_delay::of_current_thread()
    }
}

/// A loopback port that is not in use now.
fn port() -> u16 {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|l| l.local_addr()).expect("a port").port()
}

/// Starts the program with a seed that does not answer; returns its address for clients and the socket that
/// gets the seed's datagrams.
fn start() -> (Gateway, SocketAddr, UdpSocket) {
    let (gateway, front, _, seed_socket) = start_logging_to(Stdio::null());
    (gateway, front, seed_socket)
}

/// Does the same with this log output; also returns the address of its metrics.
fn start_logging_to(log: Stdio) -> (Gateway, SocketAddr, SocketAddr, UdpSocket) {
    static FILES: AtomicU64 = AtomicU64::new(0);
    let (front, ready, seed) = (port(), port(), port());
    let (peer_port, seed_socket) = loop {
        let peer_port = port();
        if let Ok(seed_socket) = UdpSocket::bind(("127.0.0.2", peer_port)) {
            break (peer_port, seed_socket);
        }
    };
    let nth = FILES.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("lupinledge-forager-{}-{nth}.json", std::process::id()));
    let text = format!(
        r#"{{"node_name": "edge-1", "role": "forager", "machine_class": "edge", "serves": ["edge"], "ip": "127.0.0.1",
        "zone": "z", "region": "r", "zones": {{"z": "r"}}, "port_range": [{peer_port}, {peer_port}],
        "listen": {{"front": "127.0.0.1:{front}", "ready": "127.0.0.1:{ready}"}}, "seeds": ["127.0.0.2:{seed}"]}}"#
    );
    std::fs::write(&path, text).expect("a settings file");
    let mut program = Command::new(env!("CARGO_BIN_EXE_lupinledge-forager"));
    program.env("LUPINLEDGE_NODE_FILE", &path).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    let program = Gateway(program.spawn().expect("the program"), path);
    let [front, ready] = [front, ready].map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    (program, front, ready, seed_socket)
}

/// Without any process to learn the state from, clients are still answered at once, with a time to retry. The
/// answer is the last of its connection, and is not lost when the body stays unread.
#[test]
fn clients_are_answered_before_the_state_is_known() {
    let (began, here) = (Instant::now(), scheduling_delay::of_current_thread());
    let (gateway, front, _) = start();
    let mut stream = loop {
        match TcpStream::connect(front) {
            Ok(stream) => break stream,
            Err(e) => {
                assert!(gateway.elapsed_without_waits(began, here) < PROMPT_LIMIT, "no connection: {e}")
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    };
    stream.set_read_timeout(Some(LONG_WAIT)).expect("a time-out");
    let head =
        "POST /a/ HTTP/1.1\r\nHost: a.example\r\nLupinledge-Attempt-Id: 1\r\nContent-Length: 5\r\n\r\nhello";
    stream.write_all(head.as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer, and the end of the connection");
    let answer = answer.to_ascii_lowercase();
    assert!(answer.starts_with("http/1.1 503 "), "{answer}");
    let after = answer.lines().find_map(|l| l.strip_prefix("retry-after: ")).expect("a time to retry");
    let after: f64 = after.parse().expect("seconds");
    assert!((0.2..=2.5).contains(&after), "{after}");
}

/// The clock is requested from every process that may become the holder, before there is one.
#[test]
fn the_clock_is_requested_before_there_is_a_holder() {
    let (began, here) = (Instant::now(), scheduling_delay::of_current_thread());
    let (gateway, _, seed_socket) = start();
    seed_socket.set_read_timeout(Some(LONG_WAIT)).expect("a time-out");
    let mut datagram = [0; 2048];
    loop {
        let (size, _) = seed_socket.recv_from(&mut datagram).expect("a datagram");
        if matches!(decode(&datagram[..size]), Ok(WireMessage::ClockRequest { .. })) {
            break;
        }
        assert!(gateway.elapsed_without_waits(began, here) < PROMPT_LIMIT, "the clock is not requested");
    }
}

/// A gateway that has received no state reports the missing input in its log and its metrics.
#[test]
fn a_gateway_without_a_configuration_reports_it() {
    let (log, to) = std::io::pipe().expect("a pipe");
    let (_gateway, _, ready, _seed_socket) = start_logging_to(Stdio::from(to));
    let mut lines = BufReader::new(log).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.contains("event=waiting lacks=configuration")));
    let mut stream = TcpStream::connect(ready).expect("a connection for metrics");
    stream.set_read_timeout(Some(LONG_WAIT)).expect("a time-out");
    let head = "GET /lupinledge/metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("written");
    let mut metrics = String::new();
    stream.read_to_string(&mut metrics).expect("the metrics");
    assert!(metrics.lines().any(|line| line == "configuration.version 0"), "{metrics}");
}
