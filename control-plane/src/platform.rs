//! The client for the platform's API. Its answers carry no id, so each read of the list has a connection of its own:
//! surplus answers of one read can not be taken for answers of the next. The connection for the next read is opened in
//! advance.

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

/// Time limit of a call, after which it is aborted and its connection closed.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest page.
const MAX_PAGE_BYTES: usize = 4 << 20;
/// Longest page token.
const MAX_TOKEN_BYTES: usize = 1024;

/// Reason for a failed read. The log shows the variant names.
#[derive(Debug)]
pub enum PlatformError {
    Slow,
    Unreachable,
    Status(#[allow(dead_code)] u16),
    Unreadable,
    /// A page links to itself.
    Repeated,
    /// A page of one zone has servers of another one.
    OtherZone,
    /// There were more pages than the limit.
    Endless,
}

/// A page of the list, and the token of the next page.
#[derive(Deserialize)]
pub struct Page {
    #[serde(rename = "instances")]
    pub rows: Vec<serde_json::Value>,
    #[serde(rename = "next_token", default)]
    pub next: Option<String>,
}

/// A client for the platform at one address.
pub struct PlatformClient {
    address: SocketAddr,
    connection: Option<SendRequest<Empty<Bytes>>>,
}

impl PlatformClient {
    /// A client that is not connected yet.
    pub fn new(address: SocketAddr) -> PlatformClient {
        PlatformClient { address, connection: None }
    }

    /// Ends a read of the list, and opens the connection for the next one.
    pub async fn reconnect(&mut self) {
        self.connection = None;
        self.connection = timeout(CALL_TIMEOUT, self.connect()).await.ok().and_then(Result::ok);
    }

    /// Requests the page with this token, or the first page; of the whole list, or of one zone.
    pub async fn page(&mut self, zone: Option<&str>, token: Option<&str>) -> Result<Page, PlatformError> {
        let mut path = "/instances".to_string();
        let parameters = [("zone", zone), ("page_token", token)];
        for (name, value) in parameters.into_iter().filter_map(|(name, value)| Some((name, value?))) {
            path.push(if path.contains('?') { '&' } else { '?' });
            path.push_str(name);
            path.push('=');
            percent_encode(value, &mut path);
        }
        let reused = self.connection.is_some();
        match timeout(CALL_TIMEOUT, self.call(&path)).await.unwrap_or(Err(PlatformError::Slow)) {
            // the reused connection may have been closed while it was idle
            Err(PlatformError::Unreachable) if reused => {
                self.connection = None;
                timeout(CALL_TIMEOUT, self.call(&path)).await.unwrap_or(Err(PlatformError::Slow))
            }
            result => result,
        }
    }

    /// Requests a page over the open connection, or over a new one.
    async fn call(&mut self, path: &str) -> Result<Page, PlatformError> {
        // taken out, so that the connection is dropped if the call is aborted
        let mut connection = match self.connection.take().filter(|connection| !connection.is_closed()) {
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
        let fits = page.next.as_ref().is_none_or(|token| token.len() <= MAX_TOKEN_BYTES);
        fits.then_some(page).ok_or(PlatformError::Unreadable)
    }

    /// Opens a connection and runs it in a task of its own.
    async fn connect(&self) -> Result<SendRequest<Empty<Bytes>>, PlatformError> {
        let stream = TcpStream::connect(self.address).await.map_err(|_| PlatformError::Unreachable)?;
        let _ = stream.set_nodelay(true);
        let (connection, io_task) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| PlatformError::Unreachable)?;
        tokio::task::spawn_local(async move {
            let _ = io_task.await;
        });
        Ok(connection)
    }
}

/// Appends `text` with all but the unreserved characters percent-encoded.
fn percent_encode(text: &str, out: &mut String) {
    for b in text.bytes() {
        if b.is_ascii_alphanumeric() || b"-._~".contains(&b) {
            out.push(char::from(b));
        } else {
            out.push_str(&format!("%{b:02X}"));
        }
    }
}
