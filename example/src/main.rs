//! The toy server: discovery, the counter and two srvs at the addresses that `config.json` names.

use lupinledge_example::discovery::{entry, Discovery};
use lupinledge_example::{counter, srv};
use std::time::Duration;

fn main() -> std::io::Result<()> {
    let discovery = Discovery::start("127.0.0.1:8500")?;
    let counter = counter::Counter::start("127.0.0.1:6400", counter::Manner::Answer)?;
    let manner = srv::Manner::Answer(Duration::from_millis(20));
    let srvs = [srv::Srv::start("127.0.0.1:0", manner)?, srv::Srv::start("127.0.0.1:0", manner)?];
    let zones = ["east", "west"];
    let list =
        srvs.iter().zip(zones).map(|(s, zone)| entry(&format!("toy-{zone}"), s.addr, zone, "active", 0));
    discovery.put(list.collect());
    println!("discovery {}, counter {}", discovery.addr, counter.addr);
    println!("srvs {} and {}; Ctrl-C ends them", srvs[0].addr, srvs[1].addr);
    loop {
        std::thread::sleep(Duration::from_secs(5));
        let served: Vec<usize> = srvs.iter().map(|s| s.seen().len()).collect();
        println!("reqs that came to the srvs: {served:?}; calls to the counter: {}", counter.calls());
    }
}
