//! Starts the program with nobody around, and speaks to it over a socket.

use lupinledge_example::waits;
use lupinledge_messaging::{decode, WireMessage};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// What has not come by then never does, however busy the machine is.
const LONG: Duration = Duration::from_secs(60);

/// How long the program may take for what it does at once, without its and this thread's waits for a processor.
const SOON: Duration = Duration::from_secs(2);

/// The program, killed when dropped.
struct Forager(Child, std::path::PathBuf);

impl Drop for Forager {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_file(&self.1);
    }
}

impl Forager {
    /// The span since a moment at which both had waited for so long, without what they have waited since.
    fn passed(&self, began: Instant, waited: Duration) -> Duration {
        began.elapsed().saturating_sub(self.waits().saturating_sub(waited))
    }
    fn waits(&self) -> Duration {
        waits::of(format!("/proc/{}", self.0.id()).as_ref()) + waits::here()
    }
}

/// A port of the loopback that nobody uses now.
fn port() -> u16 {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|l| l.local_addr()).expect("a port").port()
}

/// The program with a seed that answers nothing, its address for clients, and the seed's datagrams.
fn start() -> (Forager, SocketAddr, UdpSocket) {
    let (forager, front, _, hive) = start_logging_to(Stdio::null());
    (forager, front, hive)
}

/// The same with its log written there; also its address for figures.
fn start_logging_to(log: Stdio) -> (Forager, SocketAddr, SocketAddr, UdpSocket) {
    static FILES: AtomicU64 = AtomicU64::new(0);
    let (front, ready, seed) = (port(), port(), port());
    let (first, hive) = loop {
        let first = port();
        if let Ok(hive) = UdpSocket::bind(("127.0.0.2", first)) {
            break (first, hive);
        }
    };
    let nth = FILES.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("lupinledge-forager-{}-{nth}.json", std::process::id()));
    let text = format!(
        r#"{{"node_name": "edge-1", "role": "forager", "machine_class": "edge", "serves": ["edge"], "ip": "127.0.0.1",
        "zone": "z", "region": "r", "zones": {{"z": "r"}}, "port_range": [{first}, {first}],
        "listen": {{"front": "127.0.0.1:{front}", "ready": "127.0.0.1:{ready}"}}, "seeds": ["127.0.0.2:{seed}"]}}"#
    );
    std::fs::write(&path, text).expect("a settings file");
    let mut program = Command::new(env!("CARGO_BIN_EXE_lupinledge-forager"));
    program.env("LUPINLEDGE_NODE_FILE", &path).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    let program = Forager(program.spawn().expect("the program"), path);
    let [front, ready] = [front, ready].map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    (program, front, ready, hive)
}

/// With nobody to learn the state from, clients are answered all the same, at once and with when to come back; the
/// answer is the last of its connection, and is not lost with a body that nobody wants.
#[test]
fn a_client_is_answered_before_the_state_is_here() {
    let (began, here) = (Instant::now(), waits::here());
    let (forager, front, _) = start();
    let mut stream = loop {
        match TcpStream::connect(front) {
            Ok(stream) => break stream,
            Err(e) => assert!(forager.passed(began, here) < SOON, "no way in: {e}"),
        }
        std::thread::sleep(Duration::from_millis(2));
    };
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    let head =
        "POST /a/ HTTP/1.1\r\nHost: a.example\r\nLupinledge-Attempt-Id: 1\r\nContent-Length: 5\r\n\r\nhello";
    stream.write_all(head.as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer, and the end of the connection");
    let answer = answer.to_ascii_lowercase();
    assert!(answer.starts_with("http/1.1 503 "), "{answer}");
    let after = answer.lines().find_map(|l| l.strip_prefix("retry-after: ")).expect("when to come back");
    let after: f64 = after.parse().expect("seconds");
    assert!((0.2..=2.5).contains(&after), "{after}");
}

/// The clock is asked of whoever may come to hold the duty, before anyone is known to.
#[test]
fn the_clock_is_asked_for_before_there_is_a_holder() {
    let (began, here) = (Instant::now(), waits::here());
    let (forager, _, hive) = start();
    hive.set_read_timeout(Some(LONG)).expect("a time-out");
    let mut datagram = [0; 2048];
    loop {
        let (size, _) = hive.recv_from(&mut datagram).expect("a word");
        if matches!(decode(&datagram[..size]), Ok(WireMessage::ClockRequest { .. })) {
            break;
        }
        assert!(forager.passed(began, here) < SOON, "the clock is not asked for");
    }
}

/// A gateway that nothing was told to says what it waits for, in its log and in its figures.
#[test]
fn a_gateway_without_a_configuration_says_so() {
    let (log, to) = std::io::pipe().expect("a pipe");
    let (_forager, _, ready, _hive) = start_logging_to(Stdio::from(to));
    let mut lines = BufReader::new(log).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.contains("event=waiting lacks=configuration")));
    let mut stream = TcpStream::connect(ready).expect("its figures' address");
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    let head = "GET /lupinledge/metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("written");
    let mut figures = String::new();
    stream.read_to_string(&mut figures).expect("its figures");
    assert!(figures.lines().any(|line| line == "configuration.version 0"), "{figures}");
}
