//! Requests that crash the backend servers that run them.
//!
//! Each loss of a connection while a request ran is remembered by the request's fingerprint. Losses are a set,
//! so daemons merge what they saw in any order and any number of times.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::time::Time;

/// Losses after which a fingerprint is refused.
pub const QUARANTINE_THRESHOLD: usize = 2;
/// Time after a whole answer during which losses are not counted: what was answered lately crashes nobody, and what
/// many callers ask for is under way whenever a server goes away.
const CLEARED_FOR: Duration = Duration::from_secs(10);
/// Fingerprints remembered at most; the oldest go first.
const MAX_ENTRIES: usize = 4_096;

#[derive(Debug, Clone, Default)]
struct Record {
    losses: BTreeSet<u64>,
    last_loss: Time,
}

/// Losses by fingerprint.
#[derive(Debug, Clone)]
pub struct Quarantine {
    retention: Duration,
    records: BTreeMap<u64, Record>,
    /// When each fingerprint was answered whole last.
    answered_at: BTreeMap<u64, Time>,
}

impl Quarantine {
    /// Remembers each loss for `kept`.
    pub const fn new(retention: Duration) -> Self {
        Self { retention, records: BTreeMap::new(), answered_at: BTreeMap::new() }
    }

    /// Notes that the loss with the unique number `loss` happened to `fingerprint`; says whether that is news
    /// that counts.
    pub fn record_loss(&mut self, fingerprint: u64, loss: u64, now: Time) -> bool {
        self.evict(now);
        if self.answered_at.get(&fingerprint).is_some_and(|at| now.since(*at) < CLEARED_FOR) {
            return false;
        }
        let record = self.records.entry(fingerprint).or_default();
        let is_new = record.losses.insert(loss);
        if is_new {
            record.last_loss = now;
        }
        is_new
    }

    /// A request with `fingerprint` was answered whole: its losses were not its doing.
    pub fn clear(&mut self, fingerprint: u64, now: Time) {
        self.records.remove(&fingerprint);
        if self.answered_at.len() >= MAX_ENTRIES {
            self.answered_at.retain(|_, at| now.since(*at) < CLEARED_FOR);
        }
        if self.answered_at.len() >= MAX_ENTRIES {
            self.answered_at.clear();
        }
        self.answered_at.insert(fingerprint, now);
    }

    /// Whether `fingerprint` is refused.
    pub fn is_quarantined(&self, fingerprint: u64, now: Time) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| {
            record.losses.len() >= QUARANTINE_THRESHOLD && now.since(record.last_loss) < self.retention
        })
    }

    /// The losses for which `fingerprint` is refused; none if it is not.
    pub fn losses(&self, fingerprint: u64, now: Time) -> Vec<(u64, u64)> {
        let quarantined = self.is_quarantined(fingerprint, now);
        let record = self.records.get(&fingerprint).filter(|_| quarantined);
        record.into_iter().flat_map(|record| &record.losses).map(|loss| (fingerprint, *loss)).collect()
    }

    /// Fingerprints refused.
    pub fn count(&self, now: Time) -> usize {
        self.records.keys().filter(|fingerprint| self.is_quarantined(**fingerprint, now)).count()
    }

    fn evict(&mut self, now: Time) {
        if self.records.len() < MAX_ENTRIES {
            return;
        }
        let retention = self.retention;
        self.records.retain(|_, record| now.since(record.last_loss) < retention);
        if self.records.len() >= MAX_ENTRIES {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.last_loss).map(|(key, _)| *key);
            oldest.map(|key| self.records.remove(&key));
        }
    }
}
