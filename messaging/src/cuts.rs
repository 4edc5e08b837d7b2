//! Cuts between own processes, for the soak test: with the feature `cuts`, the file that the variable
//! `LUPINLEDGE_CUTS_FILE` names has a line with two addresses for each pair of processes that are not to reach each
//! other. Without the feature nothing is ever cut, and no file is read.

#[cfg(feature = "cuts")]
mod active {
    use crate::Node;
    use std::cell::{Cell, RefCell};
    use std::net::Ipv4Addr;
    use std::path::PathBuf;
    use std::time::{Duration, Instant};

    /// The file is read so often at most.
    const LOOK: Duration = Duration::from_millis(25);
    const VARIABLE: &str = "LUPINLEDGE_CUTS_FILE";

    /// The pairs of processes that are cut off from each other.
    pub struct Cuts {
        path: Option<PathBuf>,
        looked: Cell<Option<Instant>>,
        pairs: RefCell<Vec<(Node, Node)>>,
    }

    impl Cuts {
        /// By the file that the environment names.
        pub fn told() -> Cuts {
            let path = std::env::var_os(VARIABLE).map(PathBuf::from);
            Cuts { path, looked: Cell::new(None), pairs: RefCell::default() }
        }

        /// Whether these two may not reach each other now.
        pub fn between(&self, one: Node, other: Node) -> bool {
            let Some(path) = &self.path else { return false };
            if self.looked.get().is_none_or(|at| at.elapsed() > LOOK) {
                self.looked.set(Some(Instant::now()));
                let text = std::fs::read_to_string(path).unwrap_or_default();
                *self.pairs.borrow_mut() = text.lines().filter_map(pair).collect();
            }
            self.pairs.borrow().iter().any(|p| *p == (one, other) || *p == (other, one))
        }

        /// Until they may.
        pub async fn mended(&self, one: Node, other: Node) {
            while self.between(one, other) {
                tokio::time::sleep(LOOK).await;
            }
        }
    }

    fn pair(line: &str) -> Option<(Node, Node)> {
        let (one, other) = line.split_once(' ')?;
        let node = |text: &str| text.trim().parse::<Ipv4Addr>().ok().map(Node::from);
        Some((node(one)?, node(other)?))
    }
}

#[cfg(feature = "cuts")]
pub(crate) use active::Cuts;

/// Nothing is cut.
#[cfg(not(feature = "cuts"))]
pub(crate) struct Cuts;

#[cfg(not(feature = "cuts"))]
impl Cuts {
    /// None.
    pub fn told() -> Cuts {
        Cuts
    }

    /// Whether these two may not reach each other now.
    pub fn between(&self, _: crate::Node, _: crate::Node) -> bool {
        false
    }

    /// Until they may.
    pub async fn mended(&self, _: crate::Node, _: crate::Node) {}
}
