//! A randomized soak: the real programs as processes, faults from outside them, promises checked from what callers
//! and backend servers see.

pub mod caller;
pub mod check;
pub mod error;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod site;

pub use error::{Error, Result};
