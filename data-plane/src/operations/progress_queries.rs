//! Questions to other processes how far an operation is, and the answers to them.

use lupinledge_messaging::Node;
use lupinledge_operations::message::Progress;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// Questions that wait for answers.
pub struct ProgressQueries {
    next_tag: Cell<u64>,
    open: RefCell<HashMap<u64, Open>>,
}

struct Open {
    /// Who was asked and has not answered.
    asked: Vec<Node>,
    answers: Sender<Progress>,
}

/// One question; dropped, it is forgotten.
pub struct ProgressQuery<'a> {
    asks: &'a ProgressQueries,
    pub tag: u64,
    answers: Receiver<Progress>,
}

impl ProgressQueries {
    /// Another start of the process has other tags.
    pub fn new(start: u32) -> ProgressQueries {
        ProgressQueries { next_tag: Cell::new(u64::from(start) << 32), open: RefCell::default() }
    }

    /// Opens a question to these nodes.
    pub fn open(&self, asked: &[Node]) -> ProgressQuery<'_> {
        let tag = self.next_tag.get();
        self.next_tag.set(tag.wrapping_add(1));
        let (to, answers) = channel(asked.len().max(1));
        self.open.borrow_mut().insert(tag, Open { asked: asked.to_vec(), answers: to });
        ProgressQuery { asks: self, tag, answers }
    }

    /// One of those that were asked has answered.
    pub fn told(&self, from: Node, tag: u64, progress: Progress) {
        let mut open = self.open.borrow_mut();
        let Some(question) = open.get_mut(&tag) else { return };
        let Some(at) = question.asked.iter().position(|node| *node == from) else { return };
        question.asked.swap_remove(at);
        // there is room for one answer each
        let _ = question.answers.try_send(progress);
        if question.asked.is_empty() {
            open.remove(&tag);
        }
    }
}

impl ProgressQuery<'_> {
    /// The first answer that says anything; [`Progress::Unknown`] once all that were asked say so.
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
        self.asks.open.borrow_mut().remove(&self.tag);
    }
}

#[cfg(test)]
mod tests;
