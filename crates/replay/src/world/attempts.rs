//! Attempts on their way to servers and back.

use dispatch::Ending;

use super::{Attempt, CRASH_AWAY, Event, World};
use crate::server::{Job, JobId, Started};

impl World<'_> {
    /// An engine sends an attempt.
    pub(super) fn started(&mut self, entry: usize, request: usize, attempt: u64, server: usize) {
        self.outcome.attempts += 1;
        self.outcome.tried += u64::from(!self.requests[request].tried);
        self.requests[request].tried = true;
        if let Some(left) = self.left.get(&server) {
            let after = self.now.since(*left).as_secs_f64() * 1_000.0;
            self.outcome.drain_ms = self.outcome.drain_ms.max(after);
        }
        self.attempts.insert((entry, attempt), Attempt { request, server });
        let away = self.distance(entry, server);
        self.plan(self.now + away, Event::Reach((entry, attempt)));
    }

    /// An attempt reaches its server.
    pub(super) fn reach(&mut self, id: JobId) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let away = self.distance(id.0, attempt.server);
        if !self.servers[attempt.server].up {
            return self.plan(self.now + away, Event::Answered(id, Ending::Unreachable));
        }
        let request = &self.requests[attempt.request];
        let bulk = self.site.policy.classes[&self.site.classes[request.class]].may_wait;
        let job = Job { id, work: request.work, bulk, came: self.now };
        self.note_foreign(id.0, attempt.server);
        match self.servers[attempt.server].arrive(job, self.now) {
            None => self.plan(self.now + away, Event::Answered(id, Ending::Shed)),
            Some(started) => self.begin(attempt.server, &started),
        }
    }

    fn begin(&mut self, server: usize, started: &[Started]) {
        self.note_busy(server);
        for Started { job, done } in started {
            self.plan(*done, Event::Done(job.id));
            let Some(attempt) = self.attempts.get(&job.id) else {
                continue;
            };
            let request = &mut self.requests[attempt.request];
            request.runs += 1;
            let name = &self.site.classes[request.class];
            let idempotent = self.site.policy.classes[name].idempotent;
            self.outcome.twice += u64::from(!idempotent && request.runs == 2);
            let waited = (self.now.since(request.arrived).as_micros() as u64).max(1);
            let behind = self.servers[server].bulk() > 0 && !job.bulk;
            let here = self.now.since(job.came).as_micros() as u64;
            if let Some(class) = self.outcome.classes.get_mut(name) {
                class.wait.saturating_record(waited);
                if behind {
                    class.behind_bulk_us = class.behind_bulk_us.max(here);
                }
            }
        }
    }

    /// A server has done an attempt's work.
    pub(super) fn done(&mut self, id: JobId) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        if !self.servers[attempt.server].runs(id) {
            return;
        }
        if self.requests[attempt.request].poison {
            return self.crash(attempt.server);
        }
        let started = self.servers[attempt.server].leave(id, self.now);
        self.begin(attempt.server, &started);
        let bytes = self.requests[attempt.request].bytes;
        let away = self.distance(id.0, attempt.server);
        self.note_link(id.0, attempt.server, bytes);
        self.plan(self.now + away, Event::Answered(id, Ending::Answered(bytes)));
    }

    fn crash(&mut self, server: usize) {
        self.outcome.crashed += 1;
        for id in self.servers[server].die() {
            let away = self.distance(id.0, server);
            self.plan(self.now + away, Event::Answered(id, Ending::Lost));
        }
        self.plan(self.now + CRASH_AWAY, Event::Revive(server));
    }

    /// What became of an attempt reaches its engine.
    pub(super) fn answered(&mut self, id: JobId, ending: Ending) {
        if self.attempts.remove(&id).is_none() {
            return;
        }
        let now = self.now;
        self.engines[id.0].finish(id.1, ending, now);
        self.settle(id.0);
    }

    /// The cancelling of an attempt reaches its server.
    pub(super) fn cancel(&mut self, id: JobId) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let started = self.servers[attempt.server].leave(id, self.now);
        self.begin(attempt.server, &started);
        let away = self.distance(id.0, attempt.server);
        self.plan(self.now + away, Event::Answered(id, Ending::Cancelled));
    }
}
