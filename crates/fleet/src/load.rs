//! Loads of failure domains: the latest sample of each.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;

use crate::message::Load;

/// The load of a failure domain at a time of our clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Requests running or waiting.
    pub busy: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// When the load was measured.
    pub at: Time,
}

/// The latest sample of each failure domain.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    samples: BTreeMap<String, Sample>,
    /// Position at which the next batch starts.
    cursor: usize,
}

impl Loads {
    /// Creates an empty set of samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a sample of `domain` unless a later one is known.
    pub fn record(&mut self, domain: &str, sample: Sample) {
        let known = self.samples.get(domain);
        if known.is_none_or(|known| known.at < sample.at) {
            self.samples.insert(domain.to_owned(), sample);
        }
    }

    /// Records a load from a message received at `now`.
    pub fn merge(&mut self, load: &Load, now: Time) {
        let at = now - Duration::from_millis(load.age_ms);
        self.record(&load.domain, Sample { busy: load.busy, slots: load.slots, at });
    }

    /// Returns the latest sample of a failure domain; `None` if none is known.
    pub fn get(&self, domain: &str) -> Option<Sample> {
        self.samples.get(domain).copied()
    }

    /// Returns up to `limit` loads for a message; successive calls go through all domains in turn.
    pub fn next_batch(&mut self, limit: usize, now: Time) -> Vec<Load> {
        let count = self.samples.len();
        if count == 0 {
            return Vec::new();
        }
        let start = self.cursor % count;
        self.cursor = (start + limit.min(count)) % count;
        let chosen = self.samples.iter().cycle().skip(start).take(limit.min(count));
        let load = |(domain, sample): (&String, &Sample)| Load {
            domain: domain.clone(),
            busy: sample.busy,
            slots: sample.slots,
            age_ms: now.since(sample.at).as_millis() as u64,
        };
        chosen.map(load).collect()
    }
}
