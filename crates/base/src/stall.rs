//! Detects that the process did not run for a while: it was stopped, suspended, or got no processor time.
//!
//! After such a stall, its state is outdated: a server may have left or a lease may have expired without the process
//! having noticed.

use std::time::Duration;

use crate::time::Time;

/// Longest time between two observations that does not count as a stall.
const MAX_GAP: Duration = Duration::from_secs(1);

/// Detects stalls from the time between two observations.
#[derive(Debug, Clone, Copy)]
pub struct Detector {
    last: Time,
}

impl Detector {
    /// Creates a detector whose first observation is at `now`.
    pub const fn new(now: Time) -> Self {
        Self { last: now }
    }

    /// Records that the process runs at `now`; returns how long it was stalled since the last observation, or `None` if
    /// it was not.
    pub fn observe(&mut self, now: Time) -> Option<Duration> {
        let passed = now.since(self.last);
        self.last = self.last.max(now);
        (passed > MAX_GAP).then_some(passed)
    }
}
