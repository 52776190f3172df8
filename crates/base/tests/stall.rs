//! Detection of stalls of the process.

use std::time::Duration;

use base::stall;
use base::time::Time;

#[test]
fn a_stall_is_detected_once() {
    let mut detector = stall::Detector::new(Time::from_millis(1_000));
    assert_eq!(detector.observe(Time::from_millis(1_900)), None);
    assert_eq!(detector.observe(Time::from_millis(2_900)), None, "each observation counts from the one before");
    assert_eq!(detector.observe(Time::from_millis(7_900)), Some(Duration::from_secs(5)));
    assert_eq!(detector.observe(Time::from_millis(7_901)), None);
    assert_eq!(detector.observe(Time::from_millis(7_000)), None, "an older time, from another thread, is ignored");
}
