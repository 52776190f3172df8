//! Answers requests: each gets exactly one answer, which is true of all its attempts.

use std::time::Duration;

use base::error::{Kind, Outcome};
use base::time::Time;

use super::state::{Request, Timer};
use super::{Action, Decision, Engine, Verdict};
use crate::fairness::Arrival as Return;

impl Engine {
    pub(super) fn answer(&mut self, request: u64, verdict: Verdict) {
        self.actions.push(Action::Answer { request, verdict, retry_after: None });
    }

    /// Answers with an error. The caller should retry after `retry_after`; `None` for the usual time of `kind`.
    pub(super) fn answer_error(&mut self, request: u64, kind: Kind, retry_after: Option<Duration>) {
        self.actions.push(Action::Answer { request, verdict: Verdict::Refuse(kind), retry_after });
    }

    /// Removes a request, its timer and its place in the queue; its attempts stay until they end.
    pub(super) fn remove_request(&mut self, request: u64) -> Option<Request> {
        let state = self.requests.remove(&request)?;
        self.timers.remove(&(state.deadline, Timer::Deadline(request)));
        if state.queued {
            self.classes[state.class].queue.retain(|queued| *queued != request);
            self.queued -= 1;
        }
        Some(state)
    }

    /// Ends a request with an error. An error that says "not run" is replaced if an attempt may have run.
    pub(super) fn refuse(&mut self, request: u64, kind: Kind, now: Time) {
        let Some(state) = self.remove_request(request) else { return };
        self.cancel_all(&state.live);
        let kind = match (state.may_have_run, kind.answer().outcome) {
            (Some(unknown), Outcome::NotRun) => unknown,
            _ => kind,
        };
        let (attempts, waited, waiting) = (state.attempts, now.since(state.arrived), self.queued());
        let candidates = self.candidates(&state, now);
        self.decisions.push(Decision::Refused { request, kind, attempts, waited, waiting, candidates });
        let closed = matches!(kind, Kind::Paused | Kind::RateLimited);
        let pause_end = closed.then(|| self.pause_end(&state, now)).flatten();
        let retry_after = self.retry_after(kind, state.shed_with_free_slot, pause_end, now);
        if state.account.id != 0 && matches!(kind, Kind::WontFinish | Kind::QueueFull) {
            self.usage.record_outcome(state.target_fraction, true);
        }
        // One that comes back early keeps the time that its caller was told at first.
        if let Some(after) = retry_after.filter(|_| state.account.id != 0 && state.returning != Return::Early) {
            self.refused.record(state.account.id, state.fingerprint, now + after, now);
        }
        self.answer_error(request, kind, retry_after);
    }

    pub(super) fn cancel_all(&mut self, attempts: &[u64]) {
        for attempt in attempts {
            if let Some(live) = self.attempts.get(attempt) {
                self.actions.push(Action::Cancel { attempt: *attempt, backend: live.backend });
            }
        }
    }

    /// Refuses a request whose deadline has passed.
    pub(super) fn expire(&mut self, request: u64, now: Time) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let kind = if state.live.is_empty() { Kind::Expired } else { Kind::BackendTimeout };
        self.refuse(request, kind, now);
    }

    /// Answers all open requests with an error: those that were never sent did not run.
    pub fn give_up_all(&mut self, now: Time) {
        let open: Vec<u64> = self.requests.keys().copied().collect();
        for request in open {
            let waits = self.requests.get(&request).is_some_and(|state| state.live.is_empty());
            self.refuse(request, if waits { Kind::Leaving } else { Kind::BackendTimeout }, now);
        }
    }
}
