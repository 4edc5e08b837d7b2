//! The operator: changes the configuration, reads it back, evacuates zones, and repeats calls without a definitive
//! answer.

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
/// How long the operator waits for a machine's answer before it calls another one.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a call without a definitive answer is repeated.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The emulated operator.
pub struct Operator {
    pub record: Arc<Record>,
    pub cluster: Arc<Cluster>,
    /// The rotating tenant's key in the configuration that was acknowledged last.
    pub rotating_key: Arc<Mutex<String>>,
    /// Set to stop the operator.
    pub stop: AtomicBool,
    pub seed: u64,
}

/// An answer that settles a call, so that it needn't be repeated.
#[derive(Debug)]
pub struct DefinitiveAnswer {
    pub status: u16,
    pub body: Vec<u8>,
    /// When the try that got this answer was sent.
    pub request_sent_at: Seconds,
}

/// The number of the version in a configuration's text.
fn version_of(body: &[u8]) -> Option<u64> {
    let config: serde_json::Value = serde_json::from_slice(body).ok()?;
    config["version"].as_str()?.strip_prefix('r')?.parse().ok()
}

impl Operator {
    /// Calls one machine and follows up to two redirections; `None` without a definitive answer.
    fn call_at(&self, first: usize, method: &str, path: &str, body: &[u8]) -> Option<DefinitiveAnswer> {
        let mut at = self.cluster.control_address(first);
        let request_sent_at = self.record.now();
        for _ in 0..3 {
            let answer = call_once(at, method, path, body)?;
            match answer.status() {
                307 => {
                    let location = answer.header("location")?;
                    at = location.strip_prefix("http://")?.split('/').next()?.parse().ok()?;
                }
                408 | 429 | 500.. => return None,
                status => return Some(DefinitiveAnswer { status, body: answer.body, request_sent_at }),
            }
        }
        None
    }

    /// Calls random machines until one gives a definitive answer or [`CALL_TIMEOUT`] has passed.
    fn call(
        &self,
        rng: &mut fastrand::Rng,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<DefinitiveAnswer> {
        let (began, mut pause) = (Instant::now(), 20);
        while began.elapsed() < CALL_TIMEOUT {
            let first = rng.usize(0..self.cluster.size().cores);
            if rng.u8(0..8) == 0 {
                // simulates a lost answer: drops it and sends the same call again
                drop(self.call_at(first, method, path, body));
            } else if let Some(response) = self.call_at(first, method, path, body) {
                return Some(response);
            }
            sleep(Duration::from_millis(rng.u64(pause / 2..pause)));
            pause = (pause * 3 / 2).min(300);
        }
        None
    }

    /// Makes random calls until the run stops.
    pub fn run(&self) {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ 0x0b5e);
        while !self.stop.load(Ordering::SeqCst) {
            match rng.u8(0..12) {
                0..=3 => drop(self.change_configuration(&mut rng)),
                4 => self.send_conflicting_changes(&mut rng),
                5 => self.resend_newest(&mut rng),
                6 => self.send_invalid(&mut rng),
                7 => self.evacuate(&mut rng),
                _ => drop(self.read_configuration(&mut rng)),
            }
            let pause = rng.u64(50..700);
            sleep(Duration::from_millis(pause));
        }
    }

    /// The number of the newest version that was acknowledged, or 0.
    fn newest_acknowledged(&self) -> u64 {
        let observations = self.record.observations();
        let acknowledged = observations.versions.iter().filter(|version| version.acknowledged.is_some());
        acknowledged.map(|version| version.number).max().unwrap_or(0)
    }

    /// Records a version as sent now; returns its index and its text.
    fn record_version(&self, number: u64, base: u64, mark: u64) -> (usize, Vec<u8>) {
        let body = configuration(number, base, mark).to_string().into_bytes();
        let sent_at = self.record.now();
        let mut observations = self.record.observations();
        observations.versions.push(Version {
            number,
            base,
            sent_at,
            acknowledged: None,
            refused: false,
            moving_to: moving_to(number),
            key: rotating_key(number, mark),
            body: body.clone(),
        });
        (observations.versions.len() - 1, body)
    }

    /// Records a definitive answer to a configuration.
    fn record_response(&self, version_index: usize, response: &DefinitiveAnswer) {
        let now = self.record.now();
        let mut observations = self.record.observations();
        let version = &mut observations.versions[version_index];
        match response.status {
            200 => {
                version.acknowledged = Some(now);
                if let Ok(mut key) = self.rotating_key.lock() {
                    *key = version.key.clone();
                }
            }
            412 => version.refused = true,
            other => {
                let violation =
                    format!("CONFIG: a valid configuration r{} was answered {other}", version.number);
                drop(observations);
                self.record.violation(violation);
            }
        }
    }

    /// Sends one change based on the newest version; returns whether it was acknowledged.
    pub fn change_configuration(&self, rng: &mut fastrand::Rng) -> bool {
        let base = self.newest_acknowledged();
        let (version, body) = self.record_version(base + 1 + rng.u64(0..3), base, rng.u64(..1 << 20));
        let Some(response) = self.call(rng, "PUT", CONFIG, &body) else { return false };
        self.record_response(version, &response);
        let is_settled = |version: &Version| version.acknowledged.is_some() || version.refused;
        if response.status == 412 && self.record.observations().versions.iter().all(is_settled) {
            self.record.violation(format!("CONFIG: the only change based on r{base} was refused as stale"));
        }
        response.status == 200
    }

    /// Sends two changes based on the same version concurrently; exactly one may be acknowledged.
    fn send_conflicting_changes(&self, rng: &mut fastrand::Rng) {
        let base = self.newest_acknowledged();
        let number = base + 1 + rng.u64(0..3);
        let pair = [1, 2].map(|mark| self.record_version(number, base, mark));
        let seeds = [rng.u64(..), rng.u64(..)];
        let answers = std::thread::scope(|scope| {
            let calls = [0, 1].map(|i| {
                let body = &pair[i].1;
                scope.spawn(move || self.call(&mut fastrand::Rng::with_seed(seeds[i]), "PUT", CONFIG, body))
            });
            calls.map(|call| call.join().ok().flatten())
        });
        for (answer, (version, _)) in answers.iter().zip(&pair) {
            answer.iter().for_each(|response| self.record_response(*version, response));
        }
        let statuses = answers.map(|a| a.map_or(0, |response| response.status));
        if statuses == [200, 200] || statuses == [412, 412] {
            self.record.violation(format!("CONFIG: two changes based on r{base} were answered {statuses:?}"));
        }
    }

    /// Sends the newest configuration again without a change in between; it has to be acknowledged again.
    fn resend_newest(&self, rng: &mut fastrand::Rng) {
        let newest = self.newest_acknowledged();
        let body = {
            let observations = self.record.observations();
            observations
                .versions
                .iter()
                .rev()
                .find(|version| version.number == newest && version.acknowledged.is_some())
                .map(|version| version.body.clone())
        };
        let Some(response) = body.and_then(|body| self.call(rng, "PUT", CONFIG, &body)) else { return };
        if response.status != 200 {
            self.record.violation(format!(
                "CONFIG: r{newest}, acknowledged before, was answered {}",
                response.status
            ));
        }
    }

    /// Sends an invalid configuration, which has to be refused.
    fn send_invalid(&self, rng: &mut fastrand::Rng) {
        let base = self.newest_acknowledged();
        let mut config = configuration(base + 1, base, 0);
        match rng.u8(0..3) {
            0 => config["listeners"][0]["rules"][0]["action"]["service"] = "nobody".into(),
            1 => config["listeners"][0]["rules"][0]["action"]["timeout_s"] = 0.into(),
            _ => config["listeners"][0]["rules"][0]["match"]["path_prefix"] = "pay/".into(),
        }
        let Some(response) = self.call(rng, "PUT", CONFIG, config.to_string().as_bytes()) else { return };
        if !(400..500).contains(&response.status) {
            self.record
                .violation(format!("CONFIG: an invalid configuration was answered {}", response.status));
        }
    }

    /// Reads the configuration, which has to be as it was sent and no older than the newest one acknowledged before.
    pub fn read_configuration(&self, rng: &mut fastrand::Rng) -> Option<u64> {
        let response = self.call(rng, "GET", CONFIG, b"")?;
        let (now, mut observations) = (self.record.now(), self.record.observations());
        let acknowledged_before = observations
            .versions
            .iter()
            .filter(|version| version.acknowledged.is_some_and(|at| at < response.request_sent_at));
        let newest = acknowledged_before.map(|version| version.number).max();
        let read_number = version_of(&response.body).filter(|_| response.status == 200);
        let has_number = |version: &&Version| Some(version.number) == read_number;
        let fault = match (read_number, newest) {
            (None, Some(newest)) => {
                Some(format!("a read was answered {} though r{newest} is acknowledged", response.status))
            }
            (Some(read_number), Some(newest)) if read_number < newest => {
                Some(format!("r{read_number} was read after r{newest} was acknowledged"))
            }
            (Some(read_number), _)
                if !observations
                    .versions
                    .iter()
                    .filter(has_number)
                    .any(|version| version.body == response.body && !version.refused) =>
            {
                Some(format!("the text read for r{read_number} was never sent, or was refused"))
            }
            _ => None,
        };
        // the configuration read is in force, so it counts as acknowledged even if its call got no definitive answer
        let unsettled = observations
            .versions
            .iter_mut()
            .filter(|version| version.acknowledged.is_none() && version.body == response.body);
        unsettled.for_each(|version| version.acknowledged = Some(now));
        drop(observations);
        fault.into_iter().for_each(|fault| self.record.violation(format!("CONFIG: {fault}")));
        read_number
    }

    /// Evacuates a zone and revokes that after a while.
    fn evacuate(&self, rng: &mut fastrand::Rng) {
        let zone = ZONES[rng.usize(0..ZONES.len())].0.to_string();
        let path = format!("/lupinledge/evacuation/{zone}");
        let index = {
            let mut observations = self.record.observations();
            observations.evacuations.push(Evacuation { zone, acknowledged: None, revoked: None });
            observations.evacuations.len() - 1
        };
        let response = self.call(rng, "POST", &path, b"");
        let now = self.record.now();
        if response.is_some_and(|response| (200..300).contains(&response.status)) {
            self.record.observations().evacuations[index].acknowledged = Some(now);
        }
        let duration = bounds::EVACUATE + rng.f64() * 2.0;
        let began = Instant::now();
        while began.elapsed().as_secs_f64() < duration && !self.stop.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(50));
        }
        let now = self.record.now();
        self.record.observations().evacuations[index].revoked = Some(now);
        self.call(rng, "DELETE", &path, b"");
    }
}

/// Makes one call; `None` without a complete answer.
fn call_once(at: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<Message> {
    let mut client = Client::connect_with_timeout(at, ANSWER_TIMEOUT).ok()?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    client.send_request(&[head.as_bytes(), body].concat()).ok()?
}
