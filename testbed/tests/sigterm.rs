//! After SIGTERM during a run, the lab ends the gateways it started instead of leaving them running.

use std::io::Read;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

#[test]
fn sigterm_ends_the_run_and_all_its_gateways() {
    let scenario = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios/ci-small.toml");
    let out = std::env::temp_dir().join(format!("lupinledge-lab-stopped-{}", std::process::id()));
    let mut lab = Command::new(env!("CARGO_BIN_EXE_lupinledge-lab"))
        .args(["run", scenario, "--out"])
        .arg(&out)
        .env("RUST_LOG", "info")
        .env("NO_COLOR", "1")
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the lab");
    let mut log = String::new();
    let mut stderr = lab.stderr.take().expect("piped");
    let reader = std::thread::spawn(move || {
        let _ = stderr.read_to_string(&mut log);
        log
    });
    // The gateways are up once the load begins; ci-small has 4 s of load.
    std::thread::sleep(Duration::from_millis(2500));
    let kill = Command::new("sh").arg("-c").arg(format!("kill -TERM {}", lab.id())).status();
    assert!(kill.expect("failed to start a shell").success());
    let start = Instant::now();
    let status = lab.wait().expect("failed to wait for the lab");
    assert!(start.elapsed() < Duration::from_secs(10));
    assert_eq!(status.code(), Some(130));
    let log = reader.join().expect("the log reader panicked");
    let pids: Vec<u32> =
        log.lines().filter_map(|l| l.split("pid=").nth(1)?.split(' ').next()?.parse().ok()).collect();
    assert_eq!(pids.len(), 2, "two gateways started:\n{log}");
    for pid in pids {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        assert!(status.is_empty() || status.contains("State:\tZ"), "gateway {pid} still runs");
    }
    let _ = std::fs::remove_dir_all(out);
}
