//! The client of discovery. It watches the server list, and opens the watch again whenever it ends or falls silent.

use super::Exchange;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use lupinledge::interface::{ListKind, ServerEntry, ServerState};
use lupinledge::time::{Span, Timestamp};
use lupinledge_proxy::clock::duration;
use lupinledge_proxy::exchange::ServerListEntry;
use lupinledge_proxy::transport::connect::connect;
use lupinledge_proxy::transport::end_reason::{EndLog, EndReason};
use serde::Deserialize;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Discovery sends an empty line every two seconds. After two missing lines the connection is considered dead. The new
/// connection then still delivers changes in time: they are due six seconds after they are made.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4500);

/// The pause between two attempts. It doubles from the first to the second value. The discovery agent is on the same
/// machine, so that attempts are cheap.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// The longest line in bytes; room for some thousands of servers.
const MAX_LINE_BYTES: usize = 4 << 20;

/// A message of discovery.
#[derive(Deserialize)]
pub struct WireMembers {
    generation: u64,
    #[serde(default)]
    reset: bool,
    instances: Vec<WireMember>,
}

/// A server in a message of discovery.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireMember {
    instance_id: String,
    host_port: String,
    zone: Option<String>,
    cell: Option<u16>,
    lifecycle: String,
    weight: Option<f64>,
    started_at_ms: Option<u64>,
}

/// A version of the server list: the whole list, or the changes since the version before.
pub struct Members {
    /// The number of this version.
    pub generation: u64,
    /// Whether this is the whole list.
    pub is_full: bool,
    /// The servers.
    pub entries: Vec<ServerListEntry>,
    /// The errors of entries that were left out.
    pub faults: Vec<String>,
}

impl WireMembers {
    /// Converts the message; `zones` are the known zones.
    pub fn members(self, zones: &[String]) -> Members {
        let (generation, is_full) = (self.generation, self.reset);
        let mut members = Members { generation, is_full, entries: Vec::new(), faults: Vec::new() };
        for entry in self.instances {
            match entry.entry(zones) {
                Ok(e) => members.entries.push(e),
                Err(fault) => members.faults.push(fault),
            }
        }
        members
    }
}

impl WireMember {
    fn entry(self, zones: &[String]) -> Result<ServerListEntry, String> {
        let state = match self.lifecycle.as_str() {
            "active" => ServerState::Ready,
            "leaving" => ServerState::Draining,
            "left" => ServerState::Gone,
            _ => ServerState::Draining, // an unknown state does not say that it accepts new requests
        };
        let addr = self.host_port.parse::<SocketAddr>();
        let addr = addr.map_err(|_| format!("`hostPort`: `{}` is not an address", self.host_port))?;
        let started_at_ms = self.started_at_ms.filter(|ms| *ms > 0);
        let zone = zones.iter().position(|z| Some(z) == self.zone.as_ref());
        let server_entry = ServerEntry {
            server: 0,
            zone: zone.map_or(u16::MAX, |z| z as u16),
            cell: self.cell.unwrap_or_default(),
            state,
            weight: self.weight.unwrap_or(1.0),
            started_at: started_at_ms.map(|ms| Timestamp::default() + Span::millis(ms as i64)),
        };
        Ok(ServerListEntry { name: self.instance_id, addr, server_entry })
    }
}

/// The client of discovery.
pub struct Discovery {
    exchange: Rc<Exchange>,
    addr: Cell<SocketAddr>,
    address_changed: Notify,
    zones: Vec<String>,
    connect_timeout: Duration,
    generation: Cell<Option<u64>>,
    answered: Cell<bool>,
}

impl Discovery {
    /// Starts the watch. `known` is the server list to begin with.
    pub fn start(
        exchange: &Rc<Exchange>,
        addr: SocketAddr,
        zones: Vec<String>,
        connect_timeout: Span,
        known: Option<Members>,
    ) -> Rc<Discovery> {
        let generation = Cell::new(known.as_ref().map(|known| known.generation));
        let connect_timeout = duration(connect_timeout);
        let exchange = exchange.clone();
        if let Some(known) = known {
            exchange.update_servers(ListKind::Cached, known.entries);
        }
        let (addr, address_changed, answered) = (Cell::new(addr), Notify::new(), Cell::new(false));
        let discovery = Rc::new(Discovery {
            exchange,
            addr,
            address_changed,
            zones,
            connect_timeout,
            generation,
            answered,
        });
        tokio::task::spawn_local(discovery.clone().run());
        discovery
    }

    /// Sets another address of discovery. The current list stays in use until the watch at the new address continues
    /// it.
    pub fn set_address(&self, addr: SocketAddr) {
        if self.addr.replace(addr) != addr {
            self.address_changed.notify_one();
        }
    }

    /// Whether a line was received from the watch.
    pub fn has_answered(&self) -> bool {
        self.answered.get()
    }

    /// Keeps the watch open.
    async fn run(self: Rc<Discovery>) {
        let mut pause = BACK_OFF.0;
        loop {
            let addr = self.addr.get();
            let end_log = EndLog::new("discovery", addr);
            let lines = Cell::new(0u64);
            tokio::select! {
                reason = self.watch(addr, &lines) => end_log.set_reason(reason),
                _ = self.address_changed.notified() => {
                    end_log.set_reason(EndReason::Moved);
                    pause = BACK_OFF.0;
                    continue;
                }
            }
            drop(end_log);
            if lines.get() > 1 {
                pause = BACK_OFF.0;
            }
            tokio::select! {
                _ = tokio::time::sleep(pause) => pause = (pause * 2).min(BACK_OFF.1),
                _ = self.address_changed.notified() => pause = BACK_OFF.0,
            }
        }
    }

    /// Opens a connection and watches on it until it ends.
    async fn watch(&self, addr: SocketAddr, lines: &Cell<u64>) -> EndReason {
        let stream = match connect(addr, self.connect_timeout, None).await {
            Ok(stream) => stream,
            Err(e) => return EndReason::from_connect_error(&e),
        };
        let Ok((mut send, connection)) = http1::handshake(TokioIo::new(stream)).await else {
            return EndReason::PeerReset;
        };
        // dropped together with this future
        let connection = std::pin::pin!(connection);
        tokio::select! {
            biased;
            reason = self.read_lines(&mut send, lines) => reason,
            _ = connection => EndReason::PeerReset,
        }
    }

    /// Requests the watch and applies its lines until it ends.
    async fn read_lines(&self, send: &mut http1::SendRequest<Empty<Bytes>>, lines: &Cell<u64>) -> EndReason {
        let path = match self.generation.get() {
            Some(generation) => format!("/catalog/members?watch=1&from={generation}"),
            None => "/catalog/members?watch=1".to_string(),
        };
        let Ok(mut request) = Request::get(path).body(Empty::new()) else { return EndReason::Unexpected };
        request.headers_mut().insert(HOST, HeaderValue::from_static("discovery"));
        let response = match timeout(SILENCE_TIMEOUT, send.send_request(request)).await {
            Err(_) => return EndReason::Silent,
            Ok(Err(_)) => return EndReason::PeerReset,
            Ok(Ok(response)) if response.status() != StatusCode::OK => return EndReason::Unexpected,
            Ok(Ok(response)) => response,
        };
        let (mut body, mut text) = (response.into_body(), Vec::new());
        loop {
            let data = match timeout(SILENCE_TIMEOUT, body.frame()).await {
                Err(_) => return EndReason::Silent,
                Ok(None) => return EndReason::PeerClosed,
                Ok(Some(Err(_))) => return EndReason::PeerReset,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            text.extend_from_slice(&data);
            while let Some(end) = text.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = text.drain(..=end).collect();
                lines.set(lines.get() + 1);
                self.answered.set(true);
                if line.trim_ascii().is_empty() {
                    continue;
                }
                if let Err(e) = self.apply(&line) {
                    log::warn!("discovery: {e}");
                    // after a line that could not be parsed the state is unknown: request the whole list again
                    self.generation.set(None);
                    return EndReason::Malformed;
                }
            }
            if text.len() > MAX_LINE_BYTES {
                return EndReason::Malformed;
            }
        }
    }

    /// Applies one message.
    fn apply(&self, line: &[u8]) -> Result<(), String> {
        let message: WireMembers = serde_json::from_slice(line).map_err(|e| e.to_string())?;
        let members = message.members(&self.zones);
        members.faults.iter().for_each(|fault| log::warn!("discovery: an entry left out: {fault}"));
        self.generation.set(Some(members.generation));
        if members.is_full || !members.entries.is_empty() {
            self.exchange.update_servers(
                if members.is_full { ListKind::Full } else { ListKind::Delta },
                members.entries,
            );
        }
        Ok(())
    }
}
