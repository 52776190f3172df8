//! What goes into the engine and what comes out.

use std::time::Duration;

use base::error::Kind;
use base::time::Time;

use crate::backend::BackendId;

/// What happened to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer is here, of so many bytes.
    Answered(u64),
    /// The server said that it ran nothing.
    Shed,
    /// No byte was sent.
    Unreachable,
    /// The connection was lost after bytes were sent.
    Lost,
    /// The answer did not come in time.
    Timeout,
    /// The answer was cut short or ambiguous.
    Cut,
    /// The answer was too large.
    TooLarge,
    /// The attempt was given up before any byte was sent, for this reason.
    Withheld(Kind),
    /// The attempt was cancelled by us.
    Cancelled,
}

/// The final answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer of this attempt.
    Relay(u64),
    /// An error.
    Refuse(Kind),
}

/// What the engine wants done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the request to a backend server.
    Start {
        /// The request.
        request: u64,
        /// The attempt's number, never reused.
        attempt: u64,
        /// The server.
        backend: BackendId,
        /// When its answer is of no use.
        deadline: Time,
        /// Whether the request was sent before; it then gets a fresh connection.
        again: bool,
    },
    /// Cancel an attempt; it still has to be finished.
    Cancel {
        /// The attempt.
        attempt: u64,
        /// The server.
        backend: BackendId,
    },
    /// Answer the caller; each request gets exactly one.
    Answer {
        /// The request.
        request: u64,
        /// The answer.
        verdict: Verdict,
    },
}

/// A request as it arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The request's number, never reused.
    pub request: u64,
    /// Its class, by position.
    pub class: usize,
    /// Its fingerprint: equal for a request that is sent again.
    pub fingerprint: u64,
    /// Size of the request, in bytes.
    pub bytes: u64,
}

/// The part of another region and of the link to it that this daemon may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Remote {
    /// Requests in flight there at most.
    pub limit: u32,
    /// Bytes a second over the link, in the busier direction.
    pub bytes_per_second: f64,
}

/// Limits of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests that wait at most.
    pub queued: usize,
    /// Attempts in flight at most.
    pub in_flight: usize,
    /// How long a request that crashed servers is refused.
    pub poison: Duration,
}
