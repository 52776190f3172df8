//! Choice of a server for requests about an object, by when each would finish.
//!
//! Load pattern: many requests about few objects, and servers that work several times faster on an object that
//! they handled lately, but remember only some dozens. Spreading an object over all servers makes each of them
//! slow, which fills them, which spreads the object further; keeping it on one makes a queue there. Every daemon
//! ranks the servers of an object in the same order without a word to the others. An object has a few homes: the
//! first servers of its order in the daemon's region, as many as these can remember, and the first ones elsewhere
//! for what does not fit.

use std::collections::BTreeSet;
use std::time::Duration;

use base::hash;
use base::time::Time;

use super::{Engine, Request};
use crate::backend::{Backend, BackendId, Place};
use crate::share::Share;
use crate::warmth;

/// Homes of an object in the daemon's region at most.
const NEAR_HOMES: usize = 1;
/// Homes of an object in other regions.
const FAR_HOMES: usize = 1;
/// How likely another daemon has made an object warm at its home of each rank, before we have seen it.
const WARM_NEAR: [f64; NEAR_HOMES] = [0.9];
/// The same for homes in other regions.
const WARM_FAR: [f64; FAR_HOMES] = [0.2];
/// How likely an object that lives in another region is warm at its homes there, and at those near.
const WARM_AWAY: [f64; FAR_HOMES] = [0.9];
const WARM_LEFT: [f64; NEAR_HOMES] = [0.2];
/// Part of the target that it is worth not to bring a server an object that is new to it: such work is late in any
/// case, and drives another object out.
const NEW_COST: f64 = 1.0;
/// Part of the target that bytes between regions are worth.
const REMOTE_COST: f64 = 0.1;
/// Part of the target that bytes between failure domains are worth.
const DOMAIN_COST: f64 = 0.02;
/// The way to another region and back, before anything was seen.
const REMOTE_WAY: Duration = Duration::from_millis(30);
/// The way to another failure domain and back, before anything was seen.
const DOMAIN_WAY: Duration = Duration::from_millis(3);
/// Requests at one server at most, for each of its slots.
const DEPTH: f64 = 4.0;

/// Requests of ours at a server that has not told its load yet, at most.
const UNTOLD: u32 = 1;
/// Slots that work which will be late leaves free.
const SPARED: f64 = 1.0;

/// A server that may run work on an object.
struct Home {
    id: BackendId,
    /// How likely the object is warm there if we have not seen it.
    warm: f64,
}

impl Engine {
    /// The server for the next attempt of a request about `object`; `None` if it has to wait.
    pub(super) fn pick_keyed(&self, state: &Request, object: u64, now: Time) -> Option<BackendId> {
        let homes = self.homes(state, object, now);
        let score = |home: &Home| {
            let server = self.backends.get(&home.id)?;
            let warm = if self.warmth.has(home.id, object) { 1.0 } else { home.warm };
            let finish = self.time_to_answer(server, state, warm, now);
            let taken = self.takes(server, state, finish, now);
            taken.then(|| (finish.as_secs_f64() + self.price(server, state, warm), home.id))
        };
        let best = homes.iter().filter_map(score).min_by(|one, other| one.0.total_cmp(&other.0));
        best.map(|(_, id)| id)
    }

    /// The servers that serve the object, whether they can take a request now or not.
    fn homes(&self, state: &Request, object: u64, now: Time) -> Vec<Home> {
        let Some([near, far]) = self.tiers.get(usize::from(state.service)) else {
            return Vec::new();
        };
        let near = self.ranked(near, state, object, now);
        let far = self.ranked(far, state, object, now);
        let most = self.near_homes(state.service, near.len());
        let share = self.shares.get(&state.service);
        let lives_near = share.is_none_or(|share| share.is_near(hash::unit(object)));
        let (warm_near, warm_far) = if lives_near { (WARM_NEAR, WARM_FAR) } else { (WARM_LEFT, WARM_AWAY) };
        let near = near.into_iter().take(most).zip(warm_near);
        let far = far.into_iter().zip(warm_far);
        near.chain(far).map(|(id, warm)| Home { id, warm }).collect()
    }

    /// Lets the part of the service's objects that live near follow the load there.
    pub(super) fn step_share(&mut self, service: u16, now: Time) {
        let due = self.shares.get(&service).is_none_or(|share| share.due(now));
        let Some([near, far]) = self.tiers.get(usize::from(service)).filter(|_| due) else {
            return;
        };
        let serving = |ids: &[BackendId]| {
            let servers = ids.iter().filter_map(|id| self.backends.get(id));
            let up = servers.filter(|server| !server.leaving() && !server.suspect());
            up.fold((0.0, 0.0), |(slots, load), server| (slots + f64::from(server.spec.slots), load + server.load(now)))
        };
        let ((slots, load), (others, _)) = (serving(near), serving(far));
        let told = near.iter().chain(far).filter_map(|id| self.backends.get(id)?.usual_others());
        let (count, sum) = told.fold((0.0, 0.0), |(count, sum), one| (count + 1.0, sum + one));
        let regions = far.iter().filter_map(|id| self.backends.get(id)).map(|server| server.spec.region);
        let regions = regions.collect::<BTreeSet<u16>>().len() + 1;
        let share = self.shares.entry(service).or_insert_with(|| Share::new(slots, slots + others, regions, now));
        if slots > 0.0 {
            share.step(load / slots, now);
        }
        let servers = self.backends.values_mut().filter(|server| server.spec.service == service);
        servers.for_each(|server| server.assume_others(sum / f64::max(count, 1.0)));
    }

    /// The parts of the services' objects that live near, for the other daemons of the region.
    pub fn near_parts(&self) -> impl Iterator<Item = (u16, &Share)> {
        self.shares.iter().map(|(service, share)| (*service, share))
    }

    /// Takes in what another daemon of the region says of the part of a service's objects that live near.
    pub fn meet_part(&mut self, service: u16, part: f64, steps: u32, now: Time) {
        self.shares.entry(service).or_insert_with(|| Share::new(1.0, 1.0, 1, now)).meet(part, steps);
    }

    /// Homes of each object among `servers` of our region: as many as these can remember all objects.
    fn near_homes(&self, service: u16, servers: usize) -> usize {
        let objects = self.objects.count(service).max(1);
        (warmth::KEPT * servers / objects).clamp(1, NEAR_HOMES)
    }

    /// The first few of `servers` that serve, in the object's order.
    fn ranked(&self, servers: &[BackendId], state: &Request, object: u64, now: Time) -> Vec<BackendId> {
        let class = &self.classes[state.class].spec;
        let up = |id: &&BackendId| {
            let server = self.backends.get(id);
            server.is_some_and(|server| {
                let open = !server.leaving() && !server.closed(now) && !state.barred.contains(id);
                open && class.allows(server.spec.region)
            })
        };
        let most = NEAR_HOMES.max(FAR_HOMES);
        let mut ranked: Vec<(u64, BackendId)> =
            servers.iter().filter(up).map(|id| (hash::pair(object, u64::from(*id)), *id)).collect();
        if ranked.len() > most {
            ranked.select_nth_unstable_by(most, |one, other| other.cmp(one));
            ranked.truncate(most);
        }
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    /// Whether a server can be sent a request now that would be answered after `finish`: in time, or on a free slot.
    fn takes(&self, server: &Backend, state: &Request, finish: Duration, now: Time) -> bool {
        if !server.admits(now) || !self.channel_open(server.spec.place, state, now) {
            return false;
        }
        if server.suspect() {
            return server.in_flight == 0;
        }
        if server.told().is_none() && server.in_flight >= UNTOLD {
            return false;
        }
        let (load, slots) = (server.load(now), f64::from(server.spec.slots));
        let target = state.arrived + self.classes[state.class].spec.target;
        let in_time = now + finish <= target && load < slots * DEPTH;
        in_time || load < slots - SPARED
    }

    /// Time to the answer if the request is sent to `server`, where its object is warm with likelihood `warm`.
    fn time_to_answer(&self, server: &Backend, state: &Request, warm: f64, now: Time) -> Duration {
        let class = &self.classes[state.class];
        let way = match server.spec.place {
            Place::Domain => Duration::ZERO,
            Place::Region => DOMAIN_WAY,
            Place::Remote(_) => REMOTE_WAY,
        };
        let work = class.work.warm().mul_f64(warm) + class.work.cold().mul_f64(1.0 - warm);
        let slots = f64::from(server.spec.slots.max(1));
        let ahead = (server.load(now) + 1.0 - slots).max(0.0) / slots;
        way + (work + class.work.warm().mul_f64(ahead)).mul_f64(server.pace(now))
    }

    /// What it costs besides time to run the request at `server`, in seconds.
    fn price(&self, server: &Backend, state: &Request, warm: f64) -> f64 {
        let target = self.classes[state.class].spec.target.as_secs_f64();
        let way = match server.spec.place {
            Place::Domain => 0.0,
            Place::Region => DOMAIN_COST,
            Place::Remote(_) => REMOTE_COST,
        };
        (way + NEW_COST * (1.0 - warm)) * target
    }
}
