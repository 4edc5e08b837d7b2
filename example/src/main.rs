//! The toy server: discovery, the counter and two srvs at the addresses that `config.json` names.

use lupinledge_example::discovery::{catalog_entry, Discovery};
use lupinledge_example::{counter, server};
use std::time::Duration;

fn main() -> std::io::Result<()> {
    let discovery = Discovery::start("127.0.0.1:8500")?;
    let counter = counter::Counter::start("127.0.0.1:6400", counter::Behaviour::Reply)?;
    let manner = server::Behaviour::Respond(Duration::from_millis(20));
    let srvs = [server::Server::start("127.0.0.1:0", manner)?, server::Server::start("127.0.0.1:0", manner)?];
    let zones = ["east", "west"];
    let list = srvs
        .iter()
        .zip(zones)
        .map(|(s, zone)| catalog_entry(&format!("toy-{zone}"), s.addr, zone, "active", 0));
    discovery.update_entries(list.collect());
    println!("discovery {}, counter {}", discovery.addr, counter.addr);
    println!("srvs {} and {}; Ctrl-C ends them", srvs[0].addr, srvs[1].addr);
    loop {
        std::thread::sleep(Duration::from_secs(5));
        let served: Vec<usize> = srvs.iter().map(|s| s.received().len()).collect();
        println!("reqs that came to the srvs: {served:?}; calls to the counter: {}", counter.calls());
    }
}
