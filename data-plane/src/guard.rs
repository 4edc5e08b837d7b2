//! Watches whether this process routes by the rules that were set last: what is seen goes to the decisions of
//! `lupinledge-drift-detection`, and what these want is done here.

use crate::door::Door;
use crate::nest::Nest;
use crate::pools::Pools;
use lupinledge_config::{Part, Tables, CORRUPTION_ENABLED};
use lupinledge_drift_detection::{
    verdict::compare, Action, Audit, DriftMonitor, Finding, LocalState, Settings,
};
use lupinledge_gossip::Gossip;
use lupinledge_membership::DriftReport;
use lupinledge_proxy::clients::ClientConnections;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{signal, SignalKind};

/// The own tables are looked at so often, a part each time.
const TURN: Duration = Duration::from_millis(100);
/// The tables are built anew and compared each so many turns, and a pool's terms are looked at.
const BUILD: u32 = 50;
const TERMS: u32 = 5;

/// See the module.
pub struct Guard {
    nest: Rc<Nest>,
    gossip: Rc<Gossip>,
    pools: Rc<Pools>,
    ready: Rc<Cell<bool>>,
    clients: Rc<ClientConnections<Door>>,
    audit: Audit,
    watch: DriftMonitor,
    turns: u32,
    looked: Rc<Tables>,
    /// What was in force when it went out, until it is known what differed.
    doubted: Option<(Rc<Tables>, &'static str)>,
}

impl Guard {
    pub fn new(
        nest: Rc<Nest>,
        gossip: Rc<Gossip>,
        pools: Rc<Pools>,
        ready: Rc<Cell<bool>>,
        clients: Rc<ClientConnections<Door>>,
        seed: u64,
    ) -> Guard {
        let watch = DriftMonitor::new(gossip.now(), Settings::new(nest.settings().bounds.config_apply_s));
        let audit = Audit::new(seed);
        let looked = pools.tables();
        Guard { nest, gossip, pools, ready, clients, audit, watch, turns: 0, looked, doubted: None }
    }

    /// Watches for good. Tests have the tables changed at SIGUSR1, by what that file says.
    pub async fn run(mut self, drifts: PathBuf) {
        let mut told = signal(SignalKind::user_defined1()).ok().filter(|_| CORRUPTION_ENABLED);
        loop {
            let drift = async {
                match &mut told {
                    Some(told) => drop(told.recv().await),
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                _ = tokio::time::sleep(TURN) => self.turn(),
                _ = drift => {
                    let how = std::fs::read_to_string(&drifts).unwrap_or_default();
                    self.pools.drift(how.trim());
                }
            }
        }
    }

    fn turn(&mut self) {
        self.turns = self.turns.wrapping_add(1);
        let (tables, config) = (self.pools.tables(), self.nest.config());
        if !Rc::ptr_eq(&tables, &self.looked) {
            self.audit.reset();
            self.looked = tables.clone();
        }
        let due = if self.turns.is_multiple_of(BUILD) { self.nest.due() } else { None };
        let found = self.audit.step(&tables, config.as_deref(), due.as_ref()).or_else(|| {
            let looks = self.turns.is_multiple_of(TERMS);
            let stray = looks.then(|| self.pools.stray((self.turns / TERMS) as usize)).flatten();
            stray.map(|(part, name)| Finding { part, names: vec![name] })
        });
        let (index, print) =
            (self.gossip.with_store(|h| h.digest().state.1), self.audit.live_print().combined());
        self.gossip.set_fingerprint(index, print);
        let own = LocalState {
            index,
            print,
            faulty_part: found.as_ref().map(|f| f.part),
            verified: self.audit.is_clean(),
        };
        let (now, holder) = (self.gossip.now(), self.gossip.with_store(|h| h.epoch().1));
        let others = self.gossip.with_membership(|s| compare(now, &own, holder, s.members()));
        for act in self.watch.evaluate(now, &own, &others) {
            self.act(act, index, found.as_ref(), &tables);
        }
        if self.pools.shut().0.is_some() {
            self.pools.set_shut(Some(self.watch.retry_after(now)));
        }
        self.tell_what_differed();
    }

    fn act(&mut self, act: Action, index: u64, found: Option<&Finding>, tables: &Rc<Tables>) {
        match act {
            Action::Withdraw { detector, part, times, hold } => {
                let (name, names) = (part.map_or("whole", Part::name), found.map(|f| f.names.join(",")));
                let (judge_name, route) = (detector.name(), names.unwrap_or_default());
                tracing::warn!(event = "drift", part = name, %route, judge = judge_name, index);
                tracing::warn!(event = "out", judge = judge_name, times, hold);
                self.doubted = Some((tables.clone(), judge_name));
                self.ready.set(false);
                self.pools.set_shut(Some(self.watch.retry_after(self.gossip.now())));
                self.clients.start_closing();
                let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
                let (part, fingerprints) =
                    (part.map_or(u8::MAX, |p| p as u8), self.audit.live_print().parts());
                let rules = DriftReport {
                    index,
                    fingerprints,
                    part,
                    judged_by: detector as u8,
                    recent_count: times as u16,
                    since,
                };
                self.gossip.set_card(|c| (c.ready, c.drift) = (false, Some(Box::new(rules))));
            }
            Action::Rebuild => self.nest.rebuild(),
            Action::Refetch => self.nest.afresh(self.pools.shut().0.is_some()),
            Action::AcceptClients => {
                tracing::info!(event = "back", version = self.pools.tables().version());
                self.pools.set_shut(None);
                self.clients.reopen();
                self.ready.set(true);
            }
            Action::Announce => self.gossip.set_card(|c| (c.ready, c.drift) = (true, None)),
        }
    }

    /// Once other rules are in force than those that were in doubt, the log says what differed.
    fn tell_what_differed(&mut self) {
        let now = self.pools.tables();
        let Some((was, judge)) = self.doubted.take_if(|(was, _)| !Rc::ptr_eq(was, &now)) else { return };
        for part in
            Part::ALL.into_iter().filter(|p| was.recompute_fingerprint(*p) != now.recompute_fingerprint(*p))
        {
            let route = was.differing_names(&now, part).join(",");
            tracing::warn!(event = "drift", part = part.name(), %route, judge);
        }
    }
}
