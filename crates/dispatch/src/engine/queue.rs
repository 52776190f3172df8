//! Waiting requests: order of loss, early refusal, ageing.

use std::time::Duration;

use base::error::Kind;
use base::time::Time;

use super::{Engine, LOOK_AGAIN, LOOK_AT_HELD, Timer};
use crate::backend::BackendId;

impl Engine {
    /// Why a request of `class` cannot be taken at all; makes room for it if it comes before others.
    pub(super) fn refusal(&mut self, class: usize, fingerprint: u64, now: Time) -> Option<Kind> {
        if self.stopping {
            return Some(Kind::Leaving);
        }
        if self.quarantine.refuses(fingerprint, now) {
            return Some(Kind::Poisoned);
        }
        if self.queued >= self.limits.max_queued && !self.displace(class, now) {
            return Some(Kind::QueueFull);
        }
        if self.expected_wait(class) > self.classes[class].spec.deadline {
            return Some(Kind::WontFinish);
        }
        None
    }

    /// Puts a request into its queue: first if it was tried before.
    pub(super) fn enqueue(&mut self, request: u64, first: bool) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.queued = true;
        self.queued += 1;
        let queue = &mut self.classes[state.class].queue;
        if first {
            queue.push_front(request);
        } else {
            queue.push_back(request);
        }
    }

    /// Starts what can be started, in the order of loss, aged waiting work first.
    pub(super) fn pump(&mut self, now: Time) {
        self.pump_freed(None, now);
    }

    /// The same after `freed` alone got room, if it is named: what waits for other servers is not looked at.
    pub(super) fn pump_freed(&mut self, freed: Option<BackendId>, now: Time) {
        if self.held() > 0 {
            self.pump_held(freed, now);
            if self.held() > 0 {
                self.look_again(now);
            }
        }
        if self.queued == 0 {
            return;
        }
        for index in 0..self.order.len() {
            let class = self.order[index];
            if self.head_aged(class, now) {
                self.pump_class(class, now);
            }
        }
        for index in 0..self.order.len() {
            self.pump_class(self.order[index], now);
        }
        if self.queued > 0 {
            self.look_again(now);
        }
    }

    /// Time a new request of `class` would wait, judged by what is in flight now.
    pub(super) fn expected_wait(&self, class: usize) -> Duration {
        let class = &self.classes[class];
        let ahead = class.queue.len() as u32;
        let running = class.in_flight.max(1);
        class.typical() * ahead / running
    }

    pub(super) fn pump_class(&mut self, class: usize, now: Time) {
        while let Some(request) = self.classes[class].queue.front().copied() {
            if self.attempts.len() >= self.limits.max_in_flight {
                return;
            }
            if self.hopeless(request, now) {
                self.refuse(request, Kind::WontFinish, now);
                continue;
            }
            let Some(backend) = self.pick(request, now) else {
                if self.pardon(request, now) {
                    continue;
                }
                match self.impossible(request) {
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
        }
    }

    /// Whether a request that was never sent cannot finish any more.
    fn hopeless(&self, request: u64, now: Time) -> bool {
        let Some(state) = self.requests.get(&request) else {
            return false;
        };
        let half = self.classes[state.class].typical() / 2;
        now + half > state.deadline
    }

    fn head_aged(&self, class: usize, now: Time) -> bool {
        let head = self.classes[class].queue.front();
        let arrived = head.and_then(|request| self.requests.get(request)).map(|state| state.arrived);
        arrived.is_some_and(|arrived| self.classes[class].aged(arrived, now))
    }

    /// Drops the newest waiting request of a class that is lost before `class`; says whether it did.
    fn displace(&mut self, class: usize, now: Time) -> bool {
        let rank = self.classes[class].spec.rank;
        let worse = |index: &&usize| self.classes[**index].spec.rank > rank && !self.classes[**index].queue.is_empty();
        let Some(victim) = self.order.iter().rev().find(worse).copied() else {
            return false;
        };
        let Some(request) = self.classes[victim].queue.back().copied() else {
            return false;
        };
        self.refuse(request, Kind::QueueFull, now);
        true
    }

    /// Plans a look at what waits: other daemons' work ends without our knowing.
    pub(super) fn look_again(&mut self, now: Time) {
        if self.looking.is_none() {
            let next = now + if self.queued > 0 { LOOK_AGAIN } else { LOOK_AT_HELD };
            self.looking = Some(next);
            self.timers.insert((next, Timer::Look));
        }
    }
}
