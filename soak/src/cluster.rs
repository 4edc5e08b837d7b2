//! The processes under test: each has its own loopback address; settings, disks and logs are in one folder.

use crate::configuration::{settings_bounds, ZONES};
use crate::record::{Process, Record};
use eyre::{bail, eyre, WrapErr};
use lupinledge_example::http::{Client, Message};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How many processes of each kind a run has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterSize {
    /// Number of core members.
    pub cores: usize,
    /// Number of edge processes.
    pub edges: usize,
}

impl Default for ClusterSize {
    fn default() -> ClusterSize {
        ClusterSize { cores: 3, edges: 3 }
    }
}

impl ClusterSize {
    /// All processes of a run, core members first.
    pub fn processes(self) -> impl Iterator<Item = Process> {
        self.core().chain((0..self.edges).map(Process::Edge))
    }

    /// The core members.
    pub fn core(self) -> impl Iterator<Item = Process> {
        (0..self.cores).map(Process::Core)
    }

    /// How many core members may lose their disks at once.
    pub fn max_lost_disks(self) -> usize {
        (self.cores - 1) / 2
    }

    /// Checks that there are addresses for all processes, and that the core can lose a member.
    pub fn check(self) -> eyre::Result<()> {
        eyre::ensure!((3..=9).contains(&self.cores), "--cores: {} is not within 3 to 9", self.cores);
        let max_edges = usize::from(FIRST_SUCCESSOR_OCTET) - 1 - self.cores;
        eyre::ensure!(
            (1..=max_edges).contains(&self.edges),
            "--edges: {} is not within 1 to {max_edges}",
            self.edges
        );
        Ok(())
    }
}

/// The last octet of the first address for machines that replace core members.
const FIRST_SUCCESSOR_OCTET: u8 = 200;
/// The file with the process ids of all processes started.
const PROCESS_IDS_FILE: &str = "started";

/// How long a process may take to exit after SIGTERM before it is killed. A process that takes longer than
/// [`bounds::GRACE`](crate::configuration::bounds::GRACE) already violates a checked bound.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(12);

/// Paths of the programs under test.
#[derive(Clone, Debug)]
pub struct Programs {
    pub core: PathBuf,
    pub edge: PathBuf,
}

impl Programs {
    /// The programs in a folder.
    pub fn within(folder: &Path) -> Programs {
        Programs { core: folder.join("lupinledge-hive"), edge: folder.join("lupinledge-forager") }
    }
}

/// A signal that can be sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Kill,
    Stop,
    Continue,
    Terminate,
    Hangup,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Signal::Kill => "KILL",
            Signal::Stop => "STOP",
            Signal::Continue => "CONT",
            Signal::Terminate => "TERM",
            Signal::Hangup => "HUP",
        }
    }
}

/// A process with its address.
struct Node {
    process: Process,
    ip: Ipv4Addr,
    child: Option<Child>,
    /// Whether its exit is expected, as it was killed or asked to terminate.
    exit_expected: bool,
}

/// The processes under test and the files of a run.
pub struct Cluster {
    record: Arc<Record>,
    programs: Programs,
    folder: PathBuf,
    platform: SocketAddr,
    size: ClusterSize,
    ports: Ports,
    nodes: Vec<Mutex<Node>>,
    /// Kills the processes if this process is killed.
    watchdog: Child,
    /// How many successors of core members have been started.
    successors: AtomicU8,
}

/// A machine that is to replace a core member.
pub struct Successor {
    core: usize,
    ip: Ipv4Addr,
    child: Child,
}

#[derive(Clone, Copy)]
/// The ports of all processes; they differ only in their addresses.
struct Ports {
    peers: u16,
    control: u16,
    front: u16,
    ready: u16,
}

/// The second and third octet of loopback addresses, meant to differ from those of other runs on this machine.
fn unique_network() -> [u8; 2] {
    static NEXT_NETWORK: AtomicU32 = AtomicU32::new(0);
    let nth = NEXT_NETWORK.fetch_add(1, Ordering::SeqCst);
    let id = std::process::id().wrapping_mul(64).wrapping_add(nth);
    [64 + (id >> 8) as u8 % 128, id as u8]
}

/// Starts a shell that waits for the end of this process and then kills the processes listed in [`PROCESS_IDS_FILE`].
fn spawn_watchdog(folder: &Path) -> eyre::Result<Child> {
    let started = folder.join(PROCESS_IDS_FILE);
    File::create(&started)?;
    let script = "while kill -0 $1; do sleep 1; done; xargs kill -KILL < \"$2\"";
    let mut command = Command::new("sh");
    command.args(["-c", script, "sh", &std::process::id().to_string()]).arg(started);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    command.spawn().wrap_err("the watchdog's shell could not be started")
}

/// Finds ports that are free at all addresses, for TCP and UDP.
fn free_ports(ips: &[Ipv4Addr]) -> eyre::Result<Ports> {
    let mut free = Vec::new();
    for _ in 0..200 {
        let port = TcpListener::bind((ips[0], 0))?.local_addr()?.port();
        let is_free =
            |ip: &Ipv4Addr| TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok();
        if !free.contains(&port) && ips.iter().all(is_free) {
            free.push(port);
        }
        if let [peers, control, front, ready] = free[..] {
            return Ok(Ports { peers, control, front, ready });
        }
    }
    bail!("no four ports are free at all addresses")
}

impl Cluster {
    /// Creates the folder and chooses addresses; starts no process yet.
    pub fn new(
        record: Arc<Record>,
        programs: Programs,
        folder: PathBuf,
        platform: SocketAddr,
        size: ClusterSize,
    ) -> eyre::Result<Arc<Cluster>> {
        // removes the files of an earlier run with the same seed
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).wrap_err_with(|| folder.display().to_string())?;
        let [second, third] = unique_network();
        let nodes: Vec<Mutex<Node>> = (1..)
            .zip(size.processes())
            .map(|(last, process)| {
                let ip = Ipv4Addr::new(127, second, third, last);
                Mutex::new(Node { process, ip, child: None, exit_expected: false })
            })
            .collect();
        let ips: Vec<Ipv4Addr> = nodes.iter().map(|n| lock(n).ip).collect();
        let ports = free_ports(&ips)?;
        let watchdog = spawn_watchdog(&folder)?;
        Ok(Arc::new(Cluster {
            record,
            programs,
            folder,
            platform,
            size,
            ports,
            nodes,
            watchdog,
            successors: AtomicU8::new(0),
        }))
    }

    fn node(&self, process: Process) -> MutexGuard<'_, Node> {
        lock(
            &self.nodes[match process {
                Process::Core(i) => i,
                Process::Edge(i) => self.size.cores + i,
            }],
        )
    }

    /// The number of processes of each kind.
    pub fn size(&self) -> ClusterSize {
        self.size
    }

    /// The address of a process.
    pub fn ip(&self, process: Process) -> Ipv4Addr {
        self.node(process).ip
    }

    /// The address at which a core member serves the operator and the clients' lookups in the directory.
    pub fn control_address(&self, core: usize) -> SocketAddr {
        (self.ip(Process::Core(core)), self.ports.control).into()
    }

    /// The address at which an edge process serves clients.
    pub fn front_address(&self, edge: usize) -> SocketAddr {
        (self.ip(Process::Edge(edge)), self.ports.front).into()
    }

    /// The edge process at an address.
    pub fn edge_at(&self, front: SocketAddr) -> Option<usize> {
        (0..self.size.edges).find(|edge| self.front_address(*edge) == front)
    }

    fn node_name(process: Process) -> String {
        match process {
            Process::Core(i) => format!("core-{i}"),
            Process::Edge(i) => format!("edge-{i}"),
        }
    }

    /// The log of a process, across all its restarts.
    pub fn log_path(&self, process: Process) -> PathBuf {
        self.folder.join(format!("{}.log", Self::node_name(process)))
    }

    /// The folder that serves as disk of the machine at an address.
    fn data_path(&self, ip: Ipv4Addr) -> PathBuf {
        self.folder.join(format!("{ip}.data"))
    }

    fn settings_path(&self, ip: Ipv4Addr) -> PathBuf {
        self.folder.join(format!("{ip}.json"))
    }

    /// The file with the pairs of addresses that the programs treat as cut off from each other.
    pub fn cuts_path(&self) -> PathBuf {
        self.folder.join("cuts")
    }

    /// The control addresses of the current core members.
    fn seeds(&self) -> Vec<SocketAddr> {
        (0..self.size.cores).map(|core| self.control_address(core)).collect()
    }

    /// The settings of the process at an address.
    fn settings(&self, process: Process, ip: Ipv4Addr, seeds: &[SocketAddr], bootstrap: bool) -> Value {
        let place = match process {
            Process::Core(i) | Process::Edge(i) => ZONES[i % ZONES.len()],
        };
        let at = |port: u16| SocketAddr::from((ip, port));
        let listen = match process {
            Process::Core(_) => {
                json!({"control": at(self.ports.control), "directory": at(self.ports.control)})
            }
            Process::Edge(_) => json!({"front": at(self.ports.front), "ready": at(self.ports.ready)}),
        };
        let mut settings = json!({
            "node_name": Self::node_name(process), "ip": ip, "zone": place.0, "region": place.1,
            "zones": ZONES.into_iter().collect::<BTreeMap<_, _>>(),
            "listen": listen, "port_range": [self.ports.peers, self.ports.peers], "seeds": seeds,
            "bootstrap": bootstrap, "counted": matches!(process, Process::Core(_)),
            "tolerate": {"machines": self.size.max_lost_disks(), "zones": 1, "regions": 1}, "bounds": settings_bounds(),
            "cloud_api": {"address": self.platform, "rate_per_s": 39.0},
        });
        if matches!(process, Process::Core(_)) {
            settings["data_dir"] = json!(self.data_path(ip));
        }
        settings
    }

    /// Replaces the settings file, with the complete text or one that is cut short.
    pub fn write_settings(&self, process: Process, complete: bool) -> eyre::Result<()> {
        let (ip, seeds) = (self.ip(process), self.seeds());
        let text = self.settings(process, ip, &seeds, false).to_string();
        let text = if complete { &text[..] } else { &text[..text.len() / 2] };
        let (path, new_path) = (self.settings_path(ip), self.settings_path(ip).with_extension("new"));
        fs::write(&new_path, text)?;
        fs::rename(new_path, path)?;
        Ok(())
    }

    /// Starts a process that is not running.
    pub fn start(&self, process: Process, bootstrap: bool) -> eyre::Result<()> {
        let ip = self.ip(process);
        let child = self.spawn(process, ip, bootstrap)?;
        let mut node = self.node(process);
        (node.child, node.exit_expected) = (Some(child), false);
        Ok(())
    }

    /// Writes the settings and starts a program with them.
    fn spawn(&self, process: Process, ip: Ipv4Addr, bootstrap: bool) -> eyre::Result<Child> {
        let path = self.settings_path(ip);
        let seeds = self.seeds();
        fs::write(&path, self.settings(process, ip, &seeds, bootstrap).to_string())?;
        let program = match process {
            Process::Core(_) => &self.programs.core,
            Process::Edge(_) => &self.programs.edge,
        };
        if matches!(process, Process::Core(_)) {
            fs::create_dir_all(self.data_path(ip))?;
        }
        let log: File = OpenOptions::new().create(true).append(true).open(self.log_path(process))?;
        let mut command = Command::new(program);
        command.env("LUPINLEDGE_NODE_FILE", &path).env("LUPINLEDGE_CUTS_FILE", self.cuts_path());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().wrap_err_with(|| program.display().to_string())?;
        let mut started = OpenOptions::new().append(true).open(self.folder.join(PROCESS_IDS_FILE))?;
        writeln!(started, "{}", child.id())?;
        Ok(child)
    }

    /// Starts an empty machine at a new address that is to replace a core member. The old process keeps its place until
    /// [`Cluster::promote_successor`].
    pub fn start_successor(&self, core: usize) -> eyre::Result<Successor> {
        let [a, b, c, _] = self.ip(Process::Core(core)).octets();
        let ip =
            Ipv4Addr::new(a, b, c, FIRST_SUCCESSOR_OCTET + self.successors.fetch_add(1, Ordering::SeqCst));
        let child = self.spawn(Process::Core(core), ip, false)?;
        Ok(Successor { core, ip, child })
    }

    /// Whether a successor reports that it is a core member.
    pub fn is_core_member(&self, successor: &Successor) -> bool {
        let metrics = self.metrics_at((successor.ip, self.ports.control).into());
        metrics.is_some_and(|metrics| metrics.get("core.member") == Some(&1))
    }

    /// Makes the successor the core member's process; the old one must have ended.
    pub fn promote_successor(&self, successor: Successor) {
        let mut node = self.node(Process::Core(successor.core));
        (node.ip, node.child, node.exit_expected) = (successor.ip, Some(successor.child), false);
    }

    /// Sends a signal to a process if it is running.
    pub fn signal(&self, process: Process, signal: Signal) {
        let mut node = self.node(process);
        node.exit_expected |= matches!(signal, Signal::Kill | Signal::Terminate);
        let Some(child) = &node.child else { return };
        let _ = Command::new("kill").args(["-s", signal.name(), &child.id().to_string()]).status();
    }

    /// Kills a process and waits for its end.
    pub fn kill(&self, process: Process) {
        let mut node = self.node(process);
        node.exit_expected = true;
        if let Some(mut child) = node.child.take() {
            let _ = (child.kill(), child.wait());
        }
    }

    /// Sends SIGTERM and waits for the exit; returns how long it took and whether the process exited with success by
    /// itself.
    pub fn terminate(&self, process: Process) -> Option<(Duration, bool)> {
        self.signal(process, Signal::Terminate);
        let began = Instant::now();
        // the child stays in the node, so that a trouble that has frozen it meanwhile can let it continue
        while began.elapsed() < TERMINATION_TIMEOUT {
            let mut node = self.node(process);
            if let Ok(Some(status)) = node.child.as_mut()?.try_wait() {
                node.child = None;
                return Some((began.elapsed(), status.success()));
            }
            drop(node);
            sleep(Duration::from_millis(10));
        }
        self.kill(process);
        Some((began.elapsed(), false))
    }

    /// Removes the disk of a process that is not running.
    pub fn remove_data(&self, process: Process) -> eyre::Result<()> {
        fs::remove_dir_all(self.data_path(self.ip(process))).wrap_err("wipe")
    }

    /// Records a violation for each process that exited unexpectedly.
    pub fn check_unexpected_exits(&self) {
        for node in &self.nodes {
            let mut node = lock(node);
            if node.exit_expected {
                continue;
            }
            let ended = node.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = ended {
                node.exit_expected = true;
                self.record.violation(format!("own end: {:?} ended by itself: {status}", node.process));
            }
        }
    }

    /// Sends a GET request to an address of a process.
    fn get(&self, at: SocketAddr, path: &str) -> Option<Message> {
        let mut client = Client::connect_with_timeout(at, Duration::from_millis(800)).ok()?;
        client.send_request(format!("GET {path} HTTP/1.1\r\nHost: {at}\r\n\r\n").as_bytes()).ok()?
    }

    /// One metric of a process.
    pub fn metric(&self, process: Process, name: &str) -> Option<u64> {
        self.metrics(process)?.get(name).copied()
    }

    /// All metrics of a process.
    pub fn metrics(&self, process: Process) -> Option<BTreeMap<String, u64>> {
        let ip = self.ip(process);
        let port = match process {
            Process::Core(_) => self.ports.control,
            Process::Edge(_) => self.ports.ready,
        };
        self.metrics_at((ip, port).into())
    }

    fn metrics_at(&self, at: SocketAddr) -> Option<BTreeMap<String, u64>> {
        let text = self.get(at, "/lupinledge/metrics")?.text();
        let parse_metric = |line: &str| {
            let (name, value) = line.split_once(' ')?;
            Some((name.to_string(), value.parse().ok()?))
        };
        Some(text.lines().filter_map(parse_metric).collect())
    }

    /// Whether an edge process reports that it is ready.
    pub fn ready(&self, edge: usize) -> bool {
        let at = (self.ip(Process::Edge(edge)), self.ports.ready).into();
        self.get(at, "/lupinledge/readiness").is_some_and(|answer| answer.status() == 200)
    }

    /// Makes the programs treat exactly these pairs of processes as cut off from each other.
    pub fn write_cuts(&self, pairs: &[(Process, Process)]) -> eyre::Result<()> {
        let line = |(a, b): &(Process, Process)| format!("{} {}\n", self.ip(*a), self.ip(*b));
        let new_path = self.cuts_path().with_extension("new");
        fs::write(&new_path, pairs.iter().map(line).collect::<String>())?;
        fs::rename(&new_path, self.cuts_path())?;
        Ok(())
    }

    /// Resident memory in megabytes and number of open descriptors of a running process.
    pub fn resources(&self, process: Process) -> eyre::Result<(u64, usize)> {
        let id = self
            .node(process)
            .child
            .as_ref()
            .map(Child::id)
            .ok_or_else(|| eyre!("the process is not running"))?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let resident =
            status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.trim().split(' ').next()?.parse().ok());
        let descriptors = fs::read_dir(format!("/proc/{id}/fd"))?.count();
        Ok((resident.unwrap_or(0u64) / 1024, descriptors))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.size.processes().for_each(|process| self.kill(process));
        let _ = (self.watchdog.kill(), self.watchdog.wait());
    }
}

fn lock(node: &Mutex<Node>) -> MutexGuard<'_, Node> {
    node.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
