//! The views of all processes through packet loss, partitions, freezes and restarts.

mod net;

use lupinledge_membership::Standing;
use net::Net;

/// Injects faults one after the other, with time to settle between them, and compares every view with the
/// model all the while.
fn run_with_faults(seed: u64, loss: f64) -> Result<(), String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let n = rng.usize(12..=64);
    let regions = rng.usize(1..=4);
    let mut net = Net::new(n, regions, loss, seed);
    let mut incarnation = 2_000;
    let mut history = vec![format!("{n} in {regions} regions")];
    for _ in 0..4 {
        let settle_time = rng.f64() * 2.0 + 4.5;
        watch(&mut net, settle_time, &history)?;
        let affected: Vec<usize> = (0..rng.usize(1..=3)).map(|_| rng.usize(0..n)).collect();
        match rng.usize(0..5) {
            0 | 1 => {
                affected.iter().for_each(|i| net.kill(*i));
                let downtime = if rng.bool() { 0.3 } else { 6.0 };
                incarnation += 10;
                let older_incarnation = rng.bool();
                history.push(format!(
                    "{:.1}: kill {affected:?} for {downtime}, older incarnation {older_incarnation}",
                    net.now
                ));
                watch(&mut net, downtime, &history)?;
                affected
                    .iter()
                    .for_each(|i| net.start(*i, if older_incarnation { 5 } else { incarnation }, regions));
            }
            2 => {
                history.push(format!("{:.1}: freeze {affected:?}", net.now));
                affected.iter().for_each(|i| net.freeze(*i, true));
                watch(&mut net, 4.0, &history)?;
                affected.iter().for_each(|i| net.freeze(*i, false));
            }
            3 => {
                let region = rng.usize(0..regions);
                history.push(format!("{:.1}: cut off region {region}", net.now));
                net.set_partitions(|i| usize::from(i % regions == region));
                watch(&mut net, 6.0, &history)?;
                net.set_partitions(|_| 0);
            }
            _ => {
                history.push(format!("{:.1}: cut off {affected:?}", net.now));
                net.set_partitions(|i| usize::from(affected.contains(&i)));
                watch(&mut net, 6.0, &history)?;
                net.set_partitions(|_| 0);
            }
        }
    }
    watch(&mut net, 5.0, &history)
}

fn watch(net: &mut Net, span: f64, history: &[String]) -> Result<(), String> {
    let end = net.now + span;
    while net.now < end {
        let next = (net.now + 0.1).min(end);
        net.run(next);
        net.check(3.0, 4.0, net.loss == 0.0).map_err(|e| format!("{e}\n{}", history.join("\n")))?;
    }
    Ok(())
}

#[test]
fn views_are_right_without_packet_loss() {
    bolero::check!()
        .exhaustive()
        .with_generator(0u64..10)
        .for_each(|seed| run_with_faults(*seed, 0.0).unwrap());
}

#[test]
fn views_are_right_with_packet_loss() {
    bolero::check!()
        .exhaustive()
        .with_generator(100u64..110)
        .for_each(|seed| run_with_faults(*seed, 0.05).unwrap());
}

/// A process that was paused finds buffered packets from a process that ended meanwhile, and rumours about
/// it. It must soon stop taking that process for alive.
#[test]
fn packets_buffered_during_a_pause_are_no_sign_of_life() {
    bolero::check!().exhaustive().with_generator(200u64..230).for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let n = rng.usize(8..=24);
        let mut net = Net::new(n, 2, 0.0, *seed);
        net.run(net.now + 6.0);
        let (paused, ended) = (rng.usize(..n / 2), rng.usize(n / 2..n));
        net.freeze(paused, true);
        net.run(net.now + 1.0 + rng.f64());
        net.kill(ended);
        net.run(net.now + 1.0 + 4.0 * rng.f64());
        net.freeze(paused, false);
        net.run(net.now + 2.2);
        assert_eq!(net.view(paused, ended), Some(Standing::Gone), "{paused} was paused, {ended} ended");
    });
}
