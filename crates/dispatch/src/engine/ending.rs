//! Handles the end of attempts: effects on the server and on the request.

use std::time::Duration;

use base::error::{Kind, Outcome};
use base::time::Time;

use super::{Attempt, Decision, Ending, Engine, Verdict};
use crate::backend::{Backend, BackendId};

/// What the end of an attempt is judged by.
#[derive(Clone, Copy)]
struct Observation {
    latency: Duration,
    typical_latency: Duration,
    /// Latency from which a missing answer is held against the server; a shorter one may only show how little time the
    /// attempt had.
    min_informative: Duration,
    may_eject: bool,
}

impl Engine {
    /// Releases what an ended attempt used of its server, class and link, and updates their statistics.
    pub(super) fn release(&mut self, attempt: u64, ended: &Attempt, ending: Ending, now: Time) {
        let class = &mut self.classes[ended.class];
        class.in_flight -= 1;
        let may_wait = class.spec.may_wait;
        let bytes = if let Ending::Answered(bytes) = ending { bytes } else { 0 };
        if let Some(reservation) = ended.reserved
            && let Some(link) = self.links.get_mut(&reservation.region)
        {
            link.in_flight -= 1;
            link.unsized_in_flight -= u32::from(!reservation.answer_size_known);
            if matches!(ending, Ending::Answered(_)) {
                link.bucket.charge(bytes as f64 - reservation.bytes, now);
            }
        }
        // Counting the suspects of a tier takes time linear in its size, so it is done only where it matters.
        let may_eject = ending == Ending::Timeout && self.may_eject(ended.backend);
        let latency = now.since(ended.started);
        let class = &mut self.classes[ended.class];
        let typical_latency = match ended.warm {
            Some(true) => class.work.warm(),
            Some(false) => class.work.cold(),
            None => class.typical_latency(),
        };
        let min_informative = class.late_after(true).min(class.spec.target);
        if matches!(ending, Ending::Answered(_)) {
            if class.trials.includes(attempt) {
                let (class, before) = (ended.class, class.typical_latency());
                self.decisions.push(Decision::Corrected { class, before, latency });
                self.classes[class].record_trial(latency, bytes);
            } else {
                if latency >= class.typical_latency() / 2 {
                    class.trials.record_agreement(now);
                }
                class.record(latency, bytes);
            }
            let class = &mut self.classes[ended.class];
            let on_free_slot = ended.warm.filter(|_| ended.had_free_slot);
            on_free_slot.into_iter().for_each(|warm| class.work.record(latency, ended.pace, warm));
        }
        self.update_backend(ended.backend, |backend| {
            backend.record_end(may_wait, ended.late, now);
            Self::record_ending(
                backend,
                ended,
                ending,
                Observation { latency, typical_latency, min_informative, may_eject },
                now,
            );
        });
    }

    /// Updates the health of a server after an attempt.
    fn record_ending(backend: &mut Backend, ended: &Attempt, ending: Ending, observation: Observation, now: Time) {
        let Observation { latency, typical_latency, min_informative, may_eject } = observation;
        match ending {
            Ending::Answered(_) => {
                let ratio = latency.as_secs_f64() / typical_latency.as_secs_f64();
                backend.record_answer(ratio, ended.late, ended.warm.is_some(), now);
            }
            Ending::Shed => backend.record_shed(ended.warm.is_some(), now),
            Ending::Unreachable => backend.record_failure(now),
            Ending::Lost | Ending::Cut => backend.record_loss(now),
            Ending::Timeout if !ended.late && latency >= min_informative => {
                backend.record_late_end(may_eject, ended.warm.is_some(), now);
            }
            Ending::Timeout | Ending::TooLarge | Ending::Withheld(_) | Ending::Recalled | Ending::Cancelled => {}
        }
    }

    /// Decides what follows for the request of an ended attempt.
    pub(super) fn resolve(&mut self, attempt: u64, ended: &Attempt, ending: Ending, now: Time) {
        if ending == Ending::Lost {
            self.record_loss(ended, attempt, now);
        }
        let request = ended.request;
        let free_slot = self.backends.get(&ended.backend).is_some_and(|server| server.reports_free_slot(now));
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.live.retain(|live| *live != attempt);
        if ending == Ending::Shed {
            state.excluded.retain(|excluded| *excluded != ended.backend);
            state.shed_with_free_slot = free_slot;
        }
        match ending {
            Ending::Answered(_) => {
                let fingerprint = state.fingerprint;
                self.quarantine.clear(fingerprint, now);
                let others = self.remove_request(request).map(|state| state.live).unwrap_or_default();
                self.cancel_all(&others);
                self.answer(request, Verdict::Relay(attempt));
            }
            Ending::Withheld(kind) => self.refuse(request, kind, now),
            Ending::Recalled => self.reroute(request, ended.backend, now),
            Ending::Shed => self.retry(request, Kind::Shed, now),
            Ending::Unreachable => self.retry(request, Kind::Unreachable, now),
            Ending::Lost => self.retry(request, Kind::BackendLost, now),
            Ending::Timeout => self.retry(request, Kind::BackendTimeout, now),
            Ending::Cut => self.retry(request, Kind::AnswerCut, now),
            Ending::TooLarge => self.refuse(request, Kind::AnswerTooLarge, now),
            // If this daemon had cancelled it, the request would be closed: the server gave up work that it had begun.
            Ending::Cancelled => self.retry(request, Kind::BackendTimeout, now),
        }
    }

    /// Retries a request if that is safe, within budget and before its deadline; otherwise answers with `kind`. Does
    /// neither while another attempt of the request is in flight.
    fn retry(&mut self, request: u64, kind: Kind, now: Time) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let unknown = kind.answer().outcome == Outcome::Unknown;
        if unknown {
            state.may_have_run = Some(kind);
        }
        if !state.live.is_empty() {
            return;
        }
        let safe = state.terms.idempotent || state.may_have_run.is_none();
        let attempts_left = state.attempts < state.terms.max_attempts;
        let quarantined = self.quarantine.is_quarantined(state.fingerprint, now);
        let expired = now >= state.deadline;
        let service = state.terms.service;
        if !safe || !attempts_left || quarantined || expired || !(self.retries.spend() && self.repeats(service).spend())
        {
            return self.refuse(request, kind, now);
        }
        if self.requests.get(&request).is_some_and(|state| state.object.is_some()) {
            return self.place(request, now);
        }
        self.enqueue(request, true);
    }

    /// Sends a request to another server after an attempt of which no byte was sent; this attempt is not counted.
    fn reroute(&mut self, request: u64, from: BackendId, now: Time) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.attempts -= 1;
        state.excluded.retain(|excluded| *excluded != from);
        if !state.live.is_empty() {
            return;
        }
        if state.object.is_some() {
            return self.place(request, now);
        }
        self.enqueue(request, true);
    }

    fn record_loss(&mut self, ended: &Attempt, attempt: u64, now: Time) {
        let Some(state) = self.requests.get(&ended.request) else {
            return;
        };
        let loss = base::hash::combine(self.loss_seed, attempt);
        let fingerprint = state.fingerprint;
        if self.apply_loss(fingerprint, loss, now) {
            self.losses.push((fingerprint, loss));
        }
    }
}
