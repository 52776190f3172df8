//! The pace at which a server that has started or recovered gets its work.
//!
//! Load pattern: a server starts, or comes back after it could not be reached. All objects are cold there, so its work takes
//! several times as long at first, and no one states how much it can take. With all of its objects at once it falls behind; left
//! idle until it is certain to keep up, its part is missing elsewhere. So it gets a part of its objects that grows by itself and
//! faster with each answer in time, and is halved at once when it falls behind. What one daemon learns is not passed on: it would
//! be older than the daemon's own answers.

use std::time::Duration;

use base::time::Time;

/// Part of its objects that a server gets at first.
const FIRST_PART: f64 = 0.15;
/// Time in which the part doubles without any answer.
const DOUBLING_TIME: Duration = Duration::from_secs(1);
/// Factor by which an answer in time raises the part.
const RISE: f64 = 1.2;
/// Factor by which the part falls when the server falls behind.
const FALL: f64 = 0.5;
/// Time for which the part stays after it has fallen.
const HOLD_TIME: Duration = Duration::from_millis(500);
/// Multiple of the usual time of the same work from which an answer shows that the server falls behind.
const BEHIND_RATIO: f64 = 2.5;

/// The part of its objects that a server gets from this daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// The part as of `at`; it grows from then on.
    part: f64,
    at: Time,
}

impl Pace {
    /// All of its objects, for a server that has run for long.
    pub const FULL: Self = Self { part: 1.0, at: Time::ZERO };

    /// Returns the pace of a server that can take work from `at` on.
    pub const fn from_start(at: Time) -> Self {
        Self { part: FIRST_PART, at }
    }

    /// Returns the part of its objects that the server gets at `now`, from 0 to 1.
    pub fn part(&self, now: Time) -> f64 {
        let doublings = now.since(self.at).as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        (self.part * doublings.exp2()).min(1.0)
    }

    /// Whether the server does not get all of its objects yet.
    pub fn is_limited(&self, now: Time) -> bool {
        self.part(now) < 1.0
    }

    /// Records an answer that took `ratio` times the usual time of the same work.
    pub fn record_answer(&mut self, ratio: f64, now: Time) {
        if !self.is_limited(now) {
            return;
        }
        if ratio >= BEHIND_RATIO {
            return self.fall(now);
        }
        if now >= self.at {
            *self = Self { part: (self.part(now) * RISE).min(1.0), at: now };
        }
    }

    /// Records that the server turned a request away or lost its answer.
    pub fn record_failure(&mut self, now: Time) {
        if self.is_limited(now) {
            self.fall(now);
        }
    }

    fn fall(&mut self, now: Time) {
        // Answers to requests that were sent before it fell say nothing new.
        if now >= self.at {
            *self = Self { part: (self.part(now) * FALL).max(FIRST_PART), at: now + HOLD_TIME };
        }
    }
}
