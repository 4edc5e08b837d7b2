//! Runs commands: only where the duty is held, one change at a time, each settled before the next is judged.

use crate::agree::Agreed;
use crate::command::{Command, Reply};
use crate::hive::Hive;
use lupinledge_config::change_queue::CallerId;
use lupinledge_config::{Answer, Decision, Document, ErrorKind};
use lupinledge_consensus::Outcome;
use lupinledge_invariants::{check, Invariant};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Callers go elsewhere after a second of silence, after more with a large body: before that they are told to come
/// back. What was begun goes on.
const ANSWER_WAIT: Duration = Duration::from_millis(900);
/// And so much more for each byte of a body, as a link of 2 Mbit/s takes for it.
const BYTE_WAIT: Duration = Duration::from_micros(4);
/// So long a holder may take to be found.
const STAND_TRIES: usize = 14;
const STAND_PAUSE: Duration = Duration::from_millis(50);

/// A caller that waits; however it ceases to, its place is given back.
struct Waits(Rc<Hive>, CallerId);

impl Drop for Waits {
    fn drop(&mut self) {
        self.0.turns.borrow_mut().remove_caller(self.1);
        self.0.callers.borrow_mut().remove(&self.1);
    }
}

impl Hive {
    /// What becomes of a command, as far as that is known before its caller goes elsewhere.
    pub async fn run(self: Rc<Hive>, command: Command) -> Reply {
        let bytes = command.body().map_or(0, <[u8]>::len);
        let wait = ANSWER_WAIT + BYTE_WAIT * u32::try_from(bytes).unwrap_or(u32::MAX);
        let changes = command.changes();
        let reply = timeout(wait, self.clone().carry_out(command)).await.unwrap_or(Reply::Later);
        if let (Some(order), Reply::Refused { kind, text }) = (changes, &reply) {
            self.refused(order, *kind, text);
        }
        reply
    }

    /// Tells of an order that was refused for good; one that may be sent again is no more than late.
    pub fn refused(&self, order: &str, kind: ErrorKind, text: &str) {
        if kind.status() < 500 {
            let in_force = self.agree.agreed().map_or(0, |agreed| agreed.document.version);
            self.refusals.record(self.clock.now() as u64, order, kind, text, in_force);
        }
    }

    async fn carry_out(self: Rc<Hive>, command: Command) -> Reply {
        if self.leaving.get() {
            return Reply::Later;
        }
        if let Some(elsewhere) = self.stand().await {
            return elsewhere;
        }
        if command == Command::GetConfig {
            return match self.judge(&command) {
                Ok((agreed, epoch, Decision::ReplyIfNewest(answer))) => {
                    self.confirm(&command, agreed, epoch, answer).await
                }
                Ok(_) => Reply::Later,
                Err(elsewhere) => elsewhere,
            };
        }
        let arrived = self.turns.borrow_mut().enqueue(command.clone(), command.body());
        let Some(caller) = arrived else {
            return Reply::Refused { kind: ErrorKind::Overloaded, text: "too many changes wait".into() };
        };
        let _waits = Waits(self.clone(), caller);
        let (done, reply) = oneshot::channel();
        self.callers.borrow_mut().insert(caller, done);
        self.work();
        reply.await.unwrap_or(Reply::Later)
    }

    /// Runs what waits, unless that is being done: also where the callers have gone, since half of a change is none.
    fn work(self: &Rc<Hive>) {
        let Some(command) = self.turns.borrow_mut().start_next() else { return };
        let hive = self.clone();
        tokio::task::spawn_local(async move {
            let mut next = Some(command);
            while let Some(command) = next {
                hive.settle(command).await;
                next = hive.turns.borrow_mut().start_next();
            }
        });
    }

    /// Judges the change whose turn it is and brings it about. What is only to be said doesn't hold up the next one.
    async fn settle(self: &Rc<Hive>, command: Command) {
        let reply = match self.judge(&command) {
            Err(elsewhere) => elsewhere,
            Ok((_, _, Decision::Reply(answer))) => answer.into(),
            Ok((_, _, Decision::Propose(document))) => self.propose(&command, document).await,
            Ok((agreed, epoch, Decision::ReplyIfNewest(answer))) => {
                let (hive, callers) = (self.clone(), self.turns.borrow_mut().finish());
                if !callers.is_empty() {
                    tokio::task::spawn_local(async move {
                        let reply = hive.confirm(&command, agreed, epoch, answer).await;
                        hive.tell_callers(callers, reply);
                    });
                }
                return;
            }
        };
        let callers = self.turns.borrow_mut().finish();
        self.tell_callers(callers, reply);
    }

    fn tell_callers(&self, callers: Vec<CallerId>, reply: Reply) {
        for caller in callers {
            let done = self.callers.borrow_mut().remove(&caller);
            done.into_iter().for_each(|done| drop(done.send(reply.clone())));
        }
    }

    /// `None` where this process speaks for the whole; else what to say.
    async fn stand(&self) -> Option<Reply> {
        for _ in 0..STAND_TRIES {
            if self.agree.leads().is_some() {
                return None;
            }
            if let Some(elsewhere) = self.elsewhere() {
                return Some(elsewhere);
            }
            sleep(STAND_PAUSE).await;
        }
        Some(Reply::Later)
    }

    /// The holder, if it is another process, by its own word of a moment ago. A member that hears no majority goes by
    /// what edge nodes tell. Along a chain of redirects the epoch grows, so that there is no loop.
    fn elsewhere(&self) -> Option<Reply> {
        let holder = self.agree.route().or_else(|| self.told_holder())?;
        let port = self.settings.borrow().listen.control?.port();
        Some(Reply::Elsewhere(SocketAddr::from((Ipv4Addr::from(holder), port))))
    }

    /// What a command comes to on top of the document that is committed here, in which epoch; else whom to ask.
    fn judge(&self, command: &Command) -> Result<(Rc<Agreed>, u64, Decision), Reply> {
        let (Some(epoch), Some(agreed)) = (self.agree.leads(), self.agree.agreed()) else {
            return Err(self.elsewhere().unwrap_or(Reply::Later));
        };
        let judged = self.judge_on(&agreed, command);
        Ok((agreed, epoch, judged))
    }

    fn judge_on(&self, agreed: &Agreed, command: &Command) -> Decision {
        agreed.document.decide(command.order(), |zone| self.settings.borrow().has_zone(zone))
    }

    /// Says an answer once the whole stands by it.
    async fn confirm(&self, command: &Command, agreed: Rc<Agreed>, epoch: u64, answer: Answer) -> Reply {
        let confirmed = self.agree.confirm().await && self.agree.leads() == Some(epoch);
        if confirmed && *command == Command::GetConfig {
            let (newest, read) =
                (self.acknowledged.get(), self.agree.agreed().map_or(0, |a| a.document.version));
            check(Invariant::ReadNotStale, read >= newest, || {
                format!("version {read}, {newest} acknowledged")
            });
        }
        match self.agree.agreed().filter(|_| confirmed) {
            Some(now) if now.ballot == agreed.ballot => answer.into(),
            // what is committed by now holds all that was acknowledged before
            Some(now) => match self.judge_on(&now, command) {
                Decision::ReplyIfNewest(answer) => answer.into(),
                Decision::Reply(_) | Decision::Propose(_) => Reply::Later,
            },
            None => self.elsewhere().unwrap_or(Reply::Later),
        }
    }

    /// Makes a document the whole's.
    async fn propose(&self, command: &Command, document: Document) -> Reply {
        let Ok(body) = rmp_serde::to_vec(&document) else { return Reply::Later };
        match self.agree.propose(body).await {
            Some(Outcome::Committed(ballot)) => {
                let (version, serial) = (document.version, document.serial);
                tracing::info!(event = "taken", version, serial, epoch = ballot.epoch, index = ballot.index);
                self.acknowledged.set(self.acknowledged.get().max(version));
                if matches!(command, Command::Restore { .. }) {
                    self.brood.hurry();
                }
                Reply::Done
            }
            Some(Outcome::NotLeader) => self.elsewhere().unwrap_or(Reply::Later),
            // it may come into force yet
            _ => Reply::Later,
        }
    }
}
