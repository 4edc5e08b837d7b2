//! Executes commands on the leader: one change at a time, each committed or rejected before the next is decision.

use crate::command::{Command, Reply};
use crate::consensus_driver::CommittedDocument;
use crate::control_plane::ControlPlane;
use lupinledge_config::change_queue::CallerId;
use lupinledge_config::{Answer, Decision, Document, ErrorKind};
use lupinledge_consensus::Outcome;
use lupinledge_invariants::{check, Invariant};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Callers try another process after a second without an answer, later with a large body; before that they get a retry
/// answer. The command that was started continues.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Additional time for each byte of a body: its transfer time at 2 Mbit/s.
const TIMEOUT_PER_BYTE: Duration = Duration::from_micros(4);
/// How often an unknown leader is looked up again before the caller is told to retry.
const LEADER_LOOKUP_TRIES: usize = 14;
/// Time between two lookups of the leader.
const LEADER_LOOKUP_PAUSE: Duration = Duration::from_millis(50);

/// Frees the place of a waiting caller when dropped, however the wait ends.
struct CallerGuard(Rc<ControlPlane>, CallerId);

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.0.change_queue.borrow_mut().remove_caller(self.1);
        self.0.waiting_callers.borrow_mut().remove(&self.1);
    }
}

impl ControlPlane {
    /// Executes a command; the reply comes before the caller times out, even if the outcome is still unknown.
    pub async fn execute(self: Rc<ControlPlane>, command: Command) -> Reply {
        let bytes = command.body().map_or(0, <[u8]>::len);
        let wait = ANSWER_TIMEOUT + TIMEOUT_PER_BYTE * u32::try_from(bytes).unwrap_or(u32::MAX);
        let change_name = command.change_name();
        let reply = timeout(wait, self.clone().process(command)).await.unwrap_or(Reply::Unavailable);
        if let (Some(order), Reply::Refused { kind, text }) = (change_name, &reply) {
            self.record_refusal(order, *kind, text);
        }
        reply
    }

    /// Records an order that was refused permanently; temporary refusals (status 5xx) are not recorded.
    pub fn record_refusal(&self, order: &str, kind: ErrorKind, text: &str) {
        if kind.status() < 500 {
            let in_force = self
                .consensus
                .committed_document()
                .map_or(0, |committed_document| committed_document.document.version);
            self.refusals.record(self.clock.now() as u64, order, kind, text, in_force);
        }
    }

    /// Executes a command without a time limit.
    async fn process(self: Rc<ControlPlane>, command: Command) -> Reply {
        if self.leaving.get() {
            return Reply::Unavailable;
        }
        if let Some(redirect) = self.check_leadership().await {
            return redirect;
        }
        if command == Command::GetConfig {
            return match self.decide(&command) {
                Ok((committed_document, epoch, Decision::ReplyIfNewest(answer))) => {
                    self.confirm_answer(&command, committed_document, epoch, answer).await
                }
                Ok(_) => Reply::Unavailable,
                Err(redirect) => redirect,
            };
        }
        let queued = self.change_queue.borrow_mut().enqueue(command.clone(), command.body());
        let Some(caller) = queued else {
            return Reply::Refused {
                kind: ErrorKind::Overloaded,
                text: "too many changes are waiting".into(),
            };
        };
        let _guard = CallerGuard(self.clone(), caller);
        let (reply_sender, reply) = oneshot::channel();
        self.waiting_callers.borrow_mut().insert(caller, reply_sender);
        self.run_queue();
        reply.await.unwrap_or(Reply::Unavailable)
    }

    /// Starts working through the waiting changes, unless that is in progress. Continues even if the callers are gone,
    /// as a change must not be left half done.
    fn run_queue(self: &Rc<ControlPlane>) {
        let Some(command) = self.change_queue.borrow_mut().start_next() else { return };
        let control_plane = self.clone();
        tokio::task::spawn_local(async move {
            let mut next = Some(command);
            while let Some(command) = next {
                control_plane.apply(command).await;
                next = control_plane.change_queue.borrow_mut().start_next();
            }
        });
    }

    /// Evaluates and commits the next change. If it only needs a confirmed answer, that does not delay the following
    /// change.
    async fn apply(self: &Rc<ControlPlane>, command: Command) {
        let reply = match self.decide(&command) {
            Err(redirect) => redirect,
            Ok((_, _, Decision::Reply(answer))) => answer.into(),
            Ok((_, _, Decision::Propose(document))) => self.propose_document(&command, document).await,
            Ok((committed_document, epoch, Decision::ReplyIfNewest(answer))) => {
                let (control_plane, waiting_callers) =
                    (self.clone(), self.change_queue.borrow_mut().finish());
                if !waiting_callers.is_empty() {
                    tokio::task::spawn_local(async move {
                        let reply =
                            control_plane.confirm_answer(&command, committed_document, epoch, answer).await;
                        control_plane.send_replies(waiting_callers, reply);
                    });
                }
                return;
            }
        };
        let waiting_callers = self.change_queue.borrow_mut().finish();
        self.send_replies(waiting_callers, reply);
    }

    /// Sends a reply to the callers that still wait.
    fn send_replies(&self, waiting_callers: Vec<CallerId>, reply: Reply) {
        for caller in waiting_callers {
            let reply_sender = self.waiting_callers.borrow_mut().remove(&caller);
            reply_sender.into_iter().for_each(|reply_sender| drop(reply_sender.send(reply.clone())));
        }
    }

    /// `None` if this process leads, else the reply for the caller.
    async fn check_leadership(&self) -> Option<Reply> {
        for _ in 0..LEADER_LOOKUP_TRIES {
            if self.consensus.leading_epoch().is_some() {
                return None;
            }
            if let Some(redirect) = self.redirect() {
                return Some(redirect);
            }
            sleep(LEADER_LOOKUP_PAUSE).await;
        }
        Some(Reply::Unavailable)
    }

    /// A redirect to the leader, if that is another process, based on recent messages of the leader itself. A member
    /// that is cut off from the majority relies on what edge nodes gossip. The epoch increases along a chain of
    /// redirects, so that there is no loop.
    fn redirect(&self) -> Option<Reply> {
        let leader = self.consensus.redirect_target().or_else(|| self.gossiped_leader())?;
        let port = self.settings.borrow().listen.control?.port();
        Some(Reply::Redirect(SocketAddr::from((Ipv4Addr::from(leader), port))))
    }

    /// Evaluates a command against the committed document here; also returns that document and the epoch. The error is
    /// the reply if this process does not lead.
    fn decide(&self, command: &Command) -> Result<(Rc<CommittedDocument>, u64, Decision), Reply> {
        let (Some(epoch), Some(committed_document)) =
            (self.consensus.leading_epoch(), self.consensus.committed_document())
        else {
            return Err(self.redirect().unwrap_or(Reply::Unavailable));
        };
        let decision = self.decide_on(&committed_document, command);
        Ok((committed_document, epoch, decision))
    }

    /// Evaluates a command against a document.
    fn decide_on(&self, committed_document: &CommittedDocument, command: &Command) -> Decision {
        committed_document.document.decide(command.order(), |zone| self.settings.borrow().has_zone(zone))
    }

    /// Returns an answer once a majority has confirmed that it is not outdated.
    async fn confirm_answer(
        &self,
        command: &Command,
        committed_document: Rc<CommittedDocument>,
        epoch: u64,
        answer: Answer,
    ) -> Reply {
        let confirmed =
            self.consensus.confirm_committed().await && self.consensus.leading_epoch() == Some(epoch);
        if confirmed && *command == Command::GetConfig {
            let (newest, read) = (
                self.acknowledged_version.get(),
                self.consensus.committed_document().map_or(0, |committed| committed.document.version),
            );
            check(Invariant::ReadNotStale, read >= newest, || {
                format!("version {read}, {newest} acknowledged")
            });
        }
        match self.consensus.committed_document().filter(|_| confirmed) {
            Some(current) if current.ballot == committed_document.ballot => answer.into(),
            // the document that is committed by now includes all changes acknowledged before
            Some(current) => match self.decide_on(&current, command) {
                Decision::ReplyIfNewest(answer) => answer.into(),
                Decision::Reply(_) | Decision::Propose(_) => Reply::Unavailable,
            },
            None => self.redirect().unwrap_or(Reply::Unavailable),
        }
    }

    /// Proposes the changed document and waits for the outcome.
    async fn propose_document(&self, command: &Command, document: Document) -> Reply {
        let Ok(body) = rmp_serde::to_vec(&document) else { return Reply::Unavailable };
        match self.consensus.propose(body).await {
            Some(Outcome::Committed(ballot)) => {
                let (version, serial) = (document.version, document.serial);
                tracing::info!(event = "taken", version, serial, epoch = ballot.epoch, index = ballot.index);
                self.acknowledged_version.set(self.acknowledged_version.get().max(version));
                if matches!(command, Command::Restore { .. }) {
                    self.servers.read_now();
                }
                Reply::Done
            }
            Some(Outcome::NotLeader) => self.redirect().unwrap_or(Reply::Unavailable),
            // it may still be committed
            _ => Reply::Unavailable,
        }
    }
}
