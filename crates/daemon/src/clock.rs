//! The process's clocks; the only place of the daemon that reads them.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use base::time::Time;

/// Monotonic time since the process started.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        // One second is added so that times before the start can be told.
        Time::from_micros(self.start.elapsed().as_micros() as u64 + 1_000_000)
    }

    /// Waits until `time` is reached.
    pub fn until(&self, time: Time) -> Duration {
        time.since(self.now())
    }
}

/// Milliseconds of the calendar, for incarnations only.
pub fn calendar_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
