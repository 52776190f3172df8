//! Arrivals at a server with a rate limit.

use std::time::{Duration, Instant};

use fakes::tally::Tally;
use rstest::rstest;

/// Sends requests of one daemon, `interval_ms` apart, for 12 s; each is answered at once with a limit of 1 a second.
fn tally(daemons: usize, interval_ms: u64) -> Tally {
    let (start, mut tally) = (Instant::now(), Tally::default());
    for number in 0..12_000 / interval_ms {
        let at = start + Duration::from_millis(number * interval_ms);
        let daemon = format!("d{}", number as usize % daemons);
        tally.record_arrival(&daemon, Some(1.0), at);
        tally.record_answer(&daemon, at);
    }
    tally
}

/// Allowed are 11 in four seconds: one and a half times four, and five.
#[rstest]
#[case::within(1, 364, false)]
#[case::beyond(1, 330, true)]
#[case::daemons_that_were_not_told(1_200, 10, false)]
fn more_than_the_limit_allows_is_noticed(#[case] daemons: usize, #[case] interval_ms: u64, #[case] exceeded: bool) {
    assert_eq!(tally(daemons, interval_ms).peak().exceeded(), exceeded, "{:?}", tally(daemons, interval_ms).peak());
}
