//! The operators' command line.

pub mod audit;
pub mod change;
pub mod cli;
pub mod error;
pub mod findings;
pub mod fleet;
pub mod logs;
pub mod verbs;

pub use error::{Error, Result};
