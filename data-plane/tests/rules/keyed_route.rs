//! Configurations with routes whose requests carry an operation key.

use crate::cluster::{config, document, server_row, wait_until, Cluster};
use crate::near_server;
use crate::test_server::WELL_BEHAVED;
use serde_json::json;

/// FAULT: a gateway that did not know the kind of one route served no route at all.
#[test]
fn a_keyed_route_leaves_the_other_routes_served() {
    let server = near_server("i-1", WELL_BEHAVED);
    let cluster = Cluster::start(vec![server_row(&server, "a")]);
    let mut changed_config = config();
    changed_config["version"] = json!("r2");
    changed_config["listeners"][0]["rules"][1]["route_kind"] = json!("keyed");
    cluster.core.publish_document(2, document(2, &changed_config, &[]));
    wait_until("the configuration is read", || {
        let log = cluster.log();
        assert!(!log.contains("event=document_unread"), "{log}");
        log.contains("event=follow serial=2 ")
    });
    assert_eq!(cluster.statuses(2, "GET /read/x", "key"), [200, 200]);
    assert_eq!(cluster.statuses(1, "GET /open/x", "key"), [200]);
}
