//! The rules as clients and servers see them: the real program on loopback between a stand-in hive and stand-in
//! servers. `docs/rules.md` says which mechanism each test guards.

mod callers;
mod drift;
mod fleet;
mod hive;
mod keyed;
mod keyed_route;
mod log;
mod rogue;
mod srv;

use fleet::{config, document, req, row, until, Fleet};
use lupinledge_example::door::Door;
use lupinledge_example::http::Client;
use lupinledge_messaging::list::ListedServer;
use serde_json::json;
use srv::{Manner, Srv, FULL, GOOD};
use std::io::{BufRead, BufReader, Write};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use test_case::test_case;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn srv(id: &str, manner: Manner) -> Srv {
    Srv::start(id, "mead-1", manner)
}

/// UNASKED, ROUTE: as the client sent it, but for the key and what only the system says. The answer comes back whole.
#[test]
fn what_goes_on_and_comes_back() {
    let s = srv("i-1", GOOD);
    let f = Fleet::start(vec![row(&s, "a")]);
    let more =
        "Lupinledge-Tenant: other\r\nLupinledge-Expect-Instance: i-9\r\nLupinledge-Deadline-Ms: 3000\r\n\
                X-App: mine\r\nX-Hop: 1\r\nConnection: x-hop\r\n";
    let (id, text) = req("POST /pay/x%20y?q=1", "key", more, "three");
    let answer = f.ask(&text);
    assert_eq!((answer.status(), answer.text()), (200, format!("i-1 for {id}")));
    assert_eq!(answer.header("lupinledge-server-stamp"), Some("st"));
    assert_eq!(answer.header("x-app"), Some("kept"));
    let got = s.got();
    assert_eq!((got.len(), got[0].start.as_str()), (1, "POST /pay/x%20y?q=1 HTTP/1.1"));
    let all = |name: &str| {
        let named = got[0].headers.iter().filter(|h| h.0 == name);
        named.map(|h| h.1.as_str()).collect::<Vec<_>>().join("; ")
    };
    let told = ["lupinledge-attempt-id", "lupinledge-expect-instance", "lupinledge-tenant", "x-app", "host"];
    assert_eq!(told.map(all), [&id, "i-1", "own", "mine", "a.example"]);
    assert_eq!(["authorization", "x-hop", "connection"].map(all), ["", "", ""]);
    assert_eq!(got[0].text(), "three");
    let left = all("lupinledge-deadline-ms");
    assert!((1..=3000).contains(&left.parse().unwrap()), "{left}");
    // a body in chunks goes on with its length, and its connection is not used again: its framing was not followed
    let chunks = text
        .replace(&id, &req("", "", "", "").0)
        .replace("Content-Length: 5", "Transfer-Encoding: chunked")
        .replace("three", "2\r\nth\r\n3\r\nree\r\n0\r\n\r\n");
    assert_eq!(f.ask(&chunks).header("connection"), Some("close"));
    let got = s.got();
    assert_eq!((got[1].text().as_str(), got[1].header("transfer-encoding")), ("three", None));
    // without a key no tenant is named, whoever the client says that it is
    let bare = text.replace("Authorization: Token key\r\n", "").replace("/pay/", "/open/");
    assert_eq!(f.ask(&bare).status(), 200);
    assert_eq!(s.got()[2].header("lupinledge-tenant"), None);
}

/// DENIED, ROUTE: what no configuration allows is refused, and nothing of it goes on.
#[test_case("GET /read/x", "nobody", 401; "unknown key")]
#[test_case("GET /read/x", "", 401; "empty key")]
#[test_case("GET /none/x", "key", 404; "unknown path")]
#[test_case("GET /rea", "key", 404; "half a prefix")]
#[test_case("GET /read/../none/x", "key", 200; "a path is taken as it is")]
fn refusals(line: &str, key: &str, status: u16) {
    let s = srv("i-1", GOOD);
    let f = Fleet::start(vec![row(&s, "a")]);
    // a body that nobody reads is no request
    let inner = req("GET /read/inner", "key", "", "").1;
    let mut c = Client::to(f.front).unwrap();
    c.write(req("POST /none/x", "key", "", &inner).1.as_bytes()).unwrap();
    assert_eq!(c.answer().unwrap().expect("an answer").status(), 404);
    assert!(!matches!(c.answer(), Ok(Some(_))), "the connection ends");
    assert_eq!(f.statuses(1, line, key), [status]);
    assert_eq!(f.ask(&req(line, key, "", "").1.replace("a.example", "b.example")).status(), 404);
    assert_eq!(s.got().len(), (status == 200) as usize);
}

/// UNASKED: a request that may hide another one is refused whole, its connection ends, and nothing goes on.
#[test_case("Content-Length: 5\r\nTransfer-Encoding: chunked", "0\r\n\r\n"; "length and coding")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length: 5", "0\r\n\r\n"; "coding and length")]
#[test_case("Content-Length: 5\r\nContent-Length: 6", "hello"; "two lengths")]
#[test_case("Content-Length: 5, 6", "hello"; "two lengths in one")]
#[test_case("Content-Length: 2", "hello"; "past its length")]
#[test_case("Content-Length: -5", "hello"; "below nothing")]
#[test_case("Content-Length: +5", "hello"; "signed")]
#[test_case("Transfer-Encoding: chunked", "zz\r\nhello\r\n0\r\n\r\n"; "size that is no number")]
#[test_case("Transfer-Encoding: chunked", "fffffffffffffffff5\r\nhello\r\n0\r\n\r\n"; "size past all")]
#[test_case("Transfer-Encoding: chunked", "2\r\nhello\r\n0\r\n\r\n"; "size not the chunk's")]
#[test_case("Transfer-Encoding: chunked", "5\nhello\n0\n\n"; "chunk lines that end in LF")]
#[test_case("Transfer-Encoding: chunked", "5;a\nb\r\nhello\r\n0\r\n\r\n"; "LF in what is said of a chunk")]
#[test_case("Transfer-Encoding: identity", "hello"; "another coding")]
#[test_case("Transfer-Encoding: chunked, gzip", "0\r\n\r\n"; "coding over chunks")]
#[test_case("Content-Length : 5", "hello"; "space before the colon")]
#[test_case("X-A: b\r\n Content-Length: 5", "hello"; "folded line")]
#[test_case("X-A: b\rContent-Length: 5", "hello"; "CR alone")]
#[test_case("X-A: b\nContent-Length: 5", "hello"; "LF alone")]
fn smuggled(lengths: &str, body: &str) {
    let s = srv("i-1", GOOD);
    let f = Fleet::start(vec![row(&s, "a")]);
    let text = req("POST /pay/x", "key", "", "").1.replace("Content-Length: 0", lengths);
    let mut c = Client::to(f.front).unwrap();
    c.write((text + body + &req("GET /read/inner", "key", "", "").1).as_bytes()).unwrap();
    assert_eq!(c.answer().unwrap().expect("an answer").status(), 400);
    assert!(!matches!(c.answer(), Ok(Some(_))), "the connection ends");
    assert_eq!(f.statuses(1, "GET /read/after", "key"), [200]);
    assert_eq!(s.got().len(), 1, "the one after it alone");
}

/// MIXED, TWICE, REFUSED: what is not the server's whole answer to this request may have run: it is not passed on, not
/// sent again, and not called a refusal.
#[test_case(Manner::Close(""); "none")]
#[test_case(Manner::Close("what is this?\r\n\r\n"); "noise")]
#[test_case(Manner::Close("HTTP/1.1 200 OK\r\nLupinledge-Attempt-Id: ID\r\nLupinledge-Server-Stamp: s\r\nContent-Length: 9\r\n\r\nno"); "cut short")]
#[test_case(Manner::Close("HTTP/1.1 200 OK\r\nLupinledge-Attempt-Id: ID\r\nLupinledge-Server-Stamp: s\r\n\r\nno"); "without a length")]
#[test_case(Manner::Say("HTTP/1.1 200 OK\r\nLupinledge-Attempt-Id: x\r\nLupinledge-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno"); "of another")]
#[test_case(Manner::Say("HTTP/1.1 200 OK\r\nLupinledge-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno"); "of nobody")]
#[test_case(Manner::Say("HTTP/1.1 503 No\r\nLupinledge-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno"); "refusal of nobody")]
#[test_case(Manner::Say("HTTP/1.1 200 OK\r\nLupinledge-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nno"); "without a stamp")]
#[test_case(Manner::Say("HTTP/1.1 200 OK\r\nLupinledge-Attempt-Id: ID\r\nLupinledge-Server-Stamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno"); "coded")]
fn spoilt_answer(manner: Manner) {
    let (one, two) = (srv("i-1", manner), srv("i-2", manner));
    let f = Fleet::start(vec![row(&one, "a"), row(&two, "a")]);
    let answer = f.ask(&req("POST /pay/x", "key", "", "").1);
    assert_eq!((answer.status(), answer.text()), (502, String::new()));
    assert_eq!(one.got().len() + two.got().len(), 1);
    // one that may be repeated goes to the other server
    [&one, &two].into_iter().for_each(|s| s.now(GOOD));
    until("it is trusted", || f.statuses(1, "GET /read/x", "key") == [200]);
}

/// MIXED: a server's own failure is passed on as it is; what it sends behind an answer is nobody's.
#[test]
fn more_than_an_answer() {
    let s = srv("i-1", Manner::Say("HTTP/1.1 200 OK\r\nLupinledge-Attempt-Id: ID\r\nLupinledge-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nLupinledge-Attempt-Id: x\r\nLupinledge-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno"));
    let f = Fleet::start(vec![row(&s, "a")]);
    for _ in 0..5 {
        let answer = f.ask(&req("POST /pay/x", "key", "", "").1);
        assert_eq!((answer.status(), answer.text().as_str()), (200, "ok"));
        std::thread::sleep(ms(5)); // a connection is used again after a rest
    }
    s.now(Manner::Say(
        "HTTP/1.1 500 Own\r\nLupinledge-Attempt-Id: ID\r\nX-Why: y\r\nContent-Length: 3\r\n\r\nown",
    ));
    let answer = f.ask(&req("POST /pay/x", "key", "", "").1);
    assert_eq!((answer.status(), answer.text().as_str(), answer.header("x-why")), (500, "own", Some("y")));
    assert_eq!(s.got().len(), 6);
}

/// A server that answers once it has read a head, and leaves the body unread.
fn answers_early(id: Option<&'static str>) -> Door {
    let early = Door::open("127.0.0.1:0", move |stream| {
        let mut head = String::new();
        let mut from = BufReader::new(stream);
        while !head.ends_with("\r\n\r\n") && from.read_line(&mut head).is_ok_and(|n| n > 0) {}
        let own =
            head.split("lupinledge-attempt-id: ").nth(1).and_then(|h| h.split('\r').next()).unwrap_or("");
        let id = id.unwrap_or(own);
        let ok =
            "HTTP/1.1 200 OK\r\nLupinledge-Server-Stamp: s\r\nContent-Length: 5\r\nLupinledge-Attempt-Id:";
        let _ = from.get_mut().write_all(format!("{ok} {id}\r\n\r\nearly").as_bytes());
        std::thread::sleep(ms(300));
    });
    early.expect("a server")
}

/// TWICE: a server may answer before it has read a long body, and it has run the request then: the answer is the
/// client's, and no second server gets the request. One that bears another id is not the client's, and what came of
/// the request is not known.
#[test_case(None, 200, "early"; "its own answer")]
#[test_case(Some("of-nobody"), 502, ""; "another's answer")]
fn answered_before_the_body_was_read(id: Option<&'static str>, status: u16, text: &str) {
    let (early, two) = (answers_early(id), Srv::start("i-2", "wold-1", GOOD));
    let near =
        ListedServer { id: "i-1".into(), address: early.addr, zone: "mead-1".into(), ..row(&two, "a") };
    let f = Fleet::start(vec![near, row(&two, "a")]);
    let answer = f.ask(&req("POST /pay/x", "key", "", &"x".repeat(32 << 20)).1);
    assert_eq!((answer.status(), answer.text().as_str(), two.got().len()), (status, text, 0));
}

/// TWICE, REFUSED: a second server gets what the first says that it has not run, and one alone runs it. Where none
/// does, the refusal is a promise, after as many servers as the route allows.
#[test_case(FULL; "full")]
#[test_case(Manner::Say("HTTP/1.1 421 Not me\r\nLupinledge-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n"); "another instance")]
fn turned_away(manner: Manner) {
    let (one, two, three) = (srv("i-1", manner), Srv::start("i-2", "wold-1", GOOD), srv("i-3", manner));
    let f = Fleet::start(vec![row(&one, "a"), row(&two, "a")]);
    assert_eq!(f.statuses(12, "POST /pay/x", "key"), [200; 12]);
    assert_eq!(two.got().len(), 12);
    assert!(!one.got().is_empty(), "the near one was asked first");
    f.list(vec![row(&one, "a"), row(&three, "a")]);
    let before = one.got().len() + three.got().len();
    assert_eq!(f.statuses(1, "POST /pay/x", "key"), [429]);
    assert_eq!(one.got().len() + three.got().len() - before, 2);
}

/// BUDGET: where all are turned away, further tries stay within the ratio and this gateway's part of the slack.
#[test]
fn further_tries_are_few() {
    let (one, two) = (srv("i-1", FULL), srv("i-2", FULL));
    let bounds = json!({"retry_ratio": 0.1, "retry_slack": 10});
    let f = Fleet::with(vec![row(&one, "a"), row(&two, "a")], &config(), bounds);
    assert_eq!(f.statuses(30, "GET /read/x", "key"), [429; 30]);
    let sent = one.got().len() + two.got().len();
    assert!((31..=30 + 3 + 5).contains(&sent), "{sent} sends of 30 requests");
    // settings that can't be used change nothing, others do at once
    f.bounds(json!({"retry_ratio": 2, "retry_slack": -1}), "bounds.retry_slack");
    assert_eq!(f.statuses(10, "GET /read/x", "key"), [429; 10]);
    let refused = one.got().len() + two.got().len() - sent;
    assert!(refused <= 10 + 1 + 5, "{refused} sends of 10 requests");
    f.bounds(json!({"retry_ratio": 2, "retry_slack": 10}), "event=settings_taken");
    assert_eq!(f.statuses(10, "GET /read/x", "key"), [429; 10]);
    assert_eq!(one.got().len() + two.got().len() - sent - refused, 20, "each is tried twice");
}

/// DRAIN: a server that is about to leave, or has left, gets nothing new. EVAC: nor does one in an evacuated zone.
/// FAILBACK: once the zone is taken back, only from the next list on, which tells who is cold.
#[test]
fn who_gets_nothing_new() {
    let (one, two) = (srv("i-1", GOOD), Srv::start("i-2", "wold-1", GOOD));
    let rows = || vec![row(&one, "a"), row(&two, "a")];
    let f = Fleet::start(rows());
    let to = |times: usize| {
        let before = [&one, &two].map(|s| s.got().len());
        assert_eq!(f.statuses(times, "POST /pay/x", "key"), vec![200; times]);
        [one.got().len() - before[0], two.got().len() - before[1]]
    };
    assert_eq!(to(5), [5, 0], "the near one");
    f.list(vec![ListedServer { draining: true, ..row(&one, "a") }, row(&two, "a")]);
    assert_eq!(to(5), [0, 5], "draining");
    f.list(rows());
    assert_eq!(to(5), [5, 0], "back");
    f.list(vec![row(&two, "a")]);
    assert_eq!(to(5), [0, 5], "gone");
    f.list(rows());
    f.follow(document(2, &config(), &["mead-1"]));
    assert_eq!(to(5), [0, 5], "evacuated");
    f.list(rows());
    assert_eq!(to(5), [0, 5], "evacuated, whatever the list says");
    f.follow(document(3, &config(), &[]));
    assert_eq!(to(5), [0, 5], "taken back, and maybe cold");
    f.list(rows());
    assert_eq!(to(5), [5, 0], "and known to be warm");
}

/// FAILBACK: where no newer list comes, a zone that was taken back opens after a warm-up.
#[test]
fn a_zone_opens_without_a_list() {
    let (one, two) = (srv("i-1", GOOD), Srv::start("i-2", "wold-1", GOOD));
    let mut config = config();
    (0..3).for_each(|i| config["clusters"][i]["warmup_s"] = json!(0));
    let f = Fleet::with(vec![row(&one, "a"), row(&two, "a")], &config, json!({}));
    f.follow(document(2, &config, &["mead-1"]));
    f.follow(document(3, &config, &[]));
    assert_eq!((f.statuses(1, "GET /read/x", "key"), one.got().len()), (vec![200], 0));
    until("it opens", || f.statuses(1, "GET /read/x", "key") == [200] && !one.got().is_empty());
}

/// FAILBACK: a cold server gets this gateway's part of its bound and no burst.
#[test]
fn a_cold_server_is_spared() {
    let s = srv("i-1", GOOD);
    let f = Fleet::start(vec![ListedServer { warmup_left_s: 10.0, ..row(&s, "a") }]);
    let text = || req("GET /read/x", "key", "Lupinledge-Deadline-Ms: 900\r\n", "").1;
    let asks = |_| std::thread::scope(|t| (0..20).for_each(|_| drop(t.spawn(|| f.ask(&text())))));
    (0..3).for_each(asks);
    let (times, most) = (s.times(), 1.0 * 1.5 + 5.0);
    let within = |from: &Instant| times.iter().filter(|t| **t >= *from && **t - *from <= ms(1000)).count();
    assert!(!times.is_empty() && times.iter().all(|t| within(t) as f64 <= most), "{}", times.len());
}

/// HOME: route and tenant bind together; where no server is allowed, none gets it.
#[test]
fn homes() {
    let (one, two) = (srv("i-1", GOOD), Srv::start("i-2", "wold-1", GOOD));
    let mut config = config();
    config["listeners"][0]["rules"][0]["action"]["home_regions"] = json!(["mead"]);
    let f = Fleet::with(vec![row(&one, "a"), row(&two, "a")], &config, json!({}));
    assert_eq!(f.statuses(5, "POST /pay/x", "wold-key"), [200; 5]);
    assert_eq!((one.got().len(), two.got().len()), (0, 5), "the tenant's");
    f.list(vec![ListedServer { draining: true, ..row(&one, "a") }, row(&two, "a")]);
    assert_eq!(f.statuses(2, "GET /read/x", "key"), [429; 2], "the route's has no server");
    assert_eq!(f.statuses(2, "GET /read/x", "wold-key"), [429; 2], "no region is a home of both");
    assert_eq!((one.got().len(), two.got().len()), (0, 5));
}

/// CONFIG: a new configuration is followed, also for open connections; what is older changes nothing, whether by its
/// stamp or by its serial.
#[test]
fn configurations_never_go_back() {
    let (one, two) = (srv("i-1", GOOD), srv("i-2", GOOD));
    let f = Fleet::start(vec![row(&one, "a"), row(&two, "b")]);
    let mut c = Client::to(f.front).unwrap();
    let mut ask = |key: &str| {
        let text = req("GET /read/x", key, "", "").1;
        c.ask(text.as_bytes()).unwrap().expect("an answer").status()
    };
    assert_eq!((ask("key"), one.got().len(), two.got().len()), (200, 1, 0));
    let mut new = config();
    new["listeners"][0]["rules"][0]["action"]["service"] = json!("b");
    new["tenants"][0]["api_keys"] = json!(["new-key"]);
    f.follow(document(2, &new, &[]));
    assert_eq!((ask("new-key"), one.got().len(), two.got().len()), (200, 1, 1));
    for stamp in [(1, 1), (2, 1)] {
        f.hive.say(f.ip.into(), stamp, document(1, &config(), &[]));
        f.list(vec![row(&one, "a"), row(&two, "b")]); // comes behind it over the same link
        assert_eq!(f.statuses(1, "GET /read/x", "new-key"), [200], "{stamp:?}");
    }
    assert_eq!((one.got().len(), two.got().len()), (1, 3));
    assert_eq!((ask("key"), one.got().len(), two.got().len()), (401, 1, 3));
}

/// QUOTA: each request is added to its tenant's counter before it is sent, and a total past the quota refuses it.
#[test]
fn the_counter_is_asked_first() {
    let s = srv("i-1", GOOD);
    let f = Fleet::start(vec![row(&s, "a")]);
    let (before, added) = (s.got().len() as u64, || f.hive.counts.added.load(Ordering::SeqCst));
    assert_eq!(f.statuses(2, "GET /read/x", "small-key"), [200; 2]);
    assert!(added() >= s.got().len() as u64 - before, "{} added", added());
    f.hive.counts.others.store(1000, Ordering::SeqCst);
    let sent = s.got().len();
    f.statuses(1, "GET /read/x", "small-key"); // may still go on by what the last total left
    let answers = f.statuses(10, "GET /read/x", "small-key");
    assert_eq!((answers, s.got().len() <= sent + 1), (vec![429; 10], true));
    assert_eq!(f.statuses(3, "GET /read/x", "key"), [200; 3], "others are none the poorer");
}

/// QUOTA: a lease is held to the outcome, and a new holder is told at once what the one before knew.
#[test]
fn the_counters_outlive_their_holder() {
    let s = srv("i-1", Manner::Answer(ms(500)));
    let f = Fleet::start(vec![row(&s, "a")]);
    let counts = &f.hive.counts;
    std::thread::scope(|t| {
        let asked = t.spawn(|| f.statuses(1, "GET /read/x", "small-key"));
        until("a lease is held", || counts.leases.load(Ordering::SeqCst) == 1);
        assert_eq!(asked.join().unwrap(), [200]);
    });
    until("it is given back", || counts.leases.load(Ordering::SeqCst) == 0);
    assert_eq!(counts.told.load(Ordering::SeqCst), 0);
    f.hive.round(2);
    until("the new holder is told", || counts.told.load(Ordering::SeqCst) == 1);
}

/// LOST: after SIGTERM what was taken is answered, new connections are served for a while, and the program ends in
/// time with 0.
#[test]
fn sigterm() {
    let s = srv("i-1", Manner::Answer(ms(2000)));
    let mut f = Fleet::with(vec![row(&s, "a")], &config(), json!({"grace_s": 3.0}));
    let (id, text) = req("POST /pay/x", "key", "", "");
    let mut c = Client::to(f.front).unwrap();
    c.write(text.as_bytes()).unwrap();
    until("it is at work", || s.got().len() == 1);
    let began = Instant::now();
    f.signal("TERM");
    until("it is not ready any more", || f.readiness() != Some(200));
    s.now(GOOD);
    while began.elapsed() < ms(600) {
        let late = f.ask(&req("POST /pay/x", "key", "", "").1);
        assert_eq!((late.status(), late.header("connection")), (200, Some("close")));
        std::thread::sleep(ms(50));
    }
    let answer = c.answer().unwrap().expect("an answer");
    assert_eq!((answer.status(), answer.text()), (200, format!("i-1 for {id}")));
    assert!(f.end().success() && began.elapsed() < ms(3000), "{:?}", began.elapsed());
}

/// What a client is told that writes all before it reads; 0: nothing.
fn whole_then_status(f: &Fleet, text: &str) -> u16 {
    let mut client = Client::to(f.front).expect("a connection");
    // what is refused is not read to its end
    let _ = client.write(text.as_bytes());
    client.answer().ok().flatten().map_or(0, |answer| answer.status())
}

/// The bodies that are held at once are bounded, those that come in chunks and tell no length as well: what finds no
/// room is told to come back, and nothing of it is kept.
#[test]
fn bodies_within_the_memory() {
    let s = srv("i-1", GOOD);
    // three of these ten megabytes are for bodies
    let f = Fleet::within(vec![row(&s, "a")], 10);
    let told = |bytes: usize| req("POST /pay/x", "key", "", &"x".repeat(bytes)).1;
    let chunked = |bytes: usize| {
        let text = told(bytes);
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        let head = head.replace(&format!("Content-Length: {bytes}"), "Transfer-Encoding: chunked");
        format!("{head}\r\n\r\n{bytes:x}\r\n{body}\r\n0\r\n\r\n")
    };
    let status = |text: String| whole_then_status(&f, &text);
    assert_eq!([status(told(1 << 20)), status(chunked(1 << 20))], [200, 200]);
    for large in [told(6 << 20), chunked(6 << 20)] {
        assert_eq!(status(large), 503);
    }
    assert_eq!(s.got().len(), 2, "the large ones went nowhere");
    (0..20).for_each(|_| assert_eq!(status(chunked(1 << 20)), 200, "all room is given back"));
}

/// Each part of a split gets its share of any three hundred requests in a row, not only of very many.
#[test]
fn a_split_keeps_its_shares() {
    let (a, b) = (srv("i-a", GOOD), srv("i-b", GOOD));
    let mut split = config();
    let action = &mut split["listeners"][0]["rules"][0]["action"];
    action["split"] = json!([{"service": "a", "weight": 70}, {"service": "b", "weight": 30}]);
    action.as_object_mut().expect("an action").remove("service");
    let f = Fleet::with(vec![row(&a, "a"), row(&b, "b")], &split, json!({}));
    let mut client = Client::to(f.front).expect("a connection");
    let went_to_a: Vec<bool> = (0..900)
        .map(|_| {
            let answer = client.ask(req("GET /read/x", "key", "", "").1.as_bytes());
            answer.expect("no break").expect("an answer").text().starts_with("i-a")
        })
        .collect();
    for window in went_to_a.windows(300) {
        let share = window.iter().filter(|a| **a).count() as f64 / 300.0;
        assert!((share - 0.7).abs() < 0.02, "{share}");
    }
}

/// A refusal reaches a client that writes its whole body before it reads.
#[test]
fn a_refusal_of_a_long_body_is_read() {
    let s = srv("i-1", GOOD);
    let f = Fleet::start(vec![row(&s, "a")]);
    for bytes in [3_000, 60_000, 1_000_000, 9_000_000] {
        let mut met = Vec::new();
        for _ in 0..20 {
            met.push(whole_then_status(&f, &req("POST /pay/x", "unknown", "", &"x".repeat(bytes)).1));
        }
        assert_eq!(met, [401; 20], "{bytes} bytes");
    }
}

/// The answers that are held for clients which don't read them are bounded in sum: what a process may hold is not the
/// number of its requests times the longest answer.
#[test]
fn answers_within_the_memory() {
    const LONG: &str = "long";
    let long = Door::open("127.0.0.1:0", |stream| {
        let mut from = BufReader::new(stream);
        while let Ok(Some(message)) = lupinledge_example::http::read(&mut from) {
            let id = message.header("lupinledge-attempt-id").unwrap_or_default();
            let head =
                format!("HTTP/1.1 200 OK\r\nLupinledge-Attempt-Id: {id}\r\nLupinledge-Server-Stamp: s\r\n");
            let body = if message.start.contains(LONG) { "z".repeat(4 << 20) } else { "short".into() };
            let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            if from.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
    let s = srv("i-1", GOOD);
    let near = ListedServer { address: long.expect("a server").addr, ..row(&s, "a") };
    // twelve of these forty megabytes are for answers
    let f = Fleet::within(vec![near], 40);
    assert_eq!(f.statuses(5, "GET /read/x", "key"), [200; 5]);
    let before = f.peak_kb();
    let held: Vec<Client> = (0..40)
        .map(|_| {
            let mut client = Client::to(f.front).expect("a connection");
            client.write(req(&format!("GET /read/{LONG}"), "key", "", "").1.as_bytes()).expect("written");
            client
        })
        .collect();
    until("all were decided on", || f.metric("taken").is_some_and(|taken| taken >= 45));
    // until no more of them comes in: what is held by then is all that ever is
    let mut peak = 0;
    until("it stays", || {
        std::thread::sleep(ms(400));
        let last = std::mem::replace(&mut peak, f.peak_kb());
        last == peak
    });
    assert!(peak - before < 30_000, "{} kB more", peak - before);
    drop(held);
    until("all is given back", || f.metric("requests.unanswered") == Some(0));
    until("it serves as before", || f.statuses(5, "GET /read/x", "key") == [200; 5]);
}
