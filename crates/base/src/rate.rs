//! Rate limiting.

use crate::time::Time;

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
