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
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_PAGE_BYTES: usize = 4 << 20;
const MAX_TOKEN_BYTES: usize = 1024;

/// Why a call brought nothing.
#[derive(Debug)]
pub enum PlatformError {
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

pub struct PlatformClient {
    pub address: SocketAddr,
    connection: Option<SendRequest<Empty<Bytes>>>,
}

impl PlatformClient {
    pub fn new(address: SocketAddr) -> PlatformClient {
        PlatformClient { address, connection: None }
    }

    /// A reading is over: the next one has a connection of its own, which is opened now.
    pub async fn reconnect(&mut self) {
        self.connection = None;
        self.connection = timeout(CALL_TIMEOUT, self.connect()).await.ok().and_then(Result::ok);
    }

    /// The page that a token stands for; the first without one.
    pub async fn page(&mut self, token: Option<&str>) -> Result<Page, PlatformError> {
        let mut path = "/instances".to_string();
        if let Some(token) = token {
            path.push_str("?page_token=");
            percent_encode(token, &mut path);
        }
        let reused = self.connection.is_some();
        match timeout(CALL_TIMEOUT, self.call(&path)).await.unwrap_or(Err(PlatformError::Slow)) {
            // the kept connection may have been closed while it was idle
            Err(PlatformError::Unreachable) if reused => {
                self.connection = None;
                timeout(CALL_TIMEOUT, self.call(&path)).await.unwrap_or(Err(PlatformError::Slow))
            }
            result => result,
        }
    }

    async fn call(&mut self, path: &str) -> Result<Page, PlatformError> {
        // taken out: whatever breaks off midway ends the connection
        let mut connection = match self.connection.take().filter(|l| !l.is_closed()) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        connection.ready().await.map_err(|_| PlatformError::Unreachable)?;
        let request = Request::get(path).header(HOST, self.address.to_string()).body(Empty::new());
        let request = request.map_err(|_| PlatformError::Unreadable)?;
        let answer = connection.send_request(request).await.map_err(|_| PlatformError::Unreachable)?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_PAGE_BYTES).collect().await;
        let body = body.map_err(|_| PlatformError::Unreadable)?.to_bytes();
        self.connection = Some(connection);
        if status != StatusCode::OK {
            return Err(PlatformError::Status(status.as_u16()));
        }
        let page: Page = serde_json::from_slice(&body).map_err(|_| PlatformError::Unreadable)?;
        let fits = page.next.as_ref().is_none_or(|t| t.len() <= MAX_TOKEN_BYTES);
        fits.then_some(page).ok_or(PlatformError::Unreadable)
    }

    async fn connect(&self) -> Result<SendRequest<Empty<Bytes>>, PlatformError> {
        let stream = TcpStream::connect(self.address).await.map_err(|_| PlatformError::Unreachable)?;
        let _ = stream.set_nodelay(true);
        let (connection, conn) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| PlatformError::Unreachable)?;
        tokio::task::spawn_local(async move {
            let _ = conn.await;
        });
        Ok(connection)
    }
}

fn percent_encode(text: &str, out: &mut String) {
    for b in text.bytes() {
        if b.is_ascii_alphanumeric() || b"-._~".contains(&b) {
            out.push(char::from(b));
        } else {
            out.push_str(&format!("%{b:02X}"));
        }
    }
}
