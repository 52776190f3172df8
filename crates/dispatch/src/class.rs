//! A class of work and what has been seen of it.

use std::collections::VecDeque;
use std::time::Duration;

use base::time::Time;

use crate::samples::Samples;
use crate::split::{Share, Split};
use crate::work_time::Estimate;

/// Typical latency before anything was seen.
const INITIAL_LATENCY: Duration = Duration::from_millis(50);
/// Answer size before anything was seen, in bytes.
const INITIAL_ANSWER_SIZE: f64 = 65_536.0;
/// Part by which the largest answer size fades with each answer.
const ANSWER_SIZE_DECAY: f64 = 0.995;
/// An attempt that takes this many times the typical latency is late.
const LATE_FACTOR: u32 = 4;
/// The same for an attempt at a server that must prove itself.
const PROBATION_LATE_FACTOR: u32 = 2;
/// Work on an object that its server handled lately, before any was seen, as a part of the target.
const INITIAL_WARM_RATIO: f64 = 0.4;
/// Servers that one request is sent to at most, hedges included, where nothing else is declared.
const DEFAULT_MAX_ATTEMPTS: usize = 4;

/// What operators declare of a class, as far as dispatch needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spec {
    /// Hash of its name: the same in all daemons, whatever the order in which they learnt of it.
    pub key: u64,
    /// Service, by position in the list of services.
    pub service: u16,
    /// Whether running the work twice is harmless.
    pub idempotent: bool,
    /// Rank in the order of loss: 0 is kept longest.
    pub rank: u8,
    /// Time within which an answer counts as good.
    pub target: Duration,
    /// Time after which an answer is of no use.
    pub deadline: Duration,
    /// Whether the work may wait but must finish.
    pub may_wait: bool,
    /// Servers that one request is sent to at most, hedges included.
    pub max_attempts: usize,
    /// Whether servers work faster on an object that they handled lately.
    pub affinity: bool,
    /// Regions that may run the work, by position; empty for all.
    pub regions: Vec<u16>,
    /// Services that share the work in place of `service`; empty for none.
    pub split: Vec<Share>,
}

impl Spec {
    /// Idempotent work of `service` that nobody waits for longer than `deadline`.
    pub const fn new(service: u16, deadline: Duration) -> Self {
        Self {
            key: 0,
            service,
            idempotent: true,
            rank: 0,
            target: deadline,
            deadline,
            may_wait: false,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            affinity: false,
            regions: Vec::new(),
            split: Vec::new(),
        }
    }

    /// Whether the servers of `region` may run the work.
    pub fn allows(&self, region: u16) -> bool {
        self.regions.is_empty() || self.regions.contains(&region)
    }
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
    latencies: Samples,
    /// Times of work on objects.
    pub work: Estimate,
    split: Split,
    answer_size: f64,
    /// Whether an answer was seen.
    answer_size_known: bool,
}

impl Class {
    /// A class that nothing is known of.
    pub fn new(spec: Spec) -> Self {
        Self {
            queue: VecDeque::new(),
            in_flight: 0,
            latencies: Samples::new(INITIAL_LATENCY),
            work: Estimate::new(spec.target.mul_f64(INITIAL_WARM_RATIO)),
            split: Split::new(&spec.split),
            spec,
            answer_size: INITIAL_ANSWER_SIZE,
            answer_size_known: false,
        }
    }

    /// Takes new targets.
    pub fn update_spec(&mut self, spec: Spec) {
        if !self.split.has_shares(&spec.split) {
            self.split = Split::new(&spec.split);
        }
        self.spec = spec;
    }

    /// The service of the next request.
    pub fn next_service(&mut self) -> u16 {
        self.split.next_service().unwrap_or(self.spec.service)
    }

    /// Takes in the latency and the answer size of one answered attempt.
    pub fn record(&mut self, latency: Duration, bytes: u64) {
        self.answer_size = (self.answer_size * ANSWER_SIZE_DECAY).max(bytes as f64);
        self.answer_size_known = true;
        self.latencies.record(latency);
    }

    /// The median of recent latencies; a third of slow servers does not move it far.
    pub const fn typical_latency(&self) -> Duration {
        self.latencies.median()
    }

    /// Age from which an attempt is late; sooner at a server on `trial`.
    pub fn late_after(&self, on_probation: bool) -> Duration {
        self.typical_latency() * if on_probation { PROBATION_LATE_FACTOR } else { LATE_FACTOR }
    }

    /// A size that answers seldom pass, in bytes.
    pub const fn answer_size(&self) -> f64 {
        self.answer_size
    }

    /// Whether the size rests on answers that were seen.
    pub const fn answer_size_known(&self) -> bool {
        self.answer_size_known
    }

    /// Whether a request that arrived at `arrived` has waited so long that it goes first.
    pub fn aged(&self, arrived: Time, now: Time) -> bool {
        self.spec.may_wait && now.since(arrived) > self.spec.deadline / 4
    }
}
