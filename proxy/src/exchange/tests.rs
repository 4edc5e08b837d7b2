use super::*;
use lupinledge::interface::Effect;

struct Words;

impl Protocol for Words {
    type ForwardedRequest = ();
    type ServerResponse = &'static str;
}

/// A server side that leaves each dispatch open.
struct ServerConnections;

impl ServerSide<Words> for ServerConnections {
    fn send(&self, _: Dispatch<Words>) -> CancelDispatch {
        Box::new(|| {})
    }
    fn close_idle(&self, _: u32) {}
}

fn play(x: &Exchange<Words>) {
    let events = std::mem::take(&mut *x.events.borrow_mut());
    x.round(x.clock.now(), events);
}

fn exchange() -> Rc<Exchange<Words>> {
    let v: serde_json::Value =
        serde_json::from_str(include_str!("../../../example/config.json")).expect("JSON");
    let terms = lupinledge_gateway_settings::terms(1, &v["settings"]).expect("terms");
    let x = Exchange::new(terms, Clock::start(), Rc::default());
    x.attach(Rc::new(ServerConnections), None);
    x
}

fn entry(name: &str, port: u16, state: ServerState) -> ServerListEntry {
    let server_entry = ServerEntry { server: 0, zone: 0, cell: 0, state, weight: 1.0, started_at: None };
    ServerListEntry { name: name.to_string(), addr: ([127, 0, 0, 1], port).into(), server_entry }
}

fn take(x: &Rc<Exchange<Words>>) -> PendingRequest<Words> {
    let time_left = Span::from_secs(1.0);
    let (repeat, units, customer, plan, spread, zones) = (false, 1.0, 1, 2, 1.0, u64::MAX);
    x.submit(NewRequest { id: 0, frontend: 0, repeat, units, customer, plan, spread, time_left, zones }, ())
}

/// Srvs replaced all day by new ones at the same address leave nothing behind, except where a dispatch is
/// out: its index belongs to that srv until it ends. The new ones are cold.
#[test]
fn replaced_srvs_are_forgotten() {
    let x = exchange();
    x.update_servers(ListKind::Full, vec![entry("0", 1, ServerState::Ready)]);
    play(&x);
    let ticket = take(&x);
    play(&x);
    for n in 1..200u16 {
        let old = entry(&(n - 1).to_string(), 1, ServerState::Gone);
        x.update_servers(ListKind::Delta, vec![old, entry(&n.to_string(), 1, ServerState::Ready)]);
        let born = match x.events.borrow().last() {
            Some(Event::List { rows, .. }) => {
                rows.iter().map(|r| (r.server, r.started_at.is_some())).collect()
            }
            _ => Vec::new(),
        };
        assert_eq!(born, [(n as u32, n > 1), (n as u32 + 1, true)]);
        play(&x);
    }
    let kept = |x: &Exchange<Words>| (x.srvs.borrow().by_index.len(), x.srvs.borrow().by_name.len());
    assert_eq!(kept(&x), (2, 2), "the last, and the first, where a dispatch is out");
    assert!(x.srvs.borrow().by_index.contains_key(&1));
    x.dispatch_ended(1, 0, DispatchResult::without_response(Outcome::Error));
    assert_eq!(kept(&x), (1, 1));
    drop(ticket);
}

/// A dispatch decided on in the round that also hears of the client's leaving gets its end: else it would
/// be out for good in the eyes of the decisions, and its place in the pool with it.
#[test]
fn left_in_the_round_of_a_further_dispatch() {
    let x = exchange();
    x.update_servers(
        ListKind::Full,
        vec![entry("a", 1, ServerState::Ready), entry("b", 2, ServerState::Ready)],
    );
    let ticket = take(&x);
    play(&x);
    x.dispatch_ended(1, 0, DispatchResult::without_response(Outcome::Error));
    drop(ticket);
    play(&x);
    play(&x);
    let counters = x.counters.to_string();
    assert!(counters.contains(" dispatches=2 ") && counters.contains("dispatch.not_sent=1"), "{counters}");
    assert!(x.open.borrow().is_empty());
}

/// Where no dispatch passes, the client gets the answer that told of a failure, and a mere abort where there
/// was none. Terms changed before the req hold for it.
#[test]
fn a_failure_told_is_the_answer() {
    for told in [Some("made no sense"), None] {
        let x = exchange();
        x.update_servers(ListKind::Full, vec![entry("a", 1, ServerState::Ready)]);
        let mut terms = (*x.terms()).clone();
        terms.frontends[0].effect = Effect::NonReplayable;
        x.set_terms(terms);
        let mut ticket = take(&x);
        assert_eq!(x.unanswered(), 1);
        play(&x);
        x.dispatch_ended(
            1,
            0,
            DispatchResult { response: told, ..DispatchResult::without_response(Outcome::Error) },
        );
        play(&x);
        match ticket.answer.try_recv() {
            Ok((Answer::Failed(made), _)) => assert_eq!(Some(made), told),
            Ok((Answer::Aborted, _)) => assert_eq!(None, told),
            _ => panic!("passed, denied or not answered"),
        }
        assert_eq!((x.unanswered(), x.terms().frontends[0].effect), (0, Effect::NonReplayable));
    }
}

/// What waits is denied and never dispatched, also when a srv is there again; what is out goes on to its answer.
#[test]
fn turned_away_while_another_is_out() {
    let x = exchange();
    x.update_servers(ListKind::Full, vec![entry("a", 1, ServerState::Ready)]);
    let mut out = take(&x);
    play(&x);
    x.update_servers(ListKind::Full, vec![entry("a", 1, ServerState::Draining)]);
    let mut waits = take(&x);
    x.deny_waiting(Span::from_secs(0.2));
    assert!(matches!(waits.answer.try_recv(), Ok((Answer::Denied(after), _)) if after.secs() == 0.2));
    assert_eq!(x.unanswered(), 1);
    x.update_servers(ListKind::Full, vec![entry("a", 1, ServerState::Ready)]);
    play(&x);
    x.dispatch_ended(
        1,
        0,
        DispatchResult { response: Some("done"), ..DispatchResult::without_response(Outcome::Passed) },
    );
    play(&x);
    assert!(matches!(out.answer.try_recv(), Ok((Answer::Passed("done"), _))));
    assert!(x.counters.to_string().contains(" dispatches=1 "), "{}", x.counters);
    assert!(x.open.borrow().is_empty());
}
