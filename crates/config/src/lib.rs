//! Daemon settings and the operators' policy: parsing, checking and revisions.

pub mod configs;
pub mod error;
pub mod policy;

pub use error::{Error, Result};
