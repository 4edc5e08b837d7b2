//! Why a connection ended. Each connection leaves one log line with a code for it.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its owner was dropped: a connection attempt that was no longer needed, or the program at its exit.
    Dropped,
    /// The peer closed it between messages.
    PeerClosed,
    /// It broke off with an error.
    PeerReset,
    /// The peer sent a message that could not be parsed.
    Malformed,
    /// The peer closed it in the middle of a message.
    LeftMidway,
    /// It was closed here after a message.
    ClosedHere,
    /// It was closed since the program stops serving.
    Drained,
    /// It was closed to free a descriptor.
    Crowded,
    /// The connection attempt failed.
    Refused,
    /// The connection attempt timed out.
    ConnectTime,
    /// It was idle for too long.
    Idle,
    /// The client did not send a whole request head in time.
    Unread,
    /// The server sent bytes that belong to no response.
    Stray,
    /// The dispatch on it was cancelled.
    Cancelled,
    /// The response did not arrive in time.
    TimedOut,
    /// The peer sent nothing for too long.
    Silent,
    /// The peer's address was changed by the configuration.
    Moved,
    /// The peer sent a response that does not fit the request.
    Unexpected,
}

impl EndReason {
    /// The code in the log.
    pub fn code(self) -> &'static str {
        match self {
            EndReason::Dropped => "dropped",
            EndReason::PeerClosed => "peer-closed",
            EndReason::PeerReset => "peer-reset",
            EndReason::Malformed => "malformed",
            EndReason::LeftMidway => "left-midway",
            EndReason::ClosedHere => "closed-here",
            EndReason::Drained => "drained",
            EndReason::Crowded => "crowded",
            EndReason::Refused => "refused",
            EndReason::ConnectTime => "connect-time",
            EndReason::Idle => "idle",
            EndReason::Unread => "unread",
            EndReason::Stray => "stray",
            EndReason::Cancelled => "cancelled",
            EndReason::TimedOut => "timed-out",
            EndReason::Silent => "silent",
            EndReason::Moved => "moved",
            EndReason::Unexpected => "unexpected",
        }
    }
    /// The reason for an error of [`connect`](super::connect::connect).
    pub fn from_connect_error(error: &std::io::Error) -> EndReason {
        if error.kind() == std::io::ErrorKind::TimedOut {
            EndReason::ConnectTime
        } else {
            EndReason::Refused
        }
    }
    /// The reason for the result of a connection's hyper future.
    pub fn from_http_result(result: &hyper::Result<()>) -> EndReason {
        match result {
            Ok(()) => EndReason::PeerClosed,
            Err(e) if e.is_parse() => EndReason::Malformed,
            Err(e) if e.is_incomplete_message() => EndReason::LeftMidway,
            Err(_) => EndReason::PeerReset,
        }
    }
}

/// Writes the log line of a connection when dropped. The first reason is kept, since later ones result from closing
/// the connection.
pub struct EndLog {
    kind: &'static str,
    peer: String,
    reason: Cell<Option<EndReason>>,
    suppressed: Cell<bool>,
}

impl EndLog {
    /// For a connection of this kind: `client`, `srv` or another peer of the program.
    pub fn new(kind: &'static str, peer: impl fmt::Display) -> Rc<EndLog> {
        Rc::new(EndLog {
            kind,
            peer: peer.to_string(),
            reason: Cell::new(None),
            suppressed: Cell::new(false),
        })
    }
    /// Sets the reason unless there is one.
    pub fn set_reason(&self, reason: EndReason) {
        self.reason.set(self.reason.get().or(Some(reason)));
    }
    /// Suppresses the line: the connection attempt succeeded, and the connection has its own `EndLog`.
    pub fn suppress(&self) {
        self.suppressed.set(true);
    }
}

impl Drop for EndLog {
    fn drop(&mut self) {
        if self.suppressed.get() {
            return;
        }
        let code = self.reason.get().unwrap_or(EndReason::Dropped).code();
        log::info!("ended {} {} code={code}", self.kind, self.peer);
    }
}
