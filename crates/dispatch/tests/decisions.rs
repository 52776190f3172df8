//! Decisions that the engine records for logs.

mod common;

use std::time::Duration;

use base::error::Kind;
use base::time::Time;
use common::{LIMITS, LOOKUP, backend, classes};
use dispatch::backend::Place;
use dispatch::engine::{Arrival, Decision};
use dispatch::{Action, Ending, Engine, class};

const START: Time = Time::from_millis(1_000);
/// Half of the class's deadline.
const TARGET: Duration = Duration::from_millis(500);

fn engine(servers: u32, affinity: bool) -> Engine {
    let specs = classes().into_iter().map(|spec| class::Spec { affinity, target: TARGET, ..spec }).collect();
    let mut engine = Engine::new(specs, LIMITS, 7);
    engine.set_backends((1..=servers).map(|id| backend(id, Place::Region)).collect(), START);
    engine
}

/// Attempts started since the last call.
fn started(engine: &mut Engine) -> Vec<u64> {
    let attempt = |action| if let Action::Start { attempt, .. } = action { Some(attempt) } else { None };
    engine.take_actions().into_iter().filter_map(attempt).collect()
}

fn submit(engine: &mut Engine, request: u64, fingerprint: u64, now: Time) {
    let arrival = Arrival { object: Some(5), ..Arrival::new(request, LOOKUP, fingerprint, 10) };
    engine.submit(arrival, now);
}

#[test]
fn a_request_that_waits_and_is_refused_is_recorded_with_its_candidates() {
    let mut engine = engine(1, true);
    (1..=9).for_each(|request| submit(&mut engine, request, request, START));
    let held: Vec<Decision> = engine.take_decisions();
    let Some(Decision::Held { request, waiting, candidates }) = held.first() else { panic!("none is held: {held:?}") };
    assert_eq!((*request, *waiting), (3, 1), "a server without a report gets two requests as primary home");
    let candidate = candidates[0].expect("the only server is considered");
    assert_eq!((candidate.backend, candidate.load >= 1.0), (1, true));
    assert!(candidate.expected_latency > Duration::ZERO);
    let later = START + TARGET;
    engine.tick(later);
    let refused = engine.take_decisions().into_iter().find_map(|decision| match decision {
        Decision::Refused { request: 3, kind, waited, attempts, .. } => Some((kind, waited, attempts)),
        _ => None,
    });
    assert_eq!(refused, Some((Kind::WontFinish, TARGET, 0)));
}

#[test]
fn an_ejection_and_the_reinstatement_are_recorded() {
    let mut engine = engine(1, false);
    submit(&mut engine, 1, 1, START);
    let first = started(&mut engine);
    engine.finish(first[0], Ending::Unreachable, START);
    let decisions = engine.take_decisions();
    let until = decisions.iter().find_map(|decision| match decision {
        Decision::Ejected { backend: 1, until, .. } => Some(*until),
        _ => None,
    });
    let until = until.expect("it is ejected");
    assert!(until > START);
    submit(&mut engine, 2, 2, until);
    let second = started(&mut engine);
    engine.finish(second[0], Ending::Answered(1), until);
    assert!(engine.take_decisions().contains(&Decision::Reinstated { backend: 1 }));
}

#[test]
fn a_fingerprint_is_recorded_once_when_it_is_quarantined() {
    let mut engine = engine(4, false);
    engine.merge_losses(&[(99, 1)], START);
    assert!(engine.take_decisions().is_empty());
    engine.merge_losses(&[(99, 2), (99, 3)], START);
    assert_eq!(engine.take_decisions(), [Decision::Quarantined { fingerprint: 99 }]);
}
