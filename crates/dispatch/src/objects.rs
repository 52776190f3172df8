//! How many different objects requests are about.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;

/// Time without a request after which an object does not count any more.
const LATELY: Duration = Duration::from_secs(30);
/// Objects counted at most; beyond that each server can have one alone.
const MOST: usize = 65_536;

/// Objects asked for lately, by service.
#[derive(Debug, Clone, Default)]
pub struct Objects {
    seen: BTreeMap<(u16, u64), Time>,
    counts: BTreeMap<u16, usize>,
    swept: Time,
}

impl Objects {
    /// No objects.
    pub fn new() -> Self {
        Self::default()
    }

    /// A request for `service` is about `object`.
    pub fn note(&mut self, service: u16, object: u64, now: Time) {
        if now.since(self.swept) >= LATELY / 4 {
            self.sweep(now);
        }
        if self.seen.len() < MOST && self.seen.insert((service, object), now).is_none() {
            *self.counts.entry(service).or_default() += 1;
        }
    }

    /// Objects that requests for `service` were about lately.
    pub fn count(&self, service: u16) -> usize {
        self.counts.get(&service).copied().unwrap_or(0)
    }

    fn sweep(&mut self, now: Time) {
        self.swept = now;
        self.seen.retain(|_, last| now.since(*last) < LATELY);
        self.counts.clear();
        for (service, _) in self.seen.keys() {
            *self.counts.entry(*service).or_default() += 1;
        }
    }
}
