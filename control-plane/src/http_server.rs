//! The HTTP server for operator requests and for the directory that clients resolve hosts with.

use crate::command::{query_value, route, Command, Reply, Route};
use crate::control_plane::ControlPlane;
use crate::recovery::{parse_state, FOUND_PATH};
use bytes::Bytes;
use eyre::WrapErr;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONNECTION, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use lupinledge_config::settings::Listen;
use lupinledge_config::ErrorKind;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::time::{sleep, timeout, Instant};
use tower::Service;

/// Most open connections.
const MAX_CONNECTIONS: usize = 256;
/// Largest request body, 16 MiB.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Bodies that are read concurrently; each may occupy up to [`MAX_BODY_BYTES`] of memory.
const MAX_CONCURRENT_BODIES: usize = 3;
/// Time for the first request on a connection, and for a graceful shutdown.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Time to receive a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time to receive a request head, also on an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

type HttpResponse = Response<Full<Bytes>>;

/// The open connections, and the control plane that answers their requests.
pub struct HttpServer {
    control_plane: Rc<ControlPlane>,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    connections_opened: Cell<u64>,
    body_permits: Semaphore,
    closing: Cell<bool>,
    /// Whether the last directory request found no gateway; a change is logged.
    directory_empty: Cell<bool>,
}

/// The state of one client connection.
struct Connection {
    /// A request is being answered.
    busy: Cell<bool>,
    /// There has been a request.
    used: Cell<bool>,
    /// When the last request ended, or the connection was opened.
    idle_since: Cell<Instant>,
    stop: Notify,
}

/// Binds the listeners of the control and directory addresses.
pub fn bind(listen: &Listen) -> eyre::Result<Vec<TcpListener>> {
    let addresses = [("control", listen.control), ("directory", listen.directory)];
    let shared_address = listen.control == listen.directory;
    let addresses = addresses
        .into_iter()
        .take(if shared_address { 1 } else { 2 })
        .filter_map(|(name, address)| Some((name, address?)));
    let bind_listener = |address: SocketAddr| {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(512)
    };
    addresses
        .map(|(name, address)| bind_listener(address).wrap_err_with(|| format!("`listen.{name}`: {address}")))
        .collect()
}

impl HttpServer {
    /// Starts serving the connections of these listeners.
    pub fn open(control_plane: Rc<ControlPlane>, listeners: Vec<TcpListener>) -> Rc<HttpServer> {
        let server = Rc::new(HttpServer {
            control_plane,
            connections: RefCell::default(),
            connections_opened: Cell::new(0),
            body_permits: Semaphore::new(MAX_CONCURRENT_BODIES),
            closing: Cell::new(false),
            directory_empty: Cell::new(true),
        });
        for listener in listeners {
            tokio::task::spawn_local(server.clone().accept(listener));
        }
        server
    }

    /// Accepts connections in a loop.
    async fn accept(self: Rc<HttpServer>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    self.evict_idle();
                    self.serve(stream);
                }
                // file descriptors may be exhausted for a moment
                Err(_) => sleep(Duration::from_millis(50)).await,
            }
        }
    }

    /// At the connection limit, closes the connection that has been idle longest, or the oldest if all are busy.
    fn evict_idle(&self) {
        let connections = self.connections.borrow();
        if connections.len() >= MAX_CONNECTIONS {
            let idle = connections
                .values()
                .filter(|connection| !connection.busy.get())
                .min_by_key(|connection| connection.idle_since.get());
            idle.or(connections.values().next())
                .into_iter()
                .for_each(|connection| connection.stop.notify_one());
        }
    }

    /// Serves one connection in a task of its own.
    fn serve(self: &Rc<HttpServer>, stream: TcpStream) {
        let id = self.connections_opened.replace(self.connections_opened.get() + 1);
        let connection = Rc::new(Connection {
            busy: Cell::new(false),
            used: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            stop: Notify::new(),
        });
        self.connections.borrow_mut().insert(id, connection.clone());
        let (server, service) =
            (self.clone(), ConnectionService { server: self.clone(), connection: connection.clone() });
        tokio::task::spawn_local(async move {
            let conn = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .auto_date_header(false)
                .max_buf_size(32 << 10)
                .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
            tokio::pin!(conn);
            let no_request = async {
                sleep(HEAD_TIMEOUT).await;
                if connection.used.get() {
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                _ = conn.as_mut() => {}
                _ = connection.stop.notified() => {
                    conn.as_mut().graceful_shutdown();
                    let _ = timeout(HEAD_TIMEOUT, conn.as_mut()).await;
                }
                _ = no_request => {}
            }
            server.connections.borrow_mut().remove(&id);
        });
    }

    /// Closes each connection after its current response; returns when all requests are answered.
    pub async fn close(&self) {
        self.closing.set(true);
        self.connections.borrow().values().for_each(|connection| connection.stop.notify_one());
        while self.connections.borrow().values().any(|connection| connection.busy.get()) {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Answers one request.
    async fn respond(&self, request: Request<Incoming>) -> HttpResponse {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let command = match route(&head.method, path) {
            Route::Resolve => return self.resolve(head.uri.query().unwrap_or_default()),
            Route::Nodes => return json(StatusCode::OK, self.control_plane.nodes()),
            Route::Core => return json(StatusCode::OK, self.control_plane.core_status()),
            Route::FoundCore => return self.force_new_cluster(head.uri.query().unwrap_or_default()),
            Route::Metrics => return Response::new(Full::from(self.control_plane.metrics())),
            Route::NoBody(command) => command,
            Route::PutConfig => match self.read_body(body).await {
                Ok(body) => Command::PutConfig { body },
                Err(mut rejected) => {
                    // the unread rest of the body must not be parsed as the next request
                    rejected.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                    return rejected;
                }
            },
            Route::MethodNotAllowed(allow) => {
                let mut response = refusal(ErrorKind::NoSuchMethod, "method not allowed for this path");
                response.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
                return response;
            }
            Route::Malformed(field) => return refusal(ErrorKind::Malformed, field),
            Route::NotFound => return refusal(ErrorKind::NoSuchPath, "no such path"),
        };
        reply_response(self.control_plane.clone().execute(command).await, path)
    }

    /// Reads a whole request body; the error is the response.
    async fn read_body(&self, body: Incoming) -> Result<Bytes, HttpResponse> {
        let too_large = || {
            let text = "body: larger than 16 MB";
            self.control_plane.record_refusal("configuration", ErrorKind::TooLarge, text);
            refusal(ErrorKind::TooLarge, text)
        };
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err(too_large());
        }
        let Ok(_permit) = self.body_permits.acquire().await else { return Err(unavailable()) };
        match timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
            Ok(Err(_)) => Err(refusal(ErrorKind::Malformed, "body: incomplete")),
            Err(_) => Err(error_response(StatusCode::REQUEST_TIMEOUT, "late", "body: not received in time")),
        }
    }

    /// Forms a new core from the state that the query names.
    fn force_new_cluster(&self, query: &str) -> HttpResponse {
        let newest = query_value(query, "newest").flatten();
        let Some(newest) = newest.as_deref().and_then(parse_state) else {
            return refusal(ErrorKind::Malformed, "newest");
        };
        match self.control_plane.force_new_cluster(newest) {
            Ok(()) => reply_response(Reply::Done, FOUND_PATH),
            Err(error) => refusal(ErrorKind::Stale, &error),
        }
    }

    /// Answers a directory request with the gateway addresses for the client.
    fn resolve(&self, query: &str) -> HttpResponse {
        let (Some(region), Some(_), Some(name)) =
            (query_value(query, "region"), query_value(query, "zone"), query_value(query, "name"))
        else {
            return refusal(ErrorKind::Malformed, "query");
        };
        let gateway_addresses =
            self.control_plane.gateway_addresses(&region.unwrap_or_default(), &name.unwrap_or_default());
        if self.directory_empty.replace(gateway_addresses.is_empty()) != gateway_addresses.is_empty() {
            tracing::info!(event = "directory", fronts = gateway_addresses.len());
        }
        if gateway_addresses.is_empty() {
            return unavailable();
        }
        json(
            StatusCode::OK,
            serde_json::json!({"addresses": gateway_addresses, "ttl_s": self.control_plane.directory_ttl_s()}),
        )
    }
}

/// The request handler of one connection.
#[derive(Clone)]
struct ConnectionService {
    server: Rc<HttpServer>,
    connection: Rc<Connection>,
}

impl Service<Request<Incoming>> for ConnectionService {
    type Response = HttpResponse;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }
    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        self.connection.used.set(true);
        self.connection.busy.set(true);
        let busy = BusyGuard(self.connection.clone());
        let server = self.server.clone();
        Box::pin(async move {
            let mut response = server.respond(request).await;
            if server.closing.get() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            drop(busy);
            Ok(response)
        })
    }
}

/// Marks a connection as busy until dropped.
struct BusyGuard(Rc<Connection>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.idle_since.set(Instant::now());
    }
}

/// The HTTP response for the reply of a command.
fn reply_response(reply: Reply, path: &str) -> HttpResponse {
    match reply {
        Reply::Done => json(StatusCode::OK, serde_json::json!({"ok": true})),
        Reply::Config(body) => {
            let mut response = Response::new(Full::new(body));
            response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            response
        }
        Reply::Refused { kind, text } => refusal(kind, &text),
        Reply::Redirect(address) => {
            let mut response =
                json(StatusCode::TEMPORARY_REDIRECT, serde_json::json!({"at": address.to_string()}));
            match HeaderValue::from_str(&format!("http://{address}{path}")) {
                Ok(to) => drop(response.headers_mut().insert(LOCATION, to)),
                Err(_) => return unavailable(),
            }
            response
        }
        Reply::Unavailable => unavailable(),
    }
}

/// A response with a JSON body.
fn json(status: StatusCode, body: serde_json::Value) -> HttpResponse {
    let mut response = Response::new(Full::from(body.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// An error response with this status and kind.
fn error_response(status: StatusCode, kind: &str, text: &str) -> HttpResponse {
    json(status, serde_json::json!({"error": kind, "text": text}))
}

/// An error response with the status of its kind.
fn refusal(kind: ErrorKind, text: &str) -> HttpResponse {
    let status = StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::BAD_REQUEST);
    let mut response = error_response(status, kind.name(), text);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("0.3"));
    }
    response
}

/// The response if this process has no answer at the moment; the caller should retry.
fn unavailable() -> HttpResponse {
    refusal(ErrorKind::Unsettled, "the outcome is not known here at the moment")
}
