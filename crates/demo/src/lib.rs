//! A whole deployment on one machine: stand-ins, daemons, load.

pub mod children;
pub mod deployment;
pub mod error;

pub use error::{Error, Result};
