//! Held requests: requests about objects that no home server accepts now.
//!
//! Load pattern: more requests arrive at once than the home servers can answer in time, as after an outage. A queue at
//! the servers would make all of them late, and later requests too. So a server gets what it can still answer within
//! the target. Other requests use free slots, or are held here until a slot is free, at most for the target; then they
//! are refused, while their callers still have time to retry.

use std::time::Duration;

use base::error::Kind;
use base::time::Time;

use super::terms::Precedence;
use super::{Engine, Request};
use crate::backend::BackendId;
use crate::fairness::Arrival as Return;

/// Maximum number of held requests of one service.
const MAX_HELD: usize = 256;
/// Earliest time at which a caller refused for lack of capacity should retry.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time over which callers that were refused together are spread.
const RETRY_SPREAD: Duration = Duration::from_millis(500);
/// Fraction of the remaining pause by which the retries of callers refused for it are spread further past its end.
const PAUSE_SPREAD_RATIO: f64 = 0.5;
/// The same as [`RETRY_DELAY`] for a caller whose request was shed by a server with a free slot: waiting longer does
/// not help.
const FREE_SLOT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The same as [`RETRY_SPREAD`] for such callers.
const FREE_SLOT_RETRY_SPREAD: Duration = Duration::from_millis(30);

/// The order of held requests, the lowest first.
type Order = (Precedence, i32, bool, Time);
/// The order of a request that is no longer known.
const LAST: Order = ((u8::MAX, u8::MAX), i32::MAX, true, Time::MAX);

impl Engine {
    /// Sends a request about an object to a home that accepts it, or holds it.
    pub(super) fn place(&mut self, request: u64, now: Time) {
        if self.refuse_expired(request, now) {
            return;
        }
        if self.is_early(request) {
            return self.refuse(request, Kind::WontFinish, now);
        }
        if let Some(backend) = self.pick(request, now) {
            return self.start(request, backend, now);
        }
        if self.reinstate_slow(request, now)
            && let Some(backend) = self.pick(request, now)
        {
            return self.start(request, backend, now);
        }
        if let Some(kind) = self.unplaceable(request, now) {
            return self.refuse(request, kind, now);
        }
        let Some(service) = self.requests.get(&request).map(|state| state.terms.service) else {
            return;
        };
        if self.has_no_prospect(request, now) {
            return self.refuse(request, Kind::WontFinish, now);
        }
        let held = self.held.entry(service).or_default();
        held.push(request);
        if held.len() > MAX_HELD
            && let Some(last) = self.last_held(service, now)
        {
            self.held.entry(service).or_default().retain(|held| *held != last);
            self.refuse(last, Kind::QueueFull, now);
            if last == request {
                return;
            }
        }
        self.record_held(request, now);
        self.schedule_recheck(now);
    }

    /// Returns the number of held requests.
    pub(super) fn held(&self) -> usize {
        self.held.values().map(Vec::len).sum()
    }

    /// Sends the held requests that a home accepts now, by priority, and refuses those that have waited too long.
    /// `freed` limits this to requests with that home.
    pub(super) fn dispatch_held(&mut self, freed: Option<BackendId>, now: Time) {
        let services: Vec<u16> = self.held.iter().filter(|(_, held)| !held.is_empty()).map(|(id, _)| *id).collect();
        for service in services {
            let held = self.held.remove(&service).unwrap_or_default();
            let affected = |request: &u64| freed.is_none_or(|server| self.waits_for(*request, server));
            let (mut candidates, mut still_held): (Vec<u64>, Vec<u64>) = held.into_iter().partition(affected);
            candidates.sort_by_cached_key(|request| self.held_order(*request, now));
            still_held.extend(candidates.into_iter().filter(|request| self.keep_waiting(*request, now)));
            self.held.entry(service).or_default().extend(still_held);
        }
    }

    /// Returns whether `server` is a home of a held request, or the request is unknown.
    fn waits_for(&self, request: u64, server: BackendId) -> bool {
        self.requests.get(&request).is_none_or(|state| state.homes.contains(&Some(server)))
    }

    /// Tries to send or refuse a held request; returns whether it stays held.
    fn keep_waiting(&mut self, request: u64, now: Time) -> bool {
        if !self.requests.contains_key(&request) {
            return false;
        }
        if self.refuse_expired(request, now) {
            return false;
        }
        if let Some(backend) = self.pick(request, now) {
            self.start(request, backend, now);
            return false;
        }
        if self.wait_exhausted(request, now) {
            self.refuse(request, Kind::WontFinish, now);
            return false;
        }
        if self.requests.get_mut(&request).is_some_and(|state| std::mem::take(&mut state.moved))
            && self.unplaceable(request, now) == Some(Kind::NoBackend)
        {
            self.refuse(request, Kind::NoBackend, now);
            return false;
        }
        if now < self.last_pause_end.max(self.limits_end_at)
            && let Some(kind @ (Kind::Paused | Kind::RateLimited)) = self.unplaceable(request, now)
        {
            self.refuse(request, kind, now);
            return false;
        }
        true
    }

    /// Returns the order in which held requests are sent: by priority, then those of accounts that had least work, then those
    /// that come back as they were told to, then by arrival.
    fn held_order(&self, request: u64, now: Time) -> Order {
        let state = self.requests.get(&request);
        state.map_or(LAST, |state| {
            let place = if state.account.id == 0 { 0 } else { self.usage.place(state.account.id, now) };
            (state.terms.precedence, place, state.returning != Return::AsTold, state.arrived)
        })
    }

    /// Returns the held request of a service that is sent last.
    fn last_held(&self, service: u16, now: Time) -> Option<u64> {
        self.held.get(&service)?.iter().copied().max_by_key(|request| self.held_order(*request, now))
    }

    /// Returns whether a request comes back before its caller was told to while others wait: a caller that repeats at once gains
    /// nothing by it.
    fn is_early(&self, request: u64) -> bool {
        let early = self.requests.get(&request).filter(|state| state.returning == Return::Early && state.attempts == 0);
        early.is_some_and(|state| self.held.get(&state.terms.service).is_some_and(|held| !held.is_empty()))
    }

    /// Returns whether a request of a client account would wait in vain: those that wait for its homes and go before it take
    /// longer than its target leaves.
    fn has_no_prospect(&self, request: u64, now: Time) -> bool {
        let Some(state) = self.requests.get(&request).filter(|state| state.account.id != 0) else { return false };
        let order = self.held_order(request, now);
        let class = &self.classes[state.class];
        let waits = |home: BackendId| {
            let held = self.held.get(&state.terms.service).into_iter().flatten();
            let ahead = held.filter(|other| self.waits_for(**other, home) && self.held_order(**other, now) < order);
            let slots = self.backends.get(&home).map_or(1, |server| server.spec.slots.max(1));
            class.work.warm() * (ahead.count() as u32) / slots
        };
        let shortest = state.homes.iter().flatten().map(|home| waits(*home)).min();
        let target = state.arrived + class.spec.target;
        shortest.is_some_and(|wait| now + wait + class.work.warm() > target)
    }

    /// Records the work of a request that starts for its client account.
    pub(super) fn record_usage(&mut self, request: u64, warm: Option<bool>, pace: f64, now: Time) {
        let Some(state) = self.requests.get(&request).filter(|state| state.account.id != 0) else { return };
        let class = &self.classes[state.class];
        let work = match warm {
            Some(true) => class.work.warm(),
            Some(false) => class.work.cold(),
            None => class.typical_latency(),
        };
        self.usage.record_outcome(state.target_fraction, false);
        self.usage.record(state.account.id, work.mul_f64(pace), now);
    }

    /// Sets how many requests of a client account there are at all daemons for each one at this daemon.
    pub fn set_fleet_factor(&mut self, account: u64, factor: f64) {
        self.usage.set_fleet_factor(account, factor);
    }

    /// Returns whether a request has waited for its whole target, or can no longer be answered before its deadline.
    fn wait_exhausted(&self, request: u64, now: Time) -> bool {
        let Some(state) = self.requests.get(&request) else {
            return true;
        };
        let class = &self.classes[state.class];
        now.since(state.arrived) >= class.spec.target || now + class.work.warm() > state.deadline
    }

    /// Returns the earliest time at which one of the servers that may run the work of `state` accepts work again.
    pub(super) fn pause_end(&self, state: &Request, now: Time) -> Option<Time> {
        let servers = self.tiers.get(usize::from(state.terms.service)).into_iter().flatten().flatten();
        let serving = servers.filter_map(|id| self.backends.get(id)).filter(|server| !server.leaving());
        serving.filter(|server| state.terms.allow(&server.spec)).map(|server| server.available_at(now)).min()
    }

    /// Returns when a caller refused for `kind` should retry; `None` for the usual time of the kind. `free_slot` is
    /// whether the server that shed the request had a free slot, `pause_end` when a server accepts its work again.
    pub(super) fn retry_after(
        &mut self,
        kind: Kind,
        free_slot: bool,
        pause_end: Option<Time>,
        now: Time,
    ) -> Option<Duration> {
        match kind {
            Kind::Paused | Kind::RateLimited => {
                let left = pause_end.unwrap_or(now).since(now);
                let spread = RETRY_SPREAD + left.mul_f64(PAUSE_SPREAD_RATIO);
                Some(left + spread.mul_f64(self.rng.f64()))
            }
            Kind::Shed if free_slot => Some(FREE_SLOT_RETRY_DELAY + FREE_SLOT_RETRY_SPREAD.mul_f64(self.rng.f64())),
            Kind::QueueFull | Kind::WontFinish | Kind::Shed | Kind::Expired => {
                Some(RETRY_DELAY + RETRY_SPREAD.mul_f64(self.rng.f64()))
            }
            _ => None,
        }
    }
}
