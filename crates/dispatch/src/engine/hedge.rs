//! Second sends of requests that are not answered yet.
//!
//! Load pattern: a server is slowed for a moment by its neighbours, or one piece of work takes many times the usual.
//! A request about an object is warm at two servers, so that the other one can often still answer within the target.
//! It is asked at the last moment at which it can: by then most requests are answered, and need no second send.

use std::time::Duration;

use base::time::Time;

use super::{Engine, Timer};
use crate::backend::BackendId;

/// Time for which an answer of the other home may be late without missing the target: timers fire a little late.
const MARGIN: Duration = Duration::from_millis(10);
/// Part of the repeats of a service that second sends for timeliness leave to those that follow a failure.
const LEFT_TO_RETRIES: f64 = 0.5;

impl Engine {
    /// Sets the moment at which the other home of an object is asked too, if that can be of use.
    pub(super) fn plan_hedge(&mut self, attempt: u64, now: Time) {
        let Some(live) = self.attempts.get(&attempt) else { return };
        let Some(state) = self.requests.get(&live.request) else { return };
        let spec = &self.classes[state.class].spec;
        if !spec.idempotent || spec.may_wait || state.hedged || state.tries >= spec.tries {
            return;
        }
        let Some((other, finish)) = self.other_home(live.request, live.backend, now) else { return };
        let Some(here) = self.backends.get(&live.backend) else { return };
        let warm = if live.warm == Some(true) { 1.0 } else { 0.0 };
        let expected = self.time_to_answer(here, state, warm, now);
        let last = state.arrived + spec.target.saturating_sub(finish + MARGIN);
        if last < now + expected {
            return;
        }
        self.timers.insert((last, Timer::Hedge(attempt)));
        if let Some(live) = self.attempts.get_mut(&attempt) {
            live.hedge_at = Some(last);
        }
    }

    /// Asks the other home of an object too, if it still answers within the target.
    pub(super) fn hedge(&mut self, attempt: u64, now: Time) {
        let Some(live) = self.attempts.get_mut(&attempt) else { return };
        live.hedge_at = None;
        let (request, backend) = (live.request, live.backend);
        let Some(state) = self.requests.get(&request) else { return };
        let class = &self.classes[state.class];
        if state.hedged || state.live.len() != 1 || state.tries >= class.spec.tries {
            return;
        }
        let Some((other, finish)) = self.other_home(request, backend, now) else { return };
        if now + finish > state.arrived + class.spec.target {
            return;
        }
        let service = state.service;
        let kept = self.limits.extra.repeats_saved * LEFT_TO_RETRIES;
        if self.repeats(service).level() < kept || !(self.hedges.spend() && self.repeats(service).spend()) {
            return;
        }
        if let Some(state) = self.requests.get_mut(&request) {
            state.hedged = true;
        }
        self.start(request, other, now);
    }

    /// The home of a request's object that is not `backend`, if it has a slot free; and how long its answer takes.
    fn other_home(&self, request: u64, backend: BackendId, now: Time) -> Option<(BackendId, Duration)> {
        let state = self.requests.get(&request)?;
        let other = state.homes.iter().flatten().find(|home| **home != backend)?;
        let server = self.backends.get(other)?;
        let open = !server.leaving() && !server.closed(now) && !server.suspect() && server.admits(now);
        let free = server.load(now) + 1.0 <= f64::from(server.spec.slots);
        if !open || !free || !self.channel_open(server.spec.place, state, now) {
            return None;
        }
        Some((*other, self.time_to_answer(server, state, 1.0, now)))
    }
}
