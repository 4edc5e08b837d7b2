//! Startup, service and shutdown of the program.

use crate::client_handler::{ClientHandler, NotReadyHandler};
use crate::counter_client::CounterClient;
use crate::drift_responder::DriftResponder;
use crate::metrics::Metrics;
use crate::node_state::NodeState;
use crate::operations::Operations;
use crate::pools::Pools;
use crate::readiness::ReadinessHandler;
use crate::shutdown::ShutdownSchedule;
use eyre::{eyre, WrapErr};
use lupinledge_config::Settings;
use lupinledge_gossip::{log, settings, Gossip};
use lupinledge_membership::Card;
use lupinledge_proxy::clients::{ClientConnections, ClientLimits, RequestHandler};
use lupinledge_proxy::transport::descriptors::DescriptorPool;
use lupinledge_proxy::transport::listener::Listener;
use std::cell::Cell;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// File descriptors that are reserved for files and for the program itself.
const RESERVED: usize = 200 + 64;
/// Longest wait for the cluster's clock; afterwards the process's own clock is used.
const MAX_CLOCK_WAIT: Duration = Duration::from_secs(3);
/// A process that is not ready logs its missing input after this time, by which a new holder has been found.
const MISSING_INPUT_DELAY: Duration = Duration::from_secs(2);
/// Time for sending the last answers after a SIGTERM that comes before the process is ready.
const EARLY_END_TIME: Duration = Duration::from_millis(250);

/// A number by which the counters and the voters on operation keys distinguish this start of the process from
/// others. It is drawn from the machine's random source and equals another start's with a probability of one
/// in 2^32.
fn start_number() -> u32 {
    RandomState::new().hash_one(SystemTime::now()) as u32
}

/// Runs the program until SIGTERM or SIGINT.
pub fn run() -> eyre::Result<()> {
    log::start();
    let path = settings::path()?;
    let node_settings = settings::read(&path)?;
    // a `LocalSet` in a plain runtime would write to the wake-up pipe for each socket event
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.wrap_err("runtime")?.block_on(serve(node_settings, path))
}

/// The limits of client connections, with the given times in seconds and size of a head.
fn client_limits(header: f64, idle: f64, header_bytes: usize) -> ClientLimits {
    ClientLimits {
        idle_timeout: Duration::from_secs_f64(idle.clamp(0.1, 3600.0)),
        head_timeout: Duration::from_secs_f64(header.clamp(0.1, 3600.0)),
        request_timeout: Duration::from_secs(60),
        unfinished_timeout: Duration::from_millis(250),
        sweep_interval: Duration::from_millis(250),
        first_byte_wait: Duration::from_millis(300),
        max_head_bytes: header_bytes.clamp(8 << 10, 1 << 20),
    }
}

/// Accepts connections at one address, forever.
async fn accept<A: RequestHandler>(
    listener: &Listener,
    clients: &Rc<ClientConnections<A>>,
    descriptors: &DescriptorPool,
) {
    loop {
        let (stream, peer, descriptor) = listener.accept(|| clients.free_descriptors()).await;
        clients.serve(stream, peer, descriptor, descriptors.is_low());
    }
}

/// Accepts the connections that are still in the system's queue, and closes all connections after their requests.
async fn close_after_queued<A: RequestHandler>(listener: Listener, clients: &Rc<ClientConnections<A>>) {
    clients.close_all();
    while let Some((stream, peer, descriptor)) = listener.accept_queued().await {
        clients.serve(stream, peer, descriptor, true);
    }
    drop(listener);
    clients.close_all();
}

/// Applies the limits of client connections of each configuration, forever.
async fn apply_configured_limits<A: RequestHandler>(
    clients: Rc<ClientConnections<A>>,
    pools: Rc<Pools>,
    node_state: Rc<NodeState>,
) {
    let mut applied_limits = None;
    loop {
        let limits = pools.tables().limits();
        if applied_limits.replace(limits) != Some(limits) {
            clients.set_limits(client_limits(
                limits.header_timeout,
                limits.idle_timeout,
                limits.max_header_bytes,
            ));
        }
        node_state.received.notified().await;
    }
}

/// Opens a listening socket; `name` is its field in the settings.
fn open(name: &str, address: Option<SocketAddr>, descriptors: &Rc<DescriptorPool>) -> eyre::Result<Listener> {
    let address = address.ok_or_else(|| eyre!("`listen.{name}`: missing"))?;
    Listener::bind(address, descriptors.clone()).wrap_err_with(|| format!("`listen.{name}`: {address}"))
}

/// Starts all parts, serves clients until a signal to end, and shuts down.
async fn serve(node_settings: Settings, path: std::path::PathBuf) -> eyre::Result<()> {
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let hangup = signal(SignalKind::hangup())?;
    let node_settings = Rc::new(node_settings);
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64
        ^ u64::from(u32::from(node_settings.ip)) << 32;
    let descriptors = (node_settings.limits.max_fds as usize).saturating_sub(RESERVED).max(64);
    // a quarter for connections to servers, as each request in progress there holds a client's connection
    // here for longer
    let (server_descriptors, client_descriptors) =
        (DescriptorPool::new(descriptors / 4), DescriptorPool::new(descriptors * 3 / 4 - 16));
    let ready = Rc::new(Cell::new(false));

    // the port opens at once, so that readiness checks are answered while the state is still missing
    let readiness_descriptors = DescriptorPool::new(16);
    let readiness_listener = open("ready", node_settings.listen.ready, &readiness_descriptors)?;
    let counters: Rc<lupinledge_proxy::counters::Counters> = Rc::default();

    let card = Card {
        core: false,
        region: node_settings.region.clone(),
        zone: node_settings.zone.clone(),
        client_address: node_settings.listen.front,
        control_address: None,
        ready: false,
        leaving: false,
        drift: None,
        load: 0,
    };
    let gossip = Gossip::open(&node_settings, card, true).wrap_err("`port_range`")?;
    let start_number = start_number();
    let counter_client = CounterClient::start(gossip.post().clone(), start_number);
    let operations = Operations::start(gossip.clone(), &node_settings, start_number);
    let node_state =
        NodeState::new(node_settings.clone(), gossip.clone(), counter_client.clone(), operations.clone());
    let metrics = Metrics::new(node_state.clone());
    let readiness_handler = Rc::new(ReadinessHandler { is_ready: ready.clone(), metrics: metrics.clone() });
    let readiness_clients =
        ClientConnections::start(readiness_handler, counters.clone(), client_limits(3.0, 15.0, 8 << 10));
    tokio::task::spawn_local(async move {
        accept(&readiness_listener, &readiness_clients, &readiness_descriptors).await
    });
    tokio::task::spawn_local(gossip.clone().run());
    let (settings_target, drift_file) = (node_state.clone(), path.with_extension("drift"));
    // watched from the start, as the process may need other seeds to become ready
    tokio::task::spawn_local(settings::watch(path, hangup, move |s| {
        settings_target.apply_settings(s);
        Ok(())
    }));
    let listener = open("front", node_settings.listen.front, &client_descriptors)?;
    let estimator = node_state.clone();
    let not_ready_clients = NotReadyHandler(move || estimator.seconds_until_ready());
    let not_ready_clients =
        ClientConnections::start(Rc::new(not_ready_clients), counters, client_limits(3.0, 15.0, 16 << 10));
    let began = Instant::now();
    let startup = async {
        let clock = node_state.fetch_clock(MAX_CLOCK_WAIT).await;
        let pools = Pools::new(node_state.settings(), clock, counter_client, server_descriptors, seed);
        node_state.set_pools(pools.clone());
        tokio::task::spawn_local(node_state.clone().run_periodic_tasks());
        tracing::info!(event = "started", node = %node_settings.ip, zone = %node_settings.zone);
        metrics.set_pools(pools.clone());
        let mut logged = None;
        while let Some(missing) = pools.missing_input() {
            if began.elapsed() >= MISSING_INPUT_DELAY && logged.replace(missing) != Some(missing) {
                tracing::warn!(event = "waiting", lacks = missing);
            }
            let _ = timeout(Duration::from_millis(100), node_state.received.notified()).await;
        }
        pools
    };
    // clients return to a known address as soon as it accepts connections, so they are answered even before
    // the process is ready
    let pools = tokio::select! {
        pools = startup => Some(pools),
        _ = accept(&listener, &not_ready_clients, &client_descriptors) => None,
        _ = term.recv() => None,
        _ = int.recv() => None,
    };
    not_ready_clients.close_all();
    let Some(pools) = pools else {
        let _ = timeout(EARLY_END_TIME, not_ready_clients.wait_closed()).await;
        tracing::info!(event = "ended", taken = 0);
        return Ok(());
    };
    let client_handler =
        ClientHandler::new(pools.clone(), operations.clone(), node_settings.limits.memory_mb, seed);
    let clients = ClientConnections::start(
        client_handler.clone(),
        pools.counters.clone(),
        client_limits(3.0, 15.0, 16 << 10),
    );
    ready.set(true);
    gossip.set_card(|card| card.ready = true);
    tracing::info!(event = "ready", version = pools.tables().version());

    tokio::task::spawn_local(apply_configured_limits(clients.clone(), pools.clone(), node_state.clone()));

    let drift_responder = DriftResponder::new(
        node_state.clone(),
        gossip.clone(),
        pools.clone(),
        ready.clone(),
        clients.clone(),
        seed,
    );
    let drift_responder = tokio::task::spawn_local(drift_responder.run(drift_file));
    tokio::select! {
        _ = accept(&listener, &clients, &client_descriptors) => {}
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    drift_responder.abort();
    let schedule = ShutdownSchedule::begin(node_state.settings().bounds.grace_s);
    client_handler.begin_shutdown(schedule);
    tracing::info!(event = "ending", unanswered = pools.unanswered());
    ready.set(false);
    gossip.set_card(|card| (card.ready, card.leaving) = (false, true));
    // keeps accepting clients that still use this address, while they learn of another one
    clients.start_closing();
    let _ = timeout_at(schedule.accepts_until(), accept(&listener, &clients, &client_descriptors)).await;
    close_after_queued(listener, &clients).await;
    let _ = timeout_at(schedule.answers_until(), clients.wait_closed()).await;
    // waits for operations whose clients have left and for answers that voters must store
    let _ = timeout_at(schedule.answers_until(), operations.all_ended()).await;
    sleep(Duration::from_millis(5)).await;
    let (taken, passed) = (pools.counters.taken.get(), pools.counters.passed.get());
    tracing::info!(event = "ended", taken, passed, unanswered = pools.unanswered());
    Ok(())
}
