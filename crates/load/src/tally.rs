//! Counts and latencies of a run.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::answer::Ending;

/// Upper bound of the histogram, in microseconds; longer latencies count as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Counts and latencies of one flow.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Number of requests by their last result.
    pub endings: BTreeMap<Ending, u64>,
    /// Number of times that requests were sent again.
    pub resends: u64,
    /// Latencies of complete answers from the planned time of arrival, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        Self::new()
    }
}

impl Tally {
    /// Creates an empty tally.
    pub fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
        Self { endings: BTreeMap::new(), resends: 0, latency }
    }

    /// Records a request with its last result, its latency and how many times it was sent again.
    pub fn record(&mut self, ending: Ending, latency: Duration, resends: u32) {
        *self.endings.entry(ending).or_default() += 1;
        self.resends += u64::from(resends);
        if ending == Ending::Complete {
            self.latency.saturating_record((latency.as_micros() as u64).max(1));
        }
    }

    /// Adds the counts of another tally.
    pub fn add(&mut self, other: &Self) {
        for (ending, count) in &other.endings {
            *self.endings.entry(*ending).or_default() += count;
        }
        self.resends += other.resends;
        self.latency.add(&other.latency).expect("all histograms have the same bounds");
    }

    /// Returns the number of requests with this result.
    pub fn count(&self, ending: Ending) -> u64 {
        self.endings.get(&ending).copied().unwrap_or(0)
    }
}

/// Formats the tallies as a table with a row for each flow.
pub fn table(tallies: &BTreeMap<String, Tally>) -> String {
    let mut text = format!("{:<14}", "flow");
    for ending in Ending::ALL {
        text.push_str(&format!(" {:>9}", ending.as_str()));
    }
    text.push_str(&format!(" {:>8} {:>9} {:>9} {:>9}\n", "resends", "p50 ms", "p99 ms", "p99.9 ms"));
    for (name, tally) in tallies {
        let ms = |quantile: f64| tally.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        let mut row = format!("{name:<14}");
        for ending in Ending::ALL {
            row.push_str(&format!(" {:>9}", tally.count(ending)));
        }
        let written = writeln!(row, " {:>8} {:>9.1} {:>9.1} {:>9.1}", tally.resends, ms(0.5), ms(0.99), ms(0.999));
        debug_assert!(written.is_ok(), "writing to text does not fail");
        text.push_str(&row);
    }
    text
}
