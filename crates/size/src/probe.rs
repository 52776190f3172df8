//! Measures time and memory, and prints results.

use std::fs;
use std::hint::black_box;
use std::time::Instant;

/// Returns the nanoseconds that one call of `work` takes: the median of five rounds of `calls` calls.
pub fn nanos<T>(calls: u32, mut work: impl FnMut(u32) -> T) -> f64 {
    let mut rounds: Vec<f64> = (0..5)
        .map(|_| {
            let start = Instant::now();
            for call in 0..calls {
                black_box(work(call));
            }
            start.elapsed().as_nanos() as f64 / f64::from(calls)
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds[2]
}

/// Returns the resident memory of the process, in bytes; zero if it cannot be read.
pub fn resident() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = text.split_whitespace().nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Prints one result: what was measured, at which size, the figure and its unit.
pub fn line(what: &str, size: impl std::fmt::Display, figure: f64, unit: &str) {
    println!("{what:<44} {size:>12} {figure:>14.1} {unit}");
}
