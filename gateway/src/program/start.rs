//! The program from its start to its end.

use super::signals::Signals;
use super::told::Told;
use super::watched::Watched;
use super::{told, watched};
use crate::protocol::client::{self, Front};
use crate::protocol::counter::{Counter, LANES};
use crate::protocol::discovery::Discovery;
use crate::protocol::srv::{self, Edge};
use crate::protocol::Exchange;
use lupinledge_proxy::clients::ClientConnections;
use lupinledge_proxy::clock::{duration, Clock};
use lupinledge_proxy::counters::Counters;
use lupinledge_proxy::exchange::CounterSide;
use lupinledge_proxy::logger;
use lupinledge_proxy::servers::ServerConnections;
use lupinledge_proxy::transport::descriptors::DescriptorPool;
use lupinledge_proxy::transport::listener::Listener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::{Builder, LocalOptions};
use tokio::time::{sleep, timeout};

/// Descriptors of the program itself: standard streams, the runtime's and the signals' pipes, the listener,
/// the counter's connections and discovery's one, each once more while it is replaced.
const OWN: usize = 14 + 2 * LANES;

/// New connections are taken for so long after SIGTERM: the front hears of the end that much later.
const STAY: Duration = Duration::from_millis(700);

/// A gateway that can't reach discovery or the counter serves by what it has after so long.
const READY_WAIT: Duration = Duration::from_secs(1);

pub fn main() -> ExitCode {
    logger::start();
    let ended = told::read().and_then(|told| {
        // a `LocalSet` in a plain runtime would write to the wake-up pipe for each socket event
        let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
        runtime.map_err(|e| format!("runtime: {e}"))?.block_on(serve(told))
    });
    let code = match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    };
    log::logger().flush();
    code
}

async fn serve(told: Told) -> Result<(), String> {
    let (clock, counters) = (Clock::start(), Rc::new(Counters::default()));
    watched::enter(&counters);
    let mut signals = Signals::hold(counters.clone()).map_err(|e| format!("signals: {e}"))?;
    // a quarter to the server side: a req out there holds a client's connection here for longer
    let (srv_places, client_places) = ((told.sockets - OWN) / 4, (told.sockets - OWN) * 3 / 4);
    let exchange = Exchange::new(told.terms.clone(), clock, counters.clone());
    if let Some(to_come) = told.watch {
        log::info!("watching for settings to come: decided as before, counted as watch.*");
        exchange.set_observer(Box::new(Watched::new(to_come, counters.clone())));
    }
    let wire = Edge { largest: told.terms.max_units };
    let srvs =
        ServerConnections::new(&exchange, wire, srv::bounds(&told.outside), DescriptorPool::new(srv_places));
    let connect_wait = duration(told.outside.connect_wait);
    let counter = told.counter.map(|a| Counter::start(&exchange, a, told.terms.count_wait, connect_wait));
    exchange.attach(srvs, counter.clone().map(|c| c as Rc<dyn CounterSide>));
    let mut drive = tokio::task::spawn_local(exchange.clone().run());
    let zones = told.outside.zones.clone();
    let discovery = Discovery::start(&exchange, told.discovery, zones, told.outside.connect_wait, told.known);

    let places = DescriptorPool::new(client_places);
    let gate = Listener::bind(told.listen, places.clone());
    let gate = gate.map_err(|e| format!("`listen`: {}: {e}", told.listen))?;
    let front = Front::new(exchange.clone(), told.outside);
    let clients = ClientConnections::start(front.clone(), counters.clone(), client::BOUNDS);
    let addr = gate.local_addr().map_err(|e| format!("`listen`: {e}"))?;
    log::info!("{} listens on {addr}", told.name);

    let (d, ctr) = (discovery.clone(), counter.clone());
    signals.at_hangup(move || match told::read() {
        Ok(new) => {
            log::info!("configuration read anew: discovery {}, counter {:?}", new.discovery, new.counter);
            d.move_to(new.discovery);
            ctr.iter().zip(new.counter).for_each(|(c, addr)| c.move_to(addr));
        }
        // whatever is wrong with the new file, the old one has served until now
        Err(e) => log::error!("configuration not taken, the old one stays: {e}"),
    });

    let (f, d, e, ctr) = (front, discovery.clone(), exchange.clone(), counter.clone());
    tokio::task::spawn_local(async move {
        let all = async {
            while !(d.answered() && e.has_server_list() && ctr.as_ref().is_none_or(|c| c.tried())) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let _ = timeout(READY_WAIT, all).await;
        while !e.has_server_list() {
            sleep(Duration::from_millis(5)).await;
        }
        f.ready();
        log::info!("ready");
    });

    let mut accept = Box::pin(async {
        loop {
            let (stream, peer, place) = gate.accept(|| clients.free_descriptors()).await;
            clients.serve(stream, peer, place, places.is_low());
        }
    });
    tokio::select! {
        _ = accept.as_mut() => {}
        _ = signals.end() => {}
        // nothing can be answered without it: whoever started the program has to know
        fault = &mut drive => return Err(format!("the decisions ended: {fault:?}")),
    }
    log::info!("ending");
    clients.start_closing();
    let _ = timeout(STAY, accept.as_mut()).await;
    drop(accept);
    clients.close_all();
    // a req in the accept queue is taken already, also where the descriptors are used up for the moment
    while let Some((stream, peer, place)) = gate.accept_queued().await {
        clients.serve(stream, peer, place, true);
    }
    drop(gate);
    clients.close_all();
    clients.wait_closed().await;
    exchange.all_answered().await;
    if let Some(counter) = counter {
        // what the last answers gave back is still told, if the counter takes it
        sleep(Duration::from_millis(2)).await;
        let written = async {
            while !counter.written() {
                sleep(Duration::from_millis(1)).await;
            }
        };
        let _ = timeout(duration(told.terms.count_wait), written).await;
    }
    log::info!("{counters}");
    Ok(())
}
