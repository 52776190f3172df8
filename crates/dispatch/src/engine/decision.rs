//! Decisions and beliefs that cause no attempt; they go into logs only.

use std::time::Duration;

use base::error::Kind;
use base::time::Time;

use super::Engine;
use crate::backend::{Backend, BackendId};

/// A server that was considered for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The server.
    pub backend: BackendId,
    /// All work there, as far as known.
    pub load: f64,
    /// How long work takes there, as a multiple of the usual.
    pub pace: f64,
    /// Time to the answer if the request were sent there now.
    pub expected_latency: Duration,
}

/// What was decided or is believed from now on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// A request waits for a server.
    Held {
        /// The request.
        request: u64,
        /// Requests of all classes that wait.
        waiting: usize,
        /// The servers of its object, near and elsewhere.
        candidates: [Option<Candidate>; 2],
    },
    /// A request is refused or failed.
    Refused {
        /// The request.
        request: u64,
        /// Why.
        kind: Kind,
        /// Attempts before.
        attempts: usize,
        /// Time since it came.
        waited: Duration,
        /// Requests of all classes that wait.
        waiting: usize,
        /// The servers of its object, near and elsewhere.
        candidates: [Option<Candidate>; 2],
    },
    /// A server gets no work for a while, then one request to prove itself.
    Ejected {
        /// The server.
        backend: BackendId,
        /// Until when.
        until: Time,
        /// Our attempts in flight there.
        in_flight: u32,
    },
    /// An ejected server has proved itself.
    Reinstated {
        /// The server.
        backend: BackendId,
    },
    /// A server said that it leaves.
    Leaving {
        /// The server.
        backend: BackendId,
    },
    /// A server wants nothing for a while.
    Paused {
        /// The server.
        backend: BackendId,
        /// Until when.
        until: Time,
    },
    /// Requests with this fingerprint are refused: servers went away while they ran them.
    Quarantined {
        /// The fingerprint.
        fingerprint: u64,
    },
}

impl Engine {
    /// Takes the notes made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Lets `work` judge a server and notes what that changed.
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

    /// Notes that a request waits for a server.
    pub(super) fn record_held(&mut self, request: u64, now: Time) {
        let candidates = self.requests.get(&request).map(|state| self.candidates(state, now)).unwrap_or_default();
        self.decisions.push(Decision::Held { request, waiting: self.queued(), candidates });
    }

    /// Takes in a loss of a connection; says whether it is news.
    pub(super) fn apply_loss(&mut self, fingerprint: u64, loss: u64, now: Time) -> bool {
        let was_quarantined = self.quarantine.is_quarantined(fingerprint, now);
        let is_new = self.quarantine.record_loss(fingerprint, loss, now);
        if !was_quarantined && self.quarantine.is_quarantined(fingerprint, now) {
            self.decisions.push(Decision::Quarantined { fingerprint });
        }
        is_new
    }
}
