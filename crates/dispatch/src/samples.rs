//! Running median of durations.

use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of recent durations that are kept.
const MAX_TIMES: usize = 128;
/// Number of new durations after which the median is computed again.
const REFRESH_INTERVAL: usize = 16;

/// Recent durations and their median.
#[derive(Debug, Clone)]
pub struct Samples {
    /// In microseconds, the latest last.
    times: VecDeque<u32>,
    /// Durations recorded since the median was last computed.
    since_refresh: usize,
    median: Duration,
}

impl Samples {
    /// Creates an empty set whose median is `initial` until a duration is recorded.
    pub const fn new(initial: Duration) -> Self {
        Self { times: VecDeque::new(), since_refresh: 0, median: initial }
    }

    /// Records a duration.
    pub fn record(&mut self, time: Duration) {
        if self.times.len() == MAX_TIMES {
            self.times.pop_front();
        }
        self.times.push_back(time.as_micros().min(u128::from(u32::MAX)) as u32);
        self.since_refresh += 1;
        if self.since_refresh >= REFRESH_INTERVAL || self.times.len() < REFRESH_INTERVAL {
            self.since_refresh = 0;
            self.median = self.compute_median();
        }
    }

    /// Drops all durations; the median stays until one is recorded.
    pub fn clear(&mut self) {
        self.times.clear();
        self.since_refresh = 0;
    }

    /// Returns the median of recent durations, which a third of outliers does not move far.
    pub const fn median(&self) -> Duration {
        self.median
    }

    /// Returns whether no duration was recorded yet.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }

    fn compute_median(&self) -> Duration {
        let mut sorted: Vec<u32> = self.times.iter().copied().collect();
        let middle = sorted.len() / 2;
        let (_, median, _) = sorted.select_nth_unstable(middle);
        Duration::from_micros(u64::from(*median).max(1))
    }
}
