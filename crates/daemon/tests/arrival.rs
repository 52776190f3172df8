//! Arrival times of requests that are parsed later than they arrived.

use std::time::Duration;

use base::time::Time;
use daemon::callers::arrival::Arrivals;

const START: Time = Time::from_millis(10_000);

fn at(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

/// Load: requests of any sizes arrive in reads of any sizes, and are parsed any time later. None counts as arrived later
/// than its last byte, nor earlier than that by more than the resolution.
#[test]
fn a_request_arrived_with_its_last_byte() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut arrivals = Arrivals::new();
        // When each byte arrived that was not parsed yet.
        let mut bytes: Vec<Time> = Vec::new();
        let mut now = START;
        for _ in 0..200 {
            now = now + Duration::from_millis(rng.u64(0..60));
            let read = rng.usize(1..300);
            arrivals.record(read, now);
            bytes.extend(std::iter::repeat_n(now, read));
            while rng.bool() && !bytes.is_empty() {
                let request = rng.usize(1..=bytes.len());
                let last = bytes[request - 1];
                bytes.drain(..request);
                let arrived = arrivals.take(bytes.len(), now);
                assert!(arrived <= last && last.since(arrived) < Duration::from_millis(20), "seed {seed}");
            }
        }
    }
}

#[test]
fn a_connection_without_input_has_no_arrivals() {
    assert_eq!(Arrivals::new().take(0, at(5)), at(5));
}
