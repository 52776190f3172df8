//! Picks a server for requests about an object, by the expected time to the answer.
//!
//! Load pattern: many requests about few objects, and servers that work several times faster on an object that they
//! handled recently, but remember only some dozens. If an object is spread over many servers, each of them is slow,
//! which fills them and spreads the object further; if it stays at one server, a queue forms there. So an object has
//! two homes: the first server of a ranking by hash among those of the daemon's region, and the first one among those
//! of other regions. All daemons compute the same ranking without communication, also after a restart, when a daemon
//! has no other knowledge.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::hash;
use base::time::Time;

use super::{Candidate, Engine, Request};
use crate::backend::{Backend, BackendId, Place};

/// Probability that other daemons have made an object warm at its primary home, before this daemon has sent it there.
const PRIMARY_WARM_PROBABILITY: f64 = 0.9;
/// The same for the other home.
const SECONDARY_WARM_PROBABILITY: f64 = 0.2;
/// Exponent by which the share of objects with a near primary home falls with the region's share of slots. A region
/// that is short of servers keeps fewer objects than its servers could carry if all objects were cold, as at a start.
const SHORTAGE_EXPONENT: f64 = 1.5;
/// Cost of sending a cold object to a server, as a fraction of the target: such work is late in any case, and evicts
/// another object.
const COLD_COST: f64 = 1.0;
/// Cost of traffic between regions, as a fraction of the target.
const REMOTE_COST: f64 = 0.1;
/// Cost of traffic between failure domains, as a fraction of the target.
const DOMAIN_COST: f64 = 0.02;
/// Network round trip to another region.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(30);
/// Network round trip to another failure domain of the region.
const DOMAIN_ROUND_TRIP: Duration = Duration::from_millis(3);
/// Maximum load of a server for each of its slots.
const MAX_LOAD_PER_SLOT: f64 = 4.0;
/// Maximum number of this daemon's requests at a server that has not reported its load yet.
const MAX_UNREPORTED: u32 = 1;
/// The same at the primary home of the request's object: sent elsewhere, the object would be cold at one more server.
const MAX_UNREPORTED_AT_PRIMARY: u32 = 2;
/// Slots that requests which will miss the target must leave free.
const RESERVED_SLOTS: f64 = 1.0;
/// Interval between estimates of the load of servers without a report.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(500);
/// The same where the estimate also stands in for reports that are old: it must follow the load.
const REGION_ESTIMATE_INTERVAL: Duration = Duration::from_millis(100);

/// The home servers of an object, near and far; `None` where no server is available.
pub(super) type Homes = [Option<BackendId>; 2];

/// A server that may run work on an object.
struct Home {
    id: BackendId,
    /// Whether this is the primary home of the object.
    is_primary: bool,
    /// Probability that the object is warm there if this daemon has not sent it there recently.
    warm_probability: f64,
}

impl Engine {
    /// Picks the server for the next attempt of a request about `object`, `None` if the request has to wait; also
    /// returns its homes.
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
        let home = scored.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, id)| id);
        (home.or_else(|| self.pick_rate_limited(state, now)), ids)
    }

    /// Picks a server that limits its rate and has room in this daemon's share, for a request that no home accepts.
    ///
    /// Load pattern: many servers of a service limit their rate, and the others are full. A daemon that may send to such
    /// a server has requests about only few of its objects, so most of the allowed rate would be unused.
    fn pick_rate_limited(&self, state: &Request, now: Time) -> Option<BackendId> {
        let accepts = |server: &&Backend| {
            let serves = Self::available(server, state, now);
            let latency = self.expected_latency(server, state, 0.0, now);
            serves && now + latency <= state.deadline && self.accepts(server, state, latency, false, now)
        };
        let limited = self.shared_limits.iter().filter_map(|id| self.backends.get(id));
        limited.filter(|server| server.rate_limited(now)).find(accepts).map(|server| server.spec.id)
    }

    /// Returns whether `server` may get the request at all now, however long it would take there.
    fn available(server: &Backend, state: &Request, now: Time) -> bool {
        let in_use = !server.leaving() && !server.unavailable(now) && !state.excluded.contains(&server.spec.id);
        in_use && state.terms.allow(&server.spec)
    }

    /// Returns the load and the expected latency of both home servers, for logs.
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

    /// Returns the home servers of the object, near and far, whether or not they can take a request now.
    fn homes(&self, state: &Request, object: u64, now: Time) -> [Option<Home>; 2] {
        let service = usize::from(state.terms.service);
        let Some([near, far]) = self.tiers.get(service) else {
            return [None, None];
        };
        let home = |id: Option<BackendId>, is_primary: bool| {
            let warm_probability = if is_primary { PRIMARY_WARM_PROBABILITY } else { SECONDARY_WARM_PROBABILITY };
            id.map(|id| Home { id, is_primary, warm_probability })
        };
        let [in_near, in_far] = [near, far].map(|servers| self.homes_in(servers, state, object, now));
        match (in_near, in_far) {
            // A request that may run in one of the two only has its primary home there, whatever the share of other objects.
            ([first, second], [None, None]) | ([None, None], [first, second]) => {
                [home(first, true), home(second, false)]
            }
            ([near, _], [far, _]) => {
                let share = self.near_shares.get(service);
                let primary_near = share.is_none_or(|share| hash::unit_interval(object) < *share);
                [home(near, primary_near), home(far, !primary_near)]
            }
        }
    }

    /// Returns the two highest ranked servers of `servers` for the object that can be homes, the highest first. Servers that have
    /// just started are homes of a part of their objects only, unless there are no others.
    fn homes_in(&self, servers: &[BackendId], state: &Request, object: u64, now: Time) -> [Option<BackendId>; 2] {
        let can_be_home =
            |id: &BackendId| self.backends.get(id).is_some_and(|server| Self::is_home(server, state, now));
        let is_within =
            |id: &BackendId| self.backends.get(id).is_some_and(|server| is_within_part(server, object, now));
        let homes = highest_two(servers, object, |id| can_be_home(id) && is_within(id));
        if homes[0].is_some() { homes } else { highest_two(servers, object, can_be_home) }
    }

    /// Returns whether `server` can be a home of the request's object. One that has just turned a request away stays a home: in
    /// its place the object would be cold.
    fn is_home(server: &Backend, state: &Request, now: Time) -> bool {
        let in_use = !server.leaving() && !server.out_of_use(now) && !state.excluded.contains(&server.spec.id);
        in_use && state.terms.allow(&server.spec)
    }

    /// Returns the share of a service's objects whose primary home is near: all of them, or fewer where the region has
    /// less than an even share of the slots.
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

    /// Assumes that servers without a load report are as busy as the others of their service: servers that this daemon
    /// has not used yet are not idle.
    pub(super) fn estimate_loads(&mut self, service: u16, now: Time) {
        let has_accounts = !self.usage.is_empty();
        let interval = if has_accounts { REGION_ESTIMATE_INTERVAL } else { ESTIMATE_INTERVAL };
        let last = self.loads_estimated_at.entry(service).or_insert(Time::ZERO);
        if now.since(*last) < interval {
            return;
        }
        *last = now;
        if has_accounts {
            return self.estimate_loads_by_region(service, now);
        }
        let servers = self.backends.values().filter(|server| server.spec.service == service);
        let reported = servers.filter_map(Backend::average_others);
        let (count, sum) = reported.fold((0.0, 0.0), |(count, sum), one| (count + 1.0, sum + one));
        let servers = self.backends.values_mut().filter(|server| server.spec.service == service);
        servers.for_each(|server| server.assume_others(sum / f64::max(count, 1.0), 0.0));
    }

    /// Assumes that servers without a load report, and those whose last one is long ago, are as busy as the others of their service
    /// in their region.
    ///
    /// Load pattern: client accounts ask for more than a region can do, and many daemons share its servers. Each of them learns
    /// of a server only by its own answers. If it took a server for idle after a moment of silence, all of them would keep all
    /// servers full, whatever part an account has had. Without accounts that is not worth its price: after a peak, requests
    /// would go to other regions for as long as its reports count.
    fn estimate_loads_by_region(&mut self, service: u16, now: Time) {
        let mut means: BTreeMap<u16, (f64, f64)> = BTreeMap::new();
        for server in self.backends.values().filter(|server| server.spec.service == service) {
            let (weight, sum) = means.entry(server.spec.region).or_default();
            let (recency, others) = server.reported_lately(now);
            *weight += recency;
            *sum += recency * others;
        }
        for server in self.backends.values_mut().filter(|server| server.spec.service == service) {
            let (weight, sum) = means.get(&server.spec.region).copied().unwrap_or_default();
            // With few reports, the assumption is that of an idle server.
            let others = sum / weight.max(1.0);
            server.assume_others(others, others);
        }
    }

    /// Returns whether a request may be sent to a server now if its answer takes `latency`: either it meets the
    /// target, or a slot is free.
    fn accepts(&self, server: &Backend, state: &Request, latency: Duration, is_primary: bool, now: Time) -> bool {
        if server.unavailable(now)
            || !server.admits(now)
            || server.at_resume_limit()
            || !self.link_has_capacity(server.spec.place, state, now)
        {
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
        let target = state.arrived + self.classes[state.class].spec.target.mul_f64(state.target_fraction);
        let in_time = now + latency <= target && load < slots * MAX_LOAD_PER_SLOT;
        // A server with one slot has none to leave free: late requests would never reach it, and no answer would tell that work
        // has become faster.
        in_time || load < (slots - RESERVED_SLOTS).max(1.0)
    }

    /// Returns the time to the answer if the request is sent to `server`, where its object is warm with the given
    /// probability.
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

    /// Returns the cost, besides latency, of running the request at `server`, in seconds.
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

/// Whether `object` is among the part of its objects that a server gets which has just started. The parts of all daemons hold the
/// same objects as far as they are equal.
fn is_within_part(server: &Backend, object: u64, now: Time) -> bool {
    let part = server.part(now);
    part >= 1.0 || hash::unit_interval(hash::combine(u64::from(server.spec.id), object)) < part
}

/// Returns the two highest ranked of `servers` for an object that `usable` accepts, the highest first. Only servers that rank
/// above the second best one so far are looked up.
fn highest_two(servers: &[BackendId], object: u64, usable: impl Fn(&BackendId) -> bool) -> [Option<BackendId>; 2] {
    let mut best: [Option<(u64, BackendId)>; 2] = [None, None];
    for id in servers {
        let ranked = Some((hash::combine(object, u64::from(*id)), *id));
        if ranked > best[1] && usable(id) {
            best = if ranked > best[0] { [ranked, best[0]] } else { [best[0], ranked] };
        }
    }
    best.map(|ranked| ranked.map(|(_, id)| id))
}
