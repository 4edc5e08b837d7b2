//! Which request ids count as new.

use lupinledge_proxy::ids::{RecentIds, MAX_IDS};

#[test]
fn removed_after_two_spans_at_most() {
    let mut ids = RecentIds::default();
    assert!(ids.insert(b"a", 10.0, 4.0) && !ids.insert(b"a", 13.0, 4.0));
    assert!(!ids.insert(b"a", 15.0, 4.0), "still in the older set");
    assert!(ids.insert(b"b", 19.5, 4.0) && ids.insert(b"a", 19.6, 4.0));
    for i in 0..10 * MAX_IDS as u64 {
        assert!(ids.insert(&i.to_le_bytes(), 20.0, 4.0) && ids.id_count() <= 2 * MAX_IDS);
    }
}

#[test]
fn new_again_once_removed() {
    let mut ids = RecentIds::default();
    assert!(ids.insert(b"a", 1.0, 4.0) && ids.insert(b"b", 1.0, 4.0));
    assert!(!ids.insert(b"a", 5.5, 4.0), "moved to the older set");
    ids.remove(b"a");
    assert!(ids.insert(b"a", 5.6, 4.0) && !ids.insert(b"b", 5.6, 4.0));
}
