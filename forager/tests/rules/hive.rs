//! A stand-in for the hive: one process that holds the duty, tells documents and lists of servers, counts, and shows
//! its clock. It dances with the system's own parts.

use lupinledge_dance::{Dance, Host, News};
use lupinledge_propolis::{Document, Settings};
use lupinledge_queen::Stamp;
use lupinledge_waggle::{Card, Source};
use lupinledge_wax::list::{List, Row};
use lupinledge_wax::{encode, parts, units, Node, Word};
use serde_bytes::ByteBuf;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::runtime::{Builder, LocalOptions};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

enum Order {
    Document(u64, Document),
    Rows(u64, Vec<Row>),
    /// Straight to a process, without keeping it.
    Say(Node, Stamp, Document),
}

/// Ends when dropped.
pub struct Hive {
    orders: UnboundedSender<Order>,
    /// Requests that others have added to each customer's counter.
    pub others: Arc<AtomicU64>,
    /// Requests that were added to counters so far.
    pub added: Arc<AtomicU64>,
}

/// Answers the words that are not of the dance.
struct Holder {
    dance: Rc<Dance>,
    totals: RefCell<HashMap<u64, f64>>,
    others: Arc<AtomicU64>,
    added: Arc<AtomicU64>,
}

impl Host for Holder {
    fn news(&self, _: News) {}
    fn word(&self, from: Node, word: Word) {
        let answer = match word {
            Word::Clock { sent } => Word::ClockIs { sent, hive: 1000.0 + self.dance.now() },
            Word::Count { tag, calls, .. } => {
                let mut sums = self.totals.borrow_mut();
                let add = |(name, sum, _): (u64, i64, u16)| {
                    let sum = units(sum);
                    let before = sums.insert(name, sum).unwrap_or(0.0);
                    self.added.fetch_add((sum - before).max(0.0) as u64, Ordering::SeqCst);
                    parts(sum + self.others.load(Ordering::SeqCst) as f64)
                };
                let totals = calls.into_iter().map(add).collect();
                Word::Counted { tag, epoch: 1, totals }
            }
            _ => return,
        };
        self.dance.post().send(from, &answer);
    }
}

fn bytes(what: &Document) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(what, &mut bytes).expect("plain data");
    bytes
}

impl Hive {
    /// Has bound its port when it returns.
    pub fn start(settings: Settings) -> Hive {
        let (orders, from) = unbounded_channel();
        let hive = Hive { orders, others: Arc::default(), added: Arc::default() };
        let (others, added) = (hive.others.clone(), hive.added.clone());
        let (bound, is_bound) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
            runtime.expect("a runtime").block_on(run(settings, from, others, added, bound));
        });
        is_bound.recv().expect("its port");
        hive
    }
    /// Tells a document under a stamp of the epoch.
    pub fn document(&self, index: u64, document: Document) {
        let _ = self.orders.send(Order::Document(index, document));
    }
    pub fn rows(&self, number: u64, rows: Vec<Row>) {
        let _ = self.orders.send(Order::Rows(number, rows));
    }
    /// What an honest holder would not say.
    pub fn say(&self, to: Node, (epoch, index): (u64, u64), document: Document) {
        let _ = self.orders.send(Order::Say(to, Stamp { epoch, index }, document));
    }
}

async fn run(
    settings: Settings,
    mut orders: UnboundedReceiver<Order>,
    others: Arc<AtomicU64>,
    added: Arc<AtomicU64>,
    bound: std::sync::mpsc::Sender<()>,
) {
    let (region, zone) = (settings.region.clone(), settings.zone.clone());
    let (front, control) = (None, settings.seeds.first().copied());
    let card = Card { core: true, region, zone, front, control, ready: true, leaving: false, load: 0 };
    let dance = Dance::open(&settings, card, false).expect("the hive's port");
    let _ = bound.send(());
    let holder = Rc::new(Holder { dance: dance.clone(), totals: RefCell::default(), others, added });
    let host: Rc<dyn Host> = holder.clone();
    dance.attend(Rc::downgrade(&host));
    tokio::task::spawn_local(dance.clone().run());
    dance.tell(News { epoch: Some((1, dance.me())), ..News::default() }, Source::Origin);
    while let Some(order) = orders.recv().await {
        match order {
            Order::Document(index, d) => {
                let state = Some(((1, index), Rc::from(bytes(&d))));
                dance.tell(News { state, ..News::default() }, Source::Origin);
            }
            Order::Rows(number, rows) => {
                let list = Some(((1, number), Rc::from(List { number: (1, number), rows }.encode())));
                dance.tell(News { list, ..News::default() }, Source::Origin);
            }
            Order::Say(to, stamp, d) => {
                let state = Some(((stamp.epoch, stamp.index), ByteBuf::from(bytes(&d))));
                let news = Word::News { digest: Default::default(), state, list: None };
                dance.post().send(to, &news);
            }
        }
    }
    dance.post().close();
}
