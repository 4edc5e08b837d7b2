//! Hollow gateways on loopback: they find each other, and news that one has come to all.

use lupinledge_drone::hollow::Hollow;
use lupinledge_drone::size::Size;
use lupinledge_messaging::{Post, Word};
use lupinledge_propolis::{Document, Verdict};
use lupinledge_waggle::{Digest, Node};
use serde_bytes::ByteBuf;
use std::cell::RefCell;
use std::net::{Ipv4Addr, TcpListener};
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::{Builder, LocalOptions};

/// Far beyond what it takes on any machine: it fails only what never comes.
const NEVER: Duration = Duration::from_secs(60);

#[test]
fn a_document_told_to_one_is_in_force_at_all_and_calls_are_answered() {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(async {
        let id = std::process::id();
        let ip = |i: u8| Ipv4Addr::new(127, 64 + (id >> 8) as u8 % 128, id as u8, 200 + i);
        // a port that is free at all of them, until it is bound
        let port = TcpListener::bind((ip(0), 0)).and_then(|l| l.local_addr()).expect("a port").port();
        let size = Size { gateways: 4, servers: 5, services: 2, routes: 5, tenants: 9, regions: 2, zones: 3 };

        // stands in for the holder: hears what gateways call, and answers with totals
        let asked: Rc<RefCell<Vec<(Node, u64, usize)>>> = Rc::default();
        let heard = asked.clone();
        let on_word = Rc::new(move |from, word| {
            if let Word::Count { tag, calls, .. } = word {
                heard.borrow_mut().push((from, tag, calls.len()));
            }
        });
        let core = Post::open(ip(0).into(), port, on_word).expect("the core's sockets");
        let seeds = vec![Node::from(ip(1))];
        let all: Vec<Rc<Hollow>> = (1..=4)
            .map(|i| Hollow::open(&size, i.into(), ip(i), port, seeds.clone(), true).expect("a gateway"))
            .collect();
        all.iter().for_each(|h| drop(tokio::task::spawn_local(h.clone().run())));
        let until = |what: &'static str, there: Box<dyn Fn() -> bool>| async move {
            let look = async {
                while !there() {
                    tokio::task::yield_now().await;
                }
            };
            tokio::time::timeout(NEVER, look).await.unwrap_or_else(|_| panic!("never: {what}"));
        };
        let of = all.clone();
        until("all know all", Box::new(move || of.iter().all(|h| h.known() >= 3))).await;

        let Verdict::Take(document) = Document::default().put(&size.config(1, 0)) else { panic!("refused") };
        let mut bytes = Vec::new();
        lupinledge_messaging::encode(&document, &mut bytes).expect("a document");
        let digest = Digest { epoch: 3, holder: ip(0).into(), state: (3, 5), ..Digest::default() };
        let news = Word::News { digest, state: Some(((3, 5), ByteBuf::from(bytes))), list: None };
        core.send(ip(2).into(), &news);
        let of = all.clone();
        until("all hold it", Box::new(move || of.iter().all(|h| h.at.get().0 == 5))).await;

        all.iter().for_each(|h| drop(tokio::task::spawn_local(h.clone().count(50.0))));
        let (of, calls) = (all.clone(), asked.clone());
        let answered = move || {
            for (from, tag, calls) in calls.borrow_mut().drain(..) {
                core.send(from, &Word::Counted { tag, round: 0, totals: vec![16; calls] });
            }
            of.iter().all(|h| h.trips.borrow().len() >= 3)
        };
        until("calls are answered", Box::new(answered)).await;
    });
}
