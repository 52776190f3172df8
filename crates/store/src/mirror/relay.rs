//! Exchange of changes between the mirrors of two daemons.

use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;

use base::time::Time;
use base::version::Version;

use super::{GRACE_PERIOD, MIN_OUTAGE, Mirror, Record};
use crate::changes::{Changes, Item, MAX_PAGE_BYTES};

/// A sender whose knowledge is younger than this has had contact with the store without interruption.
const MAX_CURRENT_AGE: Duration = Duration::from_millis(1_250);

impl Mirror {
    /// Returns the changes after the version `after`, for another mirror. Returns all keys after the key `from`, one
    /// page of them, if the changes are too large for one message or the deletions since `after` are not known,
    /// as at the first request in a new era. Returns no keys to a mirror of a later era. `None` while this mirror is
    /// empty, or if all keys are needed and its own list lacks some, which the other mirror would remove.
    pub fn changes(&self, after: impl Into<Version>, from: &str, now: Time) -> Option<Changes> {
        if self.revision == 0 {
            return None;
        }
        let age = |confirmed: Time| now.since(confirmed).as_millis() as u64;
        let empty = Changes {
            era: self.era,
            revision: self.revision,
            after: 0,
            age_ms: self.confirmed_at.map(age),
            waited_ms: 0,
            read_after_wait: true,
            grace_ms: self.grace_until.since(now).as_millis() as u64,
            full: false,
            more: false,
            items: Vec::new(),
            tombstones: Vec::new(),
        };
        let Version { era, revision: after } = after.into();
        if era > self.era {
            return Some(Changes { after: self.revision, ..empty });
        }
        if era < self.era || after < self.tombstones_since || self.unseen.contains(&after) {
            return self.page(empty, from, now);
        }
        let changed = self.records.iter().filter(|(_, record)| record.revision > after);
        let items: Vec<Item> = changed.map(|(key, record)| item(key, record, now)).collect();
        let bytes: usize =
            self.records.values().filter(|record| record.revision > after).map(|record| record.value.len()).sum();
        if bytes > MAX_PAGE_BYTES {
            return self.page(empty, from, now);
        }
        let tombstones = self.tombstones.iter().filter(|(_, revision)| *revision > after).cloned().collect();
        Some(Changes { after, items, tombstones, ..empty })
    }

    /// Returns the keys after `from` that fit into one message; `None` if the list of this mirror lacks some.
    fn page(&self, empty: Changes, from: &str, now: Time) -> Option<Changes> {
        if !self.gaps.is_empty() {
            return None;
        }
        let bounds = (Bound::Excluded(from.to_owned()), Bound::Unbounded);
        let mut items = Vec::new();
        let mut bytes = 0;
        for (key, record) in self.records.range(bounds) {
            bytes += record.value.len();
            if bytes > MAX_PAGE_BYTES && !items.is_empty() {
                return Some(Changes { full: true, more: true, items, ..empty });
            }
            items.push(item(key, record, now));
        }
        Some(Changes { full: true, items, ..empty })
    }

    /// Merges the changes received from another mirror into this one; returns whether anything changed. `items` holds
    /// the items of all pages if the changes are a full list. `sent` is when the request for them was sent.
    ///
    /// Changes of an earlier era are ignored; the first list of a later one begins that era.
    pub fn merge(&mut self, received: &Changes, items: Vec<Item>, sent: Time, now: Time) -> bool {
        let is_empty = self.records.is_empty();
        if received.era > self.era && received.full {
            self.begin_era(received.era, now);
        }
        if received.era != self.era {
            return false;
        }
        let transit = received.transit(now.since(sent));
        let age = received.age(now.since(sent));
        self.merge_grace_period(remaining(received.grace_ms, transit), age, now);
        let mut changed = false;
        // Changes that begin after our revision would leave an undetected gap, and a state that is older than ours
        // would restore keys that were deleted since.
        let applicable = received.after <= self.revision && received.revision >= self.revision;
        if applicable && received.full {
            let listed: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
            changed |= self.remove_unlisted(&listed, &[], received.revision, now);
            changed |= self.put_items(items, is_empty, transit, now);
            self.finish_full_sync(received.revision, Vec::new());
        } else if applicable {
            changed |= self.put_items(items, is_empty, transit, now);
            changed |= self.apply(received.deletions().collect(), received.version(), now);
        }
        if let Some(age) = age.filter(|_| received.after <= self.revision) {
            self.confirm(now - age);
        }
        changed
    }

    /// Adopts the sender's grace period, of which `left` remains, if the `age` of the sender's knowledge shows contact with
    /// the store: then its state shows whether there was an outage, while our own calls may have failed for another reason.
    /// A sender without contact can only prolong the grace period.
    ///
    /// A sender whose own path to the store was interrupted takes that for an outage, so a grace period is adopted only
    /// if this mirror had no contact with the store for as long.
    fn merge_grace_period(&mut self, left: Duration, age: Option<Duration>, now: Time) {
        let has_contact = age.is_some_and(|age| age < MAX_CURRENT_AGE);
        self.record_interruption_end(has_contact, now);
        let grace_until = (now + left).max(self.carry_until);
        if !has_contact {
            let prolongs = !left.is_zero() && self.had_interruption(now);
            self.grace_until = if prolongs { self.grace_until.max(grace_until) } else { self.grace_until };
            return;
        }
        if !left.is_zero() && !self.had_interruption(now) {
            return;
        }
        self.grace_until = grace_until;
        for record in self.records.values_mut() {
            record.expires_at = record.expires_at.map(|expires_at| expires_at.min(grace_until));
        }
    }

    /// Records the end of an interruption if the sender of a message that arrived at `now` has contact with the store.
    fn record_interruption_end(&mut self, has_contact: bool, now: Time) {
        if has_contact && self.is_interrupted(now) {
            self.resumed_at = Some(now);
        }
    }

    /// Whether the mirror has not been known to be complete for so long that the store may have had an outage.
    fn is_interrupted(&self, now: Time) -> bool {
        self.age(now).is_none_or(|age| age >= MIN_OUTAGE)
    }

    /// Whether there is such an interruption, or one ended within a grace period.
    fn had_interruption(&self, now: Time) -> bool {
        self.is_interrupted(now) || self.resumed_at.is_some_and(|resumed| now.since(resumed) < GRACE_PERIOD)
    }

    /// Adds the keys that another mirror sent up to `transit` ago.
    fn put_items(&mut self, items: Vec<Item>, was_empty: bool, transit: Duration, now: Time) -> bool {
        let mut changed = false;
        for item in items {
            let (key, revision, carried) = (item.key.clone(), item.revision, item.carried);
            // Without the transit: a server that started lately must not count as running for longer than it is.
            let first_seen = now - Duration::from_millis(item.age_ms);
            let expires_at = item.expires_in_ms.map(|left| now + remaining(left, transit));
            // A key that another mirror only keeps for its grace period is not restored: we may know of its deletion.
            if expires_at.is_none() || was_empty {
                changed |= self.put_listed(item.entry(), first_seen, now);
            }
            let Some(record) = self.records.get_mut(&key).filter(|record| record.revision <= revision) else {
                continue;
            };
            record.carried |= carried;
            if let Some(expires_at) = expires_at {
                record.expires_at.get_or_insert(expires_at);
            }
        }
        changed
    }
}

/// Returns what is left at least of a time of `left_ms` milliseconds that another mirror stated up to `transit` ago.
fn remaining(left_ms: u64, transit: Duration) -> Duration {
    Duration::from_millis(left_ms).saturating_sub(transit)
}

fn item(key: &str, record: &Record, now: Time) -> Item {
    Item {
        key: key.to_owned(),
        value: record.value.as_slice().into(),
        revision: record.revision,
        age_ms: now.since(record.first_seen).as_millis() as u64,
        carried: record.carried,
        expires_in_ms: record.expires_at.map(|expires_at| expires_at.since(now).as_millis() as u64),
    }
}
