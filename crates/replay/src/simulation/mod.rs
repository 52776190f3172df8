//! The simulation: one dispatch engine for each entry instance over modelled servers, in virtual time.

mod attempts;
mod callers;
mod metrics;
mod updates;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::error::Kind;
use base::hash;
use base::time::Time;
use dispatch::engine::{Budgets, Limits, policy::Policy};
use dispatch::{Action, Ending, Engine, Verdict};
use steer::shift::Controller;
use steer::view::View;
use steer::{Table, table};

use crate::outcome::{Class, Outcome};
use crate::server::{AttemptId, Server};
use crate::site::Site;
use crate::trace::{EventKind, Trace};

/// Time between two load reports of a server.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Age of load reports unless the trace says otherwise.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Time until all entry instances know that a region failed or that a server is leaving.
const PROPAGATION_DELAY: Duration = Duration::from_secs(3);
/// How long callers use a look-up's answer.
const LOOKUP_TTL: Duration = Duration::from_secs(10);
/// Time until a server that crashed is up again.
const RESTART_DELAY: Duration = Duration::from_secs(5);
/// How many times a poisonous request is sent, the first time included.
const MAX_POISON_SENDS: u32 = 6;
/// Time between two sends of a poisonous request.
const POISON_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Limits of the steered engines: the defaults of the daemon.
const LIMITS: Limits =
    Limits { max_queued: 512, max_in_flight: 128, quarantine: Duration::from_mins(10), budgets: Budgets::DEFAULT };
/// Limits of the baseline policies, too high to have an effect.
const BASELINE_LIMITS: Limits = Limits {
    max_queued: 1 << 20,
    max_in_flight: 1 << 20,
    quarantine: Duration::from_mins(10),
    budgets: Budgets::DEFAULT,
};

/// A scheduled event; numbers are positions in the lists of [`Simulation`], the trace and the site.
#[derive(Debug, Clone, PartialEq)]
enum Event {
    /// An event of the trace is due.
    Trace(usize),
    /// A request arrives at its entry instance.
    RequestArrived(usize),
    /// An attempt arrives at its server.
    AttemptArrived(AttemptId),
    /// A server has finished an attempt's work.
    WorkDone(AttemptId),
    /// The result of an attempt arrives at its entry instance.
    AttemptEnded(AttemptId, Ending),
    /// The cancellation of an attempt arrives at its server.
    CancelArrived(AttemptId),
    /// An entry instance's engine is due for a tick.
    Wakeup(usize),
    /// Servers send load reports.
    Reports,
    /// All entry instances learn that a region failed or that a server is leaving.
    RemovalKnown(String),
    /// A server that crashed is up again.
    Restart(usize),
    /// A caller sends a poisonous request again; the second value counts the sends so far.
    PoisonRetry(usize, u32),
}

/// A request of the trace.
#[derive(Debug, Clone)]
struct Request {
    class: usize,
    region: usize,
    work: Duration,
    bytes: u64,
    caller: u32,
    poison: bool,
    /// When the caller sent it.
    sent_at: Time,
    /// The entry instance that it was sent to.
    entry: usize,
    /// When it arrived at the entry instance.
    arrived_at: Time,
    /// Whether an attempt was sent to a server.
    attempted: bool,
    /// How often a server started to run it.
    runs: u32,
    /// Whether it has an answer or an error.
    finished: bool,
}

/// An attempt from its start until its result reaches the entry instance.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    request: usize,
    server: usize,
}

/// The state of one replay.
#[derive(Debug)]
pub struct Simulation<'a> {
    site: &'a Site,
    policy: Policy,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    /// Number of the last scheduled event; orders events of the same time.
    sequence: u64,
    engines: Vec<Engine>,
    /// For each engine, the time of its pending [`Event::Wakeup`].
    scheduled_wakeups: Vec<Option<Time>>,
    servers: Vec<Server>,
    /// Failed regions and leaving servers, by name, that all entry instances know of.
    known_removed: BTreeSet<String>,
    /// When servers were announced as leaving, by position.
    leaving_since: BTreeMap<usize, Time>,
    /// Regions that have failed, whether or not the entry instances know it.
    down_regions: BTreeSet<String>,
    requests: Vec<Request>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// The entry instances that each caller got from its last look-up, and until when it uses them.
    lookup_cache: BTreeMap<u32, (Vec<usize>, Time)>,
    report_lag: Duration,
    reports_enabled: bool,
    view: View,
    controller: Controller,
    table: Table,
    /// Number of requests that are not finished.
    open_requests: usize,
    outcome: Outcome,
    /// Bytes sent, by source region, destination region and second.
    link_bytes: BTreeMap<(usize, usize, u64), f64>,
    /// For each region: time of the last change, busy slots since then, the second being averaged, and the integral of
    /// the busy slots over it, in slot-seconds.
    busy_slots: Vec<(Time, f64, u64, f64)>,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation of `site` whose entry instances choose servers by `policy`.
    pub fn new(site: &'a Site, policy: Policy, seed: u64) -> Self {
        let steered = policy == Policy::Steered;
        let limits = if steered { LIMITS } else { BASELINE_LIMITS };
        let engine = |index: usize| {
            let mut engine = Engine::new(site.class_specs(), limits, hash::combine(seed, index as u64));
            engine.set_policy(policy);
            engine
        };
        let server = |connections: u32, slots: u32| Server::new(slots as usize, connections as usize);
        let servers = site.servers.iter().map(|instance| server(instance.connections, instance.slots)).collect();
        let mut simulation = Self {
            site,
            policy,
            now: Time::from_millis(1_000),
            events: BTreeMap::new(),
            sequence: 0,
            engines: (0..site.entries.len()).map(engine).collect(),
            scheduled_wakeups: vec![None; site.entries.len()],
            servers,
            known_removed: BTreeSet::new(),
            leaving_since: BTreeMap::new(),
            down_regions: BTreeSet::new(),
            requests: Vec::new(),
            attempts: BTreeMap::new(),
            lookup_cache: BTreeMap::new(),
            report_lag: REPORT_LAG,
            reports_enabled: true,
            view: View::default(),
            controller: Controller::new(site.regions.len(), LOOKUP_TTL, Time::from_millis(1_000)),
            table: home_table(site),
            open_requests: 0,
            outcome: Outcome { min_headroom: 1.0, ..Outcome::default() },
            link_bytes: BTreeMap::new(),
            busy_slots: vec![(Time::ZERO, 0.0, 0, 0.0); site.regions.len()],
        };
        for class in &site.classes {
            simulation.outcome.classes.insert(class.clone(), Class::new());
        }
        simulation.update_engines();
        simulation
    }

    /// Replays `trace` until its last event has passed and all requests are finished.
    pub fn run(mut self, trace: &Trace) -> Outcome {
        let start = self.now;
        for (index, event) in trace.events.iter().enumerate() {
            self.schedule(start + event.at.since(Time::ZERO), Event::Trace(index));
        }
        let last = trace.events.last().map_or(start, |event| start + event.at.since(Time::ZERO));
        self.schedule(start, Event::Reports);
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = self.now.max(at);
            if at > last && self.open_requests == 0 {
                break;
            }
            self.handle(event, trace);
        }
        self.finish()
    }

    fn handle(&mut self, event: Event, trace: &Trace) {
        match event {
            Event::Trace(index) => self.apply_trace_event(&trace.events[index].kind),
            Event::RequestArrived(request) => self.request_arrived(request),
            Event::AttemptArrived(id) => self.attempt_arrived(id),
            Event::WorkDone(id) => self.work_done(id),
            Event::AttemptEnded(id, ending) => self.attempt_ended(id, ending),
            Event::CancelArrived(id) => self.cancel_arrived(id),
            Event::Wakeup(entry) => self.tick(entry),
            Event::Reports => self.send_reports(),
            Event::RemovalKnown(name) => {
                self.known_removed.insert(name);
                self.update_engines();
            }
            Event::Restart(server) => self.servers[server].up = true,
            Event::PoisonRetry(request, sends) => self.retry_poison(request, sends),
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn apply_trace_event(&mut self, kind: &EventKind) {
        match kind {
            EventKind::Send { class, region, work_us, bytes, caller } => {
                let request = self.new_request(class, region, Duration::from_micros(*work_us), *bytes, *caller);
                self.send(request);
            }
            EventKind::Poison { class, region, caller } => {
                let mut request = self.new_request(class, region, Duration::from_millis(1), 100, *caller);
                request.poison = true;
                self.send(request);
                self.schedule(self.now + POISON_RETRY_DELAY, Event::PoisonRetry(self.requests.len() - 1, 1));
            }
            EventKind::Slow(name, factor) => {
                let found = self.site.servers.iter().position(|server| server.name == *name);
                found.into_iter().for_each(|index| self.servers[index].slowdown = *factor);
            }
            EventKind::Lag(ms) => self.report_lag = Duration::from_millis(*ms),
            EventKind::Reports(on) => self.reports_enabled = *on,
            EventKind::Region(region, up) => self.set_region_up(region, *up),
            EventKind::Leave(name) => {
                let found = self.site.servers.iter().position(|server| server.name == *name);
                if let Some(index) = found {
                    self.leaving_since.insert(index, self.now);
                }
                self.schedule(self.now + PROPAGATION_DELAY, Event::RemovalKnown(name.clone()));
            }
        }
    }

    /// Carries out the actions that an engine decided on, and schedules its next wakeup.
    fn apply_actions(&mut self, entry: usize) {
        let actions = self.engines[entry].take_actions();
        if self.down_regions.contains(&self.site.entries[entry].region) {
            return;
        }
        let losses = self.engines[entry].take_losses();
        if !losses.is_empty() {
            let now = self.now;
            for engine in &mut self.engines {
                engine.merge_losses(&losses, now);
            }
        }
        for action in actions {
            match action {
                Action::Start { request, attempt, backend, .. } => {
                    self.start_attempt(entry, request as usize, attempt, backend as usize);
                }
                Action::Cancel { attempt, backend } => {
                    let latency = self.latency(entry, backend as usize);
                    self.schedule(self.now + latency, Event::CancelArrived((entry, attempt)));
                }
                Action::Answer { request, verdict, .. } => self.apply_verdict(request as usize, verdict),
            }
        }
        let wakeup = self.engines[entry].next_wakeup();
        if let Some(at) = wakeup.filter(|_| wakeup != self.scheduled_wakeups[entry]) {
            self.scheduled_wakeups[entry] = wakeup;
            self.schedule(at, Event::Wakeup(entry));
        }
    }

    fn tick(&mut self, entry: usize) {
        self.scheduled_wakeups[entry] = None;
        let now = self.now;
        self.engines[entry].tick(now);
        self.apply_actions(entry);
    }

    fn apply_verdict(&mut self, index: usize, verdict: Verdict) {
        if self.requests[index].finished {
            return;
        }
        match verdict {
            Verdict::Refuse(kind) => self.fail_request(index, kind),
            Verdict::Relay(_) => {
                let received_at = self.now + self.site.caller_latency;
                self.mark_finished(index);
                let request = &self.requests[index];
                let name = &self.site.classes[request.class];
                let latency = received_at.since(request.sent_at);
                let good = latency.as_millis() as u64 <= self.site.policy.classes[name].target_ms;
                self.outcome.last_answer = self.outcome.last_answer.max(received_at);
                if let Some(class) = self.outcome.classes.get_mut(name) {
                    class.complete += 1;
                    class.good += u64::from(good);
                    class.latency.saturating_record((latency.as_micros() as u64).max(1));
                }
            }
        }
    }

    /// Finishes a request with an error, unless it is finished already.
    fn fail_request(&mut self, index: usize, kind: Kind) {
        if self.requests[index].finished {
            return;
        }
        self.mark_finished(index);
        let name = &self.site.classes[self.requests[index].class];
        if let Some(class) = self.outcome.classes.get_mut(name) {
            class.record_error(kind);
        }
    }

    fn mark_finished(&mut self, index: usize) {
        self.open_requests -= usize::from(!self.requests[index].finished);
        self.requests[index].finished = true;
    }

    fn latency(&self, entry: usize, server: usize) -> Duration {
        self.site.latency(&self.site.entries[entry], &self.site.servers[server])
    }

    /// Counts the requests that are still open as lost, and returns the results.
    fn finish(mut self) -> Outcome {
        for index in 0..self.requests.len() {
            if !self.requests[index].finished {
                self.fail_request(index, Kind::BackendLost);
            }
        }
        self.outcome
    }
}

/// Creates a block table in which the callers of each region have one block of addresses.
fn home_table(site: &Site) -> Table {
    let block = |region: usize| table::Block { first: (region as u32 + 1) << 24, length: 8, region: region as u16 };
    Table::new((0..site.regions.len()).map(block).collect())
}
