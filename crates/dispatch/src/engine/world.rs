//! What the engine is told of the world: classes, servers, links, loads, losses.

use std::collections::BTreeMap;
use std::time::Duration;

use base::rate;
use base::time::Time;

use super::state::{Channel, Timer};
use super::{Budgets, Decision, Engine, Remote, pick};
use crate::backend::{Backend, BackendId, Place, Report, Spec};
use crate::class::{self, Class};

impl Engine {
    /// Takes new targets; classes keep their positions, new ones follow.
    pub fn set_classes(&mut self, specs: Vec<class::Spec>) {
        for (index, spec) in specs.into_iter().enumerate() {
            match self.classes.get_mut(index) {
                Some(class) => class.declare(spec),
                None => self.classes.push(Class::new(spec)),
            }
        }
        self.order = (0..self.classes.len()).collect();
        self.order.sort_by_key(|index| (self.classes[*index].spec.rank, *index));
    }

    /// Takes the backend servers in use; those known keep what was seen of them.
    pub fn set_backends(&mut self, specs: Vec<Spec>, now: Time) {
        let mut kept = BTreeMap::new();
        for spec in specs {
            let known = self.backends.remove(&spec.id);
            let mut backend = match known {
                Some(mut backend) => {
                    backend.declare(spec, now);
                    backend
                }
                None => Backend::new(spec, now),
            };
            backend.hear(self.words.get(backend.spec.id), now);
            kept.insert(backend.spec.id, backend);
        }
        for (id, mut gone) in std::mem::take(&mut self.backends) {
            if gone.in_flight > 0 {
                gone.spec.leaving = true;
                kept.insert(id, gone);
            }
        }
        self.warmth.keep(|id| kept.contains_key(&id));
        self.backends = kept;
        self.index();
        self.pump(now);
    }

    /// Sets what may be used of another region and the link to it.
    pub fn set_remote(&mut self, region: u16, remote: Remote, now: Time) {
        let burst = (remote.bytes_per_second * pick::LINK_BURST.as_secs_f64()).max(0.0);
        let channel = self.channels.entry(region).or_insert_with(|| Channel {
            limit: 0,
            in_flight: 0,
            open: remote.is_uncapped(),
            unsized_in_flight: 0,
            bucket: rate::Bucket::new(remote.bytes_per_second, burst, now),
        });
        channel.limit = remote.max_in_flight;
        channel.open = remote.is_uncapped();
        channel.bucket.set_rate(remote.bytes_per_second, burst, now);
    }

    /// Changes how much extra work may be caused from now on.
    pub fn set_budgets(&mut self, budgets: Budgets) {
        self.limits.budgets = budgets;
        self.hedges.set(budgets.hedge_ratio, budgets.hedge_burst);
        self.retries.set(budgets.retry_ratio, budgets.retry_burst);
        for repeats in self.repeats.values_mut() {
            repeats.set(budgets.repeat_ratio, budgets.repeat_burst);
        }
    }

    /// Takes in a load report that came with an answer; what waits is looked at when that answer is taken in.
    pub fn record_report(&mut self, backend: BackendId, report: Report) {
        if let Some(backend) = self.backends.get_mut(&backend) {
            backend.report(report);
        }
    }

    /// Takes in a load report of a backend server.
    pub fn apply_report(&mut self, backend: BackendId, report: Report, now: Time) {
        if let Some(backend) = self.backends.get_mut(&backend) {
            backend.report(report);
        }
        self.pump(now);
    }

    /// A backend server said that it leaves, to us or to a peer; says whether that is news. What waits for it goes
    /// elsewhere.
    pub fn record_leaving(&mut self, backend: BackendId, until: Time, now: Time) -> bool {
        if !self.words.leave(backend, until, now) {
            return false;
        }
        let Some(server) = self.backends.get_mut(&backend) else {
            return true;
        };
        let news = !server.leaving();
        server.hear(self.words.get(backend), now);
        if news {
            self.notes.push(Decision::Leaving { backend });
            self.index();
            self.pump(now);
        }
        news
    }

    /// A backend server that turned a request away wants nothing from us for `pause`.
    pub fn record_pause(&mut self, backend: BackendId, pause: Duration, now: Time) {
        self.words.pause(backend, pause, now);
        if let Some(server) = self.backends.get_mut(&backend) {
            server.hear(self.words.get(backend), now);
            self.pauses_end = self.pauses_end.max(server.paused_until());
            self.notes.push(Decision::Paused { backend, until: server.paused_until() });
        }
    }

    /// The backend servers that said that they leave.
    pub fn leaving_backends(&self, now: Time) -> impl Iterator<Item = BackendId> {
        self.words.leaving(now)
    }

    /// The process stood still for `stood`, so what is believed of servers may not hold any more: nothing is sent until
    /// `until`, or until it is trusted again. Servers are not blamed for that time.
    pub fn suspend(&mut self, stood: Duration, until: Time) {
        self.doubted_until = self.doubted_until.max(until);
        for (number, attempt) in &mut self.attempts {
            attempt.started = attempt.started + stood;
            if self.timers.remove(&(attempt.late_at, Timer::Late(*number))) {
                attempt.late_at = attempt.late_at + stood;
                self.timers.insert((attempt.late_at, Timer::Late(*number)));
            }
        }
    }

    /// What is believed holds: sends what has waited.
    pub fn resume(&mut self, now: Time) {
        self.doubted_until = Time::ZERO;
        self.pump(now);
    }

    /// Whether a request may still be sent to `backend`: what was decided a moment ago may not hold any more.
    pub fn may_send(&self, backend: BackendId, now: Time) -> bool {
        let trusted = now >= self.doubted_until;
        trusted && self.backends.get(&backend).is_some_and(|server| !server.leaving() && !server.paused(now))
    }

    /// Takes in losses that peers saw; gives those that were news, to be passed on.
    pub fn merge_losses(&mut self, losses: &[(u64, u64)], now: Time) -> Vec<(u64, u64)> {
        losses.iter().filter(|(fingerprint, loss)| self.note_poison(*fingerprint, *loss, now)).copied().collect()
    }

    /// The losses for which requests with `fingerprint` are refused; none if they are not.
    pub fn quarantine_losses(&self, fingerprint: u64, now: Time) -> Vec<(u64, u64)> {
        self.quarantine.losses(fingerprint, now)
    }

    /// Losses seen here since the last call, for peers.
    pub fn take_losses(&mut self) -> Vec<(u64, u64)> {
        std::mem::take(&mut self.losses)
    }

    fn index(&mut self) {
        let services = self.backends.values().map(|backend| backend.spec.service).max().map_or(0, |most| most + 1);
        self.tiers = vec![[Vec::new(), Vec::new()]; usize::from(services)];
        for (id, backend) in &self.backends {
            let tier = usize::from(matches!(backend.spec.place, Place::Remote(_)));
            self.tiers[usize::from(backend.spec.service)][tier].push(*id);
        }
        self.near_parts = (0..self.tiers.len()).map(|service| self.near_part(service)).collect();
    }
}
