//! Planned replacement of the holder on loopback, with real processes: it ends in order once it doesn't count, another
//! one holds, and the next loss is borne at once.

mod common;

use common::{config, until, Members, CONFIG};
use std::time::Duration;

const CALL: Duration = Duration::from_millis(1200);

/// What somebody among these says for the whole, and who.
fn settled(core: &Members, among: &[usize], method: &str, body: &[u8]) -> (u16, Vec<u8>, usize) {
    let mut turn = 0;
    until("a settled answer", || {
        turn += 1;
        core.followed(among[turn % among.len()], (method, CONFIG), body, CALL)
    })
}

#[test]
fn a_holder_is_replaced_and_the_next_loss_is_borne() {
    let mut core = Members::found(None);
    assert_eq!(settled(&core, &[0, 1, 2], "PUT", &config::numbered(7, 0)).0, 200);
    core.start(3, false);
    core.logged(3, "event=member counts=true");
    let (_, _, holder) = settled(&core, &[0, 1, 2, 3], "GET", b"");
    core.signal(holder, "-TERM");
    let left = until("it ends", || core.running[holder].as_mut().unwrap().try_wait().unwrap());
    assert!(left.success(), "{left}");
    core.logged(holder, "event=left in_time=true counts=false");
    let rest: Vec<usize> = (0..4).filter(|i| *i != holder).collect();
    let (status, text, next) = settled(&core, &rest, "GET", b"");
    assert_eq!((status, text), (200, config::numbered(7, 0)));
    assert!(rest.contains(&next));
    // of three that count two are enough; of four, with the one that left among them, they were not
    core.kill(next);
    let two: Vec<usize> = rest.into_iter().filter(|i| *i != next).collect();
    assert_eq!(settled(&core, &two, "PUT", &config::numbered(8, 7)).0, 200);
    assert_eq!(settled(&core, &two, "GET", b"").1, config::numbered(8, 7));
}
