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
const WARM_WHERE_IT_LIVES: f64 = 0.9;
/// The same for its other home.
const WARM_ELSEWHERE: f64 = 0.2;
/// How the part of the objects that live near falls with the region's part of the slots: a region that is short of
/// servers keeps less than these could carry when all objects are new to them, as at the start.
const SHORTNESS: f64 = 1.5;
/// Part of the target that it is worth not to bring a server an object that is new to it: such work is late in any
/// case, and drives another object out.
const NEW_COST: f64 = 1.0;
/// Part of the target that bytes between regions are worth.
const REMOTE_COST: f64 = 0.1;
/// Part of the target that bytes between failure domains are worth.
const DOMAIN_COST: f64 = 0.02;
/// The way to another region and back.
const REMOTE_WAY: Duration = Duration::from_millis(30);
/// The way to another failure domain and back.
const DOMAIN_WAY: Duration = Duration::from_millis(3);
/// Requests at one server at most, for each of its slots.
const DEPTH: f64 = 4.0;
/// Requests of ours at a server that has not told its load yet, at most.
const UNTOLD: u32 = 1;
/// The same at the home where the request's object lives: elsewhere it would be one more server's work to learn it.
const UNTOLD_WHERE_IT_LIVES: u32 = 2;
/// Slots that work which will be late leaves free.
const SPARED: f64 = 1.0;
/// Time between two guesses of what servers do that have not told their load.
const GUESS_EVERY: Duration = Duration::from_millis(500);

/// The servers that serve an object now, near and elsewhere.
pub(super) type Homes = [Option<BackendId>; 2];

/// A server that may run work on an object.
struct Home {
    id: BackendId,
    /// Whether the object lives there rather than at its other home.
    lives: bool,
    /// How likely the object is warm there if we have not seen it.
    warm: f64,
}

impl Engine {
    /// The server for the next attempt of a request about `object`, `None` if it has to wait; and its homes.
    pub(super) fn pick_keyed(&self, state: &Request, object: u64, now: Time) -> (Option<BackendId>, Homes) {
        let score = |home: Home| {
            let server = self.backends.get(&home.id)?;
            let warm = if self.warmth.has(home.id, object) { 1.0 } else { home.warm };
            let finish = self.time_to_answer(server, state, warm, now);
            let taken = self.takes(server, state, finish, home.lives, now);
            taken.then(|| (finish.as_secs_f64() + self.price(server, state, warm), home.id))
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
            let warm = if self.warmth.has(home.id, object) { 1.0 } else { home.warm };
            let finish = self.time_to_answer(server, state, warm, now);
            Some(Candidate {
                backend: home.id,
                load: server.load(now),
                pace: server.pace(now),
                expected_latency: finish,
            })
        })
    }

    /// The two servers that serve the object, near and elsewhere, whether they can take a request now or not.
    fn homes(&self, state: &Request, object: u64, now: Time) -> [Option<Home>; 2] {
        let service = usize::from(state.service);
        let Some([near, far]) = self.tiers.get(service) else {
            return [None, None];
        };
        let lives_near = self.near_parts.get(service).is_none_or(|part| hash::unit_interval(object) < *part);
        let home = |servers: &[BackendId], lives: bool| {
            let id = self.first(servers, state, object, now)?;
            let warm = if lives { WARM_WHERE_IT_LIVES } else { WARM_ELSEWHERE };
            Some(Home { id, lives, warm })
        };
        [home(near, lives_near), home(far, !lives_near)]
    }

    /// The first of `servers` in the object's order that serves. Few of them are looked up: only those that come before
    /// all that were seen so far.
    fn first(&self, servers: &[BackendId], state: &Request, object: u64, now: Time) -> Option<BackendId> {
        let class = &self.classes[state.class].spec;
        let up = |id: &BackendId| {
            let server = self.backends.get(id);
            server.is_some_and(|server| {
                let open = !server.leaving() && !server.unavailable(now) && !state.barred.contains(id);
                open && class.allows(server.spec.region)
            })
        };
        let mut first = None;
        for id in servers {
            let rank = hash::combine(object, u64::from(*id));
            if first.is_none_or(|(best, _)| rank > best) && up(id) {
                first = Some((rank, *id));
            }
        }
        first.map(|(_, id)| id)
    }

    /// The part of a service's objects that live near: all of them, or fewer where the region has less than its even
    /// part of the slots.
    pub(super) fn near_part(&self, service: usize) -> f64 {
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
        (regions as f64 * near / (near + far)).min(1.0).powf(SHORTNESS)
    }

    /// Takes servers that have not told their load to be as busy as the others of their service: those nobody has
    /// asked yet are not empty.
    pub(super) fn guess_loads(&mut self, service: u16, now: Time) {
        let last = self.guessed.entry(service).or_insert(Time::ZERO);
        if now.since(*last) < GUESS_EVERY {
            return;
        }
        *last = now;
        let servers = self.backends.values().filter(|server| server.spec.service == service);
        let told = servers.filter_map(Backend::usual_others);
        let (count, sum) = told.fold((0.0, 0.0), |(count, sum), one| (count + 1.0, sum + one));
        let servers = self.backends.values_mut().filter(|server| server.spec.service == service);
        servers.for_each(|server| server.assume_others(sum / f64::max(count, 1.0)));
    }

    /// Whether a server can be sent a request now that would be answered after `finish`: in time, or on a free slot.
    fn takes(&self, server: &Backend, state: &Request, finish: Duration, lives: bool, now: Time) -> bool {
        if !server.admits(now) || server.eased() || !self.channel_open(server.spec.place, state, now) {
            return false;
        }
        if server.suspect() {
            return server.in_flight == 0;
        }
        let untold = if lives { UNTOLD_WHERE_IT_LIVES } else { UNTOLD };
        if server.told().is_none() && server.in_flight >= untold {
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
