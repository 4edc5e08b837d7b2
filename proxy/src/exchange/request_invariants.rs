//! The invariants of one request, checked as its dispatches begin and end.

use lupinledge::interface::{Effect, NewRequest, Outcome, Terms};
use lupinledge_invariants::{check, Invariant};

/// What has to hold for one request, whatever the decisions say; see [`Invariant`].
pub(super) struct RequestInvariants {
    /// It may run once at most.
    pub once: bool,
    /// An ended dispatch may have run.
    pub may_have_run: bool,
    /// Srvs to which a first byte of it went.
    servers: Vec<u32>,
    /// The largest number of these that is allowed.
    most: u32,
    /// The zones whose srvs may have it, a bit each.
    zones: u64,
}

impl RequestInvariants {
    pub fn of(req: &NewRequest, terms: &Terms) -> RequestInvariants {
        let frontend = terms.frontends.get(req.frontend);
        RequestInvariants {
            once: frontend.is_some_and(|f| f.effect == Effect::NonReplayable),
            may_have_run: false,
            servers: Vec::new(),
            most: frontend.map_or(u32::MAX, |f| f.max_dispatches),
            zones: req.zones,
        }
    }

    /// A dispatch to a srv in this zone is about to begin; `other_begun`: another one has, and has not ended.
    pub fn begin(&mut self, srv: u32, zone: u16, other_begun: bool) {
        if !self.servers.contains(&srv) {
            self.servers.push(srv);
        }
        let ran = self.may_have_run || other_begun;
        check(Invariant::RunOnce, !(self.once && ran), || {
            format!("srv {srv}, {} before", self.servers.len())
        });
        let most = self.most as usize;
        check(Invariant::AttemptLimit, self.servers.len() <= most, || format!("srv {srv}, {most} allowed"));
        let home = self.zones == u64::MAX || zone >= 64 || self.zones >> zone & 1 == 1;
        check(Invariant::HomeZone, home, || format!("zone {zone}, homes {:b}", self.zones));
    }
}

/// Whether a dispatch that ended so may have run.
pub(super) fn may_have_run(how: Outcome) -> bool {
    !matches!(how, Outcome::Full | Outcome::NoConnection | Outcome::NotSent)
}
