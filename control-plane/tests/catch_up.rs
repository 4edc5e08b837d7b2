//! Hundreds of changes on three core processes on loopback while one member is down: it catches up, and after the
//! others are killed in turn, the remaining members return the last acknowledged change. The tests wait only for what
//! the processes report or have on disk.

mod common;

use common::{config, wait_for, Cluster, CONFIG_PATH};
use lupinledge_storage::{DataDir, Disk, Stored, MAX_LOG_BYTES};
use serde_json::json;
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time limit of an operator for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A core, and the last change made to it.
struct Core {
    members: Cluster,
    /// The last configuration, and the number of its version.
    body: serde_json::Value,
    version: u64,
}

impl std::ops::Deref for Core {
    type Target = Cluster;
    fn deref(&self) -> &Cluster {
        &self.members
    }
}

impl std::ops::DerefMut for Core {
    fn deref_mut(&mut self) -> &mut Cluster {
        &mut self.members
    }
}

impl Core {
    /// Starts a core and puts the first configuration, with this many additional tenants.
    fn start_configured(tenants: usize) -> Core {
        let mut body: serde_json::Value = serde_json::from_slice(&config::numbered(1, 0)).unwrap();
        let more = (0..tenants).map(|n| {
            json!({"name": format!("tenant-{n}"), "api_keys": [format!("{n:020x}")], "priority": 0,
                   "rate_per_s": 5, "burst": 5, "home_regions": []})
        });
        body["tenants"].as_array_mut().unwrap().extend(more);
        let mut core = Core { members: Cluster::start_founders(None), body, version: 0 };
        core.put_next();
        core
    }

    /// Repeats a request to the running members, following redirects, until the leader answers; also returns which
    /// member that was.
    fn settled_answer(&mut self, method: &str, body: &[u8]) -> (u16, Vec<u8>, usize) {
        let mut first = 0;
        wait_for("an answer of the leader", || {
            first = (first + 1) % 3;
            self.running[first].as_ref()?;
            self.request_following(first, (method, CONFIG_PATH), body, ANSWER_TIMEOUT)
        })
    }

    /// The bytes of the last configuration.
    fn newest(&self) -> Vec<u8> {
        config::bytes(&self.body)
    }

    /// Puts the next version of the configuration, and waits for the acknowledgement.
    fn put_next(&mut self) {
        let base = self.version;
        self.version += 1;
        self.body["version"] = json!(format!("r{}", self.version));
        self.body["base_version"] = if base == 0 { json!(0) } else { json!(format!("r{base}")) };
        let (status, text, _) = self.settled_answer("PUT", &self.newest());
        assert_eq!(status, 200, "{}", String::from_utf8_lossy(&text));
    }

    /// Checks that a read returns the last acknowledged configuration; returns which member answered.
    fn read_back(&mut self) -> usize {
        let (status, text, leader) = self.settled_answer("GET", b"");
        assert!((status, &text) == (200, &self.newest()), "the read does not return r{}", self.version);
        leader
    }

    /// `Some` if the last acknowledged configuration is on the disk of a member.
    fn has_newest_on_disk(&self, i: usize) -> Option<()> {
        let copy = self.dir.join("copy");
        let _ = fs::remove_dir_all(&copy);
        copy_folder(&self.data_dir(i), &copy).ok()?;
        // the member continues to write, so that the copy may be torn; the caller retries then
        let (_, Stored::State(state)) = Disk::open(DataDir(copy), MAX_LOG_BYTES).ok()? else { return None };
        let newest = self.newest();
        state.windows(newest.len()).any(|part| part == newest).then_some(())
    }
}

/// Copies the files of a folder.
fn copy_folder(from: &Path, to: &Path) -> std::io::Result<()> {
    fs::create_dir_all(to)?;
    for file in fs::read_dir(from)? {
        let file = file?;
        fs::copy(file.path(), to.join(file.file_name()))?;
    }
    Ok(())
}

#[test]
fn a_member_catches_up_after_hundreds_of_changes_and_replaces_the_others() {
    let mut core = Core::start_configured(0);
    let leader = core.read_back();
    let away = (leader + 1) % 3;
    (0..30).for_each(|_| core.put_next());
    core.kill(away);
    (0..250).for_each(|_| core.put_next());
    core.start(away, false);
    // the member catches up while changes continue
    (0..20).for_each(|_| core.put_next());
    wait_for("the member to catch up", || core.has_newest_on_disk(away));
    // the leader is killed, then the others in turn; each that restarts has missed changes, and is needed at once
    for _ in 0..3 {
        let leader = core.read_back();
        core.kill(leader);
        core.read_back();
        (0..5).for_each(|_| core.put_next());
        core.start(leader, false);
    }
    core.read_back();
    (0..3).for_each(|i| core.kill(i));
    (0..3).for_each(|i| core.start(i, false));
    core.read_back();
}

/// A member with a corrupt snapshot learns from the others; it does not bootstrap a core, even if its settings say so.
#[test]
fn a_member_with_a_corrupt_snapshot_learns() {
    let mut core = Core::start_configured(0);
    (0..5).for_each(|_| core.put_next());
    let corrupted = (core.read_back() + 1) % 3;
    core.kill(corrupted);
    let at = core.data_dir(corrupted).join("snapshot");
    let mut bytes = fs::read(&at).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x10;
    fs::write(&at, &bytes).unwrap();
    core.put_next();
    core.start(corrupted, true);
    core.wait_for_log(corrupted, "event=disk_spoilt");
    core.wait_for_log(corrupted, "event=member counts=false");
    core.wait_for_log(corrupted, "event=member counts=true");
    wait_for("the member to learn", || core.has_newest_on_disk(corrupted));
    assert_eq!(fs::read(core.data_dir(corrupted).join("snapshot.spoilt")).unwrap(), bytes);
    // the member votes again: the leader needs it for a majority
    let leader = core.read_back();
    core.kill((0..3).find(|i| *i != corrupted && *i != leader).unwrap_or(leader));
    core.put_next();
    core.read_back();
}

/// `SIZES=0,700,7000 CHANGES=100,300 cargo test --release -p lupinledge-control-plane --test catch_up -- --ignored
/// --nocapture`: measures the cost of catching up, by the size of the document (tenants in addition to the example's)
/// and the number of changes.
#[test]
#[ignore = "prints measurements; its duration depends on its settings"]
fn figures() {
    let list = |name: &str, or: &str| -> Vec<usize> {
        let text = std::env::var(name).unwrap_or(or.into());
        text.split(',').map(|n| n.parse().expect("a number")).collect()
    };
    println!("| document, kB | changes | s a change | s till the member has it | disk, kB | peak memory, MB: member, holder |");
    for tenants in list("SIZES", "0,700,7000") {
        for changes in list("CHANGES", "100,300") {
            let mut core = Core::start_configured(tenants);
            let leader = core.read_back();
            let away = (leader + 1) % 3;
            core.kill(away);
            let start = Instant::now();
            (0..changes).for_each(|_| core.put_next());
            let each = start.elapsed().as_secs_f64() / changes as f64;
            let start = Instant::now();
            core.start(away, false);
            wait_for("the member to catch up", || core.has_newest_on_disk(away));
            let caught_up = start.elapsed().as_secs_f64();
            let files = fs::read_dir(core.data_dir(leader)).unwrap();
            let disk: u64 = files.map(|file| file.unwrap().metadata().unwrap().len()).sum();
            let peak = |i: usize| {
                let id = core.process_id(i);
                let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
                let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap().to_string();
                line.split_whitespace().nth(1).unwrap().parse::<f64>().unwrap() / 1024.0
            };
            let size = core.newest().len() / 1000;
            let (member, leader) = (peak(away), peak(leader));
            println!(
                "| {size} | {changes} | {each:.4} | {caught_up:.2} | {} | {member:.0}, {leader:.0} |",
                disk / 1000
            );
        }
    }
}
