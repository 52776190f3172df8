//! Memory for answers that are being read, over all connections.
//!
//! Load pattern: many servers send bytes without end, at once. Each of them alone keeps below the largest answer that
//! is allowed, all of them together would not. While budget is short, those that hold more than an even part of it get no
//! more, so that answers of a usual size still come through.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Budget for answers, shared by connections.
#[derive(Debug)]
pub struct Budget {
    /// Bytes for all answers together.
    bytes: usize,
    used: Mutex<Used>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Used {
    bytes: usize,
    holders: usize,
}

impl Budget {
    /// Budget for `bytes`.
    pub const fn new(bytes: usize) -> Self {
        Self { bytes, used: Mutex::new(Used { bytes: 0, holders: 0 }) }
    }

    /// Bytes held now.
    pub fn reserved(&self) -> usize {
        self.used().bytes
    }

    /// A part of the budget for one answer, empty at first.
    pub fn reserve(&self) -> Reservation<'_> {
        self.used().holders += 1;
        Reservation { budget: self, bytes: 0 }
    }

    fn used(&self) -> MutexGuard<'_, Used> {
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What one answer holds of the budget; it is given back when dropped.
#[derive(Debug)]
pub struct Reservation<'a> {
    budget: &'a Budget,
    bytes: usize,
}

impl Reservation<'_> {
    /// Takes `bytes` more; says whether they may be held.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let mut used = self.budget.used();
        let short = used.bytes + bytes > self.budget.bytes;
        let even = self.budget.bytes / used.holders.max(1);
        if short && self.bytes + bytes > even {
            return false;
        }
        used.bytes += bytes;
        self.bytes += bytes;
        true
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        let mut used = self.budget.used();
        used.bytes -= self.bytes;
        used.holders -= 1;
    }
}
