//! Discovery: the watch on the list of srvs, opened anew whenever it ends or falls silent.

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

/// An empty line comes every two seconds; after two that did not, the connection is taken to be dead. What a
/// new one brings is then still in time: news counts as told six seconds after it is made.
const SILENCE: Duration = Duration::from_millis(4500);

/// Between two tries: doubled from the first to the second figure. The agent is on this machine and answers
/// at no cost.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// The longest line: some thousands of srvs.
const LONGEST_LINE: usize = 4 << 20;

#[derive(Deserialize)]
pub struct WireMembers {
    generation: u64,
    #[serde(default)]
    reset: bool,
    instances: Vec<WireMember>,
}

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

/// A version of the list: whole, or what changed.
pub struct Members {
    pub generation: u64,
    pub whole: bool,
    pub entries: Vec<ServerListEntry>,
    /// What is wrong with entries that were left out.
    pub faults: Vec<String>,
}

impl WireMembers {
    pub fn members(self, zones: &[String]) -> Members {
        let (generation, whole) = (self.generation, self.reset);
        let mut m = Members { generation, whole, entries: Vec::new(), faults: Vec::new() };
        for entry in self.instances {
            match entry.entry(zones) {
                Ok(e) => m.entries.push(e),
                Err(fault) => m.faults.push(fault),
            }
        }
        m
    }
}

impl WireMember {
    fn entry(self, zones: &[String]) -> Result<ServerListEntry, String> {
        let state = match self.lifecycle.as_str() {
            "active" => ServerState::Ready,
            "leaving" => ServerState::Draining,
            "left" => ServerState::Gone,
            _ => ServerState::Draining, // whatever it is in, it does not say that it takes new work
        };
        let addr = self.host_port.parse::<SocketAddr>();
        let addr = addr.map_err(|_| format!("`hostPort`: `{}` is no address", self.host_port))?;
        let born = self.started_at_ms.filter(|ms| *ms > 0);
        let zone = zones.iter().position(|z| Some(z) == self.zone.as_ref());
        let server_entry = ServerEntry {
            server: 0,
            zone: zone.map_or(u16::MAX, |z| z as u16),
            cell: self.cell.unwrap_or_default(),
            state,
            weight: self.weight.unwrap_or(1.0),
            started_at: born.map(|ms| Timestamp::default() + Span::millis(ms as i64)),
        };
        Ok(ServerListEntry { name: self.instance_id, addr, server_entry })
    }
}

pub struct Discovery {
    exchange: Rc<Exchange>,
    addr: Cell<SocketAddr>,
    moved: Notify,
    zones: Vec<String>,
    connect_wait: Duration,
    generation: Cell<Option<u64>>,
    answered: Cell<bool>,
}

impl Discovery {
    pub fn start(
        exchange: &Rc<Exchange>,
        addr: SocketAddr,
        zones: Vec<String>,
        connect_wait: Span,
        known: Option<Members>,
    ) -> Rc<Discovery> {
        let generation = Cell::new(known.as_ref().map(|k| k.generation));
        let connect_wait = duration(connect_wait);
        let exchange = exchange.clone();
        if let Some(k) = known {
            exchange.update_servers(ListKind::Cached, k.entries);
        }
        let (addr, moved, answered) = (Cell::new(addr), Notify::new(), Cell::new(false));
        let d = Rc::new(Discovery { exchange, addr, moved, zones, connect_wait, generation, answered });
        tokio::task::spawn_local(d.clone().follow());
        d
    }

    /// Discovery has another address: the list as it is serves until the watch there goes on from it.
    pub fn move_to(&self, addr: SocketAddr) {
        if self.addr.replace(addr) != addr {
            self.moved.notify_one();
        }
    }

    /// Whether the watch has brought a line.
    pub fn answered(&self) -> bool {
        self.answered.get()
    }

    async fn follow(self: Rc<Discovery>) {
        let mut pause = BACK_OFF.0;
        loop {
            let addr = self.addr.get();
            let ending = EndLog::new("discovery", addr);
            let lines = Cell::new(0u64);
            tokio::select! {
                why = self.watch(addr, &lines) => ending.set_reason(why),
                _ = self.moved.notified() => {
                    ending.set_reason(EndReason::Moved);
                    pause = BACK_OFF.0;
                    continue;
                }
            }
            drop(ending);
            if lines.get() > 1 {
                pause = BACK_OFF.0;
            }
            tokio::select! {
                _ = tokio::time::sleep(pause) => pause = (pause * 2).min(BACK_OFF.1),
                _ = self.moved.notified() => pause = BACK_OFF.0,
            }
        }
    }

    async fn watch(&self, addr: SocketAddr, lines: &Cell<u64>) -> EndReason {
        let stream = match connect(addr, self.connect_wait, None).await {
            Ok(stream) => stream,
            Err(e) => return EndReason::from_connect_error(&e),
        };
        let Ok((mut send, conn)) = http1::handshake(TokioIo::new(stream)).await else {
            return EndReason::PeerReset;
        };
        // ended with this future, also where that is dropped
        let conn = std::pin::pin!(conn);
        tokio::select! {
            biased;
            why = self.lines(&mut send, lines) => why,
            _ = conn => EndReason::PeerReset,
        }
    }

    async fn lines(&self, send: &mut http1::SendRequest<Empty<Bytes>>, lines: &Cell<u64>) -> EndReason {
        let path = match self.generation.get() {
            Some(g) => format!("/catalog/members?watch=1&from={g}"),
            None => "/catalog/members?watch=1".to_string(),
        };
        let Ok(mut req) = Request::get(path).body(Empty::new()) else { return EndReason::Unexpected };
        req.headers_mut().insert(HOST, HeaderValue::from_static("discovery"));
        let answer = match timeout(SILENCE, send.send_request(req)).await {
            Err(_) => return EndReason::Silent,
            Ok(Err(_)) => return EndReason::PeerReset,
            Ok(Ok(answer)) if answer.status() != StatusCode::OK => return EndReason::Unexpected,
            Ok(Ok(answer)) => answer,
        };
        let (mut body, mut text) = (answer.into_body(), Vec::new());
        loop {
            let data = match timeout(SILENCE, body.frame()).await {
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
                if let Err(e) = self.news(&line) {
                    log::warn!("discovery: {e}");
                    // nothing after a line that was not understood can be relied on: the whole list again
                    self.generation.set(None);
                    return EndReason::Malformed;
                }
            }
            if text.len() > LONGEST_LINE {
                return EndReason::Malformed;
            }
        }
    }

    fn news(&self, line: &[u8]) -> Result<(), String> {
        let wire: WireMembers = serde_json::from_slice(line).map_err(|e| e.to_string())?;
        let news = wire.members(&self.zones);
        news.faults.iter().for_each(|f| log::warn!("discovery: an entry left out: {f}"));
        self.generation.set(Some(news.generation));
        if news.whole || !news.entries.is_empty() {
            self.exchange
                .update_servers(if news.whole { ListKind::Full } else { ListKind::Delta }, news.entries);
        }
        Ok(())
    }
}
