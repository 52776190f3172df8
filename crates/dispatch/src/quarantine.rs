//! Refuses requests that crash the backend servers that run them.
//!
//! Each loss of a connection while a request ran is stored under the request's fingerprint. Losses are a set, so
//! daemons can merge each other's losses in any order and any number of times.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::time::Time;

/// Number of losses after which a fingerprint is refused.
pub const QUARANTINE_THRESHOLD: usize = 2;
/// Time after a complete answer during which losses of the fingerprint are not counted. A request that was answered
/// recently does not crash servers, and one that many callers send is in flight whenever a server fails for another
/// reason.
const CLEARED_FOR: Duration = Duration::from_secs(10);
/// Maximum number of fingerprints; the oldest are evicted first.
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
    /// When each fingerprint last got a complete answer.
    answered_at: BTreeMap<u64, Time>,
}

impl Quarantine {
    /// Creates an empty set that refuses a fingerprint for `retention` after its last loss.
    pub const fn new(retention: Duration) -> Self {
        Self { retention, records: BTreeMap::new(), answered_at: BTreeMap::new() }
    }

    /// Records a loss, identified by the unique number `loss`, of a request with `fingerprint`; returns whether it is
    /// new and counts.
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

    /// Forgets the fingerprints whose last loss is not before `since`.
    pub fn forget(&mut self, since: Time) {
        self.records.retain(|_, record| record.last_loss < since);
    }

    /// Records a complete answer to `fingerprint`, which clears its losses.
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

    /// Returns whether requests with `fingerprint` are refused.
    pub fn is_quarantined(&self, fingerprint: u64, now: Time) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| {
            record.losses.len() >= QUARANTINE_THRESHOLD && now.since(record.last_loss) < self.retention
        })
    }

    /// Returns the losses for which `fingerprint` is refused, each with the fingerprint; empty if it is not refused.
    pub fn losses(&self, fingerprint: u64, now: Time) -> Vec<(u64, u64)> {
        let quarantined = self.is_quarantined(fingerprint, now);
        let record = self.records.get(&fingerprint).filter(|_| quarantined);
        record.into_iter().flat_map(|record| &record.losses).map(|loss| (fingerprint, *loss)).collect()
    }

    /// Returns the number of fingerprints that are refused.
    pub fn count(&self, now: Time) -> usize {
        self.records.keys().filter(|fingerprint| self.is_quarantined(**fingerprint, now)).count()
    }

    /// Makes space for one more fingerprint: removes the expired ones, then the oldest if that is not enough.
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
