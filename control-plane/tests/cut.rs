//! What one member of the core answers over HTTP while it hears nobody: the other two stand still, as seen from it no
//! different from a cut. Nothing is waited for but what the processes themselves say.

mod common;

use common::{config, until, Members, CONFIG, LONG};
use lupinledge_example::http::Message;
use serde_json::{json, Value};

const ORDERS: [(&str, &str); 4] = [
    ("GET", CONFIG),
    ("PUT", CONFIG),
    ("POST", "/lupinledge/evacuation/tartu-ropka"),
    ("DELETE", "/lupinledge/evacuation/harju-kadaka"),
];

struct Core(Members);

impl std::ops::Deref for Core {
    type Target = Members;
    fn deref(&self) -> &Members {
        &self.0
    }
}

impl Core {
    /// Founds a core and has it take the first configuration.
    fn found() -> Core {
        let core = Core(Members::found(None));
        core.settled("PUT", &config::numbered(7, 0));
        core
    }

    /// One call at one member, without following.
    fn call(&self, i: usize, method: &str, path: &str, body: &[u8]) -> Message {
        self.ask(self.at(i), (method, path), body, LONG).expect("an answer")
    }

    /// Calls at all until one speaks for the whole; what it says.
    fn settled(&self, method: &str, body: &[u8]) -> Vec<u8> {
        let all = || (0..3).map(|i| self.call(i, method, CONFIG, body)).find(|a| a.status() == 200);
        until("a settled answer", all).body
    }

    /// What a member tells of the processes.
    fn nodes(&self, i: usize) -> Value {
        serde_json::from_slice(&self.call(i, "GET", "/lupinledge/nodes", b"").body).unwrap()
    }

    /// Who holds the duty as all three see it.
    fn holder(&self) -> usize {
        until("all know one holder", || {
            let told: Vec<Value> = (0..3).map(|i| self.nodes(i)["holder"].clone()).collect();
            let all = told.iter().all(|h| *h == told[0]);
            all.then(|| (0..3).find(|i| told[0] == json!(self.ips[*i])))?
        })
    }

    /// Sends a signal, and waits until the process is in that state.
    fn stands(&self, i: usize, name: &str, stopped: bool) {
        let id = self.id(i);
        self.signal(i, name);
        until(name, || {
            let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
            let state = stat.rsplit_once(") ")?.1.starts_with('T');
            (state == stopped).then_some(())
        });
    }
}

/// Who hears no majority says nothing for the whole, the holder as little as another one; first it may send callers to
/// the holder that it heard a moment ago, then it says when to come back, and tells those who look that it is alone.
fn alone(which: impl Fn(usize) -> usize) {
    let core = Core::found();
    let (seven, eight) = (config::numbered(7, 0), config::numbered(8, 7));
    let one = which(core.holder());
    let others = [(one + 1) % 3, (one + 2) % 3];
    others.iter().for_each(|i| core.stands(*i, "-STOP", true));
    let bodies = [&b""[..], &eight, b"", b""];
    // 412 and the 200 of what was taken before speak for the whole as well
    let ask = |path: &str, method: &str, body: &[u8]| {
        let answer = core.call(one, method, path, body);
        match answer.status() {
            503 => {
                let wait = answer.header("retry-after").and_then(|w| w.parse::<f64>().ok());
                assert!(wait.is_some_and(|w| w > 0.0 && w <= 1.0), "{method} {path}: {wait:?}");
                false
            }
            307 => {
                let to = others.map(|other| format!("http://{}{path}", core.at(other)));
                assert!(to.iter().any(|to| answer.header("location") == Some(to)));
                true
            }
            _ => panic!("{method} {path}: {}", answer.start_line),
        }
    };
    let round = || {
        let orders = ORDERS.iter().zip(bodies).map(|((method, path), body)| ask(path, method, body));
        let again = [ask(CONFIG, "PUT", &seven), ask(CONFIG, "PUT", &config::numbered(9, 0))];
        orders.chain(again).filter(|on| *on).count()
    };
    until("it knows that it is alone", || {
        round();
        let told = core.nodes(one);
        let gone = |n: &&Value| n["standing"] != json!("alive");
        let silent = told["nodes"].as_array()?.iter().filter(gone).count() == 2;
        (told["holder"].is_null() && silent).then_some(())
    });
    assert_eq!(round(), 0, "callers are sent to a holder that was not heard for long");
    // nobody to go to: no addresses are told rather than none that live
    let where_to = core.call(one, "GET", "/lupinledge/resolve?region=harju&zone=harju-kadaka&name=a.b", b"");
    assert_eq!((where_to.status(), where_to.header("retry-after").is_some()), (503, true));

    others.iter().for_each(|i| core.stands(*i, "-CONT", false));
    // what was sent meanwhile was answered by nobody; all say the same from here on
    let now = core.settled("GET", b"");
    assert!(now == seven || now == eight);
    core.settled("PUT", &eight);
    assert_eq!(core.settled("GET", b""), eight);
}

#[test]
fn a_holder_alone() {
    alone(|holder| holder);
}

#[test]
fn another_one_alone() {
    alone(|holder| (holder + 1) % 3);
}
