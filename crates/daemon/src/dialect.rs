//! What callers and backend servers of a deployment call the things that cross the wire.
//!
//! The daemon's own interface is [`Dialect::native`] (`docs/CALLERS.md`); an adapter to another platform gives its own.

use http::HeaderMap;
use http::header::HeaderName;

/// How a caller's request that must not run twice is told from its re-send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AtMostOnce {
    /// By a key that the caller repeats: the order runs at most once over all its sends.
    PerKey,
    /// Each send is a request of its own: it runs at most once for itself.
    PerSend,
}

/// Names of headers and paths.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "each is a property of the wire on its own")]
pub struct Dialect {
    /// Names one send; backend servers cancel by it or repeat it in their answer.
    pub request_id: HeaderName,
    /// Whether the caller gives the id of a send and backend servers repeat it; otherwise it names our attempt.
    pub caller_sets_id: bool,
    /// Milliseconds that the caller still waits, or that a backend server may work.
    pub deadline_ms: HeaderName,
    /// The object that a request is about: a server that handled it lately works faster.
    pub object: Option<HeaderName>,
    /// Names the server that is meant; any other refuses.
    pub server: Option<HeaderName>,
    /// Proof that a backend server made the answer; a success without it is none.
    pub signature: Option<HeaderName>,
    /// A server's load: running, waiting, slots and its pace in hundredths, separated by commas.
    pub load: Option<HeaderName>,
    /// Set by a server that leaves, in all its answers.
    pub leaving: Option<HeaderName>,
    /// Set by a server that ran nothing of the request.
    pub not_run: HeaderName,
    /// The value of `not_run` that says so; `None` if its presence does.
    pub not_run_value: Option<&'static str>,
    /// Tells a caller what it may conclude of an answer.
    pub outcome: Option<HeaderName>,
    /// How long a server that has just started stays slow, in milliseconds, in its health answers.
    pub cold_ms: Option<HeaderName>,
    /// Whether an answer may end with its connection; otherwise such an answer counts as cut.
    pub body_until_close: bool,
    /// Whether a request that must not run twice, and each second try, gets a connection of its own.
    pub dedicated_connections: bool,
    /// Path for cancelling an attempt by its id; `None` if closing the connection cancels.
    pub cancel_path: Option<&'static str>,
    /// Whether callers read fractions of a second in the time after which to come back.
    pub fractional_retry_after: bool,
    /// How requests that must not run twice are told apart.
    pub at_most_once: AtMostOnce,
}

impl Dialect {
    /// The daemon's own interface.
    pub const fn native() -> Self {
        Self {
            request_id: HeaderName::from_static("x-request-id"),
            caller_sets_id: false,
            deadline_ms: HeaderName::from_static("x-deadline-ms"),
            object: None,
            server: None,
            signature: None,
            load: None,
            leaving: None,
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

    /// Whether a server says in these headers that it ran nothing.
    pub fn is_not_run(&self, headers: &HeaderMap) -> bool {
        match (headers.get(&self.not_run), self.not_run_value) {
            (Some(value), Some(word)) => value == word,
            (value, None) => value.is_some(),
            (None, Some(_)) => false,
        }
    }

    /// Whether a header is ours to set towards backend servers, so that a caller's own is not passed on.
    pub fn is_set_by_daemon(&self, name: &HeaderName) -> bool {
        let id = *name == self.request_id && !self.caller_sets_id;
        id || *name == self.deadline_ms || self.server.as_ref() == Some(name)
    }
}
