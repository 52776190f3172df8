//! Names of headers and paths on the wire to callers and backend servers, and how the deployment uses them.
//!
//! The daemon's own interface is [`Dialect::native`] (`docs/CALLERS.md`); the adapter of another platform defines its own.

use http::HeaderMap;
use http::header::HeaderName;

/// What identifies a request that must not run twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AtMostOnce {
    /// A key that the caller repeats with each send: the request runs at most once over all its sends.
    PerKey,
    /// Each send counts as a request of its own and runs at most once.
    PerSend,
}

/// Names of headers and paths, and how they are used. A header that is `None` is neither read nor set.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "each is a property of the wire on its own")]
pub struct Dialect {
    /// Header with the id of one send, by which backend servers cancel it or which they repeat in their answer.
    pub request_id: HeaderName,
    /// Whether the caller sets the id and backend servers repeat it; otherwise it identifies the daemon's attempt.
    pub caller_sets_id: bool,
    /// Header with the milliseconds that the caller still waits, or that the backend server has.
    pub deadline_ms: HeaderName,
    /// Header with the object that a request is about; a server that handled it lately is faster.
    pub object: Option<HeaderName>,
    /// Header with the name of the caller's client account, which the daemon sets for backend servers.
    pub account: HeaderName,
    /// Header with the name of the intended server; any other refuses the request.
    pub server: Option<HeaderName>,
    /// Header that proves that a backend server made the answer; a success without it does not count as one.
    pub signature: Option<HeaderName>,
    /// Header with a server's load: running, waiting, slots and its pace in hundredths, separated by commas.
    pub load: Option<HeaderName>,
    /// Header that a leaving server sets in all its answers.
    pub leaving: Option<HeaderName>,
    /// Header with the requests per second that a server takes from all daemons together; absent while it has no limit.
    pub rate_limit: Option<HeaderName>,
    /// Header that a server sets if it ran nothing of the request.
    pub not_run: HeaderName,
    /// The value of `not_run` that states so; `None` if its presence is enough.
    pub not_run_value: Option<&'static str>,
    /// Header of replies that states whether the request ran.
    pub outcome: Option<HeaderName>,
    /// Header of health answers with the milliseconds for which a server that has just started stays cold.
    pub cold_ms: Option<HeaderName>,
    /// Whether the end of the connection may end an answer's body; otherwise such an answer counts as cut.
    pub body_until_close: bool,
    /// Whether a request that must not run twice, and each retry, gets a connection of its own.
    pub dedicated_connections: bool,
    /// Path at which an attempt is cancelled by its id; `None` if closing the connection cancels it.
    pub cancel_path: Option<&'static str>,
    /// Whether callers accept fractions of a second in `Retry-After`.
    pub fractional_retry_after: bool,
    /// What identifies a request that must not run twice.
    pub at_most_once: AtMostOnce,
}

impl Dialect {
    /// Returns the daemon's own interface.
    pub const fn native() -> Self {
        Self {
            request_id: HeaderName::from_static("x-request-id"),
            caller_sets_id: false,
            deadline_ms: HeaderName::from_static("x-deadline-ms"),
            object: None,
            account: HeaderName::from_static("x-account"),
            server: None,
            signature: None,
            load: None,
            leaving: None,
            rate_limit: Some(HeaderName::from_static("x-rate-limit")),
            not_run: HeaderName::from_static("x-outcome"),
            not_run_value: Some("not-run"),
            outcome: Some(HeaderName::from_static("x-outcome")),
            cold_ms: None,
            body_until_close: false,
            dedicated_connections: true,
            cancel_path: Some("/cancel"),
            fractional_retry_after: false,
            at_most_once: AtMostOnce::PerKey,
        }
    }

    /// Whether a server's answer with these headers states that it ran nothing.
    pub fn is_not_run(&self, headers: &HeaderMap) -> bool {
        match (headers.get(&self.not_run), self.not_run_value) {
            (Some(value), Some(expected)) => value == expected,
            (value, None) => value.is_some(),
            (None, Some(_)) => false,
        }
    }

    /// Whether the daemon sets this header towards backend servers, so that a caller's own value is not passed on.
    pub fn is_set_by_daemon(&self, name: &HeaderName) -> bool {
        let id = *name == self.request_id && !self.caller_sets_id;
        id || *name == self.deadline_ms || self.server.as_ref() == Some(name)
    }
}
