//! Parses and checks the daemons' settings and the operators' policy.

pub mod configs;
pub mod error;
pub mod policy;

pub use error::{Error, Result};
