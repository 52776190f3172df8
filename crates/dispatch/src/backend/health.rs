//! Health of a backend server as this daemon's own attempts show it: how slow it is, and ejections.

use std::time::Duration;

use base::time::Time;

use super::Backend;
use super::pace::Pace;

/// Number of late attempts in a row after which a server is ejected.
const LATE_EJECTION_THRESHOLD: u32 = 2;
/// The same for attempts about objects, counted while no answer at all arrives. Such work is often late because it
/// waits or because its object is cold, and moving the objects away from a server that still answers would add to the
/// work.
const KEYED_LATE_EJECTION_THRESHOLD: u32 = 6;
/// Number of lost answers in a row after which a server is ejected. A single one may be a fault of the network, while
/// a crashed server loses all of them or cannot be reached.
const LOST_EJECTION_THRESHOLD: u32 = 2;
/// Duration of a first ejection; it doubles with each further one in a row.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time without new work after a shed request.
const SHED_PAUSE: Duration = Duration::from_millis(50);
/// Weight of a new latency ratio in the running average.
const LATENCY_EWMA_WEIGHT: f64 = 0.3;
/// Maximum that a single latency ratio counts for, so that one straggler does not make a server look slow.
const MAX_LATENCY_RATIO: f64 = 8.0;

impl Backend {
    /// Returns how long work takes at the server, relative to the typical latency; at least 1, and more while attempts
    /// are late.
    pub fn latency_ratio(&self) -> f64 {
        self.latency_ratio.max(1.0) + f64::from(self.late)
    }

    /// Records an answer after `ratio` times the typical latency; `late` if the attempt was recorded as late, `keyed`
    /// if it was about an object.
    pub fn record_answer(&mut self, ratio: f64, late: bool, keyed: bool, now: Time) {
        self.answers = self.answers.saturating_add(1);
        self.resuming &= self.limit() < self.spec.slots;
        self.lost_in_row = 0;
        if keyed {
            self.late_in_row = 0;
        }
        self.pace_of_start.record_answer(ratio, now);
        self.latency_ratio += LATENCY_EWMA_WEIGHT * (ratio.min(MAX_LATENCY_RATIO) - self.latency_ratio);
        if late {
            return;
        }
        self.late_in_row = 0;
        if self.on_probation && now >= self.unavailable_until {
            self.on_probation = false;
            self.restart_pace(now);
            self.ejections = 0;
            self.latency_ratio = self.latency_ratio.min(ratio.max(1.0));
        }
    }

    /// Records that an attempt is late while it still runs. The server is ejected only if `may_eject`, that is, if it
    /// can be spared.
    pub fn record_late(&mut self, may_eject: bool, keyed: bool, now: Time) {
        self.late += 1;
        self.late_in_row += 1;
        let threshold = if keyed { KEYED_LATE_EJECTION_THRESHOLD } else { LATE_EJECTION_THRESHOLD };
        if may_eject && (self.on_probation || self.late_in_row >= threshold) {
            self.eject(now);
            self.ejected_as_slow = true;
        }
    }

    /// Begins the pace of a server that has recovered; it may have started anew, without the objects that it knew. One that was
    /// only slow knows them still.
    fn restart_pace(&mut self, now: Time) {
        if !self.ejected_as_slow && self.spec.slow_start.is_some_and(|start| start.learns_pace) {
            self.pace_of_start = Pace::from_start(now);
        }
    }

    /// Ends an ejection for late answers; returns whether there was one.
    pub fn reinstate(&mut self, now: Time) -> bool {
        let reinstated = self.ejected_as_slow && self.ejected(now);
        if reinstated {
            self.on_probation = false;
            self.ejections = 0;
            self.unavailable_until = now;
        }
        reinstated
    }

    /// Ends an ejection and forgets the failures that led to it.
    pub fn forget_failures(&mut self, now: Time) {
        if self.on_probation && self.ejected(now) {
            self.unavailable_until = now;
        }
        self.on_probation = false;
        self.ejections = 0;
        self.lost_in_row = 0;
        self.late_in_row = 0;
        self.ejected_as_slow = false;
    }

    /// Records that an attempt ran into its deadline before it was recorded as late.
    pub fn record_late_end(&mut self, may_eject: bool, keyed: bool, now: Time) {
        self.record_late(may_eject, keyed, now);
        self.late -= 1;
    }

    /// Records that the answer to an attempt was lost or truncated.
    pub fn record_loss(&mut self, now: Time) {
        self.pace_of_start.record_failure(now);
        self.lost_in_row += 1;
        if self.on_probation || self.lost_in_row >= LOST_EJECTION_THRESHOLD {
            self.record_failure(now);
        }
    }

    /// Records that the server could not be reached, or lost too many answers, and ejects it.
    pub fn record_failure(&mut self, now: Time) {
        self.answers = 0;
        self.lost_in_row = 0;
        self.eject(now);
    }

    /// Records that the server shed an attempt. If it reported a free slot with that answer, it refused this request
    /// rather than more work; for work on objects (`keyed`) it then keeps getting requests.
    pub fn record_shed(&mut self, keyed: bool, now: Time) {
        if keyed && self.reports_free_slot(now) {
            return;
        }
        self.pace_of_start.record_failure(now);
        self.unavailable_until = self.unavailable_until.max(now + SHED_PAUSE);
    }

    /// Ejects the server, each time in a row for twice as long; does nothing if it is ejected already.
    fn eject(&mut self, now: Time) {
        if self.ejected(now) && self.on_probation {
            return;
        }
        let duration = BASE_EJECTION.saturating_mul(1 << self.ejections.min(5)).min(MAX_EJECTION);
        self.ejections += 1;
        self.on_probation = true;
        if let Some(start) = self.spec.slow_start.filter(|start| !start.starter) {
            // All daemons may eject the server at the same time, so their trial requests are spread over the time in
            // which it can take them.
            let level = self.slow_start_bucket.level(now);
            self.slow_start_bucket.charge(level + start.phase, now);
        }
        self.late_in_row = 0;
        self.ejected_as_slow = false;
        self.unavailable_until = now + duration;
    }
}
