//! The toy environment: discovery and the counter at the addresses in `config.json`, and two servers.

use lupinledge_example::discovery::{catalog_entry, Discovery};
use lupinledge_example::{counter, server};
use std::time::Duration;

fn main() -> std::io::Result<()> {
    let discovery = Discovery::start("127.0.0.1:8500")?;
    let counter = counter::Counter::start("127.0.0.1:6400", counter::Behaviour::Reply)?;
    let behaviour = server::Behaviour::Respond(Duration::from_millis(20));
    let servers =
        [server::Server::start("127.0.0.1:0", behaviour)?, server::Server::start("127.0.0.1:0", behaviour)?];
    let zones = ["east", "west"];
    let list = servers
        .iter()
        .zip(zones)
        .map(|(s, zone)| catalog_entry(&format!("toy-{zone}"), s.addr, zone, "active", 0));
    discovery.update_entries(list.collect());
    println!("discovery {}, counter {}", discovery.addr, counter.addr);
    println!("servers {} and {}; Ctrl-C stops them", servers[0].addr, servers[1].addr);
    loop {
        std::thread::sleep(Duration::from_secs(5));
        let served: Vec<usize> = servers.iter().map(|s| s.received().len()).collect();
        println!("requests received by the servers: {served:?}; calls to the counter: {}", counter.calls());
    }
}
