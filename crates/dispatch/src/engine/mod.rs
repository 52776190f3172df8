//! The state machine of dispatch.

mod answer;
mod decision;
mod ending;
mod event;
mod keyed;
mod pick;
#[cfg(feature = "policies")]
pub mod policy;
mod queue;
mod state;
mod waiting;
mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::time::Time;

pub use self::decision::{Candidate, Decision};
pub use self::event::{Action, Arrival, Basis, Budgets, Ending, Limits, Remote, Verdict};
use self::state::{Attempt, Channel, Request, Timer};
use crate::announcements::Announcements;
use crate::backend::{Backend, BackendId};
use crate::budget::Budget;
use crate::class::{self, Class};
use crate::quarantine::Quarantine;
use crate::warmth::Warmth;

/// Time after which waiting requests are looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(2);
/// The same where only requests about objects wait.
const LOOK_AT_HELD: Duration = Duration::from_millis(20);

/// Decides what runs where.
#[derive(Debug, Clone)]
pub struct Engine {
    limits: Limits,
    classes: Vec<Class>,
    order: Vec<usize>,
    backends: BTreeMap<BackendId, Backend>,
    /// For each service: servers of our region, and servers elsewhere.
    tiers: Vec<[Vec<BackendId>; 2]>,
    channels: BTreeMap<u16, Channel>,
    requests: BTreeMap<u64, Request>,
    attempts: BTreeMap<u64, Attempt>,
    timers: BTreeSet<(Time, Timer)>,
    /// Requests about objects that wait for a home, by service.
    held: BTreeMap<u16, Vec<u64>>,
    /// When waiting requests are looked at again.
    looking: Option<Time>,
    next_attempt: u64,
    choices: u64,
    queued: usize,
    hedges: Budget,
    retries: Budget,
    /// Hedges and retries together, by service.
    repeats: BTreeMap<u16, Budget>,
    warmth: Warmth,
    words: Announcements,
    /// Until when what is believed of servers is not acted on.
    doubted_until: Time,
    /// When the last pause ends that a server asked for.
    pauses_end: Time,
    /// Parts of the objects that live near, by service.
    near_parts: Vec<f64>,
    /// When the loads of servers that told none were last guessed, by service.
    guessed: BTreeMap<u16, Time>,
    quarantine: Quarantine,
    losses: Vec<(u64, u64)>,
    salt: u64,
    rng: fastrand::Rng,
    actions: Vec<Action>,
    notes: Vec<Decision>,
    stopping: bool,
    #[cfg(feature = "policies")]
    policy: policy::Policy,
}

impl Engine {
    /// An engine without backend servers; equal seeds make equal choices.
    pub fn new(classes: Vec<class::Spec>, limits: Limits, seed: u64) -> Self {
        let mut engine = Self {
            limits,
            classes: Vec::new(),
            order: Vec::new(),
            backends: BTreeMap::new(),
            tiers: Vec::new(),
            channels: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            held: BTreeMap::new(),
            looking: None,
            next_attempt: 0,
            choices: 0,
            queued: 0,
            hedges: Budget::new(limits.budgets.hedge_ratio, limits.budgets.hedge_burst),
            retries: Budget::new(limits.budgets.retry_ratio, limits.budgets.retry_burst),
            repeats: BTreeMap::new(),
            warmth: Warmth::new(),
            words: Announcements::new(),
            doubted_until: Time::ZERO,
            pauses_end: Time::ZERO,
            near_parts: Vec::new(),
            guessed: BTreeMap::new(),
            quarantine: Quarantine::new(limits.quarantine),
            losses: Vec::new(),
            salt: seed,
            rng: fastrand::Rng::with_seed(seed),
            actions: Vec::new(),
            notes: Vec::new(),
            stopping: false,
            #[cfg(feature = "policies")]
            policy: policy::Policy::default(),
        };
        engine.set_classes(classes);
        engine
    }

    /// Takes no new requests from now on; those here are finished.
    pub const fn stop(&mut self) {
        self.stopping = true;
    }

    /// Requests that are refused because they crash servers, by fingerprint.
    pub fn quarantined(&self, now: Time) -> usize {
        self.quarantine.refused(now)
    }

    /// Requests here.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queued + self.held()
    }

    /// Attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Choices of a server so far, those that found none among them: what deciding costs.
    pub const fn choices(&self) -> u64 {
        self.choices
    }

    /// Backend servers, for showing.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// A new request; its answer comes as an action.
    pub fn submit(&mut self, arrival: Arrival, now: Time) {
        let Arrival { request, class, fingerprint, bytes, timeout, object } = arrival;
        let service = self.classes[class].next_service();
        self.hedges.earn();
        self.retries.earn();
        self.repeats(service).earn();
        if let Some(kind) = self.refusal(class, fingerprint, now) {
            let waiting = self.queued();
            let note = Decision::Refused {
                request,
                kind,
                attempts: 0,
                waited: Duration::ZERO,
                waiting,
                candidates: [None, None],
            };
            self.notes.push(note);
            let after = self.return_after(kind, false, None, now);
            return self.reject(request, kind, after);
        }
        let spec = &self.classes[class].spec;
        let object = object.filter(|_| spec.affinity).map(|object| base::hash::combine(object, spec.key));
        if object.is_some() {
            self.guess_loads(service, now);
        }
        let spec = &self.classes[class].spec;
        let deadline = now + timeout.map_or(spec.deadline, |timeout| timeout.min(spec.deadline));
        let state = Request {
            class,
            service,
            object,
            homes: [None, None],
            fingerprint,
            bytes,
            arrived: now,
            deadline,
            tries: 0,
            barred: Vec::new(),
            live: Vec::new(),
            hedged: false,
            queued: false,
            shed_with_room: false,
            touched: None,
        };
        self.requests.insert(request, state);
        self.timers.insert((deadline, Timer::Deadline(request)));
        if object.is_some() {
            return self.place(request, now);
        }
        let first = self.classes[class].queue.is_empty();
        self.enqueue(request, false);
        // Behind others that wait there is nothing to try: they could not be placed.
        if first {
            self.pump_class(class, now);
        }
        if self.queued > 0 {
            self.look_again(now);
        }
    }

    /// The caller went away: nothing more is done for the request.
    pub fn abandon(&mut self, request: u64, now: Time) {
        if let Some(state) = self.close(request) {
            // Work that must not run twice goes on: broken off, nobody would know what became of it.
            if self.classes[state.class].spec.idempotent {
                self.cancel_all(&state.live);
            }
        }
        self.pump(now);
    }

    /// An attempt ended.
    pub fn finish(&mut self, attempt: u64, ending: Ending, now: Time) {
        let Some(ended) = self.attempts.remove(&attempt) else {
            return;
        };
        self.timers.remove(&(ended.late_at, Timer::Late(attempt)));
        self.settle(&ended, ending, now);
        self.conclude(attempt, &ended, ending, now);
        self.pump_freed(Some(ended.backend), now);
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Time) {
        let mut look = false;
        while let Some((at, timer)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, timer));
            match timer {
                Timer::Late(attempt) => self.late(attempt, now),
                Timer::Deadline(request) => self.expire(request, now),
                Timer::Look => look = true,
            }
        }
        if look {
            self.looking = None;
            self.pump(now);
        }
    }

    /// When `tick` has something to do next.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Takes the actions decided since the last call; notes that were not taken before are dropped.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.notes.clear();
        std::mem::take(&mut self.actions)
    }

    fn repeats(&mut self, service: u16) -> &mut Budget {
        let budgets = self.limits.budgets;
        self.repeats.entry(service).or_insert_with(|| Budget::new(budgets.repeat_ratio, budgets.repeat_burst))
    }
}
