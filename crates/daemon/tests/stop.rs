//! Decisions on callers' connections while the daemon stops: every state of a connection in every phase.

use std::time::Duration;

use base::time::Time;
use daemon::callers::stop::{Demand, Phase, Start, Stop};
use rstest::rstest;

const BEGIN: Time = Time::from_millis(10_000);
const LENGTH: Duration = Duration::from_millis(5_600);

fn at(ms: u64) -> Time {
    BEGIN + Duration::from_millis(ms)
}

/// Returns the stop in `phase`; it closes connections from 2.5 s on.
fn stop(phase: Phase) -> Stop {
    let begun = Stop::begin(LENGTH, BEGIN);
    match phase {
        Phase::Open => Stop::none(),
        Phase::Leaving => begun,
        Phase::Closing => begun.with_closing(at(2_500)),
    }
}

/// Guards against requests that are started so late that the stop cuts them, and against a pipeline that never runs empty
/// and is therefore never told that its connection ends.
#[rstest]
#[case::open(Phase::Open, true, 0, 2_000, Start::Now)]
#[case::open_pipelined(Phase::Open, true, 8, 2_000, Start::Now)]
#[case::open_order(Phase::Open, false, 0, 2_000, Start::Now)]
#[case::open_order_behind_others(Phase::Open, false, 1, 2_000, Start::AfterEarlier)]
#[case::first(Phase::Leaving, true, 0, 2_000, Start::Now)]
#[case::first_order(Phase::Leaving, false, 0, 2_000, Start::Now)]
#[case::pipelined(Phase::Leaving, true, 1, 2_000, Start::Never)]
#[case::order_behind_others(Phase::Leaving, false, 1, 2_000, Start::Never)]
#[case::pipelined_late(Phase::Closing, true, 8, 2_000, Start::Never)]
#[case::too_late_behind_others(Phase::Closing, false, 8, 5_000, Start::Never)]
#[case::late(Phase::Closing, true, 0, 3_400, Start::Now)]
#[case::too_late(Phase::Closing, true, 0, 3_401, Start::Refused)]
#[case::late_order(Phase::Closing, false, 0, 3_400, Start::Now)]
#[case::too_late_order(Phase::Closing, false, 0, 3_401, Start::Refused)]
#[case::long_limit_while_callers_cannot_know(Phase::Leaving, true, 0, 3_401, Start::Now)]
#[case::too_late_order_although_leaving(Phase::Leaving, false, 0, 3_401, Start::Refused)]
fn a_request_is_started_only_if_its_answer_comes_before_the_end(
    #[case] phase: Phase,
    #[case] idempotent: bool,
    #[case] running: usize,
    #[case] now_ms: u64,
    #[case] expected: Start,
) {
    let demand = Demand { idempotent, limit: Duration::from_secs(2) };
    let stop = stop(phase);
    assert_eq!(stop.start(demand, running, at(now_ms)), expected);
    assert_eq!(stop.holds(running), expected == Start::Never, "input is read only if a request of it may start");
}

/// Guards against an end that is announced while later requests of the connection are running, or not at all.
#[rstest]
#[case(Phase::Open, 0, false)]
#[case(Phase::Open, 3, false)]
#[case(Phase::Leaving, 0, true)]
#[case(Phase::Leaving, 1, false)]
#[case(Phase::Closing, 0, true)]
#[case(Phase::Closing, 1, false)]
fn the_reply_to_the_last_running_request_announces_the_end(
    #[case] phase: Phase,
    #[case] running: usize,
    #[case] expected: bool,
) {
    assert_eq!(stop(phase).is_last_reply(running), expected);
}

/// Guards against connections that are closed while a request is on the way, and against some that keep the stop from
/// ending.
#[rstest]
#[case::open(Phase::Open, 0, false, Time::MAX)]
#[case::idle_while_leaving(Phase::Leaving, 0, false, at(5_400))]
#[case::idle(Phase::Closing, 0, false, at(3_000))]
#[case::just_accepted(Phase::Closing, 3_000, false, at(3_500))]
#[case::accepted_at_the_end(Phase::Closing, 5_300, false, at(5_400))]
#[case::part_of_a_request(Phase::Closing, 0, true, at(5_400))]
fn a_connection_without_a_request_is_closed_in_time(
    #[case] phase: Phase,
    #[case] accepted_ms: u64,
    #[case] has_arrived: bool,
    #[case] expected: Time,
) {
    assert_eq!(stop(phase).closes_at(at(accepted_ms), has_arrived), expected);
}

/// Guards against callers that never stop coming and so keep the port open, and the process with it.
#[test]
fn the_port_closes_at_a_time_that_callers_cannot_move() {
    assert_eq!(stop(Phase::Leaving).port_closes_at(), Time::MAX);
    assert_eq!(stop(Phase::Closing).port_closes_at(), at(2_600));
    assert!(!stop(Phase::Closing).is_over(at(5_399)) && stop(Phase::Closing).is_over(at(5_400)));
}

/// A second step of the same stop does not move its times.
#[test]
fn closing_begins_once() {
    let closing = stop(Phase::Closing);
    assert_eq!(closing.with_closing(at(4_000)), closing);
}

/// Load: pipelines of any depth and pace, with work of any length within its limit. From the beginning of the stop on, at
/// most one further request of a connection starts, every request that started is answered before the end, and the last
/// reply announces it.
#[test]
fn no_pipeline_outlasts_a_stop() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let limit = Duration::from_millis(rng.u64(100..5_400));
        let (pace_ms, depth) = (rng.u64(1..600), rng.usize(1..16));
        let mut running: Vec<Time> = Vec::new();
        let (mut started, mut sent_at, mut ended) = (0, BEGIN - Duration::from_secs(2), None);
        let mut now = sent_at;
        while ended.is_none() && now < at(5_600) {
            let stop = match now {
                now if now < BEGIN => Stop::none(),
                now if now < at(2_500) => stop(Phase::Leaving),
                _ => stop(Phase::Closing),
            };
            while !running.is_empty() && running[0] <= now {
                running.remove(0);
                if stop.is_last_reply(running.len()) {
                    ended = Some(now);
                }
            }
            if ended.is_none() && now >= sent_at && running.len() < depth {
                sent_at = now + Duration::from_millis(pace_ms);
                let demand = Demand { idempotent: true, limit };
                match stop.start(demand, running.len(), now) {
                    Start::Now => {
                        let work = limit.mul_f64(rng.f64());
                        let ready = running.last().map_or(now, |before| *before).max(now + work);
                        running.push(ready);
                        started += u32::from(now >= BEGIN);
                    }
                    Start::Refused => ended = Some(now),
                    Start::Never | Start::AfterEarlier => {}
                }
            }
            now = now + Duration::from_millis(1);
        }
        assert!(started <= 1, "seed {seed}: {started} requests started during the stop");
        assert!(running.is_empty(), "seed {seed}: {} requests are cut", running.len());
    }
}
