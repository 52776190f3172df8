//! Picks a backend server for a request.

use std::time::Duration;

use base::error::Kind;
use base::time::Time;

use super::state::Reservation;
use super::{Action, Attempt, Basis, Engine, Request, Timer};
use crate::backend::{Backend, BackendId, Place};

/// Burst that may pass over a link, as time at the link's rate.
pub(super) const LINK_BURST: Duration = Duration::from_millis(100);
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
        if let Some(object) = state.object {
            let (backend, homes) = self.pick_keyed(&state, object, now);
            if let Some(state) = self.requests.get_mut(&request) {
                state.homes = homes;
            }
            return backend;
        }
        let service = usize::from(state.service);
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
        if state.attempts >= spec.max_attempts {
            return;
        }
        if !spec.idempotent || spec.may_wait || state.hedged || state.live.len() != 1 || state.queued {
            return;
        }
        let service = state.service;
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
        let (class, service) = (state.class, usize::from(state.service));
        let wait_deadline = self.wait_deadline(state);
        let Some(tiers) = self.tiers.get(service) else { return false };
        let serving: Vec<BackendId> = tiers.iter().flatten().copied().collect();
        let spec = &self.classes[class].spec;
        let available = |id: &BackendId| {
            let server = self.backends.get(id);
            server.is_some_and(|server| {
                let in_use = !server.leaving() && !server.ejected(now) && spec.allows(server.spec.region);
                in_use && server.rate_room_at(now) <= wait_deadline
            })
        };
        if now < self.suspended_until || serving.iter().any(available) {
            return false;
        }
        let reinstated = serving.iter().filter(|id| {
            let allowed = self.backends.get(id).is_some_and(|server| spec.allows(server.spec.region));
            allowed && self.backends.get_mut(id).is_some_and(|server| server.reinstate(now))
        });
        reinstated.count() > 0
    }

    /// Returns why `request` cannot be sent before its deadline; `None` if it may be. Of the servers, the one that is
    /// the least far from taking it decides.
    pub(super) fn unplaceable(&self, request: u64, now: Time) -> Option<Kind> {
        let state = self.requests.get(&request)?;
        let Some(tiers) = self.tiers.get(usize::from(state.service)) else {
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
        let spec = &self.classes[state.class].spec;
        let wait_deadline = self.wait_deadline(state);
        if server.leaving() || state.excluded.contains(&server.spec.id) || !spec.allows(server.spec.region) {
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

    /// Returns until when a request waits for a server, at most.
    pub(super) fn wait_deadline(&self, state: &Request) -> Time {
        let target = state.arrived + self.classes[state.class].spec.target;
        if state.object.is_some() { target.min(state.deadline) } else { state.deadline }
    }

    /// Returns whether this daemon has any share of a server's region.
    fn remote_granted(&self, place: Place) -> bool {
        let Place::Remote(region) = place else { return true };
        self.links.get(&region).is_some_and(|link| link.max_in_flight > 0)
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
        if !spec.allows(server.spec.region) {
            return false;
        }
        // A server on probation gets no work that must not run twice while a healthy server remains.
        if server.suspect() && !spec.idempotent && self.has_healthy_alternative(server, now) {
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

    /// Returns whether a request may leave the region: no server here serves it, or it would wait too long.
    fn remote_allowed(&self, service: usize, state: &Request, now: Time) -> bool {
        let Some(tiers) = self.tiers.get(service) else {
            return false;
        };
        let serves = |id: &BackendId| {
            let server = self.backends.get(id);
            server.is_some_and(|server| !(server.leaving() || server.suspect() && server.unavailable(now)))
        };
        if !tiers[0].iter().any(serves) {
            return true;
        }
        if self.classes[state.class].spec.may_wait {
            return false;
        }
        now.since(state.arrived) >= REMOTE_WAIT_THRESHOLD || self.expected_wait(state.class) >= REMOTE_WAIT_THRESHOLD
    }

    /// Returns whether the link and the other region have capacity left in our share. Until a class has had an answer,
    /// its answers may be of any size, so they cross a capped link one at a time.
    pub(super) fn link_has_capacity(&self, place: Place, state: &Request, now: Time) -> bool {
        let Place::Remote(region) = place else { return true };
        let Some(link) = self.links.get(&region) else {
            return false;
        };
        let class = &self.classes[state.class];
        if !class.answer_size_known() && !link.uncapped && link.unsized_in_flight > 0 {
            return false;
        }
        let bytes = class.answer_size().max(state.bytes as f64);
        link.in_flight < link.max_in_flight && link.bucket.clone().level(now) >= bytes
    }

    /// Reserves a link's bytes for an attempt: the larger of its request and its expected answer.
    fn reserve_link(&mut self, place: Place, class: usize, bytes: f64, now: Time) -> Option<Reservation> {
        let Place::Remote(region) = place else { return None };
        let link = self.links.get_mut(&region)?;
        let class = &self.classes[class];
        let reservation =
            Reservation { region, bytes: bytes.max(class.answer_size()), answer_size_known: class.answer_size_known() };
        link.in_flight += 1;
        link.unsized_in_flight += u32::from(!reservation.answer_size_known);
        link.bucket.charge(reservation.bytes, now);
        Some(reservation)
    }
}
