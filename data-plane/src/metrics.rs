//! The metrics of this process as text.

use crate::node_state::NodeState;
use crate::pools::Pools;
use lupinledge_gossip::metrics;
use std::cell::OnceCell;
use std::rc::Rc;

/// Sources of the process's metrics. The pools are created only once the process knows the cluster's clock.
pub struct Metrics {
    node_state: Rc<NodeState>,
    pools: OnceCell<Rc<Pools>>,
}

impl Metrics {
    /// Creates the metrics of a process that has no pools yet.
    pub fn new(node_state: Rc<NodeState>) -> Rc<Metrics> {
        Rc::new(Metrics { node_state, pools: OnceCell::new() })
    }

    /// Adds the metrics of the pools.
    pub fn set_pools(&self, pools: Rc<Pools>) {
        let _ = self.pools.set(pools);
    }

    /// Renders the current values of all metrics.
    pub fn text(&self) -> String {
        metrics::render(|line| {
            self.node_state.write_metrics(line);
            if let Some(pools) = self.pools.get() {
                pools.write_metrics(line);
            }
        })
    }
}
