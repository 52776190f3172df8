//! When the bytes of a connection arrived.
//!
//! Load pattern: callers send further requests behind one that runs for seconds. These are parsed once they may start, and
//! their deadlines count from their arrival.

use std::collections::VecDeque;
use std::time::Duration;

use base::time::Time;

/// Bytes that arrive within this time of each other count as arrived with the first of them.
const RESOLUTION: Duration = Duration::from_millis(20);

/// Arrival times of the bytes that were read from a connection and not taken yet.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Number of bytes that had been read by each time, in order.
    marks: VecDeque<(u64, Time)>,
    /// Number of bytes read so far.
    read: u64,
}

impl Arrivals {
    /// Creates the state of a new connection.
    pub const fn new() -> Self {
        Self { marks: VecDeque::new(), read: 0 }
    }

    /// Records that `bytes` bytes were read at `now`.
    pub fn record(&mut self, bytes: usize, now: Time) {
        self.read += bytes as u64;
        match self.marks.back_mut() {
            Some((read, at)) if now.since(*at) < RESOLUTION => *read = self.read,
            _ => self.marks.push_back((self.read, now)),
        }
    }

    /// Takes all bytes but the last `unparsed` ones, and returns when the last of them arrived; `now` if none were read.
    pub fn take(&mut self, unparsed: usize, now: Time) -> Time {
        let taken = self.read.saturating_sub(unparsed as u64);
        while self.marks.front().is_some_and(|(read, _)| *read < taken) {
            self.marks.pop_front();
        }
        self.marks.front().map_or(now, |(_, at)| *at)
    }
}
