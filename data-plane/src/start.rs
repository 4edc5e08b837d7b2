//! The program from its start to its end.

use crate::door::{Door, Early};
use crate::guard::Guard;
use crate::ledger::Ledger;
use crate::metrics::Metrics;
use crate::nest::Nest;
use crate::operations::Operations;
use crate::pools::Pools;
use crate::ready::Ready;
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
use tokio::time::{sleep, timeout, Instant};

/// Descriptors that the machine keeps for files, and the program's own.
const RESERVED: usize = 200 + 64;
/// The hive's clock is waited for so long; then the own one has to do.
const CLOCK_WAIT: Duration = Duration::from_secs(3);
/// What a process that is not ready yet lacks is told after so long: a new holder has been found by then.
const WAITING_TOLD: Duration = Duration::from_secs(2);
/// At SIGTERM before it is ready, what was answered has so long to get out.
const LAST: Duration = Duration::from_millis(250);
/// Of the time that the platform gives after SIGTERM: new connections are taken for this part, and the last answers
/// are given within that one.
const STAY: f64 = 0.55;
const END: f64 = 0.92;

/// A number by which the counters and the voters of operation keys tell this start of the process from others: drawn
/// from what the machine has for random, and the same as another start's by a chance of one in 2^32.
fn start_number() -> u32 {
    RandomState::new().hash_one(SystemTime::now()) as u32
}

pub fn run() -> eyre::Result<()> {
    log::start();
    let path = settings::path()?;
    let told = settings::read(&path)?;
    // a `LocalSet` in a plain runtime would write to the wake-up pipe for each socket event
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.wrap_err("runtime")?.block_on(serve(told, path))
}

fn bounds(header: f64, idle: f64, header_bytes: usize) -> ClientLimits {
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

/// Takes connections of one address for good.
async fn accept<A: RequestHandler>(
    gate: &Listener,
    clients: &Rc<ClientConnections<A>>,
    places: &DescriptorPool,
) {
    loop {
        let (stream, peer, place) = gate.accept(|| clients.free_descriptors()).await;
        clients.serve(stream, peer, place, places.is_low());
    }
}

fn open(name: &str, at: Option<SocketAddr>, places: &Rc<DescriptorPool>) -> eyre::Result<Listener> {
    let at = at.ok_or_else(|| eyre!("`listen.{name}`: missing"))?;
    Listener::bind(at, places.clone()).wrap_err_with(|| format!("`listen.{name}`: {at}"))
}

async fn serve(told: Settings, path: std::path::PathBuf) -> eyre::Result<()> {
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let hangup = signal(SignalKind::hangup())?;
    let told = Rc::new(told);
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64
        ^ u64::from(u32::from(told.ip)) << 32;
    let descriptors = (told.limits.max_fds as usize).saturating_sub(RESERVED).max(64);
    // a quarter to the server side: a request out there holds a client's connection here for longer
    let (server_places, client_places) =
        (DescriptorPool::new(descriptors / 4), DescriptorPool::new(descriptors * 3 / 4 - 16));
    let ready = Rc::new(Cell::new(false));

    // the port is there at once: who asks before the state is here hears that it is not ready
    let ready_places = DescriptorPool::new(16);
    let ready_gate = open("ready", told.listen.ready, &ready_places)?;
    let counters: Rc<lupinledge_proxy::counters::Counters> = Rc::default();

    let card = Card {
        core: false,
        region: told.region.clone(),
        zone: told.zone.clone(),
        client_address: told.listen.front,
        control_address: None,
        ready: false,
        leaving: false,
        drift: None,
        load: 0,
    };
    let gossip = Gossip::open(&told, card, true).wrap_err("`port_range`")?;
    let start_number = start_number();
    let ledger = Ledger::start(gossip.post().clone(), start_number);
    let operations = Operations::start(gossip.clone(), &told, start_number);
    let nest = Nest::new(told.clone(), gossip.clone(), ledger.clone(), operations.clone());
    let metrics = Metrics::new(nest.clone());
    let ready_answers = Rc::new(Ready { flag: ready.clone(), metrics: metrics.clone() });
    let ready_side = ClientConnections::start(ready_answers, counters.clone(), bounds(3.0, 15.0, 8 << 10));
    tokio::task::spawn_local(async move { accept(&ready_gate, &ready_side, &ready_places).await });
    tokio::task::spawn_local(gossip.clone().run());
    let (follows, drifts) = (nest.clone(), path.with_extension("drift"));
    // from the start on: other seeds may be what it takes to get ready
    tokio::task::spawn_local(settings::watch(path, hangup, move |s| {
        follows.retell(s);
        Ok(())
    }));
    let gate = open("front", told.listen.front, &client_places)?;
    let soon = nest.clone();
    let early = Early(move || soon.soon());
    let early = ClientConnections::start(Rc::new(early), counters, bounds(3.0, 15.0, 16 << 10));
    let began = Instant::now();
    let rising = async {
        let clock = nest.clock(CLOCK_WAIT).await;
        let pools = Pools::new(nest.settings(), clock, ledger, server_places, seed);
        nest.open(pools.clone());
        tokio::task::spawn_local(nest.clone().upkeep());
        tracing::info!(event = "started", node = %told.ip, zone = %told.zone);
        metrics.show(pools.clone());
        let mut told = None;
        while let Some(lacks) = pools.lacks() {
            if began.elapsed() >= WAITING_TOLD && told.replace(lacks) != Some(lacks) {
                tracing::warn!(event = "waiting", lacks);
            }
            let _ = timeout(Duration::from_millis(100), nest.woken.notified()).await;
        }
        pools
    };
    // clients come back to an address that they know as soon as it answers
    let pools = tokio::select! {
        pools = rising => Some(pools),
        _ = accept(&gate, &early, &client_places) => None,
        _ = term.recv() => None,
        _ = int.recv() => None,
    };
    early.close_all();
    let Some(pools) = pools else {
        let _ = timeout(LAST, early.wait_closed()).await;
        tracing::info!(event = "ended", taken = 0);
        return Ok(());
    };
    let door = Door::new(pools.clone(), operations.clone(), told.limits.memory_mb, seed);
    let clients = ClientConnections::start(door, pools.counters.clone(), bounds(3.0, 15.0, 16 << 10));
    ready.set(true);
    gossip.set_card(|card| card.ready = true);
    tracing::info!(event = "ready", version = pools.tables().version());

    let (c, p, woken) = (clients.clone(), pools.clone(), nest.clone());
    tokio::task::spawn_local(async move {
        let mut limits = None;
        loop {
            let now = p.tables().limits();
            if limits.replace(now) != Some(now) {
                c.set_limits(bounds(now.header_timeout, now.idle_timeout, now.max_header_bytes));
            }
            woken.woken.notified().await;
        }
    });

    let guard = Guard::new(nest.clone(), gossip.clone(), pools.clone(), ready.clone(), clients.clone(), seed);
    let guard = tokio::task::spawn_local(guard.run(drifts));
    tokio::select! {
        _ = accept(&gate, &clients, &client_places) => {}
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    guard.abort();
    let began = Instant::now();
    let grace = nest.settings().bounds.grace_s;
    tracing::info!(event = "ending", unanswered = pools.unanswered());
    ready.set(false);
    gossip.set_card(|card| (card.ready, card.leaving) = (false, true));
    // clients that still have this address find it open while they learn another one
    clients.start_closing();
    let _ = timeout(Duration::from_secs_f64(grace * STAY), accept(&gate, &clients, &client_places)).await;
    clients.close_all();
    while let Some((stream, peer, place)) = gate.accept_queued().await {
        clients.serve(stream, peer, place, true);
    }
    drop(gate);
    clients.close_all();
    let left = Duration::from_secs_f64(grace * END).saturating_sub(began.elapsed());
    let _ = timeout(left, clients.wait_closed()).await;
    // those whose clients have left, and what others have to keep of them
    let left = Duration::from_secs_f64(grace * END).saturating_sub(began.elapsed());
    let _ = timeout(left, operations.all_ended()).await;
    sleep(Duration::from_millis(5)).await;
    let (taken, passed) = (pools.counters.taken.get(), pools.counters.passed.get());
    tracing::info!(event = "ended", taken, passed, unanswered = pools.unanswered());
    Ok(())
}
