//! Calls to the store and their replies, in the product's own terms.

use std::time::Duration;

use crate::{Change, Entry, Lease};

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads one key.
    Read(String),
    /// Reads the keys that start with `prefix`, in order.
    List {
        /// Start of the keys.
        prefix: String,
        /// The page begins behind this key; empty for the first page.
        after: String,
        /// Whether an answer that is some seconds old will do: it is cheaper and not counted towards the rate.
        stale: bool,
    },
    /// Waits for changes of the keys that start with `prefix`.
    Watch {
        /// Start of the keys.
        prefix: String,
        /// Changes after this revision.
        after: u64,
        /// Longest wait for the first change.
        wait: Duration,
    },
    /// Makes all changes or none.
    Commit(Vec<Change>),
    /// Makes a lease.
    Grant(Duration),
    /// Renews a lease.
    Renew(Lease),
    /// Ends a lease; its keys go with it.
    Revoke(Lease),
}

impl Call {
    /// Short name, for logs and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Read(_) => "read",
            Self::List { .. } => "list",
            Self::Watch { .. } => "watch",
            Self::Commit(_) => "commit",
            Self::Grant(_) => "grant",
            Self::Renew(_) => "renew",
            Self::Revoke(_) => "end",
        }
    }
}

/// One change that a watch tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A key was written.
    Put(Entry),
    /// A key was deleted, or went with its lease, at this revision.
    Delete(String, u64),
}

/// What a call gives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The key that was read, if it is there.
    Entry(Option<Entry>),
    /// A page of keys.
    Page {
        /// The keys.
        entries: Vec<Entry>,
        /// Whether more keys follow.
        more: bool,
        /// Revision of the store when the page was made.
        revision: u64,
    },
    /// Changes, in order.
    Events {
        /// The changes; none if none came in time.
        events: Vec<Event>,
        /// Watch on after this revision.
        revision: u64,
    },
    /// The changes after the revision asked for are not known any more.
    Compacted,
    /// The commit took effect at this revision.
    Done(u64),
    /// An expected revision did not match, or the lease is gone; nothing took effect.
    Conflict,
    /// A lease that was made.
    Lease(Lease),
    /// Whether the lease was still there.
    Renewed(bool),
}
