//! Which ids of requests count as new.

use lupinledge_proxy::ids::{Ids, MOST};

#[test]
fn forgotten_after_two_spans_at_most() {
    let mut ids = Ids::default();
    assert!(ids.enter(b"a", 10.0, 4.0) && !ids.enter(b"a", 13.0, 4.0));
    assert!(!ids.enter(b"a", 15.0, 4.0), "still in the older set");
    assert!(ids.enter(b"b", 19.5, 4.0) && ids.enter(b"a", 19.6, 4.0));
    for i in 0..10 * MOST as u64 {
        assert!(ids.enter(&i.to_le_bytes(), 20.0, 4.0) && ids.kept() <= 2 * MOST);
    }
}

#[test]
fn new_again_once_forgotten() {
    let mut ids = Ids::default();
    assert!(ids.enter(b"a", 1.0, 4.0) && ids.enter(b"b", 1.0, 4.0));
    assert!(!ids.enter(b"a", 5.5, 4.0), "it went to the older set");
    ids.forget(b"a");
    assert!(ids.enter(b"a", 5.6, 4.0) && !ids.enter(b"b", 5.6, 4.0));
}
