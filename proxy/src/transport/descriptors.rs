//! The descriptors that the process may hold, divided by use. Each connection holds a place until it is
//! closed, so that the limit is met by a count here and not by a failing call.

use std::cell::Cell;
use std::rc::Rc;

/// The places of one use.
#[derive(Debug)]
pub struct DescriptorPool {
    free: Cell<usize>,
    all: usize,
}

/// One place, given back when dropped.
#[derive(Debug)]
pub struct DescriptorPermit(Rc<DescriptorPool>);

impl DescriptorPool {
    /// With `all` places, all free.
    pub fn new(all: usize) -> Rc<DescriptorPool> {
        Rc::new(DescriptorPool { free: Cell::new(all), all })
    }
    /// A place, if one is free.
    pub fn try_acquire(self: &Rc<DescriptorPool>) -> Option<DescriptorPermit> {
        let left = self.free.get().checked_sub(1)?;
        self.free.set(left);
        Some(DescriptorPermit(self.clone()))
    }
    /// Whether one is free.
    pub fn has_free(&self) -> bool {
        self.free.get() > 0
    }
    /// Few places are left: what is idle should go.
    pub fn is_low(&self) -> bool {
        self.free.get() * 16 < self.all
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.free.set(self.0.free.get() + 1);
    }
}
