//! A store that was restored from an older copy.
//!
//! Load pattern: the store comes back without its latest changes and counts its revisions on from the copy's, in a new
//! era. What a mirror knows beyond the copy was acknowledged, and its writers write it again. Until then, a mirror keeps
//! what it knows: keys that the copy lacks stay for a grace period, keys that it has again are withheld, and a value
//! that says itself that it is older does not replace a newer one.

use std::time::Duration;

use base::time::Time;

use super::{GRACE_PERIOD, MAX_TOMBSTONES, Mirror};
use crate::Entry;

/// How long a key that was deleted is withheld if a restored store lists it with a value that has an order and is not
/// newer. Longer than the lease of an entry lasts without its writer: an entry that is still listed then has one.
const WITHHOLD_PERIOD: Duration = Duration::from_secs(10);

/// Order of the values of one key, as their writer counts them: by its start, then by a number that it raises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order(pub u64, pub u64);

/// Returns the order of a key's value, `None` for keys whose values have none.
pub type OrderFn = fn(&str, &[u8]) -> Option<Order>;

/// A key that was deleted.
#[derive(Debug, Clone, Copy)]
pub(super) struct Deletion {
    /// Order of its last value; `None` if its values have none.
    order: Option<Order>,
    deleted_at: Time,
}

/// A key that a restored store lists although it was deleted before.
#[derive(Debug, Clone)]
pub(super) struct Withheld {
    entry: Entry,
    first_seen: Time,
    until: Time,
}

impl Mirror {
    /// Sets the function that returns the order of a key's value, `None` for keys whose values have no order. Only
    /// values from before and after a restore of the store are compared by it; otherwise revisions order them.
    #[must_use]
    pub fn with_order(mut self, order: OrderFn) -> Self {
        self.order = Some(order);
        self
    }

    /// Begins a later era: revisions and deletions count anew, and all records are kept for the grace period.
    pub(super) fn begin_era(&mut self, era: u64, now: Time) {
        self.era = era;
        self.revision = 0;
        self.latest_revisions.clear();
        self.tombstones.clear();
        self.tombstones_since = 0;
        self.unseen = 0..0;
        self.withheld.clear();
        if self.records.is_empty() {
            return;
        }
        self.carry_until = now + GRACE_PERIOD;
        self.grace_until = self.grace_until.max(self.carry_until);
        for record in self.records.values_mut() {
            record.revision = 0;
            record.carried = true;
            record.expires_at = Some(self.carry_until);
        }
    }

    /// Whether `entry` is older than the value that is known from an earlier era.
    pub(super) fn is_older_than_carried(&self, entry: &Entry) -> bool {
        let Some(known) = self.records.get(&entry.key).filter(|known| known.carried) else { return false };
        let orders = (self.order_of(&entry.key, &entry.value), self.order_of(&entry.key, &known.value));
        matches!(orders, (Some(listed), Some(known)) if listed < known)
    }

    /// Adopts a key of a list, or withholds it if it was deleted in an earlier era; returns whether anything changed.
    pub(super) fn put_listed(&mut self, entry: Entry, first_seen: Time, now: Time) -> bool {
        // Until the first list of an era is complete, its revision is zero.
        let is_first_list = self.revision == 0;
        let withheld = self.withheld.get(&entry.key).is_some_and(|known| known.entry == entry);
        let deletion = self.deleted.get(&entry.key).copied().filter(|_| is_first_list);
        let Some(deletion) = deletion.filter(|_| !self.records.contains_key(&entry.key)) else {
            return !withheld && self.put(entry, first_seen);
        };
        let order = self.order_of(&entry.key, &entry.value);
        let period = match (order, deletion.order) {
            (Some(listed), Some(deleted)) if listed > deleted => return self.put(entry, first_seen),
            (Some(_), Some(_)) => WITHHOLD_PERIOD,
            _ => GRACE_PERIOD,
        };
        let key = entry.key.clone();
        self.withheld.insert(key, Withheld { entry, first_seen, until: now + period });
        false
    }

    /// Adopts the keys that were withheld for long enough; returns whether there were any.
    pub(super) fn adopt_withheld(&mut self, now: Time) -> bool {
        let due: Vec<String> =
            self.withheld.iter().filter(|(_, withheld)| now >= withheld.until).map(|(key, _)| key.clone()).collect();
        let mut adopted = false;
        for key in due {
            let Some(withheld) = self.withheld.remove(&key) else { continue };
            adopted |= self.put(withheld.entry, withheld.first_seen);
        }
        adopted
    }

    /// Removes a record and remembers its deletion.
    pub(super) fn forget(&mut self, key: &str, now: Time) {
        let Some(record) = self.records.remove(key) else { return };
        let order = self.order_of(key, &record.value);
        self.deleted.insert(key.to_owned(), Deletion { order, deleted_at: now });
        if self.deleted.len() > MAX_TOMBSTONES {
            let oldest = self.deleted.iter().min_by_key(|(_, deletion)| deletion.deleted_at);
            let oldest = oldest.map(|(key, _)| key.clone());
            oldest.and_then(|key| self.deleted.remove(&key));
        }
    }

    fn order_of(&self, key: &str, value: &[u8]) -> Option<Order> {
        self.order.and_then(|order| order(key, value))
    }
}
