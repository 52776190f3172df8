//! How many lines may be written.

use std::time::Duration;

use base::rate::Bucket;
use base::time::Time;

/// Time's worth of lines that is saved up after some were left out: the lines that pass then stand together, and few of
/// them say how many are missing.
const SAVED: Duration = Duration::from_millis(100);

/// Lines a second, with those left out since the last that passed.
#[derive(Debug, Clone)]
pub struct Budget {
    bucket: Bucket,
    /// Lines that are saved up after some were left out.
    saved: f64,
    left_out: u64,
}

impl Budget {
    /// A budget of `per_second` lines a second; twice that at once.
    pub fn new(per_second: u32, now: Time) -> Self {
        let rate = f64::from(per_second);
        let saved = (rate * SAVED.as_secs_f64()).max(1.0);
        Self { bucket: Bucket::new(rate, 2.0 * rate, now), saved, left_out: 0 }
    }

    /// Whether a line may pass; if so, how many were left out before it.
    pub fn pass(&mut self, now: Time) -> Option<u64> {
        let enough = self.left_out == 0 || self.bucket.level(now) >= self.saved;
        if enough && self.bucket.take(1.0, now) {
            return Some(std::mem::take(&mut self.left_out));
        }
        self.left_out += 1;
        None
    }

    /// A line that passed could not be written after all.
    pub const fn record_lost(&mut self, lines: u64) {
        self.left_out += lines;
    }
}
