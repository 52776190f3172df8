//! The replay itself: engines of all entry instances over modelled servers, in virtual time.

mod attempts;
mod books;
mod callers;
mod news;

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
use crate::server::{JobId, Server};
use crate::site::Site;
use crate::trace::{Trace, What};

/// Time between two load reports of a server.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// Age of load reports unless the trace says otherwise.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Time until the death of an instance or an announced leave is known to all.
const NEWS: Duration = Duration::from_secs(3);
/// How long callers keep a look-up's answer.
const KEPT: Duration = Duration::from_secs(10);
/// Time a server that crashed is away.
const CRASH_AWAY: Duration = Duration::from_secs(5);
/// Sends of a poisonous request, with this pause between them.
const POISON_SENDS: u32 = 6;
/// Pause between two sends of a poisonous request.
const POISON_PAUSE: Duration = Duration::from_secs(2);
/// Limits of an engine, as in the daemon's defaults.
const LIMITS: Limits =
    Limits { max_queued: 512, max_in_flight: 128, quarantine: Duration::from_mins(10), budgets: Budgets::DEFAULT };
/// Limits of a plain policy: none that matter.
const PLAIN: Limits = Limits {
    max_queued: 1 << 20,
    max_in_flight: 1 << 20,
    quarantine: Duration::from_mins(10),
    budgets: Budgets::DEFAULT,
};

#[derive(Debug, Clone, PartialEq)]
enum Event {
    Trace(usize),
    Arrive(usize),
    Reach(JobId),
    Done(JobId),
    Answered(JobId, Ending),
    CancelReach(JobId),
    Wake(usize),
    Reports,
    Known(String),
    Revive(usize),
    Poison(usize, u32),
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
    sent: Time,
    entry: usize,
    arrived: Time,
    tried: bool,
    runs: u32,
    over: bool,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    request: usize,
    server: usize,
}

/// One replay.
#[derive(Debug)]
pub struct World<'a> {
    site: &'a Site,
    policy: Policy,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    engines: Vec<Engine>,
    wakes: Vec<Option<Time>>,
    servers: Vec<Server>,
    known_gone: BTreeSet<String>,
    left: BTreeMap<usize, Time>,
    dead_regions: BTreeSet<String>,
    requests: Vec<Request>,
    attempts: BTreeMap<JobId, Attempt>,
    cache: BTreeMap<u32, (Vec<usize>, Time)>,
    lag: Duration,
    reports: bool,
    view: View,
    controller: Controller,
    table: Table,
    open: usize,
    outcome: Outcome,
    link: BTreeMap<(usize, usize, u64), f64>,
    busy: Vec<(Time, f64, u64, f64)>,
}

impl<'a> World<'a> {
    /// A world of `site` whose entry instances choose by `policy`.
    pub fn new(site: &'a Site, policy: Policy, seed: u64) -> Self {
        let steered = policy == Policy::Steered;
        let limits = if steered { LIMITS } else { PLAIN };
        let engine = |index: usize| {
            let mut engine = Engine::new(site.specs(), limits, hash::combine(seed, index as u64));
            engine.set_policy(policy);
            engine
        };
        let server = |connections: u32, slots: u32| Server::new(slots as usize, connections as usize);
        let servers = site.servers.iter().map(|instance| server(instance.connections, instance.slots)).collect();
        let mut world = Self {
            site,
            policy,
            now: Time::from_millis(1_000),
            events: BTreeMap::new(),
            sequence: 0,
            engines: (0..site.entries.len()).map(engine).collect(),
            wakes: vec![None; site.entries.len()],
            servers,
            known_gone: BTreeSet::new(),
            left: BTreeMap::new(),
            dead_regions: BTreeSet::new(),
            requests: Vec::new(),
            attempts: BTreeMap::new(),
            cache: BTreeMap::new(),
            lag: REPORT_LAG,
            reports: true,
            view: View::default(),
            controller: Controller::new(site.regions.len(), KEPT, Time::from_millis(1_000)),
            table: home_table(site),
            open: 0,
            outcome: Outcome { headroom: 1.0, ..Outcome::default() },
            link: BTreeMap::new(),
            busy: vec![(Time::ZERO, 0.0, 0, 0.0); site.regions.len()],
        };
        for class in &site.classes {
            world.outcome.classes.insert(class.clone(), Class::new());
        }
        world.learn();
        world
    }

    /// Replays `trace` to its end and until all work is over.
    pub fn run(mut self, trace: &Trace) -> Outcome {
        let start = self.now;
        for (index, event) in trace.events.iter().enumerate() {
            self.plan(start + event.at.since(Time::ZERO), Event::Trace(index));
        }
        let last = trace.events.last().map_or(start, |event| start + event.at.since(Time::ZERO));
        self.plan(start, Event::Reports);
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = self.now.max(at);
            if at > last && self.open == 0 {
                break;
            }
            self.play(event, trace);
        }
        self.finish()
    }

    fn play(&mut self, event: Event, trace: &Trace) {
        match event {
            Event::Trace(index) => self.trace(&trace.events[index].what),
            Event::Arrive(request) => self.arrive(request),
            Event::Reach(id) => self.reach(id),
            Event::Done(id) => self.done(id),
            Event::Answered(id, ending) => self.answered(id, ending),
            Event::CancelReach(id) => self.cancel(id),
            Event::Wake(entry) => self.wake(entry),
            Event::Reports => self.report(),
            Event::Known(name) => {
                self.known_gone.insert(name);
                self.learn();
            }
            Event::Revive(server) => self.servers[server].up = true,
            Event::Poison(request, sends) => self.poison_again(request, sends),
        }
    }

    fn plan(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn trace(&mut self, what: &What) {
        match what {
            What::Send { class, region, work_us, bytes, caller } => {
                let request = self.request(class, region, Duration::from_micros(*work_us), *bytes, *caller);
                self.send(request);
            }
            What::Poison { class, region, caller } => {
                let mut request = self.request(class, region, Duration::from_millis(1), 100, *caller);
                request.poison = true;
                self.send(request);
                self.plan(self.now + POISON_PAUSE, Event::Poison(self.requests.len() - 1, 1));
            }
            What::Slow(name, factor) => {
                let found = self.site.servers.iter().position(|server| server.name == *name);
                found.into_iter().for_each(|index| self.servers[index].slow = *factor);
            }
            What::Lag(ms) => self.lag = Duration::from_millis(*ms),
            What::Reports(on) => self.reports = *on,
            What::Region(region, up) => self.region(region, *up),
            What::Leave(name) => {
                let found = self.site.servers.iter().position(|server| server.name == *name);
                if let Some(index) = found {
                    self.left.insert(index, self.now);
                }
                self.plan(self.now + NEWS, Event::Known(name.clone()));
            }
        }
    }

    /// Carries out what an engine decided.
    fn settle(&mut self, entry: usize) {
        let actions = self.engines[entry].take_actions();
        if self.dead_regions.contains(&self.site.entries[entry].region) {
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
                    self.started(entry, request as usize, attempt, backend as usize);
                }
                Action::Cancel { attempt, backend } => {
                    let away = self.distance(entry, backend as usize);
                    self.plan(self.now + away, Event::CancelReach((entry, attempt)));
                }
                Action::Answer { request, verdict, .. } => self.verdict(request as usize, verdict),
            }
        }
        let wake = self.engines[entry].next_wakeup();
        if let Some(at) = wake.filter(|_| wake != self.wakes[entry]) {
            self.wakes[entry] = wake;
            self.plan(at, Event::Wake(entry));
        }
    }

    fn wake(&mut self, entry: usize) {
        self.wakes[entry] = None;
        let now = self.now;
        self.engines[entry].tick(now);
        self.settle(entry);
    }

    fn verdict(&mut self, index: usize, verdict: Verdict) {
        if self.requests[index].over {
            return;
        }
        match verdict {
            Verdict::Refuse(kind) => self.note_refused(index, kind),
            Verdict::Relay(_) => {
                let back = self.now + self.site.to_callers;
                self.close(index);
                let request = &self.requests[index];
                let name = &self.site.classes[request.class];
                let latency = back.since(request.sent);
                let good = latency.as_millis() as u64 <= self.site.policy.classes[name].target_ms;
                self.outcome.last = self.outcome.last.max(back);
                if let Some(class) = self.outcome.classes.get_mut(name) {
                    class.complete += 1;
                    class.good += u64::from(good);
                    class.latency.saturating_record((latency.as_micros() as u64).max(1));
                }
            }
        }
    }

    fn note_refused(&mut self, index: usize, kind: Kind) {
        if self.requests[index].over {
            return;
        }
        self.close(index);
        let name = &self.site.classes[self.requests[index].class];
        if let Some(class) = self.outcome.classes.get_mut(name) {
            class.refused(kind);
        }
    }

    fn close(&mut self, index: usize) {
        self.open -= usize::from(!self.requests[index].over);
        self.requests[index].over = true;
    }

    fn distance(&self, entry: usize, server: usize) -> Duration {
        self.site.distance(&self.site.entries[entry], &self.site.servers[server])
    }

    fn finish(mut self) -> Outcome {
        for index in 0..self.requests.len() {
            if !self.requests[index].over {
                self.note_refused(index, Kind::BackendLost);
            }
        }
        self.outcome
    }
}

/// Each region's callers live in a block of their own.
fn home_table(site: &Site) -> Table {
    let block = |region: usize| table::Block { first: (region as u32 + 1) << 24, length: 8, region: region as u16 };
    Table::new((0..site.regions.len()).map(block).collect())
}
