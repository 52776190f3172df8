//! State that the engine keeps of requests, attempts and links.

use base::error::Kind;
use base::rate;
use base::time::Time;

use super::event::Account;
use super::keyed::Homes;
use super::terms::Terms;
use crate::backend::BackendId;
use crate::fairness::Arrival as Return;

#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "each changes on its own")]
pub(super) struct Request {
    pub(super) class: usize,
    /// What the policy in force says of it.
    pub(super) terms: Terms,
    /// Whether other servers may run it than when one was last searched for it while it was held.
    pub(super) moved: bool,
    pub(super) object: Option<u64>,
    /// The object's home servers when a server was last picked.
    pub(super) homes: Homes,
    /// Its client account, as last declared.
    pub(super) account: Account,
    /// Fraction of its target that it may be expected to take when it is sent.
    pub(super) target_fraction: f64,
    /// Whether it was refused before, and its caller came back when it was told to.
    pub(super) returning: Return,
    pub(super) fingerprint: u64,
    pub(super) bytes: u64,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
    /// Number of attempts so far.
    pub(super) attempts: usize,
    /// Servers that must not get the request: an attempt there failed or is in flight.
    pub(super) excluded: Vec<BackendId>,
    /// Attempts in flight, by number.
    pub(super) live: Vec<u64>,
    pub(super) hedged: bool,
    pub(super) queued: bool,
    /// Whether the server that shed the request last reported a free slot.
    pub(super) shed_with_free_slot: bool,
    /// Set once an attempt may have run: the error whose outcome is unknown, which the final answer must then report.
    pub(super) may_have_run: Option<Kind>,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) request: u64,
    pub(super) class: usize,
    /// Whether the server had handled the request's object recently; `None` for a request without an object.
    pub(super) warm: Option<bool>,
    /// Whether the server had a free slot when the attempt started, as far as known.
    pub(super) had_free_slot: bool,
    /// The server's pace when the attempt started.
    pub(super) pace: f64,
    pub(super) backend: BackendId,
    pub(super) started: Time,
    /// When the attempt counts as late.
    pub(super) late_at: Time,
    pub(super) late: bool,
    /// Whether the attempt was counted towards the server's rate limit when it started.
    pub(super) rate_limited: bool,
    /// Capacity reserved for the attempt; `None` if it uses no link.
    pub(super) reserved: Option<Reservation>,
}

/// Capacity of a link that an attempt has reserved.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reservation {
    pub(super) region: u16,
    pub(super) bytes: f64,
    /// Whether an answer of the class had been observed when `bytes` was estimated.
    pub(super) answer_size_known: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// An attempt, by number, becomes late.
    Late(u64),
    /// The deadline of a request, by number, passes.
    Deadline(u64),
    /// Waiting requests are rechecked: those that can be sent now are sent.
    Recheck,
}

#[derive(Debug, Clone)]
pub(super) struct Link {
    pub(super) max_in_flight: u32,
    pub(super) in_flight: u32,
    /// Whether no cap is declared for the link.
    pub(super) uncapped: bool,
    /// Attempts in flight of classes whose answer size is not known yet.
    pub(super) unsized_in_flight: u32,
    /// Bytes that may cross the link.
    pub(super) bucket: rate::Bucket,
}
