//! Requests that crash the backend servers that run them.
//!
//! Each loss of a connection while a request ran is remembered by the request's fingerprint. Losses are a set,
//! so daemons merge what they saw in any order and any number of times.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::time::Time;

/// Losses after which a fingerprint is refused.
pub const LOSSES: usize = 2;
/// Time after a whole answer during which losses are not counted: what was answered lately crashes nobody, and what
/// many callers ask for is under way whenever a server goes away.
const INNOCENT: Duration = Duration::from_secs(10);
/// Fingerprints remembered at most; the oldest go first.
const MOST: usize = 4_096;

#[derive(Debug, Clone, Default)]
struct Record {
    losses: BTreeSet<u64>,
    seen: Time,
}

/// Losses by fingerprint.
#[derive(Debug, Clone)]
pub struct Quarantine {
    kept: Duration,
    records: BTreeMap<u64, Record>,
    /// When each fingerprint was answered whole last.
    answered: BTreeMap<u64, Time>,
}

impl Quarantine {
    /// Remembers each loss for `kept`.
    pub const fn new(kept: Duration) -> Self {
        Self { kept, records: BTreeMap::new(), answered: BTreeMap::new() }
    }

    /// Notes that the loss with the unique number `loss` happened to `fingerprint`; says whether that is news
    /// that counts.
    pub fn note(&mut self, fingerprint: u64, loss: u64, now: Time) -> bool {
        self.forget(now);
        if self.answered.get(&fingerprint).is_some_and(|at| now.since(*at) < INNOCENT) {
            return false;
        }
        let record = self.records.entry(fingerprint).or_default();
        let news = record.losses.insert(loss);
        if news {
            record.seen = now;
        }
        news
    }

    /// A request with `fingerprint` was answered whole: its losses were not its doing.
    pub fn clear(&mut self, fingerprint: u64, now: Time) {
        self.records.remove(&fingerprint);
        if self.answered.len() >= MOST {
            self.answered.retain(|_, at| now.since(*at) < INNOCENT);
        }
        if self.answered.len() >= MOST {
            self.answered.clear();
        }
        self.answered.insert(fingerprint, now);
    }

    /// Whether `fingerprint` is refused.
    pub fn refuses(&self, fingerprint: u64, now: Time) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.losses.len() >= LOSSES && now.since(record.seen) < self.kept)
    }

    /// The losses for which `fingerprint` is refused; none if it is not.
    pub fn losses(&self, fingerprint: u64, now: Time) -> Vec<(u64, u64)> {
        let refused = self.refuses(fingerprint, now);
        let record = self.records.get(&fingerprint).filter(|_| refused);
        record.into_iter().flat_map(|record| &record.losses).map(|loss| (fingerprint, *loss)).collect()
    }

    /// Fingerprints refused.
    pub fn refused(&self, now: Time) -> usize {
        self.records.keys().filter(|fingerprint| self.refuses(**fingerprint, now)).count()
    }

    fn forget(&mut self, now: Time) {
        if self.records.len() < MOST {
            return;
        }
        let kept = self.kept;
        self.records.retain(|_, record| now.since(record.seen) < kept);
        if self.records.len() >= MOST {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.seen).map(|(key, _)| *key);
            oldest.map(|key| self.records.remove(&key));
        }
    }
}
