//! Several engines in front of servers that work faster on objects they handled lately.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use base::time::Time;
use dispatch::backend::{BackendId, Place, Report, Spec};
use dispatch::class;
use dispatch::engine::{Arrival, Budgets, Limits, Remote};
use dispatch::{Action, Ending, Engine, Verdict};

/// Objects that a server remembers.
const REMEMBERED: usize = 40;
/// Time of work on a new object; a third of it on one handled lately.
const WORK: Duration = Duration::from_millis(400);
/// One way to another region.
const FAR: Duration = Duration::from_millis(12);
/// Time in which what was on its way to a server still reaches it.
const GRACE: Duration = Duration::from_millis(100);
/// Requests that wait at a server before it refuses more.
const QUEUE: usize = 9;

/// What callers of one region came to.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub asked: u32,
    pub good: u32,
    pub answered: u32,
    pub refused: u32,
}

struct Server {
    region: u16,
    running: BTreeMap<u64, (usize, u64)>,
    waiting: VecDeque<(u64, usize, u64, u64)>,
    warm: VecDeque<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Reach { server: BackendId, engine: usize, attempt: u64, object: u64 },
    Done { server: BackendId, attempt: u64 },
    Answer { server: BackendId, engine: usize, attempt: u64, shed: bool, load: u32 },
    Pause { server: BackendId, engine: usize, attempt: u64, pause: Duration },
    Lost { engine: usize, attempt: u64 },
}

struct Request {
    engine: usize,
    object: u64,
    arrived: Time,
}

/// Engines, servers and callers; one engine stands in each region's first place, and so on round.
pub struct Cluster {
    pub now: Time,
    /// For each second and each caller's region: requests run in each region.
    pub ran: BTreeMap<(u64, u16), BTreeMap<u16, u32>>,
    pub outcomes: BTreeMap<(u64, u16), Outcome>,
    engines: Vec<(Engine, u16)>,
    servers: BTreeMap<BackendId, Server>,
    events: BTreeSet<(Time, u64, Event)>,
    requests: BTreeMap<u64, Request>,
    attempts: BTreeMap<(usize, u64), (u64, BackendId)>,
    target: Duration,
    /// For each region, the objects that are still to be asked for in this round.
    rounds: [Vec<u64>; 3],
    next: u64,
    /// The part of its answers that every other server loses: the connection ends when the work is done.
    pub losing: f64,
    /// Servers that want nothing until then, and say so to each request.
    pub paused: BTreeMap<BackendId, Time>,
    /// When each engine was told so.
    told: BTreeMap<(usize, BackendId), Time>,
    /// Requests that reached a server although it had told the engine long before that it wants nothing.
    pub unwanted: u32,
    /// The longest time that a refused caller waited for its refusal.
    pub refused_after: Duration,
    /// When refused callers are to come back.
    pub returns: Vec<Time>,
    /// Requests at one server at most, by second.
    pub fullest: BTreeMap<u64, usize>,
    rng: fastrand::Rng,
}

impl Cluster {
    /// `servers` for each region, and two engines in each.
    pub fn new(servers: &[u32], seed: u64) -> Self {
        let target = Duration::from_millis(300);
        let now = Time::from_millis(1_000);
        let mut cluster = Self {
            now,
            ran: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            engines: Vec::new(),
            servers: BTreeMap::new(),
            events: BTreeSet::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            target,
            rounds: [Vec::new(), Vec::new(), Vec::new()],
            next: 0,
            losing: 0.0,
            paused: BTreeMap::new(),
            told: BTreeMap::new(),
            unwanted: 0,
            refused_after: Duration::ZERO,
            returns: Vec::new(),
            fullest: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        };
        let mut id = 0;
        for (region, count) in servers.iter().enumerate() {
            for _ in 0..*count {
                id += 7;
                let server = Server {
                    region: region as u16,
                    running: BTreeMap::new(),
                    waiting: VecDeque::new(),
                    warm: VecDeque::new(),
                };
                cluster.servers.insert(id, server);
            }
        }
        for region in 0..servers.len() as u16 {
            for number in 0..2 {
                let engine = cluster.engine(region, seed + u64::from(region) * 10 + number);
                cluster.engines.push((engine, region));
            }
        }
        cluster
    }

    fn engine(&self, region: u16, seed: u64) -> Engine {
        let class = class::Spec {
            affinity: true,
            target: self.target,
            max_attempts: 2,
            ..class::Spec::new(0, self.target * 4)
        };
        let limits = Limits {
            max_queued: 512,
            max_in_flight: 512,
            quarantine: Duration::from_mins(10),
            budgets: Budgets::DEFAULT,
        };
        let mut engine = Engine::new(vec![class], limits, seed);
        let open = Remote { max_in_flight: u32::MAX, bytes_per_second: 1e9 };
        (0..3).for_each(|other| engine.set_remote(other, open, self.now));
        let spec = |(id, server): (&BackendId, &Server)| Spec {
            id: *id,
            service: 0,
            place: if server.region == region { Place::Region } else { Place::Remote(server.region) },
            slots: 3,
            leaving: false,
            hosts: true,
            region: server.region,
            slow_start: None,
        };
        engine.set_backends(self.servers.iter().map(spec).collect(), self.now);
        engine
    }

    /// All servers, by number.
    pub fn servers(&self) -> Vec<BackendId> {
        self.servers.keys().copied().collect()
    }

    /// All engines start anew and know nothing; the servers go on.
    pub fn restart(&mut self) {
        for index in 0..self.engines.len() {
            let region = self.engines[index].1;
            self.engines[index].0 = self.engine(region, self.now.as_micros() + index as u64);
        }
        self.attempts.clear();
        self.requests.clear();
    }

    /// Callers of each region ask `per_second` times a second for `time`, about `objects` objects of theirs, each
    /// as often as the others.
    pub fn run(&mut self, time: Duration, per_second: f64, objects: u64) {
        let end = self.now + time;
        let mut due: Vec<Time> = (0..3).map(|_| self.now).collect();
        while self.now < end {
            let caller = (0..3).min_by_key(|region| due[*region]).unwrap_or(0);
            self.advance(due[caller].min(end));
            if due[caller] >= end {
                break;
            }
            let object = 1_000 * caller as u64 + self.next_object(caller, objects);
            self.ask(caller as u16, object);
            let pause = -(1.0 - self.rng.f64()).ln() / per_second;
            due[caller] = due[caller] + Duration::from_secs_f64(pause);
        }
    }

    fn next_object(&mut self, caller: usize, objects: u64) -> u64 {
        if self.rounds[caller].is_empty() {
            self.rounds[caller] = (0..objects).collect();
            self.rng.shuffle(&mut self.rounds[caller]);
        }
        self.rounds[caller].pop().unwrap_or(0)
    }

    fn ask(&mut self, region: u16, object: u64) {
        let engine = usize::from(region) * 2 + self.rng.usize(0..2);
        self.next += 1;
        self.requests.insert(self.next, Request { engine, object, arrived: self.now });
        self.outcomes.entry((self.now.as_millis() / 1_000, region)).or_default().asked += 1;
        let arrival = Arrival { object: Some(object), ..Arrival::new(self.next, 0, self.next, 100) };
        self.engines[engine].0.submit(arrival, self.now);
        self.settle(engine);
    }

    fn advance(&mut self, to: Time) {
        loop {
            let event = self.events.first().map(|(at, _, _)| *at);
            let wakes = self.engines.iter().enumerate();
            let wake = wakes.filter_map(|(index, (engine, _))| Some((engine.next_wakeup()?, index))).min();
            match (event, wake) {
                (Some(at), wake) if at <= to && wake.is_none_or(|(wake, _)| at <= wake) => {
                    self.now = self.now.max(at);
                    let Some((_, _, event)) = self.events.pop_first() else { return };
                    self.handle(event);
                }
                (_, Some((at, index))) if at <= to => {
                    self.now = self.now.max(at);
                    self.engines[index].0.tick(self.now);
                    self.settle(index);
                }
                _ => break,
            }
        }
        self.now = self.now.max(to);
    }

    fn plan(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next, event));
    }

    fn way(&self, engine: usize, server: BackendId) -> Duration {
        if self.servers[&server].region == self.engines[engine].1 { Duration::from_millis(1) } else { FAR }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Reach { server, engine, attempt, object } => self.reach(server, engine, attempt, object),
            Event::Done { server, attempt } => self.done(server, attempt),
            Event::Lost { engine, attempt } => self.lose(engine, attempt),
            Event::Pause { server, engine, attempt, pause } => {
                self.told.insert((engine, server), self.now);
                self.engines[engine].0.record_pause(server, pause, self.now);
                self.engines[engine].0.finish(attempt, Ending::Shed, self.now);
                self.settle(engine);
            }
            Event::Answer { server, engine, attempt, shed, load } => {
                let report = Report { load, draining: false, pace: Some(1.0), at: self.now };
                let engine_state = &mut self.engines[engine].0;
                engine_state.record_report(server, report);
                engine_state.finish(attempt, if shed { Ending::Shed } else { Ending::Answered(1_000) }, self.now);
                self.settle(engine);
            }
        }
    }

    fn lose(&mut self, engine: usize, attempt: u64) {
        self.engines[engine].0.finish(attempt, Ending::Lost, self.now);
        self.settle(engine);
    }

    fn reach(&mut self, id: BackendId, engine: usize, attempt: u64, object: u64) {
        if let Some(until) = self.paused.get(&id).copied().filter(|until| self.now < *until) {
            let told = self.told.get(&(engine, id));
            self.unwanted += u32::from(told.is_some_and(|told| self.now.since(*told) > GRACE));
            let (at, pause) = (self.now + self.way(engine, id), until.since(self.now));
            return self.plan(at, Event::Pause { server: id, engine, attempt, pause });
        }
        let server = &self.servers[&id];
        let fullest = self.fullest.entry(self.now.as_millis() / 1_000).or_default();
        *fullest = (*fullest).max(server.running.len() + server.waiting.len());
        if server.running.len() >= 3 && server.waiting.len() >= QUEUE {
            let load = (server.running.len() + server.waiting.len()) as u32;
            let at = self.now + self.way(engine, id);
            return self.plan(at, Event::Answer { server: id, engine, attempt, shed: true, load });
        }
        self.next += 1;
        let number = self.next;
        if server.running.len() >= 3 {
            let server = self.servers.get_mut(&id).expect("it is known");
            return server.waiting.push_back((number, engine, attempt, object));
        }
        self.begin(id, (number, engine, attempt, object));
    }

    fn begin(&mut self, id: BackendId, (number, engine, attempt, object): (u64, usize, u64, u64)) {
        let caller = self.engines[engine].1;
        let server = self.servers.get_mut(&id).expect("it is known");
        let warm = server.warm.contains(&object);
        server.warm.retain(|known| *known != object);
        server.warm.push_back(object);
        if server.warm.len() > REMEMBERED {
            server.warm.pop_front();
        }
        server.running.insert(number, (engine, attempt));
        let region = server.region;
        *self.ran.entry((self.now.as_millis() / 1_000, caller)).or_default().entry(region).or_default() += 1;
        let work = if warm { WORK.mul_f64(0.3) } else { WORK };
        let spread = work.mul_f64(0.85 + 0.3 * self.rng.f64());
        let at = self.now + spread;
        self.plan(at, Event::Done { server: id, attempt: number });
    }

    fn done(&mut self, id: BackendId, number: u64) {
        let server = self.servers.get_mut(&id).expect("it is known");
        let load = (server.running.len() + server.waiting.len()) as u32;
        let Some((engine, attempt)) = server.running.remove(&number) else { return };
        let next = server.waiting.pop_front();
        let at = self.now + self.way(engine, id);
        let lost = self.losing > 0.0 && id.is_multiple_of(2) && self.rng.f64() < self.losing;
        let answer = Event::Answer { server: id, engine, attempt, shed: false, load };
        self.plan(at, if lost { Event::Lost { engine, attempt } } else { answer });
        if let Some(next) = next {
            self.begin(id, next);
        }
    }

    fn settle(&mut self, engine: usize) {
        for action in self.engines[engine].0.take_actions() {
            match action {
                Action::Start { request, attempt, backend, .. } => {
                    self.attempts.insert((engine, attempt), (request, backend));
                    let Some(object) = self.requests.get(&request).map(|request| request.object) else { continue };
                    let at = self.now + self.way(engine, backend);
                    self.plan(at, Event::Reach { server: backend, engine, attempt, object });
                }
                Action::Cancel { attempt, backend } => self.cancel(engine, attempt, backend),
                Action::Answer { request, verdict, retry_after: after } => self.answer(request, verdict, after),
            }
        }
    }

    /// The attempt's connection is closed: its server drops the work.
    fn cancel(&mut self, engine: usize, attempt: u64, id: BackendId) {
        let server = self.servers.get_mut(&id).expect("it is known");
        server.waiting.retain(|(_, of, number, _)| (*of, *number) != (engine, attempt));
        let running = server.running.iter().find(|(_, known)| **known == (engine, attempt)).map(|(number, _)| *number);
        if let Some(number) = running {
            server.running.remove(&number);
            if let Some(next) = server.waiting.pop_front() {
                self.begin(id, next);
            }
        }
        self.engines[engine].0.finish(attempt, Ending::Cancelled, self.now);
    }

    fn answer(&mut self, request: u64, verdict: Verdict, after: Option<Duration>) {
        let Some(known) = self.requests.remove(&request) else { return };
        let region = self.engines[known.engine].1;
        let good = self.now.since(known.arrived) <= self.target;
        let outcome = self.outcomes.entry((known.arrived.as_millis() / 1_000, region)).or_default();
        match verdict {
            Verdict::Relay(_) => {
                outcome.answered += 1;
                outcome.good += u32::from(good);
            }
            Verdict::Refuse(_) => {
                outcome.refused += 1;
                self.refused_after = self.refused_after.max(self.now.since(known.arrived));
                self.returns.extend(after.map(|after| self.now + after));
            }
        }
    }

    /// What all callers came to who asked from second `from` to second `to`.
    pub fn outcome(&self, from: u64, to: u64) -> Outcome {
        let inside = self.outcomes.iter().filter(|((second, _), _)| (from..to).contains(second));
        inside.fold(Outcome::default(), |sum, (_, one)| Outcome {
            asked: sum.asked + one.asked,
            good: sum.good + one.good,
            answered: sum.answered + one.answered,
            refused: sum.refused + one.refused,
        })
    }

    /// The part of the requests of `caller`'s region that ran in `region` in two seconds from `second` on.
    pub fn part(&self, second: u64, caller: u16, region: u16) -> f64 {
        let ran = (second..second + 2).filter_map(|second| self.ran.get(&(second, caller)));
        let (mut inside, mut all) = (0, 0);
        for counts in ran {
            inside += counts.get(&region).copied().unwrap_or(0);
            all += counts.values().sum::<u32>();
        }
        f64::from(inside) / f64::from(all.max(1))
    }
}
