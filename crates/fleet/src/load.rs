//! Loads of failure domains, the freshest word on each.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;

use crate::message::Load;

/// A load with the time at which it was true, by our clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Requests running or waiting.
    pub busy: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// When this was true.
    pub at: Time,
}

/// Loads by failure domain.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    seen: BTreeMap<String, Sample>,
    next: usize,
}

impl Loads {
    /// No loads.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a load unless a fresher one is known.
    pub fn record(&mut self, domain: &str, load: Sample) {
        let known = self.seen.get(domain);
        if known.is_none_or(|known| known.at < load.at) {
            self.seen.insert(domain.to_owned(), load);
        }
    }

    /// Takes in a load from a message that came at `now`.
    pub fn merge(&mut self, load: &Load, now: Time) {
        let at = now - Duration::from_millis(load.age_ms);
        self.record(&load.domain, Sample { busy: load.busy, slots: load.slots, at });
    }

    /// The load of a failure domain.
    pub fn get(&self, domain: &str) -> Option<Sample> {
        self.seen.get(domain).copied()
    }

    /// The next `most` loads for a message, in turn.
    pub fn next_batch(&mut self, most: usize, now: Time) -> Vec<Load> {
        let count = self.seen.len();
        if count == 0 {
            return Vec::new();
        }
        let start = self.next % count;
        self.next = (start + most.min(count)) % count;
        let chosen = self.seen.iter().cycle().skip(start).take(most.min(count));
        let load = |(domain, seen): (&String, &Sample)| Load {
            domain: domain.clone(),
            busy: seen.busy,
            slots: seen.slots,
            age_ms: now.since(seen.at).as_millis() as u64,
        };
        chosen.map(load).collect()
    }
}
