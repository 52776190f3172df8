//! Randomized fault injection: runs the real programs as processes, injects faults from outside, and checks the
//! guarantees against what callers and backend servers saw.

pub mod caller;
pub mod check;
pub mod error;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod testbed;

pub use error::{Error, Result};
