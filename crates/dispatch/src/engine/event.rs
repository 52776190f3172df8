//! Inputs and outputs of the engine.

use std::time::Duration;

use base::error::Kind;
use base::time::Time;

use crate::backend::BackendId;
use crate::regions;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// A complete answer arrived; its size in bytes.
    Answered(u64),
    /// The server turned the request away and states that it ran nothing.
    Shed,
    /// The server could not be reached: no byte was sent.
    Unreachable,
    /// The connection was lost after bytes had been sent.
    Lost,
    /// No answer arrived in time.
    Timeout,
    /// The answer was truncated or ambiguous.
    Cut,
    /// The answer exceeded the size limit.
    TooLarge,
    /// The attempt was abandoned for this error before any byte was sent.
    Withheld(Kind),
    /// No byte was sent, as the server may no longer be used; the request goes to another server.
    Recalled,
    /// The attempt was cancelled, by this daemon or by the server itself.
    Cancelled,
}

impl Ending {
    /// Returns the short name that logs and metrics show.
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
    /// Relays the answer of this attempt.
    Relay(u64),
    /// Answers with this error.
    Refuse(Kind),
}

/// A step that the engine asks its driver to take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Sends the request to a backend server.
    Start {
        /// The request's number.
        request: u64,
        /// The attempt's number, never reused.
        attempt: u64,
        /// The backend server.
        backend: BackendId,
        /// Time after which an answer is of no use.
        deadline: Time,
        /// Whether there was an attempt of the request before (retry or hedge); the driver then uses a fresh
        /// connection.
        retry: bool,
        /// What the choice of the server was based on.
        basis: Basis,
    },
    /// Cancels an attempt; its end must still be passed to the engine.
    Cancel {
        /// The attempt's number.
        attempt: u64,
        /// The backend server.
        backend: BackendId,
    },
    /// Answers the caller; every request gets exactly one answer.
    Answer {
        /// The request's number.
        request: u64,
        /// The answer.
        verdict: Verdict,
        /// When the caller should retry; `None` for the usual time of the error kind.
        retry_after: Option<Duration>,
    },
}

/// What the choice of a server was based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Basis {
    /// Whether the server had handled the request's object recently; `None` for a request without an object.
    pub warm: Option<bool>,
    /// This daemon's requests in flight at the server, this one not counted.
    pub own_in_flight: u32,
    /// All requests at the server, those of other daemons included, as far as known.
    pub load: f64,
    /// How long work takes at the server, as a multiple of the usual time.
    pub pace: f64,
    /// When the server last reported its load; `None` if it never did.
    pub reported_at: Option<Time>,
}

/// A new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The request's number, never reused.
    pub request: u64,
    /// Its class, by position.
    pub class: usize,
    /// Hash of the request, equal for a request that its caller sends again.
    pub fingerprint: u64,
    /// Size of the request, in bytes.
    pub bytes: u64,
    /// How long the caller waits, at most; `None` if it set no limit.
    pub timeout: Option<Duration>,
    /// Hash of the object that the request is about; `None` if it is about none.
    pub object: Option<u64>,
    /// The client account that the request belongs to.
    pub account: Account,
}

/// A client account, as far as dispatch needs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Account {
    /// Hash of its name; zero for requests without an account.
    pub id: u64,
    /// Its priority, before that of the class; `None` for that of the class.
    pub rank: Option<u8>,
    /// Regions that may run its requests; those of the class bind too.
    pub regions: regions::Set,
}

impl Account {
    /// Stands for all callers without an account.
    pub const NONE: Self = Self { id: 0, rank: None, regions: regions::Set::ALL };
}

impl Arrival {
    /// Creates a request without a caller's timeout, an object or an account.
    pub const fn new(request: u64, class: usize, fingerprint: u64, bytes: u64) -> Self {
        Self { request, class, fingerprint, bytes, timeout: None, object: None, account: Account::NONE }
    }
}

/// This daemon's share of another region and of the link to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Remote {
    /// Maximum number of requests in flight in the region.
    pub max_in_flight: u32,
    /// Bytes per second over the link, in its busier direction.
    pub bytes_per_second: f64,
}

impl Remote {
    /// The whole region, over a link without a declared cap.
    pub const UNLIMITED: Self = Self { max_in_flight: u32::MAX, bytes_per_second: u32::MAX as f64 };

    /// Returns whether no cap is declared for the link.
    pub fn is_uncapped(&self) -> bool {
        self.bytes_per_second >= Self::UNLIMITED.bytes_per_second
    }
}

/// Limits of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum number of waiting requests without an object.
    pub max_queued: usize,
    /// Maximum number of attempts in flight.
    pub max_in_flight: usize,
    /// How long requests with a fingerprint that crashed servers are refused.
    pub quarantine: Duration,
    /// Budgets for hedges and retries.
    pub budgets: Budgets,
}

/// Budgets for extra attempts. Each request earns a fraction of an attempt, and unused ones accumulate up to a burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budgets {
    /// Hedges earned by each request.
    pub hedge_ratio: f64,
    /// Maximum number of accumulated hedges.
    pub hedge_burst: f64,
    /// Retries earned by each request.
    pub retry_ratio: f64,
    /// Maximum number of accumulated retries.
    pub retry_burst: f64,
    /// Hedges and retries of a service together that each request for it earns.
    pub repeat_ratio: f64,
    /// Maximum number of accumulated hedges and retries of one service.
    pub repeat_burst: f64,
}

impl Budgets {
    /// Budgets of one daemon where the settings have none.
    pub const DEFAULT: Self = Self {
        hedge_ratio: 0.03,
        hedge_burst: 5.0,
        retry_ratio: 0.1,
        retry_burst: 10.0,
        repeat_ratio: 1.0,
        repeat_burst: 100.0,
    };
}
