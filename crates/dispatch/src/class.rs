//! A class of work with its observed latencies and answer sizes.

use std::collections::VecDeque;
use std::time::Duration;

use base::time::Time;

use crate::regions;
use crate::samples::Samples;
use crate::split::{Share, Split};
use crate::trials::Trials;
use crate::work_time::Estimate;

/// Typical latency before any is observed.
const INITIAL_LATENCY: Duration = Duration::from_millis(50);
/// Answer size before any is observed, in bytes.
const INITIAL_ANSWER_SIZE: f64 = 65_536.0;
/// Factor by which the largest answer size decays with each answer.
const ANSWER_SIZE_DECAY: f64 = 0.995;
/// An attempt is late after this multiple of the typical latency.
const LATE_FACTOR: u32 = 4;
/// The same at a server on probation.
const PROBATION_LATE_FACTOR: u32 = 2;
/// Shortest latency from which an attempt is late. Scheduling on either side takes some milliseconds at times, which says nothing
/// about the server.
const MIN_LATE: Duration = Duration::from_millis(10);
/// Time of warm work before any is observed, as a fraction of the target.
const INITIAL_WARM_RATIO: f64 = 0.4;
/// Maximum number of attempts of a request, hedges included, where the class declares none.
const DEFAULT_MAX_ATTEMPTS: usize = 4;

/// What operators declare of a class, as far as dispatch needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each is declared on its own")]
pub struct Spec {
    /// Hash of the class's name, equal in all daemons in whatever order they learn of classes.
    pub key: u64,
    /// Service, by position in the list of services.
    pub service: u16,
    /// Whether running the work twice is harmless.
    pub idempotent: bool,
    /// Priority when load is shed: requests of rank 0 are dropped last.
    pub rank: u8,
    /// Time within which an answer counts as good.
    pub target: Duration,
    /// Time after which an answer is of no use.
    pub deadline: Duration,
    /// Whether the work may wait, but must finish.
    pub may_wait: bool,
    /// Maximum number of attempts of a request, hedges included.
    pub max_attempts: usize,
    /// Whether servers work faster on an object that they handled recently.
    pub affinity: bool,
    /// Regions that may run the work.
    pub regions: regions::Set,
    /// Services that share the work in place of `service`; empty for none.
    pub split: Vec<Share>,
    /// Whether operators no longer declare the class: it gets no new work.
    pub retired: bool,
}

impl Spec {
    /// Creates a class of idempotent work of `service`, with `deadline` as its target too.
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
            regions: regions::Set::ALL,
            split: Vec::new(),
            retired: false,
        }
    }

    /// Whether `service` runs the work or a part of it.
    pub fn has_service(&self, service: u16) -> bool {
        let mut shares = self.split.iter().filter(|share| share.weight > 0).peekable();
        if shares.peek().is_none() { service == self.service } else { shares.any(|share| share.service == service) }
    }
}

/// A class with its queue and its statistics.
#[derive(Debug, Clone)]
pub struct Class {
    /// What operators declare.
    pub spec: Spec,
    /// Waiting requests, by number, the next one first.
    pub queue: VecDeque<u64>,
    /// Attempts in flight.
    pub in_flight: u32,
    latencies: Samples,
    /// Times of work on objects.
    pub work: Estimate,
    /// Requests that are sent although the typical latency keeps them from servers.
    pub trials: Trials,
    split: Split,
    answer_size: f64,
    /// Whether an answer was observed.
    answer_size_known: bool,
}

impl Class {
    /// Creates a class without observations.
    pub fn new(spec: Spec) -> Self {
        Self {
            queue: VecDeque::new(),
            in_flight: 0,
            latencies: Samples::new(INITIAL_LATENCY),
            work: Estimate::new(spec.target.mul_f64(INITIAL_WARM_RATIO)),
            trials: Trials::default(),
            split: Split::new(&spec.split),
            spec,
            answer_size: INITIAL_ANSWER_SIZE,
            answer_size_known: false,
        }
    }

    /// Replaces what is declared; the queue and the statistics stay.
    pub fn update_spec(&mut self, spec: Spec) {
        if !self.split.has_shares(&spec.split) {
            self.split = Split::new(&spec.split);
        }
        self.spec = spec;
    }

    /// Returns the service of the next request.
    pub fn next_service(&mut self) -> u16 {
        self.split.next_service().unwrap_or(self.spec.service)
    }

    /// Records the latency and the answer size of one answered attempt.
    pub fn record(&mut self, latency: Duration, bytes: u64) {
        self.answer_size = (self.answer_size * ANSWER_SIZE_DECAY).max(bytes as f64);
        self.answer_size_known = true;
        self.latencies.record(latency);
    }

    /// Records the same of an answered trial, which shows that the latencies before are out of date.
    pub fn record_trial(&mut self, latency: Duration, bytes: u64) {
        self.latencies.clear();
        self.record(latency, bytes);
    }

    /// Returns the median of recent latencies, which a third of slow servers does not move far.
    pub const fn typical_latency(&self) -> Duration {
        self.latencies.median()
    }

    /// Returns the latency from which an attempt is late; shorter at a server on probation.
    pub fn late_after(&self, on_probation: bool) -> Duration {
        let factor = if on_probation { PROBATION_LATE_FACTOR } else { LATE_FACTOR };
        (self.typical_latency() * factor).max(MIN_LATE)
    }

    /// Returns a size that answers rarely exceed, in bytes.
    pub const fn answer_size(&self) -> f64 {
        self.answer_size
    }

    /// Returns whether the size is based on observed answers.
    pub const fn answer_size_known(&self) -> bool {
        self.answer_size_known
    }

    /// Returns whether a request that may wait has waited for more than a quarter of the deadline, so that it goes
    /// first.
    pub fn aged(&self, arrived: Time, now: Time) -> bool {
        self.spec.may_wait && now.since(arrived) > self.spec.deadline / 4
    }
}
