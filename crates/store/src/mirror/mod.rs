//! A copy of a part of the store, kept from a list and the changes after it.
//!
//! A key that is found missing soon after the store was away may have gone with a lease that nobody could renew;
//! its writer gets a moment to come back before it is believed gone.

mod relay;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use base::time::Time;

use crate::Entry;
use crate::call::Event;

/// Time after the store's return was noticed in which writers whose leases lapsed put their keys back: the platform
/// says about two seconds.
const RETURN: Duration = Duration::from_secs(2);
/// Time for which calls must have failed for leases to have lapsed; a connection that was cut alone is no outage.
const AWAY: Duration = Duration::from_millis(300);

/// Deleted keys that are remembered for other copies.
const GONE: usize = 4_096;

/// A key as it was last seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Its value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
    /// When this value was first seen.
    pub first_seen: Time,
    /// Until when the key is kept although it is missing.
    missing: Option<Time>,
}

/// The copy.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    held: BTreeMap<String, Record>,
    revision: u64,
    /// Revision of the latest change below each folder, the first part of a key.
    latest: BTreeMap<String, u64>,
    /// When the store last answered.
    answered: Option<Time>,
    /// Since when calls fail.
    failing: Option<Time>,
    /// Until when missing keys are kept, after the store was away.
    returning: Time,
    /// When the copy was last known to hold all that the store did.
    confirmed: Option<Time>,
    /// Keys deleted after the revision `gone_since`, in the order in which that was learnt.
    gone: VecDeque<(String, u64)>,
    gone_since: u64,
}

impl Mirror {
    /// An empty copy.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision up to which changes are known.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// When the store last answered.
    pub const fn last_answer(&self) -> Option<Time> {
        self.answered
    }

    /// Keys that start with `prefix`, in order.
    pub fn range<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Record)> {
        let from = self.held.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix)).map(|(key, held)| (key.as_str(), held))
    }

    /// One key.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.held.get(key)
    }

    /// Revision of the latest change below `folder`; zero if nothing is known of it.
    pub fn latest_revision(&self, folder: &str) -> u64 {
        self.latest.get(folder).copied().unwrap_or(0)
    }

    /// The store answered a call that was made at `sent`; says whether it was away before.
    pub fn record_answer(&mut self, sent: Time, now: Time) -> bool {
        let away = self.failing.take().is_some_and(|since| sent.since(since) > AWAY);
        if away {
            self.returning = now + RETURN;
        }
        self.answered = Some(now);
        away
    }

    /// Calls fail since `since`: until one is answered, leases may lapse.
    pub fn record_failure(&mut self, since: Time) {
        self.failing.get_or_insert(since);
    }

    /// Takes in changes up to `revision`; says whether anything changed.
    pub fn apply(&mut self, events: Vec<Event>, revision: u64, now: Time) -> bool {
        let mut changed = false;
        for event in events {
            changed |= match event {
                Event::Put(entry) => self.put(entry, now),
                Event::Delete(key, revision) => self.delete(&key, revision, now),
            };
        }
        self.revision = self.revision.max(revision);
        changed
    }

    /// Takes a whole list that was true at `revision`; says whether anything changed.
    pub fn replace(&mut self, entries: Vec<Entry>, revision: u64, now: Time) -> bool {
        let listed: BTreeSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        let mut changed = self.lose_all_but(&listed, revision, now);
        for entry in entries {
            changed |= self.put(entry, now);
        }
        self.learn_whole(revision);
        changed
    }

    /// The copy held all that the store did at `as_of`; says whether that is news.
    pub fn confirm(&mut self, as_of: Time) -> bool {
        let news = self.confirmed.is_none_or(|known| known < as_of);
        if news {
            self.confirmed = Some(as_of);
            // Somebody reaches the store: a call of our own that failed before is no outage of it.
            self.failing = self.failing.filter(|since| *since > as_of);
        }
        news
    }

    /// How long ago the copy was last known to hold all that the store did; `None` if it never was.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Drops the keys that are not `listed` at `revision`.
    fn lose_all_but(&mut self, listed: &BTreeSet<&str>, revision: u64, now: Time) -> bool {
        let missing =
            self.held.iter().filter(|(key, held)| held.revision <= revision && !listed.contains(key.as_str()));
        let missing: Vec<String> = missing.map(|(key, _)| key.clone()).collect();
        let mut changed = false;
        for key in missing {
            changed |= self.lose(&key, revision, now);
        }
        changed
    }

    /// All that there was at `revision` is known; what was deleted before is not.
    fn learn_whole(&mut self, revision: u64) {
        if self.revision == 0 || revision > self.revision {
            self.gone_since = revision;
            self.gone.retain(|(_, deleted)| *deleted > revision);
        }
        self.revision = self.revision.max(revision);
    }

    /// Drops keys that did not come back in time; says whether anything changed.
    pub fn remove_expired(&mut self, now: Time) -> bool {
        let before = self.held.len();
        let gone = self.held.iter().filter(|(_, held)| held.missing.is_some_and(|until| now >= until));
        let gone: Vec<String> = gone.map(|(key, _)| key.clone()).collect();
        for key in gone {
            self.held.remove(&key);
            self.note_change(&key, self.revision);
        }
        self.held.len() != before
    }

    fn note_change(&mut self, key: &str, revision: u64) {
        let folder = key.split('/').next().unwrap_or_default();
        let latest = self.latest.entry(folder.to_owned()).or_default();
        *latest = revision.max(*latest);
    }

    fn put(&mut self, entry: Entry, now: Time) -> bool {
        let known = self.held.get_mut(&entry.key);
        if let Some(known) = known {
            if known.revision >= entry.revision {
                return false;
            }
            known.missing = None;
            known.revision = entry.revision;
            if known.value == entry.value {
                return false;
            }
        }
        self.note_change(&entry.key, entry.revision);
        let held = Record { value: entry.value, revision: entry.revision, first_seen: now, missing: None };
        self.held.insert(entry.key, held);
        true
    }

    fn delete(&mut self, key: &str, revision: u64, now: Time) -> bool {
        // Noted also if the key is not held: another copy may hold it.
        self.note_gone(key, revision);
        if self.held.get(key).is_none_or(|held| held.revision >= revision) {
            return false;
        }
        self.lose(key, revision, now)
    }

    /// Remembers a deletion for other copies.
    fn note_gone(&mut self, key: &str, revision: u64) {
        self.gone.push_back((key.to_owned(), revision));
        if self.gone.len() > GONE
            && let Some((_, forgotten)) = self.gone.pop_front()
        {
            self.gone_since = self.gone_since.max(forgotten);
        }
    }

    /// A key is missing as of `revision`: it is gone, or kept for a moment after the store was away.
    fn lose(&mut self, key: &str, revision: u64, now: Time) -> bool {
        let returning = self.returning;
        let Some(held) = self.held.get_mut(key) else { return false };
        if now < returning {
            held.missing.get_or_insert(returning);
            return false;
        }
        self.held.remove(key);
        self.note_change(key, revision);
        true
    }
}
