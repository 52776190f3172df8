//! Servers that shed requests.

mod common;

use std::time::Duration;

use base::time::Time;
use common::{LIMITS, LOOKUP, backend, classes, started};
use dispatch::backend::{BackendId, Place, Report};
use dispatch::engine::{Arrival, Budgets, Limits};
use dispatch::{Action, Ending, Engine, class};
use rstest::rstest;

const NOW: Time = Time::from_millis(1_000);

/// Creates an engine that sends nothing twice, with five servers of three slots.
fn engine() -> Engine {
    let budgets = Budgets { retry_ratio: 0.0, retry_burst: 0.0, hedge_burst: 0.0, ..Budgets::DEFAULT };
    let specs = classes().into_iter().map(|spec| class::Spec { affinity: true, ..spec }).collect();
    let mut engine = Engine::new(specs, Limits { budgets, ..LIMITS }, 7);
    engine.set_backends((1..=5).map(|id| backend(id, Place::Domain)).collect(), NOW);
    engine
}

/// Sends a request about an object; returns the attempt and its server.
fn send(engine: &mut Engine, request: u64) -> (u64, BackendId) {
    engine.submit(Arrival { object: Some(5), ..Arrival::new(request, LOOKUP, request, 10) }, NOW);
    *started(engine).first().expect("the request is sent at once")
}

/// Sheds an attempt at its server, with a report of its load if there is one; returns when the caller should retry.
fn shed(engine: &mut Engine, (attempt, server): (u64, BackendId), load: Option<u32>) -> Duration {
    if let Some(load) = load {
        engine.record_report(server, Report { load, draining: false, pace: Some(1.0), at: NOW });
    }
    engine.finish(attempt, Ending::Shed, NOW);
    let after = |action| match action {
        Action::Answer { retry_after, .. } => retry_after,
        _ => None,
    };
    engine.take_actions().into_iter().find_map(after).expect("the caller gets a retry time")
}

/// Load: all servers of a service shed half of their requests, however little they have to do. Each object that moves
/// is cold at its new server, which adds work.
#[test]
fn a_server_with_slots_free_keeps_its_objects_when_it_sheds_a_request() {
    let mut engine = engine();
    let first = send(&mut engine, 1);
    shed(&mut engine, first, Some(1));
    assert_eq!(send(&mut engine, 2).1, first.1, "the next request about the object goes there too");
}

/// Load: one server is full, and would shed the next request as well.
#[test]
fn a_full_server_gets_a_short_pause() {
    let mut engine = engine();
    let first = send(&mut engine, 1);
    shed(&mut engine, first, Some(12));
    assert_ne!(send(&mut engine, 2).1, first.1);
}

/// Load: requests shed with slots free, and requests shed for lack of slots. The first may retry at once; the second
/// would all meet the same queue again.
#[rstest]
#[case::free_slot(Some(1), 0, 100)]
#[case::full(Some(12), 300, 800)]
#[case::no_report(None, 300, 800)]
fn callers_come_back_at_once_if_the_server_has_a_free_slot(
    #[case] load: Option<u32>,
    #[case] min: u64,
    #[case] max: u64,
) {
    let mut engine = engine();
    let first = send(&mut engine, 1);
    let after = shed(&mut engine, first, load);
    let (min, max) = (Duration::from_millis(min), Duration::from_millis(max));
    assert!(after >= min && after <= max, "{after:?}");
}
