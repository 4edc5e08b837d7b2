//! A rehearsal with real processes of the way out after losses beyond what is borne: of three members two are lost with
//! their disks, the core is founded anew from the one that is left, and what was lost comes back.

mod common;

use common::{config, until, Members, CONFIG};
use std::fs;
use std::process::{Command, Output};
use std::time::Duration;

const CALL: Duration = Duration::from_secs(5);

/// Runs a command of the program at these members' control addresses.
fn command(core: &Members, name: &str, arguments: &[&str], members: &[usize]) -> Output {
    let mut program = Command::new(env!("CARGO_BIN_EXE_lupinledge-hive"));
    program.arg(name).args(arguments).args(members.iter().map(|&i| core.at(i).to_string()));
    program.output().unwrap()
}

fn printed(output: &Output) -> String {
    String::from_utf8_lossy(&[&output.stdout[..], &output.stderr[..]].concat()).into_owned()
}

/// The newest state that a member tells.
fn newest(core: &Members, member: usize) -> String {
    let shown = printed(&command(core, "core", &[], &[member]));
    let row = shown.lines().nth(1).unwrap_or_else(|| panic!("{shown}")).to_string();
    row.split_whitespace().nth(2).unwrap_or_else(|| panic!("{row}")).to_string()
}

fn put(core: &Members, version: u64) {
    let body = config::numbered(version, version - 1);
    let mut first = 0;
    until("a change is taken", || {
        first = (first + 1) % 4;
        let answer = core.followed(first, ("PUT", CONFIG), &body, CALL);
        answer.map(|(status, text, _)| assert_eq!(status, 200, "{}", String::from_utf8_lossy(&text)))
    });
}

fn read(core: &Members) -> Vec<u8> {
    let mut first = 0;
    until("a read-back", || {
        first = (first + 1) % 4;
        core.followed(first, ("GET", CONFIG), b"", CALL).map(|(_, text, _)| text)
    })
}

#[test]
fn the_core_is_founded_anew_from_the_one_that_is_left() {
    let mut core = Members::found(None);
    put(&core, 1);
    put(&core, 2);
    let held = newest(&core, 0);

    // while a majority answers nothing is founded
    let refused = command(&core, "found", &[&held], &[0, 1, 2]);
    assert!(!refused.status.success());
    assert!(printed(&refused).contains("majority"), "{}", printed(&refused));

    // two are lost; one of them has its disk, as turns out later
    core.kill(1);
    core.kill(2);
    fs::remove_dir_all(core.data(2)).unwrap();
    let held = until("the one that is left knows the newest", || {
        let held = newest(&core, 0);
        (core.ask(core.at(0), ("GET", CONFIG), b"", CALL)?.status() == 503).then_some(held)
    });

    // another state than the one that it holds is not begun from
    let other = format!("{held}1");
    let refused = command(&core, "found", &[&other], &[0, 1, 2]);
    assert!(!refused.status.success() && printed(&refused).contains(&held), "{}", printed(&refused));

    // right after the loss they may be back at once, says the member itself; later it is done
    until("it is founded anew", || {
        let founded = command(&core, "found", &[&held], &[0, 1, 2]);
        let text = printed(&founded);
        let soon = text.contains("majority") || text.contains("ask again");
        assert!(founded.status.success() || soon, "{text}");
        founded.status.success().then_some(())
    });
    assert_eq!(read(&core), config::numbered(2, 1));

    // the one with the old disk forgets what it holds, and learns; so does a new machine
    core.start(1, false);
    core.start(3, false);
    core.logged(1, "event=member counts=true");
    core.logged(3, "event=member counts=true");
    put(&core, 3);
    core.kill(0);
    assert_eq!(read(&core), config::numbered(3, 2));
}
