//! Choice of a backend server.

use std::time::Duration;

use base::error::Kind;
use base::time::Time;

use super::state::Reserve;
use super::{Action, Attempt, Basis, Engine, Request, Timer};
use crate::backend::{Backend, BackendId, Place};

/// Time's worth of a link's rate that may pass in one burst.
pub(super) const LINK_BURST: Duration = Duration::from_millis(100);
/// Usable servers that are compared.
const CHOICES: u32 = 2;
/// Random servers looked at to find them.
const SAMPLES: usize = 8;
/// Servers looked at when no sample will do.
const SCANNED: usize = 32;
/// Wait from which another region is worth its way.
const REMOTE_WORTH: Duration = Duration::from_millis(30);
/// How many times as long as usual work takes at a server that another region's is better than.
const SLOW: f64 = 3.0;
/// How many times slower than a far server a near one must be to be passed over.
const WORTH: f64 = 1.5;
/// Cost of a server in another failure domain, in requests.
const DOMAIN_COST: f64 = 0.2;
/// Part of a tier's servers that may be ejected at once.
const EJECTED_PART: f64 = 0.5;
/// Requests beyond its slots that a server is trusted to queue when all reports say it is full.
const OVERBOOKED: f64 = 1.0;

impl Engine {
    /// The server for the next attempt of `request`; `None` if it has to wait.
    pub(super) fn pick(&mut self, request: u64, now: Time) -> Option<BackendId> {
        self.choices += 1;
        #[cfg(feature = "policies")]
        if self.policy != super::policy::Policy::Steered {
            return self.pick_plain(request);
        }
        if now < self.doubted_until {
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
        let near = self.pick_tier(service, 0, &state, now);
        let slow = near.and_then(|id| self.backends.get(&id)).is_some_and(|server| server.latency_ratio() >= SLOW);
        let away = if near.is_some() { slow } else { self.remote_allowed(service, &state, now) };
        if !away || (slow && self.classes[state.class].spec.may_wait) {
            return near;
        }
        let far = self.pick_tier(service, 1, &state, now);
        if slow && !self.worth(far, near) { near } else { far.or(near) }
    }

    /// Whether work at `far` has been quicker than at `near` by enough, the way there included.
    fn worth(&self, far: Option<BackendId>, near: Option<BackendId>) -> bool {
        let ratio = |id: Option<BackendId>| id.and_then(|id| self.backends.get(&id)).map(Backend::latency_ratio);
        matches!((ratio(far), ratio(near)), (Some(far), Some(near)) if far * WORTH < near)
    }

    /// Starts an attempt of `request` at `backend`.
    pub(super) fn start(&mut self, request: u64, backend: BackendId, now: Time) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let (index, bytes, deadline) = (state.class, state.bytes, state.deadline);
        let class = &mut self.classes[index];
        class.in_flight += 1;
        let waits = class.spec.may_wait;
        let Some(server) = self.backends.get_mut(&backend) else {
            return;
        };
        let late_at = now + class.late_after(server.suspect());
        let object = state.object;
        let warm = object.map(|object| !self.warmth.touch(backend, object));
        let (own, load, speed, told) = (server.in_flight, server.load(now), server.pace(now), server.told());
        let slots = f64::from(server.spec.slots);
        server.start(waits, now);
        let place = server.spec.place;
        let reserved = self.reserve(place, index, bytes as f64, now);
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        let started = Attempt {
            request,
            class: index,
            warm,
            free: load < slots,
            pace: speed,
            backend,
            started: now,
            late_at,
            late: false,
            reserved,
        };
        self.attempts.insert(attempt, started);
        self.timers.insert((late_at, Timer::Late(attempt)));
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.live.push(attempt);
        state.tries += 1;
        state.barred.push(backend);
        let retry = state.tries > 1;
        let basis = Basis { warm, own_in_flight: own, load, pace: speed, reported_at: told };
        self.actions.push(Action::Start { request, attempt, backend, deadline, retry, basis });
    }

    /// An attempt is late: the server is marked, and the request hedged if that is allowed.
    pub(super) fn late(&mut self, attempt: u64, now: Time) {
        let may_eject = self.attempts.get(&attempt).is_some_and(|live| self.may_eject(live.backend));
        let Some(live) = self.attempts.get_mut(&attempt) else {
            return;
        };
        live.late = true;
        let (request, class, backend, keyed) = (live.request, live.class, live.backend, live.warm.is_some());
        self.judge(backend, |server| server.record_late(may_eject, keyed, now));
        #[cfg(feature = "policies")]
        if self.policy != super::policy::Policy::Steered {
            return;
        }
        let spec = &self.classes[class].spec;
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        if state.tries >= spec.max_attempts {
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

    /// Whether one more server of the tier may be ejected.
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
        (suspects + 1) as f64 <= members.len() as f64 * EJECTED_PART
    }

    /// Takes servers back that were ejected for late answers, if no other server is left for the work of `request`; says
    /// whether there were any. Late answers are better than none.
    pub(super) fn pardon(&mut self, request: u64, now: Time) -> bool {
        let Some(state) = self.requests.get(&request) else { return false };
        let (class, service) = (state.class, usize::from(state.service));
        let Some(tiers) = self.tiers.get(service) else { return false };
        let serving: Vec<BackendId> = tiers.iter().flatten().copied().collect();
        let spec = &self.classes[class].spec;
        let open = |id: &BackendId| {
            let server = self.backends.get(id);
            server.is_some_and(|server| !server.leaving() && !server.ejected(now) && spec.allows(server.spec.region))
        };
        if now < self.doubted_until || serving.iter().any(open) {
            return false;
        }
        let pardoned = serving.iter().filter(|id| {
            let allowed = self.backends.get(id).is_some_and(|server| spec.allows(server.spec.region));
            allowed && self.backends.get_mut(id).is_some_and(|server| server.pardon(now))
        });
        pardoned.count() > 0
    }

    /// Why `request` can never be sent before its deadline, if so.
    pub(super) fn impossible(&self, request: u64) -> Option<Kind> {
        let state = self.requests.get(&request)?;
        let service = usize::from(state.service);
        let Some(tiers) = self.tiers.get(service) else {
            return Some(Kind::NoBackend);
        };
        let ids = || tiers.iter().flatten().filter_map(|id| self.backends.get(id));
        let spec = &self.classes[state.class].spec;
        let serves = |server: &&Backend| {
            !server.leaving() && !state.barred.contains(&server.spec.id) && spec.allows(server.spec.region)
        };
        let reached = |server: &&Backend| !server.ejected(state.deadline);
        let wanted = |server: &&Backend| !server.paused(self.latest(state));
        let granted = |server: &&Backend| self.granted(server.spec.place);
        if !ids().any(|server| serves(&server)) {
            return Some(Kind::NoBackend);
        }
        if !ids().any(|server| serves(&server) && reached(&server)) {
            return Some(Kind::Unreachable);
        }
        if !ids().any(|server| serves(&server) && reached(&server) && wanted(&server)) {
            return Some(Kind::Paused);
        }
        if !ids().any(|server| serves(&server) && reached(&server) && wanted(&server) && granted(&server)) {
            return Some(Kind::LinkFull);
        }
        None
    }

    /// Until when a request waits for a server.
    pub(super) fn latest(&self, state: &Request) -> Time {
        let target = state.arrived + self.classes[state.class].spec.target;
        if state.object.is_some() { target.min(state.deadline) } else { state.deadline }
    }

    /// Whether we may use the region of a server at all.
    fn granted(&self, place: Place) -> bool {
        let Place::Remote(region) = place else { return true };
        self.channels.get(&region).is_some_and(|channel| channel.limit > 0)
    }

    fn pick_tier(&mut self, service: usize, tier: usize, state: &Request, now: Time) -> Option<BackendId> {
        let members = &self.tiers.get(service)?[tier];
        if members.is_empty() {
            return None;
        }
        let mut best: Option<(f64, BackendId)> = None;
        let mut compared = 0;
        for _ in 0..SAMPLES {
            let id = members[self.rng.usize(..members.len())];
            // A server is not compared with itself.
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
            let scanned = members.iter().cycle().skip(start).take(members.len().min(SCANNED));
            for id in scanned {
                self.consider(*id, state, now, &mut best);
            }
        }
        best.map(|(_, id)| id)
    }

    /// Takes a server into the comparison if it is usable; says whether it is.
    fn consider(&self, id: BackendId, state: &Request, now: Time, best: &mut Option<(f64, BackendId)>) -> bool {
        let Some(server) = self.backends.get(&id) else {
            return false;
        };
        if !self.usable(server, state, now) {
            return false;
        }
        let distance = if server.spec.place == Place::Region { DOMAIN_COST } else { 0.0 };
        let score = (server.load(now) + 1.0) * server.latency_ratio() + distance;
        if best.is_none_or(|(lowest, _)| score < lowest) {
            *best = Some((score, id));
        }
        true
    }

    fn usable(&self, server: &Backend, state: &Request, now: Time) -> bool {
        if server.leaving() || server.unavailable(now) || server.in_flight >= server.limit() {
            return false;
        }
        if state.barred.contains(&server.spec.id) || !server.admits(now) {
            return false;
        }
        let spec = &self.classes[state.class].spec;
        if !spec.allows(server.spec.region) {
            return false;
        }
        // A server on trial gets nothing that must not run twice.
        if server.suspect() && !spec.idempotent && self.others_usable(server, now) {
            return false;
        }
        if !self.channel_open(server.spec.place, state, now) {
            return false;
        }
        let slots = f64::from(server.spec.slots);
        if spec.may_wait {
            return self.takes_waiting(server, state, now);
        }
        let load = server.load(now);
        load < slots || (server.in_flight == 0 && load < slots + OVERBOOKED)
    }

    /// Waiting work takes one slot of a server that it is dealt, and leaves one free unless it has aged.
    fn takes_waiting(&self, server: &Backend, state: &Request, now: Time) -> bool {
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

    fn others_usable(&self, server: &Backend, now: Time) -> bool {
        let Some(tiers) = self.tiers.get(usize::from(server.spec.service)) else {
            return false;
        };
        let healthy = |id: &BackendId| {
            let other = self.backends.get(id);
            other.is_some_and(|other| !other.suspect() && !other.leaving() && !other.unavailable(now))
        };
        tiers.iter().flatten().any(healthy)
    }

    /// Whether work may leave the region: it has nothing there, or would wait too long.
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
        now.since(state.arrived) >= REMOTE_WORTH || self.expected_wait(state.class) >= REMOTE_WORTH
    }

    /// Whether the link and the other region have room within our share. Answers of a class that none was seen of may
    /// be of any size, so they cross a link with a cap one by one.
    pub(super) fn channel_open(&self, place: Place, state: &Request, now: Time) -> bool {
        let Place::Remote(region) = place else { return true };
        let Some(channel) = self.channels.get(&region) else {
            return false;
        };
        let class = &self.classes[state.class];
        if !class.sized() && !channel.open && channel.unsized_in_flight > 0 {
            return false;
        }
        let most = class.size().max(state.bytes as f64);
        channel.in_flight < channel.limit && channel.bucket.clone().level(now) >= most
    }

    /// Takes the link's bytes of an attempt in advance, by the busier direction.
    fn reserve(&mut self, place: Place, class: usize, bytes: f64, now: Time) -> Option<Reserve> {
        let Place::Remote(region) = place else { return None };
        let channel = self.channels.get_mut(&region)?;
        let class = &self.classes[class];
        let reserve = Reserve { region, bytes: bytes.max(class.size()), sized: class.sized() };
        channel.in_flight += 1;
        channel.unsized_in_flight += u32::from(!reserve.sized);
        channel.bucket.charge(reserve.bytes, now);
        Some(reserve)
    }
}
