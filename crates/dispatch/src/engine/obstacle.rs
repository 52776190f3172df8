//! Why no server can take a request in time.

use base::error::Kind;
use base::time::Time;

use super::{Engine, Request};
use crate::backend::Backend;

/// What keeps a server from taking a request, the furthest from taking it first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Obstacle {
    /// It is not one of the servers that may run the request.
    NoBackend,
    /// It is ejected for as long as the request may wait.
    Unreachable,
    /// It accepts no requests for as long.
    Paused,
    /// Its rate limit leaves no room for as long.
    RateLimited,
    /// This daemon has no share of its region.
    LinkFull,
}

impl Obstacle {
    /// Returns the error of a request that no server has less of an obstacle to take.
    const fn kind(self) -> Kind {
        match self {
            Self::NoBackend => Kind::NoBackend,
            Self::Unreachable => Kind::Unreachable,
            Self::Paused => Kind::Paused,
            Self::RateLimited => Kind::RateLimited,
            Self::LinkFull => Kind::LinkFull,
        }
    }
}

impl Engine {
    /// Returns why `request` cannot be sent before its deadline; `None` if it may be. Of the servers, the one that is
    /// the least far from taking it decides.
    pub(super) fn unplaceable(&self, request: u64, now: Time) -> Option<Kind> {
        let state = self.requests.get(&request)?;
        if self.are_expired(&state.terms, now) {
            return Some(Kind::PolicyStale);
        }
        let Some(tiers) = self.tiers.get(usize::from(state.terms.service)) else {
            return Some(Kind::NoBackend);
        };
        let mut least = Obstacle::NoBackend;
        for server in tiers.iter().flatten().filter_map(|id| self.backends.get(id)) {
            least = least.max(self.obstacle(server, state, now)?);
        }
        Some(least.kind())
    }

    /// Returns what keeps `server` from taking the request before its deadline; `None` if nothing does.
    fn obstacle(&self, server: &Backend, state: &Request, now: Time) -> Option<Obstacle> {
        let wait_deadline = self.wait_deadline(state);
        if server.leaving() || state.excluded.contains(&server.spec.id) || !state.terms.allow(&server.spec) {
            Some(Obstacle::NoBackend)
        } else if server.ejected(state.deadline) {
            Some(Obstacle::Unreachable)
        } else if server.paused(wait_deadline) {
            Some(Obstacle::Paused)
        } else if server.rate_room_at(now) > wait_deadline {
            Some(Obstacle::RateLimited)
        } else if !self.remote_granted(server.spec.place) {
            Some(Obstacle::LinkFull)
        } else {
            None
        }
    }
}
