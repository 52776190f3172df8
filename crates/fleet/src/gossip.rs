//! Updates that are passed on in the gossip messages of a limited time.

use std::time::Duration;

use base::time::Time;

/// Messages in which a daemon passes an update on: with five, about one daemon in 150 does not receive it.
const MAX_SENDS: u32 = 5;
/// How long an update is passed on.
const SPREAD_TIME: Duration = Duration::from_secs(30);

/// Updates of one kind that are being passed on.
#[derive(Debug, Clone)]
pub struct Gossip<T>(Vec<Update<T>>);

#[derive(Debug, Clone, Copy)]
struct Update<T> {
    value: T,
    expires_at: Time,
    /// Messages that contained it.
    sent: u32,
    /// Whether it is in every message until it expires, so that all daemons receive it.
    persistent: bool,
}

impl<T: Copy + PartialEq> Gossip<T> {
    /// Creates an empty set of updates.
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    /// Adds an update that goes into a few messages.
    pub fn add(&mut self, value: T, now: Time) {
        if !self.0.iter().any(|update| update.value == value) {
            self.0.push(Update { value, expires_at: now + SPREAD_TIME, sent: 0, persistent: false });
        }
    }

    /// Removes the updates that `matches` accepts.
    pub fn remove(&mut self, matches: impl Fn(&T) -> bool) {
        self.0.retain(|update| !matches(&update.value));
    }

    /// Adds an update that all daemons must receive: it goes into every message until it expires.
    pub fn add_persistent(&mut self, value: T, now: Time) {
        self.add(value, now);
        let matching = self.0.iter_mut().filter(|update| update.value == value);
        matching.for_each(|update| update.persistent = true);
    }

    /// Returns up to `limit` updates for the next message and counts them as sent.
    ///
    /// Persistent ones come first, then those sent least often, so that all of a large burst are sent.
    pub fn next_batch(&mut self, limit: usize, now: Time) -> Vec<T> {
        self.0.retain(|update| now < update.expires_at && (update.persistent || update.sent < MAX_SENDS));
        self.0.sort_by_key(|update| (!update.persistent, update.sent));
        let batch = self.0.iter_mut().take(limit);
        batch
            .map(|update| {
                update.sent += 1;
                update.value
            })
            .collect()
    }
}

impl<T: Copy + PartialEq> Default for Gossip<T> {
    fn default() -> Self {
        Self::new()
    }
}
