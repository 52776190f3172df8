//! What backend servers say of themselves with their answers: that they leave, or want nothing for a while.
//!
//! It is kept apart from the list of servers, which may lag behind, lose a server for a moment or name it as ready for
//! longer than it is.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;

use crate::backend::BackendId;

/// Longest pause that a server is believed to want.
const MAX_PAUSE: Duration = Duration::from_mins(10);
/// Servers remembered at most; those whose words end first go first.
const MAX_ENTRIES: usize = 4_096;

/// What one server said last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Announcement {
    /// Until when it counts as leaving; zero if it did not say so.
    leaving_until: Time,
    /// Until when it wants nothing.
    paused_until: Time,
}

impl Announcement {
    /// Whether it leaves.
    pub fn is_leaving(&self, now: Time) -> bool {
        now < self.leaving_until
    }

    /// Until when it wants nothing; in the past if it takes work.
    pub const fn paused_until(&self) -> Time {
        self.paused_until
    }

    /// When nothing of it counts any more.
    fn expires_at(&self) -> Time {
        self.leaving_until.max(self.paused_until)
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
    pub fn record_leaving(&mut self, server: BackendId, until: Time, now: Time) -> bool {
        let announcement = self.entry(server, now);
        let is_new = !announcement.is_leaving(now);
        announcement.leaving_until = announcement.leaving_until.max(until);
        is_new
    }

    /// `server` wants nothing for `pause`.
    pub fn record_pause(&mut self, server: BackendId, pause: Duration, now: Time) {
        let announcement = self.entry(server, now);
        announcement.paused_until = announcement.paused_until.max(now + pause.min(MAX_PAUSE));
    }

    /// The servers that leave.
    pub fn leaving(&self, now: Time) -> impl Iterator<Item = BackendId> {
        self.0.iter().filter(move |(_, announcement)| announcement.is_leaving(now)).map(|(server, _)| *server)
    }

    fn entry(&mut self, server: BackendId, now: Time) -> &mut Announcement {
        if self.0.len() >= MAX_ENTRIES && !self.0.contains_key(&server) {
            self.0.retain(|_, announcement| now < announcement.expires_at());
            let first =
                self.0.iter().min_by_key(|(_, announcement)| announcement.expires_at()).map(|(server, _)| *server);
            first.filter(|_| self.0.len() >= MAX_ENTRIES).map(|first| self.0.remove(&first));
        }
        self.0.entry(server).or_default()
    }
}
