//! What backend servers announce in their answers: that they are leaving, ask for a pause, or limit the rate of requests.
//!
//! Announcements are kept apart from the list of servers, which may lag behind, omit a server for a moment, or show it
//! as ready for too long.

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;

use crate::backend::BackendId;

/// Maximum length of a pause; longer ones are cut to it.
const MAX_PAUSE: Duration = Duration::from_mins(10);
/// Time after which a rate limit that no answer has confirmed no longer applies.
const LIMIT_MAX_AGE: Duration = Duration::from_mins(3);
/// Maximum number of servers with announcements; those that expire first are evicted first.
const MAX_ENTRIES: usize = 4_096;

/// The rate of requests that a server takes from all daemons together, as last observed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests per second; `None` if the server takes them without a limit.
    pub per_second: Option<f64>,
    /// When the answer arrived that stated it, at this daemon or at the peer that passed it on.
    pub observed_at: Time,
}

/// What one server last announced.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Announcement {
    /// Until when the server counts as leaving; zero if it has not announced that.
    leaving_until: Time,
    /// End of the pause; zero if there was none.
    paused_until: Time,
    /// The last observed rate limit; `None` if it never had one.
    rate_limit: Option<RateLimit>,
}

impl Announcement {
    /// Returns whether the server is leaving.
    pub fn is_leaving(&self, now: Time) -> bool {
        now < self.leaving_until
    }

    /// Returns the end of the announced pause; in the past if there is none.
    pub const fn paused_until(&self) -> Time {
        self.paused_until
    }

    /// Returns the requests per second that the server takes; `None` if it has no limit.
    pub fn per_second(&self) -> Option<f64> {
        self.rate_limit?.per_second
    }

    /// Returns when nothing of the announcement applies any longer.
    fn expires_at(&self) -> Time {
        let limited_until = self.rate_limit.map_or(Time::ZERO, |limit| limit.observed_at + LIMIT_MAX_AGE);
        self.leaving_until.max(self.paused_until).max(limited_until)
    }
}

/// Announcements by server.
#[derive(Debug, Clone, Default)]
pub struct Announcements(BTreeMap<BackendId, Announcement>);

impl Announcements {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what `server` announced; an empty announcement if there is none.
    pub fn get(&self, server: BackendId) -> Announcement {
        self.0.get(&server).copied().unwrap_or_default()
    }

    /// Records that `server` counts as leaving until `until`; returns whether that is new.
    pub fn record_leaving(&mut self, server: BackendId, until: Time, now: Time) -> bool {
        let announcement = self.entry(server, now);
        let is_new = !announcement.is_leaving(now);
        announcement.leaving_until = announcement.leaving_until.max(until);
        is_new
    }

    /// Records that `server` asks for a pause of this length.
    pub fn record_pause(&mut self, server: BackendId, pause: Duration, now: Time) {
        let announcement = self.entry(server, now);
        announcement.paused_until = announcement.paused_until.max(now + pause.min(MAX_PAUSE));
    }

    /// Records a rate limit of `server`, unless a later observation is known. Returns whether its rate changed.
    pub fn record_rate_limit(&mut self, server: BackendId, limit: RateLimit, now: Time) -> bool {
        let known = self.get(server).rate_limit;
        if known.map_or(limit.per_second.is_none(), |known| limit.observed_at <= known.observed_at) {
            return false;
        }
        self.entry(server, now).rate_limit = Some(limit);
        known.and_then(|known| known.per_second) != limit.per_second
    }

    /// Returns the servers that are leaving.
    pub fn leaving(&self, now: Time) -> impl Iterator<Item = BackendId> {
        self.0.iter().filter(move |(_, announcement)| announcement.is_leaving(now)).map(|(server, _)| *server)
    }

    /// Returns the announcement of `server` to update; makes space for it if the set is full.
    fn entry(&mut self, server: BackendId, now: Time) -> &mut Announcement {
        if self.0.len() >= MAX_ENTRIES && !self.0.contains_key(&server) {
            self.0.retain(|_, announcement| now < announcement.expires_at());
            let earliest =
                self.0.iter().min_by_key(|(_, announcement)| announcement.expires_at()).map(|(server, _)| *server);
            earliest.filter(|_| self.0.len() >= MAX_ENTRIES).map(|earliest| self.0.remove(&earliest));
        }
        self.0.entry(server).or_default()
    }
}
