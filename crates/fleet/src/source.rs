//! From whom a daemon learns of changes in the platform's store.
//!
//! Load pattern: each call of the store is paid for, and hundreds of daemons all want to know the same. In each region
//! the first daemon in an order that all of them know watches the store. The first one of each other failure domain
//! learns from it, and the others of a failure domain from their first. So calls grow with the regions, bytes between
//! regions with them, and bytes between failure domains with these.

use std::collections::BTreeMap;
use std::time::Duration;

use base::hash;
use base::time::Time;

/// Age of knowledge from which on a daemon looks for another source: the store confirms it about once a second.
pub const STALE_AFTER: Duration = Duration::from_millis(1_250);
/// The same for what comes through a daemon that does so itself.
pub const RELAYED_STALE_AFTER: Duration = Duration::from_millis(1_500);
/// Age of its knowledge at which a daemon asks the store itself, whatever its source says.
pub const MAX_STALENESS: Duration = Duration::from_millis(1_700);
/// How long a source that was found silent or stale is not asked; it doubles each time in a row.
const AVOIDED: Duration = Duration::from_secs(3);
/// Longest time for which it is not asked.
const LONGEST_AVOIDED: Duration = Duration::from_secs(48);
/// Time after which a source that was asked again and was sound is as good as any.
const RECOVERY: Duration = Duration::from_secs(10);

/// Where a daemon learns of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source<'a> {
    /// From the store.
    Store,
    /// From the first daemon of the region, which watches the store.
    RegionLeader(&'a str),
    /// From another daemon of the failure domain, which learns from the first of the region.
    DomainLeader(&'a str),
}

impl Source<'_> {
    /// Age of what it tells from which on another source is looked for.
    pub const fn stale_after(&self) -> Duration {
        match self {
            Self::Store | Self::RegionLeader(_) => STALE_AFTER,
            Self::DomainLeader(_) => RELAYED_STALE_AFTER,
        }
    }
}

/// The source of the daemon `own` among the living daemons of its region, itself among them: failure domains by name.
pub fn choose<'a>(own: &str, region: &BTreeMap<&'a str, &'a str>) -> Source<'a> {
    let Some(domain) = region.get(own) else { return Source::Store };
    let rank = |name: &str| hash::bytes(name.as_bytes());
    let first = region.keys().copied().max_by_key(|name| rank(name));
    let near = region.iter().filter(|(_, of)| *of == domain).map(|(name, _)| *name).max_by_key(|name| rank(name));
    match (first, near) {
        (Some(first), _) if first == own => Source::Store,
        (Some(first), Some(near)) if near == own || near == first => Source::RegionLeader(first),
        (_, Some(near)) => Source::DomainLeader(near),
        _ => Source::Store,
    }
}

/// Sources that were found silent or stale.
#[derive(Debug, Clone, Default)]
pub struct Backoff(BTreeMap<String, Fault>);

/// A source that was found silent or stale.
#[derive(Debug, Clone, Copy)]
struct Fault {
    until: Time,
    /// How long it was not asked then.
    time: Duration,
}

impl Backoff {
    /// None.
    pub const fn new() -> Self {
        Self(BTreeMap::new())
    }

    /// `name` was silent or stale at `now`.
    pub fn record_failure(&mut self, name: &str, now: Time) {
        self.0.retain(|_, fault| now < fault.until + RECOVERY);
        let before = self.0.get(name).map(|fault| fault.time * 2);
        let time = before.unwrap_or(AVOIDED).min(LONGEST_AVOIDED);
        self.0.insert(name.to_owned(), Fault { until: now + time, time });
    }

    /// Whether `name` is not to be asked at `now`.
    pub fn is_active(&self, name: &str, now: Time) -> bool {
        self.0.get(name).is_some_and(|fault| now < fault.until)
    }
}
