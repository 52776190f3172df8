//! Memory for answers that are being read, over all connections.
//!
//! Load pattern: many servers send bytes without end, at once. Each of them alone keeps below the largest answer that
//! is allowed, all of them together would not. While room is short, those that hold more than an even part of it get no
//! more, so that answers of a usual size still come through.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Room for answers, shared by connections.
#[derive(Debug)]
pub struct Room {
    /// Bytes for all answers together.
    bytes: usize,
    used: Mutex<Used>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Used {
    bytes: usize,
    holders: usize,
}

impl Room {
    /// Room for `bytes`.
    pub const fn new(bytes: usize) -> Self {
        Self { bytes, used: Mutex::new(Used { bytes: 0, holders: 0 }) }
    }

    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.used().bytes
    }

    /// A part of the room for one answer, empty at first.
    pub fn part(&self) -> Part<'_> {
        self.used().holders += 1;
        Part { room: self, bytes: 0 }
    }

    fn used(&self) -> MutexGuard<'_, Used> {
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What one answer holds of the room; it is given back when dropped.
#[derive(Debug)]
pub struct Part<'a> {
    room: &'a Room,
    bytes: usize,
}

impl Part<'_> {
    /// Takes `bytes` more; says whether they may be held.
    pub fn take(&mut self, bytes: usize) -> bool {
        let mut used = self.room.used();
        let short = used.bytes + bytes > self.room.bytes;
        let even = self.room.bytes / used.holders.max(1);
        if short && self.bytes + bytes > even {
            return false;
        }
        used.bytes += bytes;
        self.bytes += bytes;
        true
    }
}

impl Drop for Part<'_> {
    fn drop(&mut self) {
        let mut used = self.room.used();
        used.bytes -= self.bytes;
        used.holders -= 1;
    }
}
