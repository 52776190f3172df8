//! The dispatch engine: a state machine that assigns requests to backend servers.

mod answer;
mod decision;
mod ending;
mod event;
mod held;
mod keyed;
mod link;
mod obstacle;
mod pick;
#[cfg(feature = "policies")]
pub mod policy;
mod queue;
mod state;
mod terms;
mod update;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::time::Time;

pub use self::decision::{Candidate, Decision};
pub use self::event::{Account, Action, Arrival, Basis, Budgets, Ending, Limits, Remote, Verdict};
use self::state::{Attempt, Link, Request, Timer};
use self::terms::Terms;
use crate::announcements::Announcements;
use crate::backend::{Backend, BackendId};
use crate::budget::Budget;
use crate::class::{self, Class};
use crate::fairness::{Arrival as Return, Refused, Usage};
use crate::quarantine::Quarantine;
use crate::warmth::Warmth;

/// Interval at which waiting requests are rechecked.
const RECHECK_INTERVAL: Duration = Duration::from_millis(2);
/// The same while only held requests (those about objects) wait.
const HELD_RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Assigns requests to backend servers and decides on retries, hedges and refusals.
#[derive(Debug, Clone)]
pub struct Engine {
    limits: Limits,
    classes: Vec<Class>,
    /// Positions of the classes, by rank.
    priority_order: Vec<usize>,
    backends: BTreeMap<BackendId, Backend>,
    /// For each service, by position: the servers of this region, and those of other regions.
    tiers: Vec<[Vec<BackendId>; 2]>,
    /// Links to other regions, by region.
    links: BTreeMap<u16, Link>,
    requests: BTreeMap<u64, Request>,
    attempts: BTreeMap<u64, Attempt>,
    timers: BTreeSet<(Time, Timer)>,
    /// Requests about objects that wait for one of their home servers, by service.
    held: BTreeMap<u16, Vec<u64>>,
    /// When waiting requests are rechecked; `None` if no recheck is scheduled.
    recheck_at: Option<Time>,
    next_attempt: u64,
    picks: u64,
    /// Requests in the queues of the classes; held ones are not counted.
    queued: usize,
    hedges: Budget,
    retries: Budget,
    /// Budget of hedges and retries together, by service.
    repeats: BTreeMap<u16, Budget>,
    warmth: Warmth,
    /// Work that client accounts had lately.
    usage: Usage,
    /// Requests of client accounts that were refused lately.
    refused: Refused,
    announcements: Announcements,
    /// Until when nothing is sent after a stall of the process, as the state of servers may be out of date.
    suspended_until: Time,
    /// Until when requests that may not run in all regions are sent by the policy in force.
    policy_expires_at: Time,
    /// When the last of the announced pauses ends.
    last_pause_end: Time,
    /// When the last of the rate limits ends, unless it is confirmed.
    limits_end_at: Time,
    /// Servers with a rate limit of which a part is this daemon's.
    shared_limits: BTreeSet<BackendId>,
    /// Share of the objects whose primary home is in this region, by service.
    near_shares: Vec<f64>,
    /// When the load of servers without a report was last estimated, by service.
    loads_estimated_at: BTreeMap<u16, Time>,
    quarantine: Quarantine,
    /// Losses observed since they were last taken, as fingerprint and number of the loss.
    losses: Vec<(u64, u64)>,
    /// Makes the numbers of losses unique among daemons.
    loss_seed: u64,
    rng: fastrand::Rng,
    actions: Vec<Action>,
    decisions: Vec<Decision>,
    stopping: bool,
    #[cfg(feature = "policies")]
    policy: policy::Policy,
}

impl Engine {
    /// Creates an engine without backend servers. Engines with equal seeds make equal random choices.
    pub fn new(classes: Vec<class::Spec>, limits: Limits, seed: u64) -> Self {
        let mut engine = Self {
            limits,
            classes: Vec::new(),
            priority_order: Vec::new(),
            backends: BTreeMap::new(),
            tiers: Vec::new(),
            links: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            held: BTreeMap::new(),
            recheck_at: None,
            next_attempt: 0,
            picks: 0,
            queued: 0,
            hedges: Budget::new(limits.budgets.hedge_ratio, limits.budgets.hedge_burst),
            retries: Budget::new(limits.budgets.retry_ratio, limits.budgets.retry_burst),
            repeats: BTreeMap::new(),
            warmth: Warmth::new(),
            usage: Usage::new(),
            refused: Refused::new(),
            announcements: Announcements::new(),
            suspended_until: Time::ZERO,
            policy_expires_at: Time::MAX,
            last_pause_end: Time::ZERO,
            limits_end_at: Time::ZERO,
            shared_limits: BTreeSet::new(),
            near_shares: Vec::new(),
            loads_estimated_at: BTreeMap::new(),
            quarantine: Quarantine::new(limits.quarantine),
            losses: Vec::new(),
            loss_seed: seed,
            rng: fastrand::Rng::with_seed(seed),
            actions: Vec::new(),
            decisions: Vec::new(),
            stopping: false,
            #[cfg(feature = "policies")]
            policy: policy::Policy::default(),
        };
        engine.set_classes(classes);
        engine
    }

    /// Refuses new requests from now on; open requests are still finished.
    pub const fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns the number of fingerprints whose requests are refused because they crashed servers.
    pub fn quarantined(&self, now: Time) -> usize {
        self.quarantine.count(now)
    }

    /// Returns the number of open requests, waiting or running.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of waiting requests, held ones included.
    pub fn queued(&self) -> usize {
        self.queued + self.held()
    }

    /// Returns the number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns how often a server was searched for a request, with or without success: a measure of the cost of
    /// dispatch.
    pub const fn picks(&self) -> u64 {
        self.picks
    }

    /// Returns the backend servers with their observed state.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// Submits a new request; its answer follows as an [`Action::Answer`].
    pub fn submit(&mut self, arrival: Arrival, now: Time) {
        let Arrival { request, class, fingerprint, bytes, timeout, object, account } = arrival;
        let terms = Terms::new(&mut self.classes[class], account);
        let service = terms.service;
        self.hedges.earn();
        self.retries.earn();
        self.repeats(service).earn();
        if let Some(kind) = self.admission_error(class, fingerprint, now) {
            let waiting = self.queued();
            let refused = Decision::Refused {
                request,
                kind,
                attempts: 0,
                waited: Duration::ZERO,
                waiting,
                candidates: [None, None],
            };
            self.decisions.push(refused);
            let retry_after = self.retry_after(kind, false, None, now);
            return self.answer_error(request, kind, retry_after);
        }
        let spec = &self.classes[class].spec;
        let object = object.filter(|_| spec.affinity).map(|object| base::hash::combine(object, spec.key));
        if object.is_some() {
            self.estimate_loads(service, now);
        }
        let returning = if account.id == 0 { Return::New } else { self.refused.arrival(account.id, fingerprint, now) };
        let spec = &self.classes[class].spec;
        let deadline = now + timeout.map_or(spec.deadline, |timeout| timeout.min(spec.deadline));
        let state = Request {
            class,
            terms,
            moved: false,
            object,
            homes: [None, None],
            account,
            target_fraction: if account.id == 0 { 1.0 } else { self.usage.target_fraction(account.id, now) },
            returning,
            fingerprint,
            bytes,
            arrived: now,
            deadline,
            attempts: 0,
            excluded: Vec::new(),
            live: Vec::new(),
            hedged: false,
            queued: false,
            shed_with_free_slot: false,
            may_have_run: None,
        };
        self.requests.insert(request, state);
        self.timers.insert((deadline, Timer::Deadline(request)));
        if object.is_some() {
            return self.place(request, now);
        }
        let queue_was_empty = self.classes[class].queue.is_empty();
        self.enqueue(request, false);
        // If others of its class wait already, the request cannot be placed either.
        if queue_was_empty {
            self.dispatch_class(class, now);
        }
        if self.queued > 0 {
            self.schedule_recheck(now);
        }
    }

    /// Drops a request whose caller disconnected.
    pub fn abandon(&mut self, request: u64, now: Time) {
        if let Some(state) = self.remove_request(request) {
            // Work that must not run twice continues: after a cancellation its outcome would be unknown.
            if state.terms.idempotent {
                self.cancel_all(&state.live);
            }
        }
        self.dispatch_waiting(now);
    }

    /// Records the end of an attempt, and dispatches requests that wait for its server.
    pub fn finish(&mut self, attempt: u64, ending: Ending, now: Time) {
        let Some(ended) = self.attempts.remove(&attempt) else {
            return;
        };
        self.timers.remove(&(ended.late_at, Timer::Late(attempt)));
        self.release(attempt, &ended, ending, now);
        self.resolve(attempt, &ended, ending, now);
        self.dispatch_waiting_for(Some(ended.backend), now);
    }

    /// Runs the timers that are due at `now`.
    pub fn tick(&mut self, now: Time) {
        let mut recheck = false;
        while let Some((at, timer)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, timer));
            match timer {
                Timer::Late(attempt) => self.handle_late(attempt, now),
                Timer::Deadline(request) => self.expire(request, now),
                Timer::Recheck => recheck = true,
            }
        }
        if recheck {
            self.recheck_at = None;
            self.dispatch_waiting(now);
        }
    }

    /// Returns when `tick` is due next; `None` if no timer is set.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Takes the actions decided since the last call. Drops decisions that were not taken before, so call
    /// `take_decisions` first.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.decisions.clear();
        std::mem::take(&mut self.actions)
    }

    fn repeats(&mut self, service: u16) -> &mut Budget {
        let budgets = self.limits.budgets;
        self.repeats.entry(service).or_insert_with(|| Budget::new(budgets.repeat_ratio, budgets.repeat_burst))
    }
}
