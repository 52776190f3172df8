//! How long work on an object takes, told apart from waiting.

use std::time::Duration;

use crate::samples::Samples;

/// How much longer work on an object takes at a server that has not handled it lately, before any was seen.
const INITIAL_COLD_FACTOR: u32 = 3;

/// Times of work at servers that had a slot free, by whether they had handled the object lately.
#[derive(Debug, Clone)]
pub struct Estimate {
    warm: Samples,
    cold: Samples,
}

impl Estimate {
    /// Nothing was seen; work that goes fast is taken to last `first`.
    pub const fn new(first: Duration) -> Self {
        Self { warm: Samples::new(first), cold: Samples::new(first.saturating_mul(INITIAL_COLD_FACTOR)) }
    }

    /// Takes in the time of an attempt that found a slot free at a server with `pace`.
    pub fn record(&mut self, time: Duration, pace: f64, warm: bool) {
        let normalized = time.div_f64(pace.max(1.0));
        if warm { self.warm.record(normalized) } else { self.cold.record(normalized) }
    }

    /// Usual time on an object that the server handled lately.
    pub fn warm(&self) -> Duration {
        if self.cold.is_empty() { self.warm.median() } else { self.warm.median().min(self.cold.median()) }
    }

    /// Usual time on an object that is new to the server.
    pub fn cold(&self) -> Duration {
        if self.cold.is_empty() { self.warm() * INITIAL_COLD_FACTOR } else { self.cold.median().max(self.warm()) }
    }
}
