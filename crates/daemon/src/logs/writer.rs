//! A bounded buffer of lines that a thread writes out.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use super::budget::Budget;
use crate::clock::Clock;

/// Lines that wait to be written at most.
const WAITING: usize = 1_024;

/// Field of the next line that passes: how many were left out before it.
const LEFT_OUT_FIELD: &str = "lines_left_out";

/// Lines left out by this process: it has one standard output.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Lines left out since the start.
pub fn left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// Where the logging library writes its lines.
#[derive(Debug)]
pub struct Buffer {
    lines: SyncSender<Vec<u8>>,
    budget: Budget,
    clock: Clock,
}

impl Buffer {
    /// A buffer that passes `per_second` lines a second on to `out`.
    pub fn start<W: Write + Send + 'static>(per_second: u32, out: W) -> Self {
        let (lines, waiting) = sync_channel(WAITING);
        let clock = Clock::new();
        let started = thread::Builder::new().name("logs".to_owned()).spawn(move || empty(&waiting, out));
        if let Err(error) = started {
            // The receiver is gone with the thread that did not start: lines are dropped and counted.
            eprintln!("logs: no lines are written reason={:?}", error.to_string());
        }
        Self { lines, budget: Budget::new(per_second, clock.now()), clock }
    }
}

impl Write for Buffer {
    /// Takes one line; it is left out rather than waited with.
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if let Some(left_out) = self.budget.pass(self.clock.now()) {
            let mut text = buf.to_vec();
            if left_out > 0 {
                text.truncate(text.trim_ascii_end().len());
                text.extend_from_slice(format!(" {LEFT_OUT_FIELD}={left_out}\n").as_bytes());
            }
            if self.lines.try_send(text).is_err() {
                self.budget.record_lost(left_out + 1);
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

fn empty<W: Write>(waiting: &Receiver<Vec<u8>>, mut out: W) {
    while let Ok(line) = waiting.recv() {
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
