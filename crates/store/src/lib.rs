//! Client of the platform's key-value store: compare-and-swap, leases and watches.
//!
//! A [`Codec`] defines the wire protocol: [`etcd::CODEC`] is in this crate, others are in adapters.

pub mod call;
pub mod changes;
pub mod client;
pub mod codec;
pub mod error;
pub mod etcd;
pub mod key;
pub mod liveness;
pub mod mirror;
pub mod pages;
pub mod wire;

pub use base::version::Version;
pub use call::{Answer, Call, Event, Reply};
pub use changes::Changes;
pub use client::Client;
pub use codec::{Codec, Message};
pub use error::{Error, Result};
pub use liveness::Liveness;
pub use mirror::Mirror;
pub use mirror::{Order, OrderFn};
pub use pages::Pages;

use std::time::Duration;

/// A value with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change of the value; above zero, and increasing with every change in the store.
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
    /// The lease that the key is attached to; `None` for a key that persists.
    pub lease: Option<Lease>,
}

impl Change {
    /// Creates a change that sets `key` to `value` if its revision is `expect`.
    pub fn set(key: &str, expect: u64, value: Vec<u8>) -> Self {
        Self { key: key.to_owned(), expect, value: Some(value), lease: None }
    }

    /// Creates a change that deletes `key` if its revision is `expect`.
    pub fn delete(key: &str, expect: u64) -> Self {
        Self { key: key.to_owned(), expect, value: None, lease: None }
    }

    /// Attaches the key to `lease`.
    #[must_use]
    pub const fn with_lease(mut self, lease: Lease) -> Self {
        self.lease = Some(lease);
        self
    }
}

/// The result of a commit.
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

    /// Applies all `changes` atomically, or none.
    fn commit(&self, changes: &[Change]) -> Result<Commit>;

    /// Creates a lease that ends after `ttl` unless it is renewed; its keys are deleted with it.
    fn grant(&self, ttl: Duration) -> Result<Lease>;

    /// Renews a lease for its full time to live; returns whether it still existed.
    fn renew(&self, lease: Lease) -> Result<bool>;
}
