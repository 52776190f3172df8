//! Requests about objects, at servers that work faster on warm objects.

mod common;

use std::time::Duration;

use base::time::Time;
use common::cluster::Cluster;
use dispatch::backend::{BackendId, Place, Report, SlowStart, Spec};
use dispatch::engine::{Account, Arrival, Remote};
use dispatch::{Action, Ending, Engine, class, regions};
use rstest::rstest;

/// Returns the fraction of the requests that were answered within the target.
fn good(cluster: &Cluster, from: u64, to: u64) -> f64 {
    let outcome = cluster.outcome(from, to);
    f64::from(outcome.good) / f64::from(outcome.asked.max(1))
}

/// Load: four fifths of what the servers could do if every object were cold; a third of it comes from callers whose
/// region has an eighth of the servers. Objects that spread over many servers would be cold everywhere, which makes all
/// servers slow.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn objects_stay_at_few_servers_under_load(#[case] seed: u64) {
    let mut cluster = Cluster::new(&[2, 6, 8], seed);
    cluster.run(Duration::from_secs(30), 32.0, 48);
    let fraction = good(&cluster, 11, 29);
    assert!(fraction >= 0.9, "{fraction} good after ten seconds");
}

/// Load: the same, and all entry instances restart at the same moment and lose their state. If they then sent objects
/// to other servers than before, these would be cold there.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn a_restart_of_all_entry_instances_does_not_scatter_objects(#[case] seed: u64) {
    let mut cluster = Cluster::new(&[2, 6, 8], seed);
    cluster.run(Duration::from_secs(15), 32.0, 48);
    cluster.restart();
    cluster.run(Duration::from_secs(15), 32.0, 48);
    let fraction = good(&cluster, 18, 29);
    assert!(fraction >= 0.85, "{fraction} good from three seconds after the restart on");
}

/// Load: callers of a region with a tenth of the servers, from the first second on. The work that moves to other
/// regions must not swing back and forth.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn work_moves_between_regions_in_small_steps(#[case] seed: u64) {
    let mut cluster = Cluster::new(&[2, 8, 10], seed);
    cluster.run(Duration::from_secs(30), 60.0, 48);
    let fractions: Vec<f64> = (1..27).map(|second| cluster.ran_fraction(second, 0, 0)).collect();
    let widest = fractions.windows(3).map(|pair| (pair[2] - pair[0]).abs()).fold(0.0, f64::max);
    assert!(widest <= 0.15, "{widest} of the requests changed their region within two seconds: {fractions:?}");
}

/// Load: after an outage of all entry instances, ten times the usual requests arrive at once. Queues at the servers
/// would make later requests late too.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn a_storm_after_an_outage_is_worked_off_soon(#[case] seed: u64) {
    let mut cluster = Cluster::new(&[2, 6, 8], seed);
    cluster.run(Duration::from_secs(15), 32.0, 48);
    cluster.restart();
    cluster.run(Duration::from_millis(600), 320.0, 48);
    cluster.run(Duration::from_secs(10), 32.0, 48);
    let fraction = good(&cluster, 17, 20);
    assert!(fraction >= 0.66, "{fraction} good between one and four seconds after the storm");
    let all = cluster.outcome(1, 25);
    let served = f64::from(all.answered) / f64::from(all.asked);
    assert!(served >= 0.75, "{served} answered at all");
}

/// Load: half of the servers lose the answers of 3 % of the requests that they ran. If a single lost answer ejected a
/// server, its objects would move to servers where they are cold.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn occasional_lost_answers_move_no_objects(#[case] seed: u64) {
    let mut cluster = Cluster::new(&[2, 6, 8], seed);
    cluster.run(Duration::from_secs(12), 32.0, 48);
    cluster.loss_ratio = 0.03;
    cluster.run(Duration::from_secs(20), 32.0, 48);
    let fraction = good(&cluster, 13, 31);
    assert!(fraction >= 0.9, "{fraction} good");
}

/// Load: a start. No server has reported its load, and each object is cold everywhere. Sending the second request about
/// an object elsewhere would add cold work.
#[test]
fn at_a_start_an_object_goes_to_its_home_first() {
    let specs = common::classes().into_iter().map(|spec| class::Spec { affinity: true, ..spec }).collect();
    let mut engine = Engine::new(specs, common::LIMITS, 7);
    let now = Time::from_millis(1_000);
    engine.set_remote(1, Remote { max_in_flight: u32::MAX, bytes_per_second: 1e9 }, now);
    let elsewhere = Spec { region: 1, ..common::backend(9, Place::Remote(1)) };
    engine.set_backends(vec![common::backend(1, Place::Region), common::backend(2, Place::Region), elsewhere], now);
    for request in 1..=3 {
        engine.submit(Arrival { object: Some(5), ..Arrival::new(request, common::LOOKUP, request, 10) }, now);
    }
    let server = |action| if let Action::Start { backend, .. } = action { Some(backend) } else { None };
    let servers: Vec<BackendId> = engine.take_actions().into_iter().filter_map(server).collect();
    assert_eq!(servers[0], servers[1], "the first two go to the object's home");
    assert_eq!(servers[2], 9, "a third is not sent there before the server reports its load");
}

/// Load: entry instances that started at different times, after classes were added and removed, get requests about the
/// same objects. If an object's home depended on the order of classes, each object would have several homes.
#[test]
fn all_daemons_send_an_object_to_the_same_home_whatever_the_order_of_their_classes() {
    let now = Time::from_millis(1_000);
    let one = class::Spec { affinity: true, key: 11, ..class::Spec::new(0, Duration::from_secs(1)) };
    let two = class::Spec { key: 22, ..one.clone() };
    let engine = |classes: Vec<class::Spec>| {
        let mut engine = Engine::new(classes, common::LIMITS, 7);
        engine.set_backends((1..=9).map(|id| common::backend(id, Place::Region)).collect(), now);
        engine
    };
    let (mut early, mut late) = (engine(vec![one.clone(), two.clone()]), engine(vec![two, one]));
    let home = |engine: &mut Engine, class: usize, object: u64| {
        engine.submit(Arrival { object: Some(object), ..Arrival::new(object, class, object, 10) }, now);
        let server = |action| if let Action::Start { backend, .. } = action { Some(backend) } else { None };
        engine.take_actions().into_iter().find_map(server)
    };
    for object in 1..=9 {
        assert_eq!(home(&mut early, 1, object), home(&mut late, 0, object), "object {object}");
    }
}

/// Load: more requests about objects than all servers can take. An answer frees a slot at one server only;
/// trying all waiting requests for it costs too much.
#[test]
fn an_answer_rechecks_only_requests_that_wait_for_its_server() {
    const WAITING: u64 = 200;
    let spec = class::Spec { affinity: true, ..class::Spec::new(0, Duration::from_secs(1)) };
    let now = Time::from_millis(1_000);
    let mut engine = Engine::new(vec![spec], common::LIMITS, 7);
    engine.set_backends((1..=40).map(|id| common::backend(id, Place::Domain)).collect(), now);
    let mut started = Vec::new();
    for request in 1..=2_000 {
        engine.submit(Arrival { object: Some(request), ..Arrival::new(request, 0, request, 10) }, now);
        started.extend(engine.take_actions().into_iter().filter_map(|action| match action {
            Action::Start { attempt, .. } => Some(attempt),
            _ => None,
        }));
    }
    assert!(engine.queued() as u64 >= WAITING, "{} requests wait", engine.queued());
    let before = engine.picks();
    engine.finish(started[0], Ending::Answered(10), now + Duration::from_millis(1));
    let picks = engine.picks() - before;
    let more = engine.take_actions().into_iter().filter(|action| matches!(action, Action::Start { .. })).count();
    assert!(more >= 1, "the server with a free slot gets a request that waits for it");
    assert!(picks <= WAITING / 10, "{picks} of {} were tried", engine.queued());
}

/// Load: an account whose requests may run in one region only, sent through an instance of another region. If its objects
/// did not count as at home there, each would be taken for cold and refused while the servers have room.
#[test]
fn objects_of_requests_bound_to_another_region_are_at_home_there() {
    let specs = common::classes().into_iter().map(|spec| class::Spec { affinity: true, ..spec }).collect();
    let mut engine = Engine::new(specs, common::LIMITS, 7);
    let now = Time::from_millis(1_000);
    engine.set_remote(1, Remote::UNLIMITED, now);
    let near = (1..=6).map(|id| common::backend(id, Place::Region));
    let far = (7..=8).map(|id| Spec { region: 1, ..common::backend(id, Place::Remote(1)) });
    engine.set_backends(near.chain(far).collect(), now);
    let account = Account { id: 1, rank: None, regions: regions::Set::of(&[1]) };
    for request in 1..=2 {
        let arrival = Arrival { object: Some(5), account, ..Arrival::new(request, common::LOOKUP, request, 10) };
        engine.submit(arrival, now);
    }
    let servers: Vec<BackendId> = common::started(&mut engine).into_iter().map(|(_, server)| server).collect();
    assert_eq!(servers.len(), 2, "both are sent at once, as at the primary home of an object");
    assert!(servers[0] == servers[1] && servers[0] >= 7, "to one server of the region: {servers:?}");
}

/// Load: client accounts overload a region, and this instance has not heard of one of its servers for long. If it took that server for
/// idle, and all instances did, none of the servers would ever get out of the overload. Without accounts, a server of which nothing is
/// heard must count as idle in the end, or requests go to other regions long after a peak.
#[rstest]
#[case::with_accounts(1, false)]
#[case::without(0, true)]
fn a_server_out_of_sight_is_as_busy_as_the_others_of_its_region(#[case] account: u64, #[case] is_used: bool) {
    let class = class::Spec {
        affinity: true,
        target: Duration::from_millis(300),
        ..class::Spec::new(0, Duration::from_secs(2))
    };
    let start = Time::from_millis(1_000);
    let report = |load, at| Report { load, draining: false, pace: Some(1.0), at };
    let sent = |busy: u32| {
        let mut engine = Engine::new(vec![class.clone()], common::LIMITS, 7);
        engine.set_backends((1..=6).map(|id| common::backend(id, Place::Region)).collect(), start);
        let account = Account { id: account, ..Account::NONE };
        engine.submit(Arrival { object: Some(61), account, ..Arrival::new(1_000, 0, 1_000, 10) }, start);
        common::started(&mut engine);
        (1..=6).for_each(|id| engine.record_report(id, report(12, start)));
        let now = start + Duration::from_secs(5);
        (2..=6).for_each(|id| engine.record_report(id, report(busy, now)));
        for object in 1..=60 {
            engine.submit(Arrival { object: Some(object), account, ..Arrival::new(object, 0, object, 10) }, now);
        }
        common::started(&mut engine).into_iter().filter(|(_, server)| *server == 1).count()
    };
    assert_eq!(sent(12) > 0, is_used, "the others are full");
    assert!(sent(0) > 0, "the others are idle");
}

/// Load: a server starts while the others run. It gets a part of its objects at first, which grows; the rest stay where they are warm.
#[test]
fn a_server_that_starts_gets_a_growing_part_of_its_objects() {
    let class = class::Spec { affinity: true, ..class::Spec::new(0, Duration::from_secs(2)) };
    let now = Time::from_millis(1_000);
    let started_at = now + Duration::from_millis(500);
    let start = SlowStart { until: started_at, per_second: 1e6, starter: true, phase: 0.0, learns_pace: true };
    let part = |now: Time, learns_pace: bool| {
        let mut engine = Engine::new(vec![class.clone()], common::LIMITS, 7);
        let new = Spec { slow_start: Some(SlowStart { learns_pace, ..start }), ..common::backend(1, Place::Region) };
        engine.set_backends(
            std::iter::once(new).chain((2..=4).map(|id| common::backend(id, Place::Region))).collect(),
            Time::from_millis(1_000),
        );
        let first = |object: u64| {
            let mut engine = engine.clone();
            engine.submit(Arrival { object: Some(object), ..Arrival::new(object, 0, object, 10) }, now);
            common::started(&mut engine).first().map(|(_, server)| *server)
        };
        (1..=400).filter(|object| first(*object) == Some(1)).count()
    };
    let fair = part(started_at + Duration::from_secs(9), true);
    assert!((80..=120).contains(&fair), "{fair} of 400 objects once it has run for long");
    let first = part(started_at, true);
    assert!(first * 4 <= fair && first > 0, "{first} of {fair} at first");
    let later = part(started_at + Duration::from_secs(3), true);
    assert!(later * 10 >= fair * 8, "{later} of {fair} after three seconds");
    assert!(part(started_at, false) > 4 * first, "without the setting it gets all at once");
}
