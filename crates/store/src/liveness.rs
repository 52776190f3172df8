//! Tells when a watch has stalled.
//!
//! A watch waits for a long time, and a store that was away for a moment, or a connection that something in between
//! has forgotten, leaves it waiting without an error. Cheap calls beside it, liveness checks, show that: the store's
//! revision moves on while the watch tells nothing, or a check failed and the next one is answered.

use std::time::Duration;

use base::time::Time;

/// Answers that a watch may take longer than a check: its own call, the changes' way and the next call.
const ANSWERS: u32 = 3;
/// Time besides in which a change that a check has seen reaches the watch: some scheduling on both sides.
const SLACK: Duration = Duration::from_millis(200);

/// What the checks have shown so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Liveness {
    /// Whether a check failed and none was answered since.
    missed: bool,
    /// A revision that the watch has yet to reach, and until when.
    awaited: Option<(u64, Time)>,
    /// The revision of the last answer and when its check was sent.
    last: Option<(u64, Time)>,
}

impl Liveness {
    /// Nothing is known yet.
    pub const fn new() -> Self {
        Self { missed: false, awaited: None, last: None }
    }

    /// A check was not answered.
    pub const fn record_failure(&mut self) {
        self.missed = true;
    }

    /// A check sent at `sent` was answered with the store's `revision`, while the watch has told of changes up to
    /// `known` and gathers them for `gather`; says whether the watch stalled.
    pub fn record_answer(&mut self, revision: u64, known: u64, gather: Duration, sent: Time, now: Time) -> bool {
        self.last = Some((revision, sent));
        if std::mem::take(&mut self.missed) {
            self.awaited = None;
            return true;
        }
        if self.awaited.is_none() && revision > known {
            self.awaited = Some((revision, now + gather * 2 + now.since(sent) * ANSWERS + SLACK));
        }
        self.check_overdue(known, now)
    }

    /// When all changes up to `known` were all there were, if the last answer shows it.
    pub fn confirmed(&self, known: u64) -> Option<Time> {
        self.last.filter(|(revision, _)| *revision <= known).map(|(_, sent)| sent)
    }

    /// Whether the watch should have told by `now` of a revision above `known`.
    pub fn check_overdue(&mut self, known: u64, now: Time) -> bool {
        self.awaited = self.awaited.filter(|(revision, _)| *revision > known);
        let overdue = self.awaited.is_some_and(|(_, until)| now >= until);
        if overdue {
            self.awaited = None;
        }
        overdue
    }

    /// When `check_overdue` is worth asking.
    pub fn next_deadline(&self) -> Option<Time> {
        self.awaited.map(|(_, until)| until)
    }
}
