//! The process's clocks; no other module of the daemon reads them, except for the timestamps of log lines.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::time::Time;
use nix::time::{ClockId, clock_gettime};

/// Time on the clock when it starts. Other daemons state ages that are longer than this process has run: with less, such an age would
/// count as that of this process.
const START: Duration = Duration::from_hours(24);

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

    /// Returns the time since the clock started, plus a day.
    pub fn now(&self) -> Time {
        Time::ZERO + START + since_boot().saturating_sub(self.start)
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
