//! Decisions and changes of state that cause no attempt, for logs only.

use std::time::Duration;

use base::error::Kind;
use base::rate::Limit;
use base::time::Time;

use super::Engine;
use crate::backend::{Backend, BackendId, Position};

/// A home server that was considered for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The backend server.
    pub backend: BackendId,
    /// All requests at the server, as far as known.
    pub load: f64,
    /// How long work takes at the server, as a multiple of the usual time.
    pub pace: f64,
    /// Time to the answer if the request were sent now.
    pub expected_latency: Duration,
}

/// A decision, or a change in the state of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// A request is held until a home server accepts it.
    Held {
        /// The request's number.
        request: u64,
        /// Number of waiting requests of all classes.
        waiting: usize,
        /// The home servers of its object, near and far.
        candidates: [Option<Candidate>; 2],
    },
    /// A request is refused or failed.
    Refused {
        /// The request's number.
        request: u64,
        /// The error.
        kind: Kind,
        /// Number of attempts so far.
        attempts: usize,
        /// Time since the request arrived.
        waited: Duration,
        /// Number of waiting requests of all classes.
        waiting: usize,
        /// The home servers of its object, near and far.
        candidates: [Option<Candidate>; 2],
    },
    /// A server is ejected: it gets no work until `until`, then a single request as a trial.
    Ejected {
        /// The backend server.
        backend: BackendId,
        /// End of the ejection.
        until: Time,
        /// This daemon's attempts in flight at the server.
        in_flight: u32,
    },
    /// An ejected server has passed its trial.
    Reinstated {
        /// The backend server.
        backend: BackendId,
    },
    /// A server announced that it is leaving.
    Leaving {
        /// The backend server.
        backend: BackendId,
    },
    /// A server announced a pause.
    Paused {
        /// The backend server.
        backend: BackendId,
        /// End of the pause.
        until: Time,
    },
    /// A server's limit on the rate of requests from all daemons together began, changed or ended.
    RateLimited {
        /// The backend server.
        backend: BackendId,
        /// The limit from now on.
        limit: Limit,
        /// Requests per second until now; `None` for no limit.
        before: Option<f64>,
        /// Requests per second that this daemon may send from now on if there is a limit.
        share: f64,
        /// This daemon's position among those that share the limit.
        position: Position,
    },
    /// A trial was answered sooner than the latency by which requests of its class were refused, which no longer counts.
    Corrected {
        /// The class, by position.
        class: usize,
        /// Typical latency until now.
        before: Duration,
        /// Latency of the trial.
        latency: Duration,
    },
    /// Requests with this fingerprint are refused, as connections to servers were lost while they ran.
    Quarantined {
        /// The fingerprint.
        fingerprint: u64,
    },
}

impl Engine {
    /// Takes the decisions recorded since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Applies `update` to a server, and records an ejection or reinstatement that results from it.
    pub(super) fn update_backend(&mut self, backend: BackendId, update: impl FnOnce(&mut Backend)) {
        let Some(server) = self.backends.get_mut(&backend) else {
            return;
        };
        let (was_suspect, was_until) = (server.suspect(), server.unavailable_until());
        update(server);
        if server.suspect() && server.unavailable_until() > was_until {
            let (until, in_flight) = (server.unavailable_until(), server.in_flight);
            self.decisions.push(Decision::Ejected { backend, until, in_flight });
        } else if was_suspect && !server.suspect() {
            self.decisions.push(Decision::Reinstated { backend });
        }
    }

    /// Records that a request is held.
    pub(super) fn record_held(&mut self, request: u64, now: Time) {
        let candidates = self.requests.get(&request).map(|state| self.candidates(state, now)).unwrap_or_default();
        self.decisions.push(Decision::Held { request, waiting: self.queued(), candidates });
    }

    /// Records the loss of a connection; returns whether it is new and counts.
    pub(super) fn apply_loss(&mut self, fingerprint: u64, loss: u64, now: Time) -> bool {
        let was_quarantined = self.quarantine.is_quarantined(fingerprint, now);
        let is_new = self.quarantine.record_loss(fingerprint, loss, now);
        if !was_quarantined && self.quarantine.is_quarantined(fingerprint, now) {
            self.decisions.push(Decision::Quarantined { fingerprint });
        }
        is_new
    }
}
