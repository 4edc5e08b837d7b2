//! The descriptors that the process may hold, divided by use. Each connection holds a place until it is
//! closed, so that the limit is met by a count here and not by a failing call.

use std::cell::Cell;
use std::rc::Rc;

/// The places of one use.
#[derive(Debug)]
pub struct Share {
    free: Cell<usize>,
    all: usize,
}

/// One place, given back when dropped.
#[derive(Debug)]
pub struct Place(Rc<Share>);

impl Share {
    /// With `all` places, all free.
    pub fn of(all: usize) -> Rc<Share> {
        Rc::new(Share { free: Cell::new(all), all })
    }
    /// A place, if one is free.
    pub fn take(self: &Rc<Share>) -> Option<Place> {
        let left = self.free.get().checked_sub(1)?;
        self.free.set(left);
        Some(Place(self.clone()))
    }
    /// Whether one is free.
    pub fn any(&self) -> bool {
        self.free.get() > 0
    }
    /// Few places are left: what is idle should go.
    pub fn tight(&self) -> bool {
        self.free.get() * 16 < self.all
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.free.set(self.0.free.get() + 1);
    }
}
