//! The contents of the key-value store, without I/O; the present time is an argument.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;
use store::{Change, Commit, Entry, Lease};

/// The end that marks a range without an upper bound.
const UNBOUNDED: &str = "\0";

#[derive(Debug, Clone)]
struct Value {
    bytes: Vec<u8>,
    revision: u64,
    lease: Option<Lease>,
}

#[derive(Debug, Clone, Copy)]
struct LeaseTerm {
    ttl: Duration,
    expires_at: Time,
}

/// Keys, leases and the store's revision.
#[derive(Debug, Clone, Default)]
pub struct State {
    revision: u64,
    values: BTreeMap<String, Value>,
    leases: BTreeMap<Lease, LeaseTerm>,
    next_lease: u64,
}

impl State {
    /// Returns an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the entries with keys from `first` up to, but not including, `end`; only `first` if `end` is `None`.
    pub fn range(&mut self, first: &str, end: Option<&str>, now: Time) -> Vec<Entry> {
        self.expire(now);
        let in_range = |key: &str| end.map_or(key == first, |end| end == UNBOUNDED || key < end);
        let entries = self.values.range(first.to_owned()..).take_while(|(key, _)| in_range(key));
        entries
            .map(|(key, value)| Entry { key: key.clone(), value: value.bytes.clone(), revision: value.revision })
            .collect()
    }

    /// Applies all changes or none; a conflict if a revision differs from the expected one or a lease has expired.
    pub fn commit(&mut self, changes: &[Change], now: Time) -> Commit {
        self.expire(now);
        let revision_matches =
            |change: &Change| self.values.get(&change.key).map_or(0, |value| value.revision) == change.expect;
        let lease_exists = |change: &Change| change.lease.is_none_or(|lease| self.leases.contains_key(&lease));
        if !changes.iter().all(|change| revision_matches(change) && lease_exists(change)) {
            return Commit::Conflict;
        }
        self.revision += 1;
        for change in changes {
            self.apply(change);
        }
        Commit::Done(self.revision)
    }

    /// Creates a lease that expires after `ttl` unless it is renewed.
    pub fn grant(&mut self, ttl: Duration, now: Time) -> Lease {
        self.next_lease += 1;
        let lease = Lease(self.next_lease);
        self.leases.insert(lease, LeaseTerm { ttl, expires_at: now + ttl });
        lease
    }

    /// Renews a lease for its time to live; returns whether it still existed.
    pub fn renew(&mut self, lease: Lease, now: Time) -> bool {
        self.expire(now);
        let Some(term) = self.leases.get_mut(&lease) else {
            return false;
        };
        term.expires_at = now + term.ttl;
        true
    }

    /// Expires all leases at once, as when their holders did not renew them in time.
    pub fn expire_leases(&mut self) {
        for term in self.leases.values_mut() {
            term.expires_at = Time::ZERO;
        }
    }

    /// Returns the store's revision, which each commit and each expiry of keys raises.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies one change at the present revision.
    fn apply(&mut self, change: &Change) {
        match &change.value {
            Some(bytes) => {
                let value = Value { bytes: bytes.clone(), revision: self.revision, lease: change.lease };
                self.values.insert(change.key.clone(), value);
            }
            None => {
                self.values.remove(&change.key);
            }
        }
    }

    /// Removes the leases that have expired, and the keys attached to them.
    fn expire(&mut self, now: Time) {
        let leases = &mut self.leases;
        leases.retain(|_, term| term.expires_at > now);
        let before = self.values.len();
        self.values.retain(|_, value| value.lease.is_none_or(|lease| leases.contains_key(&lease)));
        if self.values.len() < before {
            self.revision += 1;
        }
    }
}
