//! Checks the invariants of one request as its dispatches begin and end.

use lupinledge::interface::{Effect, NewRequest, Outcome, Terms};
use lupinledge_invariants::{check, Invariant};

/// What must hold for one request, whatever the decision module does; see [`Invariant`].
pub(super) struct RequestInvariants {
    /// The request may run at most once.
    pub once: bool,
    /// A dispatch that has ended may have run.
    pub may_have_run: bool,
    /// Servers to which the first byte of a dispatch was sent.
    servers: Vec<u32>,
    /// The largest allowed number of these servers.
    max_servers: u32,
    /// The zones whose servers may receive the request, one bit each.
    zones: u64,
}

impl RequestInvariants {
    /// The invariants of a new request under these terms.
    pub fn of(request: &NewRequest, terms: &Terms) -> RequestInvariants {
        let frontend = terms.frontends.get(request.frontend);
        RequestInvariants {
            once: frontend.is_some_and(|f| f.effect == Effect::NonReplayable),
            may_have_run: false,
            servers: Vec::new(),
            max_servers: frontend.map_or(u32::MAX, |f| f.max_dispatches),
            zones: request.zones,
        }
    }

    /// Checks that a dispatch to a server in this zone may begin. `other_started`: another dispatch has begun and
    /// has not ended.
    pub fn begin(&mut self, server: u32, zone: u16, other_started: bool) {
        if !self.servers.contains(&server) {
            self.servers.push(server);
        }
        let may_have_run = self.may_have_run || other_started;
        check(Invariant::RunOnce, !(self.once && may_have_run), || {
            format!("server {server}, {} before", self.servers.len())
        });
        let max_servers = self.max_servers as usize;
        check(Invariant::AttemptLimit, self.servers.len() <= max_servers, || {
            format!("server {server}, {max_servers} allowed")
        });
        let allowed_zone = self.zones == u64::MAX || zone >= 64 || self.zones >> zone & 1 == 1;
        check(Invariant::HomeZone, allowed_zone, || format!("zone {zone}, allowed zones {:b}", self.zones));
    }
}

/// Whether a dispatch that ended with this outcome may have run.
pub(super) fn may_have_run(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent)
}
