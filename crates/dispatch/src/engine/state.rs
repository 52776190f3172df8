//! What the engine remembers of requests, attempts and links.

use base::error::Kind;
use base::rate;
use base::time::Time;

use super::keyed::Homes;
use crate::backend::BackendId;

#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) service: u16,
    pub(super) object: Option<u64>,
    /// The servers that served the object when one was chosen last.
    pub(super) homes: Homes,
    pub(super) fingerprint: u64,
    pub(super) bytes: u64,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
    /// Attempts so far.
    pub(super) attempts: usize,
    /// Servers that must not get it again: they failed it, or run it now.
    pub(super) excluded: Vec<BackendId>,
    pub(super) live: Vec<u64>,
    pub(super) hedged: bool,
    pub(super) queued: bool,
    /// Whether the server that shed it last had a slot free.
    pub(super) shed_with_free_slot: bool,
    /// Set once an attempt may have run; the final error must then be an unknown outcome.
    pub(super) may_have_run: Option<Kind>,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) request: u64,
    pub(super) class: usize,
    /// Whether the server had handled the request's object lately; `None` for a request about none.
    pub(super) warm: Option<bool>,
    /// Whether a slot was free there, as far as known, and its pace.
    pub(super) had_free_slot: bool,
    pub(super) pace: f64,
    pub(super) backend: BackendId,
    pub(super) started: Time,
    pub(super) late_at: Time,
    pub(super) late: bool,
    pub(super) reserved: Option<Reservation>,
}

/// What an attempt took of a link in advance.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reservation {
    pub(super) region: u16,
    pub(super) bytes: f64,
    /// Whether an answer of the class had been seen.
    pub(super) answer_size_known: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Late(u64),
    Deadline(u64),
    Recheck,
}

#[derive(Debug, Clone)]
pub(super) struct Link {
    pub(super) max_in_flight: u32,
    pub(super) in_flight: u32,
    /// Whether the link has no cap.
    pub(super) uncapped: bool,
    /// Attempts in flight whose answers may be of any size.
    pub(super) unsized_in_flight: u32,
    pub(super) bucket: rate::Bucket,
}
