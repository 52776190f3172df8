//! Plain policies, the baselines that replay compares with.
//!
//! They send each request at once to some server of the service that is not leaving, and never hedge, eject or keep
//! work apart.

use super::Engine;
use crate::backend::BackendId;

/// How servers are picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// The engine's regular choice.
    #[default]
    Steered,
    /// One server after the other.
    RoundRobin,
    /// A random server.
    Random,
    /// The server with the fewest requests of this daemon in flight.
    LeastInFlight,
}

impl Engine {
    /// Sets how servers are picked.
    pub const fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    pub(super) fn pick_plain(&mut self, request: u64) -> Option<BackendId> {
        let state = self.requests.get(&request)?;
        let service = usize::from(state.terms.service);
        let [local, remote] = self.tiers.get(service)?;
        let usable = |ids: &[BackendId]| -> Vec<BackendId> {
            let in_service = ids.iter().filter(|id| self.backends.get(id).is_some_and(|server| !server.spec.leaving));
            in_service.copied().collect()
        };
        let mut members = usable(local);
        if members.is_empty() {
            members = usable(remote);
        }
        if members.is_empty() {
            return None;
        }
        let count = members.len();
        match self.policy {
            Policy::RoundRobin => Some(members[self.next_attempt as usize % count]),
            Policy::LeastInFlight => {
                let start = self.rng.usize(..count);
                members.rotate_left(start);
                members.into_iter().min_by_key(|id| self.backends.get(id).map_or(0, |server| server.in_flight))
            }
            Policy::Random | Policy::Steered => Some(members[self.rng.usize(..count)]),
        }
    }
}
