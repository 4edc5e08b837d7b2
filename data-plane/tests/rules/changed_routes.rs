//! Routes that change while their requests are at work at servers.

use crate::cluster::{config, document, new_request, server_row, wait_until, Cluster};
use crate::test_server::{Behavior, TestServer, WELL_BEHAVED};
use lupinledge_example::http::Client;
use lupinledge_messaging::list::ListedServer;
use serde_json::{json, Value};
use std::time::Duration;
use test_case::test_case;

/// A server works for longer than after which a request that may be repeated is sent to a second one.
const WORK: Duration = Duration::from_millis(1500);

/// The default configuration as another version.
fn version(serial: u64) -> Value {
    let mut config = config();
    config["version"] = json!(format!("r{serial}"));
    config
}

/// The rules of the default configuration's first host, as a list to change.
fn rules(config: &mut Value) -> &mut Vec<Value> {
    config["listeners"][0]["rules"].as_array_mut().expect("rules")
}

/// A configuration in which the route's requests may be repeated.
fn kind_changed() -> Vec<Value> {
    let mut changed = version(2);
    rules(&mut changed)
        .iter_mut()
        .filter(|r| r["name"] == "/pay/")
        .for_each(|r| r["route_kind"] = json!("idempotent"));
    vec![changed]
}

/// Configurations that remove the route, change another one, and add one whose requests may be repeated.
fn route_replaced() -> Vec<Value> {
    let (mut removed, mut changed, mut added) = (version(2), version(3), version(4));
    for config in [&mut removed, &mut changed, &mut added] {
        rules(config).retain(|r| r["name"] != "/pay/");
    }
    for config in [&mut changed, &mut added] {
        rules(config)[0]["target_s"] = json!(0.9);
    }
    let mut new_rule = rules(&mut added)[0].clone();
    (new_rule["name"], new_rule["match"]["path_prefix"]) = (json!("/new/"), json!("/new/"));
    rules(&mut added).push(new_rule);
    vec![removed, changed, added]
}

/// TWICE: a request that may run once runs once, although its route becomes repeatable, or is removed and
/// another one added, while a server works on it.
#[test_case(kind_changed(); "the route's kind is changed")]
#[test_case(route_replaced(); "the route is removed and another one added")]
fn open_requests_keep_the_kind_of_their_route(configs: Vec<Value>) {
    let servers = ["i-1", "i-2", "i-3"].map(|id| TestServer::start(id, "mead-1", Behavior::Answer(WORK)));
    let cluster = Cluster::start(servers.iter().map(|server| server_row(server, "a")).collect());
    let received = || servers.iter().map(|server| server.received().len()).sum::<usize>();
    let status = std::thread::scope(|threads| {
        let client = threads.spawn(|| cluster.ask(&new_request("POST /pay/x", "key", "", "").1).status());
        wait_until("a server has the request", || received() == 1);
        for (serial, config) in (2..).zip(&configs) {
            cluster.apply_document(document(serial, config, &[]));
        }
        client.join().expect("the client")
    });
    assert_eq!((status, received()), (200, 1), "its status, and at how many servers it ran");
}

/// TWICE: a request whose route gets another kind while its body is read is not sent under the new kind. The
/// refusal promises that it has not run, and the next try goes by the new kind.
#[test]
fn requests_read_under_another_kind_are_not_sent() {
    let server = TestServer::start("i-1", "mead-1", WELL_BEHAVED);
    let cluster = Cluster::start(vec![server_row(&server, "a")]);
    let (_, text) = new_request("POST /pay/x", "key", "", "body");
    let (head, body) = text.split_at(text.len() - "body".len());
    let mut client = Client::connect(cluster.client_address).unwrap();
    let taken_before = cluster.metric("taken");
    client.write(head.as_bytes()).unwrap();
    // the head has been read once a later request on another connection was answered
    assert_eq!(cluster.statuses(1, "GET /read/x", "key"), [200]);
    cluster.apply_document(document(2, &kind_changed()[0], &[]));
    client.write(body.as_bytes()).unwrap();
    let answer = client.read_response().unwrap().expect("an answer");
    assert_eq!((answer.status(), cluster.metric("taken")), (503, taken_before.map(|taken| taken + 1)));
    assert_eq!(server.received().len(), 1, "only the other request");
    assert_eq!(cluster.statuses(1, "POST /pay/x", "key"), [200]);
}

/// DRAIN: requests that wait in the pool of a service which the configuration no longer has are not sent to a server that
/// leaves meanwhile.
#[test]
fn waiting_requests_of_a_removed_service_do_not_reach_draining_servers() {
    // ample for the changes below, and short enough that others wait for it
    let work = Duration::from_secs(2);
    let clients = 16;
    let server = TestServer::start("i-1", "mead-1", Behavior::Answer(work));
    let row = || ListedServer { slots: 1, ..server_row(&server, "a") };
    let mut config = config();
    for rule in rules(&mut config) {
        (rule["target_s"], rule["action"]["timeout_s"]) = (json!(8), json!(10));
    }
    let cluster = Cluster::with_config(vec![row()], &config, json!({}));
    let taken_before = cluster.metric("taken").expect("a metric");
    let (statuses, sent) = std::thread::scope(|threads| {
        let ask = || cluster.ask(&new_request("POST /pay/x", "key", "", "").1).status();
        let clients: Vec<_> = (0..clients).map(|_| threads.spawn(ask)).collect();
        let all_taken = Some(taken_before + clients.len() as u64);
        wait_until("all requests are taken", || cluster.metric("taken") == all_taken);
        let mut without_service = version(2);
        rules(&mut without_service).iter_mut().for_each(|rule| rule["action"]["service"] = json!("b"));
        without_service["clusters"].as_array_mut().expect("clusters").remove(0);
        cluster.apply_document(document(2, &without_service, &[]));
        cluster.apply_list(vec![ListedServer { draining: true, ..row() }]);
        // those that were sent before the list have arrived
        std::thread::sleep(Duration::from_millis(500));
        let sent = server.received().len();
        (clients.into_iter().map(|client| client.join().expect("a client")).collect::<Vec<_>>(), sent)
    });
    assert!(sent < clients, "some wait");
    assert_eq!(server.received().len(), sent, "{statuses:?}");
}
