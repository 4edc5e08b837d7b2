//! The made-up configurations and lists are what the system takes, at the size that was asked for.

use lupinledge_drone::size::Size;
use lupinledge_messaging::list::List;
use lupinledge_propolis::{Document, Tables, Verdict};

fn small() -> Size {
    Size { gateways: 3, servers: 40, services: 5, routes: 23, tenants: 70, regions: 2, zones: 7 }
}

#[test]
fn configurations_are_taken_one_after_another() {
    let (size, mut document) = (small(), Document::default());
    for version in 1..=30 {
        let Verdict::Take(next) = document.put(&size.config(version, version - 1)) else {
            panic!("version {version} was refused")
        };
        document = next;
        let tables = Tables::new(&document, &size.places()).expect("tables");
        let counts = [tables.routes().len(), tables.tenants().len(), tables.services().len()];
        assert_eq!(counts, [23, 70, 5], "version {version}");
    }
}

#[test]
fn lists_have_all_servers_and_change_one_at_a_time() {
    let size = small();
    let drains = |turn| size.rows(turn).iter().filter(|r| r.draining).count();
    assert_eq!([0, 1, 2, 3].map(drains), [0, 1, 0, 1]);
    assert_ne!(size.rows(1), size.rows(3));
    let list = List { number: (1, 1), rows: size.rows(1) };
    assert_eq!(List::decode(&list.encode()), Some(list));
    let page = size.page(1);
    let rows = page["instances"].as_array().expect("rows");
    assert_eq!(rows.iter().filter(|r| r["state"] == "draining").count(), 1);
    assert_eq!((rows.len(), size.places().len()), (40, 7));
}
