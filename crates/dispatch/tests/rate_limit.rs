//! One daemon in front of backend servers that state the rate of requests they take from all daemons together.

mod common;

use std::time::Duration;

use base::error::Kind;
use base::rate::Limit;
use base::time::Time;
use common::{LOOKUP, ORDER, World, backend, refused};
use dispatch::announcements::{Announcements, News};
use dispatch::backend::{Backend, BackendId, Place, Position, Spec, share};
use dispatch::engine::{Arrival, Limits};
use dispatch::{Action, Ending, Engine, Verdict, class};
use rstest::rstest;

const START: Time = Time::from_millis(10_000);
/// A server's number.
const SERVER: BackendId = 77;
const SECOND: Duration = Duration::from_secs(1);
/// A position at which a daemon sends nothing to servers with a low limit.
const LAST: Position = Position { rank: 6, daemons: 7, coverage: 1.0 };

fn server(position: Position, limit: f64, now: Time) -> Backend {
    let spec = Spec { position, slots: u32::MAX, ..backend(SERVER, Place::Region) };
    let mut server = Backend::new(spec, now);
    announce(&mut server, Some(limit), now);
    server
}

fn announce(server: &mut Backend, per_second: Option<f64>, observed_at: Time) {
    let mut announcements = Announcements::new();
    announcements.record_rate_limit(SERVER, Limit { per_second: Some(f64::MAX), observed_at: Time::ZERO }, Time::ZERO);
    announcements.record_rate_limit(SERVER, Limit { per_second, observed_at }, observed_at);
    server.apply_announcement(announcements.get(SERVER), observed_at);
}

/// One daemon in front of `servers` servers, at `position` for each.
fn world(servers: u32, position: Position) -> World {
    World::new((1..=servers).map(|id| Spec { position, ..backend(id, Place::Domain) }).collect(), 7)
}

fn limit(world: &mut World, server: BackendId, per_second: Option<f64>) -> News {
    world.engine.apply_rate_limit(server, Limit { per_second, observed_at: world.now }, world.now)
}

/// Sends a request every 20 ms for `time` and answers each at once; returns how many each of the servers got.
fn counts(world: &mut World, class: usize, time: Duration) -> [usize; 4] {
    let mut counts = [0; 4];
    let end = world.now + time;
    while world.now < end {
        let request = world.send(class);
        for attempt in world.attempts_of(request) {
            counts[world.live[&attempt].backend as usize] += 1;
            world.end(attempt, Ending::Answered(10));
        }
        world.pass(Duration::from_millis(20));
    }
    counts
}

/// Guards against a limit that a second send, an order or a server just back from an ejection escapes.
#[rstest]
#[case::lookup(LOOKUP)]
#[case::order(ORDER)]
fn a_limited_server_gets_this_daemons_part_and_no_trial_beyond_it(#[case] class: usize) {
    let mut world = world(3, Position { daemons: 7, ..Position::ALONE });
    limit(&mut world, 2, Some(1.5));
    let part = share(1.5, Position { daemons: 7, ..Position::ALONE });
    let sent = counts(&mut world, class, SECOND * 20)[2];
    assert!(sent as f64 <= part * 20.0 + 1.0 && sent as f64 >= part * 20.0 - 2.0, "{sent} in 20 s, part {part}");
    let mut world = self::world(1, LAST);
    let request = world.send(class);
    let attempt = world.attempts_of(request)[0];
    limit(&mut world, 1, Some(1.5));
    world.end(attempt, Ending::Unreachable);
    assert_eq!(counts(&mut world, class, SECOND * 5)[1], 0, "no trial after the ejection");
}

/// Guards against requests that were chosen for a server before its limit was known, or that wait for a connection for
/// longer than the rate that they were counted in, and reach it together.
#[test]
fn an_attempt_is_sent_only_if_it_was_counted_lately() {
    let mut world = world(1, Position::ALONE);
    let request = world.send(LOOKUP);
    let before = world.attempts_of(request)[0];
    assert!(world.engine.may_send(before, 1, world.now));
    limit(&mut world, 1, Some(2.0));
    assert!(!world.engine.may_send(before, 1, world.now), "it was not counted");
    world.end(before, Ending::Recalled);
    world.pass(Duration::from_millis(800));
    let counted = world.attempts_of(request)[0];
    assert!(world.engine.may_send(counted, 1, world.now));
    assert!(!world.engine.may_send(counted, 1, world.now + SECOND), "it was counted for an earlier moment");
}

/// Guards against requests that wait until their deadline passes where all servers limit their rate: those beyond the
/// room are refused at once, with the time at which there is room.
#[rstest]
#[case::lookup(LOOKUP, 0.2, 5_000)]
#[case::order(ORDER, 0.2, 5_000)]
#[case::other_daemons_have_room_soon(LOOKUP, 2.0, 500)]
fn where_every_server_is_limited_requests_without_room_are_refused_at_once(
    #[case] class: usize,
    #[case] per_second: f64,
    #[case] room_after_ms: u64,
) {
    let mut world = world(3, LAST);
    for server in 1..=3 {
        limit(&mut world, server, Some(per_second));
    }
    let (verdict, retry_after) = world.send_refused(class);
    assert_eq!(verdict, Verdict::Refuse(Kind::RateLimited));
    let room_after = Duration::from_millis(room_after_ms);
    assert!(retry_after.is_some_and(|after| after >= room_after), "when a server has room: {retry_after:?}");
}

#[test]
fn a_queue_for_limited_servers_takes_no_more_than_they_have_room_for() {
    let mut world = world(1, Position::ALONE);
    limit(&mut world, 1, Some(2.0));
    let requests: Vec<u64> = (0..20).map(|_| world.send(ORDER)).collect();
    let rejected = requests.iter().filter(|request| refused(&world, **request) == Some(Kind::RateLimited)).count();
    // Four seconds of a rate of 1.5 a second.
    assert_eq!(rejected, 20 - 6, "the others wait for room");
    let mut served = 0;
    for _ in 0..400 {
        for attempt in world.live.keys().copied().collect::<Vec<u64>>() {
            served += 1;
            world.end(attempt, Ending::Answered(10));
        }
        world.pass(Duration::from_millis(10));
    }
    assert!(served >= 5, "{served} of those that waited are served");
}

/// Guards against a limit that an answer ends which was on its way before the limit was stated, and against one that
/// does not end.
#[test]
fn only_an_answer_to_a_later_request_ends_a_limit() {
    let mut world = world(1, Position::ALONE);
    counts(&mut world, LOOKUP, SECOND);
    let [early, stating] = [LOOKUP, LOOKUP].map(|class| {
        let request = world.send(class);
        world.attempts_of(request)[0]
    });
    world.pass(Duration::from_millis(5));
    assert_eq!(world.engine.record_rate_limit(stating, Some(1.5), world.now), News::Changed { before: None });
    world.pass(Duration::from_millis(5));
    assert_eq!(world.engine.record_rate_limit(early, None, world.now), News::None, "it was sent before");
    [early, stating].into_iter().for_each(|attempt| world.end(attempt, Ending::Answered(10)));
    world.pass(SECOND * 2);
    let request = world.send(ORDER);
    let later = world.attempts_of(request)[0];
    assert_eq!(world.engine.record_rate_limit(later, None, world.now), News::Changed { before: Some(1.5) });
    assert_eq!(world.engine.rate_limits(world.now).count(), 0);
    assert_eq!(world.engine.record_rate_limit(later, None, world.now), News::None, "it ends once");
}

/// Guards against a fleet that comes back to a server in the same moment, when its limit ends or nobody has confirmed
/// it for long.
#[rstest]
#[case::stated(Some(SECOND))]
#[case::unconfirmed(None)]
fn daemons_return_one_after_the_other_when_a_limit_ends(#[case] stated_after: Option<Duration>) {
    let daemons = 119;
    let server = |rank| {
        let mut server = server(Position { rank, daemons, coverage: 1.0 }, 1.5, START);
        if let Some(after) = stated_after {
            announce(&mut server, None, START + after);
        }
        server
    };
    let fleet: Vec<Backend> = (0..daemons).map(server).collect();
    let mut end = START + stated_after.unwrap_or(Duration::from_mins(3));
    assert!(fleet.iter().skip(4).all(|server| server.unavailable(end - Duration::from_millis(1))));
    let mut returned = fleet.iter().filter(|server| !server.unavailable(end)).count();
    assert!(returned <= 4, "{returned} daemons return at once");
    for _ in 0..40 {
        end = end + Duration::from_millis(100);
        let now = fleet.iter().filter(|server| !server.unavailable(end)).count();
        assert!(now - returned <= 4, "{} daemons return in 100 ms", now - returned);
        returned = now;
    }
    assert_eq!(returned, daemons as usize, "all have returned after four seconds");
}

/// Guards against a limited server that loses its objects for good, or counts as slow or failed: the same objects go to
/// the same server before and after.
#[test]
fn objects_leave_a_limited_server_and_come_back_with_its_room() {
    let class = class::Spec { affinity: true, ..common::classes()[LOOKUP].clone() };
    let mut engine = Engine::new(vec![class], Limits { max_in_flight: 512, ..common::LIMITS }, 7);
    let mut now = START;
    engine.set_backends((1..=4).map(|id| Spec { position: LAST, ..backend(id, Place::Domain) }).collect(), now);
    let before = homes(&mut engine, now);
    engine.apply_rate_limit(2, Limit { per_second: Some(1.5), observed_at: now }, now);
    let during = homes(&mut engine, now);
    assert!(before.contains(&2) && !during.contains(&2));
    let stayed =
        before.iter().zip(&during).filter(|(before, _)| **before != 2).all(|(before, during)| before == during);
    assert!(stayed, "other servers keep their objects");
    assert!(engine.backends().all(|server| !server.ejected(now) && !server.suspect()));
    now = now + SECOND;
    engine.apply_rate_limit(2, Limit { per_second: None, observed_at: now }, now);
    assert_eq!(homes(&mut engine, now + SECOND * 4), before);
}

/// Sends a request about each of 60 objects, answered at once; returns their servers.
fn homes(engine: &mut Engine, now: Time) -> Vec<BackendId> {
    let send = |object| {
        engine.submit(Arrival { object: Some(object), ..Arrival::new(object, 0, object, 10) }, now);
        let started = engine.take_actions().into_iter().find_map(|action| match action {
            Action::Start { attempt, backend, .. } => Some((attempt, backend)),
            _ => None,
        });
        let (attempt, server) = started.expect("a server is free");
        engine.finish(attempt, Ending::Answered(10), now);
        engine.take_actions();
        server
    };
    (0..60).map(send).collect()
}

/// Load: the servers without a limit are full. Requests that would be refused use the room of a limited server.
#[test]
fn the_room_of_limited_servers_is_used_when_the_others_are_full() {
    let class = class::Spec { affinity: true, ..common::classes()[LOOKUP].clone() };
    let mut engine = Engine::new(vec![class], Limits { max_in_flight: 512, ..common::LIMITS }, 7);
    let servers = (1..=2).map(|id| Spec { position: Position::ALONE, ..backend(id, Place::Domain) }).collect();
    engine.set_backends(servers, START);
    let home_of: Vec<BackendId> = homes(&mut engine, START);
    let object = home_of.iter().position(|home| *home == 1).map(|object| object as u64);
    engine.apply_rate_limit(2, Limit { per_second: Some(1.5), observed_at: START }, START);
    let mut to_limited = 0;
    for request in 0..500 {
        let now = START + Duration::from_millis(10 * request);
        engine.submit(Arrival { object, ..Arrival::new(request + 100, 0, request + 100, 10) }, now);
        engine.tick(now);
        for action in engine.take_actions() {
            if let Action::Start { backend: 2, attempt, .. } = action {
                to_limited += 1;
                engine.finish(attempt, Ending::Answered(10), now);
            }
        }
    }
    assert!((3..=6).contains(&to_limited), "{to_limited} requests in 5 s at a rate of 1.1");
}

/// Guards against words of peers that arrive late or not in order, and against limits that others forget while they are
/// still stated.
#[test]
fn the_latest_observation_of_a_limit_counts_and_is_passed_on_from_time_to_time() {
    let mut announcements = Announcements::new();
    let mut record = |per_second, at: u64| {
        let observed_at = START + SECOND * at as u32;
        announcements.record_rate_limit(SERVER, Limit { per_second, observed_at }, START + SECOND * 60)
    };
    assert_eq!(record(None, 1), News::None, "most servers state no limit");
    assert_eq!(record(Some(2.0), 10), News::Changed { before: None });
    assert_eq!(record(Some(3.0), 9), News::None, "an earlier observation");
    assert_eq!(record(Some(2.0), 20), News::None);
    assert_eq!(record(Some(2.0), 56), News::Confirmed);
    assert_eq!(record(Some(2.0), 57), News::None);
    assert_eq!(record(Some(1.0), 58), News::Changed { before: Some(2.0) });
    assert_eq!(record(None, 59), News::Changed { before: Some(1.0) });
    assert_eq!(record(None, 60), News::None);
    assert_eq!(record(Some(1.0), 58), News::None, "it was stated before the end");
}
