//! Planned replacement of the leader with core processes on loopback: it exits once it has been removed from the
//! members, another member leads, and the next loss is tolerated at once.

mod common;

use common::{config, wait_for, Cluster, CONFIG_PATH};
use std::time::Duration;

/// Time limit for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Repeats a request to these members until the leader answers; also returns which member that was.
fn settled_answer(core: &Cluster, among: &[usize], method: &str, body: &[u8]) -> (u16, Vec<u8>, usize) {
    let mut attempt = 0;
    wait_for("an answer of the leader", || {
        attempt += 1;
        core.request_following(among[attempt % among.len()], (method, CONFIG_PATH), body, ANSWER_TIMEOUT)
    })
}

#[test]
fn a_leader_is_replaced_and_the_next_loss_is_tolerated() {
    let mut core = Cluster::start_founders(None);
    assert_eq!(settled_answer(&core, &[0, 1, 2], "PUT", &config::numbered(7, 0)).0, 200);
    core.start(3, false);
    core.wait_for_log(3, "event=member counts=true");
    let (_, _, leader) = settled_answer(&core, &[0, 1, 2, 3], "GET", b"");
    core.signal(leader, "-TERM");
    let status =
        wait_for("the leader to exit", || core.running[leader].as_mut().unwrap().try_wait().unwrap());
    assert!(status.success(), "{status}");
    core.wait_for_log(leader, "event=left in_time=true counts=false");
    let rest: Vec<usize> = (0..4).filter(|i| *i != leader).collect();
    let (code, body, next) = settled_answer(&core, &rest, "GET", b"");
    assert_eq!((code, body), (200, config::numbered(7, 0)));
    assert!(rest.contains(&next));
    // two of three members are a majority; two of four would be none, if the leader that left were still a member
    core.kill(next);
    let remaining: Vec<usize> = rest.into_iter().filter(|i| *i != next).collect();
    assert_eq!(settled_answer(&core, &remaining, "PUT", &config::numbered(8, 7)).0, 200);
    assert_eq!(settled_answer(&core, &remaining, "GET", b"").1, config::numbered(8, 7));
}
