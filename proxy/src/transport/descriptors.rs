//! Limits on the file descriptors of the process, divided by use. Each connection holds a permit until it is closed,
//! so that the limit is enforced by counting here and not by a failing system call.

use std::cell::Cell;
use std::rc::Rc;

/// The descriptors for one use.
#[derive(Debug)]
pub struct DescriptorPool {
    free: Cell<usize>,
    total: usize,
}

/// Permission to hold one descriptor; returned to the pool when dropped.
#[derive(Debug)]
pub struct DescriptorPermit(Rc<DescriptorPool>);

impl DescriptorPool {
    /// Creates a pool of `total` descriptors, all free.
    pub fn new(total: usize) -> Rc<DescriptorPool> {
        Rc::new(DescriptorPool { free: Cell::new(total), total })
    }
    /// Takes a permit if a descriptor is free.
    pub fn try_acquire(self: &Rc<DescriptorPool>) -> Option<DescriptorPermit> {
        let free = self.free.get().checked_sub(1)?;
        self.free.set(free);
        Some(DescriptorPermit(self.clone()))
    }
    /// Whether a descriptor is free.
    pub fn has_free(&self) -> bool {
        self.free.get() > 0
    }
    /// Whether few descriptors are left, so that idle connections should be closed.
    pub fn is_low(&self) -> bool {
        self.free.get() * 16 < self.total
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.free.set(self.0.free.get() + 1);
    }
}
