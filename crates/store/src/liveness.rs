//! Detects a stalled watch.
//!
//! A watch is a long poll. If the store was unavailable for a moment, or a middlebox dropped the connection's state,
//! the watch keeps waiting without an error. Cheap calls in parallel, the liveness checks, reveal that: the store's
//! revision advances while the watch returns nothing, or a check fails and the next one is answered.

use std::time::Duration;

use base::time::Time;
use base::version::Version;

/// Round trips of a check that the watch may take to return a change: its own call, the transfer of the changes and the
/// next call.
const ROUND_TRIPS: u32 = 3;
/// Additional time for the watch to return a change that a check has seen: scheduling delays on both sides.
const SLACK: Duration = Duration::from_millis(200);

/// The results of the checks so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Liveness {
    /// Whether a check failed and none was answered since.
    missed: bool,
    /// A version that the watch has not reached yet, and the deadline for it.
    awaited: Option<(Version, Time)>,
    /// The version in the last answer, and when that check was sent.
    last_answer: Option<(Version, Time)>,
}

impl Liveness {
    /// Creates the state before the first check.
    pub const fn new() -> Self {
        Self { missed: false, awaited: None, last_answer: None }
    }

    /// Records that a check was not answered.
    pub const fn record_failure(&mut self) {
        self.missed = true;
    }

    /// Records that a check sent at `sent` was answered with the store's `version`; returns whether the watch has
    /// stalled. The watch has returned changes up to the version `known`, and its caller pauses for `gather` between
    /// watches so that one call returns several changes.
    pub fn record_answer(
        &mut self,
        version: impl Into<Version>,
        known: impl Into<Version>,
        gather: Duration,
        sent: Time,
        now: Time,
    ) -> bool {
        let (version, known) = (version.into(), known.into());
        self.last_answer = Some((version, sent));
        // A watch that began before the store was restored waits for a revision of the former era.
        if std::mem::take(&mut self.missed) || version.era > known.era {
            self.awaited = None;
            return true;
        }
        if self.awaited.is_none() && version > known {
            self.awaited = Some((version, now + gather * 2 + now.since(sent) * ROUND_TRIPS + SLACK));
        }
        self.check_overdue(known, now)
    }

    /// Returns a time at which the store had no changes beyond the version `known`: when the last answered check was
    /// sent; `None` if its answer showed a later version.
    pub fn confirmed(&self, known: impl Into<Version>) -> Option<Time> {
        let known = known.into();
        self.last_answer.filter(|(version, _)| version.era == known.era && *version <= known).map(|(_, sent)| sent)
    }

    /// Returns whether the watch should have returned a version above `known` by `now`. Returns true only once for
    /// each missed deadline.
    pub fn check_overdue(&mut self, known: impl Into<Version>, now: Time) -> bool {
        let known = known.into();
        self.awaited = self.awaited.filter(|(version, _)| *version > known);
        let overdue = self.awaited.is_some_and(|(_, deadline)| now >= deadline);
        if overdue {
            self.awaited = None;
        }
        overdue
    }

    /// Returns when the watch becomes overdue; `None` if no version is awaited.
    pub fn next_deadline(&self) -> Option<Time> {
        self.awaited.map(|(_, deadline)| deadline)
    }
}
