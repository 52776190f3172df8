//! Waiting requests without an object: order of priority, early refusal, ageing.

use std::time::Duration;

use base::error::Kind;
use base::time::Time;

use super::{Engine, HELD_RECHECK_INTERVAL, RECHECK_INTERVAL, Timer};
use crate::backend::BackendId;
use crate::class::Class;

impl Engine {
    /// Returns why a request of `class` cannot be accepted. If the queue is full, drops a waiting request of lower
    /// priority for it.
    pub(super) fn admission_error(&mut self, class: usize, fingerprint: u64, now: Time) -> Option<Kind> {
        if self.stopping {
            return Some(Kind::Leaving);
        }
        if self.quarantine.is_quarantined(fingerprint, now) {
            return Some(Kind::Poisoned);
        }
        if self.queued >= self.limits.max_queued && !self.displace(class, now) {
            return Some(Kind::QueueFull);
        }
        if self.expected_wait(class) > self.classes[class].spec.deadline {
            return Some(Kind::WontFinish);
        }
        if now < self.limits_end_at && self.lacks_rate_room(class, now) {
            return Some(Kind::RateLimited);
        }
        None
    }

    /// Returns whether every server that may run a new request of `class` limits its rate, and those that wait already
    /// use up the room until the request's deadline.
    fn lacks_rate_room(&self, class: usize, now: Time) -> bool {
        let Class { spec, queue, .. } = &self.classes[class];
        let Some(tiers) = self.tiers.get(usize::from(spec.service)) else { return false };
        let mut room = 0.0;
        for server in tiers.iter().flatten().filter_map(|id| self.backends.get(id)) {
            if server.leaving() || !spec.regions.contains(server.spec.region) {
                continue;
            }
            if !server.rate_limited(now) {
                return false;
            }
            room += server.rate_room(now + spec.deadline, now).max(0.0);
        }
        !queue.is_empty() && queue.len() as f64 >= room
    }

    /// Puts a request into the queue of its class, at the front if it was sent before.
    pub(super) fn enqueue(&mut self, request: u64, at_front: bool) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.queued = true;
        self.queued += 1;
        let queue = &mut self.classes[state.class].queue;
        if at_front {
            queue.push_front(request);
        } else {
            queue.push_back(request);
        }
    }

    /// Sends the waiting requests that can be sent, by priority, aged waiting work first.
    pub(super) fn dispatch_waiting(&mut self, now: Time) {
        self.dispatch_waiting_for(None, now);
    }

    /// The same after an attempt at `freed` ended: of the held requests, tries only those that wait for `freed`.
    /// `None` tries all.
    pub(super) fn dispatch_waiting_for(&mut self, freed: Option<BackendId>, now: Time) {
        if self.held() > 0 {
            self.dispatch_held(freed, now);
            if self.held() > 0 {
                self.schedule_recheck(now);
            }
        }
        if self.queued == 0 {
            return;
        }
        for index in 0..self.priority_order.len() {
            let class = self.priority_order[index];
            if self.head_aged(class, now) {
                self.dispatch_class(class, now);
            }
        }
        for index in 0..self.priority_order.len() {
            self.dispatch_class(self.priority_order[index], now);
        }
        if self.queued > 0 {
            self.schedule_recheck(now);
        }
    }

    /// Returns the expected wait of a new request of `class`, from its queue and its attempts in flight.
    pub(super) fn expected_wait(&self, class: usize) -> Duration {
        let class = &self.classes[class];
        let ahead = class.queue.len() as u32;
        let running = class.in_flight.max(1);
        class.typical_latency() * ahead / running
    }

    /// Sends the waiting requests of `class` in order until one has to wait; refuses those that no server can run or
    /// that cannot finish in time, unless one is due as a trial and a server is free for it.
    pub(super) fn dispatch_class(&mut self, class: usize, now: Time) {
        while let Some(request) = self.classes[class].queue.front().copied() {
            if self.attempts.len() >= self.limits.max_in_flight {
                return;
            }
            if self.refuse_expired(request, now) {
                continue;
            }
            let cannot_finish = self.cannot_finish(request, now);
            if cannot_finish && !self.trial_is_due(request, now) {
                self.refuse(request, Kind::WontFinish, now);
                continue;
            }
            let Some(backend) = self.pick(request, now) else {
                if cannot_finish {
                    self.refuse(request, Kind::WontFinish, now);
                    continue;
                }
                if self.reinstate_slow(request, now) {
                    continue;
                }
                match self.unplaceable(request, now) {
                    Some(kind) => self.refuse(request, kind, now),
                    None => return,
                }
                continue;
            };
            self.classes[class].queue.pop_front();
            self.queued -= 1;
            if let Some(state) = self.requests.get_mut(&request) {
                state.queued = false;
            }
            self.start(request, backend, now);
            if cannot_finish {
                self.record_trial_start(request, now);
            }
        }
    }

    /// Returns whether a request that cannot finish may be sent as a trial: it could not when it arrived either, and has not just
    /// waited for too long.
    fn trial_is_due(&self, request: u64, now: Time) -> bool {
        let Some(state) = self.requests.get(&request) else {
            return false;
        };
        let class = &self.classes[state.class];
        class.trials.is_due(now) && state.arrived + class.typical_latency() / 2 > state.deadline
    }

    fn record_trial_start(&mut self, request: u64, now: Time) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        if let Some(attempt) = state.live.last() {
            self.classes[state.class].trials.start(*attempt, state.deadline, now);
        }
    }

    /// Returns whether a request is too close to its deadline to finish, at half the typical latency.
    fn cannot_finish(&self, request: u64, now: Time) -> bool {
        let Some(state) = self.requests.get(&request) else {
            return false;
        };
        let half_latency = self.classes[state.class].typical_latency() / 2;
        now + half_latency > state.deadline
    }

    fn head_aged(&self, class: usize, now: Time) -> bool {
        let head = self.classes[class].queue.front();
        let arrived = head.and_then(|request| self.requests.get(request)).map(|state| state.arrived);
        arrived.is_some_and(|arrived| self.classes[class].aged(arrived, now))
    }

    /// Drops the newest waiting request of the class of lowest priority below `class`; returns whether there was one.
    fn displace(&mut self, class: usize, now: Time) -> bool {
        let rank = self.classes[class].spec.rank;
        let lower_priority =
            |index: &&usize| self.classes[**index].spec.rank > rank && !self.classes[**index].queue.is_empty();
        let Some(victim) = self.priority_order.iter().rev().find(lower_priority).copied() else {
            return false;
        };
        let Some(request) = self.classes[victim].queue.back().copied() else {
            return false;
        };
        self.refuse(request, Kind::QueueFull, now);
        true
    }

    /// Schedules a recheck of the waiting requests: slots also become free when work of other daemons ends, which
    /// this daemon does not observe.
    pub(super) fn schedule_recheck(&mut self, now: Time) {
        if self.recheck_at.is_none() {
            let at = now + if self.queued > 0 { RECHECK_INTERVAL } else { HELD_RECHECK_INTERVAL };
            self.recheck_at = Some(at);
            self.timers.insert((at, Timer::Recheck));
        }
    }
}
