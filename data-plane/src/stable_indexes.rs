//! Indexes of names in the terms of the decision module, which stay the same through changes of the configuration.

use std::collections::{HashMap, HashSet};

/// Assigns an index to each name. The index of a name that is no longer used may be assigned to another name
/// after two further changes, but not before all requests that refer to it are over.
#[derive(Debug, Default)]
pub struct StableIndexes {
    /// Each name's index and the generation that used it last.
    by_name: HashMap<String, (usize, u64)>,
    /// Indexes that may be assigned again.
    free: Vec<usize>,
    /// The number of calls of [`StableIndexes::assign_indexes`].
    generation: u64,
    /// The number of indexes in existence.
    next_index: usize,
}

impl StableIndexes {
    /// The index of a name, if it has one.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).map(|p| p.0)
    }

    /// Assigns indexes to all of these names and returns the number of indexes in existence. `in_use`: the
    /// indexes that open requests refer to; they stay with their names.
    pub fn assign_indexes<'a>(
        &mut self,
        names: impl Iterator<Item = &'a str>,
        in_use: &HashSet<usize>,
    ) -> usize {
        self.generation += 1;
        for name in names {
            if let Some(p) = self.by_name.get_mut(name) {
                p.1 = self.generation;
                continue;
            }
            let index = self.free.pop().unwrap_or_else(|| {
                self.next_index += 1;
                self.next_index - 1
            });
            self.by_name.insert(name.to_string(), (index, self.generation));
        }
        let (generation, free) = (self.generation, &mut self.free);
        self.by_name.retain(|_, p| {
            let stays = p.1 + 2 > generation || in_use.contains(&p.0);
            free.extend(Some(p.0).filter(|_| !stays));
            stays
        });
        self.next_index
    }
}

#[cfg(test)]
mod tests;
