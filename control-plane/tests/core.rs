//! Three processes of the core on loopback, as an operator meets them: what was acknowledged outlives kills, and who
//! can't speak for the whole does not.

mod common;

use common::{config, until, Members, CONFIG, LONG};
use lupinledge_example::http::{self, Client};
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::spawn;
use std::time::{Duration, Instant};

/// So long an operator waits for one answer.
const CALL: Duration = Duration::from_millis(1200);

/// The platform, whose list is one server; returns its address and how often it was asked.
fn platform() -> (SocketAddr, Arc<AtomicUsize>) {
    let gate = TcpListener::bind("127.0.0.1:0").unwrap();
    let (addr, asked) = (gate.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let count = asked.clone();
    spawn(move || {
        for stream in gate.incoming().map_while(Result::ok) {
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
    (addr, asked)
}

/// The core, and how often its platform was asked.
struct Core {
    members: Members,
    asked: Arc<AtomicUsize>,
}

impl std::ops::Deref for Core {
    type Target = Members;
    fn deref(&self) -> &Members {
        &self.members
    }
}

impl std::ops::DerefMut for Core {
    fn deref_mut(&mut self) -> &mut Members {
        &mut self.members
    }
}

impl Core {
    /// Founds a core and has it take the first configuration.
    fn found() -> Core {
        let (platform, asked) = platform();
        let core = Core { members: Members::found(Some(platform)), asked };
        assert_eq!(core.settled(0, "PUT", CONFIG, &config::numbered(7, 0)).0, 200);
        core
    }

    /// Has one reread its settings, which are with this platform from here on, and waits for what the log says of it.
    fn retell(&self, i: usize, rate: f64, says: &str) {
        self.settings(i, false, rate);
        self.signal(i, "-HUP");
        self.logged(i, says);
    }

    /// One call, without following: its status; `None` where no answer comes in time.
    fn call(&self, at: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<u16> {
        self.ask(at, (method, path), body, CALL).map(|answer| answer.status())
    }

    /// Calls until some one speaks for the whole, following where one is sent to; also tells who that was.
    fn settled(&self, first: usize, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>, usize) {
        until("a settled answer", || self.followed(first, (method, path), body, CALL))
    }

    fn put(&self, first: usize, body: &[u8]) -> u16 {
        self.settled(first, "PUT", CONFIG, body).0
    }

    /// Who holds the duty, as its answers tell.
    fn holder(&self, first: usize) -> usize {
        self.settled(first, "GET", CONFIG, b"").2
    }
}

#[test]
fn an_operator_is_answered() {
    let mut core = Core::found();
    let (seven, eight) = (config::numbered(7, 0), config::numbered(8, 7));
    (0..3)
        .for_each(|i| assert_eq!(core.settled(i, "GET", CONFIG, b""), (200, seven.clone(), core.holder(0))));
    assert_eq!((core.put(1, &seven), core.put(2, &eight), core.put(0, &eight)), (200, 200, 200));
    assert_eq!(core.put(1, &config::numbered(9, 7)), 412, "built on what is not there any more");
    assert_eq!(core.settled(2, "GET", CONFIG, b"").1, eight);
    // what is wrong with it is told, and changes nothing
    let broken = |change: fn(&mut serde_json::Value)| {
        let mut v: serde_json::Value = serde_json::from_slice(&config::numbered(9, 8)).unwrap();
        change(&mut v);
        config::bytes(&v)
    };
    let nowhere = broken(|v| v["listeners"][1]["rules"][0]["action"]["service"] = json!("none"));
    let negative = broken(|v| v["tenants"][0]["rate_per_s"] = json!(-1));
    for body in [b"{".to_vec(), b"{}".to_vec(), nowhere, negative, eight[..eight.len() / 2].to_vec()] {
        assert_eq!(core.put(0, &body), 400);
    }
    let zone = |method, name: &str| core.settled(1, method, &format!("/lupinledge/evacuation/{name}"), b"").0;
    assert_eq!((zone("POST", "nowhere"), zone("POST", "tartu-ropka"), zone("PUT", "x")), (404, 200, 405));
    assert_eq!(core.settled(1, "GET", CONFIG, b"").1, eight);
    until("the list is read", || (core.asked.load(Ordering::Relaxed) > 0).then_some(()));

    // bytes of nobody's protocol, to the operator's side and to the one for own processes
    let long = [b"GET /", &[b'a'; 34_000][..], b" HTTP/1.1\r\n\r\n"].concat();
    let huge = format!("PUT {CONFIG} HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n");
    let odd: [&[u8]; 5] =
        [b"\0\x01\xff\r\n\r\n", b"GET\r\n\r\n", b"GET / HTTP/9\r\nx\r\n\r\n", &long, huge.as_bytes()];
    for (i, bytes) in (0..3).flat_map(|i| odd.map(|o| (i, o))) {
        let mut client = Client::connect_with_timeout(core.at(i), LONG).unwrap();
        // the answer may come before all is written
        let _ = client.write(bytes);
        let answer = client.read_response().unwrap().expect("an answer");
        assert!((400..500).contains(&answer.status()), "{}", answer.start_line);
    }
    let stranger = Ipv4Addr::from(u32::from(core.ips[2]) + 1);
    let udp = UdpSocket::bind((stranger, core.peers)).unwrap();
    for i in 0..3 {
        let at = (core.ips[i], core.peers);
        for bytes in odd {
            let _ = udp.send_to(bytes, at);
            let _ = Client::connect(at.into()).and_then(|mut c| c.write(bytes));
        }
    }
    assert_eq!(core.settled(0, "GET", CONFIG, b"").1, eight);
    assert!((0..3).all(|i| core.runs(i)));

    // the platform is elsewhere from here on; a file that can't be used changes nothing
    let old = std::mem::take(&mut core.asked);
    (core.members.platform, core.asked) = platform();
    (0..3).for_each(|i| core.retell(i, 0.0, "cloud_api.rate_per_s"));
    let before = old.load(Ordering::Relaxed);
    until("the old one is asked", || (old.load(Ordering::Relaxed) > before).then_some(()));
    assert_eq!(core.asked.load(Ordering::Relaxed), 0);
    (0..3).for_each(|i| core.retell(i, 39.0, "event=settings_taken"));
    until("the new one is asked", || (core.asked.load(Ordering::Relaxed) > 0).then_some(()));
}

#[test]
fn what_was_acknowledged_outlives_losses() {
    let mut core = Core::found();
    let (seven, eight) = (config::numbered(7, 0), config::numbered(8, 7));
    // alone, also the holder speaks for nobody
    let holder = core.holder(0);
    let others = [(holder + 1) % 3, (holder + 2) % 3];
    others.iter().for_each(|i| core.kill(*i));
    let (began, mut rounds) = (Instant::now(), 0);
    while began.elapsed() < Duration::from_millis(1500) || rounds < 2 {
        rounds += 1;
        let calls = [("GET", &b""[..]), ("PUT", &eight), ("PUT", &seven), ("PUT", &config::numbered(9, 0))];
        for (method, body) in calls {
            let answer = core.call(core.at(holder), method, CONFIG, body);
            assert!(matches!(answer, None | Some(503)), "{method}: {answer:?}");
        }
    }
    core.kill(holder);
    (0..3).for_each(|i| core.start(i, false));
    // what was sent meanwhile may have come into force
    let now = core.settled(0, "GET", CONFIG, b"").1;
    assert!(now == seven || now == eight);
    assert_eq!(core.put(1, &eight), 200);

    // one whose disk is lost learns, and then counts again
    let holder = core.holder(0);
    let (wiped, third) = ((holder + 1) % 3, (holder + 2) % 3);
    core.kill(wiped);
    std::fs::remove_dir_all(core.data(wiped)).unwrap();
    assert_eq!(core.put(holder, &config::numbered(9, 8)), 200);
    core.start(wiped, false);
    core.logged(wiped, "event=member counts=true");
    core.kill(third);
    assert_eq!(core.put(wiped, &config::numbered(10, 9)), 200);
    assert_eq!(core.settled(wiped, "GET", CONFIG, b"").1, config::numbered(10, 9));
    // the wiped one alone has it with the holder: it must be on its disk
    core.kill(holder);
    core.start(third, false);
    assert_eq!(core.settled(third, "GET", CONFIG, b"").1, config::numbered(10, 9));
}

/// Of two changes on top of the same version one is taken, wherever they come in.
#[test]
fn of_two_at_once_one_wins() {
    let core = Core::found();
    let mut base = 7;
    for turn in 0..6 {
        let put = |n: u64| (core.put((turn + n as usize) % 3, &config::numbered(base + n, base)), n);
        let both = std::thread::scope(|t| {
            let other = t.spawn(|| put(2));
            [put(1), other.join().unwrap()]
        });
        let won: Vec<u64> = both.into_iter().filter(|b| b.0 == 200).map(|b| b.1).collect();
        assert!(won.len() == 1 && both.iter().any(|b| b.0 == 412), "{both:?}");
        let now = config::numbered(base + won[0], base);
        assert_eq!(core.settled(turn % 3, "GET", CONFIG, b"").1, now);
        base += won[0];
    }
}

/// A holder that stood still while another one took its place says nothing old, however soon it is asked.
#[test]
fn a_thawed_holder_says_nothing_old() {
    let core = Core::found();
    let mut newest = config::numbered(7, 0);
    for base in 7..9 {
        let holder = core.holder(0);
        core.signal(holder, "-STOP");
        newest = config::numbered(base + 1, base);
        assert_eq!(core.put((holder + 1) % 3, &newest), 200);
        // these wait in its sockets, and are the first that it sees
        let early = |method: &str, body: &[u8]| {
            let mut client = Client::connect_with_timeout(core.at(holder), LONG).unwrap();
            let head =
                format!("{method} {CONFIG} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", body.len());
            client.write(&[head.as_bytes(), body].concat()).unwrap();
            client
        };
        let rival = config::numbered(base + 2, base);
        let calls = [early("GET", b""), early("PUT", &rival), early("PUT", &newest)];
        core.signal(holder, "-CONT");
        let [read, put, again] = calls.map(|mut c| c.read_response().unwrap().expect("an answer"));
        assert!(read.status() != 200 || read.body == newest, "{}", read.text());
        assert!([307, 412, 503].contains(&put.status()), "{}", put.start_line);
        assert!([200, 307, 503].contains(&again.status()), "{}", again.start_line);
        assert_eq!(core.settled(holder, "GET", CONFIG, b"").1, newest);
    }
    assert_eq!(core.settled(0, "GET", CONFIG, b"").1, newest);
}
