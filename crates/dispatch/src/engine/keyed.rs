//! Choice of a server for requests about an object, by when each would finish.
//!
//! Load pattern: many requests about few objects, and servers that work several times faster on an object that
//! they handled lately, but remember only some dozens. Spreading an object over many servers makes each of them
//! slow, which fills them, which spreads the object further; keeping it on one makes a queue there. Every daemon
//! ranks the servers of an object in the same order without a word to the others. An object has two homes: the
//! first server of its order in the daemon's region and the first one elsewhere. Both are the same after a restart,
//! when a daemon knows nothing else.

use std::collections::BTreeSet;
use std::time::Duration;

use base::hash;
use base::time::Time;

use super::{Candidate, Engine, Request};
use crate::backend::{Backend, BackendId, Place};

/// How likely other daemons have made an object warm at the home where it lives, before we have seen it.
const PRIMARY_WARM_PROBABILITY: f64 = 0.9;
/// The same for its other home.
const SECONDARY_WARM_PROBABILITY: f64 = 0.2;
/// How the part of the objects that live near falls with the region's part of the slots: a region that is short of
/// servers keeps less than these could carry when all objects are new to them, as at the start.
const SHORTAGE_EXPONENT: f64 = 1.5;
/// Part of the target that it is worth not to bring a server an object that is new to it: such work is late in any
/// case, and drives another object out.
const COLD_COST: f64 = 1.0;
/// Part of the target that bytes between regions are worth.
const REMOTE_COST: f64 = 0.1;
/// Part of the target that bytes between failure domains are worth.
const DOMAIN_COST: f64 = 0.02;
/// The way to another region and back.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(30);
/// The way to another failure domain and back.
const DOMAIN_ROUND_TRIP: Duration = Duration::from_millis(3);
/// Requests at one server at most, for each of its slots.
const MAX_LOAD_PER_SLOT: f64 = 4.0;
/// Requests of ours at a server that has not told its load yet, at most.
const MAX_UNREPORTED: u32 = 1;
/// The same at the home where the request's object lives: elsewhere it would be one more server's work to learn it.
const MAX_UNREPORTED_AT_PRIMARY: u32 = 2;
/// Slots that work which will be late leaves free.
const RESERVED_SLOTS: f64 = 1.0;
/// Time between two guesses of what servers do that have not told their load.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(500);

/// The servers that serve an object now, near and elsewhere.
pub(super) type Homes = [Option<BackendId>; 2];

/// A server that may run work on an object.
struct Home {
    id: BackendId,
    /// Whether the object lives there rather than at its other home.
    is_primary: bool,
    /// How likely the object is warm there if we have not seen it.
    warm_probability: f64,
}

impl Engine {
    /// The server for the next attempt of a request about `object`, `None` if it has to wait; and its homes.
    pub(super) fn pick_keyed(&self, state: &Request, object: u64, now: Time) -> (Option<BackendId>, Homes) {
        let score = |home: Home| {
            let server = self.backends.get(&home.id)?;
            let warm_probability = if self.warmth.has(home.id, object) { 1.0 } else { home.warm_probability };
            let latency = self.expected_latency(server, state, warm_probability, now);
            let accepted = self.accepts(server, state, latency, home.is_primary, now);
            accepted.then(|| (latency.as_secs_f64() + self.placement_cost(server, state, warm_probability), home.id))
        };
        let homes = self.homes(state, object, now);
        let ids = homes.each_ref().map(|home| home.as_ref().map(|home| home.id));
        let scored = homes.into_iter().flatten().filter_map(score);
        (scored.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, id)| id), ids)
    }

    /// What the two servers of a request's object could do for it now, for logs.
    pub(super) fn candidates(&self, state: &Request, now: Time) -> [Option<Candidate>; 2] {
        let Some(object) = state.object else {
            return [None, None];
        };
        self.homes(state, object, now).map(|home| {
            let home = home?;
            let server = self.backends.get(&home.id)?;
            let warm_probability = if self.warmth.has(home.id, object) { 1.0 } else { home.warm_probability };
            let latency = self.expected_latency(server, state, warm_probability, now);
            Some(Candidate {
                backend: home.id,
                load: server.load(now),
                pace: server.pace(now),
                expected_latency: latency,
            })
        })
    }

    /// The two servers that serve the object, near and elsewhere, whether they can take a request now or not.
    fn homes(&self, state: &Request, object: u64, now: Time) -> [Option<Home>; 2] {
        let service = usize::from(state.service);
        let Some([near, far]) = self.tiers.get(service) else {
            return [None, None];
        };
        let primary_near = self.near_shares.get(service).is_none_or(|share| hash::unit(object) < *share);
        let home = |servers: &[BackendId], is_primary: bool| {
            let id = self.home_in(servers, state, object, now)?;
            let warm_probability = if is_primary { PRIMARY_WARM_PROBABILITY } else { SECONDARY_WARM_PROBABILITY };
            Some(Home { id, is_primary, warm_probability })
        };
        [home(near, primary_near), home(far, !primary_near)]
    }

    /// The first of `servers` in the object's order that serves. Few of them are looked up: only those that come before
    /// all that were seen so far.
    fn home_in(&self, servers: &[BackendId], state: &Request, object: u64, now: Time) -> Option<BackendId> {
        let class = &self.classes[state.class].spec;
        let usable = |id: &BackendId| {
            let server = self.backends.get(id);
            server.is_some_and(|server| {
                let serves = !server.leaving() && !server.unavailable(now) && !state.excluded.contains(id);
                serves && class.allows(server.spec.region)
            })
        };
        let mut first = None;
        for id in servers {
            let rank = hash::pair(object, u64::from(*id));
            if first.is_none_or(|(best, _)| rank > best) && usable(id) {
                first = Some((rank, *id));
            }
        }
        first.map(|(_, id)| id)
    }

    /// The part of a service's objects that live near: all of them, or fewer where the region has less than its even
    /// part of the slots.
    pub(super) fn near_share(&self, service: usize) -> f64 {
        let Some([near, far]) = self.tiers.get(service) else {
            return 1.0;
        };
        let slots = |ids: &[BackendId]| {
            let serving = ids.iter().filter_map(|id| self.backends.get(id)).filter(|server| !server.leaving());
            serving.map(|server| f64::from(server.spec.slots)).sum::<f64>()
        };
        let regions = far.iter().filter_map(|id| self.backends.get(id)).map(|server| server.spec.region);
        let regions = regions.collect::<BTreeSet<u16>>().len() + 1;
        let (near, far) = (slots(near), slots(far));
        if near + far <= 0.0 {
            return 1.0;
        }
        (regions as f64 * near / (near + far)).min(1.0).powf(SHORTAGE_EXPONENT)
    }

    /// Takes servers that have not told their load to be as busy as the others of their service: those nobody has
    /// asked yet are not empty.
    pub(super) fn estimate_loads(&mut self, service: u16, now: Time) {
        let last = self.loads_estimated_at.entry(service).or_insert(Time::ZERO);
        if now.since(*last) < ESTIMATE_INTERVAL {
            return;
        }
        *last = now;
        let servers = self.backends.values().filter(|server| server.spec.service == service);
        let reported = servers.filter_map(Backend::average_others);
        let (count, sum) = reported.fold((0.0, 0.0), |(count, sum), one| (count + 1.0, sum + one));
        let servers = self.backends.values_mut().filter(|server| server.spec.service == service);
        servers.for_each(|server| server.assume_others(sum / f64::max(count, 1.0)));
    }

    /// Whether a server can be sent a request now that would be answered after `finish`: in time, or on a free slot.
    fn accepts(&self, server: &Backend, state: &Request, latency: Duration, is_primary: bool, now: Time) -> bool {
        if !server.admits(now) || server.at_resume_limit() || !self.link_has_capacity(server.spec.place, state, now) {
            return false;
        }
        if server.suspect() {
            return server.in_flight == 0;
        }
        let max_unreported = if is_primary { MAX_UNREPORTED_AT_PRIMARY } else { MAX_UNREPORTED };
        if server.reported_at().is_none() && server.in_flight >= max_unreported {
            return false;
        }
        let (load, slots) = (server.load(now), f64::from(server.spec.slots));
        let target = state.arrived + self.classes[state.class].spec.target;
        let in_time = now + latency <= target && load < slots * MAX_LOAD_PER_SLOT;
        in_time || load < slots - RESERVED_SLOTS
    }

    /// Time to the answer if the request is sent to `server`, where its object is warm with likelihood `warm`.
    fn expected_latency(&self, server: &Backend, state: &Request, warm_probability: f64, now: Time) -> Duration {
        let class = &self.classes[state.class];
        let round_trip = match server.spec.place {
            Place::Domain => Duration::ZERO,
            Place::Region => DOMAIN_ROUND_TRIP,
            Place::Remote(_) => REMOTE_ROUND_TRIP,
        };
        let work = class.work.warm().mul_f64(warm_probability) + class.work.cold().mul_f64(1.0 - warm_probability);
        let slots = f64::from(server.spec.slots.max(1));
        let ahead = (server.load(now) + 1.0 - slots).max(0.0) / slots;
        round_trip + (work + class.work.warm().mul_f64(ahead)).mul_f64(server.pace(now))
    }

    /// What it costs besides time to run the request at `server`, in seconds.
    fn placement_cost(&self, server: &Backend, state: &Request, warm_probability: f64) -> f64 {
        let target = self.classes[state.class].spec.target.as_secs_f64();
        let distance = match server.spec.place {
            Place::Domain => 0.0,
            Place::Region => DOMAIN_COST,
            Place::Remote(_) => REMOTE_COST,
        };
        (distance + COLD_COST * (1.0 - warm_probability)) * target
    }
}
