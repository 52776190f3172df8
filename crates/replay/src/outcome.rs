//! What a replay came to.

use std::collections::BTreeMap;

use base::error::{Kind, Outcome as Truth};
use base::time::Time;
use hdrhistogram::Histogram;

/// Longest latency told apart, in microseconds.
const LONGEST_US: u64 = 1_000_000_000;

/// What became of a class's requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// Requests.
    pub sent: u64,
    /// Whole answers.
    pub complete: u64,
    /// Whole answers within the target.
    pub good: u64,
    /// Refusals that say "not run".
    pub not_run: u64,
    /// Errors that leave the outcome open.
    pub unknown: u64,
    /// Latency at the caller, in microseconds.
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
    /// Nothing sent.
    pub fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are constant");
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

    /// Notes an error.
    pub fn refused(&mut self, kind: Kind) {
        match kind.answer().outcome {
            Truth::NotRun => self.not_run += 1,
            Truth::Unknown => self.unknown += 1,
        }
    }

    /// Part of the requests that got a whole answer within the target.
    pub fn good_share(&self) -> f64 {
        self.good as f64 / self.sent.max(1) as f64
    }

    /// A quantile of the latency, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// What a replay came to.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// By class.
    pub classes: BTreeMap<String, Class>,
    /// Attempts at servers.
    pub attempts: u64,
    /// Requests that were sent to a server at least once.
    pub tried: u64,
    /// Requests that must run once and ran twice.
    pub twice: u64,
    /// Servers stopped by a poisonous request.
    pub crashed: u64,
    /// Largest part of a link's cap used in any second.
    pub link: f64,
    /// Largest part of a region's slots taken by other regions' requests at any time.
    pub foreign: f64,
    /// Smallest part of a region's slots free, as the average of a second.
    pub headroom: f64,
    /// Longest time after the announcement at which a leaving server still got new work, in milliseconds.
    pub drain_ms: f64,
    /// When the last waiting work was finished.
    pub last: Time,
}

impl Outcome {
    /// Extra attempts for each request that was tried.
    pub fn extra(&self) -> f64 {
        self.attempts as f64 / self.tried.max(1) as f64 - 1.0
    }
}
