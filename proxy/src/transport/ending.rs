//! Why a connection ended: a code for the log line that each one leaves.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// The reasons; the code of each says what happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// What held it was ended: a try no longer needed, or the program at its exit.
    Dropped,
    PeerClosed,
    PeerReset,
    Malformed,
    LeftMidway,
    ClosedHere,
    Drained,
    Crowded,
    Refused,
    ConnectTime,
    Idle,
    Unread,
    Stray,
    Cancelled,
    TimedOut,
    Silent,
    Moved,
    Unexpected,
}

impl Why {
    /// As the log has it.
    pub fn code(self) -> &'static str {
        match self {
            Why::Dropped => "dropped",
            Why::PeerClosed => "peer-closed",
            Why::PeerReset => "peer-reset",
            Why::Malformed => "malformed",
            Why::LeftMidway => "left-midway",
            Why::ClosedHere => "closed-here",
            Why::Drained => "drained",
            Why::Crowded => "crowded",
            Why::Refused => "refused",
            Why::ConnectTime => "connect-time",
            Why::Idle => "idle",
            Why::Unread => "unread",
            Why::Stray => "stray",
            Why::Cancelled => "cancelled",
            Why::TimedOut => "timed-out",
            Why::Silent => "silent",
            Why::Moved => "moved",
            Why::Unexpected => "unexpected",
        }
    }
    /// Why there is no connection, by the error of `dial`.
    pub fn of_dial(e: &std::io::Error) -> Why {
        if e.kind() == std::io::ErrorKind::TimedOut {
            Why::ConnectTime
        } else {
            Why::Refused
        }
    }
    /// Why one ended by itself, by how hyper ended.
    pub fn of_http(end: &hyper::Result<()>) -> Why {
        match end {
            Ok(()) => Why::PeerClosed,
            Err(e) if e.is_parse() => Why::Malformed,
            Err(e) if e.is_incomplete_message() => Why::LeftMidway,
            Err(_) => Why::PeerReset,
        }
    }
}

/// Writes the line when dropped. The first reason given stands: what follows a closing is its result.
pub struct Ending {
    kind: &'static str,
    peer: String,
    why: Cell<Option<Why>>,
    silenced: Cell<bool>,
}

impl Ending {
    /// Of a connection of that kind: `client`, `srv` or what else the program speaks to.
    pub fn of(kind: &'static str, peer: impl fmt::Display) -> Rc<Ending> {
        Rc::new(Ending { kind, peer: peer.to_string(), why: Cell::new(None), silenced: Cell::new(false) })
    }
    /// Gives a reason.
    pub fn because(&self, why: Why) {
        self.why.set(self.why.get().or(Some(why)));
    }
    /// No line: what was tried has become a connection, with an ending of its own.
    pub fn silence(&self) {
        self.silenced.set(true);
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        if self.silenced.get() {
            return;
        }
        let code = self.why.get().unwrap_or(Why::Dropped).code();
        log::info!("ended {} {} code={code}", self.kind, self.peer);
    }
}
