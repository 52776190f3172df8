//! What the connections of callers do while the daemon stops.
//!
//! Load pattern: callers keep addresses for some time after the daemon has withdrawn, some of them three times as long,
//! and keep sending on connections that never run empty. The ports close once most callers know better: a refused
//! connection makes a caller try another address, while one that is refused its request may come back to this one.
//!
//! One clock decides: a request is started only if its answer comes before the end of the stop, and anything else is
//! refused at once, so that its caller can go elsewhere. Each connection takes one more request at most; the reply to its
//! last one announces the end, and what was sent behind it counts as not read.

use std::time::Duration;

use base::time::Time;

/// Time before the end of a stop that is left for delivering the last replies.
const DELIVERY_TIME: Duration = Duration::from_millis(200);
/// How long a connection without a request stays open once connections are closed: its request may be on the way.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Time for accepting the connections that wait in the backlog: closing the listener resets them.
const BACKLOG_TIME: Duration = Duration::from_millis(100);

/// The progress of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No stop is in progress.
    Open,
    /// Replies ask callers to reconnect elsewhere.
    Leaving,
    /// The ports close, and idle connections are closed too.
    Closing,
}

/// A planned stop as the connections see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    phase: Phase,
    /// When the current phase began.
    since: Time,
    /// When all requests must have been answered; `Time::MAX` without a stop.
    answered_by: Time,
}

/// A request that was read as a whole and not started yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Longest time until it is answered.
    pub limit: Duration,
}

/// What to do with a request that was read as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// It is dispatched to a backend server now.
    Now,
    /// It is dispatched once all earlier requests of its connection are answered: if one of these replies ends the
    /// connection, its caller may send it again, and it must not have run.
    AfterEarlier,
    /// It is answered with an error: it does not run, and its caller is asked to go elsewhere.
    Refused,
    /// It gets no answer: the reply to an earlier request announces the end of the connection, and what was sent behind
    /// that counts as not read.
    Never,
}

impl Stop {
    /// Returns the state while no stop is in progress.
    pub const fn none() -> Self {
        Self { phase: Phase::Open, since: Time::ZERO, answered_by: Time::MAX }
    }

    /// Returns a stop that begins at `now` and lasts for at most `length`.
    pub fn begin(length: Duration, now: Time) -> Self {
        Self { phase: Phase::Leaving, since: now, answered_by: now + length.saturating_sub(DELIVERY_TIME) }
    }

    /// Returns this stop in its phase `Closing`, which begins at `now` unless it has begun already.
    #[must_use]
    pub fn with_closing(self, now: Time) -> Self {
        if self.phase == Phase::Closing {
            return self;
        }
        Self { phase: Phase::Closing, since: now, ..self }
    }

    /// Returns the current phase.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns what to do with a request of a connection on which `running` requests are running.
    pub fn start(&self, demand: Demand, running: usize, now: Time) -> Start {
        match self.phase {
            Phase::Open if running > 0 && !demand.idempotent => Start::AfterEarlier,
            Phase::Open => Start::Now,
            Phase::Leaving | Phase::Closing if self.holds(running) => Start::Never,
            // Its limit may be far longer than its work. If the stop ends first, its caller may send it again.
            Phase::Leaving if demand.idempotent => Start::Now,
            Phase::Leaving | Phase::Closing if now + demand.limit <= self.answered_by => Start::Now,
            Phase::Leaving | Phase::Closing => Start::Refused,
        }
    }

    /// Whether no further request is started, and so none is read, while `running` requests of a connection are running.
    pub fn holds(&self, running: usize) -> bool {
        self.phase != Phase::Open && running > 0
    }

    /// Whether a reply announces the end of its connection, on which `running` more requests are running.
    pub fn is_last_reply(&self, running: usize) -> bool {
        self.phase != Phase::Open && running == 0
    }

    /// Returns when a connection that was accepted at `accepted`, and on which nothing is running, is closed; `has_arrived`
    /// tells whether part of a request has arrived on it. `Time::MAX` for never.
    pub fn closes_at(&self, accepted: Time, has_arrived: bool) -> Time {
        match self.phase {
            Phase::Closing if !has_arrived => (accepted.max(self.since) + LAST_REQUEST_TIME).min(self.answered_by),
            _ => self.answered_by,
        }
    }

    /// Returns when the ports close; `Time::MAX` if that is not decided yet.
    pub fn port_closes_at(&self) -> Time {
        if self.phase == Phase::Closing { self.since + BACKLOG_TIME } else { Time::MAX }
    }

    /// Whether the requests that are still running are given up.
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.answered_by
    }
}
