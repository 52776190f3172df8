//! Servers that say that they leave, or want nothing for a while.

mod common;

use std::time::Duration;

use base::error::Kind;
use base::time::Time;
use common::cluster::Cluster;
use common::{LOOKUP, ORDER, World, backend, refused};
use dispatch::announcements::Announcements;
use dispatch::backend::{BackendId, Place};
use dispatch::engine::Arrival;
use dispatch::{Action, Ending, Engine, Verdict, class};
use rstest::rstest;

const HOUR: Duration = Duration::from_hours(1);
const SECOND: Duration = Duration::from_secs(1);

fn world(servers: u32) -> World {
    World::new((1..=servers).map(|id| backend(id, Place::Domain)).collect(), 7)
}

/// Where 30 requests go, one after the other.
fn asked(world: &mut World, class: usize) -> Vec<BackendId> {
    let mut asked = Vec::new();
    for _ in 0..30 {
        let request = world.send(class);
        for attempt in world.attempts_of(request) {
            asked.push(world.live[&attempt].backend);
            world.end(attempt, Ending::Answered(10));
        }
        world.pass(Duration::from_millis(5));
    }
    asked
}

#[rstest]
#[case(LOOKUP)]
#[case(ORDER)]
fn a_server_that_says_it_leaves_gets_nothing_whatever_the_list_says(#[case] class: usize) {
    let mut world = world(3);
    let until = world.now + HOUR;
    assert!(world.engine.record_leaving(2, until, world.now), "it is news");
    assert!(!world.engine.record_leaving(2, until, world.now), "it is no news again");
    assert!(!asked(&mut world, class).contains(&2));
    let listed = || (1..=3).map(|id| backend(id, Place::Domain)).collect::<Vec<_>>();
    world.engine.set_backends(listed(), world.now);
    assert!(!asked(&mut world, class).contains(&2), "the list names it as live");
    world.engine.set_backends(vec![backend(1, Place::Domain)], world.now);
    world.engine.set_backends(listed(), world.now);
    assert!(!asked(&mut world, class).contains(&2), "the list lost it for a moment");
    let mut renewed = listed();
    renewed[1].id = 12;
    world.engine.set_backends(renewed, world.now);
    assert!(asked(&mut world, class).contains(&12), "its successor is another server");
}

#[test]
fn a_word_that_comes_before_the_list_counts() {
    let mut world = world(1);
    assert!(world.engine.record_leaving(9, world.now + HOUR, world.now));
    world.engine.set_backends(vec![backend(1, Place::Domain), backend(9, Place::Domain)], world.now);
    assert!(!asked(&mut world, LOOKUP).contains(&9));
    assert_eq!(world.engine.leaving_backends(world.now).collect::<Vec<_>>(), [9]);
}

/// Load: requests wait for the home of their object, which says that it leaves.
#[test]
fn what_waits_for_a_leaving_server_goes_elsewhere() {
    let classes: Vec<class::Spec> =
        common::classes().into_iter().map(|spec| class::Spec { affinity: true, ..spec }).collect();
    let mut engine = Engine::new(classes, common::LIMITS, 7);
    let now = Time::from_millis(1_000);
    engine.set_backends((1..=3).map(|id| backend(id, Place::Domain)).collect(), now);
    let mut sent = Vec::new();
    for request in 1..=8 {
        engine.submit(Arrival { object: Some(5), ..Arrival::new(request, LOOKUP, request, 10) }, now);
        sent.extend(starts(&mut engine));
    }
    let home = sent.first().expect("the first is sent at once").1;
    assert!(sent.iter().all(|(_, server)| *server == home), "{sent:?}");
    let waiting = engine.queued();
    assert!(waiting > 0, "the others wait");
    engine.record_leaving(home, now + HOUR, now);
    let moved = starts(&mut engine);
    assert!(!moved.is_empty() && moved.iter().all(|(_, server)| *server != home), "{moved:?}");
}

fn starts(engine: &mut Engine) -> Vec<(u64, BackendId)> {
    let start = |action| match action {
        Action::Start { attempt, backend, .. } => Some((attempt, backend)),
        _ => None,
    };
    engine.take_actions().into_iter().filter_map(start).collect()
}

#[rstest]
#[case(LOOKUP)]
#[case(ORDER)]
fn an_attempt_that_is_called_back_goes_elsewhere_and_costs_no_try(#[case] class: usize) {
    let mut world = world(3);
    let request = world.send(class);
    for _ in 0..8 {
        let attempts = world.attempts_of(request);
        assert_eq!(attempts.len(), 1, "it is on its way again");
        world.end(attempts[0], Ending::Recalled);
        world.pass(Duration::from_millis(5));
    }
    let attempt = world.attempts_of(request)[0];
    world.end(attempt, Ending::Answered(10));
    assert_eq!(world.answer(request), Some(Verdict::Relay(attempt)));
}

#[test]
fn only_what_may_still_be_sent_is_sent() {
    let mut world = world(3);
    assert!(world.engine.may_send(1, world.now) && !world.engine.may_send(4, world.now));
    world.engine.record_leaving(1, world.now + HOUR, world.now);
    world.engine.record_pause(2, SECOND, world.now);
    assert!(!world.engine.may_send(1, world.now) && !world.engine.may_send(2, world.now));
    assert!(world.engine.may_send(2, world.now + SECOND));
}

#[rstest]
#[case::lookup(LOOKUP)]
#[case::order(ORDER)]
fn where_every_server_wants_nothing_the_refusal_comes_at_once_and_tells_when_to_come_back(#[case] class: usize) {
    let mut world = world(3);
    let pause = Duration::from_secs(10);
    (1..=3).for_each(|server| world.engine.record_pause(server, pause, world.now));
    let now = world.now;
    let request = 900;
    world.engine.submit(Arrival::new(request, class, request, 10), now);
    let answer = world.engine.take_actions().into_iter().find_map(|action| match action {
        Action::Answer { verdict, retry_after: after, .. } => Some((verdict, after)),
        _ => None,
    });
    let (verdict, after) = answer.expect("it is refused at once");
    assert_eq!(verdict, Verdict::Refuse(Kind::Paused));
    assert!(after.is_some_and(|after| after >= pause), "{after:?}");
}

#[test]
fn a_pause_that_ends_in_time_is_waited_for() {
    let mut world = world(1);
    world.engine.record_pause(1, Duration::from_millis(200), world.now);
    let request = world.send(LOOKUP);
    assert!(refused(&world, request).is_none() && world.attempts_of(request).is_empty());
    world.pass(Duration::from_millis(250));
    assert_eq!(world.attempts_of(request).len(), 1);
}

#[test]
fn a_server_that_left_the_list_and_came_back_still_wants_nothing() {
    let mut world = world(2);
    world.engine.record_pause(2, Duration::from_secs(10), world.now);
    world.engine.set_backends(vec![backend(1, Place::Domain)], world.now);
    world.engine.set_backends(vec![backend(1, Place::Domain), backend(2, Place::Domain)], world.now);
    assert!(!asked(&mut world, LOOKUP).contains(&2));
}

#[test]
fn words_of_many_servers_take_bounded_room_and_the_latest_stay() {
    let mut announcements = Announcements::new();
    let now = Time::from_millis(1_000);
    (0..20_000)
        .for_each(|server| announcements.record_pause(server, Duration::from_millis(u64::from(server) + 1), now));
    announcements.record_leaving(1, now + HOUR, now);
    announcements.record_pause(20_000, SECOND * 30, now);
    assert!(announcements.get(1).is_leaving(now) && announcements.get(20_000).paused_until() > now);
    assert_eq!(announcements.get(5).paused_until(), Time::default(), "the first to end was forgotten");
}

/// Load: three quarters of what the servers can do; from five seconds on, some of them want nothing for four.
#[rstest]
#[case::one(1, 0.85)]
#[case::a_third(5, 0.6)]
fn a_pause_is_kept_and_the_others_serve(#[case] servers: usize, #[case] least: f64) {
    let mut cluster = Cluster::new(&[4, 6, 6], 3);
    cluster.run(SECOND * 9, 30.0, 40);
    let until = cluster.now + SECOND * 4;
    cluster.paused = cluster.servers().into_iter().step_by(3).take(servers).map(|server| (server, until)).collect();
    cluster.run(SECOND * 14, 30.0, 40);
    assert_eq!(cluster.unwanted, 0, "requests reached servers that wanted nothing");
    let during = cluster.outcome(10, 14);
    let served = f64::from(during.good) / f64::from(during.asked);
    assert!(served >= least, "{served} good while {servers} of 16 want nothing");
    let after = cluster.outcome(17, 23);
    assert!(f64::from(after.good) >= 0.85 * f64::from(after.asked), "{after:?}");
}

/// Load: the same, and all servers of the service want nothing for four seconds. What cannot be served is refused at
/// once, its callers are spread past the end, and the servers are not filled by the first moment after it.
#[rstest]
#[case(1)]
#[case(2)]
fn when_a_whole_service_wants_nothing_its_end_is_no_burst(#[case] seed: u64) {
    let mut cluster = Cluster::new(&[4, 6, 6], seed);
    cluster.run(SECOND * 9, 30.0, 40);
    let until = cluster.now + SECOND * 4;
    cluster.paused = cluster.servers().into_iter().map(|server| (server, until)).collect();
    cluster.run(SECOND, 30.0, 40);
    cluster.refused_after = Duration::ZERO;
    cluster.returns.clear();
    cluster.run(SECOND * 2, 30.0, 40);
    assert_eq!(cluster.unwanted, 0);
    assert!(cluster.refused_after < Duration::from_millis(50), "{:?}", cluster.refused_after);
    assert!(cluster.returns.iter().all(|at| *at >= until), "none is told to come back too early");
    let returns = cluster.returns.len();
    let first = cluster.returns.iter().filter(|at| **at < until + Duration::from_millis(250)).count();
    assert!(first * 3 < returns, "{first} of {returns} come back in the first quarter of a second");
    cluster.run(SECOND * 10, 30.0, 40);
    let end = until.as_millis() / 1_000;
    let fullest = (end..end + 2).filter_map(|second| cluster.fullest.get(&second)).max();
    assert!(fullest.is_some_and(|most| *most <= 6), "{fullest:?} requests at one server of three slots");
    let after = cluster.outcome(end + 3, end + 8);
    assert!(f64::from(after.good) >= 0.85 * f64::from(after.asked), "{after:?}");
}

/// Load: requests come while the process has just woken and what it believes may be old.
#[rstest]
#[case::trusted_again(Some(50), 50)]
#[case::nobody_confirms(None, 300)]
fn what_is_doubted_is_not_acted_on(#[case] trusted_after: Option<u64>, #[case] sent_after: u64) {
    let mut world = world(3);
    let before = world.send(LOOKUP);
    let on_its_way = world.attempts_of(before)[0];
    let begun = world.now;
    world.engine.suspend(SECOND * 5, begun + Duration::from_millis(300));
    assert!(!world.engine.may_send(world.live[&on_its_way].backend, begun), "nor what was decided before");
    world.end(on_its_way, Ending::Recalled);
    let requests = [world.send(LOOKUP), world.send(ORDER), before];
    world.pass(Duration::from_millis(sent_after - 10));
    assert!(requests.iter().all(|request| world.attempts_of(*request).is_empty()));
    if let Some(after) = trusted_after {
        world.pass((begun + Duration::from_millis(after)).since(world.now));
        world.engine.resume(world.now);
    }
    world.pass(Duration::from_millis(20));
    assert!(requests.iter().all(|request| world.attempts_of(*request).len() == 1));
}
