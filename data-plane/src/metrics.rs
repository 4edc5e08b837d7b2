//! The figures of this process as text.

use crate::node_state::NodeState;
use crate::pools::Pools;
use lupinledge_gossip::metrics;
use std::cell::OnceCell;
use std::rc::Rc;

/// What the figures are taken from; the pools are there only once the process knows the time.
pub struct Metrics {
    nest: Rc<NodeState>,
    pools: OnceCell<Rc<Pools>>,
}

impl Metrics {
    /// Those of a process that has no pools yet.
    pub fn new(nest: Rc<NodeState>) -> Rc<Metrics> {
        Rc::new(Metrics { nest, pools: OnceCell::new() })
    }

    /// From here on with the figures of its requests.
    pub fn show(&self, pools: Rc<Pools>) {
        let _ = self.pools.set(pools);
    }

    /// All figures as of now.
    pub fn text(&self) -> String {
        metrics::render(|line| {
            self.nest.figures(line);
            if let Some(pools) = self.pools.get() {
                pools.figures(line);
            }
        })
    }
}
