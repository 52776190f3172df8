//! What the daemon's machine has, as far as the platform tells.

use serde::{Deserialize, Serialize};

use super::{check_float, check_range};
use crate::error::Result;

/// Processor time of one request, in seconds.
const REQUEST_PROCESSOR_S: f64 = 0.0005;
/// Bytes of one request and its answer, in each direction of the link.
const REQUEST_BYTES: f64 = 8_000.0;
/// Bytes per second in one megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Requests per second of a machine of which nothing is known.
const UNKNOWN_CAPACITY: u32 = 1_000;

/// The machine. Zero stands for a value that is not known.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Machine {
    /// Fraction of a processor's time that the daemon may use.
    pub processor_share: f64,
    /// How many times as fast as a usual one the processor is.
    pub processor_speed: f64,
    /// Memory that the daemon may use, in megabytes.
    pub memory_mb: u64,
    /// File descriptors that the daemon may use.
    pub descriptors: u64,
    /// Speed of the machine's link in each direction, in megabits per second.
    pub link_mbit: f64,
}

impl Machine {
    /// Returns the requests per second that the machine can carry, as a weight among others: what its processor and its link
    /// allow, whichever is less.
    pub fn capacity(&self) -> u32 {
        let speed = if self.processor_speed > 0.0 { self.processor_speed } else { 1.0 };
        let by_processor = self.processor_share * speed / REQUEST_PROCESSOR_S;
        let by_link = self.link_mbit * BYTES_PER_MBIT / REQUEST_BYTES;
        let known = [by_processor, by_link].into_iter().filter(|limit| *limit > 0.0);
        known.min_by(f64::total_cmp).map_or(UNKNOWN_CAPACITY, |limit| (limit as u32).max(1))
    }

    /// Returns the memory in bytes; zero if it is not known.
    pub const fn memory_bytes(&self) -> u64 {
        self.memory_mb << 20
    }

    pub(super) fn check(&self, name: &str) -> Result<()> {
        check_float(name, "machine.processor_share", self.processor_share, 1_024.0)?;
        check_float(name, "machine.processor_speed", self.processor_speed, 1_024.0)?;
        check_float(name, "machine.link_mbit", self.link_mbit, 1e6)?;
        check_range(name, "machine.memory_mb", self.memory_mb, 0, 1 << 24)?;
        check_range(name, "machine.descriptors", self.descriptors, 0, 1 << 24)
    }
}
