//! A mirror of a part of the store, built from a list of keys and the changes after it.
//!
//! A key that is missing soon after an outage of the store may have been deleted with a lease that its holder could not
//! renew; it is kept for a grace period, in which its writer can write it again.

mod era;
mod relay;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Range;
use std::time::Duration;

use base::time::Time;
use base::version::Version;

use self::era::{Deletion, Withheld};
pub use self::era::{Order, OrderFn};
use crate::Entry;
use crate::call::Event;
use crate::pages::Gap;

/// Time after the end of an outage was noticed in which writers whose leases expired write their keys again; the
/// platform documents about two seconds.
const GRACE_PERIOD: Duration = Duration::from_secs(2);
/// Time without contact with the store in which leases may have expired. Longer than the age of its knowledge at which
/// a daemon asks the store itself, so a daemon whose source alone lost the store does not take that for an outage.
const MIN_OUTAGE: Duration = Duration::from_secs(2);

/// Maximum number of deletions that are kept for other mirrors.
const MAX_TOMBSTONES: usize = 4_096;

/// A key as it was last seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change, in the mirror's era; zero if it was not seen in this era yet.
    pub revision: u64,
    /// When this value was first seen.
    pub first_seen: Time,
    /// Whether the value is known from an earlier era only: an older one does not replace it.
    carried: bool,
    /// When the key is removed; set while it is missing in the store and kept for the grace period.
    expires_at: Option<Time>,
}

/// A mirror of a part of the store.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    records: BTreeMap<String, Record>,
    /// The store's era, to which all revisions here belong.
    era: u64,
    revision: u64,
    /// Revision of the latest change in each folder, which is the part of a key before the first slash.
    latest_revisions: BTreeMap<String, u64>,
    /// Number of changes in each folder so far.
    change_counts: BTreeMap<String, u64>,
    /// Tells which of two values of a key is the older one; see [`Mirror::with_order`].
    order: Option<OrderFn>,
    /// End of the grace period after the change of the era.
    carry_until: Time,
    /// Keys that were deleted, for a restored store that lists them again.
    deleted: BTreeMap<String, Deletion>,
    /// Keys that the store lists in this era although they were deleted in an earlier one.
    withheld: BTreeMap<String, Withheld>,
    /// Keys of which the last list said nothing.
    gaps: Vec<Gap>,
    /// When all keys were last listed.
    listed_at: Time,
    /// When the store last answered.
    last_answer: Option<Time>,
    /// Since when calls have failed; `None` if the last one was answered.
    failing_since: Option<Time>,
    /// End of the grace period after an outage of the store, until which missing keys are kept.
    grace_until: Time,
    /// When changes from another mirror last ended an interruption: [`MIN_OUTAGE`] or more without contact with the store.
    resumed_at: Option<Time>,
    /// Latest time at which the mirror is known to have been up to date.
    confirmed_at: Option<Time>,
    /// Keys deleted after the revision `tombstones_since`, in the order in which the deletions became known.
    tombstones: VecDeque<(String, u64)>,
    /// Revision after which `tombstones` has all deletions, but for `unseen`.
    tombstones_since: u64,
    /// Revisions between which a list replaced the changes: keys that were both written and deleted there are unknown.
    unseen: Range<u64>,
}

impl Mirror {
    /// Creates an empty mirror.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version up to which changes are known; its revision is zero if the mirror is empty.
    pub const fn version(&self) -> Version {
        Version::new(self.era, self.revision)
    }

    /// Returns the revision up to which changes are known; zero if the mirror is empty.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns when the store last answered a call of this daemon; `None` if it never did.
    pub const fn last_answer(&self) -> Option<Time> {
        self.last_answer
    }

    /// Returns the keys of which the last list said nothing.
    pub fn gaps(&self) -> &[Gap] {
        &self.gaps
    }

    /// Whether the last list is older than `age` and said nothing of some keys.
    pub fn lacks_keys(&self, age: Duration, now: Time) -> bool {
        !self.gaps.is_empty() && now.since(self.listed_at) >= age
    }

    /// Returns the keys that start with `prefix`, in order.
    pub fn range<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Record)> {
        let from = self.records.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix)).map(|(key, record)| (key.as_str(), record))
    }

    /// Returns the record of `key`, if the mirror holds it.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    /// Returns the revision of the latest change in `folder`; zero if none is known.
    pub fn latest_revision(&self, folder: &str) -> u64 {
        self.latest_revisions.get(folder).copied().unwrap_or(0)
    }

    /// Returns the number of changes in `folder` so far.
    pub fn change_count(&self, folder: &str) -> u64 {
        self.change_counts.get(folder).copied().unwrap_or(0)
    }

    /// Records that the store answered a call made at `sent`; returns whether that ended an outage, which starts the
    /// grace period.
    pub fn record_answer(&mut self, sent: Time, now: Time) -> bool {
        let contact = self.last_answer.max(self.confirmed_at);
        let outage = self.failing_since.take().is_some_and(|since| sent.since(contact.unwrap_or(since)) >= MIN_OUTAGE);
        if outage {
            self.grace_until = now + GRACE_PERIOD;
        }
        self.last_answer = Some(now);
        outage
    }

    /// Records that calls have failed since `since`: leases may expire until one is answered.
    pub fn record_failure(&mut self, since: Time) {
        self.failing_since.get_or_insert(since);
    }

    /// Applies the changes up to `version`, which may come in any order; returns whether anything changed. Changes of another
    /// era are ignored: they do not follow on what the mirror holds. Of an earlier version, only later changes are applied: the
    /// others are known, and could restore keys deleted since.
    pub fn apply(&mut self, mut events: Vec<Event>, version: impl Into<Version>, now: Time) -> bool {
        let Version { era, revision } = version.into();
        if era != self.era {
            return false;
        }
        let is_behind = revision < self.revision;
        events.retain(|event| !is_behind || event.revision() > self.revision);
        events.sort_by_key(Event::revision);
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

    /// Replaces all keys with the list of `entries` as of `version`; returns whether anything changed. Newer keys of
    /// the mirror stay. A list of an earlier era is ignored; the first list of a later one begins that era.
    pub fn replace(&mut self, entries: Vec<Entry>, version: impl Into<Version>, now: Time) -> bool {
        self.replace_except(entries, Vec::new(), version, now)
    }

    /// Does the same with a list that says nothing of the keys in `gaps`, which stay as they are.
    pub fn replace_except(
        &mut self,
        entries: Vec<Entry>,
        gaps: Vec<Gap>,
        version: impl Into<Version>,
        now: Time,
    ) -> bool {
        let Version { era, revision } = version.into();
        if era < self.era {
            return false;
        }
        if era > self.era {
            self.begin_era(era, now);
        }
        let listed: BTreeSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        let mut changed = self.remove_unlisted(&listed, &gaps, revision, now);
        let is_behind = revision < self.revision;
        for entry in entries {
            if !(is_behind && self.is_deleted_since(&entry)) {
                changed |= self.put_listed(entry, now, now);
            }
        }
        self.finish_full_sync(revision, gaps);
        self.listed_at = now;
        changed
    }

    /// Records that the mirror was up to date at `as_of`; returns whether that is later than known before.
    pub fn confirm(&mut self, as_of: Time) -> bool {
        let is_new = self.confirmed_at.is_none_or(|known| known < as_of);
        if is_new {
            self.confirmed_at = Some(as_of);
            // Another daemon reached the store, so a failure of this daemon's calls before that was not an outage.
            self.failing_since = self.failing_since.filter(|since| *since > as_of);
        }
        is_new
    }

    /// Returns the latest time at which the mirror is known to have been up to date.
    pub const fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Returns how long ago the mirror was last known to be up to date; `None` if it never was.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|confirmed| now.since(confirmed))
    }

    /// Removes the keys that do not appear in the list of `revision`, unless they are newer than it or in one of its `gaps`.
    fn remove_unlisted(&mut self, listed: &BTreeSet<&str>, gaps: &[Gap], revision: u64, now: Time) -> bool {
        let missing =
            self.records.iter().filter(|(key, record)| record.revision <= revision && !listed.contains(key.as_str()));
        let missing = missing.filter(|(key, _)| !gaps.iter().any(|gap| gap.contains(key)));
        let missing: Vec<String> = missing.map(|(key, _)| key.clone()).collect();
        let mut changed = false;
        for key in missing {
            if revision > self.revision {
                self.record_tombstone(&key, revision);
            }
            changed |= self.remove(&key, revision, now);
        }
        changed
    }

    /// Whether an entry of a list that is older than the mirror is of a key that was deleted since.
    fn is_deleted_since(&self, entry: &Entry) -> bool {
        entry.revision <= self.revision && self.deleted.contains_key(&entry.key)
    }

    /// Completes a full synchronization: all keys as of `revision` are known, but those in `gaps`, and of the deletions since
    /// the revision before it those of the keys that were known then.
    ///
    /// A mirror that is between the two revisions may hold other keys, and gets all. So does one that is before an earlier
    /// such span, since only one is kept, and any one if a list said nothing of some keys.
    fn finish_full_sync(&mut self, revision: u64, gaps: Vec<Gap>) {
        let lacked_keys = !self.gaps.is_empty() || !gaps.is_empty();
        self.gaps = gaps;
        if self.revision == 0 || (revision > self.revision && lacked_keys) {
            self.tombstones_since = revision;
            self.tombstones.retain(|(_, deleted)| *deleted > revision);
        } else if revision > self.revision {
            self.tombstones_since = self.tombstones_since.max(self.unseen.end);
            self.unseen = self.revision + 1..revision;
        }
        self.revision = self.revision.max(revision);
    }

    /// Removes missing keys that were not written again within the grace period, and adopts withheld ones that their
    /// store still lists; returns whether there were any.
    pub fn remove_expired(&mut self, now: Time) -> bool {
        let adopted = self.adopt_withheld(now);
        let before = self.records.len();
        let expired =
            self.records.iter().filter(|(_, record)| record.expires_at.is_some_and(|expires_at| now >= expires_at));
        let expired: Vec<String> = expired.map(|(key, _)| key.clone()).collect();
        for key in expired {
            self.forget(&key, now);
            self.record_change(&key, self.revision);
        }
        adopted || self.records.len() != before
    }

    fn record_change(&mut self, key: &str, revision: u64) {
        self.record_revision(key, revision);
        *self.change_counts.entry(folder(key).to_owned()).or_default() += 1;
    }

    fn record_revision(&mut self, key: &str, revision: u64) {
        let latest = self.latest_revisions.entry(folder(key).to_owned()).or_default();
        *latest = revision.max(*latest);
    }

    fn put(&mut self, entry: Entry, now: Time) -> bool {
        let is_older = self.is_older_than_carried(&entry);
        let known = self.records.get_mut(&entry.key);
        if let Some(known) = known {
            if known.revision >= entry.revision {
                return false;
            }
            let was_carried = known.carried;
            known.expires_at = None;
            known.revision = entry.revision;
            known.carried = is_older;
            if known.value == entry.value || is_older {
                if was_carried {
                    self.record_revision(&entry.key, entry.revision);
                }
                return false;
            }
        }
        self.withheld.remove(&entry.key);
        self.deleted.remove(&entry.key);
        self.record_change(&entry.key, entry.revision);
        let Entry { key, value, revision } = entry;
        self.records.insert(key, Record { value, revision, first_seen: now, carried: false, expires_at: None });
        true
    }

    fn delete(&mut self, key: &str, revision: u64, now: Time) -> bool {
        self.withheld.remove(key);
        // Recorded even if this mirror does not hold the key, because another one may.
        self.record_tombstone(key, revision);
        if self.records.get(key).is_none_or(|record| record.revision >= revision) {
            return false;
        }
        self.remove(key, revision, now)
    }

    /// Records a deletion for other mirrors.
    fn record_tombstone(&mut self, key: &str, revision: u64) {
        self.tombstones.push_back((key.to_owned(), revision));
        if self.tombstones.len() > MAX_TOMBSTONES
            && let Some((_, removed)) = self.tombstones.pop_front()
        {
            self.tombstones_since = self.tombstones_since.max(removed);
        }
    }

    /// Removes a key that is missing as of `revision`, or schedules its removal for the end of the grace period;
    /// returns whether it was removed now.
    fn remove(&mut self, key: &str, revision: u64, now: Time) -> bool {
        let grace_until = self.grace_until;
        let Some(record) = self.records.get_mut(key) else { return false };
        if now < grace_until {
            record.expires_at.get_or_insert(grace_until);
            return false;
        }
        self.forget(key, now);
        self.record_change(key, revision);
        true
    }
}

/// Returns the part of a key before the first slash.
fn folder(key: &str) -> &str {
    key.split('/').next().unwrap_or_default()
}
