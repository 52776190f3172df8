//! What the ending of an attempt means for its server and its request.

use std::time::Duration;

use base::error::{Kind, Outcome};
use base::time::Time;

use super::{Attempt, Ending, Engine, Verdict};
use crate::backend::{Backend, BackendId};

/// What an ended attempt is measured by.
#[derive(Clone, Copy)]
struct Judging {
    latency: Duration,
    typical: Duration,
    /// From this time on an attempt without an answer tells of its server, and not of how little time it had.
    enough: Duration,
    may_eject: bool,
}

impl Engine {
    /// Takes an ended attempt out of the server's, the class's and the link's books.
    pub(super) fn settle(&mut self, ended: &Attempt, ending: Ending, now: Time) {
        let class = &mut self.classes[ended.class];
        class.in_flight -= 1;
        let waits = class.spec.may_wait;
        let bytes = if let Ending::Answered(bytes) = ending { bytes } else { 0 };
        if let Some(reserve) = ended.reserved
            && let Some(channel) = self.channels.get_mut(&reserve.region)
        {
            channel.in_flight -= 1;
            channel.unsized_in_flight -= u32::from(!reserve.sized);
            if matches!(ending, Ending::Answered(_)) {
                channel.bucket.charge(bytes as f64 - reserve.bytes, now);
            }
        }
        // Counting the suspects of a tier costs time with its size, so it is done only where it decides.
        let may_eject = ending == Ending::Timeout && self.may_eject(ended.backend);
        let latency = now.since(ended.started);
        let class = &mut self.classes[ended.class];
        let typical = match ended.warm {
            Some(true) => class.work.warm(),
            Some(false) => class.work.cold(),
            None => class.typical(),
        };
        let enough = class.late_after(true).min(class.spec.target);
        if matches!(ending, Ending::Answered(_)) {
            class.note(latency, bytes);
            let free = ended.warm.filter(|_| ended.free);
            free.into_iter().for_each(|warm| class.work.note(latency, ended.pace, warm));
        }
        self.judge(ended.backend, |backend| {
            backend.end(waits, ended.late, now);
            Self::learn(backend, ended, ending, Judging { latency, typical, enough, may_eject }, now);
        });
    }

    /// What a server's ending of an attempt tells of it.
    fn learn(backend: &mut Backend, ended: &Attempt, ending: Ending, judging: Judging, now: Time) {
        let Judging { latency, typical, enough, may_eject } = judging;
        match ending {
            Ending::Answered(_) => {
                let ratio = latency.as_secs_f64() / typical.as_secs_f64();
                backend.answered(ratio, ended.late, ended.warm.is_some(), now);
            }
            Ending::Shed => backend.shed(ended.warm.is_some(), now),
            Ending::Unreachable => backend.failed(now),
            Ending::Lost | Ending::Cut => backend.lost(now),
            Ending::Timeout if !ended.late && latency >= enough => {
                backend.record_late_end(may_eject, ended.warm.is_some(), now);
            }
            Ending::Timeout | Ending::TooLarge | Ending::Withheld(_) | Ending::Recalled | Ending::Cancelled => {}
        }
    }

    /// Decides what an ended attempt means for its request.
    pub(super) fn conclude(&mut self, attempt: u64, ended: &Attempt, ending: Ending, now: Time) {
        if ending == Ending::Lost {
            self.note_loss(ended, attempt, now);
        }
        let request = ended.request;
        let room = self.backends.get(&ended.backend).is_some_and(|server| server.tells_room(now));
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.live.retain(|live| *live != attempt);
        if ending == Ending::Shed {
            state.barred.retain(|barred| *barred != ended.backend);
            state.shed_with_room = room;
        }
        match ending {
            Ending::Answered(_) => {
                let fingerprint = state.fingerprint;
                self.quarantine.clear(fingerprint, now);
                let rest = self.close(request).map(|state| state.live).unwrap_or_default();
                self.cancel_all(&rest);
                self.answer(request, Verdict::Relay(attempt));
            }
            Ending::Withheld(kind) => self.refuse(request, kind, now),
            Ending::Recalled => self.elsewhere(request, ended.backend, now),
            Ending::Shed => self.again(request, Kind::Shed, now),
            Ending::Unreachable => self.again(request, Kind::Unreachable, now),
            Ending::Lost => self.again(request, Kind::BackendLost, now),
            Ending::Timeout => self.again(request, Kind::BackendTimeout, now),
            Ending::Cut => self.again(request, Kind::AnswerCut, now),
            Ending::TooLarge => self.refuse(request, Kind::AnswerTooLarge, now),
            // Nobody cancelled it, or its request would be closed: the server gave up work that it had begun.
            Ending::Cancelled => self.again(request, Kind::BackendTimeout, now),
        }
    }

    /// Sends a request again if that is safe, allowed and of use; otherwise answers with `kind`.
    fn again(&mut self, request: u64, kind: Kind, now: Time) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let unknown = kind.answer().outcome == Outcome::Unknown;
        if unknown {
            state.touched = Some(kind);
        }
        if !state.live.is_empty() {
            return;
        }
        let idempotent = self.classes[state.class].spec.idempotent;
        let safe = idempotent || state.touched.is_none();
        let tries_left = state.tries < self.classes[state.class].spec.max_attempts;
        let poisoned = self.quarantine.refuses(state.fingerprint, now);
        let late = now >= state.deadline;
        let service = state.service;
        if !safe || !tries_left || poisoned || late || !(self.retries.spend() && self.repeats(service).spend()) {
            return self.refuse(request, kind, now);
        }
        if self.requests.get(&request).is_some_and(|state| state.object.is_some()) {
            return self.place(request, now);
        }
        self.enqueue(request, true);
    }

    /// Sends a request somewhere else after an attempt of which no byte was sent.
    fn elsewhere(&mut self, request: u64, from: BackendId, now: Time) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.tries -= 1;
        state.barred.retain(|barred| *barred != from);
        if !state.live.is_empty() {
            return;
        }
        if state.object.is_some() {
            return self.place(request, now);
        }
        self.enqueue(request, true);
    }

    fn note_loss(&mut self, ended: &Attempt, attempt: u64, now: Time) {
        let Some(state) = self.requests.get(&ended.request) else {
            return;
        };
        let loss = base::hash::combine(self.salt, attempt);
        let fingerprint = state.fingerprint;
        if self.note_poison(fingerprint, loss, now) {
            self.losses.push((fingerprint, loss));
        }
    }
}
