//! Calls to the platform. Its answers bear no id, so each reading of the list has a connection of its own: what comes too
//! much in one is never read in the next. The connection for the next reading is opened ahead of it.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A call that takes longer is given up, with its connection.
const SLOW: Duration = Duration::from_secs(1);
const PAGE_MOST: usize = 4 << 20;
const TOKEN_MOST: usize = 1024;

/// Why a call brought nothing.
#[derive(Debug)]
pub enum Fault {
    Slow,
    Unreachable,
    Status(#[allow(dead_code)] u16),
    Unreadable,
    /// A page came again instead of the one after it.
    Repeated,
    /// The pages never end.
    Endless,
}

/// Some rows, and where the next are.
#[derive(Deserialize)]
pub struct Page {
    #[serde(rename = "instances")]
    pub rows: Vec<serde_json::Value>,
    #[serde(rename = "next_token", default)]
    pub next: Option<String>,
}

pub struct Platform {
    pub address: SocketAddr,
    link: Option<SendRequest<Empty<Bytes>>>,
}

impl Platform {
    pub fn new(address: SocketAddr) -> Platform {
        Platform { address, link: None }
    }

    /// A reading is over: the next one has a connection of its own, which is opened now.
    pub async fn renew(&mut self) {
        self.link = None;
        self.link = timeout(SLOW, self.dial()).await.ok().and_then(Result::ok);
    }

    /// The page that a token stands for; the first without one.
    pub async fn page(&mut self, token: Option<&str>) -> Result<Page, Fault> {
        let mut path = "/instances".to_string();
        if let Some(token) = token {
            path.push_str("?page_token=");
            escape(token, &mut path);
        }
        let kept = self.link.is_some();
        match timeout(SLOW, self.call(&path)).await.unwrap_or(Err(Fault::Slow)) {
            // the kept connection may have been closed while it was idle
            Err(Fault::Unreachable) if kept => {
                self.link = None;
                timeout(SLOW, self.call(&path)).await.unwrap_or(Err(Fault::Slow))
            }
            end => end,
        }
    }

    async fn call(&mut self, path: &str) -> Result<Page, Fault> {
        // taken out: whatever breaks off midway ends the connection
        let mut link = match self.link.take().filter(|l| !l.is_closed()) {
            Some(link) => link,
            None => self.dial().await?,
        };
        link.ready().await.map_err(|_| Fault::Unreachable)?;
        let req = Request::get(path).header(HOST, self.address.to_string()).body(Empty::new());
        let req = req.map_err(|_| Fault::Unreadable)?;
        let answer = link.send_request(req).await.map_err(|_| Fault::Unreachable)?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), PAGE_MOST).collect().await;
        let body = body.map_err(|_| Fault::Unreadable)?.to_bytes();
        self.link = Some(link);
        if status != StatusCode::OK {
            return Err(Fault::Status(status.as_u16()));
        }
        let page: Page = serde_json::from_slice(&body).map_err(|_| Fault::Unreadable)?;
        let fits = page.next.as_ref().is_none_or(|t| t.len() <= TOKEN_MOST);
        fits.then_some(page).ok_or(Fault::Unreadable)
    }

    async fn dial(&self) -> Result<SendRequest<Empty<Bytes>>, Fault> {
        let stream = TcpStream::connect(self.address).await.map_err(|_| Fault::Unreachable)?;
        let _ = stream.set_nodelay(true);
        let (link, conn) = http1::handshake(TokioIo::new(stream)).await.map_err(|_| Fault::Unreachable)?;
        tokio::task::spawn_local(async move {
            let _ = conn.await;
        });
        Ok(link)
    }
}

fn escape(text: &str, to: &mut String) {
    for b in text.bytes() {
        if b.is_ascii_alphanumeric() || b"-._~".contains(&b) {
            to.push(char::from(b));
        } else {
            to.push_str(&format!("%{b:02X}"));
        }
    }
}
