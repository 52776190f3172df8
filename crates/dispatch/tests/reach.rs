//! Whether a daemon takes the loss of its own path to servers for a fault of the servers, or the other way round.

use std::time::Duration;

use base::time::Time;
use dispatch::reach::{Change, Reach};
use rstest::rstest;

const START: Time = Time::from_millis(10_000);

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

/// Returns a daemon that has failed to reach three servers in a row, which calls for a trial.
fn suspected() -> Reach {
    let mut reach = Reach::new();
    assert!(!reach.record_failure(1, after(0)));
    assert!(!reach.record_failure(1, after(10)), "one server that fails twice shows nothing");
    assert!(!reach.record_failure(2, after(300)));
    assert!(reach.record_failure(3, after(600)));
    reach
}

/// Fault: the daemon's links to all servers are down.
#[test]
fn a_path_is_lost_only_if_a_trial_reaches_nobody() {
    let mut reach = suspected();
    assert!(reach.is_suspected() && !reach.is_lost());
    reach.begin_trial(after(600));
    assert_eq!(reach.finish_trial(false, after(900)), Some(Change::Lost));
    assert_eq!((reach.is_lost(), reach.lost_since()), (true, Some(after(0))));
    assert!(!reach.is_trial_due(after(1_000)) && reach.is_trial_due(after(1_100)));
    reach.begin_trial(after(1_100));
    assert_eq!(reach.finish_trial(false, after(1_400)), None);
    assert_eq!(reach.finish_trial(true, after(2_000)), Some(Change::Restored));
    assert!(!reach.is_lost() && !reach.is_suspected() && !reach.is_trial_due(after(9_000)));
}

/// Fault: several servers die at the same time; others live.
#[test]
fn dead_servers_are_not_taken_for_a_lost_path() {
    let mut reach = suspected();
    reach.begin_trial(after(600));
    assert_eq!(reach.finish_trial(true, after(610)), None);
    assert!(!reach.is_lost() && !reach.is_suspected());
    assert!(!reach.record_failure(4, after(700)), "failures count anew");
}

/// No fault: servers fail now and then, and others are reached in between.
#[rstest]
#[case::reached_in_between(true, 100)]
#[case::far_apart(false, 2_500)]
fn failures_that_are_not_in_a_row_call_for_no_trial(#[case] connects: bool, #[case] gap_ms: u64) {
    let mut reach = Reach::new();
    for server in 0..20 {
        assert!(!reach.record_failure(server, after(u64::from(server) * gap_ms)));
        if connects && server % 2 == 1 {
            reach.record_connected();
        }
    }
}

/// Load: each daemon sends a dozen requests a second, and its links to all servers are down from the start: connections
/// fail after 300 ms, or at once. The loss is known well before the callers of a cut-off instance are judged.
#[rstest]
#[case::silent(300)]
#[case::refused(1)]
fn a_lost_path_is_known_within_a_second(#[case] failure_ms: u64) {
    for seed in 0..1_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut reach = Reach::new();
        let mut sent = 0;
        let lost = loop {
            sent += rng.u64(10..150);
            let failed = after(sent + failure_ms);
            if reach.record_failure(rng.u32(0..28), failed) {
                reach.begin_trial(failed);
                assert_eq!(reach.finish_trial(false, failed + Duration::from_millis(failure_ms)), Some(Change::Lost));
                break failed + Duration::from_millis(failure_ms);
            }
        };
        assert!(lost.since(START) < Duration::from_millis(1_500), "seed {seed}: {:?}", lost.since(START));
    }
}
