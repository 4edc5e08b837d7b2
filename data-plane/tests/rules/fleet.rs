//! The real program on loopback, among stand-ins.

use crate::hive::Hive;
use crate::srv::{Srv, GOOD};
use lupinledge_config::{Document, Settings};
use lupinledge_example::http::{Client, Message};
use lupinledge_messaging::list::ListedServer;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// What has not come by then never does, however busy the machine is.
const LONG: Duration = Duration::from_secs(60);

/// Waits until something holds; fails when it never does.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LONG, "never: {what}");
        sleep(Duration::from_millis(5));
    }
}

/// An address that no other test has, nor the same test run beside this one.
fn ip() -> Ipv4Addr {
    static GIVEN: AtomicU32 = AtomicU32::new(1);
    let (pid, nth) = (std::process::id(), GIVEN.fetch_add(1, Ordering::SeqCst));
    let [.., mid, low] = (1 + pid % 0xfffe).to_be_bytes();
    Ipv4Addr::new(127, mid, low, (nth % 255) as u8)
}

/// A program being started has open for a moment what this one has open, the sockets by which ports are looked for
/// too: one at a time.
static STARTING: Mutex<()> = Mutex::new(());

/// Three ports, each free at both of these for both kinds of sockets.
fn ports(at: [Ipv4Addr; 2]) -> [u16; 3] {
    let mut free = Vec::new();
    while free.len() < 3 {
        let port = TcpListener::bind((at[0], 0)).and_then(|l| l.local_addr()).expect("a port").port();
        let binds = |ip| TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok();
        free.extend(Some(port).filter(|p| !free.contains(p) && at.into_iter().all(binds)));
    }
    [free[0], free[1], free[2]]
}

/// Two services and a third by which it is seen that a list has come.
pub fn config() -> Value {
    let rule = |prefix: &str, kind: &str, service: &str| {
        let public = matches!(prefix, "/open/" | "/");
        json!({"name": prefix, "route_kind": kind, "target_s": 1, "priority": 0, "public": public,
               "match": {"path_prefix": prefix},
               "action": {"service": service, "timeout_s": 5, "max_attempts": 2, "home_regions": []}})
    };
    let cluster = |n: &str| json!({"name": n, "max_conns": 100, "warmup_s": 20, "warmup_per_s": 1});
    let tenant = |name: &str, key: &str, rate: u64, homes: &[&str]| json!({"name": name, "api_keys": [key], "rate_per_s": rate, "burst": rate, "home_regions": homes});
    json!({
        "version": "r1", "base_version": 0,
        "tenants": [tenant("own", "key", 0, &[]), tenant("small", "small-key", 2, &[]),
                    tenant("homed", "wold-key", 0, &["wold"])],
        "listeners": [{"host": "a.example", "rules": [
            rule("/read/", "idempotent", "a"), rule("/pay/", "non_idempotent", "a"),
            rule("/open/", "idempotent", "a"), rule("/other/", "idempotent", "b")]},
            {"host": "mark.example", "rules": [rule("/", "idempotent", "mark")]}],
        "clusters": [cluster("a"), cluster("b"), cluster("mark")],
    })
}

/// A document of this serial with a configuration and evacuated zones.
pub fn document(serial: u64, config: &Value, evacuated: &[&str]) -> Document {
    let evacuated = evacuated.iter().map(|z| z.to_string()).collect();
    Document {
        config: Some(config.to_string().into_bytes()),
        version: serial,
        evacuated_zones: evacuated,
        serial,
        ..Document::default()
    }
}

/// A server in the list, ready and warm.
pub fn row(s: &Srv, service: &str) -> ListedServer {
    let (id, zone) = (s.id.clone(), s.zone.to_string());
    ListedServer {
        id,
        service: service.into(),
        address: s.addr,
        zone,
        slots: 8,
        draining: false,
        warmup_left_s: 0.0,
    }
}

/// A request of the key's tenant under an id of its own; `more` are whole header lines.
pub fn req(line: &str, key: &str, more: &str, body: &str) -> (String, String) {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let id = format!("at{:06}", GIVEN.fetch_add(1, Ordering::SeqCst));
    let head = format!("{line} HTTP/1.1\r\nHost: a.example\r\nLupinledge-Attempt-Id: {id}\r\n");
    let rest = format!("Authorization: Token {key}\r\n{more}Content-Length: {}\r\n\r\n{body}", body.len());
    (id, head + &rest)
}

/// The program by these settings, with its log written there.
fn spawn_program(path: &Path, settings: &Value, log: Stdio) -> Child {
    std::fs::write(path, settings.to_string()).expect("a settings file");
    let mut program = Command::new(env!("CARGO_BIN_EXE_lupinledge-forager"));
    program.env("LUPINLEDGE_NODE_FILE", path).stderr(log).spawn().expect("the program")
}

/// The program by these settings, and what it logs.
fn run(path: &Path, settings: &Value) -> (Child, Arc<Mutex<String>>) {
    let mut child = spawn_program(path, settings, Stdio::piped());
    let log: Arc<Mutex<String>> = Arc::default();
    let (to, from) = (log.clone(), child.stderr.take().expect("its log"));
    spawn(move || {
        let lines = BufReader::new(from).lines().map_while(Result::ok);
        lines.for_each(|l| *to.lock().unwrap() += &(l + "\n"));
    });
    (child, log)
}

/// Another node of the same hive. Killed when dropped.
pub struct Beside {
    child: Child,
    path: PathBuf,
    pub front: SocketAddr,
    ready: SocketAddr,
}

impl Beside {
    pub fn readiness(&self) -> Option<u16> {
        readiness(self.ready)
    }

    /// One request on a connection of its own.
    pub fn ask(&self, bytes: &str) -> Message {
        try_ask(self.front, bytes).expect("an answer")
    }
}

fn try_ask(at: SocketAddr, bytes: &str) -> Option<Message> {
    Client::to(at).ok()?.ask(bytes.as_bytes()).ok()?
}

/// A figure that a program tells of itself.
fn metric(at: SocketAddr, name: &str) -> Option<u64> {
    let mut client = Client::to(at).ok()?;
    let answer = client.ask(b"GET /lupinledge/metrics HTTP/1.1\r\nHost: a\r\n\r\n").ok()??;
    answer.text().lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
}

impl Drop for Beside {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait(), std::fs::remove_file(&self.path));
    }
}

fn readiness(at: SocketAddr) -> Option<u16> {
    let mut c = Client::to(at).ok()?;
    let answer = c.ask(b"GET /lupinledge/readiness HTTP/1.1\r\nHost: a\r\n\r\n").ok()??;
    Some(answer.status())
}

/// The program with its hive. Killed when dropped.
pub struct Fleet {
    child: Child,
    pub hive: Hive,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    ready: SocketAddr,
    path: PathBuf,
    settings: Value,
    log: Arc<Mutex<String>>,
    mark: Srv,
    lists: AtomicU64,
}

impl Fleet {
    /// Ready with these rows and the plain configuration.
    pub fn start(rows: Vec<ListedServer>) -> Fleet {
        Fleet::with(rows, &config(), json!({}))
    }

    /// With so many megabytes of memory.
    pub fn within(rows: Vec<ListedServer>, memory_mb: u64) -> Fleet {
        Fleet::set_up(rows, &config(), json!({"limits": {"memory_mb": memory_mb}}))
    }

    pub fn with(rows: Vec<ListedServer>, config: &Value, bounds: Value) -> Fleet {
        Fleet::set_up(rows, config, json!({"bounds": bounds}))
    }

    /// With these fields of the settings file beside the plain ones.
    fn set_up(rows: Vec<ListedServer>, config: &Value, more: Value) -> Fleet {
        let (own, hive) = (ip(), ip());
        let alone = STARTING.lock().unwrap_or_else(|e| e.into_inner());
        let [peers, front, ready] = ports([own, hive]);
        let settings = |ip: Ipv4Addr| {
            let mut settings = json!({
                "ip": ip, "zone": "mead-1", "region": "mead",
                "zones": {"mead-1": "mead", "mead-2": "mead", "wold-1": "wold"},
                "listen": {"front": format!("{own}:{front}"), "ready": format!("{own}:{ready}")},
                "port_range": [peers, peers], "seeds": [format!("{hive}:{peers}")],
            });
            let fields = settings.as_object_mut().zip(more.as_object());
            fields.into_iter().for_each(|(all, more)| all.extend(more.clone()));
            settings
        };
        let told = Settings::parse(settings(hive).to_string().as_bytes()).expect("the hive's settings");
        let hive = Hive::start(told);
        let path = std::env::temp_dir().join(format!("lupinledge-forager-{own}.json"));
        let settings = settings(own);
        let (child, log) = run(&path, &settings);
        drop(alone);
        let (front, ready) = ((own, front).into(), (own, ready).into());
        let (mark, lists) = (Srv::start("mark", "mead-2", GOOD), AtomicU64::new(0));
        let fleet = Fleet { child, hive, ip: own, front, ready, path, settings, log, mark, lists };
        fleet.follow(document(1, config, &[]));
        fleet.list(rows);
        until("it says that it is ready", || fleet.readiness() == Some(200));
        fleet
    }

    /// Tells a document, and waits until it is in force.
    pub fn follow(&self, document: Document) {
        let line = format!("event=follow serial={} ", document.serial);
        self.hive.document(document.serial, document);
        until(&line, || self.log.lock().unwrap().contains(&line));
    }

    /// The most memory that the program ever had, in kilobytes.
    pub fn peak_kb(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("its status");
        let peak =
            status.lines().find_map(|l| l.strip_prefix("VmHWM:")?.trim().split(' ').next()?.parse().ok());
        peak.expect("its peak")
    }

    /// The hive is the only one there among so many voters of operation keys from now on.
    pub fn alone_among(&self, voters: u32) {
        let members: Vec<u32> = (0..voters).map(|nth| self.hive.me + nth).collect();
        self.hive.votes_among(&members);
    }

    /// More voters of operation keys, so that with the hive `there` of `all` are there.
    pub fn voters(&self, there: usize, all: usize) -> Vec<Hive> {
        let _alone = STARTING.lock();
        let voter = |_| {
            let mut settings = self.settings.clone();
            settings["ip"] = json!(ip());
            let told = Settings::parse(settings.to_string().as_bytes()).expect("the voter's settings");
            Hive::voter(told)
        };
        let more: Vec<Hive> = (1..there).map(voter).collect();
        let mut members: Vec<u32> = more.iter().map(|voter| voter.me).collect();
        members.extend((0..=all - there).map(|nth| self.hive.me + nth as u32));
        more.iter().chain([&self.hive]).for_each(|voter| voter.votes_among(&members));
        more
    }

    /// The figure of this name that the program tells of itself.
    pub fn metric(&self, name: &str) -> Option<u64> {
        metric(self.ready, name)
    }

    /// Other bounds in the settings file and SIGHUP; waits until the log says this of it.
    pub fn bounds(&self, bounds: Value, says: &str) {
        let (mut settings, file) = (self.settings.clone(), self.path.with_extension("new"));
        settings["bounds"] = bounds;
        std::fs::write(&file, settings.to_string()).expect("a settings file");
        std::fs::rename(&file, &self.path).expect("its place");
        self.signal("HUP");
        until(says, || self.log.lock().unwrap().contains(says));
    }

    /// Tells a list, and waits until it is in force: a server of its own kind is known by its number.
    pub fn list(&self, mut rows: Vec<ListedServer>) {
        let number = self.lists.fetch_add(1, Ordering::SeqCst) + 1;
        let mark = format!("mark-{number}");
        rows.push(ListedServer { id: mark.clone(), ..row(&self.mark, "mark") });
        self.hive.rows(number, rows);
        let req = || req("GET /", "key", "", "").1.replace("a.example", "mark.example");
        until(&mark, || self.try_ask(&req()).is_some_and(|m| m.text().starts_with(&mark)));
    }

    pub fn readiness(&self) -> Option<u16> {
        readiness(self.ready)
    }

    /// One more node, ready when this returns.
    pub fn beside(&self) -> Beside {
        self.beside_logging_to(Stdio::null())
    }

    /// One more node whose log is written there, ready when this returns.
    pub fn beside_logging_to(&self, log: Stdio) -> Beside {
        let (own, mut settings) = (ip(), self.settings.clone());
        let at = |port: u16| SocketAddr::from((own, port));
        let (front, ready) = (at(self.front.port()), at(self.ready.port()));
        settings["ip"] = json!(own);
        settings["listen"] = json!({"front": front, "ready": ready});
        let path = std::env::temp_dir().join(format!("lupinledge-forager-{own}.json"));
        let alone = STARTING.lock();
        let child = spawn_program(&path, &settings, log);
        drop(alone);
        let beside = Beside { child, path, front, ready };
        until("the node beside is ready", || beside.readiness() == Some(200));
        beside
    }

    /// Killed, and started anew at the same address; ready when this returns.
    pub fn restart(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
        let alone = STARTING.lock();
        (self.child, self.log) = run(&self.path, &self.settings);
        drop(alone);
        until("it is ready again", || self.readiness() == Some(200));
    }

    /// Changes the program's tables in its memory, as a fault would.
    pub fn drift(&self, how: &str) {
        std::fs::write(self.path.with_extension("drift"), how).expect("a file");
        self.signal("USR1");
    }

    /// What it logged so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    fn try_ask(&self, bytes: &str) -> Option<Message> {
        try_ask(self.front, bytes)
    }

    /// One request on a connection of its own.
    pub fn ask(&self, bytes: &str) -> Message {
        self.try_ask(bytes).expect("an answer")
    }

    /// The statuses of so many requests one after the other.
    pub fn statuses(&self, times: usize, line: &str, key: &str) -> Vec<u16> {
        (0..times).map(|_| self.ask(&req(line, key, "", "").1).status()).collect()
    }

    pub fn signal(&self, name: &str) {
        let _alone = STARTING.lock();
        let kill = Command::new("sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
        assert!(kill.expect("a shell").success());
    }

    /// How it ended.
    pub fn end(&mut self) -> ExitStatus {
        let mut status = None;
        until("it ends", || {
            status = self.child.try_wait().expect("its status");
            status.is_some()
        });
        status.expect("its status")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait(), std::fs::remove_file(&self.path));
        let _ = std::fs::remove_file(self.path.with_extension("drift"));
        let log = self.log.lock().map(|log| log.clone()).unwrap_or_default();
        if std::thread::panicking() {
            eprintln!("{log}");
        } else {
            assert!(!log.contains("event=invariant_violated"), "{log}");
        }
    }
}
