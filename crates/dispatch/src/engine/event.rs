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
    /// No byte was sent, since the server was not to get it any more.
    Recalled,
    /// The attempt was cancelled by us.
    Cancelled,
}

impl Ending {
    /// Short name, for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Shed => "shed",
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
            Self::Timeout => "timeout",
            Self::Cut => "cut",
            Self::TooLarge => "too-large",
            Self::Withheld(_) => "withheld",
            Self::Recalled => "recalled",
            Self::Cancelled => "cancelled",
        }
    }
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
#[derive(Debug, Clone, Copy, PartialEq)]
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
        retry: bool,
        /// What the choice rests on.
        basis: Basis,
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
        /// When the caller should come back, if not after the usual time.
        retry_after: Option<Duration>,
    },
}

/// What the choice of a server rests on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Basis {
    /// Whether the server had handled the request's object lately; `None` for a request about none.
    pub warm: Option<bool>,
    /// Our requests in flight there, this one not counted.
    pub own_in_flight: u32,
    /// All work there, as far as known.
    pub load: f64,
    /// How long work takes there, as a multiple of the usual.
    pub pace: f64,
    /// When the server last told its load.
    pub reported_at: Option<Time>,
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
    /// How long its caller waits, if it says so.
    pub timeout: Option<Duration>,
    /// The object that it is about, hashed.
    pub object: Option<u64>,
}

impl Arrival {
    /// A request of `class` whose caller says nothing of how long it waits.
    pub const fn new(request: u64, class: usize, fingerprint: u64, bytes: u64) -> Self {
        Self { request, class, fingerprint, bytes, timeout: None, object: None }
    }
}

/// The part of another region and of the link to it that this daemon may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Remote {
    /// Requests in flight there at most.
    pub max_in_flight: u32,
    /// Bytes a second over the link, in the busier direction.
    pub bytes_per_second: f64,
}

impl Remote {
    /// All of a region, over a link that no cap is declared for.
    pub const UNLIMITED: Self = Self { max_in_flight: u32::MAX, bytes_per_second: u32::MAX as f64 };

    /// Whether no cap is declared for the link.
    pub fn is_uncapped(&self) -> bool {
        self.bytes_per_second >= Self::UNLIMITED.bytes_per_second
    }
}

/// Limits of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Requests that wait at most.
    pub max_queued: usize,
    /// Attempts in flight at most.
    pub max_in_flight: usize,
    /// How long a request that crashed servers is refused.
    pub quarantine: Duration,
    /// Extra work that may be caused.
    pub budgets: Budgets,
}

/// Extra work that may be caused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budgets {
    /// Part of a hedge that each request earns.
    pub hedge_ratio: f64,
    /// Hedges that can be saved up.
    pub hedge_burst: f64,
    /// Part of a retry that each request earns.
    pub retry_ratio: f64,
    /// Retries that can be saved up.
    pub retry_burst: f64,
    /// Part of a hedge or retry of one service that each request for it earns.
    pub repeat_ratio: f64,
    /// Hedges and retries of one service that can be saved up.
    pub repeat_burst: f64,
}

impl Budgets {
    /// What one daemon may cause where nothing else is set.
    pub const DEFAULT: Self = Self {
        hedge_ratio: 0.03,
        hedge_burst: 5.0,
        retry_ratio: 0.1,
        retry_burst: 10.0,
        repeat_ratio: 1.0,
        repeat_burst: 100.0,
    };
}
