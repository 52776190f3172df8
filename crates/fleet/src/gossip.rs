//! News that is passed on from member to member in the messages of a while.

use std::time::Duration;

use base::time::Time;

/// Messages in which each daemon passes a piece of news on: with five about one daemon in 150 does not hear.
const MESSAGES: u32 = 5;
/// How long a piece of news is passed on.
const SPREAD: Duration = Duration::from_secs(30);

/// News of one kind.
#[derive(Debug, Clone)]
pub struct Gossip<T>(Vec<Update<T>>);

#[derive(Debug, Clone, Copy)]
struct Update<T> {
    what: T,
    until: Time,
    /// Messages that held it.
    sent: u32,
    /// Whether all must hear of it.
    lasting: bool,
}

impl<T: Copy + PartialEq> Gossip<T> {
    /// No news.
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    /// News to be passed on in a few messages.
    pub fn add(&mut self, what: T, now: Time) {
        if !self.0.iter().any(|known| known.what == what) {
            self.0.push(Update { what, until: now + SPREAD, sent: 0, lasting: false });
        }
    }

    /// News that all must hear of: it is in every message for a while.
    pub fn add_persistent(&mut self, what: T, now: Time) {
        self.add(what, now);
        let known = self.0.iter_mut().filter(|known| known.what == what);
        known.for_each(|known| known.lasting = true);
    }

    /// What the next message tells, `most` at most: what all must hear of, then what was told least often, so that many
    /// that come at once are all told.
    pub fn next_batch(&mut self, most: usize, now: Time) -> Vec<T> {
        self.0.retain(|known| now < known.until && (known.lasting || known.sent < MESSAGES));
        self.0.sort_by_key(|known| (!known.lasting, known.sent));
        let told = self.0.iter_mut().take(most);
        told.map(|known| {
            known.sent += 1;
            known.what
        })
        .collect()
    }
}

impl<T: Copy + PartialEq> Default for Gossip<T> {
    fn default() -> Self {
        Self::new()
    }
}
