//! Trials of an estimate that keeps requests from servers.
//!
//! Load pattern: the servers of a class are slow for some seconds, and then its requests have less time than work took. They are
//! refused at once, since none can finish, and without them no answer tells that the servers have recovered. So now and then
//! one of these requests is sent in spite of the estimate.

use std::time::Duration;

use base::time::Time;

/// Shortest time from a trial, or from an answer that agrees with the estimate, to the next trial of the class.
const INTERVAL: Duration = Duration::from_secs(2);

/// The trials of one class; one runs at a time.
#[derive(Debug, Clone, Default)]
pub struct Trials {
    /// The attempt that is the latest trial.
    latest: Option<u64>,
    /// When the next one may start.
    next_at: Time,
}

impl Trials {
    /// Whether a trial may start now.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.next_at
    }

    /// Records that `attempt` starts as a trial, which ends at its `deadline` at the latest.
    pub fn start(&mut self, attempt: u64, deadline: Time, now: Time) {
        self.latest = Some(attempt);
        self.next_at = deadline.max(now + INTERVAL);
    }

    /// Records an answer that agrees with the estimate: no trial is needed for some time.
    pub fn record_agreement(&mut self, now: Time) {
        self.next_at = self.next_at.max(now + INTERVAL);
    }

    /// Whether `attempt` is the latest trial.
    pub fn includes(&self, attempt: u64) -> bool {
        self.latest == Some(attempt)
    }
}
