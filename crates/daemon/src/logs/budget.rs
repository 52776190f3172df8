//! How many lines may be written.

use base::rate::Bucket;
use base::time::Time;

/// Lines a second, with those left out since the last that passed.
#[derive(Debug, Clone)]
pub struct Budget {
    bucket: Bucket,
    left_out: u64,
}

impl Budget {
    /// A budget of `per_second` lines a second; twice that at once.
    pub const fn new(per_second: u32, now: Time) -> Self {
        let rate = per_second as f64;
        Self { bucket: Bucket::new(rate, 2.0 * rate, now), left_out: 0 }
    }

    /// Whether a line may pass; if so, how many were left out before it.
    pub fn pass(&mut self, now: Time) -> Option<u64> {
        if self.bucket.take(1.0, now) {
            return Some(std::mem::take(&mut self.left_out));
        }
        self.left_out += 1;
        None
    }

    /// A line that passed could not be written after all.
    pub const fn note_lost(&mut self, lines: u64) {
        self.left_out += lines;
    }
}
