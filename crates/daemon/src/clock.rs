//! The process's clocks; no other module of the daemon reads them, except for the timestamps of log lines.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::time::Time;
use nix::time::{ClockId, clock_gettime};

/// A monotonic clock that also counts while the machine is suspended, as leases and deadlines go on then.
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
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the time since the clock started, plus one second.
    pub fn now(&self) -> Time {
        // The added second lets times shortly before the start be represented.
        Time::from_micros(since_boot().saturating_sub(self.start).as_micros() as u64 + 1_000_000)
    }

    /// Returns the duration until `time`; zero if it has passed.
    pub fn duration_until(&self, time: Time) -> Duration {
        time.since(self.now())
    }
}

/// Returns the time since the machine started.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("each Linux has this clock").into()
}

/// Returns the milliseconds since the Unix epoch; used for incarnations only.
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
