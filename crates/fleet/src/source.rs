//! Selection of the source from which a daemon learns of changes in the platform's store.
//!
//! Load pattern: each call of the store costs money, and hundreds of daemons need the same data. All daemons rank the
//! live daemons in the same order. In each region, the first-ranked daemon (the region leader) watches the store. The
//! first-ranked daemon of each other failure domain (a domain leader) learns from the region leader, and the other
//! daemons learn from the leader of their failure domain. So the number of calls and the bytes between regions grow
//! with the number of regions, and the bytes between failure domains with the number of failure domains.

use std::collections::BTreeMap;
use std::time::Duration;

use base::hash;
use base::time::Time;

/// Age of the data at which a daemon chooses another source: the store confirms its state about once a second.
pub const STALE_AFTER: Duration = Duration::from_millis(1_250);
/// The same for data that comes through a domain leader, which applies [`STALE_AFTER`] to its own source.
pub const RELAYED_STALE_AFTER: Duration = Duration::from_millis(1_500);
/// Age of the data at which a daemon asks the store itself, whatever its source answers.
pub const MAX_STALENESS: Duration = Duration::from_millis(1_700);
/// Longest time for which a source holds a request for changes until there are some.
pub const MAX_WAIT: Duration = Duration::from_secs(1);
/// Shortest such time that a daemon asks for.
pub const MIN_WAIT: Duration = Duration::from_millis(100);
/// How long a silent or stale source is not asked after its first failure; doubled with each failure in a row.
const INITIAL_BACKOFF: Duration = Duration::from_secs(3);
/// Longest time for which a source is not asked.
const MAX_BACKOFF: Duration = Duration::from_secs(48);
/// Time without a failure after the end of a backoff that resets the next backoff to [`INITIAL_BACKOFF`].
const RECOVERY: Duration = Duration::from_secs(10);

/// Where a daemon learns of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source<'a> {
    /// The store.
    Store,
    /// The region leader, by name; it watches the store.
    RegionLeader(&'a str),
    /// The leader of the daemon's failure domain, by name; it learns of changes from the region leader.
    DomainLeader(&'a str),
}

impl Source<'_> {
    /// Returns the age of its data at which another source is chosen.
    pub const fn stale_after(&self) -> Duration {
        match self {
            Self::Store | Self::RegionLeader(_) => STALE_AFTER,
            Self::DomainLeader(_) => RELAYED_STALE_AFTER,
        }
    }
}

/// Returns how long a source is asked to wait for changes by a daemon whose data has this `age`: the answer must come
/// before the data is stale, so that a stale source is noticed in time.
pub fn wait(stale_after: Duration, age: Duration) -> Duration {
    stale_after.saturating_sub(age).clamp(MIN_WAIT, MAX_WAIT)
}

/// Returns the source of the daemon `own`.
///
/// `region` maps the live daemons of its region, `own` among them, to their failure domains. A daemon that is not in
/// the map asks the store.
pub fn choose<'a>(own: &str, region: &BTreeMap<&'a str, &'a str>) -> Source<'a> {
    let Some(domain) = region.get(own) else { return Source::Store };
    let rank = |name: &str| hash::bytes(name.as_bytes());
    let region_leader = region.keys().copied().max_by_key(|name| rank(name));
    let in_domain = region.iter().filter(|(_, of)| *of == domain).map(|(name, _)| *name);
    let domain_leader = in_domain.max_by_key(|name| rank(name));
    match (region_leader, domain_leader) {
        (Some(leader), _) if leader == own => Source::Store,
        (Some(leader), Some(local)) if local == own || local == leader => Source::RegionLeader(leader),
        (_, Some(leader)) => Source::DomainLeader(leader),
        _ => Source::Store,
    }
}

/// Sources that were silent or stale, and until when they are not asked.
#[derive(Debug, Clone, Default)]
pub struct Backoff(BTreeMap<String, Failure>);

/// The last failure of a source.
#[derive(Debug, Clone, Copy)]
struct Failure {
    until: Time,
    /// How long the source is not asked after this failure.
    backoff: Duration,
}

impl Backoff {
    /// Creates a backoff without sources.
    pub const fn new() -> Self {
        Self(BTreeMap::new())
    }

    /// Records that the source `name` was silent or stale at `now`.
    pub fn record_failure(&mut self, name: &str, now: Time) {
        self.0.retain(|_, failure| now < failure.until + RECOVERY);
        let doubled = self.0.get(name).map(|failure| failure.backoff * 2);
        let backoff = doubled.unwrap_or(INITIAL_BACKOFF).min(MAX_BACKOFF);
        self.0.insert(name.to_owned(), Failure { until: now + backoff, backoff });
    }

    /// Whether the source `name` must not be asked at `now`.
    pub fn is_active(&self, name: &str, now: Time) -> bool {
        self.0.get(name).is_some_and(|failure| now < failure.until)
    }
}
