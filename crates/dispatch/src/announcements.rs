//! What backend servers say of themselves with their answers: that they leave, or want nothing for a while.
//!
//! It is kept apart from the list of servers, which may lag behind, lose a server for a moment or name it as ready for
//! longer than it is.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;

use crate::backend::BackendId;

/// Longest pause that a server is believed to want.
const LONGEST_PAUSE: Duration = Duration::from_mins(10);
/// Servers remembered at most; those whose words end first go first.
const MOST: usize = 4_096;

/// What one server said last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Announcement {
    /// Until when it counts as leaving; zero if it did not say so.
    leaves: Time,
    /// Until when it wants nothing.
    paused: Time,
}

impl Announcement {
    /// Whether it leaves.
    pub fn leaves(&self, now: Time) -> bool {
        now < self.leaves
    }

    /// Until when it wants nothing; in the past if it takes work.
    pub const fn paused(&self) -> Time {
        self.paused
    }

    /// When nothing of it counts any more.
    fn end(&self) -> Time {
        self.leaves.max(self.paused)
    }
}

/// What servers said, by number.
#[derive(Debug, Clone, Default)]
pub struct Announcements(BTreeMap<BackendId, Announcement>);

impl Announcements {
    /// Nothing was said.
    pub fn new() -> Self {
        Self::default()
    }

    /// What `server` said.
    pub fn get(&self, server: BackendId) -> Announcement {
        self.0.get(&server).copied().unwrap_or_default()
    }

    /// `server` leaves and counts as leaving until `until`; says whether that is news.
    pub fn leave(&mut self, server: BackendId, until: Time, now: Time) -> bool {
        let word = self.entry(server, now);
        let news = !word.leaves(now);
        word.leaves = word.leaves.max(until);
        news
    }

    /// `server` wants nothing for `pause`.
    pub fn pause(&mut self, server: BackendId, pause: Duration, now: Time) {
        let word = self.entry(server, now);
        word.paused = word.paused.max(now + pause.min(LONGEST_PAUSE));
    }

    /// The servers that leave.
    pub fn leaving(&self, now: Time) -> impl Iterator<Item = BackendId> {
        self.0.iter().filter(move |(_, word)| word.leaves(now)).map(|(server, _)| *server)
    }

    fn entry(&mut self, server: BackendId, now: Time) -> &mut Announcement {
        if self.0.len() >= MOST && !self.0.contains_key(&server) {
            self.0.retain(|_, word| now < word.end());
            let first = self.0.iter().min_by_key(|(_, word)| word.end()).map(|(server, _)| *server);
            first.filter(|_| self.0.len() >= MOST).map(|first| self.0.remove(&first));
        }
        self.0.entry(server).or_default()
    }
}
