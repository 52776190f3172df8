//! The state machine of dispatch.

mod ending;
mod event;
mod keyed;
mod note;
mod pick;
#[cfg(feature = "policies")]
pub mod policy;
mod queue;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::error::{Kind, Outcome};
use base::rate;
use base::time::Time;

pub use self::event::{Action, Arrival, Ending, Extra, Limits, Remote, Verdict, Why};
pub use self::note::{Chance, Note};
use crate::backend::{Backend, BackendId, Place, Report, Spec};
use crate::budget::Budget;
use crate::class::{self, Class};
use crate::poison::Poison;
use crate::warmth::Warmth;

/// Time after which waiting requests are looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(2);
/// The same where only requests about objects wait.
const LOOK_AT_HELD: Duration = Duration::from_millis(20);

#[derive(Debug, Clone)]
struct Request {
    class: usize,
    service: u16,
    object: Option<u64>,
    /// The servers that served the object when one was chosen last.
    homes: keyed::Homes,
    fingerprint: u64,
    bytes: u64,
    arrived: Time,
    deadline: Time,
    /// Attempts so far.
    tries: usize,
    /// Servers that must not get it again: they failed it, or run it now.
    barred: Vec<BackendId>,
    live: Vec<u64>,
    hedged: bool,
    queued: bool,
    /// Set once an attempt may have run; the final error must then be an unknown outcome.
    touched: Option<Kind>,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    request: u64,
    class: usize,
    /// Whether the server had handled the request's object lately; `None` for a request about none.
    warm: Option<bool>,
    /// Whether a slot was free there, as far as known, and its pace.
    free: bool,
    pace: f64,
    backend: BackendId,
    started: Time,
    late_at: Time,
    late: bool,
    reserved: Option<Reserve>,
}

/// What an attempt took of a link in advance.
#[derive(Debug, Clone, Copy)]
struct Reserve {
    region: u16,
    bytes: f64,
    /// Whether an answer of the class had been seen.
    sized: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Late(u64),
    Deadline(u64),
    Look,
}

#[derive(Debug, Clone)]
struct Channel {
    limit: u32,
    in_flight: u32,
    /// Attempts in flight whose answers may be of any size.
    unsized_in_flight: u32,
    bucket: rate::Bucket,
}

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
    /// Parts of the objects that live near, by service.
    near_parts: Vec<f64>,
    /// When the loads of servers that told none were last guessed, by service.
    guessed: BTreeMap<u16, Time>,
    poison: Poison,
    losses: Vec<(u64, u64)>,
    salt: u64,
    rng: fastrand::Rng,
    actions: Vec<Action>,
    notes: Vec<Note>,
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
            hedges: Budget::new(limits.extra.hedge_part, limits.extra.hedges_saved),
            retries: Budget::new(limits.extra.retry_part, limits.extra.retries_saved),
            repeats: BTreeMap::new(),
            warmth: Warmth::new(),
            near_parts: Vec::new(),
            guessed: BTreeMap::new(),
            poison: Poison::new(limits.poison),
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
            let backend = match known {
                Some(mut backend) => {
                    backend.declare(spec, now);
                    backend
                }
                None => Backend::new(spec, now),
            };
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
            unsized_in_flight: 0,
            bucket: rate::Bucket::new(remote.bytes_per_second, burst, now),
        });
        channel.limit = remote.limit;
        channel.bucket.set_rate(remote.bytes_per_second, burst, now);
    }

    /// Changes how much extra work may be caused from now on.
    pub fn set_extra(&mut self, extra: Extra) {
        self.limits.extra = extra;
        self.hedges.set(extra.hedge_part, extra.hedges_saved);
        self.retries.set(extra.retry_part, extra.retries_saved);
        for repeats in self.repeats.values_mut() {
            repeats.set(extra.repeat_part, extra.repeats_saved);
        }
    }

    /// Takes in a load report that came with an answer; what waits is looked at when that answer is taken in.
    pub fn note_report(&mut self, backend: BackendId, report: Report) {
        if let Some(backend) = self.backends.get_mut(&backend) {
            backend.report(report);
        }
    }

    /// Takes in a load report of a backend server.
    pub fn report(&mut self, backend: BackendId, report: Report, now: Time) {
        if let Some(backend) = self.backends.get_mut(&backend) {
            backend.report(report);
        }
        self.pump(now);
    }

    /// Takes in losses that peers saw; gives those that were news, to be passed on.
    pub fn merge_losses(&mut self, losses: &[(u64, u64)], now: Time) -> Vec<(u64, u64)> {
        losses.iter().filter(|(fingerprint, loss)| self.note_poison(*fingerprint, *loss, now)).copied().collect()
    }

    /// The losses for which requests with `fingerprint` are refused; none if they are not.
    pub fn poison(&self, fingerprint: u64, now: Time) -> Vec<(u64, u64)> {
        self.poison.losses(fingerprint, now)
    }

    /// Losses seen here since the last call, for peers.
    pub fn take_losses(&mut self) -> Vec<(u64, u64)> {
        std::mem::take(&mut self.losses)
    }

    /// Takes no new requests from now on; those here are finished.
    pub const fn stop(&mut self) {
        self.stopping = true;
    }

    /// Requests that are refused because they crash servers, by fingerprint.
    pub fn poisonous(&self, now: Time) -> usize {
        self.poison.refused(now)
    }

    /// Requests here.
    pub fn open(&self) -> usize {
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
        let Arrival { request, class, fingerprint, bytes, limit, object } = arrival;
        let service = self.classes[class].next_service();
        self.hedges.earn();
        self.retries.earn();
        self.repeats(service).earn();
        if let Some(kind) = self.refusal(class, fingerprint, now) {
            let waiting = self.queued();
            let note =
                Note::Refused { request, kind, tries: 0, waited: Duration::ZERO, waiting, chances: [None, None] };
            self.notes.push(note);
            return self.answer(request, Verdict::Refuse(kind));
        }
        let spec = &self.classes[class].spec;
        let object = object.filter(|_| spec.affinity).map(|object| base::hash::pair(object, spec.key));
        if object.is_some() {
            self.guess_loads(service, now);
        }
        let spec = &self.classes[class].spec;
        let deadline = now + limit.map_or(spec.deadline, |limit| limit.min(spec.deadline));
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
    pub fn wake(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Takes the actions decided since the last call; notes that were not taken before are dropped.
    pub fn take(&mut self) -> Vec<Action> {
        self.notes.clear();
        std::mem::take(&mut self.actions)
    }

    fn repeats(&mut self, service: u16) -> &mut Budget {
        let extra = self.limits.extra;
        self.repeats.entry(service).or_insert_with(|| Budget::new(extra.repeat_part, extra.repeats_saved))
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

    fn answer(&mut self, request: u64, verdict: Verdict) {
        let after = match verdict {
            Verdict::Refuse(kind) => self.return_after(kind),
            Verdict::Relay(_) => None,
        };
        self.actions.push(Action::Answer { request, verdict, after });
    }

    /// Takes a request out of all books but its attempts'.
    fn close(&mut self, request: u64) -> Option<Request> {
        let state = self.requests.remove(&request)?;
        self.timers.remove(&(state.deadline, Timer::Deadline(request)));
        if state.queued {
            self.classes[state.class].queue.retain(|queued| *queued != request);
            self.queued -= 1;
        }
        Some(state)
    }

    /// Ends a request with an error that is true of all its attempts.
    fn refuse(&mut self, request: u64, kind: Kind, now: Time) {
        let Some(state) = self.close(request) else { return };
        self.cancel_all(&state.live);
        let kind = match (state.touched, kind.answer().outcome) {
            (Some(touched), Outcome::NotRun) => touched,
            _ => kind,
        };
        let (tries, waited, waiting) = (state.tries, now.since(state.arrived), self.queued());
        let chances = self.chances(&state, now);
        self.notes.push(Note::Refused { request, kind, tries, waited, waiting, chances });
        self.answer(request, Verdict::Refuse(kind));
    }

    fn cancel_all(&mut self, attempts: &[u64]) {
        for attempt in attempts {
            if let Some(live) = self.attempts.get(attempt) {
                self.actions.push(Action::Cancel { attempt: *attempt, backend: live.backend });
            }
        }
    }

    fn expire(&mut self, request: u64, now: Time) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let kind = if state.live.is_empty() { Kind::Expired } else { Kind::BackendTimeout };
        self.refuse(request, kind, now);
    }
}
