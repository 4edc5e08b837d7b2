//! The gateways under test: processes of one program, each with a configuration file derived from the given
//! gateway configuration and pointing at the emulator.

use crate::emulator::environment::Environment;
use crate::gateway_settings::GatewaySettings;
use crate::scenario::Scenario;
use lupinledge_example::http::Client;
use serde_json::json;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The command that starts a gateway.
#[derive(Clone, Debug)]
pub struct GatewayCommand {
    /// Path of the executable.
    pub program: PathBuf,
    /// Its arguments.
    pub args: Vec<String>,
}

impl GatewayCommand {
    /// `lupinledge` in the folder of the running program, the layout of a cargo target folder.
    pub fn next_to_this_program() -> GatewayCommand {
        let me = std::env::current_exe().unwrap_or_default();
        let mut dir = me.parent().map(PathBuf::from).unwrap_or_default();
        if dir.ends_with("deps") {
            dir.pop();
        }
        GatewayCommand { program: dir.join("lupinledge"), args: vec![] }
    }
}

/// Number of the last log lines kept per gateway, to report why it failed.
const MAX_LOG_LINES: usize = 200;
/// Time limit for a gateway to listen and be ready: a release build takes about 50 ms, a debug build under 1 s.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The running gateway processes; dropping the fleet ends them.
pub struct Fleet {
    children: Vec<Child>,
    /// Address of each gateway.
    pub addrs: Vec<SocketAddr>,
    files: Vec<PathBuf>,
    logs: Vec<Arc<Mutex<VecDeque<String>>>>,
}

impl Fleet {
    /// Starts all gateways and waits until each responds to `GET /_health` with 200. The error names the gateway
    /// and ends with the last lines of its log.
    pub fn start(
        build: &GatewayCommand,
        scenario: &Scenario,
        settings: &GatewaySettings,
        environment: &Environment,
    ) -> Result<Fleet, String> {
        let mut fleet = Fleet { children: vec![], addrs: vec![], files: vec![], logs: vec![] };
        for i in 0..scenario.gateways {
            let mut conf = settings.raw_config.clone();
            conf["name"] = json!(format!("lab-g{i}"));
            conf["listen"] = json!("127.0.0.1:0");
            conf["discovery"] = json!(environment.discovery.addr.to_string());
            // The second half of the gateways uses the far address of the counter: one side of a split.
            let counter = if 2 * i >= scenario.gateways && scenario.gateways > 1 {
                environment.far_counter_addr
            } else {
                environment.counter.addr
            };
            conf["counter"] = json!(counter.to_string());
            conf["seed"] = json!(format!(
                "{:016x}",
                scenario.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(i as u64)
            ));
            conf["known"] = serde_json::Value::Null;
            conf["settings"]["instances"] = json!(scenario.gateways);
            let path = std::env::temp_dir().join(format!(
                "lupinledge-lab-{}-{}-{i}.json",
                std::process::id(),
                next_file_number()
            ));
            std::fs::write(&path, conf.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
            fleet.files.push(path.clone());
            let mut child = Command::new(&build.program)
                .args(&build.args)
                .env("EDGE_CONFIG", &path)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(Stdio::piped())
                .spawn()
                .map_err(|e| format!("{}: {e}", build.program.display()))?;
            let log: Arc<Mutex<VecDeque<String>>> = Arc::default();
            let (to, from) = (log.clone(), child.stderr.take().expect("piped"));
            spawn(move || {
                for line in BufReader::new(from).lines().map_while(Result::ok) {
                    let mut log = to.lock().unwrap();
                    if log.len() == MAX_LOG_LINES {
                        log.pop_front();
                    }
                    log.push_back(line);
                }
            });
            tracing::info!(gateway = i, pid = child.id(), "gateway started");
            fleet.children.push(child);
            fleet.logs.push(log);
        }
        for i in 0..scenario.gateways {
            let addr = fleet.ready(i)?;
            fleet.addrs.push(addr);
        }
        Ok(fleet)
    }

    /// Waits until the gateway is ready; returns its address.
    fn ready(&mut self, i: usize) -> Result<SocketAddr, String> {
        let start = Instant::now();
        let listens = |log: &VecDeque<String>| {
            log.iter().find_map(|l| l.split("listens on ").nth(1)?.trim().parse().ok())
        };
        while start.elapsed() < READY_TIMEOUT {
            if let Ok(Some(status)) = self.children[i].try_wait() {
                return Err(format!("gateway {i} ended with {status}:\n{}", self.log(i)));
            }
            let addr: Option<SocketAddr> = listens(&self.logs[i].lock().unwrap());
            if let Some(addr) = addr.filter(|a| health(*a) == Some(200)) {
                return Ok(addr);
            }
            sleep(Duration::from_millis(20));
        }
        Err(format!("gateway {i} not ready within {READY_TIMEOUT:?}:\n{}", self.log(i)))
    }

    /// The last log lines of a gateway.
    pub fn log(&self, i: usize) -> String {
        self.logs[i].lock().unwrap().iter().cloned().collect::<Vec<_>>().join("\n")
    }

    /// Peak resident memory of each gateway from `/proc`, KiB; 0 if it can't be read.
    pub fn peak_memory_kib(&self) -> Vec<u64> {
        self.children.iter().map(|c| peak_kib(&format!("/proc/{}/status", c.id()))).collect()
    }

    /// Indexes of the gateways that have crashed, that is, ended by themselves.
    pub fn crashed(&mut self) -> Vec<usize> {
        (0..self.children.len()).filter(|i| matches!(self.children[*i].try_wait(), Ok(Some(_)))).collect()
    }

    /// Ends the gateways of this fleet and removes their configuration files.
    pub fn stop(self) {}
}

/// Ends each gateway by its process id, so that none keeps running after a failed run or a panic in a test.
impl Drop for Fleet {
    fn drop(&mut self) {
        for c in &mut self.children {
            let _ = c.kill();
            let _ = c.wait();
        }
        for f in &self.files {
            let _ = std::fs::remove_file(f);
        }
    }
}

/// `VmHWM` from a status file in `/proc`, KiB; 0 if it is missing.
pub fn peak_kib(path: &str) -> u64 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmHWM:"));
    line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// A number that makes file names unique within this process.
fn next_file_number() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static N: AtomicU64 = AtomicU64::new(0);
    N.fetch_add(1, Ordering::Relaxed)
}

/// The status of `GET /_health`; `None` if the gateway can't be reached.
fn health(addr: SocketAddr) -> Option<u16> {
    let mut c = Client::connect_with_timeout(addr, Duration::from_millis(500)).ok()?;
    let m = c.send_request(b"GET /_health HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n").ok()??;
    Some(m.status())
}
