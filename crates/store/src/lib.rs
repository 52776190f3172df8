//! Client of the platform's key-value store: compare-and-swap, leases and watches.
//!
//! What a call looks like on the wire is a [`Codec`]: [`etcd::CODEC`] here, others in adapters.

pub mod call;
pub mod changes;
pub mod client;
pub mod codec;
pub mod error;
pub mod etcd;
pub mod key;
pub mod liveness;
pub mod mirror;
pub mod wire;

pub use call::{Call, Event, Reply};
pub use changes::Changes;
pub use client::Client;
pub use codec::{Codec, Message};
pub use error::{Error, Result};
pub use liveness::Liveness;
pub use mirror::Mirror;

use std::time::Duration;

/// A value with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change of the value; above zero and rising over the whole store.
    pub revision: u64,
}

/// A lease of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lease(pub u64);

/// One change of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The revision the key must have; zero if it must be absent.
    pub expect: u64,
    /// The new value; `None` deletes the key.
    pub value: Option<Vec<u8>>,
    /// The lease that the new value hangs on.
    pub lease: Option<Lease>,
}

impl Change {
    /// Sets `key` to `value` if its revision is `expect`.
    pub fn set(key: &str, expect: u64, value: Vec<u8>) -> Self {
        Self { key: key.to_owned(), expect, value: Some(value), lease: None }
    }

    /// Deletes `key` if its revision is `expect`.
    pub fn delete(key: &str, expect: u64) -> Self {
        Self { key: key.to_owned(), expect, value: None, lease: None }
    }

    /// Hangs the new value on `lease`.
    #[must_use]
    pub const fn with_lease(mut self, lease: Lease) -> Self {
        self.lease = Some(lease);
        self
    }
}

/// What became of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// All changes took effect at this revision.
    Done(u64),
    /// An expected revision did not match; nothing took effect.
    Conflict,
}

/// The platform's key-value store.
pub trait Store: Send + Sync {
    /// Reads one key.
    fn read(&self, key: &str) -> Result<Option<Entry>>;

    /// Reads all keys that start with `prefix`, in order.
    fn list(&self, prefix: &str) -> Result<Vec<Entry>>;

    /// Makes all `changes` or none.
    fn commit(&self, changes: &[Change]) -> Result<Commit>;

    /// Makes a lease that ends after `ttl` unless renewed; its keys go with it.
    fn grant(&self, ttl: Duration) -> Result<Lease>;

    /// Renews a lease for its time from now; says whether it was still there.
    fn renew(&self, lease: Lease) -> Result<bool>;
}
