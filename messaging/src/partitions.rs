//! Network partitions between processes of the system, for the soak test. With the feature `cuts`, the file
//! named by the variable `LUPINLEDGE_CUTS_FILE` has a line with two addresses for each pair of processes that
//! must not reach each other. Without the feature there are no partitions, and no file is read.

#[cfg(feature = "cuts")]
mod active {
    use crate::Node;
    use std::cell::{Cell, RefCell};
    use std::net::Ipv4Addr;
    use std::path::PathBuf;
    use std::time::{Duration, Instant};

    /// The minimum interval between two reads of the file.
    const READ_INTERVAL: Duration = Duration::from_millis(25);
    const VARIABLE: &str = "LUPINLEDGE_CUTS_FILE";

    /// The pairs of processes that must not reach each other.
    pub struct Partitions {
        path: Option<PathBuf>,
        last_read: Cell<Option<Instant>>,
        pairs: RefCell<Vec<(Node, Node)>>,
    }

    impl Partitions {
        /// Creates the partitions from the file named in the environment.
        pub fn from_env() -> Partitions {
            let path = std::env::var_os(VARIABLE).map(PathBuf::from);
            Partitions { path, last_read: Cell::new(None), pairs: RefCell::default() }
        }

        /// Returns whether these two processes must not reach each other now.
        pub fn separates(&self, first: Node, second: Node) -> bool {
            let Some(path) = &self.path else { return false };
            if self.last_read.get().is_none_or(|at| at.elapsed() > READ_INTERVAL) {
                self.last_read.set(Some(Instant::now()));
                let text = std::fs::read_to_string(path).unwrap_or_default();
                *self.pairs.borrow_mut() = text.lines().filter_map(parse_pair).collect();
            }
            self.pairs.borrow().iter().any(|pair| *pair == (first, second) || *pair == (second, first))
        }

        /// Waits until these two processes may reach each other.
        pub async fn wait_until_connected(&self, first: Node, second: Node) {
            while self.separates(first, second) {
                tokio::time::sleep(READ_INTERVAL).await;
            }
        }
    }

    fn parse_pair(line: &str) -> Option<(Node, Node)> {
        let (first, second) = line.split_once(' ')?;
        let node = |text: &str| text.trim().parse::<Ipv4Addr>().ok().map(Node::from);
        Some((node(first)?, node(second)?))
    }
}

#[cfg(feature = "cuts")]
pub(crate) use active::Partitions;

/// No partitions, in builds without the feature `cuts`.
#[cfg(not(feature = "cuts"))]
pub(crate) struct Partitions;

#[cfg(not(feature = "cuts"))]
impl Partitions {
    /// Creates the empty set of partitions.
    pub fn from_env() -> Partitions {
        Partitions
    }

    /// Returns whether these two processes must not reach each other now.
    pub fn separates(&self, _: crate::Node, _: crate::Node) -> bool {
        false
    }

    /// Waits until these two processes may reach each other.
    pub async fn wait_until_connected(&self, _: crate::Node, _: crate::Node) {}
}
