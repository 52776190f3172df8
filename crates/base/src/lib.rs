//! Vocabulary shared by every crate: time, error kinds, hashing and small units.

pub mod error;
pub mod hash;
pub mod instance;
pub mod rate;
pub mod stall;
pub mod time;
