//! The platform's list of servers: asked for by the duty holder alone.

use crate::agree::Agree;
use crate::platform::{Fault, Platform};
use lupinledge_messaging::list::{ListedServer, ServerList};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

/// From one reading of the list to the next, longer for one of many pages.
const EACH: f64 = 0.7;
const EACH_PAGE: f64 = 0.05;
const EACH_MOST: f64 = 1.2;
const ROWS_MOST: usize = 20_000;
const PAGES_MOST: usize = 1_000;
const TEXT_MOST: usize = 200;
const SLOTS_MOST: f64 = 100_000.0;
const WARM_MOST: f64 = 86_400.0;
/// A warm-up that is this much longer than it should be by now has begun anew.
const COLD_AGAIN: f32 = 0.5;
const PAUSE_LEAST: f64 = 0.1;
const PAUSE_MOST: f64 = 1.6;
/// Calls that follow on each other are so far apart.
const BUSY: Duration = Duration::from_millis(60);

/// The newest list, and the loop that reads it.
pub struct Brood {
    agree: Rc<Agree>,
    list: RefCell<Rc<ServerList>>,
    /// When the warm-ups of the list were as they say.
    read_at: Cell<Instant>,
    /// Told when there is a newer list.
    pub renewed: Notify,
    /// Read at once.
    again: Notify,
    /// Where the platform is, and how many calls a second it takes.
    platform: Cell<(SocketAddr, f64)>,
    pub unreadable: Cell<u64>,
}

impl Brood {
    pub fn start(agree: Rc<Agree>, address: SocketAddr, rate_per_s: f64) -> Rc<Brood> {
        let brood = Rc::new(Brood {
            agree,
            list: RefCell::default(),
            read_at: Cell::new(Instant::now()),
            renewed: Notify::new(),
            again: Notify::new(),
            platform: Cell::new((address, rate_per_s)),
            unreadable: Cell::new(0),
        });
        tokio::task::spawn_local(brood.clone().run(Platform::new(address)));
        brood
    }

    /// The newest list that is known here.
    pub fn list(&self) -> Rc<ServerList> {
        self.list.borrow().clone()
    }

    /// Servers may have changed: read at once.
    pub fn hurry(&self) {
        self.again.notify_one();
    }

    /// Takes a list that another one read, if it is newer.
    pub fn heard(&self, list: ServerList) {
        if list.number > self.list.borrow().number && list.rows.len() <= ROWS_MOST {
            *self.list.borrow_mut() = Rc::new(list);
            self.read_at.set(Instant::now());
            self.renewed.notify_one();
        }
    }

    /// The platform is there from here on, and takes so many calls a second.
    pub fn retell(&self, address: SocketAddr, rate_per_s: f64) {
        if self.platform.replace((address, rate_per_s)).0 != address {
            self.again.notify_one();
        }
    }

    async fn run(self: Rc<Brood>, mut platform: Platform) {
        let (mut pause, mut fine) = (PAUSE_LEAST, true);
        loop {
            if self.agree.leads().is_none() {
                self.agree.changed().await;
                continue;
            }
            let (address, rate_per_s) = self.platform.get();
            if platform.address != address {
                platform = Platform::new(address);
            }
            // half of what is allowed: a former holder may still be at it
            let each_page = 2.0 / rate_per_s.max(0.1);
            let begun = Instant::now();
            let read = self.read(&mut platform, each_page).await;
            let wait = match read {
                Ok((rows, pages)) => {
                    if !std::mem::replace(&mut fine, true) {
                        tracing::info!(event = "list_back", rows = rows.len());
                    }
                    pause = PAUSE_LEAST;
                    self.settle(rows, begun);
                    let each = (EACH + EACH_PAGE * (pages - 1) as f64).min(EACH_MOST);
                    (each - begun.elapsed().as_secs_f64()).max(each_page * pages as f64)
                }
                Err(fault) => {
                    if std::mem::replace(&mut fine, false) {
                        tracing::warn!(event = "list_unread", fault = ?fault);
                    }
                    let wait = pause.max(each_page);
                    pause = (pause * 2.0).min(PAUSE_MOST);
                    wait
                }
            };
            let wait = Duration::from_secs_f64(wait);
            let (hurried, ()) = tokio::join!(timeout(wait, self.again.notified()), platform.renew());
            if hurried.is_ok() {
                sleep(BUSY.max(Duration::from_secs_f64(each_page))).await;
            }
        }
    }

    /// The whole list, page by page, and how many pages it had.
    async fn read(
        &self,
        platform: &mut Platform,
        each_page: f64,
    ) -> Result<(Vec<ListedServer>, usize), Fault> {
        let (mut rows, mut token) = (BTreeMap::new(), None::<String>);
        for pages in 1..=PAGES_MOST {
            let page = platform.page(token.as_deref()).await?;
            for row in page.rows {
                match row_of(row) {
                    Some(row) if rows.len() < ROWS_MOST => drop(rows.insert(row.id.clone(), row)),
                    _ => self.unreadable.set(self.unreadable.get() + 1),
                }
            }
            match page.next {
                Some(next) if token.as_ref() == Some(&next) => return Err(Fault::Repeated),
                Some(next) => token = Some(next),
                None => return Ok((rows.into_values().collect(), pages)),
            }
            if pages % 8 == 0 {
                sleep(Duration::from_secs_f64(each_page * 8.0)).await;
            }
        }
        Err(Fault::Endless)
    }

    /// Makes what was read the newest list, if it tells anything new.
    fn settle(&self, rows: Vec<ListedServer>, begun: Instant) {
        let Some(epoch) = self.agree.leads() else { return };
        let known = self.list();
        let since = begun.saturating_duration_since(self.read_at.get()).as_secs_f32();
        let same =
            known.rows.len() == rows.len() && known.rows.iter().zip(&rows).all(|(k, r)| same(k, r, since));
        // a platform that forgot everything is in trouble itself
        if same || (rows.is_empty() && !known.rows.is_empty()) {
            return;
        }
        let number = match known.number {
            (e, n) if e == epoch => (epoch, n + 1),
            (e, _) if e < epoch => (epoch, 1),
            _ => return,
        };
        *self.list.borrow_mut() = Rc::new(ServerList { number, rows });
        self.read_at.set(begun);
        self.renewed.notify_one();
    }
}

fn same(known: &ListedServer, read: &ListedServer, since: f32) -> bool {
    let left = (known.warmup_left_s - since).max(0.0);
    read.warmup_left_s <= left + COLD_AGAIN
        && ListedServer { warmup_left_s: known.warmup_left_s, ..read.clone() } == *known
}

/// A row as the platform tells it; what it lacks makes it unreadable, not the page.
fn row_of(row: serde_json::Value) -> Option<ListedServer> {
    let text = |name: &str| {
        let text = row.get(name)?.as_str()?;
        (!text.is_empty() && text.len() <= TEXT_MOST).then(|| text.to_string())
    };
    let number = |name: &str| row.get(name).and_then(serde_json::Value::as_f64).filter(|n| *n >= 0.0);
    // it goes into a header
    let id = text("id").filter(|id| id.bytes().all(|b| b.is_ascii_graphic()))?;
    Some(ListedServer {
        id,
        service: text("service")?,
        address: text("address")?.parse().ok()?,
        zone: text("zone")?,
        slots: number("slots").filter(|s| (1.0..=SLOTS_MOST).contains(s))? as u32,
        draining: row.get("state").and_then(|s| s.as_str()) == Some("draining"),
        warmup_left_s: number("warmup_left_s").unwrap_or(0.0).min(WARM_MOST) as f32,
    })
}

#[cfg(test)]
mod tests;
