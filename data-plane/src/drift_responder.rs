//! Checks that this process routes by the rules that were set last. Observations are passed to the decisions
//! of `lupinledge-drift-detection`, and the actions it returns are carried out here.

use crate::client_handler::ClientHandler;
use crate::node_state::NodeState;
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

/// How often the process's tables are audited, one part each time.
const AUDIT_INTERVAL: Duration = Duration::from_millis(100);
/// The tables are rebuilt and compared once per `REBUILD_CHECKS` checks, and the terms of a pool are checked
/// once per `TERMS_CHECKS`.
const REBUILD_CHECKS: u32 = 50;
const TERMS_CHECKS: u32 = 5;

/// Audits the tables and withdraws the node while its rules are in doubt.
pub struct DriftResponder {
    node_state: Rc<NodeState>,
    gossip: Rc<Gossip>,
    pools: Rc<Pools>,
    /// The flag that readiness checks are answered by.
    ready: Rc<Cell<bool>>,
    clients: Rc<ClientConnections<ClientHandler>>,
    audit: Audit,
    monitor: DriftMonitor,
    /// The number of checks so far.
    checks: u32,
    /// The tables that were audited last.
    audited: Rc<Tables>,
    /// The tables that were in force when the node withdrew and the detector's name, until it is known what
    /// differed.
    doubted: Option<(Rc<Tables>, &'static str)>,
}

impl DriftResponder {
    /// Creates the responder for a node that has just become ready.
    pub fn new(
        node_state: Rc<NodeState>,
        gossip: Rc<Gossip>,
        pools: Rc<Pools>,
        ready: Rc<Cell<bool>>,
        clients: Rc<ClientConnections<ClientHandler>>,
        seed: u64,
    ) -> DriftResponder {
        let monitor =
            DriftMonitor::new(gossip.now(), Settings::new(node_state.settings().bounds.config_apply_s));
        let audit = Audit::new(seed);
        let audited = pools.tables();
        DriftResponder {
            node_state,
            gossip,
            pools,
            ready,
            clients,
            audit,
            monitor,
            checks: 0,
            audited,
            doubted: None,
        }
    }

    /// Checks the rules forever. In tests SIGUSR1 changes the tables in memory as the file `drift_file` says.
    pub async fn run(mut self, drift_file: PathBuf) {
        let mut drift_signal = signal(SignalKind::user_defined1()).ok().filter(|_| CORRUPTION_ENABLED);
        loop {
            let drift = async {
                match &mut drift_signal {
                    Some(drift_signal) => drop(drift_signal.recv().await),
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                _ = tokio::time::sleep(AUDIT_INTERVAL) => self.check(),
                _ = drift => {
                    let drift_kind = std::fs::read_to_string(&drift_file).unwrap_or_default();
                    self.pools.corrupt_tables(drift_kind.trim());
                }
            }
        }
    }

    /// One check: audits the tables and carries out the resulting actions.
    fn check(&mut self) {
        self.checks = self.checks.wrapping_add(1);
        let (tables, config) = (self.pools.tables(), self.node_state.config());
        if !Rc::ptr_eq(&tables, &self.audited) {
            self.audit.reset();
            self.audited = tables.clone();
        }
        let rebuilt =
            if self.checks.is_multiple_of(REBUILD_CHECKS) { self.node_state.build_tables() } else { None };
        let finding = self.audit.step(&tables, config.as_deref(), rebuilt.as_ref()).or_else(|| {
            let terms_due = self.checks.is_multiple_of(TERMS_CHECKS);
            let deviation =
                terms_due.then(|| self.pools.find_deviation((self.checks / TERMS_CHECKS) as usize)).flatten();
            deviation.map(|(part, name)| Finding { part, names: vec![name] })
        });
        let (index, fingerprint) =
            (self.gossip.with_store(|h| h.digest().state.1), self.audit.memory_fingerprints().combined());
        self.gossip.set_fingerprint(index, fingerprint);
        let local_state = LocalState {
            index,
            fingerprint,
            faulty_part: finding.as_ref().map(|f| f.part),
            verified: self.audit.is_clean(),
        };
        let (now, holder) = (self.gossip.now(), self.gossip.with_store(|h| h.epoch().1));
        let peers = self.gossip.with_membership(|s| compare(now, &local_state, holder, s.members()));
        for action in self.monitor.evaluate(now, &local_state, &peers) {
            self.execute(action, index, finding.as_ref(), &tables);
        }
        if self.pools.suspension().0.is_some() {
            self.pools.set_suspension(Some(self.monitor.retry_after(now)));
        }
        self.log_difference();
    }

    /// Carries out one action.
    fn execute(&mut self, action: Action, index: u64, finding: Option<&Finding>, tables: &Rc<Tables>) {
        match action {
            Action::Withdraw { detector, part, times, hold } => {
                let (part_name, differing_names) =
                    (part.map_or("whole", Part::name), finding.map(|f| f.names.join(",")));
                let (detector_name, route) = (detector.name(), differing_names.unwrap_or_default());
                tracing::warn!(event = "drift", part = part_name, %route, judge = detector_name, index);
                tracing::warn!(event = "out", judge = detector_name, times, hold);
                self.doubted = Some((tables.clone(), detector_name));
                self.ready.set(false);
                self.pools.set_suspension(Some(self.monitor.retry_after(self.gossip.now())));
                self.clients.start_closing();
                let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
                let (part, fingerprints) =
                    (part.map_or(u8::MAX, |p| p as u8), self.audit.memory_fingerprints().parts());
                let report = DriftReport {
                    index,
                    fingerprints,
                    part,
                    judged_by: detector as u8,
                    recent_count: times as u16,
                    since,
                };
                self.gossip.set_card(|card| (card.ready, card.drift) = (false, Some(Box::new(report))));
            }
            Action::Rebuild => self.node_state.rebuild_tables(),
            Action::Refetch => self.node_state.refetch_document(self.pools.suspension().0.is_some()),
            Action::AcceptClients => {
                tracing::info!(event = "back", version = self.pools.tables().version());
                self.pools.set_suspension(None);
                self.clients.reopen();
                self.ready.set(true);
            }
            Action::Announce => self.gossip.set_card(|card| (card.ready, card.drift) = (true, None)),
        }
    }

    /// Logs what differed once other tables are in force than those that were in doubt.
    fn log_difference(&mut self) {
        let new = self.pools.tables();
        let Some((old, judge)) = self.doubted.take_if(|(old, _)| !Rc::ptr_eq(old, &new)) else { return };
        for part in
            Part::ALL.into_iter().filter(|p| old.recompute_fingerprint(*p) != new.recompute_fingerprint(*p))
        {
            let route = old.differing_names(&new, part).join(",");
            tracing::warn!(event = "drift", part = part.name(), %route, judge);
        }
    }
}
