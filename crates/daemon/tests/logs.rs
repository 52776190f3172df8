//! Bounds on the volume of logs, and a reader that reads nothing.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use base::time::Time;
use daemon::logs::{Budget, Buffer, left_out};

#[test]
fn a_budget_passes_its_lines_a_second_and_counts_the_others() {
    let start = Time::from_millis(1_000);
    let mut budget = Budget::new(100, start);
    let passed = |budget: &mut Budget, at: Time| (0..1_000).filter_map(|_| budget.pass(at)).collect::<Vec<u64>>();
    assert_eq!(passed(&mut budget, start), vec![0; 200], "two seconds' worth at once");
    let later = passed(&mut budget, Time::from_millis(2_000));
    assert_eq!(later.len(), 100);
    assert_eq!(later[0], 800, "the next line tells how many were left out");
}

/// Load: ten times the budget for two seconds. A line on what is missing before each that passes would take half of it.
#[test]
fn few_lines_tell_how_many_were_left_out() {
    let start = Time::from_millis(1_000);
    let mut budget = Budget::new(100, start);
    (0..200).for_each(|_| assert_eq!(budget.pass(start), Some(0)));
    let passed: Vec<u64> = (0..2_000).filter_map(|ms| budget.pass(start + Duration::from_millis(ms))).collect();
    assert!(passed.len() >= 180, "{} of 200 lines passed", passed.len());
    let telling = passed.iter().filter(|left_out| **left_out > 0).count();
    assert!(telling <= 20, "{telling} of {} lines tell of others", passed.len());
    let last = budget.pass(start + Duration::from_secs(10)).expect("there is room again");
    assert_eq!(passed.iter().sum::<u64>() + passed.len() as u64 + last, 2_000, "none is forgotten");
}

/// A standard output whose reader never reads: each write waits until the test ends.
struct Stuck {
    begun: Sender<()>,
    ends: Receiver<()>,
}

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.begun.send(()).expect("the test listens");
        assert!(self.ends.recv().is_err(), "nothing is ever sent");
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_reads_nothing_holds_nobody_up() {
    let (begun, writing) = channel();
    let (end, ends) = channel::<()>();
    let mut buffer = Buffer::start(1_000_000, Stuck { begun, ends });
    buffer.write_all(b"first\n").expect("lines are always taken");
    writing.recv().expect("the line is being written");
    // More lines than wait at most; were one waited for, this would not end, since the first is still being written.
    let before = left_out();
    (0..5_000).for_each(|_| buffer.write_all(b"line\n").expect("lines are always taken"));
    assert!(left_out() - before >= 5_000 - 2_000, "lines beyond the buffer are left out and counted");
    drop(end);
}
