//! Whether a watch still hears anything.

use std::time::Duration;

use base::time::Time;
use rstest::rstest;
use store::Liveness;

const START: Time = Time::from_millis(10_000);
const GATHER: Duration = Duration::from_millis(100);

const fn after(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// Fault: the store was silent for a moment while a watch waited; it answers checks again, and the watch never.
#[test]
fn a_check_that_failed_and_then_came_back_shows_a_stalled_watch() {
    let mut liveness = Liveness::new();
    assert!(!liveness.record_answer(5, 5, GATHER, START, START));
    liveness.record_failure();
    liveness.record_failure();
    assert!(liveness.record_answer(5, 5, GATHER, after(2_000), after(2_004)), "whatever the revision is");
    assert!(!liveness.record_answer(5, 5, GATHER, after(3_000), after(3_004)), "and once only");
}

/// Fault: something between forgot the watch's connection. The store's revision moves on, the watch's does not.
#[test]
fn a_revision_that_the_watch_does_not_reach_shows_a_stalled_watch() {
    let mut liveness = Liveness::new();
    assert!(!liveness.record_answer(9, 5, GATHER, START, after(4)), "the change may be on its way");
    let due = liveness.next_deadline().expect("there is something to wait for");
    assert!(!liveness.check_overdue(5, Time::from_micros(due.as_micros() - 1)));
    assert!(liveness.check_overdue(5, due));
    assert!(!liveness.check_overdue(5, due), "once only");
    assert!(due.since(START) <= Duration::from_millis(500), "a change must be in force within two seconds");
}

/// No fault: changes come all the time, and the store or the way to it is slow. Asking anew would only lose time.
#[rstest]
#[case::usual(4, GATHER)]
#[case::slow(600, GATHER)]
#[case::large_fleet(24, Duration::from_millis(500))]
fn a_watch_that_keeps_up_is_left_alone(#[case] way_ms: u64, #[case] gather: Duration) {
    let mut liveness = Liveness::new();
    let way = Duration::from_millis(way_ms);
    // Each change is known here after the watch's way, the gathering and the next watch's way.
    let lag = way * 2 + gather;
    for step in 0..2_000_u64 {
        let now = after(step * 10);
        let revision = |at: Time| at.since(START).as_millis() as u64 / 50 + 5;
        let known = if now.since(START) > lag { revision(START + now.since(START).saturating_sub(lag)) } else { 5 };
        assert!(!liveness.check_overdue(known, now), "at step {step}");
        if step % 100 == 0 {
            assert!(!liveness.record_answer(revision(now), known, gather, now, now + way), "at step {step}");
        }
    }
}
