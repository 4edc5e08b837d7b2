//! Routes whose requests bear an operation key.

use crate::fleet::{config, document, row, until, Fleet};
use crate::srv;
use crate::srv::GOOD;
use serde_json::json;

/// FAULT: with one route of a kind that the gateway did not know, it served none.
#[test]
fn a_keyed_route_leaves_the_other_routes_served() {
    let server = srv("i-1", GOOD);
    let fleet = Fleet::start(vec![row(&server, "a")]);
    let mut keyed = config();
    keyed["version"] = json!("r2");
    keyed["listeners"][0]["rules"][1]["route_kind"] = json!("keyed");
    fleet.hive.document(2, document(2, &keyed, &[]));
    until("the configuration is read", || {
        let log = fleet.log();
        assert!(!log.contains("event=document_unread"), "{log}");
        log.contains("event=follow serial=2 ")
    });
    assert_eq!(fleet.statuses(2, "GET /read/x", "key"), [200, 200]);
    assert_eq!(fleet.statuses(1, "GET /open/x", "key"), [200]);
}
