//! The list of servers, which only the leader reads from the platform.

mod reader;
mod row;

use crate::consensus_driver::ConsensusDriver;
use lupinledge_messaging::list::{ListedServer, ServerList};
use reader::ListReader;
use row::is_same_server;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

/// Time between the starts of two reads of the list, seconds; longer for a list of many pages.
const READ_INTERVAL_S: f64 = 0.7;
/// Added to [`READ_INTERVAL_S`] for each page after the first, seconds.
const INTERVAL_PER_PAGE_S: f64 = 0.05;
/// Upper bound on the interval, seconds.
const MAX_READ_INTERVAL_S: f64 = 1.2;
/// Most servers of a list.
const MAX_ROWS: usize = 20_000;
/// Time until the first retry of a failed read, seconds; doubled for each further one.
const MIN_RETRY_S: f64 = 0.1;
/// Upper bound on the time until a retry, seconds.
const MAX_RETRY_S: f64 = 1.6;
/// Time before a requested read that follows on another one.
const MIN_REREAD_GAP: Duration = Duration::from_millis(60);

/// The newest list, and the loop that reads it while this process leads.
pub struct ServerListPoller {
    consensus: Rc<ConsensusDriver>,
    list: RefCell<Rc<ServerList>>,
    /// The time at which the remaining warm-ups of the list were valid.
    read_at: Cell<Instant>,
    /// Notified when there is a newer list.
    pub updated: Notify,
    /// Notified to read the list at once.
    read_request: Notify,
    /// Address of the platform, and its limit of calls per second.
    platform: Cell<(SocketAddr, f64)>,
    /// Rows of the platform that could not be parsed or were over the limit.
    pub unreadable_rows: Cell<u64>,
    /// How long the last read of the whole list took, and its number of pages.
    pub last_read: Cell<(Duration, usize)>,
}

impl ServerListPoller {
    /// Starts the read loop. `platform`: its address, and its limit of calls per second. `zones`: all that may have servers.
    pub fn start(
        consensus: Rc<ConsensusDriver>,
        platform: (SocketAddr, f64),
        zones: Vec<String>,
    ) -> Rc<ServerListPoller> {
        let poller = Rc::new(ServerListPoller {
            consensus,
            list: RefCell::default(),
            read_at: Cell::new(Instant::now()),
            updated: Notify::new(),
            read_request: Notify::new(),
            platform: Cell::new(platform),
            unreadable_rows: Cell::new(0),
            last_read: Cell::default(),
        });
        tokio::task::spawn_local(poller.clone().run(ListReader::new(platform.0, zones)));
        poller
    }

    /// The newest list on this process.
    pub fn list(&self) -> Rc<ServerList> {
        self.list.borrow().clone()
    }

    /// Requests a read at once, as the servers may have changed.
    pub fn read_now(&self) {
        self.read_request.notify_one();
    }

    /// Takes over a list that another process has read, if it is newer.
    pub fn receive(&self, list: ServerList) {
        if list.number > self.list.borrow().number && list.rows.len() <= MAX_ROWS {
            *self.list.borrow_mut() = Rc::new(list);
            self.read_at.set(Instant::now());
            self.updated.notify_one();
        }
    }

    /// Sets the address of the platform and its limit of calls per second.
    pub fn set_platform(&self, address: SocketAddr, rate_per_s: f64) {
        if self.platform.replace((address, rate_per_s)).0 != address {
            self.read_request.notify_one();
        }
    }

    /// Reads the list in a loop, while this process leads.
    async fn run(self: Rc<ServerListPoller>, mut reader: ListReader) {
        let (mut retry_s, mut readable) = (MIN_RETRY_S, true);
        loop {
            if self.consensus.leading_epoch().is_none() {
                self.consensus.leadership_changed().await;
                continue;
            }
            let (address, rate_per_s) = self.platform.get();
            reader.set_address(address);
            // half of the permitted rate, as a former leader may still be reading
            let seconds_per_page = 2.0 / rate_per_s.max(0.1);
            let started = Instant::now();
            let wait = match reader.read(seconds_per_page).await {
                Ok(list) => {
                    if !std::mem::replace(&mut readable, true) {
                        tracing::info!(event = "list_back", rows = list.rows.len());
                    }
                    retry_s = MIN_RETRY_S;
                    self.unreadable_rows.set(self.unreadable_rows.get() + list.unreadable_rows);
                    self.last_read.set((started.elapsed(), list.pages));
                    self.publish(list.rows, started);
                    let interval_s = (READ_INTERVAL_S + INTERVAL_PER_PAGE_S * (list.pages - 1) as f64)
                        .min(MAX_READ_INTERVAL_S);
                    (interval_s - started.elapsed().as_secs_f64()).max(seconds_per_page * list.pages as f64)
                }
                Err(error) => {
                    if std::mem::replace(&mut readable, false) {
                        tracing::warn!(event = "list_unread", fault = ?error);
                    }
                    let wait = retry_s.max(seconds_per_page);
                    retry_s = (retry_s * 2.0).min(MAX_RETRY_S);
                    wait
                }
            };
            let wait = Duration::from_secs_f64(wait);
            let (requested, ()) =
                tokio::join!(timeout(wait, self.read_request.notified()), reader.reconnect());
            if requested.is_ok() {
                sleep(MIN_REREAD_GAP.max(Duration::from_secs_f64(seconds_per_page))).await;
            }
        }
    }

    /// Makes the rows the newest list, if they differ from the current one.
    fn publish(&self, rows: Vec<ListedServer>, started: Instant) {
        let Some(epoch) = self.consensus.leading_epoch() else { return };
        let current = self.list();
        let elapsed_s = started.saturating_duration_since(self.read_at.get()).as_secs_f32();
        let unchanged = current.rows.len() == rows.len()
            && current.rows.iter().zip(&rows).all(|(listed, row)| is_same_server(listed, row, elapsed_s));
        // an empty list after a non-empty one is taken for a fault of the platform
        if unchanged || (rows.is_empty() && !current.rows.is_empty()) {
            return;
        }
        let number = match current.number {
            (list_epoch, n) if list_epoch == epoch => (epoch, n + 1),
            (list_epoch, _) if list_epoch < epoch => (epoch, 1),
            _ => return,
        };
        *self.list.borrow_mut() = Rc::new(ServerList { number, rows });
        self.read_at.set(started);
        self.updated.notify_one();
    }
}
