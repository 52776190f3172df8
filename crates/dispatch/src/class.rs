//! A class of work and what has been seen of it.

use std::collections::VecDeque;
use std::time::Duration;

use base::time::Time;

/// Latencies kept for the typical one.
const SAMPLES: usize = 128;
/// Samples between two computations of the typical latency.
const REFRESH: usize = 16;
/// Typical latency before anything was seen.
const FIRST_TYPICAL: Duration = Duration::from_millis(50);
/// Answer size before anything was seen, in bytes.
const FIRST_SIZE: f64 = 65_536.0;
/// Part by which the largest answer size fades with each answer.
const SIZE_FADE: f64 = 0.995;
/// An attempt that takes this many times the typical latency is late.
const LATE: u32 = 4;
/// The same for an attempt at a server that must prove itself.
const LATE_ON_TRIAL: u32 = 2;

/// What operators declare of a class, as far as dispatch needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spec {
    /// Service, by position in the list of services.
    pub service: u16,
    /// Whether running the work twice is harmless.
    pub idempotent: bool,
    /// Rank in the order of loss: 0 is kept longest.
    pub rank: u8,
    /// Time after which an answer is of no use.
    pub deadline: Duration,
    /// Whether the work may wait but must finish.
    pub may_wait: bool,
}

/// A class with its queue and its recent latencies.
#[derive(Debug, Clone)]
pub struct Class {
    /// What operators declare.
    pub spec: Spec,
    /// Requests that wait, by number, next one first.
    pub queue: VecDeque<u64>,
    /// Attempts in flight.
    pub in_flight: u32,
    latencies: VecDeque<u32>,
    fresh: usize,
    typical: Duration,
    size: f64,
}

impl Class {
    /// A class that nothing is known of.
    pub const fn new(spec: Spec) -> Self {
        Self {
            spec,
            queue: VecDeque::new(),
            in_flight: 0,
            latencies: VecDeque::new(),
            fresh: 0,
            typical: FIRST_TYPICAL,
            size: FIRST_SIZE,
        }
    }

    /// Takes in the latency and the answer size of one answered attempt.
    pub fn note(&mut self, latency: Duration, bytes: u64) {
        self.size = (self.size * SIZE_FADE).max(bytes as f64);
        if self.latencies.len() == SAMPLES {
            self.latencies.pop_front();
        }
        self.latencies.push_back(latency.as_micros().min(u128::from(u32::MAX)) as u32);
        self.fresh += 1;
        if self.fresh >= REFRESH || self.latencies.len() < REFRESH {
            self.fresh = 0;
            self.typical = self.median();
        }
    }

    /// The median of recent latencies; a third of slow servers does not move it far.
    pub const fn typical(&self) -> Duration {
        self.typical
    }

    /// Age from which an attempt is late; sooner at a server on `trial`.
    pub fn late_after(&self, trial: bool) -> Duration {
        self.typical * if trial { LATE_ON_TRIAL } else { LATE }
    }

    /// A size that answers seldom pass, in bytes.
    pub const fn size(&self) -> f64 {
        self.size
    }

    /// Whether a request that arrived at `arrived` has waited so long that it goes first.
    pub fn aged(&self, arrived: Time, now: Time) -> bool {
        self.spec.may_wait && now.since(arrived) > self.spec.deadline / 4
    }

    fn median(&self) -> Duration {
        let mut sorted: Vec<u32> = self.latencies.iter().copied().collect();
        let middle = sorted.len() / 2;
        let (_, median, _) = sorted.select_nth_unstable(middle);
        Duration::from_micros(u64::from(*median).max(1))
    }
}
