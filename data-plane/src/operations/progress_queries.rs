//! Queries to other processes about the progress of an operation, and the answers to them.

use lupinledge_messaging::Node;
use lupinledge_operations::message::Progress;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// The queries that are waiting for answers.
pub struct ProgressQueries {
    next_tag: Cell<u64>,
    open_queries: RefCell<HashMap<u64, OpenQuery>>,
}

/// The sending side of an open query.
struct OpenQuery {
    /// Nodes that were asked and have not answered.
    asked: Vec<Node>,
    answers: Sender<Progress>,
}

/// One query. Dropping it discards later answers.
pub struct ProgressQuery<'a> {
    queries: &'a ProgressQueries,
    /// The tag that answers carry.
    pub tag: u64,
    answers: Receiver<Progress>,
}

impl ProgressQueries {
    /// Creates an empty set of queries. Each start of the process needs a different `start` number, from
    /// which its tags are derived.
    pub fn new(start: u32) -> ProgressQueries {
        ProgressQueries { next_tag: Cell::new(u64::from(start) << 32), open_queries: RefCell::default() }
    }

    /// Opens a query to these nodes.
    pub fn open(&self, asked: &[Node]) -> ProgressQuery<'_> {
        let tag = self.next_tag.get();
        self.next_tag.set(tag.wrapping_add(1));
        let (sender, answers) = channel(asked.len().max(1));
        self.open_queries.borrow_mut().insert(tag, OpenQuery { asked: asked.to_vec(), answers: sender });
        ProgressQuery { queries: self, tag, answers }
    }

    /// Records the answer of one of the nodes that were asked.
    pub fn on_answer(&self, from: Node, tag: u64, progress: Progress) {
        let mut open_queries = self.open_queries.borrow_mut();
        let Some(query) = open_queries.get_mut(&tag) else { return };
        let Some(at) = query.asked.iter().position(|node| *node == from) else { return };
        query.asked.swap_remove(at);
        // the channel has room for one answer from each node
        let _ = query.answers.try_send(progress);
        if query.asked.is_empty() {
            open_queries.remove(&tag);
        }
    }
}

impl ProgressQuery<'_> {
    /// Waits for the first answer other than [`Progress::Unknown`]; returns `Unknown` once all nodes have
    /// given that answer.
    pub async fn answer(&mut self) -> Progress {
        while let Some(progress) = self.answers.recv().await {
            if progress != Progress::Unknown {
                return progress;
            }
        }
        Progress::Unknown
    }
}

impl Drop for ProgressQuery<'_> {
    fn drop(&mut self) {
        self.queries.open_queries.borrow_mut().remove(&self.tag);
    }
}

#[cfg(test)]
mod tests;
