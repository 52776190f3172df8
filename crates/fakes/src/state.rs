//! What the key-value store holds; pure, with the present time as an argument.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;
use store::{Change, Commit, Entry, Lease};

/// The end of a range that goes on to the last key.
const UNBOUNDED: &str = "\0";

#[derive(Debug, Clone)]
struct Value {
    bytes: Vec<u8>,
    revision: u64,
    lease: Option<Lease>,
}

#[derive(Debug, Clone, Copy)]
struct Term {
    ttl: Duration,
    ends: Time,
}

/// Keys, leases and the store's revision.
#[derive(Debug, Clone, Default)]
pub struct State {
    revision: u64,
    values: BTreeMap<String, Value>,
    leases: BTreeMap<Lease, Term>,
    next_lease: u64,
}

impl State {
    /// An empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// The keys from `first` up to but without `end`; one key if `end` is `None`.
    pub fn range(&mut self, first: &str, end: Option<&str>, now: Time) -> Vec<Entry> {
        self.expire(now);
        let inside = |key: &str| end.map_or(key == first, |end| end == UNBOUNDED || key < end);
        let from = self.values.range(first.to_owned()..).take_while(|(key, _)| inside(key));
        from.map(|(key, value)| Entry { key: key.clone(), value: value.bytes.clone(), revision: value.revision })
            .collect()
    }

    /// Makes all changes or none.
    pub fn commit(&mut self, changes: &[Change], now: Time) -> Commit {
        self.expire(now);
        let matches = |change: &Change| self.values.get(&change.key).map_or(0, |value| value.revision) == change.expect;
        let leased = |change: &Change| change.lease.is_none_or(|lease| self.leases.contains_key(&lease));
        if !changes.iter().all(|change| matches(change) && leased(change)) {
            return Commit::Conflict;
        }
        self.revision += 1;
        for change in changes {
            self.apply(change);
        }
        Commit::Done(self.revision)
    }

    /// Makes a lease.
    pub fn grant(&mut self, ttl: Duration, now: Time) -> Lease {
        self.next_lease += 1;
        let lease = Lease(self.next_lease);
        self.leases.insert(lease, Term { ttl, ends: now + ttl });
        lease
    }

    /// Renews a lease; says whether it was still there.
    pub fn renew(&mut self, lease: Lease, now: Time) -> bool {
        self.expire(now);
        let Some(term) = self.leases.get_mut(&lease) else {
            return false;
        };
        term.ends = now + term.ttl;
        true
    }

    /// Ends all leases at once, as when the store gives up on their holders.
    pub fn lapse(&mut self) {
        for term in self.leases.values_mut() {
            term.ends = Time::ZERO;
        }
    }

    /// The store's revision.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

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

    fn expire(&mut self, now: Time) {
        let leases = &mut self.leases;
        leases.retain(|_, term| term.ends > now);
        let before = self.values.len();
        self.values.retain(|_, value| value.lease.is_none_or(|lease| leases.contains_key(&lease)));
        if self.values.len() < before {
            self.revision += 1;
        }
    }
}
