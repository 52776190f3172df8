//! Detection of a stalled watch.

use std::time::Duration;

use base::time::Time;
use rstest::rstest;
use store::Liveness;

const START: Time = Time::from_millis(10_000);
const GATHER: Duration = Duration::from_millis(100);

const fn after(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// Fault: the store did not answer for a moment while a watch waited. It answers checks again, but never the watch.
#[test]
fn a_check_that_failed_before_one_that_succeeds_shows_a_stalled_watch() {
    let mut liveness = Liveness::new();
    assert!(!liveness.record_answer(5, 5, GATHER, START, START));
    liveness.record_failure();
    liveness.record_failure();
    assert!(liveness.record_answer(5, 5, GATHER, after(2_000), after(2_004)), "whatever the revision");
    assert!(!liveness.record_answer(5, 5, GATHER, after(3_000), after(3_004)), "only once");
}

/// Fault: a middlebox dropped the state of the watch's connection. The store's revision advances, the watch's does not.
#[test]
fn a_revision_that_the_watch_does_not_reach_shows_a_stalled_watch() {
    let mut liveness = Liveness::new();
    assert!(!liveness.record_answer(9, 5, GATHER, START, after(4)), "the change may be in transit");
    let due = liveness.next_deadline().expect("a revision is awaited");
    assert!(!liveness.check_overdue(5, Time::from_micros(due.as_micros() - 1)));
    assert!(liveness.check_overdue(5, due));
    assert!(!liveness.check_overdue(5, due), "only once");
    assert!(due.since(START) <= Duration::from_millis(500), "a change must be in force within two seconds");
}

/// No fault: the store or the network is slow while changes arrive all the time. Restarting the watch would only delay
/// them.
#[rstest]
#[case::usual(4, GATHER)]
#[case::slow(600, GATHER)]
#[case::large_fleet(24, Duration::from_millis(500))]
fn a_watch_that_keeps_up_is_not_restarted(#[case] round_trip_ms: u64, #[case] gather: Duration) {
    let mut liveness = Liveness::new();
    let round_trip = Duration::from_millis(round_trip_ms);
    // A change is known here after a round trip of the watch, the gathering and a round trip of the next watch.
    let lag = round_trip * 2 + gather;
    for step in 0..2_000_u64 {
        let now = after(step * 10);
        let revision = |at: Time| at.since(START).as_millis() as u64 / 50 + 5;
        let known = if now.since(START) > lag { revision(START + now.since(START).saturating_sub(lag)) } else { 5 };
        assert!(!liveness.check_overdue(known, now), "at step {step}");
        if step % 100 == 0 {
            assert!(!liveness.record_answer(revision(now), known, gather, now, now + round_trip), "at step {step}");
        }
    }
}
