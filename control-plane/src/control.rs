//! The HTTP side: calls of the operator and of clients that ask where to go.

use crate::command::{asked, of_query, Asked, Command, Reply};
use crate::founding::{named_state, FOUND};
use crate::hive::Hive;
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

const CONNECTIONS_MOST: usize = 256;
const BODY_MOST: usize = 16 << 20;
/// Bodies that are read at once: each may hold its largest size in memory.
const BODIES_AT_ONCE: usize = 3;
const HEAD_WAIT: Duration = Duration::from_secs(3);
const BODY_WAIT: Duration = Duration::from_secs(10);
const IDLE: Duration = Duration::from_secs(15);

type Answer = Response<Full<Bytes>>;

/// All connections, and what their calls are answered by.
pub struct Control {
    hive: Rc<Hive>,
    links: RefCell<BTreeMap<u64, Rc<Link>>>,
    opened: Cell<u64>,
    bodies: Semaphore,
    closing: Cell<bool>,
    /// The directory had nobody to name when it was asked last.
    nowhere: Cell<bool>,
}

struct Link {
    busy: Cell<bool>,
    used: Cell<bool>,
    since: Cell<Instant>,
    stop: Notify,
}

/// Binds all that the role serves to the outside.
pub fn bind(listen: &Listen) -> eyre::Result<Vec<TcpListener>> {
    let named = [("control", listen.control), ("directory", listen.directory)];
    let same = listen.control == listen.directory;
    let named =
        named.into_iter().take(if same { 1 } else { 2 }).filter_map(|(name, addr)| Some((name, addr?)));
    let bound = |addr: SocketAddr| {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(512)
    };
    named.map(|(name, addr)| bound(addr).wrap_err_with(|| format!("`listen.{name}`: {addr}"))).collect()
}

impl Control {
    /// Serves what comes in at these.
    pub fn open(hive: Rc<Hive>, gates: Vec<TcpListener>) -> Rc<Control> {
        let control = Rc::new(Control {
            hive,
            links: RefCell::default(),
            opened: Cell::new(0),
            bodies: Semaphore::new(BODIES_AT_ONCE),
            closing: Cell::new(false),
            nowhere: Cell::new(true),
        });
        for gate in gates {
            tokio::task::spawn_local(control.clone().accept(gate));
        }
        control
    }

    async fn accept(self: Rc<Control>, gate: TcpListener) {
        loop {
            match gate.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    self.make_room();
                    self.serve(stream);
                }
                // descriptors may lack for a moment
                Err(_) => sleep(Duration::from_millis(50)).await,
            }
        }
    }

    /// With too many connections, the one that was idle for longest ends.
    fn make_room(&self) {
        let links = self.links.borrow();
        if links.len() >= CONNECTIONS_MOST {
            let idle = links.values().filter(|l| !l.busy.get()).min_by_key(|l| l.since.get());
            idle.or(links.values().next()).into_iter().for_each(|l| l.stop.notify_one());
        }
    }

    fn serve(self: &Rc<Control>, stream: TcpStream) {
        let nth = self.opened.replace(self.opened.get() + 1);
        let link = Rc::new(Link {
            busy: Cell::new(false),
            used: Cell::new(false),
            since: Cell::new(Instant::now()),
            stop: Notify::new(),
        });
        self.links.borrow_mut().insert(nth, link.clone());
        let (control, calls) = (self.clone(), Calls { control: self.clone(), link: link.clone() });
        tokio::task::spawn_local(async move {
            let conn = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .auto_date_header(false)
                .max_buf_size(32 << 10)
                .serve_connection(TokioIo::new(stream), TowerToHyperService::new(calls));
            tokio::pin!(conn);
            let silent = async {
                sleep(HEAD_WAIT).await;
                if link.used.get() {
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                _ = conn.as_mut() => {}
                _ = link.stop.notified() => {
                    conn.as_mut().graceful_shutdown();
                    let _ = timeout(HEAD_WAIT, conn.as_mut()).await;
                }
                _ = silent => {}
            }
            control.links.borrow_mut().remove(&nth);
        });
    }

    /// From here on each answer is the last of its connection; ends when none is busy.
    pub async fn close(&self) {
        self.closing.set(true);
        self.links.borrow().values().for_each(|l| l.stop.notify_one());
        while self.links.borrow().values().any(|l| l.busy.get()) {
            sleep(Duration::from_millis(5)).await;
        }
    }

    async fn answer(&self, req: Request<Incoming>) -> Answer {
        let (head, body) = req.into_parts();
        let path = head.uri.path();
        let command = match asked(&head.method, path) {
            Asked::Resolve => return self.resolve(head.uri.query().unwrap_or_default()),
            Asked::Nodes => return json(StatusCode::OK, self.hive.nodes()),
            Asked::Core => return json(StatusCode::OK, self.hive.core()),
            Asked::FoundAnew => return self.found_anew(head.uri.query().unwrap_or_default()),
            Asked::Metrics => return Response::new(Full::from(self.hive.metrics())),
            Asked::Ready(command) => command,
            Asked::Put => match self.whole(body).await {
                Ok(body) => Command::PutConfig { body },
                Err(mut refusal) => {
                    // what is left of a body that nobody reads must not be taken for the next call
                    refusal.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                    return refusal;
                }
            },
            Asked::NoSuchMethod(allow) => {
                let mut answer = refuse(ErrorKind::NoSuchMethod, "not for this path");
                answer.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
                return answer;
            }
            Asked::Malformed(field) => return refuse(ErrorKind::Malformed, field),
            Asked::Nothing => return refuse(ErrorKind::NoSuchPath, "nothing is here"),
        };
        told(self.hive.clone().run(command).await, path)
    }

    async fn whole(&self, body: Incoming) -> Result<Bytes, Answer> {
        let too_large = || {
            let text = "body: over 16 MB";
            self.hive.refused("configuration", ErrorKind::TooLarge, text);
            refuse(ErrorKind::TooLarge, text)
        };
        if body.size_hint().lower() > BODY_MOST as u64 {
            return Err(too_large());
        }
        let Ok(_place) = self.bodies.acquire().await else { return Err(later()) };
        match timeout(BODY_WAIT, Limited::new(body, BODY_MOST).collect()).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large()),
            Ok(Err(_)) => Err(refuse(ErrorKind::Malformed, "body: broken off")),
            Err(_) => Err(fault(StatusCode::REQUEST_TIMEOUT, "late", "body: not whole in time")),
        }
    }

    /// Founds the core anew from the state that is named.
    fn found_anew(&self, query: &str) -> Answer {
        let newest = of_query(query, "newest").flatten();
        let Some(newest) = newest.as_deref().and_then(named_state) else {
            return refuse(ErrorKind::Malformed, "newest");
        };
        match self.hive.found_anew(newest) {
            Ok(()) => told(Reply::Done, FOUND),
            Err(why) => refuse(ErrorKind::Stale, &why),
        }
    }

    /// Where a client may go.
    fn resolve(&self, query: &str) -> Answer {
        let (Some(region), Some(_), Some(name)) =
            (of_query(query, "region"), of_query(query, "zone"), of_query(query, "name"))
        else {
            return refuse(ErrorKind::Malformed, "query");
        };
        let fronts = self.hive.fronts(&region.unwrap_or_default(), &name.unwrap_or_default());
        if self.nowhere.replace(fronts.is_empty()) != fronts.is_empty() {
            tracing::info!(event = "directory", fronts = fronts.len());
        }
        if fronts.is_empty() {
            return later();
        }
        json(StatusCode::OK, serde_json::json!({"addresses": fronts, "ttl_s": self.hive.ttl()}))
    }
}

/// The service of one connection.
#[derive(Clone)]
struct Calls {
    control: Rc<Control>,
    link: Rc<Link>,
}

impl Service<Request<Incoming>> for Calls {
    type Response = Answer;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Answer, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }
    fn call(&mut self, req: Request<Incoming>) -> Self::Future {
        self.link.used.set(true);
        self.link.busy.set(true);
        let busy = Busy(self.link.clone());
        let control = self.control.clone();
        Box::pin(async move {
            let mut answer = control.answer(req).await;
            if control.closing.get() {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            drop(busy);
            Ok(answer)
        })
    }
}

/// Marks a connection as used while it holds a call.
struct Busy(Rc<Link>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.since.set(Instant::now());
    }
}

/// What a reply of a command is on the wire.
fn told(reply: Reply, path: &str) -> Answer {
    match reply {
        Reply::Done => json(StatusCode::OK, serde_json::json!({"ok": true})),
        Reply::Config(body) => {
            let mut answer = Response::new(Full::new(body));
            answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            answer
        }
        Reply::Refused { kind, text } => refuse(kind, &text),
        Reply::Elsewhere(addr) => {
            let mut answer =
                json(StatusCode::TEMPORARY_REDIRECT, serde_json::json!({"at": addr.to_string()}));
            match HeaderValue::from_str(&format!("http://{addr}{path}")) {
                Ok(to) => drop(answer.headers_mut().insert(LOCATION, to)),
                Err(_) => return later(),
            }
            answer
        }
        Reply::Later => later(),
    }
}

fn json(status: StatusCode, body: serde_json::Value) -> Answer {
    let mut answer = Response::new(Full::from(body.to_string()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn fault(status: StatusCode, kind: &str, text: &str) -> Answer {
    json(status, serde_json::json!({"error": kind, "text": text}))
}

/// A refusal, by the table of error kinds.
fn refuse(kind: ErrorKind, text: &str) -> Answer {
    let status = StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::BAD_REQUEST);
    let mut answer = fault(status, kind.name(), text);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("0.3"));
    }
    answer
}

fn later() -> Answer {
    refuse(ErrorKind::Unsettled, "nobody here can tell now")
}
