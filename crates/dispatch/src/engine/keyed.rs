//! Choice of a server for requests about an object, by when each would finish.
//!
//! Load pattern: many requests about few objects, and servers that work several times faster on an object that
//! they handled lately. Spreading an object over all servers makes each of them slow; keeping it on one makes a
//! queue there. Every daemon ranks the servers of an object in the same order without a word to the others, so
//! an object's requests meet at the same few servers, and goes further down when the first ones are busy.

use std::time::Duration;

use base::hash;
use base::time::Time;

use super::{Engine, Request};
use crate::backend::{Backend, BackendId, Place};

/// Servers of an object that are looked at.
const RANKED: usize = 12;
/// How likely another daemon has made an object warm at the server of each rank, before we have seen it.
const WARM_BY_RANK: [f64; 4] = [0.8, 0.5, 0.25, 0.1];
/// Part of the target that bytes between regions are worth.
const REMOTE_COST: f64 = 0.1;
/// Part of the target that bytes between failure domains are worth.
const DOMAIN_COST: f64 = 0.02;
/// The way to another region and back, before anything was seen.
const REMOTE_WAY: Duration = Duration::from_millis(30);
/// The way to another failure domain and back, before anything was seen.
const DOMAIN_WAY: Duration = Duration::from_millis(3);
/// Requests of ours at one server at most, for each of its slots.
const DEPTH: u32 = 3;

impl Engine {
    /// The server for the next attempt of a request about `object`; `None` if it has to wait.
    pub(super) fn pick_keyed(&mut self, state: &Request, object: u64, now: Time) -> Option<BackendId> {
        let ranked = self.ranked(state, object, now);
        let score = |(rank, id): (usize, &BackendId)| {
            let server = self.backends.get(id)?;
            Some((self.cost(server, state, object, rank, now), *id))
        };
        let best = ranked.iter().enumerate().filter_map(score).min_by(|one, other| one.0.total_cmp(&other.0));
        best.map(|(_, id)| id)
    }

    /// The usable servers of the request's service, in the object's order, the first few.
    fn ranked(&self, state: &Request, object: u64, now: Time) -> Vec<BackendId> {
        let Some(tiers) = self.tiers.get(usize::from(state.service)) else {
            return Vec::new();
        };
        let usable = |id: &&BackendId| {
            let server = self.backends.get(id);
            server.is_some_and(|server| self.usable_keyed(server, state, now))
        };
        let mut ranked: Vec<(u64, BackendId)> =
            tiers.iter().flatten().filter(usable).map(|id| (hash::pair(object, u64::from(*id)), *id)).collect();
        if ranked.len() > RANKED {
            ranked.select_nth_unstable_by(RANKED, |one, other| other.cmp(one));
            ranked.truncate(RANKED);
        }
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    fn usable_keyed(&self, server: &Backend, state: &Request, now: Time) -> bool {
        let spec = &self.classes[state.class].spec;
        if server.leaving() || server.closed(now) || state.barred.contains(&server.spec.id) {
            return false;
        }
        if !spec.allows(server.spec.region) {
            return false;
        }
        let most = if server.suspect() { 1 } else { server.spec.slots * DEPTH };
        server.in_flight < most && server.admits(now) && self.channel_open(server.spec.place, state, now)
    }

    /// What it costs to run the request at `server`, in seconds: the time to its answer, and what the way costs.
    fn cost(&self, server: &Backend, state: &Request, object: u64, rank: usize, now: Time) -> f64 {
        let class = &self.classes[state.class];
        let target = class.spec.target.as_secs_f64();
        let (way, price) = match server.spec.place {
            Place::Domain => (Duration::ZERO, 0.0),
            Place::Region => (DOMAIN_WAY, DOMAIN_COST * target),
            Place::Remote(_) => (REMOTE_WAY, REMOTE_COST * target),
        };
        let warm =
            if self.warmth.has(server.spec.id, object) { 1.0 } else { WARM_BY_RANK.get(rank).copied().unwrap_or(0.0) };
        let work = class.warm().as_secs_f64() * warm + class.cold().as_secs_f64() * (1.0 - warm);
        let slots = f64::from(server.spec.slots.max(1));
        let ahead = (server.load(now) + 1.0 - slots).max(0.0) / slots;
        let wait = ahead * class.typical().as_secs_f64();
        way.as_secs_f64() + price + (work + wait) * server.pace(now)
    }
}
