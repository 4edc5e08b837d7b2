//! Reads the platform's list: page after page, or all zones at the same time where that takes too long.
//!
//! Each page has to arrive before the next one can be requested, so a long list takes many round trips to the platform,
//! which may be in another region. The pages of different zones can be requested at the same time.

use super::row::parse_row;
use crate::platform::{PlatformClient, PlatformError};
use futures_util::future::{join_all, try_join_all};
use lupinledge_messaging::list::ListedServer;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Most servers of a list.
const MAX_ROWS: usize = 20_000;
/// Most pages of a list, or of a zone.
const MAX_PAGES: usize = 1_000;
/// A read that takes longer is followed by reads of all zones at the same time.
const SLOW_READ: Duration = Duration::from_millis(300);
/// Reading by zones takes one call more for each zone at the most. It is not done for lists of fewer pages than this share
/// of the number of zones, for which that would be many.
const MIN_PAGES_PER_ZONE: f64 = 2.0 / 3.0;
/// Calls that may be made at once before they are spread over time.
const BURST_CALLS: u32 = 12;

/// A whole list.
#[derive(Debug, Default)]
pub(super) struct ReadList {
    /// Sorted by id.
    pub(super) rows: Vec<ListedServer>,
    pub(super) pages: usize,
    /// Rows that could not be parsed or were over the limit.
    pub(super) unreadable_rows: u64,
}

/// Reads the list of one platform.
pub(super) struct ListReader {
    address: SocketAddr,
    whole: PlatformClient,
    /// A client for each zone, by its name.
    zones: Vec<(String, PlatformClient)>,
    reads_by_zone: bool,
    /// Whether the platform has sent only servers of the requested zone so far.
    selects_zones: bool,
    pace: Pace,
}

impl ListReader {
    /// A reader that is not connected yet.
    pub(super) fn new(address: SocketAddr, zones: Vec<String>) -> ListReader {
        let client = |zone| (zone, PlatformClient::new(address));
        ListReader {
            address,
            whole: PlatformClient::new(address),
            zones: zones.into_iter().map(client).collect(),
            reads_by_zone: false,
            selects_zones: true,
            pace: Pace { next_call: Cell::new(Instant::now()) },
        }
    }

    /// Sets the address of the platform.
    pub(super) fn set_address(&mut self, address: SocketAddr) {
        if self.address != address {
            let zones = std::mem::take(&mut self.zones);
            *self = ListReader::new(address, zones.into_iter().map(|(zone, _)| zone).collect());
        }
    }

    /// Opens the connections for the next read.
    pub(super) async fn reconnect(&mut self) {
        if self.reads_by_zone {
            join_all(self.zones.iter_mut().map(|(_, client)| client.reconnect())).await;
        } else {
            self.whole.reconnect().await;
        }
    }

    /// Reads the whole list, with this many seconds between two calls on average.
    pub(super) async fn read(&mut self, seconds_per_call: f64) -> Result<ReadList, PlatformError> {
        let spacing = Duration::from_secs_f64(seconds_per_call);
        if self.reads_by_zone {
            return self.read_by_zone(spacing).await;
        }
        let started = Instant::now();
        let list = read_pages(&mut self.whole, None, &self.pace, spacing).await?;
        let long = list.pages as f64 >= MIN_PAGES_PER_ZONE * self.zones.len() as f64;
        self.reads_by_zone =
            self.selects_zones && self.zones.len() > 1 && long && started.elapsed() > SLOW_READ;
        Ok(list)
    }

    /// Reads the lists of all zones at the same time. Goes back to the whole list if the platform does not select by zone.
    async fn read_by_zone(&mut self, spacing: Duration) -> Result<ReadList, PlatformError> {
        let pace = &self.pace;
        let reads = self.zones.iter_mut().map(|(zone, client)| read_pages(client, Some(zone), pace, spacing));
        let result = try_join_all(reads).await;
        if matches!(result, Err(PlatformError::OtherZone)) {
            (self.reads_by_zone, self.selects_zones) = (false, false);
        }
        let (mut rows, mut list) = (BTreeMap::new(), ReadList::default());
        for zone_list in result? {
            list.pages += zone_list.pages;
            list.unreadable_rows += zone_list.unreadable_rows;
            rows.extend(zone_list.rows.into_iter().map(|row| (row.id.clone(), row)));
        }
        list.rows = rows.into_values().take(MAX_ROWS).collect();
        Ok(list)
    }
}

/// Reads the list of a zone, or the whole one, page by page.
async fn read_pages(
    platform: &mut PlatformClient,
    zone: Option<&str>,
    pace: &Pace,
    spacing: Duration,
) -> Result<ReadList, PlatformError> {
    let (mut rows, mut token, mut unreadable_rows) = (BTreeMap::new(), None::<String>, 0);
    for pages in 1..=MAX_PAGES {
        pace.wait(spacing).await;
        let page = platform.page(zone, token.as_deref()).await?;
        for row in page.rows {
            match parse_row(row) {
                Some(row) if zone.is_some_and(|zone| row.zone != zone) => {
                    return Err(PlatformError::OtherZone);
                }
                Some(row) if rows.len() < MAX_ROWS => drop(rows.insert(row.id.clone(), row)),
                _ => unreadable_rows += 1,
            }
        }
        match page.next {
            Some(next) if token.as_ref() == Some(&next) => return Err(PlatformError::Repeated),
            Some(next) => token = Some(next),
            None => return Ok(ReadList { rows: rows.into_values().collect(), pages, unreadable_rows }),
        }
    }
    Err(PlatformError::Endless)
}

/// Spreads calls over time, after a burst.
struct Pace {
    /// When the next call would be due if there were no bursts.
    next_call: Cell<Instant>,
}

impl Pace {
    /// Waits until the next call may be made.
    async fn wait(&self, spacing: Duration) {
        let now = Instant::now();
        let due = self.next_call.get().max(now.checked_sub(spacing * BURST_CALLS).unwrap_or(now));
        self.next_call.set(due + spacing);
        if due > now {
            sleep_until(due).await;
        }
    }
}
