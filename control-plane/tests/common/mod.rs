//! Processes of the core on loopback, each at an address of its own: three that found it, and room for one more.
// each test file has its own copy, and uses another part of it
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

/// What has not come by then never does, however busy the machine is.
pub const LONG: Duration = Duration::from_secs(120);
pub const CONFIG: &str = "/lupinledge/config";

/// Waits until something is there; fails when it never is.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < LONG, "never: {what}");
        sleep(Duration::from_millis(10));
    }
}

/// A port that is free at all of these, also for datagrams.
fn free(ips: &[Ipv4Addr]) -> u16 {
    until("a free port", || {
        let port = TcpListener::bind((ips[0], 0)).ok()?.local_addr().ok()?.port();
        let free =
            |ip: &Ipv4Addr| TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok();
        ips.iter().all(free).then_some(port)
    })
}

/// The machines, and how to reach them. What they leave is ended and removed when dropped.
pub struct Members {
    /// Of the founders, and of one that may come.
    pub ips: [Ipv4Addr; 4],
    pub control: u16,
    pub peers: u16,
    /// Who has the list of servers.
    pub platform: SocketAddr,
    pub dir: PathBuf,
    pub running: [Option<Child>; 4],
}

impl Drop for Members {
    fn drop(&mut self) {
        (0..4).for_each(|i| self.kill(i));
        let logs = (0..4).filter_map(|i| fs::read_to_string(self.log(i)).ok());
        let violated = logs.filter(|log| log.contains("event=invariant_violated")).collect::<String>();
        assert!(violated.is_empty() || std::thread::panicking(), "{violated}");
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Members {
    /// Three found a core at addresses of their own; without a platform nobody listens where it should be.
    pub fn found(platform: Option<SocketAddr>) -> Members {
        static NTH: AtomicU8 = AtomicU8::new(1);
        let (id, nth) = (std::process::id(), NTH.fetch_add(1, Ordering::Relaxed));
        let ips = [1, 2, 3, 4].map(|i| Ipv4Addr::new(127, 64 + (id >> 8) as u8 % 128, id as u8, 8 * nth + i));
        let dir = std::env::temp_dir().join(format!("lupinledge-hive-{id}-{nth}"));
        let platform = platform.unwrap_or((ips[0], 9).into());
        let (control, peers) = (0, 0);
        let mut members = Members { ips, control, peers, platform, dir, running: Default::default() };
        until("all three listen", || {
            (members.control, members.peers) = (free(&ips), free(&ips));
            let _ = fs::remove_dir_all(&members.dir);
            (0..3).for_each(|i| members.start(i, true));
            // a port was taken meanwhile: others
            (members.control != members.peers && (0..3).all(|i| members.listens(i))).then_some(())
        });
        members
    }

    /// Where operators call one.
    pub fn at(&self, i: usize) -> SocketAddr {
        (self.ips[i], self.control).into()
    }

    pub fn data(&self, i: usize) -> PathBuf {
        self.dir.join(format!("data-{i}"))
    }

    pub fn log(&self, i: usize) -> PathBuf {
        self.dir.join(format!("log-{i}"))
    }

    /// Waits until the log of one says so.
    pub fn logged(&self, i: usize, what: &str) {
        until(what, || fs::read_to_string(self.log(i)).ok().filter(|log| log.contains(what)));
    }

    /// Writes the settings file of one.
    pub fn settings(&self, i: usize, bootstrap: bool, rate: f64) -> PathBuf {
        self.settings_on(i, bootstrap, rate, &self.data(i))
    }

    fn settings_on(&self, i: usize, bootstrap: bool, rate: f64, data: &Path) -> PathBuf {
        let seeds: Vec<String> = (0..3).map(|i| self.at(i).to_string()).collect();
        let settings = json!({
            "ip": self.ips[i], "zone": "harju-kadaka", "region": "harju", "zones": config::zones(),
            "listen": {"control": self.at(i), "directory": self.at(i)}, "port_range": [self.peers, self.peers],
            "seeds": seeds, "bootstrap": bootstrap, "data_dir": data,
            "cloud_api": {"address": self.platform, "rate_per_s": rate},
        });
        let file = self.dir.join(format!("settings-{i}.json"));
        fs::write(file.with_extension("new"), settings.to_string()).unwrap();
        fs::rename(file.with_extension("new"), &file).unwrap();
        file
    }

    pub fn start(&mut self, i: usize, bootstrap: bool) {
        self.start_on(i, bootstrap, &self.data(i));
    }

    /// Starts one with this data folder.
    pub fn start_on(&mut self, i: usize, bootstrap: bool, data: &Path) {
        self.kill(i);
        fs::create_dir_all(data).unwrap();
        let log = fs::File::create(self.log(i)).unwrap();
        let mut program = Command::new(env!("CARGO_BIN_EXE_lupinledge-hive"));
        program.env("LUPINLEDGE_NODE_FILE", self.settings_on(i, bootstrap, 39.0, data));
        self.running[i] = Some(program.stdin(Stdio::null()).stderr(log).spawn().unwrap());
    }

    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.running[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The id of a process that was started.
    pub fn id(&self, i: usize) -> u32 {
        self.running[i].as_ref().unwrap().id()
    }

    pub fn signal(&self, i: usize, name: &str) {
        assert!(Command::new("kill").args([name, &self.id(i).to_string()]).status().unwrap().success());
    }

    pub fn runs(&mut self, i: usize) -> bool {
        self.running[i].as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Whether the process takes connections; it may have to be waited for.
    fn listens(&mut self, i: usize) -> bool {
        let at = self.at(i);
        until("it listens or ended", || {
            let up = Client::connect(at).is_ok();
            (up || !self.runs(i)).then_some(up)
        })
    }

    /// One call, without following; `None` where no answer comes within the span.
    pub fn ask(
        &self,
        at: SocketAddr,
        (method, path): (&str, &str),
        body: &[u8],
        span: Duration,
    ) -> Option<Message> {
        let head = format!("{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", body.len());
        let mut client = Client::connect_with_timeout(at, span).ok()?;
        client.send_request(&[head.as_bytes(), body].concat()).ok()?
    }

    /// A call that is followed twice to where one is sent to: what somebody says for the whole, and who that was.
    pub fn followed(
        &self,
        first: usize,
        call: (&str, &str),
        body: &[u8],
        span: Duration,
    ) -> Option<(u16, Vec<u8>, usize)> {
        let mut at = self.at(first);
        for _ in 0..3 {
            let answer = self.ask(at, call, body, span)?;
            match answer.status() {
                307 => {
                    let to = answer.header("location")?.strip_prefix("http://")?.strip_suffix(call.1)?;
                    at = to.parse().ok()?;
                }
                503 => return None,
                status => return Some((status, answer.body, (0..4).find(|i| self.at(*i) == at)?)),
            }
        }
        None
    }
}
