//! The median of recent times.

use std::collections::VecDeque;
use std::time::Duration;

/// Times kept.
const MAX_TIMES: usize = 128;
/// Times between two computations of the median.
const REFRESH_INTERVAL: usize = 16;

/// Recent times and their median.
#[derive(Debug, Clone)]
pub struct Samples {
    times: VecDeque<u32>,
    since_refresh: usize,
    median: Duration,
}

impl Samples {
    /// No times; the median is taken to be `first` until there are some.
    pub const fn new(first: Duration) -> Self {
        Self { times: VecDeque::new(), since_refresh: 0, median: first }
    }

    /// Takes in a time.
    pub fn record(&mut self, time: Duration) {
        if self.times.len() == MAX_TIMES {
            self.times.pop_front();
        }
        self.times.push_back(time.as_micros().min(u128::from(u32::MAX)) as u32);
        self.since_refresh += 1;
        if self.since_refresh >= REFRESH_INTERVAL || self.times.len() < REFRESH_INTERVAL {
            self.since_refresh = 0;
            self.median = self.compute();
        }
    }

    /// The median of recent times; a third of outliers does not move it far.
    pub const fn median(&self) -> Duration {
        self.median
    }

    /// Whether no time was seen yet.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }

    fn compute(&self) -> Duration {
        let mut sorted: Vec<u32> = self.times.iter().copied().collect();
        let middle = sorted.len() / 2;
        let (_, median, _) = sorted.select_nth_unstable(middle);
        Duration::from_micros(u64::from(*median).max(1))
    }
}
