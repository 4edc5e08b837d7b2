//! Runs the real program on loopback with a test core and test servers.

use crate::test_core::TestCore;
use crate::test_server::{TestServer, WELL_BEHAVED};
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

/// What has not happened after this time never will, however busy the machine is.
const LONG_WAIT: Duration = Duration::from_secs(60);

/// Waits until a condition holds; fails when it never does.
pub fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LONG_WAIT, "never: {condition}");
        sleep(Duration::from_millis(5));
    }
}

/// A loopback address that no other test uses, nor the same test in another process.
fn ip() -> Ipv4Addr {
    static NEXT_NUMBER: AtomicU32 = AtomicU32::new(1);
    let (pid, nth) = (std::process::id(), NEXT_NUMBER.fetch_add(1, Ordering::SeqCst));
    let [.., mid, low] = (1 + pid % 0xfffe).to_be_bytes();
    Ipv4Addr::new(127, mid, low, (nth % 255) as u8)
}

/// Programs are started one at a time: for a moment a new process has all open files of this one, including
/// the sockets by which free ports are searched.
static START_LOCK: Mutex<()> = Mutex::new(());

/// Three ports, each free at both addresses for TCP and UDP.
fn ports(at: [Ipv4Addr; 2]) -> [u16; 3] {
    let mut free = Vec::new();
    while free.len() < 3 {
        let port = TcpListener::bind((at[0], 0)).and_then(|l| l.local_addr()).expect("a port").port();
        let binds = |ip| TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok();
        free.extend(Some(port).filter(|p| !free.contains(p) && at.into_iter().all(binds)));
    }
    [free[0], free[1], free[2]]
}

/// The default configuration: two services, and a third that shows when a server list has been applied.
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

/// A document with this serial, a configuration and evacuated zones.
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

/// The list's row of a server that is ready and warm.
pub fn server_row(s: &TestServer, service: &str) -> ListedServer {
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

/// The attempt id and text of a request with this API key and a new attempt id; `more` holds complete header
/// lines.
pub fn new_request(line: &str, key: &str, more: &str, body: &str) -> (String, String) {
    static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
    let id = format!("at{:06}", NEXT_NUMBER.fetch_add(1, Ordering::SeqCst));
    let head = format!("{line} HTTP/1.1\r\nHost: a.example\r\nLupinledge-Attempt-Id: {id}\r\n");
    let rest = format!("Authorization: Token {key}\r\n{more}Content-Length: {}\r\n\r\n{body}", body.len());
    (id, head + &rest)
}

/// Starts the program with these settings and this log output.
fn spawn_program(path: &Path, settings: &Value, log: Stdio) -> Child {
    std::fs::write(path, settings.to_string()).expect("a settings file");
    let mut program = Command::new(env!("CARGO_BIN_EXE_lupinledge-forager"));
    program.env("LUPINLEDGE_NODE_FILE", path).stderr(log).spawn().expect("the program")
}

/// Starts the program with these settings and collects its log.
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

/// Another gateway of the same cluster, killed when dropped.
pub struct ExtraGateway {
    child: Child,
    path: PathBuf,
    /// Its address for clients.
    pub client_address: SocketAddr,
    ready: SocketAddr,
}

impl ExtraGateway {
    /// The status of its readiness check, if it answers.
    pub fn readiness(&self) -> Option<u16> {
        readiness(self.ready)
    }

    /// One request on a connection of its own.
    pub fn ask(&self, bytes: &str) -> Message {
        try_ask(self.client_address, bytes).expect("an answer")
    }
}

/// Sends one request on a new connection; `None` if no complete answer came.
fn try_ask(at: SocketAddr, bytes: &str) -> Option<Message> {
    Client::connect(at).ok()?.send_request(bytes.as_bytes()).ok()?
}

/// Reads a metric of a program.
fn metric(at: SocketAddr, name: &str) -> Option<u64> {
    let mut client = Client::connect(at).ok()?;
    let answer = client.send_request(b"GET /lupinledge/metrics HTTP/1.1\r\nHost: a\r\n\r\n").ok()??;
    answer.text().lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
}

impl Drop for ExtraGateway {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait(), std::fs::remove_file(&self.path));
    }
}

/// The status of a readiness check, if it is answered.
fn readiness(at: SocketAddr) -> Option<u16> {
    let mut c = Client::connect(at).ok()?;
    let answer = c.send_request(b"GET /lupinledge/readiness HTTP/1.1\r\nHost: a\r\n\r\n").ok()??;
    Some(answer.status())
}

/// The program with its test core, killed when dropped.
pub struct Cluster {
    child: Child,
    /// The core that it gets its state from.
    pub core: TestCore,
    /// The program's address.
    pub ip: Ipv4Addr,
    /// Its address for clients.
    pub client_address: SocketAddr,
    ready: SocketAddr,
    path: PathBuf,
    settings: Value,
    log: Arc<Mutex<String>>,
    marker_server: TestServer,
    lists: AtomicU64,
}

impl Cluster {
    /// Starts the program with these servers and the default configuration, and waits until it is ready.
    pub fn start(rows: Vec<ListedServer>) -> Cluster {
        Cluster::with_config(rows, &config(), json!({}))
    }

    /// Starts it with this many megabytes of memory.
    pub fn with_memory(rows: Vec<ListedServer>, memory_mb: u64) -> Cluster {
        Cluster::start_with(rows, &config(), json!({"limits": {"memory_mb": memory_mb}}))
    }

    /// Starts it with this configuration and these bounds.
    pub fn with_config(rows: Vec<ListedServer>, config: &Value, bounds: Value) -> Cluster {
        Cluster::start_with(rows, config, json!({"bounds": bounds}))
    }

    /// Starts it with these fields of the settings file in addition to the default ones.
    fn start_with(rows: Vec<ListedServer>, config: &Value, more: Value) -> Cluster {
        let (own_ip, core) = (ip(), ip());
        let start_guard = START_LOCK.lock().unwrap_or_else(|e| e.into_inner());
        let [peers, client_port, ready] = ports([own_ip, core]);
        let settings = |ip: Ipv4Addr| {
            let mut settings = json!({
                "ip": ip, "zone": "mead-1", "region": "mead",
                "zones": {"mead-1": "mead", "mead-2": "mead", "wold-1": "wold"},
                "listen": {"front": format!("{own_ip}:{client_port}"), "ready": format!("{own_ip}:{ready}")},
                "port_range": [peers, peers], "seeds": [format!("{core}:{peers}")],
            });
            let fields = settings.as_object_mut().zip(more.as_object());
            fields.into_iter().for_each(|(all, more)| all.extend(more.clone()));
            settings
        };
        let core_settings =
            Settings::parse(settings(core).to_string().as_bytes()).expect("the core's settings");
        let core = TestCore::start(core_settings);
        let path = std::env::temp_dir().join(format!("lupinledge-forager-{own_ip}.json"));
        let settings = settings(own_ip);
        let (child, log) = run(&path, &settings);
        drop(start_guard);
        let (client_address, ready) = ((own_ip, client_port).into(), (own_ip, ready).into());
        let (marker_server, lists) = (TestServer::start("mark", "mead-2", WELL_BEHAVED), AtomicU64::new(0));
        let cluster = Cluster {
            child,
            core,
            ip: own_ip,
            client_address,
            ready,
            path,
            settings,
            log,
            marker_server,
            lists,
        };
        cluster.apply_document(document(1, config, &[]));
        cluster.apply_list(rows);
        wait_until("the gateway is ready", || cluster.readiness() == Some(200));
        cluster
    }

    /// Publishes a document and waits until it is in force.
    pub fn apply_document(&self, document: Document) {
        let line = format!("event=follow serial={} ", document.serial);
        self.core.publish_document(document.serial, document);
        wait_until(&line, || self.log.lock().unwrap().contains(&line));
    }

    /// The program's peak memory in kilobytes.
    pub fn peak_kb(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("its status");
        let peak =
            status.lines().find_map(|l| l.strip_prefix("VmHWM:")?.trim().split(' ').next()?.parse().ok());
        peak.expect("its peak")
    }

    /// From now on the core is the only one of this many voters on operation keys that answers.
    pub fn answer_alone_among(&self, voters: u32) {
        let members: Vec<u32> = (0..voters).map(|nth| self.core.me + nth).collect();
        self.core.set_voters(&members);
    }

    /// Starts more voters on operation keys, so that including the core `running` of `all` voters answer.
    pub fn start_voters(&self, running: usize, all: usize) -> Vec<TestCore> {
        let _start_guard = START_LOCK.lock();
        let voter = |_| {
            let mut settings = self.settings.clone();
            settings["ip"] = json!(ip());
            let voter_settings =
                Settings::parse(settings.to_string().as_bytes()).expect("the voter's settings");
            TestCore::start_voter(voter_settings)
        };
        let more: Vec<TestCore> = (1..running).map(voter).collect();
        let mut members: Vec<u32> = more.iter().map(|voter| voter.me).collect();
        members.extend((0..=all - running).map(|nth| self.core.me + nth as u32));
        more.iter().chain([&self.core]).for_each(|voter| voter.set_voters(&members));
        more
    }

    /// Reads a metric of the program.
    pub fn metric(&self, name: &str) -> Option<u64> {
        metric(self.ready, name)
    }

    /// Changes the bounds in the settings file, sends SIGHUP, and waits until the log contains this text.
    pub fn change_bounds(&self, bounds: Value, expected_log: &str) {
        let (mut settings, file) = (self.settings.clone(), self.path.with_extension("new"));
        settings["bounds"] = bounds;
        std::fs::write(&file, settings.to_string()).expect("a settings file");
        std::fs::rename(&file, &self.path).expect("its place");
        self.signal("HUP");
        wait_until(expected_log, || self.log.lock().unwrap().contains(expected_log));
    }

    /// Publishes a server list and waits until it is in force, which a marker server with the list's number
    /// shows.
    pub fn apply_list(&self, mut rows: Vec<ListedServer>) {
        let number = self.lists.fetch_add(1, Ordering::SeqCst) + 1;
        let marker_server = format!("mark-{number}");
        rows.push(ListedServer { id: marker_server.clone(), ..server_row(&self.marker_server, "mark") });
        self.core.publish_list(number, rows);
        let new_request = || new_request("GET /", "key", "", "").1.replace("a.example", "mark.example");
        wait_until(&marker_server, || {
            self.try_ask(&new_request()).is_some_and(|m| m.text().starts_with(&marker_server))
        });
    }

    /// The status of its readiness check, if it answers.
    pub fn readiness(&self) -> Option<u16> {
        readiness(self.ready)
    }

    /// Starts another gateway and waits until it is ready.
    pub fn start_gateway(&self) -> ExtraGateway {
        self.start_gateway_logging_to(Stdio::null())
    }

    /// Starts another gateway with this log output and waits until it is ready.
    pub fn start_gateway_logging_to(&self, log: Stdio) -> ExtraGateway {
        let (own_ip, mut settings) = (ip(), self.settings.clone());
        let at = |port: u16| SocketAddr::from((own_ip, port));
        let (client_address, ready) = (at(self.client_address.port()), at(self.ready.port()));
        settings["ip"] = json!(own_ip);
        settings["listen"] = json!({"front": client_address, "ready": ready});
        let path = std::env::temp_dir().join(format!("lupinledge-forager-{own_ip}.json"));
        let start_guard = START_LOCK.lock();
        let child = spawn_program(&path, &settings, log);
        drop(start_guard);
        let gateway = ExtraGateway { child, path, client_address, ready };
        wait_until("the other gateway is ready", || gateway.readiness() == Some(200));
        gateway
    }

    /// Kills the program, restarts it at the same address, and waits until it is ready.
    pub fn restart(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
        let start_guard = START_LOCK.lock();
        (self.child, self.log) = run(&self.path, &self.settings);
        drop(start_guard);
        wait_until("the gateway is ready again", || self.readiness() == Some(200));
    }

    /// Changes the program's tables in its memory, as a fault would.
    pub fn drift(&self, drift_kind: &str) {
        std::fs::write(self.path.with_extension("drift"), drift_kind).expect("a file");
        self.signal("USR1");
    }

    /// What the program has logged so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    fn try_ask(&self, bytes: &str) -> Option<Message> {
        try_ask(self.client_address, bytes)
    }

    /// One request on a connection of its own.
    pub fn ask(&self, bytes: &str) -> Message {
        self.try_ask(bytes).expect("an answer")
    }

    /// The statuses of this many requests, sent one after the other.
    pub fn statuses(&self, times: usize, line: &str, key: &str) -> Vec<u16> {
        (0..times).map(|_| self.ask(&new_request(line, key, "", "").1).status()).collect()
    }

    /// Sends the program a signal.
    pub fn signal(&self, name: &str) {
        let _start_guard = START_LOCK.lock();
        let kill = Command::new("sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
        assert!(kill.expect("a shell").success());
    }

    /// Waits until the program exits and returns its status.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the program exits", || {
            status = self.child.try_wait().expect("its status");
            status.is_some()
        });
        status.expect("its status")
    }
}

impl Drop for Cluster {
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
