//! Estimates of latency that are out of date: work that they keep from servers must not be kept from them for good.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use base::error::Kind;
use base::time::Time;
use common::{LIMITS, LOOKUP, ORDER, World, backend, classes, refused};
use dispatch::backend::{Place, Spec};
use dispatch::engine::Arrival;
use dispatch::{Ending, Engine, Verdict, class};
use rstest::rstest;

const USUAL: Duration = Duration::from_millis(500);
const SLOW: Duration = Duration::from_secs(4);
/// Deadline of the class before the operators shorten it.
const LONG: Duration = Duration::from_secs(6);
const SHORT: Duration = Duration::from_millis(1_500);
const STEP: Duration = Duration::from_millis(10);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(160);

/// Requests that were sent to a server, answered and refused at once.
#[derive(Debug, Default)]
struct Counts {
    requests: u32,
    sent: u32,
    answered: u32,
    refused: u32,
}

/// An engine with two servers, whose requests have `class`.
struct Service {
    world: World,
    class: usize,
    /// Time of work at the servers.
    work: Duration,
}

impl Service {
    fn new(class: usize) -> Self {
        let world = World::new(vec![backend(1, Place::Domain), backend(2, Place::Domain)], 7);
        let mut service = Self { world, class, work: USUAL };
        service.set_deadline(LONG);
        service
    }

    fn set_deadline(&mut self, deadline: Duration) {
        let mut specs = classes();
        specs[self.class].deadline = deadline;
        specs[self.class].target = Duration::from_millis(800);
        self.world.engine.set_classes(specs);
    }

    /// Sends requests for `time`; each `long_every`-th one has the time of the class, the others `timeout`.
    fn run(&mut self, time: Duration, timeout: Duration, long_every: u32) -> Counts {
        let mut requests: BTreeMap<u64, bool> = BTreeMap::new();
        let (end, mut next) = (self.world.now + time, self.world.now);
        while self.world.now < end + LONG {
            if self.world.now >= next && self.world.now < end {
                let is_long = (requests.len() as u32 + 1).is_multiple_of(long_every);
                let limit = if is_long { LONG } else { timeout };
                requests.insert(self.world.send_within(self.class, limit), is_long);
                next = next + INTERVAL;
            }
            self.world.pass(STEP);
            self.end_attempts();
        }
        let short = requests.iter().filter(|(_, is_long)| !**is_long).map(|(request, _)| *request);
        short.fold(Counts::default(), |counts, request| {
            let sent = !self.world.traces[&request].attempts.is_empty();
            let answered = matches!(self.world.answer(request), Some(Verdict::Relay(_)));
            let refused = refused(&self.world, request) == Some(Kind::WontFinish);
            Counts {
                requests: counts.requests + 1,
                sent: counts.sent + u32::from(sent),
                answered: counts.answered + u32::from(answered),
                refused: counts.refused + u32::from(refused),
            }
        })
    }

    fn end_attempts(&mut self) {
        let live = self.world.live.clone();
        for (attempt, live) in live {
            if live.cancelled {
                self.world.end(attempt, Ending::Cancelled);
            } else if self.world.now.since(live.started) >= self.work {
                self.world.end(attempt, Ending::Answered(100));
            }
        }
    }
}

/// Guards against a class that is refused for good: its servers were slow, its time is below half of what they took then, and
/// no answer corrects the estimate any more.
#[rstest]
#[case::lookup(LOOKUP)]
#[case::order(ORDER)]
fn a_class_whose_servers_were_slow_is_served_again(#[case] class: usize) {
    let mut service = Service::new(class);
    service.work = SLOW;
    service.run(Duration::from_secs(9), LONG, u32::MAX);
    service.work = USUAL;
    service.set_deadline(SHORT);
    service.run(Duration::from_secs(3), SHORT, u32::MAX);
    let counts = service.run(Duration::from_secs(20), SHORT, u32::MAX);
    assert!(counts.answered * 10 >= counts.requests * 9, "{counts:?}");
}

/// Guards against callers that are refused for long since the few answers that correct the estimate go to callers with more time.
#[test]
fn callers_with_little_time_are_served_again_although_others_have_more() {
    let mut service = Service::new(LOOKUP);
    service.work = SLOW;
    service.run(Duration::from_secs(30), LONG, u32::MAX);
    service.work = USUAL;
    service.run(Duration::from_secs(3), SHORT, 10);
    let counts = service.run(Duration::from_secs(10), SHORT, 10);
    assert!(counts.answered * 10 >= counts.requests * 9, "{counts:?}");
}

/// Guards against requests that are known to be too late and are sent all the same, but for a trial now and then.
#[rstest]
#[case::lookup(LOOKUP)]
#[case::order(ORDER)]
fn while_servers_stay_slow_requests_without_the_time_are_refused_at_once(#[case] class: usize) {
    let mut service = Service::new(class);
    service.work = SLOW;
    service.run(Duration::from_secs(9), LONG, u32::MAX);
    service.set_deadline(SHORT);
    let counts = service.run(Duration::from_secs(30), SHORT, u32::MAX);
    assert!(counts.sent > 0 && counts.sent <= 15 + 1, "{counts:?}");
    assert!(counts.refused + counts.sent == counts.requests, "{counts:?}");
    assert_eq!(counts.answered, 0);
}

/// Guards against trials while answers keep telling that the estimate is right.
#[test]
fn while_answers_agree_with_the_estimate_there_is_no_trial() {
    let mut service = Service::new(LOOKUP);
    service.work = SLOW;
    service.run(Duration::from_secs(30), LONG, u32::MAX);
    let counts = service.run(Duration::from_secs(30), SHORT, 5);
    // Until the first answers arrive.
    let most = (SLOW.as_secs() / 2 + 1) as u32;
    assert!(counts.sent <= most, "{counts:?}");
}

/// Guards against servers with one slot that get no request about an object any more once work took longer than the target.
#[test]
fn a_server_with_one_slot_gets_late_requests_while_it_is_idle() {
    let target = Duration::from_millis(800);
    let spec = class::Spec { affinity: true, target, ..class::Spec::new(0, LONG) };
    let mut engine = Engine::new(vec![spec], LIMITS, 7);
    let start = Time::from_millis(1_000);
    engine.set_backends(vec![Spec { slots: 1, ..backend(1, Place::Domain) }], start);
    let mut answered = 0;
    for request in 1..=60 {
        let sent = start + LONG * request;
        let (work, in_calm) = if request <= 20 { (SLOW, false) } else { (USUAL, true) };
        engine.submit(Arrival { object: Some(1), ..Arrival::new(u64::from(request), 0, u64::from(request), 10) }, sent);
        for (attempt, _) in common::started(&mut engine) {
            engine.finish(attempt, Ending::Answered(10), sent + work);
            answered += u32::from(in_calm);
        }
        engine.tick(sent + LONG - STEP);
        engine.take_actions();
    }
    assert_eq!(answered, 40, "all requests in calm are served");
}
