//! Client accounts: which account a caller's key belongs to.
//!
//! A key is only ever kept as its digest, so that it appears in no policy, log, metric or message between daemons. This
//! crate does no I/O.

pub mod directory;
pub mod key;

pub use directory::Directory;
