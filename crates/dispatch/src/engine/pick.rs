//! Picks a backend server for a request.

use std::time::Duration;

use base::time::Time;

use super::{Action, Attempt, Basis, Engine, Request, Timer};
use crate::backend::{Backend, BackendId, Place};

/// Number of usable servers that are compared.
const CHOICES: u32 = 2;
/// Number of random samples taken to find them.
const MAX_SAMPLES: usize = 8;
/// Number of servers scanned if no sample is usable.
const MAX_SCANNED: usize = 32;
/// Wait from which a request may go to another region.
const REMOTE_WAIT_THRESHOLD: Duration = Duration::from_millis(30);
/// Latency ratio from which a server is slow enough to consider another region.
const SLOW_RATIO: f64 = 3.0;
/// How many times slower than a server of another region a local one must be to lose the request to it.
const MIN_REMOTE_SPEEDUP: f64 = 1.5;
/// Cost of a server in another failure domain, in requests.
const DOMAIN_COST: f64 = 0.2;
/// Maximum fraction of a tier's servers that may be ejected for late answers at the same time.
const MAX_EJECTED_RATIO: f64 = 0.5;
/// Requests above its slots that a server without attempts of this daemon still gets when its reports show it as full.
const OVERBOOKING: f64 = 1.0;

impl Engine {
    /// Picks the server for the next attempt of `request`; returns `None` if the request has to wait.
    pub(super) fn pick(&mut self, request: u64, now: Time) -> Option<BackendId> {
        self.picks += 1;
        #[cfg(feature = "policies")]
        if self.policy != super::policy::Policy::Steered {
            return self.pick_plain(request);
        }
        if now < self.suspended_until {
            return None;
        }
        let state = self.requests.get(&request)?.clone();
        if self.are_expired(&state.terms, now) {
            return None;
        }
        if let Some(object) = state.object {
            let (backend, homes) = self.pick_keyed(&state, object, now);
            if let Some(state) = self.requests.get_mut(&request) {
                state.homes = homes;
            }
            return backend;
        }
        let service = usize::from(state.terms.service);
        let local = self.pick_tier(service, 0, &state, now);
        let slow =
            local.and_then(|id| self.backends.get(&id)).is_some_and(|server| server.latency_ratio() >= SLOW_RATIO);
        let try_remote = if local.is_some() { slow } else { self.remote_allowed(service, &state, now) };
        if !try_remote || (slow && self.classes[state.class].spec.may_wait) {
            return local;
        }
        let remote = self.pick_tier(service, 1, &state, now);
        if slow && !self.remote_is_faster(remote, local) { local } else { remote.or(local) }
    }

    /// Returns whether requests at `remote` are sufficiently faster than at `local`, network latency included.
    fn remote_is_faster(&self, remote: Option<BackendId>, local: Option<BackendId>) -> bool {
        let ratio = |id: Option<BackendId>| id.and_then(|id| self.backends.get(&id)).map(Backend::latency_ratio);
        matches!((ratio(remote), ratio(local)), (Some(remote), Some(local)) if remote * MIN_REMOTE_SPEEDUP < local)
    }

    /// Starts an attempt of `request` at `backend`.
    pub(super) fn start(&mut self, request: u64, backend: BackendId, now: Time) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let (index, bytes, deadline) = (state.class, state.bytes, state.deadline);
        let class = &mut self.classes[index];
        class.in_flight += 1;
        let may_wait = class.spec.may_wait;
        let Some(server) = self.backends.get_mut(&backend) else {
            return;
        };
        let late_at = now + class.late_after(server.suspect());
        let object = state.object;
        let warm = object.map(|object| !self.warmth.touch(backend, object));
        let (own_in_flight, load, pace, reported_at) =
            (server.in_flight, server.load(now), server.pace(now), server.reported_at());
        let slots = f64::from(server.spec.slots);
        let rate_limited = server.rate_limited(now);
        server.record_start(may_wait, now);
        let server_place = server.spec.place;
        let reserved = self.reserve_link(server_place, index, bytes as f64, now);
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        let started = Attempt {
            request,
            class: index,
            warm,
            had_free_slot: load < slots,
            pace,
            backend,
            started: now,
            late_at,
            late: false,
            rate_limited,
            reserved,
        };
        self.attempts.insert(attempt, started);
        self.record_usage(request, warm, pace, now);
        self.timers.insert((late_at, Timer::Late(attempt)));
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.live.push(attempt);
        state.attempts += 1;
        state.excluded.push(backend);
        let retry = state.attempts > 1;
        let basis = Basis { warm, own_in_flight, load, pace, reported_at };
        self.actions.push(Action::Start { request, attempt, backend, deadline, retry, basis });
    }

    /// Handles an attempt that is late: marks its server, and hedges the request if that is allowed.
    pub(super) fn handle_late(&mut self, attempt: u64, now: Time) {
        let may_eject = self.attempts.get(&attempt).is_some_and(|live| self.may_eject(live.backend));
        let Some(live) = self.attempts.get_mut(&attempt) else {
            return;
        };
        live.late = true;
        let (request, class, backend, keyed) = (live.request, live.class, live.backend, live.warm.is_some());
        self.update_backend(backend, |server| server.record_late(may_eject, keyed, now));
        #[cfg(feature = "policies")]
        if self.policy != super::policy::Policy::Steered {
            return;
        }
        let spec = &self.classes[class].spec;
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        if state.attempts >= state.terms.max_attempts {
            return;
        }
        if !state.terms.idempotent || spec.may_wait || state.hedged || state.live.len() != 1 || state.queued {
            return;
        }
        let service = state.terms.service;
        let Some(second) = self.pick(request, now) else { return };
        if !(self.hedges.spend() && self.repeats(service).spend()) {
            return;
        }
        if let Some(state) = self.requests.get_mut(&request) {
            state.hedged = true;
        }
        self.start(request, second, now);
    }

    /// Returns whether one more server of the tier of `backend` may be ejected for late answers.
    pub(super) fn may_eject(&self, backend: BackendId) -> bool {
        let Some(server) = self.backends.get(&backend) else {
            return false;
        };
        let tier = usize::from(matches!(server.spec.place, Place::Remote(_)));
        let Some(tiers) = self.tiers.get(usize::from(server.spec.service)) else {
            return false;
        };
        let members = &tiers[tier];
        let others = members.iter().filter(|id| **id != backend).filter_map(|id| self.backends.get(id));
        let suspects = others.filter(|server| server.suspect()).count();
        (suspects + 1) as f64 <= members.len() as f64 * MAX_EJECTED_RATIO
    }

    /// Reinstates servers that were ejected for late answers if no other server is left for `request`, as late answers
    /// are better than none. Returns whether it reinstated any.
    pub(super) fn reinstate_slow(&mut self, request: u64, now: Time) -> bool {
        let Some(state) = self.requests.get(&request) else { return false };
        let service = usize::from(state.terms.service);
        let wait_deadline = self.wait_deadline(state);
        let Some(tiers) = self.tiers.get(service) else { return false };
        let serving: Vec<BackendId> = tiers.iter().flatten().copied().collect();
        let terms = state.terms;
        let available = |id: &BackendId| {
            let server = self.backends.get(id);
            server.is_some_and(|server| {
                let in_use = !server.leaving() && !server.ejected(now) && terms.allow(&server.spec);
                in_use && server.rate_room_at(now) <= wait_deadline
            })
        };
        if now < self.suspended_until || serving.iter().any(available) {
            return false;
        }
        let reinstated = serving.iter().filter(|id| {
            let allowed = self.backends.get(id).is_some_and(|server| terms.allow(&server.spec));
            allowed && self.backends.get_mut(id).is_some_and(|server| server.reinstate(now))
        });
        reinstated.count() > 0
    }

    /// Returns until when a request waits for a server, at most.
    pub(super) fn wait_deadline(&self, state: &Request) -> Time {
        let target = state.arrived + self.classes[state.class].spec.target;
        if state.object.is_some() { target.min(state.deadline) } else { state.deadline }
    }

    /// Picks a server of this region (`tier` 0) or of the other regions (`tier` 1): the best of some random usable
    /// ones.
    fn pick_tier(&mut self, service: usize, tier: usize, state: &Request, now: Time) -> Option<BackendId> {
        let members = &self.tiers.get(service)?[tier];
        if members.is_empty() {
            return None;
        }
        let mut best: Option<(f64, BackendId)> = None;
        let mut compared = 0;
        for _ in 0..MAX_SAMPLES {
            let id = members[self.rng.usize(..members.len())];
            // The current best is not compared with itself.
            if best.is_some_and(|(_, known)| known == id) {
                continue;
            }
            compared += u32::from(self.consider(id, state, now, &mut best));
            if compared == CHOICES {
                break;
            }
        }
        if best.is_none() {
            let start = self.rng.usize(..members.len());
            let scanned = members.iter().cycle().skip(start).take(members.len().min(MAX_SCANNED));
            for id in scanned {
                self.consider(*id, state, now, &mut best);
            }
        }
        best.map(|(_, id)| id)
    }

    /// Compares a server with the best one so far if it is usable; returns whether it is.
    fn consider(&self, id: BackendId, state: &Request, now: Time, best: &mut Option<(f64, BackendId)>) -> bool {
        let Some(server) = self.backends.get(&id) else {
            return false;
        };
        if !self.usable(server, state, now) {
            return false;
        }
        let domain_cost = if server.spec.place == Place::Region { DOMAIN_COST } else { 0.0 };
        let score = (server.load(now) + 1.0) * server.latency_ratio() + domain_cost;
        if best.is_none_or(|(lowest, _)| score < lowest) {
            *best = Some((score, id));
        }
        true
    }

    /// Returns whether a server can take the request now, as far as known.
    fn usable(&self, server: &Backend, state: &Request, now: Time) -> bool {
        if server.leaving() || server.unavailable(now) || server.in_flight >= server.limit() {
            return false;
        }
        if state.excluded.contains(&server.spec.id) || !server.admits(now) {
            return false;
        }
        let spec = &self.classes[state.class].spec;
        if !state.terms.allow(&server.spec) {
            return false;
        }
        // A server on probation gets no work that must not run twice while a healthy server remains.
        if server.suspect() && !state.terms.idempotent && self.has_healthy_alternative(server, now) {
            return false;
        }
        if !self.link_has_capacity(server.spec.place, state, now) {
            return false;
        }
        let slots = f64::from(server.spec.slots);
        if spec.may_wait {
            return self.accepts_waiting_work(server, state, now);
        }
        let load = server.load(now);
        load < slots || (server.in_flight == 0 && load < slots + OVERBOOKING)
    }

    /// Returns whether a server accepts work that may wait. Where this daemon hosts such work, it takes one slot and
    /// leaves another one free unless it has aged; elsewhere it runs on idle servers only.
    fn accepts_waiting_work(&self, server: &Backend, state: &Request, now: Time) -> bool {
        if server.waiting_in_flight > 0 {
            return false;
        }
        let load = server.load(now);
        if !server.spec.hosts {
            return load < 1.0;
        }
        let aged = self.classes[state.class].aged(state.arrived, now);
        let slots = f64::from(server.spec.slots);
        load + 1.0 < slots || (aged && load < slots)
    }

    fn has_healthy_alternative(&self, server: &Backend, now: Time) -> bool {
        let Some(tiers) = self.tiers.get(usize::from(server.spec.service)) else {
            return false;
        };
        let healthy = |id: &BackendId| {
            let other = self.backends.get(id);
            other.is_some_and(|other| !other.suspect() && !other.leaving() && !other.unavailable(now))
        };
        tiers.iter().flatten().any(healthy)
    }

    /// Returns whether a request may leave the region: no server here may run it, or it would wait too long.
    fn remote_allowed(&self, service: usize, state: &Request, now: Time) -> bool {
        let Some(tiers) = self.tiers.get(service) else {
            return false;
        };
        let serves = |id: &BackendId| {
            let server = self.backends.get(id);
            server.is_some_and(|server| {
                let is_out = server.leaving() || server.suspect() && server.unavailable(now);
                !is_out && state.terms.allow(&server.spec)
            })
        };
        if !tiers[0].iter().any(serves) {
            return true;
        }
        if self.classes[state.class].spec.may_wait {
            return false;
        }
        now.since(state.arrived) >= REMOTE_WAIT_THRESHOLD || self.expected_wait(state.class) >= REMOTE_WAIT_THRESHOLD
    }
}
