//! Drives the voter of this machine for operations that run once per key: its messages, journal and timer.

mod bounds;
mod recorder;

use crate::clock::Clock;
use bounds::Bounds;
use eyre::{eyre, WrapErr};
use lupinledge_config::settings::Limits;
use lupinledge_consensus::{Node, Value};
use lupinledge_gossip::metrics;
use lupinledge_messaging::{Transport, WireMessage};
use lupinledge_operations::voter::{Action, Settings, Voter};
use lupinledge_operations::{Entry, Message};
use lupinledge_storage::{Journal, OpenedJournal, Replayed};
use recorder::Recorder;
use std::cell::{Cell, OnceCell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Interval at which entries that the journal did not accept are offered again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The timer is reset only for a wake-up that is earlier by more than this, seconds.
const WAKE_TOLERANCE_S: f64 = 0.002;

/// The state of the voter, as it is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VotingState {
    Learning,
    /// Members were removed, and this voter does not vote before it has fetched the records of others.
    CatchingUp,
    NotMember,
    Voting,
}

/// What the voter is started with.
pub struct StartParameters {
    /// The data folder, which has the journal.
    pub folder: PathBuf,
    pub limits: Limits,
    /// Must differ at each start.
    pub seed: u64,
    /// The consensus state of this machine is lost or belongs to another machine, so that its earlier votes are
    /// unknown.
    pub must_learn: bool,
}

/// The voter of this machine, see [`Voter`].
pub struct Operations {
    clock: Rc<Clock>,
    voter: RefCell<Voter>,
    recorder: Recorder,
    /// Reports of the journal, each the entry number up to which it is on disk; taken by [`Operations::run`].
    saved: RefCell<Option<UnboundedReceiver<u64>>>,
    transport: OnceCell<Rc<Transport>>,
    voting_state: Cell<Option<VotingState>>,
    wake_at: Cell<f64>,
    wake: Notify,
}

impl Operations {
    /// Reads the journal and starts the voter. If the journal is empty, returns only once its first entries are on
    /// disk.
    ///
    /// Consensus may save a state only after that: an empty journal next to a consensus state then always means that
    /// this machine has never voted on operations, and may be a founder.
    pub async fn start(clock: Rc<Clock>, parameters: StartParameters) -> eyre::Result<Rc<Operations>> {
        let StartParameters { folder, limits, seed, must_learn } = parameters;
        let bounds = Bounds::from_limits(&limits);
        let OpenedJournal { journal, replayed, saved } = Journal::open(folder, bounds.journal())?;
        let replayed = replayed.await.wrap_err("the journal thread has ended")?;
        let empty = replayed.entries.is_empty() && !replayed.damaged;
        let founder = empty && !must_learn;
        let (me, max_records, max_answer_bytes) = (clock.node, bounds.records, bounds.answer_bytes);
        let settings = Settings { me, seed, founder, max_records, max_answer_bytes };
        let mut actions = Vec::new();
        let voter = Voter::new(clock.now(), settings, restored_entries(replayed, must_learn), &mut actions);
        let operations = Rc::new(Operations {
            clock,
            voter: RefCell::new(voter),
            recorder: Recorder::new(journal, bounds.journal_bytes),
            saved: RefCell::new(Some(saved)),
            transport: OnceCell::new(),
            voting_state: Cell::new(None),
            wake_at: Cell::new(0.0),
            wake: Notify::new(),
        });
        operations.carry_out(actions);
        if empty {
            operations.wait_first_save().await?;
        }
        Ok(operations)
    }

    /// Waits until all entries appended so far are on disk.
    async fn wait_first_save(&self) -> eyre::Result<()> {
        let mut saved =
            self.saved.borrow_mut().take().ok_or_else(|| eyre!("the operations voter was started twice"))?;
        let appended = self.voter.borrow().appended();
        let mut number = 0;
        while number < appended {
            match timeout(RETRY_INTERVAL, saved.recv()).await {
                Ok(report) => number = report.ok_or_else(|| eyre!("the journal thread has ended"))?,
                Err(_) => self.recorder.retry(),
            }
        }
        self.on_saved(number);
        *self.saved.borrow_mut() = Some(saved);
        Ok(())
    }

    /// Starts sending messages, and handling timers and reports of the journal.
    pub fn run(self: &Rc<Operations>, transport: Rc<Transport>) {
        let _ = self.transport.set(transport);
        if let Some(saved) = self.saved.borrow_mut().take() {
            tokio::task::spawn_local(self.clone().watch_journal(saved));
        }
        tokio::task::spawn_local(self.clone().tick());
    }

    /// Passes the reports of the journal to the voter.
    async fn watch_journal(self: Rc<Operations>, mut saved: UnboundedReceiver<u64>) {
        while let Some(number) = saved.recv().await {
            self.on_saved(number);
        }
    }

    /// Runs the timer of the voter, and retries entries that the journal did not accept.
    async fn tick(self: Rc<Operations>) {
        loop {
            let wait = (self.wake_at.get() - self.clock.now()).clamp(0.001, 1.0);
            let mut wait = Duration::from_secs_f64(wait);
            if self.recorder.has_backlog() {
                wait = wait.min(RETRY_INTERVAL);
            }
            tokio::select! {
                _ = sleep(wait) => {
                    self.recorder.retry();
                    self.drive(|voter, now, actions| voter.tick(now, actions));
                }
                _ = self.wake.notified() => {}
            }
        }
    }

    /// The journal is on disk up to this entry number.
    fn on_saved(&self, number: u64) {
        self.recorder.retry();
        self.drive(|voter, now, actions| voter.on_saved(now, number, actions));
    }

    /// Handles a message of a gateway or of another voter.
    pub fn handle_message(&self, from: Node, message: Message) {
        self.drive(|voter, now, actions| voter.on_message(now, from, message, actions));
    }

    /// Consensus has committed this value with this index; takes over its members as voters.
    pub fn committed(&self, index: u64, value: &Value) {
        let Value { members, outgoing, .. } = value;
        self.drive(|voter, now, actions| voter.set_members(now, index, members, outgoing, actions));
    }

    /// Whether this voter fetches the records of others because members were removed.
    pub fn is_catching_up(&self) -> bool {
        self.voter.borrow().is_catching_up()
    }

    /// Writes the metrics of the voter.
    pub fn write_metrics(&self, line: &mut metrics::MetricSink) {
        let voter = self.voter.borrow();
        line("operations.records", voter.records() as u64);
        line("operations.answer_bytes", voter.answer_bytes() as u64);
        line("operations.journal_bytes", self.recorder.bytes());
        line("operations.votes", u64::from(voter.can_vote()));
        line("operations.catching_up", u64::from(voter.is_catching_up()));
    }

    /// Runs one step of the voter and carries out its actions.
    fn drive(&self, step: impl FnOnce(&mut Voter, f64, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        let mut voter = self.voter.borrow_mut();
        voter.set_room(self.recorder.has_room());
        step(&mut voter, self.clock.now(), &mut actions);
        drop(voter);
        self.carry_out(actions);
    }

    /// Sends messages and journals entries, and sets the head of the journal when it changes.
    fn carry_out(&self, actions: Vec<Action>) {
        let mut head_changed = false;
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    if let Some(transport) = self.transport.get() {
                        transport.send(to, &WireMessage::Operation(message));
                    }
                }
                Action::Append { number, entry, keep_s, urgent } => {
                    head_changed |= matches!(entry, Entry::Electorate(_)) || entry == Entry::COMPLETE;
                    self.recorder.append(number, &entry, keep_s, urgent);
                }
            }
        }
        // after the entries of this step: the journal may drop the entries that the head replaces
        if self.update_voting_state() || head_changed {
            if let Some(head) = self.voter.borrow().head() {
                self.recorder.set_head(&head);
            }
        }
        self.update_wake();
    }

    /// Logs the state of the voter if it has changed; returns whether it has.
    fn update_voting_state(&self) -> bool {
        let voter = self.voter.borrow();
        let voting_state = match () {
            _ if voter.is_learning() => VotingState::Learning,
            _ if voter.can_vote() => VotingState::Voting,
            _ if voter.is_catching_up() => VotingState::CatchingUp,
            _ => VotingState::NotMember,
        };
        let changed = self.voting_state.replace(Some(voting_state)) != Some(voting_state);
        let records = voter.records();
        match voting_state {
            _ if !changed => {}
            VotingState::Learning => tracing::info!(event = "operations_learning", records),
            VotingState::CatchingUp => tracing::info!(event = "operations_catching_up", records),
            VotingState::Voting => tracing::info!(event = "operations_voting", records),
            VotingState::NotMember => tracing::info!(event = "operations_no_member", records),
        }
        changed
    }

    /// Wakes the timer if the next tick is due earlier than before.
    fn update_wake(&self) {
        let wake_at = self.voter.borrow().next_wake();
        if wake_at < self.wake_at.replace(wake_at) - WAKE_TOLERANCE_S {
            self.wake.notify_one();
        }
    }
}

/// The entries that the voter restores. `Ready` entries are left out if it has to learn.
fn restored_entries(replayed: Replayed, must_learn: bool) -> Vec<Entry> {
    let Replayed { entries, damaged } = replayed;
    let all = entries.len();
    let mut read: Vec<Entry> = entries.iter().filter_map(|bytes| rmp_serde::from_slice(bytes).ok()).collect();
    let unread = all - read.len();
    if unread > 0 {
        tracing::error!(event = "operations_unread", unread, read = read.len());
    }
    if must_learn || damaged || unread > 0 {
        read.retain(|entry| !matches!(entry, Entry::Ready { .. }));
    }
    read
}
