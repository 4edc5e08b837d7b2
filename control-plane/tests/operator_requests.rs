//! Operator requests to three core processes on loopback: acknowledged changes survive kills, and only a leader with a
//! majority answers.

mod common;

use common::{config, wait_for, Cluster, CONFIG_PATH, WAIT_LIMIT};
use lupinledge_example::http::{self, Client};
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::spawn;
use std::time::{Duration, Instant};

/// Time limit of an operator for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Starts a platform with a list of one server; returns its address and the count of its requests.
fn platform() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, request_count) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let count = request_count.clone();
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let count = count.clone();
            spawn(move || {
                let mut from = BufReader::new(stream);
                while let Ok(Some(_)) = http::read_message(&mut from) {
                    count.fetch_add(1, Ordering::Relaxed);
                    let row = json!({"id": "i-1", "service": "huvo11a", "address": "127.0.0.1:9", "slots": 3,
                                     "zone": "harju-kadaka", "state": "ready"});
                    let body = json!({ "instances": [row] }).to_string();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    if from.get_mut().write_all((head + &body).as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
    (address, request_count)
}

/// A core, and the count of requests to its platform.
struct Core {
    members: Cluster,
    request_count: Arc<AtomicUsize>,
}

impl std::ops::Deref for Core {
    type Target = Cluster;
    fn deref(&self) -> &Cluster {
        &self.members
    }
}

impl std::ops::DerefMut for Core {
    fn deref_mut(&mut self) -> &mut Cluster {
        &mut self.members
    }
}

impl Core {
    /// Starts a core and puts the first configuration.
    fn start_configured() -> Core {
        let (platform, request_count) = platform();
        let core = Core { members: Cluster::start_founders(Some(platform)), request_count };
        assert_eq!(core.settled_answer(0, "PUT", CONFIG_PATH, &config::numbered(7, 0)).0, 200);
        core
    }

    /// Makes a member reload its settings, with the current platform address, and waits for a text in its log.
    fn reload_settings(&self, i: usize, rate: f64, log_text: &str) {
        self.write_settings(i, false, rate);
        self.signal(i, "-HUP");
        self.wait_for_log(i, log_text);
    }

    /// Sends one request without following redirects; returns the status, `None` without an answer in time.
    fn status(&self, at: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<u16> {
        self.request(at, (method, path), body, ANSWER_TIMEOUT).map(|answer| answer.status())
    }

    /// Repeats a request, following redirects, until the leader answers; also returns which member that was.
    fn settled_answer(&self, first: usize, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>, usize) {
        wait_for("an answer of the leader", || {
            self.request_following(first, (method, path), body, ANSWER_TIMEOUT)
        })
    }

    /// Puts a configuration; returns the status.
    fn put(&self, first: usize, body: &[u8]) -> u16 {
        self.settled_answer(first, "PUT", CONFIG_PATH, body).0
    }

    /// The leader: the member that answers a read.
    fn leader(&self, first: usize) -> usize {
        self.settled_answer(first, "GET", CONFIG_PATH, b"").2
    }
}

#[test]
fn operator_requests_are_answered_and_malformed_ones_refused() {
    let mut core = Core::start_configured();
    let (config_7, config_8) = (config::numbered(7, 0), config::numbered(8, 7));
    (0..3).for_each(|i| {
        assert_eq!(core.settled_answer(i, "GET", CONFIG_PATH, b""), (200, config_7.clone(), core.leader(0)))
    });
    assert_eq!((core.put(1, &config_7), core.put(2, &config_8), core.put(0, &config_8)), (200, 200, 200));
    assert_eq!(core.put(1, &config::numbered(9, 7)), 412, "based on an outdated version");
    assert_eq!(core.settled_answer(2, "GET", CONFIG_PATH, b"").1, config_8);
    // an invalid configuration is refused and changes nothing
    let invalid_config = |change: fn(&mut serde_json::Value)| {
        let mut v: serde_json::Value = serde_json::from_slice(&config::numbered(9, 8)).unwrap();
        change(&mut v);
        config::bytes(&v)
    };
    let unknown_service =
        invalid_config(|v| v["listeners"][1]["rules"][0]["action"]["service"] = json!("none"));
    let negative_rate = invalid_config(|v| v["tenants"][0]["rate_per_s"] = json!(-1));
    for body in [
        b"{".to_vec(),
        b"{}".to_vec(),
        unknown_service,
        negative_rate,
        config_8[..config_8.len() / 2].to_vec(),
    ] {
        assert_eq!(core.put(0, &body), 400);
    }
    let zone =
        |method, name: &str| core.settled_answer(1, method, &format!("/lupinledge/evacuation/{name}"), b"").0;
    assert_eq!((zone("POST", "nowhere"), zone("POST", "tartu-ropka"), zone("PUT", "x")), (404, 200, 405));
    assert_eq!(core.settled_answer(1, "GET", CONFIG_PATH, b"").1, config_8);
    wait_for("a read of the server list", || (core.request_count.load(Ordering::Relaxed) > 0).then_some(()));

    // malformed bytes to the control port and to the peer port
    let long = [b"GET /", &[b'a'; 34_000][..], b" HTTP/1.1\r\n\r\n"].concat();
    let huge = format!("PUT {CONFIG_PATH} HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n");
    let malformed: [&[u8]; 5] =
        [b"\0\x01\xff\r\n\r\n", b"GET\r\n\r\n", b"GET / HTTP/9\r\nx\r\n\r\n", &long, huge.as_bytes()];
    for (i, bytes) in (0..3).flat_map(|i| malformed.map(|bytes| (i, bytes))) {
        let mut client = Client::connect_with_timeout(core.control_address(i), WAIT_LIMIT).unwrap();
        // the answer may come before all bytes are written
        let _ = client.write(bytes);
        let answer = client.read_response().unwrap().expect("an answer");
        assert!((400..500).contains(&answer.status()), "{}", answer.start_line);
    }
    let stranger = Ipv4Addr::from(u32::from(core.ips[2]) + 1);
    let udp = UdpSocket::bind((stranger, core.peer_port)).unwrap();
    for i in 0..3 {
        let at = (core.ips[i], core.peer_port);
        for bytes in malformed {
            let _ = udp.send_to(bytes, at);
            let _ = Client::connect(at.into()).and_then(|mut c| c.write(bytes));
        }
    }
    assert_eq!(core.settled_answer(0, "GET", CONFIG_PATH, b"").1, config_8);
    assert!((0..3).all(|i| core.is_running(i)));

    // the platform moves to another address; an invalid settings file changes nothing
    let old = std::mem::take(&mut core.request_count);
    (core.members.platform, core.request_count) = platform();
    (0..3).for_each(|i| core.reload_settings(i, 0.0, "cloud_api.rate_per_s"));
    let before = old.load(Ordering::Relaxed);
    wait_for("a request to the old platform", || (old.load(Ordering::Relaxed) > before).then_some(()));
    assert_eq!(core.request_count.load(Ordering::Relaxed), 0);
    (0..3).for_each(|i| core.reload_settings(i, 39.0, "event=settings_taken"));
    wait_for("a request to the new platform", || {
        (core.request_count.load(Ordering::Relaxed) > 0).then_some(())
    });
}

#[test]
fn acknowledged_changes_survive_kills_and_a_lost_disk() {
    let mut core = Core::start_configured();
    let (config_7, config_8) = (config::numbered(7, 0), config::numbered(8, 7));
    // a leader without a majority answers neither reads nor changes
    let leader = core.leader(0);
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    others.iter().for_each(|i| core.kill(*i));
    let (began, mut rounds) = (Instant::now(), 0);
    while began.elapsed() < Duration::from_millis(1500) || rounds < 2 {
        rounds += 1;
        let calls =
            [("GET", &b""[..]), ("PUT", &config_8), ("PUT", &config_7), ("PUT", &config::numbered(9, 0))];
        for (method, body) in calls {
            let answer = core.status(core.control_address(leader), method, CONFIG_PATH, body);
            assert!(matches!(answer, None | Some(503)), "{method}: {answer:?}");
        }
    }
    core.kill(leader);
    (0..3).for_each(|i| core.start(i, false));
    // a change that was sent meanwhile may have been committed
    let now = core.settled_answer(0, "GET", CONFIG_PATH, b"").1;
    assert!(now == config_7 || now == config_8);
    assert_eq!(core.put(1, &config_8), 200);

    // a member with a lost disk learns, and then is a voting member again
    let leader = core.leader(0);
    let (wiped, third) = ((leader + 1) % 3, (leader + 2) % 3);
    core.kill(wiped);
    std::fs::remove_dir_all(core.data_dir(wiped)).unwrap();
    assert_eq!(core.put(leader, &config::numbered(9, 8)), 200);
    core.start(wiped, false);
    core.wait_for_log(wiped, "event=member counts=true");
    core.kill(third);
    assert_eq!(core.put(wiped, &config::numbered(10, 9)), 200);
    assert_eq!(core.settled_answer(wiped, "GET", CONFIG_PATH, b"").1, config::numbered(10, 9));
    // only the leader and the wiped member have this version: it must be on the disk of the wiped one
    core.kill(leader);
    core.start(third, false);
    assert_eq!(core.settled_answer(third, "GET", CONFIG_PATH, b"").1, config::numbered(10, 9));
}

/// Of two concurrent changes based on the same version exactly one is accepted, whichever members receive them.
#[test]
fn of_two_concurrent_changes_one_is_accepted() {
    let core = Core::start_configured();
    let mut base = 7;
    for round in 0..6 {
        let put = |n: u64| (core.put((round + n as usize) % 3, &config::numbered(base + n, base)), n);
        let both = std::thread::scope(|scope| {
            let other = scope.spawn(|| put(2));
            [put(1), other.join().unwrap()]
        });
        let won: Vec<u64> =
            both.into_iter().filter(|result| result.0 == 200).map(|result| result.1).collect();
        assert!(won.len() == 1 && both.iter().any(|result| result.0 == 412), "{both:?}");
        let now = config::numbered(base + won[0], base);
        assert_eq!(core.settled_answer(round % 3, "GET", CONFIG_PATH, b"").1, now);
        base += won[0];
    }
}

/// A leader that was paused while another member replaced it returns no outdated data, even to requests that arrived
/// during the pause.
#[test]
fn a_resumed_leader_returns_no_outdated_data() {
    let core = Core::start_configured();
    let mut newest = config::numbered(7, 0);
    for base in 7..9 {
        let leader = core.leader(0);
        core.signal(leader, "-STOP");
        newest = config::numbered(base + 1, base);
        assert_eq!(core.put((leader + 1) % 3, &newest), 200);
        // these requests wait in its sockets, and are the first that it reads after the pause
        let send_early = |method: &str, body: &[u8]| {
            let mut client = Client::connect_with_timeout(core.control_address(leader), WAIT_LIMIT).unwrap();
            let head = format!(
                "{method} {CONFIG_PATH} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            client.write(&[head.as_bytes(), body].concat()).unwrap();
            client
        };
        let conflicting = config::numbered(base + 2, base);
        let calls = [send_early("GET", b""), send_early("PUT", &conflicting), send_early("PUT", &newest)];
        core.signal(leader, "-CONT");
        let [read, put, repeated] = calls.map(|mut c| c.read_response().unwrap().expect("an answer"));
        assert!(read.status() != 200 || read.body == newest, "{}", read.text());
        assert!([307, 412, 503].contains(&put.status()), "{}", put.start_line);
        assert!([200, 307, 503].contains(&repeated.status()), "{}", repeated.start_line);
        assert_eq!(core.settled_answer(leader, "GET", CONFIG_PATH, b"").1, newest);
    }
    assert_eq!(core.settled_answer(0, "GET", CONFIG_PATH, b"").1, newest);
}
