//! A budget that refills at a steady rate.

use crate::time::Time;

/// A token bucket; it never lends.
#[derive(Debug, Clone)]
pub struct Bucket {
    per_second: f64,
    burst: f64,
    level: f64,
    filled: Time,
}

impl Bucket {
    /// A full bucket that refills `per_second` units a second and holds at most `burst` units.
    pub const fn new(per_second: f64, burst: f64, now: Time) -> Self {
        Self { per_second, burst, level: burst, filled: now }
    }

    /// Takes `units` if they are there; says whether it did.
    pub fn take(&mut self, units: f64, now: Time) -> bool {
        self.refill(now);
        if self.level < units {
            return false;
        }
        self.level -= units;
        true
    }

    /// Adds `units` on top of the steady refill, up to the burst.
    pub fn add(&mut self, units: f64) {
        self.level = (self.level + units).min(self.burst);
    }

    /// Charges `units` that are already spent; the level may fall below zero and is paid back by time.
    pub fn charge(&mut self, units: f64, now: Time) {
        self.refill(now);
        self.level -= units;
    }

    /// Units there at `now`.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.level
    }

    /// Changes the rate from `now` on; the burst is one second's worth at least of the old ratio.
    pub fn set_rate(&mut self, per_second: f64, burst: f64, now: Time) {
        self.refill(now);
        self.per_second = per_second;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    fn refill(&mut self, now: Time) {
        let passed = now.since(self.filled).as_secs_f64();
        self.level = (self.level + passed * self.per_second).min(self.burst);
        self.filled = self.filled.max(now);
    }
}
