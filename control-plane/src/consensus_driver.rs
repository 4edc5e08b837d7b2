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

const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Wake-ups are moved forward only by more than this.
const WAKE_TOLERANCE_S: f64 = 0.002;

/// A committed document, decoded, and the bytes of it that the edge is told.
pub struct CommittedDocument {
    pub ballot: Ballot,
    pub document: Document,
    pub edge_bytes: Rc<[u8]>,
}

impl CommittedDocument {
    fn decode(ballot: Ballot, body: &[u8]) -> eyre::Result<CommittedDocument> {
        if body.is_empty() {
            return Ok(CommittedDocument {
                ballot,
                document: Document::default(),
                edge_bytes: Rc::from(body),
            });
        }
        let (document, taken) = rmp_serde::from_slice::<Document>(body)?.split();
        let edge_bytes = Rc::from(rmp_serde::to_vec(&document)?);
        Ok(CommittedDocument { ballot, document: Document { taken, ..document }, edge_bytes })
    }
}

/// Told each committed value with its index; the same index may come again with the same value.
pub type OnCommit = Box<dyn Fn(u64, &Value)>;

pub struct ConsensusDriver {
    clock: Rc<Clock>,
    replica: RefCell<Replica>,
    store: Store,
    transport: OnceCell<Rc<Transport>>,
    on_commit: OnceCell<OnCommit>,
    pending: RefCell<BTreeMap<u64, oneshot::Sender<Outcome>>>,
    last_ticket: Cell<u64>,
    committed_document: RefCell<Option<Rc<CommittedDocument>>>,
    last_leading_epoch: Cell<Option<u64>>,
    known_leader: Cell<Option<(Node, u64)>>,
    logged_membership: Cell<Option<bool>>,
    logged_members: RefCell<Vec<Node>>,
    wake_at: Cell<f64>,
    wake: Notify,
    leadership_notify: Notify,
    /// Told when a document was committed, or an epoch has another holder.
    pub updated: Notify,
    stopped: Cell<bool>,
}

impl ConsensusDriver {
    /// Begins from what the disk held.
    pub fn start(
        clock: Rc<Clock>,
        settings: Settings,
        stored: Stored,
        store: Store,
    ) -> eyre::Result<Rc<ConsensusDriver>> {
        // what was there once is not there for the first time
        let bootstrap = settings.bootstrap && stored != Stored::Corrupt;
        let settings = Settings { bootstrap, ..settings };
        // a state that can't be read is no empty disk: to go on without it could lose what was acknowledged
        let persisted: Option<PersistentState> = match stored {
            Stored::State(state) => Some(rmp_serde::from_slice(&state)?),
            Stored::Empty | Stored::Corrupt => None,
        };
        let stored_owner = persisted.as_ref().map_or(0, |persisted| persisted.owner);
        if stored_owner != 0 && stored_owner != settings.me {
            tracing::warn!(event = "folder_of_another", owner = %Ipv4Addr::from(stored_owner));
        }
        let replica = Replica::new(clock.now(), settings, persisted);
        Ok(Rc::new(ConsensusDriver {
            clock,
            replica: RefCell::new(replica),
            store,
            transport: OnceCell::new(),
            on_commit: OnceCell::new(),
            pending: RefCell::default(),
            last_ticket: Cell::new(0),
            committed_document: RefCell::default(),
            last_leading_epoch: Cell::new(None),
            known_leader: Cell::new(None),
            logged_membership: Cell::new(None),
            logged_members: RefCell::default(),
            wake_at: Cell::new(0.0),
            wake: Notify::new(),
            leadership_notify: Notify::new(),
            updated: Notify::new(),
            stopped: Cell::new(false),
        }))
    }

    /// From here on words go out, and what is due is done.
    pub fn run(
        self: &Rc<ConsensusDriver>,
        transport: Rc<Transport>,
        mut save_results: UnboundedReceiver<SaveResult>,
        on_commit: OnCommit,
    ) {
        let _ = self.transport.set(transport);
        let _ = self.on_commit.set(on_commit);
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            while let Some((ticket, ok)) = save_results.recv().await {
                driver.drive(|replica, now, outputs| replica.save_finished(now, ticket, ok, outputs));
            }
        });
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let wait = (driver.wake_at.get() - driver.clock.now()).clamp(0.001, 1.0);
                tokio::select! {
                    _ = sleep(Duration::from_secs_f64(wait)) => driver.drive(|replica, now, outputs| replica.tick(now, outputs)),
                    _ = driver.wake.notified() => {}
                }
            }
        });
    }

    pub fn handle_message(&self, from: Node, msg: Msg) {
        self.drive(|replica, now, outputs| replica.handle_message(now, from, msg, outputs));
    }

    fn drive(&self, step: impl FnOnce(&mut Replica, f64, &mut Vec<Output>)) {
        if self.stopped.get() {
            return;
        }
        let mut outputs = Vec::new();
        step(&mut self.replica.borrow_mut(), self.clock.now(), &mut outputs);
        let mut updated = false;
        for output in outputs {
            match output {
                Output::Send(to, msg) => {
                    if let Some(transport) = self.transport.get() {
                        let as_datagram = is_periodic(&msg);
                        let message = WireMessage::Consensus(msg);
                        if as_datagram {
                            transport.send_datagram(to, &message)
                        } else {
                            transport.send(to, &message)
                        }
                    }
                }
                Output::Save(ticket, persisted) => match rmp_serde::to_vec(&persisted) {
                    Ok(state) => self.store.save(ticket, state),
                    Err(e) => tracing::error!(event = "unsaved", fault = %e),
                },
                Output::Committed(ballot, value) => {
                    if let Some(on_commit) = self.on_commit.get() {
                        on_commit(ballot.index, &value);
                    }
                    updated |= self.apply_committed(ballot, &value.body);
                }
                Output::BecameLeader(epoch) => tracing::info!(event = "won", epoch),
                Output::LostLeadership => tracing::info!(event = "lost"),
                Output::Done { ticket, outcome } => {
                    if let Some(pending) = self.pending.borrow_mut().remove(&ticket) {
                        let _ = pending.send(outcome);
                    }
                }
            }
        }
        let replica = self.replica.borrow();
        let (leading_epoch, known_leader, wake_at) =
            (replica.leading_epoch(self.clock.now()), replica.leader(self.clock.now()), replica.next_wake());
        drop(replica);
        let counts = Some(self.is_member());
        if self.logged_membership.replace(counts) != counts {
            tracing::info!(event = "member", counts);
        }
        self.log_members();
        let known_leader =
            leading_epoch.map(|epoch| (self.own_node(), epoch)).or(known_leader).or(self.known_leader.get());
        if self.known_leader.replace(known_leader) != known_leader {
            updated = true;
        }
        if self.last_leading_epoch.replace(leading_epoch) != leading_epoch {
            updated = true;
            self.leadership_notify.notify_waiters();
        }
        if updated {
            self.updated.notify_one();
        }
        if wake_at < self.wake_at.replace(wake_at) - WAKE_TOLERANCE_S {
            self.wake.notify_one();
        }
    }

    /// The log says who counts, at each change of it.
    fn log_members(&self) {
        let replica = self.replica.borrow();
        let members = replica.members();
        if *self.logged_members.borrow() != members {
            let addresses: Vec<String> = members.iter().map(|&m| Ipv4Addr::from(m).to_string()).collect();
            tracing::info!(event = "members", count = members.len(), members = %addresses.join(" "));
            *self.logged_members.borrow_mut() = members.to_vec();
        }
    }

    fn apply_committed(&self, ballot: Ballot, body: &[u8]) -> bool {
        if self.committed_document.borrow().as_ref().is_some_and(|a| a.ballot >= ballot) {
            return false;
        }
        match CommittedDocument::decode(ballot, body) {
            Ok(committed_document) => {
                let old = self
                    .committed_document
                    .borrow()
                    .as_ref()
                    .map_or((0, 0), |a| version_and_serial(&a.document));
                let new = version_and_serial(&committed_document.document);
                let forward = new.0 >= old.0 && new.1 >= old.1;
                check(Invariant::CommitMonotonic, forward, || format!("{new:?} after {old:?}"));
                *self.committed_document.borrow_mut() = Some(Rc::new(committed_document));
                true
            }
            Err(e) => {
                tracing::error!(event = "document_unread", fault = %e);
                // nothing may be judged on top of an older one
                *self.committed_document.borrow_mut() = None;
                false
            }
        }
    }

    /// The newest committed document that is known here.
    pub fn committed_document(&self) -> Option<Rc<CommittedDocument>> {
        self.committed_document.borrow().clone()
    }

    /// The epoch in which this process may speak for the whole.
    pub fn leading_epoch(&self) -> Option<u64> {
        if self.stopped.get() {
            return None;
        }
        self.replica.borrow().leading_epoch(self.clock.now())
    }

    /// Who holds the duty, as far as is known at the moment.
    pub fn leader(&self) -> Option<(Node, u64)> {
        self.replica.borrow().leader(self.clock.now())
    }

    /// Where callers are to be sent, by what was heard of the holder itself.
    pub fn redirect_target(&self) -> Option<Node> {
        self.replica.borrow().redirect_target(self.clock.now())
    }

    /// Whether neither a majority of the members nor that one was heard lately.
    pub fn is_isolated_from(&self, node: Node) -> bool {
        self.replica.borrow().is_isolated_from(self.clock.now(), node)
    }

    /// The newest epoch and holder heard of, whether it is still there or not.
    pub fn last_known_leader(&self) -> Option<(Node, u64)> {
        self.known_leader.get()
    }

    /// Whether this process counts, and knows what it has to know for that.
    pub fn is_member(&self) -> bool {
        let replica = self.replica.borrow();
        !replica.is_learning() && replica.members().contains(&self.own_node())
    }

    /// Whether this process has no state that counts, and learns it from the others.
    pub fn is_learning(&self) -> bool {
        self.replica.borrow().is_learning()
    }

    /// Whether what this process knows of the members is committed, with no change of them under way.
    pub fn is_settled(&self) -> bool {
        self.replica.borrow().is_settled()
    }

    /// What this member holds.
    pub fn status(&self) -> lupinledge_consensus::ReplicaStatus {
        self.replica.borrow().status(self.clock.now())
    }

    /// Founds the core anew from this member's state, see [`Replica::force_new_cluster`].
    pub fn force_new_cluster(&self, newest: Ballot) -> Result<(), NewClusterError> {
        let mut result = Ok(());
        self.drive(|replica, now, outputs| {
            result = replica.force_new_cluster(now, newest);
            replica.tick(now, outputs);
        });
        result
    }

    /// Other machines of the core, known from elsewhere.
    pub fn set_hints(&self, nodes: &[Node]) {
        self.replica.borrow_mut().set_hints(nodes);
    }

    pub fn members(&self) -> Vec<Node> {
        self.replica.borrow().members().to_vec()
    }

    fn own_node(&self) -> Node {
        self.clock.me
    }

    /// Until this process begins or ceases to lead.
    pub async fn leadership_changed(&self) {
        self.leadership_notify.notified().await;
    }

    /// Makes a document the whole's, if this process leads.
    pub async fn propose(&self, body: Vec<u8>) -> Option<Outcome> {
        self.submit(|replica, now, ticket, outputs| replica.propose(now, ticket, body, outputs)).await
    }

    /// Whether what is committed here is what the whole has committed.
    pub async fn confirm_committed(&self) -> bool {
        let outcome =
            self.submit(|replica, now, ticket, outputs| replica.read_barrier(now, ticket, outputs)).await;
        matches!(outcome, Some(Outcome::Confirmed))
    }

    async fn submit(&self, step: impl FnOnce(&mut Replica, f64, u64, &mut Vec<Output>)) -> Option<Outcome> {
        if self.stopped.get() {
            return None;
        }
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        let (done, outcome) = oneshot::channel();
        self.pending.borrow_mut().insert(ticket, done);
        self.drive(|replica, now, outputs| step(replica, now, ticket, outputs));
        // however long it takes: nothing may be judged on top of what is not settled, in or out
        outcome.await.ok()
    }

    /// Says that this process leaves; ends when it doesn't count any more, or needn't be struck, or after `most`.
    pub async fn leave(&self, max_wait: Duration) {
        self.drive(|replica, now, outputs| replica.leave(now, outputs));
        let left = async {
            while !self.replica.borrow().can_stop() {
                sleep(LEAVE_POLL_INTERVAL).await;
            }
        };
        let removed_in_time = timeout(max_wait, left).await.is_ok();
        tracing::info!(event = "left", in_time = removed_in_time, counts = self.is_member());
    }

    /// Nothing goes out any more. The others are told if the duty is free by that.
    pub fn shut_down(&self) {
        if let (Some(epoch), Some(transport)) = (self.leading_epoch(), self.transport.get()) {
            let next = self.replica.borrow().successor();
            let others = self.members().into_iter().filter(|m| *m != self.own_node());
            others.for_each(|other| {
                transport.send_datagram(other, &WireMessage::Consensus(Msg::StepDown { epoch, next }))
            });
        }
        self.stopped.set(true);
        self.pending.borrow_mut().clear();
        self.leadership_notify.notify_waiters();
    }
}

/// Neither of these ever goes back.
fn version_and_serial(document: &Document) -> (u64, u64) {
    (document.version, document.serial)
}

/// What is said again and again: a datagram is enough, and a link that hangs must not hold it up.
fn is_periodic(msg: &Msg) -> bool {
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
