//! Signs of life.

use std::time::Duration;

use base::stall;
use base::time::Time;

#[test]
fn a_process_that_stood_still_notices_it_once() {
    let mut stall = stall::Detector::new(Time::from_millis(1_000));
    assert_eq!(stall.observe(Time::from_millis(1_900)), None);
    assert_eq!(stall.observe(Time::from_millis(2_900)), None, "each sign counts from the one before");
    assert_eq!(stall.observe(Time::from_millis(7_900)), Some(Duration::from_secs(5)));
    assert_eq!(stall.observe(Time::from_millis(7_901)), None);
    assert_eq!(stall.observe(Time::from_millis(7_000)), None, "an older time, from another thread, is no sign");
}
