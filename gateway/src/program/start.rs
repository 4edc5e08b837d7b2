//! Starts the program, serves until a signal arrives, and shuts down.

use super::config::GatewayConfig;
use super::shadow::ShadowObserver;
use super::signals::Signals;
use super::{config, shadow};
use crate::protocol::client::{self, ClientHandler};
use crate::protocol::counter::{Counter, CONNECTIONS};
use crate::protocol::discovery::Discovery;
use crate::protocol::server::{self, GatewayProtocol};
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

/// Descriptors of the program itself: standard streams, the pipes of the runtime and of the signals, the listener, and
/// the connections to the counter and to discovery, each counted twice since it may be replaced.
const RESERVED_DESCRIPTORS: usize = 14 + 2 * CONNECTIONS;

/// How long new connections are accepted after SIGTERM: the load balancer in front of the gateways notices the end of
/// this one only after that time.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(700);

/// After this time a gateway that can't reach discovery or the counter serves with what it has.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the program. Its exit code is a failure if it could not start or had to stop.
pub fn main() -> ExitCode {
    logger::start();
    let result = config::read().and_then(|config| {
        // a `LocalSet` in a plain runtime would write to the wake-up pipe for each socket event
        let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
        runtime.map_err(|e| format!("runtime: {e}"))?.block_on(serve(config))
    });
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    };
    log::logger().flush();
    code
}

async fn serve(config: GatewayConfig) -> Result<(), String> {
    let (clock, counters) = (Clock::start(), Rc::new(Counters::default()));
    shadow::register(&counters);
    let mut signals = Signals::install(counters.clone()).map_err(|e| format!("signals: {e}"))?;
    // a quarter for the server side: a request holds its client connection for longer than a server connection
    let (server_descriptors, client_descriptors) =
        ((config.sockets - RESERVED_DESCRIPTORS) / 4, (config.sockets - RESERVED_DESCRIPTORS) * 3 / 4);
    let exchange = Exchange::new(config.terms.clone(), clock, counters.clone());
    if let Some(planned_terms) = config.planned_terms {
        log::info!("watching for settings to come: decided as before, counted as watch.*");
        exchange.set_observer(Box::new(ShadowObserver::new(planned_terms, counters.clone())));
    }
    let protocol = GatewayProtocol { max_units: config.terms.max_units };
    let servers = ServerConnections::new(
        &exchange,
        protocol,
        server::limits(&config.host_settings),
        DescriptorPool::new(server_descriptors),
    );
    let connect_timeout = duration(config.host_settings.connect_wait);
    let counter =
        config.counter.map(|a| Counter::start(&exchange, a, config.terms.count_wait, connect_timeout));
    exchange.attach(servers, counter.clone().map(|c| c as Rc<dyn CounterSide>));
    let mut exchange_task = tokio::task::spawn_local(exchange.clone().run());
    let zones = config.host_settings.zones.clone();
    let discovery = Discovery::start(
        &exchange,
        config.discovery,
        zones,
        config.host_settings.connect_wait,
        config.known_members,
    );

    let descriptors = DescriptorPool::new(client_descriptors);
    let listener = Listener::bind(config.listen, descriptors.clone());
    let listener = listener.map_err(|e| format!("`listen`: {}: {e}", config.listen))?;
    let handler = ClientHandler::new(exchange.clone(), config.host_settings);
    let clients = ClientConnections::start(handler.clone(), counters.clone(), client::LIMITS);
    let addr = listener.local_addr().map_err(|e| format!("`listen`: {e}"))?;
    log::info!("{} listens on {addr}", config.name);

    let (reload_discovery, reload_counter) = (discovery.clone(), counter.clone());
    signals.on_hangup(move || match config::read() {
        Ok(new) => {
            log::info!("configuration read anew: discovery {}, counter {:?}", new.discovery, new.counter);
            reload_discovery.set_address(new.discovery);
            reload_counter.iter().zip(new.counter).for_each(|(c, addr)| c.set_address(addr));
        }
        // the program keeps its configuration if the new file is invalid
        Err(e) => log::error!("configuration not taken, the old one stays: {e}"),
    });

    let (ready_handler, ready_discovery, ready_exchange, ready_counter) =
        (handler, discovery.clone(), exchange.clone(), counter.clone());
    tokio::task::spawn_local(async move {
        let all_tried = async {
            while !(ready_discovery.has_answered()
                && ready_exchange.has_server_list()
                && ready_counter.as_ref().is_none_or(|c| c.tried_to_connect()))
            {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let _ = timeout(READY_TIMEOUT, all_tried).await;
        while !ready_exchange.has_server_list() {
            sleep(Duration::from_millis(5)).await;
        }
        ready_handler.set_ready();
        log::info!("ready");
    });

    let mut accept = Box::pin(async {
        loop {
            let (stream, peer, permit) = listener.accept(|| clients.free_descriptors()).await;
            clients.serve(stream, peer, permit, descriptors.is_low());
        }
    });
    tokio::select! {
        _ = accept.as_mut() => {}
        _ = signals.wait_end() => {}
        // no request can be answered without it, so the program must fail
        result = &mut exchange_task => return Err(format!("the decisions ended: {result:?}")),
    }
    log::info!("ending");
    clients.start_closing();
    let _ = timeout(ACCEPT_AFTER_SIGTERM, accept.as_mut()).await;
    drop(accept);
    clients.close_all();
    // the connections in the accept queue are served too, even if no descriptor is free at the moment
    while let Some((stream, peer, permit)) = listener.accept_queued().await {
        clients.serve(stream, peer, permit, true);
    }
    drop(listener);
    clients.close_all();
    clients.wait_closed().await;
    exchange.all_answered().await;
    if let Some(counter) = counter {
        // the amounts that the last answers gave back are still sent, if the counter accepts them
        sleep(Duration::from_millis(2)).await;
        let all_written = async {
            while !counter.all_written() {
                sleep(Duration::from_millis(1)).await;
            }
        };
        let _ = timeout(duration(config.terms.count_wait), all_written).await;
    }
    log::info!("{counters}");
    Ok(())
}
