use super::*;
use lupinledge::interface::Effect;

struct TextProtocol;

impl Protocol for TextProtocol {
    type ForwardedRequest = ();
    type ServerResponse = &'static str;
}

/// A server side that never ends a dispatch.
struct UnresponsiveServers;

impl ServerSide<TextProtocol> for UnresponsiveServers {
    fn send(&self, _: Dispatch<TextProtocol>) -> CancelDispatch {
        Box::new(|| {})
    }
    fn close_idle(&self, _: u32) {}
}

fn run_pending_round(exchange: &Exchange<TextProtocol>) {
    let events = std::mem::take(&mut *exchange.events.borrow_mut());
    exchange.run_round(exchange.clock.now(), events);
}

fn new_exchange() -> Rc<Exchange<TextProtocol>> {
    let v: serde_json::Value =
        serde_json::from_str(include_str!("../../../example/config.json")).expect("JSON");
    let terms = lupinledge_gateway_settings::terms(1, &v["settings"]).expect("terms");
    let exchange = Exchange::new(terms, Clock::start(), Rc::default());
    exchange.attach(Rc::new(UnresponsiveServers), None);
    exchange
}

fn entry(name: &str, port: u16, state: ServerState) -> ServerListEntry {
    let server_entry = ServerEntry { server: 0, zone: 0, cell: 0, state, weight: 1.0, started_at: None };
    ServerListEntry { name: name.to_string(), addr: ([127, 0, 0, 1], port).into(), server_entry }
}

fn submit_request(exchange: &Rc<Exchange<TextProtocol>>) -> PendingRequest<TextProtocol> {
    let time_left = Span::from_secs(1.0);
    let (repeat, units, customer, plan, spread, zones) = (false, 1.0, 1, 2, 1.0, u64::MAX);
    exchange.submit(
        NewRequest { id: 0, frontend: 0, repeat, units, customer, plan, spread, time_left, zones },
        (),
    )
}

/// Servers that are replaced again and again at the same address must not accumulate in the tables. A replaced server
/// with an active dispatch keeps its index until the dispatch ends. The new servers count as just started.
#[test]
fn replaced_servers_are_removed() {
    let exchange = new_exchange();
    exchange.update_servers(ListKind::Full, vec![entry("0", 1, ServerState::Ready)]);
    run_pending_round(&exchange);
    let pending = submit_request(&exchange);
    run_pending_round(&exchange);
    for n in 1..200u16 {
        let old = entry(&(n - 1).to_string(), 1, ServerState::Gone);
        exchange.update_servers(ListKind::Delta, vec![old, entry(&n.to_string(), 1, ServerState::Ready)]);
        let started = match exchange.events.borrow().last() {
            Some(Event::List { rows, .. }) => {
                rows.iter().map(|r| (r.server, r.started_at.is_some())).collect()
            }
            _ => Vec::new(),
        };
        assert_eq!(started, [(n as u32, n > 1), (n as u32 + 1, true)]);
        run_pending_round(&exchange);
    }
    let table_sizes = |exchange: &Exchange<TextProtocol>| {
        (exchange.servers.borrow().by_index.len(), exchange.servers.borrow().by_name.len())
    };
    assert_eq!(
        table_sizes(&exchange),
        (2, 2),
        "the last server, and the first one, which has an active dispatch"
    );
    assert!(exchange.servers.borrow().by_index.contains_key(&1));
    exchange.dispatch_ended(1, 0, DispatchResult::without_response(Outcome::Error));
    assert_eq!(table_sizes(&exchange), (1, 1));
    drop(pending);
}

/// A dispatch that is decided on in the same round in which the decision module learns that the client has left must
/// be reported as ended. Otherwise the decision module would count it as active forever, together with its place in
/// the pool.
#[test]
fn client_leaves_in_the_round_of_another_dispatch() {
    let exchange = new_exchange();
    exchange.update_servers(
        ListKind::Full,
        vec![entry("a", 1, ServerState::Ready), entry("b", 2, ServerState::Ready)],
    );
    let pending = submit_request(&exchange);
    run_pending_round(&exchange);
    exchange.dispatch_ended(1, 0, DispatchResult::without_response(Outcome::Error));
    drop(pending);
    run_pending_round(&exchange);
    run_pending_round(&exchange);
    let counters = exchange.counters.to_string();
    assert!(counters.contains(" dispatches=2 ") && counters.contains("dispatch.not_sent=1"), "{counters}");
    assert!(exchange.requests.borrow().is_empty());
}

/// If no dispatch succeeds, the client gets the server's failure response, or an abort if there was none. Terms that
/// were set before the request apply to it.
#[test]
fn server_failure_response_is_the_answer() {
    for failure_response in [Some("made no sense"), None] {
        let exchange = new_exchange();
        exchange.update_servers(ListKind::Full, vec![entry("a", 1, ServerState::Ready)]);
        let mut terms = (*exchange.terms()).clone();
        terms.frontends[0].effect = Effect::NonReplayable;
        exchange.set_terms(terms);
        let mut pending = submit_request(&exchange);
        assert_eq!(exchange.unanswered(), 1);
        run_pending_round(&exchange);
        exchange.dispatch_ended(
            1,
            0,
            DispatchResult { response: failure_response, ..DispatchResult::without_response(Outcome::Error) },
        );
        run_pending_round(&exchange);
        match pending.answer.try_recv() {
            Ok((Answer::Failed(response), _)) => assert_eq!(Some(response), failure_response),
            Ok((Answer::Aborted, _)) => assert_eq!(None, failure_response),
            _ => panic!("passed, denied or not answered"),
        }
        assert_eq!((exchange.unanswered(), exchange.terms().frontends[0].effect), (0, Effect::NonReplayable));
    }
}

/// Waiting requests are denied and never dispatched, even when a server is available again. A request with an active
/// dispatch still gets its answer.
#[test]
fn waiting_requests_are_denied_while_another_is_active() {
    let exchange = new_exchange();
    exchange.update_servers(ListKind::Full, vec![entry("a", 1, ServerState::Ready)]);
    let mut active = submit_request(&exchange);
    run_pending_round(&exchange);
    exchange.update_servers(ListKind::Full, vec![entry("a", 1, ServerState::Draining)]);
    let mut waiting = submit_request(&exchange);
    exchange.deny_waiting(Span::from_secs(0.2));
    assert!(matches!(waiting.answer.try_recv(), Ok((Answer::Denied(after), _)) if after.secs() == 0.2));
    assert_eq!(exchange.unanswered(), 1);
    exchange.update_servers(ListKind::Full, vec![entry("a", 1, ServerState::Ready)]);
    run_pending_round(&exchange);
    exchange.dispatch_ended(
        1,
        0,
        DispatchResult { response: Some("done"), ..DispatchResult::without_response(Outcome::Passed) },
    );
    run_pending_round(&exchange);
    assert!(matches!(active.answer.try_recv(), Ok((Answer::Passed("done"), _))));
    assert!(exchange.counters.to_string().contains(" dispatches=1 "), "{}", exchange.counters);
    assert!(exchange.requests.borrow().is_empty());
}
