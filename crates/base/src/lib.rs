//! Basic types shared by all crates: time, error kinds, hashing, rate limits and listed instances.

pub mod error;
pub mod hash;
pub mod instance;
pub mod rate;
pub mod stall;
pub mod time;
pub mod version;
