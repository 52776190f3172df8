//! Estimates how long work on an object takes, without the time it waits.

use std::time::Duration;

use crate::samples::Samples;

/// Ratio of cold to warm work before any cold work is observed.
const INITIAL_COLD_FACTOR: u32 = 3;

/// Times of work at servers with a free slot: on warm and on cold objects.
#[derive(Debug, Clone)]
pub struct Estimate {
    warm: Samples,
    cold: Samples,
}

impl Estimate {
    /// Creates an estimate without observations; warm work is assumed to take `initial`.
    pub const fn new(initial: Duration) -> Self {
        Self { warm: Samples::new(initial), cold: Samples::new(initial.saturating_mul(INITIAL_COLD_FACTOR)) }
    }

    /// Records the time of an attempt at a server with a free slot and with `pace`.
    pub fn record(&mut self, time: Duration, pace: f64, warm: bool) {
        let normalized = time.div_f64(pace.max(1.0));
        if warm { self.warm.record(normalized) } else { self.cold.record(normalized) }
    }

    /// Returns the usual time of work on a warm object; at most the time on a cold one.
    pub fn warm(&self) -> Duration {
        if self.cold.is_empty() { self.warm.median() } else { self.warm.median().min(self.cold.median()) }
    }

    /// Returns the usual time of work on a cold object; at least the time on a warm one.
    pub fn cold(&self) -> Duration {
        if self.cold.is_empty() { self.warm() * INITIAL_COLD_FACTOR } else { self.cold.median().max(self.warm()) }
    }
}
