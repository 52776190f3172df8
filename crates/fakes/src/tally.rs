//! Counts the requests that arrive at a server with a rate limit, from daemons that were told of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first answer with a limit from which arrivals are counted.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after a daemon's first answer with a limit from which its requests are counted.
const HEED_TIME: Duration = Duration::from_millis(500);
/// Multiple of the limit that may arrive.
const TOLERANCE: f64 = 1.5;
/// Arrivals in a window beside that.
const SLACK: f64 = 5.0;

/// The window in which most arrived, beside what was allowed.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Peak {
    /// Requests that arrived.
    pub arrived: usize,
    /// Requests that the limit allowed; the highest limit that was stated in the window counts.
    pub allowed: f64,
}

impl Peak {
    /// Returns what arrived as a fraction of what was allowed.
    pub fn used(&self) -> f64 {
        if self.allowed > 0.0 { self.arrived as f64 / self.allowed } else { 0.0 }
    }

    /// Whether more arrived than was allowed.
    pub fn exceeded(&self) -> bool {
        self.arrived as f64 > self.allowed
    }
}

/// Arrivals at one server while it states a limit.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// When the server first stated its limit; `None` while it states none.
    stated_at: Option<Instant>,
    /// When each daemon got its first answer with a limit.
    told_at: BTreeMap<String, Instant>,
    /// Counted arrivals within the last window, each with the limit then stated.
    arrivals: Vec<(Instant, f64)>,
    peak: Option<Peak>,
}

impl Tally {
    /// Records that a request of `daemon` arrived while the server states `limit`; `None` if it states none.
    pub fn record_arrival(&mut self, daemon: &str, limit: Option<f64>, now: Instant) {
        let Some(limit) = limit else {
            *self = Self { peak: self.peak, ..Self::default() };
            return;
        };
        let is_told = self.told_at.get(daemon).is_some_and(|at| now - *at >= HEED_TIME);
        if !is_told {
            return;
        }
        self.arrivals.retain(|(at, _)| now - *at < WINDOW);
        self.arrivals.push((now, limit));
        let highest = self.arrivals.iter().map(|(_, limit)| *limit).fold(0.0, f64::max);
        let allowed = TOLERANCE * highest * WINDOW.as_secs_f64() + SLACK;
        let settled = self.stated_at.is_some_and(|at| now - at >= SETTLE_TIME);
        let peak = Peak { arrived: self.arrivals.len(), allowed };
        if settled && self.peak.is_none_or(|known| peak.used() > known.used()) {
            self.peak = Some(peak);
        }
    }

    /// Records that `daemon` gets an answer that states a limit.
    pub fn record_answer(&mut self, daemon: &str, now: Instant) {
        self.stated_at.get_or_insert(now);
        self.told_at.entry(daemon.to_owned()).or_insert(now);
    }

    /// Returns the window that came closest to what was allowed, or exceeded it most.
    pub fn peak(&self) -> Peak {
        self.peak.unwrap_or_default()
    }
}
