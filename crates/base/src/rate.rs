//! Rate limiting.

use std::time::Duration;

use crate::time::Time;

/// Time after which a limit that no answer has confirmed no longer applies.
const LIMIT_MAX_AGE: Duration = Duration::from_mins(3);

/// The rate of requests that a backend server takes from all daemons together, as last observed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second; `None` if the server takes them without a limit.
    pub per_second: Option<f64>,
    /// When the answer arrived that stated it, at this daemon or at the peer that passed it on.
    pub observed_at: Time,
}

impl Limit {
    /// Returns when the limit no longer applies, unless a later answer confirms it.
    pub fn ends_at(&self) -> Time {
        if self.per_second.is_some() { self.observed_at + LIMIT_MAX_AGE } else { self.observed_at }
    }
}

/// A token bucket.
#[derive(Debug, Clone)]
pub struct Bucket {
    per_second: f64,
    burst: f64,
    level: f64,
    last_refill: Time,
}

impl Bucket {
    /// Creates a full bucket that refills at `per_second` units per second and holds at most `burst` units.
    pub const fn new(per_second: f64, burst: f64, now: Time) -> Self {
        Self { per_second, burst, level: burst, last_refill: now }
    }

    /// Takes `units` if that many are available; returns whether it did. It never takes the level below zero.
    pub fn take(&mut self, units: f64, now: Time) -> bool {
        self.refill(now);
        if self.level < units {
            return false;
        }
        self.level -= units;
        true
    }

    /// Adds `units` in addition to the refill, up to the burst.
    pub fn add(&mut self, units: f64) {
        self.level = (self.level + units).min(self.burst);
    }

    /// Takes `units` that are already spent: the level may fall below zero, and the refill makes up for it.
    pub fn charge(&mut self, units: f64, now: Time) {
        self.refill(now);
        self.level -= units;
    }

    /// Returns the units available at `now`; negative while charged units are not refilled.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.level
    }

    /// Changes the rate and the burst from `now` on; a level above the new burst is reduced to it.
    pub fn set_rate(&mut self, per_second: f64, burst: f64, now: Time) {
        self.refill(now);
        self.per_second = per_second;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    fn refill(&mut self, now: Time) {
        let passed = now.since(self.last_refill).as_secs_f64();
        self.level = (self.level + passed * self.per_second).min(self.burst);
        self.last_refill = self.last_refill.max(now);
    }
}
