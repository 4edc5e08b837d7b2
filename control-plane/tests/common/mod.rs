//! Starts core processes on loopback, each at an address of its own: three founders, and optionally a fourth.
// each test file compiles its own copy and uses a different part of it
#![allow(dead_code)]

#[path = "../../../config/tests/common/mod.rs"]
pub mod config;

use lupinledge_example::http::{Client, Message};
use serde_json::json;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time limit of all waits, ample even on a busy machine.
pub const WAIT_LIMIT: Duration = Duration::from_secs(120);
/// Path for reading and changing the configuration.
pub const CONFIG_PATH: &str = "/lupinledge/config";

/// Polls until `probe` returns a value; fails after [`WAIT_LIMIT`].
pub fn wait_for<T>(description: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = probe() {
            return found;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "timed out waiting for: {description}");
        sleep(Duration::from_millis(10));
    }
}

/// A port that is free for TCP and UDP at all these addresses.
fn free_port(ips: &[Ipv4Addr]) -> u16 {
    wait_for("a free port", || {
        let port = TcpListener::bind((ips[0], 0)).ok()?.local_addr().ok()?.port();
        let is_free =
            |ip: &Ipv4Addr| TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok();
        ips.iter().all(is_free).then_some(port)
    })
}

/// The core processes, their addresses and files. Dropping ends the processes and removes the files.
pub struct Cluster {
    /// Addresses of the three founders, and of the optional fourth member.
    pub ips: [Ipv4Addr; 4],
    pub control_port: u16,
    pub peer_port: u16,
    /// Address of the platform that has the server list.
    pub platform: SocketAddr,
    pub dir: PathBuf,
    pub running: [Option<Child>; 4],
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..4).for_each(|i| self.kill(i));
        let logs = (0..4).filter_map(|i| fs::read_to_string(self.log_path(i)).ok());
        let violated = logs.filter(|log| log.contains("event=invariant_violated")).collect::<String>();
        assert!(violated.is_empty() || std::thread::panicking(), "{violated}");
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Cluster {
    /// Starts three founders at addresses of their own. Without a platform, nothing listens at the platform address.
    pub fn start_founders(platform: Option<SocketAddr>) -> Cluster {
        static NTH: AtomicU8 = AtomicU8::new(1);
        let (id, nth) = (std::process::id(), NTH.fetch_add(1, Ordering::Relaxed));
        let ips = [1, 2, 3, 4].map(|i| Ipv4Addr::new(127, 64 + (id >> 8) as u8 % 128, id as u8, 8 * nth + i));
        let dir = std::env::temp_dir().join(format!("lupinledge-hive-{id}-{nth}"));
        let platform = platform.unwrap_or((ips[0], 9).into());
        let (control_port, peer_port) = (0, 0);
        let mut cluster =
            Cluster { ips, control_port, peer_port, platform, dir, running: Default::default() };
        wait_for("three listening founders", || {
            (cluster.control_port, cluster.peer_port) = (free_port(&ips), free_port(&ips));
            let _ = fs::remove_dir_all(&cluster.dir);
            (0..3).for_each(|i| cluster.start(i, true));
            // retried with other ports if one was taken meanwhile
            (cluster.control_port != cluster.peer_port && (0..3).all(|i| cluster.wait_until_listening(i)))
                .then_some(())
        });
        cluster
    }

    /// The control address of a member.
    pub fn control_address(&self, i: usize) -> SocketAddr {
        (self.ips[i], self.control_port).into()
    }

    /// The data folder of a member.
    pub fn data_dir(&self, i: usize) -> PathBuf {
        self.dir.join(format!("data-{i}"))
    }

    /// The log file of a member.
    pub fn log_path(&self, i: usize) -> PathBuf {
        self.dir.join(format!("log-{i}"))
    }

    /// Waits until the log of a member contains a text.
    pub fn wait_for_log(&self, i: usize, text: &str) {
        wait_for(text, || fs::read_to_string(self.log_path(i)).ok().filter(|log| log.contains(text)));
    }

    /// Writes the settings file of a member.
    pub fn write_settings(&self, i: usize, bootstrap: bool, rate: f64) -> PathBuf {
        self.write_settings_for(i, bootstrap, rate, &self.data_dir(i))
    }

    /// Writes the settings file of a member with this data folder.
    fn write_settings_for(&self, i: usize, bootstrap: bool, rate: f64, data: &Path) -> PathBuf {
        let seeds: Vec<String> = (0..3).map(|i| self.control_address(i).to_string()).collect();
        let settings = json!({
            "ip": self.ips[i], "zone": "harju-kadaka", "region": "harju", "zones": config::zones(),
            "listen": {"control": self.control_address(i), "directory": self.control_address(i)},
            "port_range": [self.peer_port, self.peer_port],
            "seeds": seeds, "bootstrap": bootstrap, "data_dir": data,
            "cloud_api": {"address": self.platform, "rate_per_s": rate},
        });
        let file = self.dir.join(format!("settings-{i}.json"));
        fs::write(file.with_extension("new"), settings.to_string()).unwrap();
        fs::rename(file.with_extension("new"), &file).unwrap();
        file
    }

    /// Starts a member, after ending it if it is running.
    pub fn start(&mut self, i: usize, bootstrap: bool) {
        self.start_with_data(i, bootstrap, &self.data_dir(i));
    }

    /// Starts a member with this data folder, after ending it if it is running.
    pub fn start_with_data(&mut self, i: usize, bootstrap: bool, data: &Path) {
        self.kill(i);
        fs::create_dir_all(data).unwrap();
        let log = fs::File::create(self.log_path(i)).unwrap();
        let mut program = Command::new(env!("CARGO_BIN_EXE_lupinledge-hive"));
        program.env("LUPINLEDGE_NODE_FILE", self.write_settings_for(i, bootstrap, 39.0, data));
        self.running[i] = Some(program.stdin(Stdio::null()).stderr(log).spawn().unwrap());
    }

    /// Kills a member, if it is running.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.running[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The process id of a started member.
    pub fn process_id(&self, i: usize) -> u32 {
        self.running[i].as_ref().unwrap().id()
    }

    /// Sends a signal to a member.
    pub fn signal(&self, i: usize, name: &str) {
        assert!(Command::new("kill")
            .args([name, &self.process_id(i).to_string()])
            .status()
            .unwrap()
            .success());
    }

    /// Whether the process of a member is running.
    pub fn is_running(&mut self, i: usize) -> bool {
        self.running[i].as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Waits until the process accepts connections or has ended; returns whether it accepts them.
    fn wait_until_listening(&mut self, i: usize) -> bool {
        let at = self.control_address(i);
        wait_for("the process to listen or end", || {
            let listening = Client::connect(at).is_ok();
            (listening || !self.is_running(i)).then_some(listening)
        })
    }

    /// Sends one request without following redirects; `None` without an answer within the time limit.
    pub fn request(
        &self,
        at: SocketAddr,
        (method, path): (&str, &str),
        body: &[u8],
        time_limit: Duration,
    ) -> Option<Message> {
        let head = format!("{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", body.len());
        let mut client = Client::connect_with_timeout(at, time_limit).ok()?;
        client.send_request(&[head.as_bytes(), body].concat()).ok()?
    }

    /// Sends a request and follows up to two redirects; returns the status, the body and the member that answered.
    /// `None` without an answer, or with status 503.
    pub fn request_following(
        &self,
        first: usize,
        request_line: (&str, &str),
        body: &[u8],
        time_limit: Duration,
    ) -> Option<(u16, Vec<u8>, usize)> {
        let mut at = self.control_address(first);
        for _ in 0..3 {
            let answer = self.request(at, request_line, body, time_limit)?;
            match answer.status() {
                307 => {
                    let to =
                        answer.header("location")?.strip_prefix("http://")?.strip_suffix(request_line.1)?;
                    at = to.parse().ok()?;
                }
                503 => return None,
                status => {
                    return Some((status, answer.body, (0..4).find(|i| self.control_address(*i) == at)?))
                }
            }
        }
        None
    }
}
