//! A data folder has one owner: real processes on loopback, two of them on one folder, and one on a copy.

mod common;

use common::{until, Members};
use std::fs;
use std::path::Path;

/// A core of three that has agreed on its members.
fn core() -> Members {
    let members = Members::found(None);
    (0..3).for_each(|i| members.logged(i, "event=member counts=true"));
    members
}

fn copy(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
    }
}

#[test]
fn a_second_process_on_a_folder_ends() {
    let mut core = core();
    let shared = core.data(0);
    core.start_on(3, false, &shared);
    let code = until("the second process ends", || core.running[3].as_mut()?.try_wait().ok()?);
    assert!(!code.success(), "{code}");
    let log = fs::read_to_string(core.log(3)).unwrap();
    let owner = core.ips[0].to_string();
    assert!(log.contains(&*shared.to_string_lossy()) && log.contains(&owner), "{log}");
    // nor was it ever one of those that count
    for i in 0..3 {
        assert!(!fs::read_to_string(core.log(i)).unwrap().contains("event=members count=4"));
    }
    assert!(core.runs(0));
}

#[test]
fn a_folder_is_had_once_its_owner_has_ended() {
    let mut core = core();
    let shared = core.data(0);
    core.start_on(3, false, &shared);
    core.logged(3, "event=folder_in_use");
    core.kill(0);
    core.logged(3, "event=started");
}

#[test]
fn a_copied_folder_counts_only_once_it_has_learnt() {
    let mut core = core();
    core.kill(0);
    copy(&core.data(0), &core.data(3));
    core.start(0, false);
    core.logged(0, "event=started");
    core.start(3, false);
    core.logged(3, "event=folder_of_another");
    core.logged(3, "empty=true");
    // what it needs to count it has learnt from the others
    core.logged(3, "event=member counts=true");
}
