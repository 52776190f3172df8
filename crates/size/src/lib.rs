//! Measures the slopes behind `docs/CAPACITY.md` on one machine.

pub mod dispatching;
pub mod lookups;
pub mod membership;
pub mod policies;
pub mod probe;
