//! The process's clocks; the only place of the daemon that reads them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::time::Time;
use nix::time::{ClockId, clock_gettime};

/// Time since the process started, counted also while the machine was suspended: leases and deadlines go on then.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self { start: since_boot() }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        // One second is added so that times before the start can be told.
        Time::from_micros(since_boot().saturating_sub(self.start).as_micros() as u64 + 1_000_000)
    }

    /// Waits until `time` is reached.
    pub fn duration_until(&self, time: Time) -> Duration {
        time.since(self.now())
    }
}

/// Time since the machine started.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("each Linux has this clock").into()
}

/// Milliseconds of the calendar, for incarnations only.
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
