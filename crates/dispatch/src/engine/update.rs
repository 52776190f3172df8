//! Updates of the engine's view: classes, servers, links, loads, announcements, losses.

use std::collections::BTreeMap;
use std::time::Duration;

use base::rate::{self, Limit};
use base::time::Time;

use super::state::{Link, Timer};
use super::{Attempt, Budgets, Decision, Engine, Remote, link};
use crate::announcements::News;
use crate::backend::{Backend, BackendId, Place, Report, Spec};
use crate::class::{self, Class};

/// Longest time between the start of an attempt at a server with a rate limit and the moment at which it is sent. Sends
/// that were held up by a slow connection or a stall would arrive together.
const MAX_SEND_DELAY: Duration = Duration::from_secs(1);

impl Engine {
    /// Sets the classes. Known classes keep their positions and statistics, new ones follow. One that is retired keeps what was
    /// last declared of it, for its open requests.
    pub fn set_classes(&mut self, specs: Vec<class::Spec>) {
        for (index, spec) in specs.into_iter().enumerate() {
            match self.classes.get_mut(index) {
                Some(class) if spec.retired => class.spec.retired = true,
                Some(class) => class.update_spec(spec),
                None => self.classes.push(Class::new(spec)),
            }
        }
        self.priority_order = (0..self.classes.len()).collect();
        self.priority_order.sort_by_key(|index| (self.classes[*index].spec.rank, *index));
    }

    /// Sets the backend servers in use. Known servers keep their observed state; removed ones stay, as leaving, while
    /// attempts run there.
    pub fn set_backends(&mut self, specs: Vec<Spec>, now: Time) {
        let mut in_use = BTreeMap::new();
        for spec in specs {
            let known = self.backends.remove(&spec.id);
            let mut backend = match known {
                Some(mut backend) => {
                    backend.update_spec(spec, now);
                    backend
                }
                None => Backend::new(spec, now),
            };
            backend.apply_announcement(self.announcements.get(backend.spec.id), now);
            in_use.insert(backend.spec.id, backend);
        }
        for (id, mut removed) in std::mem::take(&mut self.backends) {
            if removed.in_flight > 0 {
                removed.spec.leaving = true;
                in_use.insert(id, removed);
            }
        }
        self.warmth.retain(|id| in_use.contains_key(&id));
        self.shared_limits =
            in_use.values().filter(|server| server.rate_share() > 0.0).map(|server| server.spec.id).collect();
        self.backends = in_use;
        self.rebuild_tiers();
        self.dispatch_waiting(now);
    }

    /// Sets this daemon's share of another region and of the link to it.
    pub fn set_remote(&mut self, region: u16, remote: Remote, now: Time) {
        let burst = (remote.bytes_per_second * link::LINK_BURST.as_secs_f64()).max(0.0);
        let link = self.links.entry(region).or_insert_with(|| Link {
            max_in_flight: 0,
            in_flight: 0,
            uncapped: remote.is_uncapped(),
            unsized_in_flight: 0,
            bucket: rate::Bucket::new(remote.bytes_per_second, burst, now),
        });
        link.max_in_flight = remote.max_in_flight;
        link.uncapped = remote.is_uncapped();
        link.bucket.set_rate(remote.bytes_per_second, burst, now);
    }

    /// Sets the budgets for hedges and retries.
    pub fn set_budgets(&mut self, budgets: Budgets) {
        self.limits.budgets = budgets;
        self.hedges.set(budgets.hedge_ratio, budgets.hedge_burst);
        self.retries.set(budgets.retry_ratio, budgets.retry_burst);
        for repeats in self.repeats.values_mut() {
            repeats.set(budgets.repeat_ratio, budgets.repeat_burst);
        }
    }

    /// Returns the budgets for hedges and retries.
    pub const fn budgets(&self) -> Budgets {
        self.limits.budgets
    }

    /// Records a load report that arrived with an answer, without dispatching waiting requests; the end of the attempt
    /// does that.
    pub fn record_report(&mut self, backend: BackendId, report: Report) {
        if let Some(backend) = self.backends.get_mut(&backend) {
            backend.record_report(report);
        }
    }

    /// Records a load report of a backend server and dispatches waiting requests.
    pub fn apply_report(&mut self, backend: BackendId, report: Report, now: Time) {
        if let Some(backend) = self.backends.get_mut(&backend) {
            backend.record_report(report);
        }
        self.dispatch_waiting(now);
    }

    /// Records that a backend server announced, here or to a peer, that it is leaving. Requests that wait for it are
    /// sent elsewhere. Returns whether this is new.
    pub fn record_leaving(&mut self, backend: BackendId, until: Time, now: Time) -> bool {
        if !self.announcements.record_leaving(backend, until, now) {
            return false;
        }
        let Some(server) = self.backends.get_mut(&backend) else {
            return true;
        };
        let is_new = !server.leaving();
        server.apply_announcement(self.announcements.get(backend), now);
        if is_new {
            self.decisions.push(Decision::Leaving { backend });
            self.rebuild_tiers();
            self.dispatch_waiting(now);
        }
        is_new
    }

    /// Records that a backend server, when it turned a request away, asked for a pause of this length.
    pub fn record_pause(&mut self, backend: BackendId, pause: Duration, now: Time) {
        self.announcements.record_pause(backend, pause, now);
        if let Some(server) = self.backends.get_mut(&backend) {
            server.apply_announcement(self.announcements.get(backend), now);
            self.last_pause_end = self.last_pause_end.max(server.paused_until());
            self.decisions.push(Decision::Paused { backend, until: server.paused_until() });
        }
    }

    /// Records the rate limit that the answer to `attempt` states, or that it states none. An answer without a limit
    /// ends one only if its request was sent after the limit was last stated, since answers may overtake each other.
    pub fn record_rate_limit(&mut self, attempt: u64, per_second: Option<f64>, now: Time) -> News {
        let Some(Attempt { backend, started, .. }) = self.attempts.get(&attempt).copied() else {
            return News::None;
        };
        let known = self.announcements.get(backend).rate_limit();
        if per_second.is_none() && known.is_some_and(|known| started <= known.observed_at) {
            return News::None;
        }
        self.apply_rate_limit(backend, Limit { per_second, observed_at: now }, now)
    }

    /// Records that a server states a rate limit that cannot be read. Returns whether this is new.
    pub fn record_unreadable(&mut self, backend: BackendId, now: Time) -> bool {
        self.announcements.record_unreadable(backend, now)
    }

    /// Applies a rate limit that was observed here or by a peer; returns what is new about it.
    pub fn apply_rate_limit(&mut self, backend: BackendId, limit: Limit, now: Time) -> News {
        let news = self.announcements.record_rate_limit(backend, limit, now);
        self.limits_end_at = self.limits_end_at.max(limit.ends_at());
        if let Some(server) = self.backends.get_mut(&backend) {
            server.apply_announcement(self.announcements.get(backend), now);
            if server.rate_share() > 0.0 {
                self.shared_limits.insert(backend);
            } else {
                self.shared_limits.remove(&backend);
            }
            if let News::Changed { before } = news {
                let (share, position) = (server.rate_share(), server.spec.position);
                self.decisions.push(Decision::RateLimited { backend, limit, before, share, position });
            }
        }
        news
    }

    /// Returns whether the server last stated a rate limit, whether or not it still applies.
    pub fn is_rate_limited(&self, backend: BackendId) -> bool {
        self.announcements.get(backend).rate_limit().is_some_and(|limit| limit.per_second.is_some())
    }

    /// Returns the rate limits that apply, by server.
    pub fn rate_limits(&self, now: Time) -> impl Iterator<Item = (BackendId, Limit)> {
        self.announcements.rate_limits(now)
    }

    /// Returns the backend servers that announced that they are leaving.
    pub fn leaving_backends(&self, now: Time) -> impl Iterator<Item = BackendId> {
        self.announcements.leaving(now)
    }

    /// Suspends dispatch after the process was stalled for `stall`, as the state of servers may be out of date:
    /// nothing is sent until `until` or `resume`. The time of the stall is not held against servers.
    pub fn suspend(&mut self, stall: Duration, until: Time) {
        self.suspended_until = self.suspended_until.max(until);
        for (number, attempt) in &mut self.attempts {
            attempt.started = attempt.started + stall;
            if self.timers.remove(&(attempt.late_at, Timer::Late(*number))) {
                attempt.late_at = attempt.late_at + stall;
                self.timers.insert((attempt.late_at, Timer::Late(*number)));
            }
        }
    }

    /// Resumes dispatch once the state of servers is confirmed, and sends waiting requests.
    pub fn resume(&mut self, now: Time) {
        self.suspended_until = Time::ZERO;
        self.dispatch_waiting(now);
    }

    /// Forgets failures of servers, and losses of requests since `since`: they were faults of this daemon's own path, which
    /// is open again. Sends what waits.
    pub fn forget_failures(&mut self, since: Time, now: Time) {
        self.backends.values_mut().for_each(|server| server.forget_failures(now));
        self.quarantine.forget(since);
        self.dispatch_waiting(now);
    }

    /// Returns whether `attempt` may still be sent to `backend`: the state and the policy may have changed since the choice was made,
    /// and the caller may have left.
    pub fn may_send(&self, attempt: u64, backend: BackendId, now: Time) -> bool {
        let accepts = |server: &Backend| {
            let within_limit = !server.rate_limited(now) || self.counted_lately(attempt, now);
            !server.leaving() && !server.paused(now) && within_limit
        };
        let Some(server) = self.backends.get(&backend) else { return false };
        let is_allowed = |attempt: &Attempt| {
            let request = self.requests.get(&attempt.request);
            request.is_some_and(|request| request.terms.allow(&server.spec) && !self.are_expired(&request.terms, now))
        };
        now >= self.suspended_until && self.attempts.get(&attempt).is_some_and(is_allowed) && accepts(server)
    }

    /// Returns whether an attempt was counted towards its server's rate limit, so lately that it still belongs to the
    /// present rate.
    fn counted_lately(&self, attempt: u64, now: Time) -> bool {
        let attempt = self.attempts.get(&attempt);
        attempt.is_some_and(|attempt| attempt.rate_limited && now.since(attempt.started) < MAX_SEND_DELAY)
    }

    /// Records losses that peers observed; returns those that were new, to be passed on.
    pub fn merge_losses(&mut self, losses: &[(u64, u64)], now: Time) -> Vec<(u64, u64)> {
        losses.iter().filter(|(fingerprint, loss)| self.apply_loss(*fingerprint, *loss, now)).copied().collect()
    }

    /// Returns the losses for which requests with `fingerprint` are refused; empty if they are not.
    pub fn quarantine_losses(&self, fingerprint: u64, now: Time) -> Vec<(u64, u64)> {
        self.quarantine.losses(fingerprint, now)
    }

    /// Takes the losses observed here since the last call, for peers.
    pub fn take_losses(&mut self) -> Vec<(u64, u64)> {
        std::mem::take(&mut self.losses)
    }

    fn rebuild_tiers(&mut self) {
        let services =
            self.backends.values().map(|backend| backend.spec.service).max().map_or(0, |highest| highest + 1);
        self.tiers = vec![[Vec::new(), Vec::new()]; usize::from(services)];
        for (id, backend) in &self.backends {
            let tier = usize::from(matches!(backend.spec.place, Place::Remote(_)));
            self.tiers[usize::from(backend.spec.service)][tier].push(*id);
        }
        self.near_shares = (0..self.tiers.len()).map(|service| self.near_share(service)).collect();
    }
}
