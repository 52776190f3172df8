//! A bounded buffer of log lines, written out by a thread.
//!
//! Load pattern: thousands of requests a second, each with several lines, beside a change of the policy with a few, and some refusals
//! that tell a caller that its request is wrong. Lines about single requests have a budget of their own, and so have those
//! refusals and the lines that tell where a request is sent, so that they displace no others and are not displaced.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use super::budget::Budget;
use crate::clock::Clock;

/// Maximum number of lines that wait to be written.
const MAX_WAITING: usize = 1_024;

/// Field with the number of lines that were left out before its line.
const LEFT_OUT_FIELD: &str = "lines_left_out";

/// Text of the lines about requests that are refused as wrong.
const REJECTION: &[u8] = b" callers: rejected ";
/// Text of the lines that tell where a request is sent.
const ATTEMPTS: [&[u8]; 2] = [b" dispatch: sent ", b" relay: passed on "];
/// Field of the lines that concern a single request.
const REQUEST_FIELD: &[u8] = b" request=";

/// Lines left out; one count for the process, which has one standard output.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines left out since the start.
pub fn left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// The target that the logging library writes its lines to.
#[derive(Debug)]
pub struct Buffer {
    lines: SyncSender<Vec<u8>>,
    /// Budget of the lines about requests that are refused as wrong.
    rejection_budget: Budget,
    /// Budget of the lines that tell where a request is sent.
    attempt_budget: Budget,
    /// Budget of the other lines about single requests.
    request_budget: Budget,
    /// Budget of all other lines.
    budget: Budget,
    clock: Clock,
}

impl Buffer {
    /// Starts a thread that writes up to `per_second` lines a second about single requests to `out`, as many about those that are
    /// refused as wrong, as many that tell where a request is sent, and as many others.
    pub fn start<W: Write + Send + 'static>(per_second: u32, out: W) -> Self {
        let (lines, waiting) = sync_channel(MAX_WAITING);
        let clock = Clock::new();
        let started = thread::Builder::new().name("logs".to_owned()).spawn(move || write_out(&waiting, out));
        if let Err(error) = started {
            // The receiver was dropped with the thread that did not start, so all lines are left out and counted.
            eprintln!("logs: no lines are written reason={:?}", error.to_string());
        }
        let budget = Budget::new(per_second, clock.now());
        let [rejection_budget, attempt_budget, request_budget] = std::array::from_fn(|_| budget.clone());
        Self { lines, rejection_budget, attempt_budget, request_budget, budget, clock }
    }
}

impl Write for Buffer {
    /// Buffers one line, or leaves it out if the budget is spent or the buffer full; never blocks.
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let budget = if contains(buf, REJECTION) {
            &mut self.rejection_budget
        } else if ATTEMPTS.iter().any(|text| contains(buf, text)) {
            &mut self.attempt_budget
        } else if contains(buf, REQUEST_FIELD) {
            &mut self.request_budget
        } else {
            &mut self.budget
        };
        if let Some(left_out) = budget.pass(self.clock.now()) {
            let mut text = buf.to_vec();
            if left_out > 0 {
                text.truncate(text.trim_ascii_end().len());
                text.extend_from_slice(format!(" {LEFT_OUT_FIELD}={left_out}\n").as_bytes());
            }
            if self.lines.try_send(text).is_err() {
                budget.record_lost(left_out + 1);
                LEFT_OUT.fetch_add(1, Ordering::Relaxed);
            }
        } else {
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn contains(line: &[u8], text: &[u8]) -> bool {
    line.windows(text.len()).any(|window| window == text)
}

/// Writes lines to `out` until the buffer is dropped or a write fails.
fn write_out<W: Write>(waiting: &Receiver<Vec<u8>>, mut out: W) {
    while let Ok(line) = waiting.recv() {
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
