//! HTTP answers of a core member that is isolated: the other two are paused, which it can not tell from a network
//! partition. The tests wait only for what the processes report themselves.

mod common;

use common::{config, wait_for, Cluster, CONFIG_PATH, WAIT_LIMIT};
use lupinledge_example::http::Message;
use serde_json::{json, Value};

/// Requests that only a leader with a majority may answer.
const ORDERS: [(&str, &str); 4] = [
    ("GET", CONFIG_PATH),
    ("PUT", CONFIG_PATH),
    ("POST", "/lupinledge/evacuation/tartu-ropka"),
    ("DELETE", "/lupinledge/evacuation/harju-kadaka"),
];

/// A core with the first configuration.
struct Core(Cluster);

impl std::ops::Deref for Core {
    type Target = Cluster;
    fn deref(&self) -> &Cluster {
        &self.0
    }
}

impl Core {
    /// Starts a core and puts the first configuration.
    fn start_configured() -> Core {
        let core = Core(Cluster::start_founders(None));
        core.settled_answer("PUT", &config::numbered(7, 0));
        core
    }

    /// Sends one request to a member, without following redirects.
    fn send(&self, i: usize, method: &str, path: &str, body: &[u8]) -> Message {
        self.request(self.control_address(i), (method, path), body, WAIT_LIMIT).expect("an answer")
    }

    /// Repeats a request to all members until one answers with 200; returns the body.
    fn settled_answer(&self, method: &str, body: &[u8]) -> Vec<u8> {
        let all = || (0..3).map(|i| self.send(i, method, CONFIG_PATH, body)).find(|a| a.status() == 200);
        wait_for("an answer of the leader", all).body
    }

    /// The node list of a member.
    fn nodes(&self, i: usize) -> Value {
        serde_json::from_slice(&self.send(i, "GET", "/lupinledge/nodes", b"").body).unwrap()
    }

    /// The leader that all three members agree on.
    fn leader(&self) -> usize {
        wait_for("one leader on all members", || {
            let answers: Vec<Value> = (0..3).map(|i| self.nodes(i)["holder"].clone()).collect();
            let all = answers.iter().all(|leader| *leader == answers[0]);
            all.then(|| (0..3).find(|i| answers[0] == json!(self.ips[*i])))?
        })
    }

    /// Sends a signal, and waits until the process is stopped or running.
    fn signal_and_wait(&self, i: usize, name: &str, stopped: bool) {
        let id = self.process_id(i);
        self.signal(i, name);
        wait_for(name, || {
            let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
            let is_stopped = stat.rsplit_once(") ")?.1.starts_with('T');
            (is_stopped == stopped).then_some(())
        });
    }
}

/// A member without a majority answers no request for the core, whether it was the leader or not. At first it may still
/// redirect callers to the recent leader; then it sends a retry time, and its node list shows that it is isolated.
fn check_isolated_member(choose: impl Fn(usize) -> usize) {
    let core = Core::start_configured();
    let (config_7, config_8) = (config::numbered(7, 0), config::numbered(8, 7));
    let isolated = choose(core.leader());
    let others = [(isolated + 1) % 3, (isolated + 2) % 3];
    others.iter().for_each(|i| core.signal_and_wait(*i, "-STOP", true));
    let bodies = [&b""[..], &config_8, b"", b""];
    // a 412, or a 200 for a repeated change, would also be an answer for the core
    let is_redirected = |path: &str, method: &str, body: &[u8]| {
        let answer = core.send(isolated, method, path, body);
        match answer.status() {
            503 => {
                let wait = answer.header("retry-after").and_then(|seconds| seconds.parse::<f64>().ok());
                assert!(
                    wait.is_some_and(|seconds| seconds > 0.0 && seconds <= 1.0),
                    "{method} {path}: {wait:?}"
                );
                false
            }
            307 => {
                let target = others.map(|other| format!("http://{}{path}", core.control_address(other)));
                assert!(target.iter().any(|target| answer.header("location") == Some(target)));
                true
            }
            _ => panic!("{method} {path}: {}", answer.start_line),
        }
    };
    let round = || {
        let orders =
            ORDERS.iter().zip(bodies).map(|((method, path), body)| is_redirected(path, method, body));
        let again = [
            is_redirected(CONFIG_PATH, "PUT", &config_7),
            is_redirected(CONFIG_PATH, "PUT", &config::numbered(9, 0)),
        ];
        orders.chain(again).filter(|redirected| *redirected).count()
    };
    wait_for("the member to detect its isolation", || {
        round();
        let answers = core.nodes(isolated);
        let gone = |n: &&Value| n["standing"] != json!("alive");
        let both_silent = answers["nodes"].as_array()?.iter().filter(gone).count() == 2;
        (answers["holder"].is_null() && both_silent).then_some(())
    });
    assert_eq!(round(), 0, "callers are redirected to a leader that has been silent for long");
    // without a live gateway the directory answers 503, not an empty list
    let resolved =
        core.send(isolated, "GET", "/lupinledge/resolve?region=harju&zone=harju-kadaka&name=a.b", b"");
    assert_eq!((resolved.status(), resolved.header("retry-after").is_some()), (503, true));

    others.iter().for_each(|i| core.signal_and_wait(*i, "-CONT", false));
    // changes sent meanwhile may or may not be committed; from now on all members give the same answer
    let now = core.settled_answer("GET", b"");
    assert!(now == config_7 || now == config_8);
    core.settled_answer("PUT", &config_8);
    assert_eq!(core.settled_answer("GET", b""), config_8);
}

#[test]
fn an_isolated_leader_answers_no_requests() {
    check_isolated_member(|leader| leader);
}

#[test]
fn an_isolated_follower_answers_no_requests() {
    check_isolated_member(|leader| (leader + 1) % 3);
}
