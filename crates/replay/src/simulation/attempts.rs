//! Attempts: sending to servers, execution and results.

use dispatch::Ending;

use super::{Attempt, Event, RESTART_DELAY, Simulation};
use crate::server::{AttemptId, Job, Started};

impl Simulation<'_> {
    /// Sends an attempt that an engine started.
    pub(super) fn start_attempt(&mut self, entry: usize, request: usize, attempt: u64, server: usize) {
        self.outcome.attempts += 1;
        self.outcome.attempted += u64::from(!self.requests[request].attempted);
        self.requests[request].attempted = true;
        if let Some(since) = self.leaving_since.get(&server) {
            let after_ms = self.now.since(*since).as_secs_f64() * 1_000.0;
            self.outcome.drain_ms = self.outcome.drain_ms.max(after_ms);
        }
        self.attempts.insert((entry, attempt), Attempt { request, server });
        let latency = self.latency(entry, server);
        self.schedule(self.now + latency, Event::AttemptArrived((entry, attempt)));
    }

    /// Queues an attempt on its server; if the server is down or its queue is full, the attempt ends.
    pub(super) fn attempt_arrived(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let latency = self.latency(id.0, attempt.server);
        if !self.servers[attempt.server].up {
            return self.schedule(self.now + latency, Event::AttemptEnded(id, Ending::Unreachable));
        }
        let request = &self.requests[attempt.request];
        let bulk = self.site.policy.classes[&self.site.classes[request.class]].may_wait;
        let job = Job { id, work: request.work, bulk, arrived_at: self.now };
        self.record_foreign_usage(id.0, attempt.server);
        match self.servers[attempt.server].enqueue(job, self.now) {
            None => self.schedule(self.now + latency, Event::AttemptEnded(id, Ending::Shed)),
            Some(started) => self.record_started(attempt.server, &started),
        }
    }

    /// Records jobs that a server started, and schedules their ends.
    fn record_started(&mut self, server: usize, started: &[Started]) {
        self.record_busy_slots(server);
        for Started { job, done_at } in started {
            self.schedule(*done_at, Event::WorkDone(job.id));
            let Some(attempt) = self.attempts.get(&job.id) else {
                continue;
            };
            let request = &mut self.requests[attempt.request];
            request.runs += 1;
            let name = &self.site.classes[request.class];
            let idempotent = self.site.policy.classes[name].idempotent;
            self.outcome.duplicate_runs += u64::from(!idempotent && request.runs == 2);
            let waited_us = (self.now.since(request.arrived_at).as_micros() as u64).max(1);
            let behind_bulk = self.servers[server].busy_with_bulk() > 0 && !job.bulk;
            let queued_us = self.now.since(job.arrived_at).as_micros() as u64;
            if let Some(class) = self.outcome.classes.get_mut(name) {
                class.wait.saturating_record(waited_us);
                if behind_bulk {
                    class.behind_bulk_us = class.behind_bulk_us.max(queued_us);
                }
            }
        }
    }

    /// Ends a job whose work is done, and sends the answer; a poisonous request crashes the server instead. Does
    /// nothing if the job was cancelled or lost before.
    pub(super) fn work_done(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        if !self.servers[attempt.server].is_running(id) {
            return;
        }
        if self.requests[attempt.request].poison {
            return self.crash(attempt.server);
        }
        let started = self.servers[attempt.server].remove(id, self.now);
        self.record_started(attempt.server, &started);
        let bytes = self.requests[attempt.request].bytes;
        let latency = self.latency(id.0, attempt.server);
        self.record_link_usage(id.0, attempt.server, bytes);
        self.schedule(self.now + latency, Event::AttemptEnded(id, Ending::Answered(bytes)));
    }

    /// Takes a server down, which loses all its jobs, and schedules its restart.
    fn crash(&mut self, server: usize) {
        self.outcome.crashes += 1;
        for id in self.servers[server].stop() {
            let latency = self.latency(id.0, server);
            self.schedule(self.now + latency, Event::AttemptEnded(id, Ending::Lost));
        }
        self.schedule(self.now + RESTART_DELAY, Event::Restart(server));
    }

    /// Hands the result of an attempt to its engine.
    pub(super) fn attempt_ended(&mut self, id: AttemptId, ending: Ending) {
        if self.attempts.remove(&id).is_none() {
            return;
        }
        let now = self.now;
        self.engines[id.0].finish(id.1, ending, now);
        self.apply_actions(id.0);
    }

    /// Removes a cancelled attempt from its server, whether queued or running.
    pub(super) fn cancel_arrived(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let started = self.servers[attempt.server].remove(id, self.now);
        self.record_started(attempt.server, &started);
        let latency = self.latency(id.0, attempt.server);
        self.schedule(self.now + latency, Event::AttemptEnded(id, Ending::Cancelled));
    }
}
