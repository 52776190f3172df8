//! Limits that always hold: retries, slow starts, regions, shares of services, work that must not be cancelled.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use base::time::Time;
use common::{LIMITS, LOOKUP, ORDER, backend, classes, started};
use dispatch::backend::{Backend, BackendId, Place, SlowStart, Spec};
use dispatch::engine::{Arrival, Budgets, Limits, Remote};
use dispatch::split::Share;
use dispatch::{Action, Ending, Engine, class, regions, subset};
use rstest::rstest;

const START: Time = Time::from_millis(1_000);

fn engine(classes: Vec<class::Spec>, budgets: Budgets, servers: Vec<Spec>) -> Engine {
    let mut engine = Engine::new(classes, Limits { budgets, ..LIMITS }, 7);
    engine.set_remote(1, Remote { max_in_flight: u32::MAX, bytes_per_second: 1e9 }, START);
    engine.set_backends(servers, START);
    engine
}

fn submit(engine: &mut Engine, request: u64, class: usize, object: Option<u64>, now: Time) {
    engine.submit(Arrival { object, ..Arrival::new(request, class, request, 10) }, now);
}

/// Load: all servers of a service are full. Every attempt is shed, and would be retried elsewhere, which multiplies
/// the load.
#[rstest]
#[case::a_fifth(0.2, 3.0)]
#[case::none(0.0, 0.0)]
fn retries_of_a_service_stay_within_their_budget(#[case] ratio: f64, #[case] burst: f64) {
    let budgets =
        Budgets { retry_ratio: 1.0, retry_burst: 100.0, repeat_ratio: ratio, repeat_burst: burst, ..Budgets::DEFAULT };
    let servers = (1..=9).map(|id| backend(id, Place::Domain)).collect();
    let mut engine = engine(classes(), budgets, servers);
    let (mut sends, mut now) = (0_u32, START);
    for request in 1..=200 {
        now = now + Duration::from_millis(500);
        submit(&mut engine, request, LOOKUP, None, now);
        let mut live = started(&mut engine);
        while let Some((attempt, _)) = live.pop() {
            sends += 1;
            engine.finish(attempt, Ending::Shed, now);
            live.extend(started(&mut engine));
        }
        engine.tick(now);
    }
    assert!(f64::from(sends) <= 200.0 * (1.0 + ratio) + burst, "{sends} sends for 200 requests");
}

/// Load: a server has just started, and more requests arrive than it may get while it is cold.
#[rstest]
#[case::ours(4.0, 4 + 1)]
#[case::left_to_others(0.0, 0)]
fn a_starting_server_gets_its_rate_and_no_more(#[case] per_second: f64, #[case] max_count: usize) {
    let start = SlowStart {
        until: START + Duration::from_mins(1),
        per_second,
        starter: per_second > 0.0,
        phase: 0.0,
        learns_pace: false,
    };
    let spec = class::Spec { affinity: true, ..classes()[LOOKUP].clone() };
    let server = Spec { slow_start: Some(start), slots: 100, ..backend(1, Place::Region) };
    let mut engine = engine(vec![spec], Budgets::DEFAULT, vec![server]);
    let mut count = 0;
    for turn in 0..100 {
        let now = START + Duration::from_millis(10 * turn);
        submit(&mut engine, turn + 1, LOOKUP, Some(turn), now);
        for (attempt, _) in started(&mut engine) {
            count += 1;
            engine.finish(attempt, Ending::Answered(1), now);
        }
    }
    assert!(count <= max_count, "{count} requests in a second");
}

#[rstest]
#[case::object(Some(5))]
#[case::no_object(None)]
fn work_that_must_stay_in_a_region_is_sent_nowhere_else(#[case] object: Option<u64>) {
    let class = class::Spec { affinity: true, regions: regions::Set::of(&[0]), ..classes()[LOOKUP].clone() };
    let elsewhere = |id| Spec { region: 1, ..backend(id, Place::Remote(1)) };
    let mut servers = vec![backend(1, Place::Region)];
    servers.extend((2..=9).map(elsewhere));
    let mut engine = engine(vec![class], Budgets::DEFAULT, servers);
    let mut now = START;
    for request in 1..=50 {
        now = now + Duration::from_millis(20);
        submit(&mut engine, request, 0, object, now);
        engine.tick(now);
        let live = started(&mut engine);
        assert!(live.iter().all(|(_, server)| *server == 1), "{live:?}");
        if request % 3 == 0 {
            live.into_iter().for_each(|(attempt, _)| engine.finish(attempt, Ending::Lost, now));
        }
    }
}

#[test]
fn services_share_a_class_by_their_weights() {
    let split = vec![Share { service: 0, weight: 3 }, Share { service: 1, weight: 1 }];
    let class = class::Spec { split, ..classes()[LOOKUP].clone() };
    let servers = vec![backend(1, Place::Domain), Spec { service: 1, ..backend(2, Place::Domain) }];
    let mut engine = engine(vec![class], Budgets::DEFAULT, servers);
    let mut counts: BTreeMap<BackendId, u32> = BTreeMap::new();
    for request in 1..=400 {
        let now = START + Duration::from_millis(10 * request);
        submit(&mut engine, request, 0, None, now);
        for (attempt, server) in started(&mut engine) {
            *counts.entry(server).or_default() += 1;
            engine.finish(attempt, Ending::Answered(1), now);
        }
    }
    assert_eq!(counts, BTreeMap::from([(1, 300), (2, 100)]));
}

#[rstest]
#[case::lookup(LOOKUP, true)]
#[case::order(ORDER, false)]
fn work_whose_caller_left_is_cancelled_only_if_it_may_run_twice(#[case] class: usize, #[case] cancelled: bool) {
    let mut engine = engine(classes(), Budgets::DEFAULT, vec![backend(1, Place::Domain)]);
    submit(&mut engine, 1, class, None, START);
    assert_eq!(started(&mut engine).len(), 1);
    engine.abandon(1, START);
    let cancels = engine.take_actions().iter().filter(|action| matches!(action, Action::Cancel { .. })).count();
    assert_eq!(cancels, usize::from(cancelled));
}

/// Guards against work for nobody: the caller leaves after a server was chosen, and before anything was sent there.
#[rstest]
#[case::lookup(LOOKUP)]
#[case::order(ORDER)]
fn nothing_is_sent_once_its_caller_has_left(#[case] class: usize) {
    let mut engine = engine(classes(), Budgets::DEFAULT, vec![backend(1, Place::Domain)]);
    submit(&mut engine, 1, class, None, START);
    let (attempt, server) = started(&mut engine)[0];
    assert!(engine.may_send(attempt, server, START));
    engine.abandon(1, START);
    assert!(!engine.may_send(attempt, server, START));
    engine.finish(attempt, Ending::Recalled, START);
    assert_eq!(engine.in_flight(), 0);
    assert!(started(&mut engine).is_empty(), "it is not sent elsewhere either");
}

/// Load: all daemons restart while servers are cold; at first each knows only itself, then all of them.
#[test]
fn daemons_that_do_not_know_each_other_yet_send_a_starting_server_nothing() {
    let all: Vec<u64> = (100..133).collect();
    let sum = |known: &dyn Fn(u64) -> Vec<u64>, coverage: f64| -> f64 {
        let shares = all.iter().map(|daemon| subset::start_share(*daemon, &known(*daemon), 7, 3, coverage));
        shares.filter(|(_, starter)| *starter).map(|(share, _)| share).sum()
    };
    assert!(sum(&|daemon| vec![daemon], 0.0) < f64::EPSILON);
    assert!((sum(&|_| all.clone(), 1.0) - 1.0).abs() < 1e-9);
    let (share, starter) = subset::start_share(100, &[100], 7, 3, 1.0);
    assert!(starter && (share - 1.0 / 3.0).abs() < 1e-9, "a daemon alone sends only its share");
}

/// Load: entry instances start and stop during the slow start of a server, so its starters change.
#[rstest]
#[case::becomes_a_starter(0.0, 4.0, true)]
#[case::is_no_longer_one(4.0, 0.0, false)]
fn a_daemon_sends_a_starting_server_what_the_latest_membership_says(
    #[case] before: f64,
    #[case] after: f64,
    #[case] sends: bool,
) {
    let start = |per_second| {
        Some(SlowStart {
            until: START + Duration::from_mins(1),
            per_second,
            starter: per_second > 0.0,
            phase: 0.0,
            learns_pace: false,
        })
    };
    let class = class::Spec { affinity: true, ..classes()[LOOKUP].clone() };
    let mut engine =
        engine(vec![class], Budgets::DEFAULT, vec![Spec { slow_start: start(before), ..backend(1, Place::Region) }]);
    engine.set_backends(vec![Spec { slow_start: start(after), ..backend(1, Place::Region) }], START);
    let now = START + Duration::from_secs(2);
    submit(&mut engine, 1, LOOKUP, Some(1), now);
    assert_eq!(!started(&mut engine).is_empty(), sends);
}

/// Load: a server fails for a moment and may have restarted. Every daemon has ejected it and is due to try it.
#[test]
fn all_daemons_try_an_ejected_server_again_and_not_all_at_once() {
    let (daemons, per_second) = (33, 5.0);
    let server = |daemon: u32| {
        let phase = f64::from(daemon) / f64::from(daemons);
        let start = SlowStart {
            until: Time::ZERO,
            per_second: per_second / f64::from(daemons),
            starter: false,
            phase,
            learns_pace: false,
        };
        let mut server = Backend::new(Spec { slow_start: Some(start), ..backend(1, Place::Region) }, START);
        server.record_failure(START);
        server
    };
    let mut waiting: Vec<Backend> = (0..daemons).map(server).collect();
    for second in 1..30 {
        let now = START + Duration::from_secs(second);
        let before = waiting.len();
        waiting.retain(|server| server.unavailable(now) || !server.admits(now));
        assert!((before - waiting.len()) as f64 <= per_second + 1.0, "{} in second {second}", before - waiting.len());
    }
    assert!(waiting.is_empty(), "{} daemons never try it", waiting.len());
}
