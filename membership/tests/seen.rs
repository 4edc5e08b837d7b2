//! Who is there, as seen by all others through losses, cuts, freezes and restarts.

mod net;

use lupinledge_membership::Standing;
use net::Net;

/// Some faults, one after the other, each with time to settle. Every view is compared with who is up all
/// the while.
fn day(seed: u64, loss: f64) -> Result<(), String> {
    let mut chance = fastrand::Rng::with_seed(seed);
    let n = chance.usize(12..=64);
    let regions = chance.usize(1..=4);
    let mut net = Net::new(n, regions, loss, seed);
    let mut incarnation = 2_000;
    let mut story = vec![format!("{n} in {regions} regions")];
    for _ in 0..4 {
        let calm = chance.f64() * 2.0 + 4.5;
        watch(&mut net, calm, &story)?;
        let few: Vec<usize> = (0..chance.usize(1..=3)).map(|_| chance.usize(0..n)).collect();
        match chance.usize(0..5) {
            0 | 1 => {
                few.iter().for_each(|i| net.kill(*i));
                let down = if chance.bool() { 0.3 } else { 6.0 };
                incarnation += 10;
                let older = chance.bool();
                story.push(format!("{:.1}: kill {few:?} for {down}, older incarnation {older}", net.now));
                watch(&mut net, down, &story)?;
                few.iter().for_each(|i| net.start(*i, if older { 5 } else { incarnation }, regions));
            }
            2 => {
                story.push(format!("{:.1}: freeze {few:?}", net.now));
                few.iter().for_each(|i| net.freeze(*i, true));
                watch(&mut net, 4.0, &story)?;
                few.iter().for_each(|i| net.freeze(*i, false));
            }
            3 => {
                let region = chance.usize(0..regions);
                story.push(format!("{:.1}: cut off region {region}", net.now));
                net.cut(|i| usize::from(i % regions == region));
                watch(&mut net, 6.0, &story)?;
                net.cut(|_| 0);
            }
            _ => {
                story.push(format!("{:.1}: cut off {few:?}", net.now));
                net.cut(|i| usize::from(few.contains(&i)));
                watch(&mut net, 6.0, &story)?;
                net.cut(|_| 0);
            }
        }
    }
    watch(&mut net, 5.0, &story)
}

fn watch(net: &mut Net, span: f64, story: &[String]) -> Result<(), String> {
    let end = net.now + span;
    while net.now < end {
        let next = (net.now + 0.1).min(end);
        net.run(next);
        net.check(3.0, 4.0, net.loss == 0.0).map_err(|e| format!("{e}\n{}", story.join("\n")))?;
    }
    Ok(())
}

#[test]
fn days_without_loss() {
    bolero::check!().exhaustive().with_generator(0u64..10).for_each(|seed| day(*seed, 0.0).unwrap());
}

#[test]
fn days_with_loss() {
    bolero::check!().exhaustive().with_generator(100u64..110).for_each(|seed| day(*seed, 0.05).unwrap());
}

/// One that stood still finds words of one that ended meanwhile, and what others say of that one: it is soon not taken
/// for alive any more.
#[test]
fn words_that_waited_are_no_sign_of_life() {
    bolero::check!().exhaustive().with_generator(200u64..230).for_each(|seed| {
        let mut chance = fastrand::Rng::with_seed(*seed);
        let n = chance.usize(8..=24);
        let mut net = Net::new(n, 2, 0.0, *seed);
        net.run(net.now + 6.0);
        let (still, ends) = (chance.usize(..n / 2), chance.usize(n / 2..n));
        net.freeze(still, true);
        net.run(net.now + 1.0 + chance.f64());
        net.kill(ends);
        net.run(net.now + 1.0 + 4.0 * chance.f64());
        net.freeze(still, false);
        net.run(net.now + 2.2);
        assert_eq!(net.view(still, ends), Some(Standing::Gone), "{still} stood still, {ends} ended");
    });
}
