//! Passing a copy on to another daemon's.

use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;

use base::time::Time;

use super::{Mirror, Record};
use crate::changes::{Changes, Item, MAX_PAGE_BYTES};

/// Age of a teller's knowledge up to which it has heard of the store all the while.
const KNOWING: Duration = Duration::from_millis(1_250);

impl Mirror {
    /// What has changed after the revision `after`, for another copy; or all keys behind `from`, a page of them, if
    /// that is not known any more. Nothing if there is nothing to pass on yet.
    pub fn changes(&self, after: u64, from: &str, now: Time) -> Option<Changes> {
        if self.revision == 0 {
            return None;
        }
        let age = |confirmed: Time| now.since(confirmed).as_millis() as u64;
        let told = Changes {
            revision: self.revision,
            after: 0,
            age_ms: self.confirmed.map(age),
            waited_ms: 0,
            grace_ms: self.returning.since(now).as_millis() as u64,
            full: false,
            more: false,
            items: Vec::new(),
            tombstones: Vec::new(),
        };
        if after < self.gone_since {
            return Some(self.page(told, from, now));
        }
        let changed = self.held.iter().filter(|(_, held)| held.revision > after);
        let items: Vec<Item> = changed.map(|(key, held)| item(key, held, now)).collect();
        let bytes: usize = self.held.values().filter(|held| held.revision > after).map(|held| held.value.len()).sum();
        if bytes > MAX_PAGE_BYTES {
            return Some(self.page(told, from, now));
        }
        let tombstones = self.gone.iter().filter(|(_, revision)| *revision > after).cloned().collect();
        Some(Changes { after, items, tombstones, ..told })
    }

    /// All keys behind `from` that fit into one message.
    fn page(&self, told: Changes, from: &str, now: Time) -> Changes {
        let behind = (Bound::Excluded(from.to_owned()), Bound::Unbounded);
        let mut items = Vec::new();
        let mut bytes = 0;
        for (key, held) in self.held.range(behind) {
            bytes += held.value.len();
            if bytes > MAX_PAGE_BYTES && !items.is_empty() {
                return Changes { full: true, more: true, items, ..told };
            }
            items.push(item(key, held, now));
        }
        Changes { full: true, items, ..told }
    }

    /// Takes in what another copy passes on; says whether anything changed. `items` are those of all pages, if it is
    /// the whole. `sent` is when the question was sent.
    pub fn merge(&mut self, told: &Changes, items: Vec<Item>, sent: Time, now: Time) -> bool {
        self.learn_returning(told, now.since(sent), now);
        let mut changed = false;
        // A gap would go unnoticed, and an older picture than ours would bring back what has gone since.
        let fits = told.after <= self.revision && told.revision >= self.revision;
        if fits && told.full {
            let listed: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
            changed |= self.lose_all_but(&listed, told.revision, now);
            changed |= self.put_all(items, now);
            self.learn_whole(told.revision);
        } else if fits {
            changed |= self.put_all(items, now);
            changed |= self.apply(told.deletions().collect(), told.revision, now);
        }
        if let Some(age) = told.age(now.since(sent)).filter(|_| told.after <= self.revision) {
            self.confirm(now - age);
        }
        changed
    }

    /// Whoever has heard of the store all the while knows best whether it was away: our own calls may have failed for
    /// another reason.
    fn learn_returning(&mut self, told: &Changes, took: Duration, now: Time) {
        let returning = now + Duration::from_millis(told.grace_ms);
        if told.age(took).is_none_or(|age| age >= KNOWING) {
            self.returning = if told.grace_ms > 0 { self.returning.max(returning) } else { self.returning };
            return;
        }
        self.returning = returning;
        for held in self.held.values_mut() {
            held.missing = held.missing.map(|until| until.min(returning));
        }
    }

    fn put_all(&mut self, items: Vec<Item>, now: Time) -> bool {
        let mut changed = false;
        for item in items {
            let (key, revision) = (item.key.clone(), item.revision);
            let seen = now - Duration::from_millis(item.age_ms);
            let missing = item.expires_in_ms.map(|left| now + Duration::from_millis(left));
            // A key that another copy only keeps for a while is not brought back: we may know that it is gone.
            if missing.is_none() || self.revision == 0 {
                changed |= self.put(item.entry(), seen);
            }
            let held = self.held.get_mut(&key).filter(|held| held.revision <= revision);
            if let (Some(until), Some(held)) = (missing, held) {
                held.missing.get_or_insert(until);
            }
        }
        changed
    }
}

fn item(key: &str, held: &Record, now: Time) -> Item {
    Item {
        key: key.to_owned(),
        value: held.value.as_slice().into(),
        revision: held.revision,
        age_ms: now.since(held.first_seen).as_millis() as u64,
        expires_in_ms: held.missing.map(|until| until.since(now).as_millis() as u64),
    }
}
