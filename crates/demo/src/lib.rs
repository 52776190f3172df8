//! Runs a whole deployment on one machine: stand-ins for the platform, backend servers, and daemons.

pub mod children;
pub mod deployment;
pub mod error;

pub use error::{Error, Result};
