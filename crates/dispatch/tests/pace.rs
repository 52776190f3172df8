//! Servers that start or recover: neither flooded nor idle. Each daemon sets its own pace by its own answers.

use std::time::Duration;

use base::time::Time;
use dispatch::backend::pace::Pace;
use fastrand::Rng;
use rstest::rstest;

const START: Time = Time::from_millis(10_000);
const TICK: Duration = Duration::from_millis(20);
/// Time in which a weak server may fall over.
const WEAK_TIME: Duration = Duration::from_secs(4);
/// Time for which it is then away.
const DOWN_TIME: Duration = Duration::from_secs(1);

/// A server by what it can do, in multiples of its fair part of the work.
#[derive(Debug, Clone, Copy)]
struct Server {
    /// Work that it can do at full speed.
    capacity: f64,
    /// Time in which it reaches that.
    warm_up: Duration,
    /// Work above which it falls over in its first seconds; nobody states it.
    falls_over_at: f64,
}

/// What the daemons gave a server.
#[derive(Debug, Default)]
struct Outcome {
    /// Work given in each tick, in multiples of its fair part.
    given: Vec<f64>,
    /// Times that it fell over.
    fell_over: u32,
}

impl Outcome {
    /// The work given from `from` to `to` after the start.
    fn mean(&self, from: Duration, to: Duration) -> f64 {
        let tick = |time: Duration| (time.as_millis() / TICK.as_millis()) as usize;
        let part = &self.given[tick(from)..tick(to)];
        part.iter().sum::<f64>() / part.len() as f64
    }
}

/// Lets `daemons` daemons, which learn of the server at different times, share out its work for six seconds. Each sees only the
/// answers to its own requests, `per_second` of them in its fair part over all daemons.
fn run(server: Server, daemons: usize, per_second: f64, seed: u64) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let known_at: Vec<Time> = (0..daemons).map(|_| START + Duration::from_millis(rng.u64(..800))).collect();
    let mut paces: Vec<Pace> = known_at.iter().map(|at| Pace::from_start(*at)).collect();
    let mut outcome = Outcome::default();
    let mut backlog: f64 = 0.0;
    let mut now = START;
    let mut down_until = Time::ZERO;
    while now < START + Duration::from_secs(6) {
        now = now + TICK;
        let given =
            (0..daemons).filter(|index| now >= known_at[*index]).map(|index| paces[index].part(now)).sum::<f64>();
        let given = given / daemons as f64;
        outcome.given.push(given);
        let warm = (now.since(START).as_secs_f64() / server.warm_up.as_secs_f64().max(1e-3)).min(1.0);
        let capacity = server.capacity * (0.3 + 0.7 * warm);
        backlog = (backlog + (given - capacity) * TICK.as_secs_f64()).max(0.0);
        let is_weak = now < START + WEAK_TIME;
        if is_weak && now >= down_until && given > server.falls_over_at {
            outcome.fell_over += 1;
            down_until = now + DOWN_TIME;
        }
        let is_down = now < down_until;
        // The usual work takes a fifth of a second; what waits before it comes on top.
        let ratio = 1.0 + backlog / capacity / 0.2;
        for pace in &mut paces {
            let requests = pace.part(now) * per_second / daemons as f64 * TICK.as_secs_f64();
            if rng.f64() < requests {
                if is_down { pace.record_failure(now) } else { pace.record_answer(ratio, now) }
            }
        }
    }
    outcome
}

/// Load: a server that is well at once, and one that needs a second to warm up. Left idle, its part is missing elsewhere.
#[rstest]
fn a_sound_server_has_its_part_three_seconds_after_it_can_do_it(
    #[values(0, 1_000)] warm_up_ms: u64,
    #[values(7, 125)] daemons: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let server = Server { capacity: 1.6, warm_up: Duration::from_millis(warm_up_ms), falls_over_at: f64::MAX };
    let outcome = run(server, daemons, 12.0, seed);
    let able = Duration::from_millis(warm_up_ms + 3_000);
    let part = outcome.mean(able, able + Duration::from_secs(1));
    assert!(part >= 0.8, "{part} of its fair part");
}

/// Load: a server half as fast as the others, so that its usual part is too much. It gets less while it falls behind.
#[rstest]
fn a_server_that_is_half_as_fast_is_not_flooded_at_its_start(
    #[values(7, 125)] daemons: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let server = Server { capacity: 0.5, warm_up: Duration::from_millis(500), falls_over_at: f64::MAX };
    let outcome = run(server, daemons, 12.0, seed);
    let first = outcome.mean(Duration::ZERO, Duration::from_secs(2));
    assert!(first <= 0.5, "{first} of a fair part in the first two seconds");
}

/// Load: a server that falls over above a rate that nobody states, in its first four seconds. With all of its work it would fall
/// over as soon as it is back, four times in that time.
#[rstest]
fn a_server_that_falls_over_is_left_to_recover(#[values(7, 34, 125)] daemons: usize, #[values(1, 2, 3)] seed: u64) {
    let server = Server { capacity: 1.6, warm_up: Duration::from_millis(500), falls_over_at: 0.6 };
    let outcome = run(server, daemons, 40.0, seed);
    assert!(outcome.fell_over <= 2, "it fell over {} times", outcome.fell_over);
    let given = outcome.mean(Duration::from_secs(5), Duration::from_secs(6));
    assert!(given >= 0.5, "{given} of its fair part once it is sound");
}

/// Guards against a pace that rises on answers to requests from before it fell, and against one that limits sound servers.
#[test]
fn the_pace_falls_once_for_requests_of_the_same_time() {
    let mut pace = Pace::from_start(START);
    let now = START + Duration::from_secs(2);
    let before = pace.part(now);
    (0..5).for_each(|_| pace.record_failure(now));
    assert!((pace.part(now) - before / 2.0).abs() < 1e-9, "{} after {before}", pace.part(now));
    pace.record_answer(1.0, now + Duration::from_millis(100));
    assert!((pace.part(now + Duration::from_millis(400)) - before / 2.0).abs() < 1e-9, "it is held for a moment");
    let mut full = Pace::FULL;
    full.record_failure(now);
    assert!((full.part(now) - 1.0).abs() < 1e-9);
}
