//! Good and bad answers of one class over time, in fixed memory.

use base::time::Time;
use serde::{Deserialize, Serialize};

/// Length of a fine bucket, in seconds.
pub const FINE_S: u64 = 60;
/// Fine buckets kept: six hours.
pub const FINE_BUCKETS: usize = 360;
/// Length of a coarse bucket, in seconds.
pub const COARSE_S: u64 = 1_800;
/// Coarse buckets kept: three days.
pub const COARSE_BUCKETS: usize = 144;

/// Answers counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Count {
    /// Answers within the target.
    pub good: u64,
    /// All answers.
    pub total: u64,
}

impl Count {
    /// Adds another count.
    pub const fn add(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
    }

    /// Part of the answers that were bad; zero without answers.
    pub fn bad_ratio(self) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        (self.total - self.good) as f64 / self.total as f64
    }
}

#[derive(Debug, Clone)]
struct Ring {
    seconds: u64,
    counts: Vec<Count>,
    newest: u64,
}

impl Ring {
    fn new(seconds: u64, length: usize) -> Self {
        Self { seconds, counts: vec![Count::default(); length], newest: 0 }
    }

    /// Empties the buckets that time has passed over.
    fn advance(&mut self, now: Time) -> usize {
        let bucket = now.as_millis() / 1_000 / self.seconds;
        let length = self.counts.len() as u64;
        let passed = bucket.saturating_sub(self.newest).min(length);
        for step in 0..passed {
            self.counts[((bucket - step) % length) as usize] = Count::default();
        }
        self.newest = self.newest.max(bucket);
        (self.newest % length) as usize
    }

    fn record(&mut self, good: bool, now: Time) {
        let index = self.advance(now);
        self.counts[index].add(Count { good: u64::from(good), total: 1 });
    }

    /// The newest `buckets` buckets, newest first.
    fn last(&mut self, buckets: usize, now: Time) -> Vec<Count> {
        let index = self.advance(now);
        let length = self.counts.len();
        (0..buckets.min(length)).map(|step| self.counts[(index + length - step) % length]).collect()
    }
}

/// Answers of one class.
#[derive(Debug, Clone)]
pub struct Series {
    fine: Ring,
    coarse: Ring,
}

impl Default for Series {
    fn default() -> Self {
        Self::new()
    }
}

impl Series {
    /// No answers yet.
    pub fn new() -> Self {
        Self { fine: Ring::new(FINE_S, FINE_BUCKETS), coarse: Ring::new(COARSE_S, COARSE_BUCKETS) }
    }

    /// Counts one answer.
    pub fn record(&mut self, good: bool, now: Time) {
        self.fine.record(good, now);
        self.coarse.record(good, now);
    }

    /// Answers of the last `seconds` seconds, to the nearest bucket.
    pub fn window(&mut self, seconds: u64, now: Time) -> Count {
        let fine = seconds <= FINE_S * FINE_BUCKETS as u64;
        let (ring, length) = if fine { (&mut self.fine, FINE_S) } else { (&mut self.coarse, COARSE_S) };
        let counts = ring.last(seconds.div_ceil(length) as usize, now);
        let mut sum = Count::default();
        for count in counts {
            sum.add(count);
        }
        sum
    }

    /// Answers of the last hour by minute, newest first.
    pub fn minutes(&mut self, now: Time) -> Vec<Count> {
        self.fine.last(60, now)
    }
}
