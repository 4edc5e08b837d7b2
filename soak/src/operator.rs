//! The operator: changes the configuration, reads it back, evacuates zones, and sends again what got no clear answer.

use crate::cluster::Cluster;
use crate::configuration::{bounds, configuration, moving_to, rotating_key, ZONES};
use crate::record::{Evacuation, Record, Seconds, Version};
use lupinledge_example::http::{Client, Message};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const CONFIG: &str = "/lupinledge/config";
/// A machine that says nothing for so long is left.
const SILENCE: Duration = Duration::from_secs(1);
/// A call without a clear answer is sent again for so long at most.
const CALL_AT_MOST: Duration = Duration::from_secs(60);

/// See the module.
pub struct Operator {
    pub record: Arc<Record>,
    pub cluster: Arc<Cluster>,
    pub rotating_key: Arc<Mutex<String>>,
    pub stop: AtomicBool,
    pub seed: u64,
}

/// A call's clear answer.
#[derive(Debug)]
pub struct Clear {
    pub status: u16,
    pub body: Vec<u8>,
    /// When the try that got it was sent.
    pub asked: Seconds,
}

fn version_of(body: &[u8]) -> Option<u64> {
    let config: serde_json::Value = serde_json::from_slice(body).ok()?;
    config["version"].as_str()?.strip_prefix('r')?.parse().ok()
}

impl Operator {
    /// One try at one machine, redirections followed twice; none: no clear answer.
    fn try_at(&self, first: usize, method: &str, path: &str, body: &[u8]) -> Option<Clear> {
        let mut at = self.cluster.control(first);
        let asked = self.record.now();
        for _ in 0..3 {
            let answer = ask(at, method, path, body)?;
            match answer.status() {
                307 => {
                    let location = answer.header("location")?;
                    at = location.strip_prefix("http://")?.split('/').next()?.parse().ok()?;
                }
                408 | 429 | 500.. => return None,
                status => return Some(Clear { status, body: answer.body, asked }),
            }
        }
        None
    }

    /// Tries all machines in turn until one gives a clear answer, or the run stops.
    fn call(&self, rng: &mut fastrand::Rng, method: &str, path: &str, body: &[u8]) -> Option<Clear> {
        let (began, mut pause) = (Instant::now(), 20);
        while began.elapsed() < CALL_AT_MOST {
            let first = rng.usize(0..self.cluster.size().cores);
            if rng.u8(0..8) == 0 {
                // its answer is lost: the same is sent again
                drop(self.try_at(first, method, path, body));
            } else if let Some(clear) = self.try_at(first, method, path, body) {
                return Some(clear);
            }
            sleep(Duration::from_millis(rng.u64(pause / 2..pause)));
            pause = (pause * 3 / 2).min(300);
        }
        None
    }

    /// Acts until the run stops.
    pub fn act(&self) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ 0x0b5e);
        while !self.stop.load(Ordering::SeqCst) {
            match rng.u8(0..12) {
                0..=3 => drop(self.change(&mut rng)),
                4 => self.race(&mut rng),
                5 => self.again(&mut rng),
                6 => self.invalid(&mut rng),
                7 => self.evacuate(&mut rng),
                _ => drop(self.read(&mut rng)),
            }
            let pause = rng.u64(50..700);
            sleep(Duration::from_millis(pause));
        }
    }

    /// The newest version that was acknowledged.
    fn newest(&self) -> u64 {
        let seen = self.record.seen();
        let acknowledged = seen.versions.iter().filter(|v| v.acknowledged.is_some());
        acknowledged.map(|v| v.number).max().unwrap_or(0)
    }

    fn send(&self, number: u64, base: u64, mark: u64) -> (usize, Vec<u8>) {
        let body = configuration(number, base, mark).to_string().into_bytes();
        let sent = self.record.now();
        let mut seen = self.record.seen();
        seen.versions.push(Version {
            number,
            base,
            sent,
            acknowledged: None,
            refused: false,
            moving_to: moving_to(number),
            key: rotating_key(number, mark),
            body: body.clone(),
        });
        (seen.versions.len() - 1, body)
    }

    /// Takes note of a clear answer to a configuration.
    fn answered(&self, version: usize, clear: &Clear) {
        let now = self.record.now();
        let mut seen = self.record.seen();
        let v = &mut seen.versions[version];
        match clear.status {
            200 => {
                v.acknowledged = Some(now);
                if let Ok(mut key) = self.rotating_key.lock() {
                    *key = v.key.clone();
                }
            }
            412 => v.refused = true,
            other => {
                let what = format!("CONFIG: a valid configuration r{} was answered {other}", v.number);
                drop(seen);
                self.record.violation(what);
            }
        }
    }

    /// One change on top of the newest; whether it was acknowledged.
    pub fn change(&self, rng: &mut fastrand::Rng) -> bool {
        let base = self.newest();
        let (version, body) = self.send(base + 1 + rng.u64(0..3), base, rng.u64(..1 << 20));
        let Some(clear) = self.call(rng, "PUT", CONFIG, &body) else { return false };
        self.answered(version, &clear);
        let settled = |v: &Version| v.acknowledged.is_some() || v.refused;
        if clear.status == 412 && self.record.seen().versions.iter().all(settled) {
            self.record.violation(format!("CONFIG: the only change on top of r{base} was refused as stale"));
        }
        clear.status == 200
    }

    /// Two changes on top of the same version at once: one of them wins.
    fn race(&self, rng: &mut fastrand::Rng) {
        let base = self.newest();
        let number = base + 1 + rng.u64(0..3);
        let pair = [1, 2].map(|mark| self.send(number, base, mark));
        let seeds = [rng.u64(..), rng.u64(..)];
        let answers = std::thread::scope(|scope| {
            let calls = [0, 1].map(|i| {
                let body = &pair[i].1;
                scope.spawn(move || self.call(&mut fastrand::Rng::with_seed(seeds[i]), "PUT", CONFIG, body))
            });
            calls.map(|call| call.join().ok().flatten())
        });
        for (answer, (version, _)) in answers.iter().zip(&pair) {
            answer.iter().for_each(|clear| self.answered(*version, clear));
        }
        let statuses = answers.map(|a| a.map_or(0, |clear| clear.status));
        if statuses == [200, 200] || statuses == [412, 412] {
            self.record
                .violation(format!("CONFIG: two changes on top of r{base} were answered {statuses:?}"));
        }
    }

    /// The newest configuration once more, with no change since: it is acknowledged again.
    fn again(&self, rng: &mut fastrand::Rng) {
        let newest = self.newest();
        let body = {
            let seen = self.record.seen();
            seen.versions
                .iter()
                .rev()
                .find(|v| v.number == newest && v.acknowledged.is_some())
                .map(|v| v.body.clone())
        };
        let Some(clear) = body.and_then(|body| self.call(rng, "PUT", CONFIG, &body)) else { return };
        if clear.status != 200 {
            self.record.violation(format!("CONFIG: r{newest}, taken before, was answered {}", clear.status));
        }
    }

    /// A configuration that may not be taken.
    fn invalid(&self, rng: &mut fastrand::Rng) {
        let base = self.newest();
        let mut config = configuration(base + 1, base, 0);
        match rng.u8(0..3) {
            0 => config["listeners"][0]["rules"][0]["action"]["service"] = "nobody".into(),
            1 => config["listeners"][0]["rules"][0]["action"]["timeout_s"] = 0.into(),
            _ => config["listeners"][0]["rules"][0]["match"]["path_prefix"] = "pay/".into(),
        }
        let Some(clear) = self.call(rng, "PUT", CONFIG, config.to_string().as_bytes()) else { return };
        if !(400..500).contains(&clear.status) {
            self.record.violation(format!("CONFIG: an invalid configuration was answered {}", clear.status));
        }
    }

    /// Reads the configuration: never older than what was acknowledged before, and as it was sent.
    pub fn read(&self, rng: &mut fastrand::Rng) -> Option<u64> {
        let clear = self.call(rng, "GET", CONFIG, b"")?;
        let (now, mut seen) = (self.record.now(), self.record.seen());
        let before = seen.versions.iter().filter(|v| v.acknowledged.is_some_and(|at| at < clear.asked));
        let newest = before.map(|v| v.number).max();
        let read = version_of(&clear.body).filter(|_| clear.status == 200);
        let of_number = |v: &&Version| Some(v.number) == read;
        let fault = match (read, newest) {
            (None, Some(newest)) => {
                Some(format!("r{newest} is acknowledged, a read was answered {}", clear.status))
            }
            (Some(read), Some(newest)) if read < newest => {
                Some(format!("r{read} was read after r{newest} was acknowledged"))
            }
            (Some(read), _)
                if !seen.versions.iter().filter(of_number).any(|v| v.body == clear.body && !v.refused) =>
            {
                Some(format!("r{read} was read, not as it was sent, or refused before"))
            }
            _ => None,
        };
        // one without a clear answer is in force, as is seen now
        let unsettled = seen.versions.iter_mut().filter(|v| v.acknowledged.is_none() && v.body == clear.body);
        unsettled.for_each(|v| v.acknowledged = Some(now));
        drop(seen);
        fault.into_iter().for_each(|fault| self.record.violation(format!("CONFIG: {fault}")));
        read
    }

    /// Has a zone emptied and takes that back.
    fn evacuate(&self, rng: &mut fastrand::Rng) {
        let zone = ZONES[rng.usize(0..ZONES.len())].0.to_string();
        let path = format!("/lupinledge/evacuation/{zone}");
        let index = {
            let mut seen = self.record.seen();
            seen.evacuations.push(Evacuation { zone, acknowledged: None, taken_back: None });
            seen.evacuations.len() - 1
        };
        let clear = self.call(rng, "POST", &path, b"");
        let now = self.record.now();
        if clear.is_some_and(|clear| (200..300).contains(&clear.status)) {
            self.record.seen().evacuations[index].acknowledged = Some(now);
        }
        let stays = bounds::EVACUATE + rng.f64() * 2.0;
        let began = Instant::now();
        while began.elapsed().as_secs_f64() < stays && !self.stop.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(50));
        }
        let now = self.record.now();
        self.record.seen().evacuations[index].taken_back = Some(now);
        self.call(rng, "DELETE", &path, b"");
    }
}

/// One call; none where no whole answer comes.
fn ask(at: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<Message> {
    let mut client = Client::connect_with_timeout(at, SILENCE).ok()?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    client.send_request(&[head.as_bytes(), body].concat()).ok()?
}
