//! What backend servers announce in their answers: that they are leaving, ask for a pause, or limit the rate of requests.
//!
//! Announcements are kept apart from the list of servers, which may lag behind, omit a server for a moment, or show it
//! as ready for too long.

use std::collections::BTreeMap;
use std::time::Duration;

use base::rate::Limit;
use base::time::Time;

use crate::backend::BackendId;

/// Maximum length of a pause; longer ones are cut to it.
const MAX_PAUSE: Duration = Duration::from_mins(10);
/// Time after which a limit that is still stated is told to others again.
const LIMIT_NEWS_INTERVAL: Duration = Duration::from_secs(45);
/// Maximum number of servers with announcements; those that expire first are evicted first.
const MAX_ENTRIES: usize = 4_096;

/// What an observation of a rate limit adds to what was known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum News {
    /// Nothing that others have to learn.
    None,
    /// The limit still applies; others are told from time to time, so that it does not expire there.
    Confirmed,
    /// The limit began, changed or ended.
    Changed {
        /// Requests per second until now; `None` for no limit.
        before: Option<f64>,
    },
}

/// What one server last announced.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Announcement {
    /// Until when the server counts as leaving; zero if it has not announced that.
    leaving_until: Time,
    /// End of the pause; zero if there was none.
    paused_until: Time,
    /// The last observed rate limit; `None` if it never had one.
    rate_limit: Option<Limit>,
    /// When the limit was observed that was last told to others.
    limit_news_at: Time,
    /// Whether it last stated a limit that cannot be read.
    limit_unreadable: bool,
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

    /// Returns the last observed rate limit; `None` if the server never had one.
    pub const fn rate_limit(&self) -> Option<Limit> {
        self.rate_limit
    }

    /// Returns when nothing of the announcement applies any longer.
    fn expires_at(&self) -> Time {
        let limited_until = self.rate_limit.map_or(Time::ZERO, |limit| limit.ends_at());
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

    /// Records a rate limit of `server`, unless a later observation is known. Returns what is new about it.
    pub fn record_rate_limit(&mut self, server: BackendId, limit: Limit, now: Time) -> News {
        let known = self.get(server);
        let before = known.rate_limit.filter(|known| now < known.ends_at()).and_then(|known| known.per_second);
        let outdated = known.rate_limit.is_some_and(|known| limit.observed_at <= known.observed_at);
        if outdated || (before, limit.per_second) == (None, None) {
            return News::None;
        }
        let changed = before != limit.per_second;
        let due = limit.observed_at.since(known.limit_news_at) >= LIMIT_NEWS_INTERVAL;
        let announcement = self.entry(server, now);
        announcement.limit_unreadable = false;
        announcement.rate_limit = Some(limit);
        if !changed && !due {
            return News::None;
        }
        announcement.limit_news_at = limit.observed_at;
        if changed { News::Changed { before } } else { News::Confirmed }
    }

    /// Records that `server` states a rate limit that cannot be read. Returns whether this is new.
    pub fn record_unreadable(&mut self, server: BackendId, now: Time) -> bool {
        !std::mem::replace(&mut self.entry(server, now).limit_unreadable, true)
    }

    /// Returns the rate limits that apply, by server.
    pub fn rate_limits(&self, now: Time) -> impl Iterator<Item = (BackendId, Limit)> {
        let limits = self.0.iter().filter_map(|(server, announcement)| Some((*server, announcement.rate_limit?)));
        limits.filter(move |(_, limit)| limit.per_second.is_some() && now < limit.ends_at())
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
