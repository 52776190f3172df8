//! Measures on one machine how time and memory grow with the size of a deployment (`docs/CAPACITY.md`).

pub mod dispatching;
pub mod lookups;
pub mod membership;
pub mod policies;
pub mod probe;
