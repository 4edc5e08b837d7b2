//! Drives this machine's voter on operations that run once per key: its messages, its journal and its timer.

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

/// An entry that the journal did not take is offered again after so long.
const RETRY: Duration = Duration::from_millis(50);
/// Wake-ups are moved forward only by more than this, seconds.
const SOON: f64 = 0.002;

/// How the voter stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Learns,
    NoMember,
    Votes,
}

/// What the voter starts from.
pub struct Beginning {
    pub folder: PathBuf,
    pub limits: Limits,
    /// Must differ from start to start.
    pub seed: u64,
    /// The agreement's state of this machine is lost or another machine's, so that its votes of before are not known.
    pub learns: bool,
}

/// The voter of this machine, see [`Voter`].
pub struct Operations {
    clock: Rc<Clock>,
    voter: RefCell<Voter>,
    recorder: Recorder,
    /// Numbers up to which the journal is on disk; taken by [`Operations::run`].
    saved: RefCell<Option<UnboundedReceiver<u64>>>,
    post: OnceCell<Rc<Transport>>,
    standing: Cell<Option<Standing>>,
    due: Cell<f64>,
    wake: Notify,
}

impl Operations {
    /// Reads the journal and starts the voter. Ends once an empty journal has got its first entries on disk.
    ///
    /// The agreement may save a state only after that: an empty journal beside a state of the agreement then always
    /// means that this machine has never voted on operations, and may found them.
    pub async fn start(clock: Rc<Clock>, beginning: Beginning) -> eyre::Result<Rc<Operations>> {
        let Beginning { folder, limits, seed, learns } = beginning;
        let bounds = Bounds::of(&limits);
        let OpenedJournal { journal, replayed, saved } = Journal::open(folder, bounds.journal())?;
        let replayed = replayed.await.wrap_err("the journal's thread ended")?;
        let empty = replayed.entries.is_empty() && !replayed.damaged;
        let founder = empty && !learns;
        let (me, max_records, max_answer_bytes) = (clock.me, bounds.records, bounds.answer_bytes);
        let settings = Settings { me, seed, founder, max_records, max_answer_bytes };
        let mut out = Vec::new();
        let voter = Voter::new(clock.now(), settings, entries(replayed, learns), &mut out);
        let operations = Rc::new(Operations {
            clock,
            voter: RefCell::new(voter),
            recorder: Recorder::new(journal, bounds.journal_bytes),
            saved: RefCell::new(Some(saved)),
            post: OnceCell::new(),
            standing: Cell::new(None),
            due: Cell::new(0.0),
            wake: Notify::new(),
        });
        operations.carry_out(out);
        if empty {
            operations.first_saved().await?;
        }
        Ok(operations)
    }

    /// Waits until all that was appended so far is on disk.
    async fn first_saved(&self) -> eyre::Result<()> {
        let mut saved = self.saved.borrow_mut().take().ok_or_else(|| eyre!("started twice"))?;
        let appended = self.voter.borrow().appended();
        let mut number = 0;
        while number < appended {
            match timeout(RETRY, saved.recv()).await {
                Ok(told) => number = told.ok_or_else(|| eyre!("the journal's thread ended"))?,
                Err(_) => self.recorder.retry(),
            }
        }
        self.saved(number);
        *self.saved.borrow_mut() = Some(saved);
        Ok(())
    }

    /// From here on messages go out, and what is due is done.
    pub fn run(self: &Rc<Operations>, post: Rc<Transport>) {
        let _ = self.post.set(post);
        if let Some(saved) = self.saved.borrow_mut().take() {
            tokio::task::spawn_local(self.clone().hear_journal(saved));
        }
        tokio::task::spawn_local(self.clone().tick());
    }

    async fn hear_journal(self: Rc<Operations>, mut saved: UnboundedReceiver<u64>) {
        while let Some(number) = saved.recv().await {
            self.saved(number);
        }
    }

    async fn tick(self: Rc<Operations>) {
        loop {
            let wait = (self.due.get() - self.clock.now()).clamp(0.001, 1.0);
            let mut wait = Duration::from_secs_f64(wait);
            if self.recorder.behind() {
                wait = wait.min(RETRY);
            }
            tokio::select! {
                _ = sleep(wait) => {
                    self.recorder.retry();
                    self.turn(|voter, now, out| voter.tick(now, out));
                }
                _ = self.wake.notified() => {}
            }
        }
    }

    fn saved(&self, number: u64) {
        self.recorder.retry();
        self.turn(|voter, now, out| voter.on_saved(now, number, out));
    }

    /// A message of a gateway or of another voter.
    pub fn heard(&self, from: Node, message: Message) {
        self.turn(|voter, now, out| voter.on_message(now, from, message, out));
    }

    /// The agreement has committed this value under that index.
    pub fn committed(&self, index: u64, value: &Value) {
        let Value { members, outgoing, .. } = value;
        self.turn(|voter, now, out| voter.set_members(now, index, members, outgoing, out));
    }

    /// Figures of the voter.
    pub fn figures(&self, line: &mut metrics::MetricSink) {
        let voter = self.voter.borrow();
        line("operations.records", voter.records() as u64);
        line("operations.answer_bytes", voter.answer_bytes() as u64);
        line("operations.journal_bytes", self.recorder.bytes());
        line("operations.votes", u64::from(voter.can_vote()));
    }

    fn turn(&self, step: impl FnOnce(&mut Voter, f64, &mut Vec<Action>)) {
        let mut out = Vec::new();
        let mut voter = self.voter.borrow_mut();
        voter.set_room(self.recorder.has_room());
        step(&mut voter, self.clock.now(), &mut out);
        drop(voter);
        self.carry_out(out);
    }

    fn carry_out(&self, out: Vec<Action>) {
        let mut head_changed = false;
        for order in out {
            match order {
                Action::Send(to, message) => {
                    if let Some(post) = self.post.get() {
                        post.send(to, &WireMessage::Operation(message));
                    }
                }
                Action::Append { number, entry, keep_s, urgent } => {
                    head_changed |= matches!(entry, Entry::Electorate(_));
                    self.recorder.append(number, &entry, keep_s, urgent);
                }
            }
        }
        // after the entries of this turn: the journal may drop those that the head stands for
        if self.standing_changed() || head_changed {
            if let Some(head) = self.voter.borrow().head() {
                self.recorder.set_head(&head);
            }
        }
        self.wake_in_time();
    }

    /// Logs how the voter stands, if that has changed.
    fn standing_changed(&self) -> bool {
        let voter = self.voter.borrow();
        let standing = match () {
            _ if voter.is_learning() => Standing::Learns,
            _ if voter.can_vote() => Standing::Votes,
            _ => Standing::NoMember,
        };
        let changed = self.standing.replace(Some(standing)) != Some(standing);
        let records = voter.records();
        match standing {
            _ if !changed => {}
            Standing::Learns => tracing::info!(event = "operations_learning", records),
            Standing::Votes => tracing::info!(event = "operations_voting", records),
            Standing::NoMember => tracing::info!(event = "operations_no_member", records),
        }
        changed
    }

    fn wake_in_time(&self) {
        let due = self.voter.borrow().next_wake();
        if due < self.due.replace(due) - SOON {
            self.wake.notify_one();
        }
    }
}

/// What the voter takes over. One that has to learn gets no word of its earlier readiness.
fn entries(replayed: Replayed, learns: bool) -> Vec<Entry> {
    let Replayed { entries, damaged } = replayed;
    let all = entries.len();
    let mut read: Vec<Entry> = entries.iter().filter_map(|bytes| rmp_serde::from_slice(bytes).ok()).collect();
    let unread = all - read.len();
    if unread > 0 {
        tracing::error!(event = "operations_unread", unread, read = read.len());
    }
    if learns || damaged || unread > 0 {
        read.retain(|entry| !matches!(entry, Entry::Ready { .. }));
    }
    read
}
