//! Which failures are held against a server.

mod common;

use std::time::Duration;

use base::time::Time;
use common::{LIMITS, LOOKUP, World, backend, classes, refused, started};
use dispatch::backend::{BackendId, Place};
use dispatch::engine::Arrival;
use dispatch::{Ending, Engine, class};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

fn suspects(world: &World) -> Vec<BackendId> {
    world.engine.backends().filter(|server| server.suspect()).map(|server| server.spec.id).collect()
}

/// Passes time and answers attempts that have run long enough: a millisecond at server 1, 20 at the others.
fn run(world: &mut World, time: Duration) {
    let end = world.now + time;
    while world.now < end {
        let done = world.live.iter().filter(|(_, live)| {
            let takes = if live.backend == 1 { MS } else { MS * 20 };
            world.now.since(live.started) >= takes
        });
        let done: Vec<u64> = done.map(|(attempt, _)| *attempt).collect();
        done.into_iter().for_each(|attempt| world.end(attempt, Ending::Answered(10)));
        world.pass(MS);
    }
}

/// Load: two servers, one of them much faster, which is removed while the other one is ejected for late answers.
/// Requests must not be refused then.
#[test]
fn the_last_server_serves_also_when_its_answers_were_late() {
    let mut world = World::new(vec![backend(1, Place::Domain), backend(2, Place::Domain)], 7);
    for _ in 0..200 {
        world.send(LOOKUP);
        run(&mut world, MS * 2);
    }
    let mut rounds = 0;
    while !suspects(&world).contains(&2) && rounds < 2_000 {
        rounds += 1;
        world.send(LOOKUP);
        run(&mut world, MS * 2);
    }
    assert_eq!(suspects(&world), [2], "the slower one is ejected while there is another");
    run(&mut world, MS * 50);
    world.engine.set_backends(vec![backend(2, Place::Domain)], world.now);
    world.pass(Duration::ZERO);
    let mut requests = Vec::new();
    for _ in 0..100 {
        requests.push(world.send(LOOKUP));
        run(&mut world, MS * 30);
    }
    run(&mut world, MS * 100);
    let lost = requests.iter().filter(|request| refused(&world, **request).is_some()).count();
    assert_eq!(lost, 0, "{lost} of 100 were refused by a service with a sound server");
}

/// Load: requests reach a server when their callers have hardly any time left. Their timeouts must not eject servers
/// that work normally.
#[test]
fn an_attempt_with_little_time_left_is_not_held_against_its_server() {
    let mut engine = Engine::new(classes(), LIMITS, 7);
    let mut now = Time::from_millis(1_000);
    engine.set_backends((1..=3).map(|id| backend(id, Place::Domain)).collect(), now);
    for request in 1..200 {
        let timeout = if request < 50 { None } else { Some(MS * 30) };
        engine.submit(Arrival { timeout, ..Arrival::new(request, LOOKUP, request, 10) }, now);
        let attempts: Vec<u64> = started(&mut engine).into_iter().map(|(attempt, _)| attempt).collect();
        // Typical latency is 40 ms.
        now = now + timeout.unwrap_or(MS * 40);
        let ending = if timeout.is_some() { Ending::Timeout } else { Ending::Answered(10) };
        attempts.into_iter().for_each(|attempt| engine.finish(attempt, ending, now));
        now = now + MS;
        engine.tick(now);
    }
    assert_eq!(engine.backends().filter(|server| server.suspect()).count(), 0);
}

/// Load: many requests are in flight while the process is stopped for five seconds. All of them are late then, but not
/// because of their servers.
#[rstest]
#[case::plain(false)]
#[case::keyed(true)]
fn servers_are_not_ejected_for_a_stall_of_the_process(#[case] affinity: bool) {
    let specs = classes().into_iter().map(|spec| class::Spec { affinity, ..spec }).collect();
    let mut engine = Engine::new(specs, LIMITS, 7);
    let begun = Time::from_millis(1_000);
    engine.set_backends((1..=4).map(|id| backend(id, Place::Domain)).collect(), begun);
    for request in 1..=12 {
        let object = affinity.then_some(request);
        engine.submit(Arrival { object, ..Arrival::new(request, LOOKUP, request, 10) }, begun);
    }
    let running = started(&mut engine);
    assert!(running.len() >= 4);
    let stall = Duration::from_secs(5);
    let resumed = begun + stall;
    engine.suspend(stall, resumed + MS * 300);
    engine.tick(resumed);
    for (attempt, _) in running {
        engine.finish(attempt, Ending::Timeout, resumed + MS);
    }
    assert_eq!(engine.backends().filter(|server| server.suspect()).count(), 0);
}

/// Guards against sound servers that are ejected for delays of scheduling: answers usually take 100 microseconds, and now and
/// then a few milliseconds at all servers.
#[test]
fn servers_are_not_ejected_for_a_few_milliseconds() {
    let mut world = World::new((1..=6).map(|id| backend(id, Place::Domain)).collect(), 7);
    for round in 0..200 {
        world.send(LOOKUP);
        world.pass(if round % 20 < 18 { MS / 10 } else { MS * 8 });
        let done: Vec<u64> = world.live.keys().copied().collect();
        done.into_iter().for_each(|attempt| world.end(attempt, Ending::Answered(10)));
    }
    assert_eq!(suspects(&world), [], "these servers answer all requests");
}
