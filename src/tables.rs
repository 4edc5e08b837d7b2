//! Plain state containers: an id table for dense indices, and a slab of live reqs.

use std::collections::HashMap;

/// Ids from outside to small dense indices, in order of first sight.
#[derive(Debug, Default)]
pub struct Door {
    ix: HashMap<u64, usize>,
    ids: Vec<u64>,
}

impl Door {
    /// The index of an id, and whether it is new.
    pub fn enter(&mut self, id: u64) -> (usize, bool) {
        if let Some(&i) = self.ix.get(&id) {
            return (i, false);
        }
        self.ix.insert(id, self.ids.len());
        self.ids.push(id);
        (self.ids.len() - 1, true)
    }
    pub fn id(&self, i: usize) -> u64 {
        self.ids[i]
    }
}

/// Values by id, with slots used again.
#[derive(Debug)]
pub struct Slab<T> {
    ix: HashMap<u64, usize>,
    slots: Vec<Option<T>>,
    free: Vec<usize>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab { ix: HashMap::new(), slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    pub fn put(&mut self, id: u64, v: T) -> usize {
        let i = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[i] = Some(v);
        self.ix.insert(id, i);
        i
    }
    pub fn find(&self, id: u64) -> Option<usize> {
        self.ix.get(&id).copied()
    }
    /// Every slot's number, used or not.
    pub fn slots(&self) -> std::ops::Range<usize> {
        0..self.slots.len()
    }
    pub fn at(&self, i: usize) -> Option<&T> {
        self.slots.get(i).and_then(Option::as_ref)
    }
    pub fn at_mut(&mut self, i: usize) -> Option<&mut T> {
        self.slots.get_mut(i).and_then(Option::as_mut)
    }
    pub fn drop(&mut self, id: u64) {
        if let Some(i) = self.ix.remove(&id) {
            self.slots[i] = None;
            self.free.push(i);
        }
    }
}
