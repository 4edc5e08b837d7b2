//! The own processes of a run: each at a loopback address of its own, with settings, disk and log in one folder.

use crate::configuration::{bounds_of_settings, ZONES};
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
pub struct Size {
    /// Members of the core.
    pub cores: usize,
    pub edges: usize,
}

impl Default for Size {
    fn default() -> Size {
        Size { cores: 3, edges: 3 }
    }
}

impl Size {
    /// All processes of a run, members of the core first.
    pub fn processes(self) -> impl Iterator<Item = Process> {
        self.core().chain((0..self.edges).map(Process::Edge))
    }

    /// The members of the core.
    pub fn core(self) -> impl Iterator<Item = Process> {
        (0..self.cores).map(Process::Core)
    }

    /// Members of the core whose disks may be lost at once.
    pub fn disks_to_lose(self) -> usize {
        (self.cores - 1) / 2
    }

    /// Whether there are addresses for all processes, and a core that can lose a member.
    pub fn check(self) -> eyre::Result<()> {
        eyre::ensure!((3..=9).contains(&self.cores), "--cores: {} is not within 3 to 9", self.cores);
        let most = usize::from(FIRST_SUCCESSOR) - 1 - self.cores;
        eyre::ensure!((1..=most).contains(&self.edges), "--edges: {} is not within 1 to {most}", self.edges);
        Ok(())
    }
}

/// The last part of the addresses of machines that come later.
const FIRST_SUCCESSOR: u8 = 200;
/// The file with the ids of all processes started.
const STARTED: &str = "started";

/// A process that was asked to end has so long before it is killed; beyond the grace it breaks a promise.
const END_WAIT: Duration = Duration::from_secs(12);

/// The programs.
#[derive(Clone, Debug)]
pub struct Programs {
    pub core: PathBuf,
    pub edge: PathBuf,
}

impl Programs {
    /// Those in a folder.
    pub fn within(folder: &Path) -> Programs {
        Programs { core: folder.join("lupinledge-hive"), edge: folder.join("lupinledge-forager") }
    }
}

/// A signal that the fault injector sends.
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

struct Node {
    process: Process,
    ip: Ipv4Addr,
    child: Option<Child>,
    /// Its end is expected: it was killed or asked to end.
    ending: bool,
}

/// See the module.
pub struct Cluster {
    record: Arc<Record>,
    programs: Programs,
    folder: PathBuf,
    platform: SocketAddr,
    size: Size,
    ports: Ports,
    nodes: Vec<Mutex<Node>>,
    /// Ends the processes should this one be killed.
    watchdog: Child,
    /// How many successors of members of the core there were.
    successors: AtomicU8,
}

/// A machine that is to take the place of a member of the core.
pub struct Successor {
    core: usize,
    ip: Ipv4Addr,
    child: Child,
}

#[derive(Clone, Copy)]
struct Ports {
    peers: u16,
    control: u16,
    front: u16,
    ready: u16,
}

/// Addresses that no other run of this machine has.
fn network() -> [u8; 2] {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let nth = GIVEN.fetch_add(1, Ordering::SeqCst);
    let id = std::process::id().wrapping_mul(64).wrapping_add(nth);
    [64 + (id >> 8) as u8 % 128, id as u8]
}

/// A process that waits for the end of this one and then ends those whose ids stand in the folder.
fn watchdog(folder: &Path) -> eyre::Result<Child> {
    let started = folder.join(STARTED);
    File::create(&started)?;
    let script = "while kill -0 $1; do sleep 1; done; xargs kill -KILL < \"$2\"";
    let mut command = Command::new("sh");
    command.args(["-c", script, "sh", &std::process::id().to_string()]).arg(started);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    command.spawn().wrap_err("a shell")
}

fn free_ports(ips: &[Ipv4Addr]) -> eyre::Result<Ports> {
    let mut free = Vec::new();
    for _ in 0..200 {
        let port = TcpListener::bind((ips[0], 0))?.local_addr()?.port();
        let binds =
            |ip: &Ipv4Addr| TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok();
        if !free.contains(&port) && ips.iter().all(binds) {
            free.push(port);
        }
        if let [peers, control, front, ready] = free[..] {
            return Ok(Ports { peers, control, front, ready });
        }
    }
    bail!("no ports are free")
}

impl Cluster {
    /// A folder and addresses; no process runs yet.
    pub fn new(
        record: Arc<Record>,
        programs: Programs,
        folder: PathBuf,
        platform: SocketAddr,
        size: Size,
    ) -> eyre::Result<Arc<Cluster>> {
        // what an earlier run of the same seed left is no state of this one
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).wrap_err_with(|| folder.display().to_string())?;
        let [second, third] = network();
        let nodes: Vec<Mutex<Node>> = (1..)
            .zip(size.processes())
            .map(|(last, process)| {
                let ip = Ipv4Addr::new(127, second, third, last);
                Mutex::new(Node { process, ip, child: None, ending: false })
            })
            .collect();
        let ips: Vec<Ipv4Addr> = nodes.iter().map(|n| lock(n).ip).collect();
        let ports = free_ports(&ips)?;
        let watchdog = watchdog(&folder)?;
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

    /// How many processes there are.
    pub fn size(&self) -> Size {
        self.size
    }

    /// The address of a process.
    pub fn ip(&self, process: Process) -> Ipv4Addr {
        self.node(process).ip
    }

    /// Where the operator and clients that ask where to go call a member of the core.
    pub fn control(&self, core: usize) -> SocketAddr {
        (self.ip(Process::Core(core)), self.ports.control).into()
    }

    /// Where clients call an edge process.
    pub fn front(&self, edge: usize) -> SocketAddr {
        (self.ip(Process::Edge(edge)), self.ports.front).into()
    }

    /// The edge process at an address.
    pub fn edge_at(&self, front: SocketAddr) -> Option<usize> {
        (0..self.size.edges).find(|edge| self.front(*edge) == front)
    }

    fn name(process: Process) -> String {
        match process {
            Process::Core(i) => format!("core-{i}"),
            Process::Edge(i) => format!("edge-{i}"),
        }
    }

    /// What a process wrote, over all its lives.
    pub fn log(&self, process: Process) -> PathBuf {
        self.folder.join(format!("{}.log", Self::name(process)))
    }

    /// The disk of the machine at an address.
    fn data(&self, ip: Ipv4Addr) -> PathBuf {
        self.folder.join(format!("{ip}.data"))
    }

    fn settings_path(&self, ip: Ipv4Addr) -> PathBuf {
        self.folder.join(format!("{ip}.json"))
    }

    /// The file that tells the programs which of them are cut off from each other.
    pub fn cuts_path(&self) -> PathBuf {
        self.folder.join("cuts")
    }

    /// Where the members of the core are called, as the operator's list has them now.
    fn seeds(&self) -> Vec<SocketAddr> {
        (0..self.size.cores).map(|core| self.control(core)).collect()
    }

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
            "node_name": Self::name(process), "ip": ip, "zone": place.0, "region": place.1,
            "zones": ZONES.into_iter().collect::<BTreeMap<_, _>>(),
            "listen": listen, "port_range": [self.ports.peers, self.ports.peers], "seeds": seeds,
            "bootstrap": bootstrap, "counted": matches!(process, Process::Core(_)),
            "tolerate": {"machines": self.size.disks_to_lose(), "zones": 1, "regions": 1}, "bounds": bounds_of_settings(),
            "cloud_api": {"address": self.platform, "rate_per_s": 39.0},
        });
        if matches!(process, Process::Core(_)) {
            settings["data_dir"] = json!(self.data(ip));
        }
        settings
    }

    /// Writes the settings file anew, whole or cut short.
    pub fn write_settings(&self, process: Process, whole: bool) -> eyre::Result<()> {
        let (ip, seeds) = (self.ip(process), self.seeds());
        let text = self.settings(process, ip, &seeds, false).to_string();
        let text = if whole { &text[..] } else { &text[..text.len() / 2] };
        let (path, new) = (self.settings_path(ip), self.settings_path(ip).with_extension("new"));
        fs::write(&new, text)?;
        fs::rename(new, path)?;
        Ok(())
    }

    /// Starts a process that does not run.
    pub fn start(&self, process: Process, bootstrap: bool) -> eyre::Result<()> {
        let ip = self.ip(process);
        let child = self.spawn(process, ip, bootstrap)?;
        let mut node = self.node(process);
        (node.child, node.ending) = (Some(child), false);
        Ok(())
    }

    fn spawn(&self, process: Process, ip: Ipv4Addr, bootstrap: bool) -> eyre::Result<Child> {
        let path = self.settings_path(ip);
        let seeds = self.seeds();
        fs::write(&path, self.settings(process, ip, &seeds, bootstrap).to_string())?;
        let program = match process {
            Process::Core(_) => &self.programs.core,
            Process::Edge(_) => &self.programs.edge,
        };
        if matches!(process, Process::Core(_)) {
            fs::create_dir_all(self.data(ip))?;
        }
        let log: File = OpenOptions::new().create(true).append(true).open(self.log(process))?;
        let mut command = Command::new(program);
        command.env("LUPINLEDGE_NODE_FILE", &path).env("LUPINLEDGE_CUTS_FILE", self.cuts_path());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().wrap_err_with(|| program.display().to_string())?;
        let mut started = OpenOptions::new().append(true).open(self.folder.join(STARTED))?;
        writeln!(started, "{}", child.id())?;
        Ok(child)
    }

    /// Starts an empty machine at a new address in the place of a member of the core, which goes on until
    /// [`Cluster::take_place`]; where it is.
    pub fn start_successor(&self, core: usize) -> eyre::Result<Successor> {
        let [a, b, c, _] = self.ip(Process::Core(core)).octets();
        let ip = Ipv4Addr::new(a, b, c, FIRST_SUCCESSOR + self.successors.fetch_add(1, Ordering::SeqCst));
        let child = self.spawn(Process::Core(core), ip, false)?;
        Ok(Successor { core, ip, child })
    }

    /// Whether a successor counts in the core.
    pub fn counts(&self, successor: &Successor) -> bool {
        let figures = self.figures_at((successor.ip, self.ports.control).into());
        figures.is_some_and(|figures| figures.get("core.member") == Some(&1))
    }

    /// From here on the successor is that member of the core; the one before has ended.
    pub fn take_place(&self, successor: Successor) {
        let mut node = self.node(Process::Core(successor.core));
        (node.ip, node.child, node.ending) = (successor.ip, Some(successor.child), false);
    }

    /// Sends a signal to a process that runs.
    pub fn signal(&self, process: Process, signal: Signal) {
        let mut node = self.node(process);
        node.ending |= matches!(signal, Signal::Kill | Signal::Terminate);
        let Some(child) = &node.child else { return };
        let _ = Command::new("kill").args(["-s", signal.name(), &child.id().to_string()]).status();
    }

    /// Kills a process; ends when it is gone.
    pub fn kill(&self, process: Process) {
        let mut node = self.node(process);
        node.ending = true;
        if let Some(mut child) = node.child.take() {
            let _ = (child.kill(), child.wait());
        }
    }

    /// Asks a process to end, and waits for it; after how long it did, and by itself in order.
    pub fn terminate(&self, process: Process) -> Option<(Duration, bool)> {
        self.signal(process, Signal::Terminate);
        let began = Instant::now();
        // its child stays in its place: one that is frozen meanwhile is to be thawed
        while began.elapsed() < END_WAIT {
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

    /// Removes what a process that does not run had on its disk.
    pub fn wipe(&self, process: Process) -> eyre::Result<()> {
        fs::remove_dir_all(self.data(self.ip(process))).wrap_err("wipe")
    }

    /// Notes each process that ended without having been told to.
    pub fn look_for_own_ends(&self) {
        for node in &self.nodes {
            let mut node = lock(node);
            if node.ending {
                continue;
            }
            let ended = node.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = ended {
                node.ending = true;
                self.record.violation(format!("own end: {:?} ended by itself: {status}", node.process));
            }
        }
    }

    /// One call without a body at one of a process's own addresses.
    fn get(&self, at: SocketAddr, path: &str) -> Option<Message> {
        let mut client = Client::connect_with_timeout(at, Duration::from_millis(800)).ok()?;
        client.send_request(format!("GET {path} HTTP/1.1\r\nHost: {at}\r\n\r\n").as_bytes()).ok()?
    }

    /// A figure that a process tells of itself.
    pub fn metric(&self, process: Process, name: &str) -> Option<u64> {
        self.figures(process)?.get(name).copied()
    }

    /// All figures that a process tells of itself.
    pub fn figures(&self, process: Process) -> Option<BTreeMap<String, u64>> {
        let ip = self.ip(process);
        let port = match process {
            Process::Core(_) => self.ports.control,
            Process::Edge(_) => self.ports.ready,
        };
        self.figures_at((ip, port).into())
    }

    fn figures_at(&self, at: SocketAddr) -> Option<BTreeMap<String, u64>> {
        let text = self.get(at, "/lupinledge/metrics")?.text();
        let figure = |line: &str| {
            let (name, value) = line.split_once(' ')?;
            Some((name.to_string(), value.parse().ok()?))
        };
        Some(text.lines().filter_map(figure).collect())
    }

    /// Whether an edge process says that it is ready.
    pub fn ready(&self, edge: usize) -> bool {
        let at = (self.ip(Process::Edge(edge)), self.ports.ready).into();
        self.get(at, "/lupinledge/readiness").is_some_and(|answer| answer.status() == 200)
    }

    /// Has the programs take these pairs of processes for cut off from each other, and no others.
    pub fn cut(&self, pairs: &[(Process, Process)]) -> eyre::Result<()> {
        let line = |(a, b): &(Process, Process)| format!("{} {}\n", self.ip(*a), self.ip(*b));
        let new = self.cuts_path().with_extension("new");
        fs::write(&new, pairs.iter().map(line).collect::<String>())?;
        fs::rename(&new, self.cuts_path())?;
        Ok(())
    }

    /// Resident memory in megabytes and open descriptors of a process that runs.
    pub fn resources(&self, process: Process) -> eyre::Result<(u64, usize)> {
        let id = self.node(process).child.as_ref().map(Child::id).ok_or_else(|| eyre!("it does not run"))?;
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
