//! Limits the rate of log lines.

use std::time::Duration;

use base::rate::Bucket;
use base::time::Time;

/// After lines were left out, none passes until the budget of this time is saved up. Lines then pass in runs, and only the
/// first of each run carries the number of those left out.
const RESUME_AFTER: Duration = Duration::from_millis(100);

/// A budget of lines a second, which counts the lines left out since the last one that passed.
#[derive(Debug, Clone)]
pub struct Budget {
    bucket: Bucket,
    /// Budget, in lines, that must be saved up before lines pass again.
    resume_level: f64,
    left_out: u64,
}

impl Budget {
    /// Creates a budget of `per_second` lines a second, with a burst of twice that.
    pub fn new(per_second: u32, now: Time) -> Self {
        let rate = f64::from(per_second);
        let resume_level = (rate * RESUME_AFTER.as_secs_f64()).max(1.0);
        Self { bucket: Bucket::new(rate, 2.0 * rate, now), resume_level, left_out: 0 }
    }

    /// Returns the number of lines left out before this one if it may pass, and `None` if it is left out too.
    pub fn pass(&mut self, now: Time) -> Option<u64> {
        let enough = self.left_out == 0 || self.bucket.level(now) >= self.resume_level;
        if enough && self.bucket.take(1.0, now) {
            return Some(std::mem::take(&mut self.left_out));
        }
        self.left_out += 1;
        None
    }

    /// Counts `lines` that passed, or were reported by one that passed, but could not be written.
    pub const fn record_lost(&mut self, lines: u64) {
        self.left_out += lines;
    }
}
