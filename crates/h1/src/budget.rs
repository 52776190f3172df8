//! Memory budget for answers that are being read on all connections.
//!
//! Load pattern: many servers send bytes without end at the same time. Each answer stays below the maximum size, but
//! all of them together do not fit into memory. While memory is short, answers that hold more than an equal share of
//! the budget get no more, so that answers of a usual size still complete.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// A memory budget for answers, shared by connections.
#[derive(Debug)]
pub struct Budget {
    /// Bytes for all answers together.
    bytes: usize,
    usage: Mutex<Usage>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    bytes: usize,
    reservations: usize,
}

impl Budget {
    /// Creates a budget of `bytes`.
    pub const fn new(bytes: usize) -> Self {
        Self { bytes, usage: Mutex::new(Usage { bytes: 0, reservations: 0 }) }
    }

    /// Returns the bytes reserved now.
    pub fn reserved(&self) -> usize {
        self.usage().bytes
    }

    /// Creates a reservation for one answer, of zero bytes at first.
    pub fn reserve(&self) -> Reservation<'_> {
        self.usage().reservations += 1;
        Reservation { budget: self, bytes: 0 }
    }

    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The bytes that one answer holds of the budget; they are released when it is dropped.
#[derive(Debug)]
pub struct Reservation<'a> {
    budget: &'a Budget,
    bytes: usize,
}

impl Reservation<'_> {
    /// Reserves `bytes` more; returns whether it did. Within an equal share of the budget this succeeds even if the
    /// budget is used up.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let mut usage = self.budget.usage();
        let over_budget = usage.bytes + bytes > self.budget.bytes;
        let equal_share = self.budget.bytes / usage.reservations.max(1);
        if over_budget && self.bytes + bytes > equal_share {
            return false;
        }
        usage.bytes += bytes;
        self.bytes += bytes;
        true
    }
}

impl Reservation<'_> {
    /// Reserves as many more bytes as are needed to hold `bytes` in all; returns whether it did.
    pub fn hold(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        missing == 0 || self.grow(missing)
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        let mut usage = self.budget.usage();
        usage.bytes -= self.bytes;
        usage.reservations -= 1;
    }
}
