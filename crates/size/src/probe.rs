//! Time and memory of a piece of work.

use std::fs;
use std::hint::black_box;
use std::time::Instant;

/// Nanoseconds that one call of `work` takes, as the median of five rounds of `calls` calls.
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

/// Memory that the process holds, in bytes.
pub fn resident() -> u64 {
    const PAGE: u64 = 4_096;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = text.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    pages.unwrap_or(0) * PAGE
}

/// Prints one measured line.
pub fn line(what: &str, size: impl std::fmt::Display, figure: f64, unit: &str) {
    println!("{what:<44} {size:>12} {figure:>14.1} {unit}");
}
