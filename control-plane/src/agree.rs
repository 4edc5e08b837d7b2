//! Drives the agreement of the core: carries its words, its saves and its outcomes.

use crate::clock::Clock;
use lupinledge_config::Document;
use lupinledge_consensus::{
    Ballot, Msg, NewClusterError, Node, Outcome, Output, PersistentState, Replica, Settings, Value,
};
use lupinledge_invariants::{check, Invariant};
use lupinledge_messaging::{Transport, WireMessage};
use lupinledge_storage::{SaveResult, Store, Stored};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, timeout};

const LEAVE_LOOK: Duration = Duration::from_millis(10);
/// Wake-ups are moved forward only by more than this.
const SOON: f64 = 0.002;

/// A committed document, decoded, and the bytes of it that the edge is told.
pub struct Agreed {
    pub ballot: Ballot,
    pub document: Document,
    pub bytes: Rc<[u8]>,
}

impl Agreed {
    fn read(ballot: Ballot, body: &[u8]) -> eyre::Result<Agreed> {
        if body.is_empty() {
            return Ok(Agreed { ballot, document: Document::default(), bytes: Rc::from(body) });
        }
        let (document, taken) = rmp_serde::from_slice::<Document>(body)?.split_accepted();
        let bytes = Rc::from(rmp_serde::to_vec(&document)?);
        Ok(Agreed { ballot, document: Document { accepted: taken, ..document }, bytes })
    }
}

/// Told each committed value with its index; the same index may come again with the same value.
pub type OnValue = Box<dyn Fn(u64, &Value)>;

pub struct Agree {
    clock: Rc<Clock>,
    queen: RefCell<Replica>,
    store: Store,
    post: OnceCell<Rc<Transport>>,
    on_value: OnceCell<OnValue>,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<Outcome>>>,
    tickets: Cell<u64>,
    agreed: RefCell<Option<Rc<Agreed>>>,
    led: Cell<Option<u64>>,
    known: Cell<Option<(Node, u64)>>,
    counts: Cell<Option<bool>>,
    members: RefCell<Vec<Node>>,
    due: Cell<f64>,
    wake: Notify,
    turned: Notify,
    /// Told when a document was committed, or an epoch has another holder.
    pub news: Notify,
    quiet: Cell<bool>,
}

impl Agree {
    /// Begins from what the disk held.
    pub fn start(
        clock: Rc<Clock>,
        settings: Settings,
        found: Stored,
        store: Store,
    ) -> eyre::Result<Rc<Agree>> {
        // what was there once is not there for the first time
        let bootstrap = settings.bootstrap && found != Stored::Corrupt;
        let settings = Settings { bootstrap, ..settings };
        // a state that can't be read is no empty disk: to go on without it could lose what was acknowledged
        let kept: Option<PersistentState> = match found {
            Stored::State(state) => Some(rmp_serde::from_slice(&state)?),
            Stored::Empty | Stored::Corrupt => None,
        };
        let other = kept.as_ref().map_or(0, |kept| kept.owner);
        if other != 0 && other != settings.me {
            tracing::warn!(event = "folder_of_another", owner = %Ipv4Addr::from(other));
        }
        let queen = Replica::new(clock.now(), settings, kept);
        Ok(Rc::new(Agree {
            clock,
            queen: RefCell::new(queen),
            store,
            post: OnceCell::new(),
            on_value: OnceCell::new(),
            waiting: RefCell::default(),
            tickets: Cell::new(0),
            agreed: RefCell::default(),
            led: Cell::new(None),
            known: Cell::new(None),
            counts: Cell::new(None),
            members: RefCell::default(),
            due: Cell::new(0.0),
            wake: Notify::new(),
            turned: Notify::new(),
            news: Notify::new(),
            quiet: Cell::new(false),
        }))
    }

    /// From here on words go out, and what is due is done.
    pub fn run(
        self: &Rc<Agree>,
        post: Rc<Transport>,
        mut ends: UnboundedReceiver<SaveResult>,
        on_value: OnValue,
    ) {
        let _ = self.post.set(post);
        let _ = self.on_value.set(on_value);
        let agree = self.clone();
        tokio::task::spawn_local(async move {
            while let Some((ticket, ok)) = ends.recv().await {
                agree.turn(|queen, now, out| queen.save_finished(now, ticket, ok, out));
            }
        });
        let agree = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let wait = (agree.due.get() - agree.clock.now()).clamp(0.001, 1.0);
                tokio::select! {
                    _ = sleep(Duration::from_secs_f64(wait)) => agree.turn(|queen, now, out| queen.tick(now, out)),
                    _ = agree.wake.notified() => {}
                }
            }
        });
    }

    pub fn heard(&self, from: Node, msg: Msg) {
        self.turn(|queen, now, out| queen.handle_message(now, from, msg, out));
    }

    fn turn(&self, step: impl FnOnce(&mut Replica, f64, &mut Vec<Output>)) {
        if self.quiet.get() {
            return;
        }
        let mut out = Vec::new();
        step(&mut self.queen.borrow_mut(), self.clock.now(), &mut out);
        let mut news = false;
        for out in out {
            match out {
                Output::Send(to, msg) => {
                    if let Some(post) = self.post.get() {
                        let datagram = heartbeat(&msg);
                        let word = WireMessage::Consensus(msg);
                        if datagram {
                            post.send_datagram(to, &word)
                        } else {
                            post.send(to, &word)
                        }
                    }
                }
                Output::Save(ticket, kept) => match rmp_serde::to_vec(&kept) {
                    Ok(state) => self.store.save(ticket, state),
                    Err(e) => tracing::error!(event = "unsaved", fault = %e),
                },
                Output::Committed(ballot, value) => {
                    if let Some(on_value) = self.on_value.get() {
                        on_value(ballot.index, &value);
                    }
                    news |= self.committed(ballot, &value.body);
                }
                Output::BecameLeader(epoch) => tracing::info!(event = "won", epoch),
                Output::LostLeadership => tracing::info!(event = "lost"),
                Output::Done { ticket, outcome } => {
                    if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
                        let _ = waiting.send(outcome);
                    }
                }
            }
        }
        let queen = self.queen.borrow();
        let (led, known, due) =
            (queen.leading_epoch(self.clock.now()), queen.leader(self.clock.now()), queen.next_wake());
        drop(queen);
        let counts = Some(self.member());
        if self.counts.replace(counts) != counts {
            tracing::info!(event = "member", counts);
        }
        self.tell_members();
        let known = led.map(|epoch| (self.me(), epoch)).or(known).or(self.known.get());
        if self.known.replace(known) != known {
            news = true;
        }
        if self.led.replace(led) != led {
            news = true;
            self.turned.notify_waiters();
        }
        if news {
            self.news.notify_one();
        }
        if due < self.due.replace(due) - SOON {
            self.wake.notify_one();
        }
    }

    /// The log says who counts, at each change of it.
    fn tell_members(&self) {
        let queen = self.queen.borrow();
        let members = queen.members();
        if *self.members.borrow() != members {
            let named: Vec<String> = members.iter().map(|&m| Ipv4Addr::from(m).to_string()).collect();
            tracing::info!(event = "members", count = members.len(), members = %named.join(" "));
            *self.members.borrow_mut() = members.to_vec();
        }
    }

    fn committed(&self, ballot: Ballot, body: &[u8]) -> bool {
        if self.agreed.borrow().as_ref().is_some_and(|a| a.ballot >= ballot) {
            return false;
        }
        match Agreed::read(ballot, body) {
            Ok(agreed) => {
                let old = self.agreed.borrow().as_ref().map_or((0, 0), |a| order(&a.document));
                let new = order(&agreed.document);
                let forward = new.0 >= old.0 && new.1 >= old.1;
                check(Invariant::CommitMonotonic, forward, || format!("{new:?} after {old:?}"));
                *self.agreed.borrow_mut() = Some(Rc::new(agreed));
                true
            }
            Err(e) => {
                tracing::error!(event = "document_unread", fault = %e);
                // nothing may be judged on top of an older one
                *self.agreed.borrow_mut() = None;
                false
            }
        }
    }

    /// The newest committed document that is known here.
    pub fn agreed(&self) -> Option<Rc<Agreed>> {
        self.agreed.borrow().clone()
    }

    /// The epoch in which this process may speak for the whole.
    pub fn leads(&self) -> Option<u64> {
        if self.quiet.get() {
            return None;
        }
        self.queen.borrow().leading_epoch(self.clock.now())
    }

    /// Who holds the duty, as far as is known at the moment.
    pub fn holder(&self) -> Option<(Node, u64)> {
        self.queen.borrow().leader(self.clock.now())
    }

    /// Where callers are to be sent, by what was heard of the holder itself.
    pub fn route(&self) -> Option<Node> {
        self.queen.borrow().redirect_target(self.clock.now())
    }

    /// Whether neither a majority of the members nor that one was heard lately.
    pub fn cut_from(&self, node: Node) -> bool {
        self.queen.borrow().is_isolated_from(self.clock.now(), node)
    }

    /// The newest epoch and holder heard of, whether it is still there or not.
    pub fn last_holder(&self) -> Option<(Node, u64)> {
        self.known.get()
    }

    /// Whether this process counts, and knows what it has to know for that.
    pub fn member(&self) -> bool {
        let queen = self.queen.borrow();
        !queen.is_learning() && queen.members().contains(&self.me())
    }

    /// Whether this process has no state that counts, and learns it from the others.
    pub fn amnesiac(&self) -> bool {
        self.queen.borrow().is_learning()
    }

    /// Whether what this process knows of the members is committed, with no change of them under way.
    pub fn settled(&self) -> bool {
        self.queen.borrow().is_settled()
    }

    /// What this member holds.
    pub fn standing(&self) -> lupinledge_consensus::ReplicaStatus {
        self.queen.borrow().status(self.clock.now())
    }

    /// Founds the core anew from this member's state, see [`Replica::force_new_cluster`].
    pub fn found_anew(&self, newest: Ballot) -> Result<(), NewClusterError> {
        let mut founded = Ok(());
        self.turn(|queen, now, out| {
            founded = queen.force_new_cluster(now, newest);
            queen.tick(now, out);
        });
        founded
    }

    /// Other machines of the core, known from elsewhere.
    pub fn hint(&self, nodes: &[Node]) {
        self.queen.borrow_mut().set_hints(nodes);
    }

    pub fn members(&self) -> Vec<Node> {
        self.queen.borrow().members().to_vec()
    }

    fn me(&self) -> Node {
        self.clock.me
    }

    /// Until this process begins or ceases to lead.
    pub async fn changed(&self) {
        self.turned.notified().await;
    }

    /// Makes a document the whole's, if this process leads.
    pub async fn propose(&self, body: Vec<u8>) -> Option<Outcome> {
        self.ask(|queen, now, ticket, out| queen.propose(now, ticket, body, out)).await
    }

    /// Whether what is committed here is what the whole has committed.
    pub async fn confirm(&self) -> bool {
        let how = self.ask(|queen, now, ticket, out| queen.read_barrier(now, ticket, out)).await;
        matches!(how, Some(Outcome::Confirmed))
    }

    async fn ask(&self, step: impl FnOnce(&mut Replica, f64, u64, &mut Vec<Output>)) -> Option<Outcome> {
        if self.quiet.get() {
            return None;
        }
        let ticket = self.tickets.get() + 1;
        self.tickets.set(ticket);
        let (done, outcome) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, done);
        self.turn(|queen, now, out| step(queen, now, ticket, out));
        // however long it takes: nothing may be judged on top of what is not settled, in or out
        outcome.await.ok()
    }

    /// Says that this process leaves; ends when it doesn't count any more, or needn't be struck, or after `most`.
    pub async fn leave(&self, most: Duration) {
        self.turn(|queen, now, out| queen.leave(now, out));
        let left = async {
            while !self.queen.borrow().can_stop() {
                sleep(LEAVE_LOOK).await;
            }
        };
        let struck = timeout(most, left).await.is_ok();
        tracing::info!(event = "left", in_time = struck, counts = self.member());
    }

    /// Nothing goes out any more. The others are told if the duty is free by that.
    pub fn fall_silent(&self) {
        if let (Some(epoch), Some(post)) = (self.leads(), self.post.get()) {
            let next = self.queen.borrow().successor();
            let others = self.members().into_iter().filter(|m| *m != self.me());
            others.for_each(|other| {
                post.send_datagram(other, &WireMessage::Consensus(Msg::StepDown { epoch, next }))
            });
        }
        self.quiet.set(true);
        self.waiting.borrow_mut().clear();
        self.turned.notify_waiters();
    }
}

/// Neither of these ever goes back.
fn order(document: &Document) -> (u64, u64) {
    (document.version, document.serial)
}

/// What is said again and again: a datagram is enough, and a link that hangs must not hold it up.
fn heartbeat(msg: &Msg) -> bool {
    matches!(
        msg,
        Msg::Alive
            | Msg::PreVote { .. }
            | Msg::PreVoteGranted { .. }
            | Msg::PreVoteRefused { .. }
            | Msg::Heartbeat { .. }
            | Msg::HeartbeatOk { .. }
            | Msg::Resume { .. }
            | Msg::Leave
    )
}
