//! Results of a replay.

use std::collections::BTreeMap;

use base::error::{Kind, Outcome as Execution};
use base::time::Time;
use hdrhistogram::Histogram;

/// Upper bound of the histograms, in microseconds; longer times count as this.
const MAX_TIME_US: u64 = 1_000_000_000;

/// Results of the requests of one class.
#[derive(Debug, Clone)]
pub struct Class {
    /// Requests sent by callers.
    pub sent: u64,
    /// Requests with a complete answer.
    pub complete: u64,
    /// Requests with a complete answer within the latency target.
    pub good: u64,
    /// Requests refused with an error that says they were not run.
    pub not_run: u64,
    /// Requests that failed with an error that leaves open whether they were run.
    pub unknown: u64,
    /// Latency of complete answers as seen by the caller, in microseconds.
    pub latency: Histogram<u64>,
    /// Time from the arrival at the entry instance to the start of the work, in microseconds.
    pub wait: Histogram<u64>,
    /// Longest time a request waited at a server while waiting work held a slot there, in microseconds.
    pub behind_bulk_us: u64,
}

impl Default for Class {
    fn default() -> Self {
        Self::new()
    }
}

impl Class {
    /// Creates the results of a class without requests.
    pub fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("the bounds are valid");
        Self {
            sent: 0,
            complete: 0,
            good: 0,
            not_run: 0,
            unknown: 0,
            latency: histogram(),
            wait: histogram(),
            behind_bulk_us: 0,
        }
    }

    /// Records a request that ended with an error.
    pub fn record_error(&mut self, kind: Kind) {
        match kind.answer().outcome {
            Execution::NotRun => self.not_run += 1,
            Execution::Unknown => self.unknown += 1,
        }
    }

    /// Returns the ratio of requests that got a complete answer within the target.
    pub fn good_ratio(&self) -> f64 {
        self.good as f64 / self.sent.max(1) as f64
    }

    /// Returns a quantile of the latency, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Results of a replay.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Results by class name.
    pub classes: BTreeMap<String, Class>,
    /// Attempts sent to servers.
    pub attempts: u64,
    /// Requests that were sent to a server at least once.
    pub attempted: u64,
    /// Requests that are not idempotent and ran more than once.
    pub duplicate_runs: u64,
    /// Crashes of servers caused by a poisonous request.
    pub crashes: u64,
    /// Largest fraction of a link's cap used in any second; above 1 the cap was exceeded.
    pub max_link_usage: f64,
    /// Largest ratio, at any time, of attempts that other regions have open in a region to its slots.
    pub max_foreign_usage: f64,
    /// Smallest fraction of a region's slots that was free, as the average of a second.
    pub min_headroom: f64,
    /// Longest time after its announcement that a leaving server was still sent new work, in milliseconds.
    pub drain_ms: f64,
    /// When the last complete answer reached its caller, in virtual time.
    pub last_answer: Time,
}

impl Outcome {
    /// Returns the extra attempts per request that was sent to a server.
    pub fn extra_attempt_ratio(&self) -> f64 {
        self.attempts as f64 / self.attempted.max(1) as f64 - 1.0
    }
}
