//! Reactions of the engine to single faults and limits.

mod common;

use std::time::Duration;

use base::error::{Kind, Outcome};
use base::time::Time;
use common::{BULK, LOOKUP, ORDER, World, backend, refused};
use dispatch::backend::{Backend, Place};
use dispatch::engine::Remote;
use dispatch::{Ending, Verdict, subset};
use rstest::rstest;

fn world(servers: u32) -> World {
    World::new((1..=servers).map(|id| backend(id, Place::Domain)).collect(), 7)
}

fn only_attempt(world: &World, request: u64) -> u64 {
    let attempts = world.attempts_of(request);
    assert_eq!(attempts.len(), 1, "request {request} runs once");
    attempts[0]
}

#[rstest]
#[case::shed(Ending::Shed, true)]
#[case::unreachable(Ending::Unreachable, true)]
#[case::lost(Ending::Lost, false)]
#[case::timeout(Ending::Timeout, false)]
#[case::cut(Ending::Cut, false)]
fn an_order_is_sent_again_only_if_it_did_not_run(#[case] ending: Ending, #[case] again: bool) {
    let mut world = world(3);
    let order = world.send(ORDER);
    let first = only_attempt(&world, order);
    world.end(first, ending);
    world.pass(Duration::from_millis(100));
    assert_eq!(!world.attempts_of(order).is_empty(), again);
    assert_eq!(refused(&world, order).is_some(), !again, "an order that is not retried is answered at once");
}

#[rstest]
#[case::lost(Ending::Lost)]
#[case::timeout(Ending::Timeout)]
#[case::cut(Ending::Cut)]
#[case::shed(Ending::Shed)]
fn a_lookup_is_sent_again_elsewhere(#[case] ending: Ending) {
    let mut world = world(3);
    let lookup = world.send(LOOKUP);
    let first = only_attempt(&world, lookup);
    let server = world.live[&first].backend;
    world.end(first, ending);
    world.pass(Duration::from_millis(10));
    let second = only_attempt(&world, lookup);
    assert!(ending == Ending::Shed || world.live[&second].backend != server);
    world.end(second, Ending::Answered(10));
    assert_eq!(world.answer(lookup), Some(Verdict::Relay(second)));
}

#[test]
fn a_request_given_up_on_is_answered_at_once() {
    let mut world = world(1);
    let lookup = world.send(LOOKUP);
    world.end(only_attempt(&world, lookup), Ending::Lost);
    assert!(refused(&world, lookup).is_some(), "no other server can ever run it");
    let started = world.now;
    assert_eq!(started, world.now, "no time passed");
}

#[rstest]
#[case::none_known(0, Kind::NoBackend)]
#[case::none_granted(1, Kind::LinkFull)]
fn without_a_usable_server_the_answer_comes_at_once(#[case] remote: u32, #[case] kind: Kind) {
    let mut world = World::new((1..=remote).map(|id| backend(id, Place::Remote(1))).collect(), 7);
    let lookup = world.send(LOOKUP);
    assert_eq!(refused(&world, lookup), Some(kind));
}

#[test]
fn a_request_that_crashes_servers_is_refused_after_two_losses() {
    let mut world = world(6);
    let first = world.send_as(LOOKUP, 99);
    world.end(only_attempt(&world, first), Ending::Lost);
    world.end(only_attempt(&world, first), Ending::Lost);
    assert_eq!(
        refused(&world, first),
        Some(Kind::BackendLost),
        "it may have run, so the answer must not say `not run`"
    );
    let again = world.send_as(LOOKUP, 99);
    assert_eq!(refused(&world, again), Some(Kind::Poisoned));
    let other = world.send_as(LOOKUP, 98);
    assert_eq!(refused(&world, other), None, "other requests are not refused");
}

#[test]
fn losses_at_two_entry_instances_add_up() {
    let (mut here, mut there) = (world(3), World::new((1..=3).map(|id| backend(id, Place::Domain)).collect(), 8));
    for world in [&mut here, &mut there] {
        let order = world.send_as(ORDER, 99);
        world.end(only_attempt(world, order), Ending::Lost);
    }
    let losses = there.engine.take_losses();
    let now = here.now;
    here.engine.merge_losses(&losses, now);
    here.engine.merge_losses(&losses, now);
    let again = here.send_as(ORDER, 99);
    assert_eq!(refused(&here, again), Some(Kind::Poisoned));
}

#[test]
fn losses_of_a_healthy_request_are_forgotten() {
    let mut world = world(6);
    for _ in 0..5 {
        let lookup = world.send_as(LOOKUP, 99);
        world.end(only_attempt(&world, lookup), Ending::Lost);
        world.end(only_attempt(&world, lookup), Ending::Answered(1));
        assert_eq!(refused(&world, lookup), None);
        world.pass(Duration::from_mins(1));
    }
}

#[test]
fn a_leaving_server_gets_no_new_work() {
    let mut world = world(2);
    world.report(1, 0, true);
    for _ in 0..3 {
        world.send(LOOKUP);
    }
    assert!(world.live.values().all(|live| live.backend == 2));
}

#[test]
fn bulk_leaves_slots_for_lookups() {
    let mut world = world(4);
    // Let the servers get all their slots.
    for _ in 0..40 {
        let lookup = world.send(LOOKUP);
        world.end(only_attempt(&world, lookup), Ending::Answered(10));
    }
    for _ in 0..20 {
        world.send(BULK);
    }
    assert_eq!(world.live.len(), 4, "one for each server");
    for _ in 0..8 {
        let lookup = world.send(LOOKUP);
        assert!(!world.attempts_of(lookup).is_empty(), "a lookup never waits behind bulk");
    }
}

#[test]
fn a_full_queue_drops_the_lowest_priority_first() {
    let mut world = world(0);
    let specs = vec![dispatch::backend::Spec { slots: 1, ..backend(1, Place::Domain) }];
    let now = world.now;
    world.engine.set_backends(specs, now);
    world.pass(Duration::ZERO);
    let running = world.send(ORDER);
    let bulk: Vec<u64> = (0..common::LIMITS.max_queued).map(|_| world.send(BULK)).collect();
    let order = world.send(ORDER);
    assert_eq!(refused(&world, order), None);
    assert_eq!(refused(&world, *bulk.last().expect("bulk was sent")), Some(Kind::QueueFull));
    assert!(!world.attempts_of(running).is_empty());
}

#[test]
fn hedges_stay_within_their_budget() {
    let mut world = world(12);
    let mut hedged = 0;
    let requests = 2_000;
    for _ in 0..requests {
        let lookup = world.send(LOOKUP);
        // Every request is late, so each one could be hedged.
        world.pass(Duration::from_millis(300));
        let attempts = world.attempts_of(lookup);
        hedged += attempts.len().saturating_sub(1);
        for attempt in attempts {
            let ending = if world.live[&attempt].cancelled { Ending::Cancelled } else { Ending::Answered(10) };
            world.end(attempt, ending);
        }
    }
    assert!(hedged > 0, "some requests are hedged");
    assert!(hedged * 100 < requests * 5, "{hedged} hedges for {requests} requests");
}

#[test]
fn a_slow_server_is_ejected_and_most_stay() {
    let mut world = world(6);
    let slow = |id: u32| id <= 4;
    let mut recent = Vec::new();
    for round in 0..400 {
        let lookup = world.send(LOOKUP);
        let Some(attempt) = world.attempts_of(lookup).first().copied() else {
            continue;
        };
        let server = world.live[&attempt].backend;
        world.pass(Duration::from_millis(if slow(server) { 400 } else { 20 }));
        for attempt in world.attempts_of(lookup) {
            world.end(attempt, Ending::Answered(10));
        }
        if round >= 200 {
            recent.push(slow(server));
        }
    }
    let ejected = world.engine.backends().filter(|server| server.suspect()).count();
    assert!(ejected <= 3, "at most half are ejected for late answers, not {ejected}");
    let share = recent.iter().filter(|slow| **slow).count() as f64 / recent.len() as f64;
    assert!(share < 0.25, "{share} of requests still meet a slow server");
}

#[test]
fn the_deadline_answers_and_cancels() {
    let mut world = world(1);
    let lookup = world.send(LOOKUP);
    let attempt = only_attempt(&world, lookup);
    world.pass(Duration::from_secs(2));
    assert_eq!(refused(&world, lookup), Some(Kind::BackendTimeout));
    assert!(world.live[&attempt].cancelled);
    world.end(attempt, Ending::Cancelled);
    assert_eq!(world.engine.in_flight(), 0);
}

#[test]
fn a_stopping_engine_finishes_open_requests() {
    let mut world = world(2);
    let before = world.send(ORDER);
    world.engine.stop();
    let after = world.send(ORDER);
    assert_eq!(refused(&world, after), Some(Kind::Leaving));
    let attempt = only_attempt(&world, before);
    world.end(attempt, Ending::Answered(1));
    assert_eq!(world.answer(before), Some(Verdict::Relay(attempt)));
}

#[rstest]
#[case(7, 28)]
#[case(167, 5_000)]
fn each_backend_has_one_host_and_few_users(#[case] daemons: u64, #[case] backends: u64) {
    let names: Vec<u64> = (0..daemons).map(|daemon| base::hash::combine(daemon, 1)).collect();
    let ids: Vec<u64> = (0..backends).map(|backend| base::hash::combine(backend, 2)).collect();
    let mut hosts = vec![0; ids.len()];
    for daemon in &names {
        for (index, hosted) in subset::hosts(*daemon, &names, &ids).into_iter().enumerate() {
            hosts[index] += u32::from(hosted);
        }
    }
    assert!(hosts.iter().all(|count| *count == 1));
    let users = names.iter().filter(|daemon| subset::uses(**daemon, &names, ids[0], 64)).count();
    assert_eq!(users, names.len().min(64));
}

#[test]
fn bytes_over_a_link_stay_within_the_share() {
    const RATE: f64 = 1_000_000.0;
    const ANSWER: u64 = 20_000;
    let mut world = World::new((1..=4).map(|id| backend(id, Place::Remote(1))).collect(), 7);
    world.set_remote(8, RATE);
    let start = world.now;
    let mut bytes = 0;
    for round in 0..2_000 {
        world.send(LOOKUP);
        world.pass(Duration::from_millis(5));
        let due: Vec<u64> = world.live.keys().copied().collect();
        for attempt in due {
            world.end(attempt, Ending::Answered(ANSWER));
            bytes += ANSWER;
        }
        let allowed = RATE * (world.now.since(start).as_secs_f64() + 0.1) + ANSWER as f64;
        assert!(bytes as f64 <= allowed, "round {round}: {bytes} bytes, {allowed} allowed");
    }
    assert!(bytes as f64 > RATE, "the link is used");
}

/// Load: a daemon starts while its region is short of servers, before any answer size is known. Large answers that are
/// estimated as small would exceed the link's share.
#[test]
fn first_answers_that_are_large_stay_within_the_share() {
    const RATE: f64 = 10_000_000.0;
    const ANSWER: u64 = 8 << 20;
    let mut world = World::new((1..=8).map(|id| backend(id, Place::Remote(1))).collect(), 7);
    world.set_remote(8, RATE);
    for _ in 0..8 {
        world.send(LOOKUP);
    }
    let together = world.live.len() as u64 * ANSWER;
    assert!(together as f64 <= RATE, "{together} bytes may pass in one second, {RATE} are allowed");
}

/// The server cancelled the work by itself after it had begun; this daemon did not.
#[rstest]
#[case::an_order(ORDER, false)]
#[case::a_lookup(LOOKUP, true)]
fn work_that_a_server_gave_up_may_have_run(#[case] class: usize, #[case] again: bool) {
    let mut world = world(2);
    let request = world.send(class);
    world.end(only_attempt(&world, request), Ending::Cancelled);
    assert_eq!(world.live.len(), usize::from(again), "only what may run twice is sent again");
    world.live.clear();
    world.pass(Duration::from_mins(2));
    let answers = &world.traces[&request].answers;
    let Some(Verdict::Refuse(kind)) = answers.first() else { panic!("no refusal: {answers:?}") };
    assert_eq!(kind.answer().outcome, Outcome::Unknown, "{kind:?}");
}

/// Load: daemons start where objects have homes in two regions. If first answers were held back, the far share of the
/// work would move to the other region all at once a moment later.
#[test]
fn first_answers_over_a_link_without_a_cap_are_not_held_back() {
    let mut world = World::new((1..=8).map(|id| backend(id, Place::Remote(1))).collect(), 7);
    world.set_remote(Remote::UNLIMITED.max_in_flight, Remote::UNLIMITED.bytes_per_second);
    for _ in 0..8 {
        world.send(LOOKUP);
    }
    assert_eq!(world.live.len(), 8);
}

#[rstest]
#[case::lost_once(Ending::Lost, 1, false)]
#[case::lost_twice(Ending::Lost, 2, true)]
#[case::cut_once(Ending::Cut, 1, false)]
#[case::unreachable(Ending::Unreachable, 1, true)]
fn a_server_is_ejected_when_it_is_down_not_when_one_answer_is_lost(
    #[case] ending: Ending,
    #[case] times: u32,
    #[case] ejected: bool,
) {
    let mut world = world(1);
    for _ in 0..times {
        let lookup = world.send(LOOKUP);
        world.end(only_attempt(&world, lookup), ending);
    }
    let server = world.engine.backends().next().expect("there is one");
    assert_eq!(server.suspect(), ejected);
}

/// Load: more than a server can answer in time, so all its answers are late. Moving its objects to other servers would
/// only add work.
#[rstest]
#[case::late_objects(true, true, 20, false)]
#[case::silent_objects(true, false, 6, true)]
#[case::silent_less_often(true, false, 5, false)]
#[case::late_without_objects(false, true, 2, true)]
fn a_server_that_answers_late_keeps_its_objects(
    #[case] keyed: bool,
    #[case] answers: bool,
    #[case] times: u32,
    #[case] ejected: bool,
) {
    let now = Time::from_millis(1_000);
    let mut server = Backend::new(backend(1, Place::Domain), now);
    for _ in 0..times {
        server.record_start(false, now);
        server.record_late(true, keyed, now);
        if answers {
            server.record_end(false, true, now);
            server.record_answer(3.0, true, keyed, now);
        }
    }
    assert_eq!(server.suspect(), ejected);
}

/// Load: many callers send the same request, and servers crash meanwhile for other reasons. The request must not be
/// refused as their cause.
#[test]
fn a_request_that_was_answered_recently_is_not_quarantined() {
    let mut world = world(6);
    let answered = world.send_as(LOOKUP, 99);
    world.end(only_attempt(&world, answered), Ending::Answered(10));
    for _ in 0..2 {
        let lost = world.send_as(LOOKUP, 99);
        world.end(world.attempts_of(lost)[0], Ending::Lost);
    }
    world.engine.merge_losses(&[(99, 1), (99, 2)], world.now);
    let next = world.send_as(LOOKUP, 99);
    assert_ne!(refused(&world, next), Some(Kind::Poisoned));
}

/// At the end of a stop, each open request gets an error that is true: only what was never sent did not run.
#[test]
fn requests_that_are_given_up_are_told_whether_they_may_have_run() {
    let mut world = world(1);
    let sent: Vec<u64> = (0..20).map(|_| world.send(ORDER)).collect();
    let (running, waiting): (Vec<u64>, Vec<u64>) =
        sent.into_iter().partition(|request| !world.attempts_of(*request).is_empty());
    assert!(!running.is_empty() && !waiting.is_empty());
    world.engine.give_up_all(world.now);
    world.apply_actions();
    assert!(running.iter().all(|request| refused(&world, *request) == Some(Kind::BackendTimeout)));
    assert!(waiting.iter().all(|request| refused(&world, *request) == Some(Kind::Leaving)));
    assert_eq!(world.engine.queued(), 0);
}
