//! Disaster recovery with core processes on loopback: of three members two are lost, one with its disk; a new core is
//! formed from the remaining member, and a lost and a new machine join it.

mod common;

use common::{config, wait_for, Cluster, CONFIG_PATH};
use std::fs;
use std::process::{Command, Output};
use std::time::Duration;

/// Time limit for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a command of the program with the control addresses of these members.
fn run_command(core: &Cluster, name: &str, arguments: &[&str], members: &[usize]) -> Output {
    let mut program = Command::new(env!("CARGO_BIN_EXE_lupinledge-hive"));
    program.arg(name).args(arguments).args(members.iter().map(|&i| core.control_address(i).to_string()));
    program.output().unwrap()
}

/// Everything that a command printed.
fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&[&output.stdout[..], &output.stderr[..]].concat()).into_owned()
}

/// The newest state of a member, from the `core` command.
fn newest_state(core: &Cluster, member: usize) -> String {
    let shown = output_text(&run_command(core, "core", &[], &[member]));
    let row = shown.lines().nth(1).unwrap_or_else(|| panic!("{shown}")).to_string();
    row.split_whitespace().nth(2).unwrap_or_else(|| panic!("{row}")).to_string()
}

/// Puts a version of the configuration.
fn put(core: &Cluster, version: u64) {
    let body = config::numbered(version, version - 1);
    let mut first = 0;
    wait_for("a change to be committed", || {
        first = (first + 1) % 4;
        let answer = core.request_following(first, ("PUT", CONFIG_PATH), &body, ANSWER_TIMEOUT);
        answer.map(|(status, text, _)| assert_eq!(status, 200, "{}", String::from_utf8_lossy(&text)))
    });
}

/// Reads the configuration.
fn read(core: &Cluster) -> Vec<u8> {
    let mut first = 0;
    wait_for("a read", || {
        first = (first + 1) % 4;
        core.request_following(first, ("GET", CONFIG_PATH), b"", ANSWER_TIMEOUT).map(|(_, text, _)| text)
    })
}

#[test]
fn a_new_core_is_formed_from_the_remaining_member() {
    let mut core = Cluster::start_founders(None);
    put(&core, 1);
    put(&core, 2);
    let state = newest_state(&core, 0);

    // no new core is formed while a majority answers
    let refused = run_command(&core, "found", &[&state], &[0, 1, 2]);
    assert!(!refused.status.success());
    assert!(output_text(&refused).contains("majority"), "{}", output_text(&refused));

    // two members are lost; one of them still has its disk, which returns later
    core.kill(1);
    core.kill(2);
    fs::remove_dir_all(core.data_dir(2)).unwrap();
    let state = wait_for("the remaining member to lose its majority", || {
        let state = newest_state(&core, 0);
        (core.request(core.control_address(0), ("GET", CONFIG_PATH), b"", ANSWER_TIMEOUT)?.status() == 503)
            .then_some(state)
    });

    // a state other than that of the remaining member is refused
    let other = format!("{state}1");
    let refused = run_command(&core, "found", &[&other], &[0, 1, 2]);
    assert!(!refused.status.success() && output_text(&refused).contains(&state), "{}", output_text(&refused));

    // right after the loss the member itself still refuses, as the others might return; later it accepts
    wait_for("the new core", || {
        let founded = run_command(&core, "found", &[&state], &[0, 1, 2]);
        let text = output_text(&founded);
        let soon = text.contains("majority") || text.contains("try again");
        assert!(founded.status.success() || soon, "{text}");
        founded.status.success().then_some(())
    });
    assert_eq!(read(&core), config::numbered(2, 1));

    // the member with the old disk discards its state and learns; so does a new machine
    core.start(1, false);
    core.start(3, false);
    core.wait_for_log(1, "event=member counts=true");
    core.wait_for_log(3, "event=member counts=true");
    put(&core, 3);
    core.kill(0);
    assert_eq!(read(&core), config::numbered(3, 2));
}
