//! Three processes of the core on loopback and hundreds of changes with one of them away: it catches up, and whoever is
//! left when the others are killed in turn says what was acknowledged last. Nothing is waited for but what the
//! processes say, or have on their disks.

mod common;

use common::{config, until, Members, CONFIG};
use lupinledge_storage::{DataDir, Disk, Stored, MAX_LOG_BYTES};
use serde_json::json;
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

/// So long an operator waits for one answer.
const CALL: Duration = Duration::from_secs(5);

struct Core {
    members: Members,
    /// What a configuration is made of, and its number.
    body: serde_json::Value,
    version: u64,
}

impl std::ops::Deref for Core {
    type Target = Members;
    fn deref(&self) -> &Members {
        &self.members
    }
}

impl std::ops::DerefMut for Core {
    fn deref_mut(&mut self) -> &mut Members {
        &mut self.members
    }
}

impl Core {
    /// Founds a core and has it take the first configuration, of so many tenants more.
    fn found(tenants: usize) -> Core {
        let mut body: serde_json::Value = serde_json::from_slice(&config::numbered(1, 0)).unwrap();
        let more = (0..tenants).map(|n| {
            json!({"name": format!("tenant-{n}"), "api_keys": [format!("{n:020x}")], "priority": 0,
                   "rate_per_s": 5, "burst": 5, "home_regions": []})
        });
        body["tenants"].as_array_mut().unwrap().extend(more);
        let mut core = Core { members: Members::found(None), body, version: 0 };
        core.change();
        core
    }

    /// Calls those that run until one speaks for the whole, following where one is sent to; also tells who that was.
    fn settled(&mut self, method: &str, body: &[u8]) -> (u16, Vec<u8>, usize) {
        let mut first = 0;
        until("a settled answer", || {
            first = (first + 1) % 3;
            self.running[first].as_ref()?;
            self.followed(first, (method, CONFIG), body, CALL)
        })
    }

    fn newest(&self) -> Vec<u8> {
        config::bytes(&self.body)
    }

    /// One change on top of the newest, acknowledged.
    fn change(&mut self) {
        let base = self.version;
        self.version += 1;
        self.body["version"] = json!(format!("r{}", self.version));
        self.body["base_version"] = if base == 0 { json!(0) } else { json!(format!("r{base}")) };
        let (status, text, _) = self.settled("PUT", &self.newest());
        assert_eq!(status, 200, "{}", String::from_utf8_lossy(&text));
    }

    /// What is read back is what was acknowledged last; tells who said so.
    fn read_back(&mut self) -> usize {
        let (status, text, holder) = self.settled("GET", b"");
        assert!((status, &text) == (200, &self.newest()), "r{} is not what is read back", self.version);
        holder
    }

    /// Whether the disk of one holds what was acknowledged last.
    fn has_it(&self, i: usize) -> Option<()> {
        let copy = self.dir.join("copy");
        let _ = fs::remove_dir_all(&copy);
        copied(&self.data(i), &copy).ok()?;
        // it goes on writing: what is copied may be torn, and is looked at again then
        let (_, Stored::State(state)) = Disk::open(DataDir(copy), MAX_LOG_BYTES).ok()? else { return None };
        let newest = self.newest();
        state.windows(newest.len()).any(|part| part == newest).then_some(())
    }
}

fn copied(from: &Path, to: &Path) -> std::io::Result<()> {
    fs::create_dir_all(to)?;
    for file in fs::read_dir(from)? {
        let file = file?;
        fs::copy(file.path(), to.join(file.file_name()))?;
    }
    Ok(())
}

#[test]
fn a_member_that_was_away_for_hundreds_of_changes_is_there_when_the_others_go() {
    let mut core = Core::found(0);
    let holder = core.read_back();
    let away = (holder + 1) % 3;
    (0..30).for_each(|_| core.change());
    core.kill(away);
    (0..250).for_each(|_| core.change());
    core.start(away, false);
    // it catches up while changes go on
    (0..20).for_each(|_| core.change());
    until("it has caught up", || core.has_it(away));
    // the holder goes, and the others in turn; each that comes back was away for changes, and is needed at once
    for _ in 0..3 {
        let holder = core.read_back();
        core.kill(holder);
        core.read_back();
        (0..5).for_each(|_| core.change());
        core.start(holder, false);
    }
    core.read_back();
    (0..3).for_each(|i| core.kill(i));
    (0..3).for_each(|i| core.start(i, false));
    core.read_back();
}

/// One whose snapshot was spoilt learns from the others; it founds nothing, whatever its settings say.
#[test]
fn a_spoilt_disk_learns() {
    let mut core = Core::found(0);
    (0..5).for_each(|_| core.change());
    let spoilt = (core.read_back() + 1) % 3;
    core.kill(spoilt);
    let at = core.data(spoilt).join("snapshot");
    let mut bytes = fs::read(&at).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x10;
    fs::write(&at, &bytes).unwrap();
    core.change();
    core.start(spoilt, true);
    core.logged(spoilt, "event=disk_spoilt");
    core.logged(spoilt, "event=member counts=false");
    core.logged(spoilt, "event=member counts=true");
    until("it has learnt", || core.has_it(spoilt));
    assert_eq!(fs::read(core.data(spoilt).join("snapshot.spoilt")).unwrap(), bytes);
    // and counts: with it alone a majority is there
    let holder = core.read_back();
    core.kill((0..3).find(|i| *i != spoilt && *i != holder).unwrap_or(holder));
    core.change();
    core.read_back();
}

/// `SIZES=0,700,7000 CHANGES=100,300 cargo test --release -p lupinledge-control-plane --test catch_up -- --ignored
/// --nocapture`: what catching up takes, by the size of the document (tenants beside the example's) and the number of
/// changes.
#[test]
#[ignore = "figures; takes as long as it is told to"]
fn figures() {
    let list = |name: &str, or: &str| -> Vec<usize> {
        let text = std::env::var(name).unwrap_or(or.into());
        text.split(',').map(|n| n.parse().expect("a number")).collect()
    };
    println!("| document, kB | changes | s a change | s till the member has it | disk, kB | peak memory, MB: member, holder |");
    for tenants in list("SIZES", "0,700,7000") {
        for changes in list("CHANGES", "100,300") {
            let mut core = Core::found(tenants);
            let holder = core.read_back();
            let away = (holder + 1) % 3;
            core.kill(away);
            let began = Instant::now();
            (0..changes).for_each(|_| core.change());
            let each = began.elapsed().as_secs_f64() / changes as f64;
            let began = Instant::now();
            core.start(away, false);
            until("it has caught up", || core.has_it(away));
            let caught_up = began.elapsed().as_secs_f64();
            let files = fs::read_dir(core.data(holder)).unwrap();
            let disk: u64 = files.map(|file| file.unwrap().metadata().unwrap().len()).sum();
            let peak = |i: usize| {
                let id = core.id(i);
                let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
                let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap().to_string();
                line.split_whitespace().nth(1).unwrap().parse::<f64>().unwrap() / 1024.0
            };
            let size = core.newest().len() / 1000;
            let (member, holder) = (peak(away), peak(holder));
            println!(
                "| {size} | {changes} | {each:.4} | {caught_up:.2} | {} | {member:.0}, {holder:.0} |",
                disk / 1000
            );
        }
    }
}
