//! Servers that turn requests away.

mod common;

use std::time::Duration;

use base::time::Time;
use common::{LIMITS, LOOKUP, backend, classes};
use dispatch::backend::{BackendId, Place, Report};
use dispatch::engine::{Arrival, Budgets, Limits};
use dispatch::{Action, Ending, Engine, class};
use rstest::rstest;

const NOW: Time = Time::from_millis(1_000);

/// An engine that sends nothing twice, before five servers of three slots.
fn engine() -> Engine {
    let budgets = Budgets { retry_ratio: 0.0, retry_burst: 0.0, hedge_burst: 0.0, ..Budgets::DEFAULT };
    let specs = classes().into_iter().map(|spec| class::Spec { affinity: true, ..spec }).collect();
    let mut engine = Engine::new(specs, Limits { budgets, ..LIMITS }, 7);
    engine.set_backends((1..=5).map(|id| backend(id, Place::Domain)).collect(), NOW);
    engine
}

/// Sends a request about an object; says where it went.
fn send(engine: &mut Engine, request: u64) -> (u64, BackendId) {
    engine.submit(Arrival { object: Some(5), ..Arrival::new(request, LOOKUP, request, 10) }, NOW);
    let start = |action| match action {
        Action::Start { attempt, backend, .. } => Some((attempt, backend)),
        _ => None,
    };
    engine.take_actions().into_iter().find_map(start).expect("the request is sent at once")
}

/// A server turns an attempt away and tells how much it has to do, if anything; says when the caller should come back.
fn shed(engine: &mut Engine, (attempt, server): (u64, BackendId), load: Option<u32>) -> Duration {
    if let Some(load) = load {
        engine.record_report(server, Report { load, draining: false, pace: Some(1.0), at: NOW });
    }
    engine.finish(attempt, Ending::Shed, NOW);
    let after = |action| match action {
        Action::Answer { retry_after: after, .. } => after,
        _ => None,
    };
    engine.take_actions().into_iter().find_map(after).expect("the caller is told when to come back")
}

/// Load: all servers of a service turn half of their requests away, however little they have to do. Each object that
/// moves has to be learnt by one more server, which makes work where there was none.
#[test]
fn a_server_with_slots_free_keeps_its_objects_when_it_turns_one_away() {
    let mut engine = engine();
    let first = send(&mut engine, 1);
    shed(&mut engine, first, Some(1));
    assert_eq!(send(&mut engine, 2).1, first.1, "the next request about the object goes there too");
}

/// Load: one server is full. What it turned away would only be turned away again.
#[test]
fn a_full_server_is_left_alone_for_a_moment() {
    let mut engine = engine();
    let first = send(&mut engine, 1);
    shed(&mut engine, first, Some(12));
    assert_ne!(send(&mut engine, 2).1, first.1);
}

/// Load: requests turned away with slots free, and requests turned away for want of them. The first lose nothing by
/// coming back at once, the second would meet the same queue, all of them together.
#[rstest]
#[case::room(Some(1), 0, 100)]
#[case::full(Some(12), 300, 800)]
#[case::not_told(None, 300, 800)]
fn callers_come_back_at_once_where_there_is_room(#[case] load: Option<u32>, #[case] least: u64, #[case] most: u64) {
    let mut engine = engine();
    let first = send(&mut engine, 1);
    let after = shed(&mut engine, first, load);
    let (least, most) = (Duration::from_millis(least), Duration::from_millis(most));
    assert!(after >= least && after <= most, "{after:?}");
}
