//! Drives the consensus replica of this core member: its messages, saves, timers and outcomes.

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

/// Interval at which [`ConsensusDriver::leave`] checks for the removal.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The timer is reset only for a wake-up that is earlier by more than this.
const WAKE_TOLERANCE_S: f64 = 0.002;

/// A committed document, decoded, and its encoding for the edge nodes (without the part that only the core needs).
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
        let (document, accepted) = rmp_serde::from_slice::<Document>(body)?.split_accepted();
        let edge_bytes = Rc::from(rmp_serde::to_vec(&document)?);
        Ok(CommittedDocument { ballot, document: Document { accepted, ..document }, edge_bytes })
    }
}

/// Called with each committed value and its index; the same index may repeat with the same value.
pub type OnCommit = Box<dyn Fn(u64, &Value)>;

/// What the replica is connected to besides its peers and its disk.
pub struct Host {
    pub on_commit: OnCommit,
    /// Whether removals of members have to wait.
    pub defers_removals: Box<dyn Fn() -> bool>,
}

/// The consensus replica of this process with its storage, transport and timer.
pub struct ConsensusDriver {
    clock: Rc<Clock>,
    replica: RefCell<Replica>,
    store: Store,
    transport: OnceCell<Rc<Transport>>,
    host: OnceCell<Host>,
    /// Submitted requests by ticket, until their outcome is known.
    pending: RefCell<BTreeMap<u64, oneshot::Sender<Outcome>>>,
    last_ticket: Cell<u64>,
    committed_document: RefCell<Option<Rc<CommittedDocument>>>,
    last_leading_epoch: Cell<Option<u64>>,
    known_leader: Cell<Option<(Node, u64)>>,
    logged_membership: Cell<Option<bool>>,
    logged_members: RefCell<Vec<Node>>,
    /// When the replica wants its next tick, on the monotonic clock.
    wake_at: Cell<f64>,
    wake: Notify,
    /// Notified when this process starts or stops leading, and at shutdown.
    leadership_notify: Notify,
    /// Notified when a document is committed or the known leader changes.
    pub updated: Notify,
    stopped: Cell<bool>,
}

impl ConsensusDriver {
    /// Starts the replica from the stored state.
    pub fn start(
        clock: Rc<Clock>,
        settings: Settings,
        stored: Stored,
        store: Store,
    ) -> eyre::Result<Rc<ConsensusDriver>> {
        // a corrupt state shows that this is not the first start of the machine
        let bootstrap = settings.bootstrap && stored != Stored::Corrupt;
        let settings = Settings { bootstrap, ..settings };
        // an undecodable state is an error, not an empty disk: starting without it could lose acknowledged changes
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
            host: OnceCell::new(),
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

    /// Starts sending messages and handling timers and save results.
    pub fn run(
        self: &Rc<ConsensusDriver>,
        transport: Rc<Transport>,
        mut save_results: UnboundedReceiver<SaveResult>,
        host: Host,
    ) {
        let _ = self.transport.set(transport);
        let _ = self.host.set(host);
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

    /// Handles a consensus message of another member.
    pub fn handle_message(&self, from: Node, msg: Msg) {
        self.drive(|replica, now, outputs| replica.handle_message(now, from, msg, outputs));
    }

    /// Runs one step of the replica, carries out its outputs and publishes changes of leadership and membership.
    fn drive(&self, step: impl FnOnce(&mut Replica, f64, &mut Vec<Output>)) {
        if self.stopped.get() {
            return;
        }
        let mut outputs = Vec::new();
        let defers_removals = self.host.get().is_some_and(|host| (host.defers_removals)());
        self.replica.borrow_mut().defer_removals(self.clock.now(), defers_removals);
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
                    Err(error) => tracing::error!(event = "unsaved", fault = %error),
                },
                Output::Committed(ballot, value) => {
                    if let Some(host) = self.host.get() {
                        (host.on_commit)(ballot.index, &value);
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
        let is_member = Some(self.is_member());
        if self.logged_membership.replace(is_member) != is_member {
            tracing::info!(event = "member", counts = is_member);
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

    /// Logs the members when they change.
    fn log_members(&self) {
        let replica = self.replica.borrow();
        let members = replica.members();
        if *self.logged_members.borrow() != members {
            let addresses: Vec<String> = members.iter().map(|&m| Ipv4Addr::from(m).to_string()).collect();
            tracing::info!(event = "members", count = members.len(), members = %addresses.join(" "));
            *self.logged_members.borrow_mut() = members.to_vec();
        }
    }

    /// Takes over a committed document; returns whether it is newer than the current one.
    fn apply_committed(&self, ballot: Ballot, body: &[u8]) -> bool {
        if self.committed_document.borrow().as_ref().is_some_and(|current| current.ballot >= ballot) {
            return false;
        }
        match CommittedDocument::decode(ballot, body) {
            Ok(committed_document) => {
                let old = self
                    .committed_document
                    .borrow()
                    .as_ref()
                    .map_or((0, 0), |current| version_and_serial(&current.document));
                let new = version_and_serial(&committed_document.document);
                let forward = new.0 >= old.0 && new.1 >= old.1;
                check(Invariant::CommitMonotonic, forward, || format!("{new:?} after {old:?}"));
                *self.committed_document.borrow_mut() = Some(Rc::new(committed_document));
                true
            }
            Err(error) => {
                tracing::error!(event = "document_unread", fault = %error);
                // changes must not be evaluated against an older document
                *self.committed_document.borrow_mut() = None;
                false
            }
        }
    }

    /// The newest committed document on this member.
    pub fn committed_document(&self) -> Option<Rc<CommittedDocument>> {
        self.committed_document.borrow().clone()
    }

    /// The epoch in which this process leads, `None` if it does not.
    pub fn leading_epoch(&self) -> Option<u64> {
        if self.stopped.get() {
            return None;
        }
        self.replica.borrow().leading_epoch(self.clock.now())
    }

    /// The current leader and its epoch, as far as known.
    pub fn leader(&self) -> Option<(Node, u64)> {
        self.replica.borrow().leader(self.clock.now())
    }

    /// The member to redirect callers to, based on recent messages of the leader itself.
    pub fn redirect_target(&self) -> Option<Node> {
        self.replica.borrow().redirect_target(self.clock.now())
    }

    /// Whether there were recent messages from neither a majority of the members nor this node.
    pub fn is_isolated_from(&self, node: Node) -> bool {
        self.replica.borrow().is_isolated_from(self.clock.now(), node)
    }

    /// The leader of the newest known epoch, even if it is unreachable by now.
    pub fn last_known_leader(&self) -> Option<(Node, u64)> {
        self.known_leader.get()
    }

    /// Whether this process is a member and has learnt the state that it needs to vote.
    pub fn is_member(&self) -> bool {
        let replica = self.replica.borrow();
        !replica.is_learning() && replica.members().contains(&self.own_node())
    }

    /// Whether this process has no valid state and is learning it from the other members.
    pub fn is_learning(&self) -> bool {
        self.replica.borrow().is_learning()
    }

    /// Whether the member list is committed, with no membership change in progress.
    pub fn is_settled(&self) -> bool {
        self.replica.borrow().is_settled()
    }

    /// The status of the replica.
    pub fn status(&self) -> lupinledge_consensus::ReplicaStatus {
        self.replica.borrow().status(self.clock.now())
    }

    /// Forms a new cluster from this member's state, see [`Replica::force_new_cluster`].
    pub fn force_new_cluster(&self, newest: Ballot) -> Result<(), NewClusterError> {
        let mut result = Ok(());
        self.drive(|replica, now, outputs| {
            result = replica.force_new_cluster(now, newest);
            replica.tick(now, outputs);
        });
        result
    }

    /// Sets other core machines that were discovered outside of consensus.
    pub fn set_hints(&self, nodes: &[Node]) {
        self.replica.borrow_mut().set_hints(nodes);
    }

    /// The current members.
    pub fn members(&self) -> Vec<Node> {
        self.replica.borrow().members().to_vec()
    }

    /// The own node id.
    fn own_node(&self) -> Node {
        self.clock.node
    }

    /// Waits until this process starts or stops leading.
    pub async fn leadership_changed(&self) {
        self.leadership_notify.notified().await;
    }

    /// Proposes a document, if this process leads.
    pub async fn propose(&self, body: Vec<u8>) -> Option<Outcome> {
        self.submit(|replica, now, ticket, outputs| replica.propose(now, ticket, body, outputs)).await
    }

    /// Confirms with a majority that the newest committed document here is the newest of the cluster.
    pub async fn confirm_committed(&self) -> bool {
        let outcome =
            self.submit(|replica, now, ticket, outputs| replica.read_barrier(now, ticket, outputs)).await;
        matches!(outcome, Some(Outcome::Confirmed))
    }

    /// Starts a request on the replica and waits for its outcome.
    async fn submit(&self, step: impl FnOnce(&mut Replica, f64, u64, &mut Vec<Output>)) -> Option<Outcome> {
        if self.stopped.get() {
            return None;
        }
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        let (outcome_sender, outcome) = oneshot::channel();
        self.pending.borrow_mut().insert(ticket, outcome_sender);
        self.drive(|replica, now, outputs| step(replica, now, ticket, outputs));
        // without a time limit: no change may be evaluated until the previous one is committed or rejected
        outcome.await.ok()
    }

    /// Asks for the removal of this process from the members; returns once it is removed, or needs no removal, or after
    /// `max_wait`.
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

    /// Stops all sending. A leader resigns first, so that the other members need not wait for a timeout.
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

/// Version and serial, neither of which ever decreases.
fn version_and_serial(document: &Document) -> (u64, u64) {
    (document.version, document.serial)
}

/// Whether a message is repeated periodically: a datagram suffices, and a stalled connection must not delay it.
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
