//! Whether this daemon reaches backend servers at all.
//!
//! Load pattern: the daemon's own links to all servers fail while callers, peers and the store reach it. Each failure
//! alone looks like one of its server. Connections to several servers that fail in a row are a suspicion, and trial
//! connections to servers in different failure domains decide it. Requests on connections that are open already show
//! nothing: such connections may live on while new ones fail.

use std::collections::BTreeSet;
use std::time::Duration;

use base::time::Time;

use crate::backend::BackendId;

/// Number of servers in a row that could not be reached, or lost a request, after which the path is suspected.
const SUSPICION_THRESHOLD: usize = 3;
/// Failures that lie further apart are not in a row.
const MAX_FAILURE_GAP: Duration = Duration::from_secs(2);
/// Time between two trials: after a trial that found the path open, and while it is lost.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// What a trial changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No server can be reached any more.
    Lost,
    /// Servers can be reached again.
    Restored,
}

/// The state of the daemon's path to backend servers.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    /// Servers that failed since a connection was last established.
    failed: BTreeSet<BackendId>,
    /// When the first and the last of them failed.
    failed_between: Option<(Time, Time)>,
    /// Since when no server can be reached; `None` while some can.
    lost_since: Option<Time>,
    /// When the last trial began; `None` before the first.
    tried_at: Option<Time>,
}

impl Reach {
    /// Creates the state before the first connection: the path counts as open.
    pub const fn new() -> Self {
        Self { failed: BTreeSet::new(), failed_between: None, lost_since: None, tried_at: None }
    }

    /// Whether no server can be reached.
    pub const fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Whether it is not decided yet if the path is lost.
    pub fn is_suspected(&self) -> bool {
        !self.is_lost() && self.failed.len() >= SUSPICION_THRESHOLD
    }

    /// Records that a connection was established.
    pub fn record_connected(&mut self) {
        self.failed.clear();
        self.failed_between = None;
    }

    /// Records that `server` could not be reached, or that a connection to it was lost without an answer; returns whether
    /// a trial is due.
    pub fn record_failure(&mut self, server: BackendId, now: Time) -> bool {
        let first = match self.failed_between {
            Some((first, last)) if now.since(last) <= MAX_FAILURE_GAP => first,
            _ => {
                self.failed.clear();
                now
            }
        };
        self.failed_between = Some((first, now));
        if self.failed.len() < SUSPICION_THRESHOLD {
            self.failed.insert(server);
        }
        self.is_trial_due(now)
    }

    /// Whether a trial is due: the path is suspected or lost, and the last trial is long enough ago.
    pub fn is_trial_due(&self, now: Time) -> bool {
        (self.is_lost() || self.is_suspected()) && self.tried_at.is_none_or(|at| now.since(at) >= TRIAL_INTERVAL)
    }

    /// Records the start of a trial.
    pub const fn begin_trial(&mut self, now: Time) {
        self.tried_at = Some(now);
    }

    /// Records a trial in which some server was `reached`, or none of several; returns what it changed.
    pub fn finish_trial(&mut self, reached: bool, now: Time) -> Option<Change> {
        let was_lost = self.is_lost();
        if reached {
            self.lost_since = None;
            self.record_connected();
            return was_lost.then_some(Change::Restored);
        }
        if was_lost || !self.is_suspected() {
            return None;
        }
        self.lost_since = Some(self.failed_between.map_or(now, |(first, _)| first));
        Some(Change::Lost)
    }

    /// Returns when the failures began that led to the loss of the path; `None` while it is open.
    pub const fn lost_since(&self) -> Option<Time> {
        self.lost_since
    }
}
