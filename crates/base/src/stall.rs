//! Notices that the process stood still: stopped, suspended, or without a processor.
//!
//! What it believes was true before; a server may have left or a permission run out meanwhile without its hearing of it.

use std::time::Duration;

use crate::time::Time;

/// Time between two signs of life that is no stall.
const MAX_GAP: Duration = Duration::from_secs(1);

/// The last sign of life.
#[derive(Debug, Clone, Copy)]
pub struct Detector {
    seen: Time,
}

impl Detector {
    /// A process that lives at `now`.
    pub const fn new(now: Time) -> Self {
        Self { seen: now }
    }

    /// A sign of life at `now`; gives how long the process stood still before it, if it did.
    pub fn observe(&mut self, now: Time) -> Option<Duration> {
        let passed = now.since(self.seen);
        self.seen = self.seen.max(now);
        (passed > MAX_GAP).then_some(passed)
    }
}
