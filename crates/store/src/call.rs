//! Calls to the store and their replies, independent of the wire format.

use std::time::Duration;

use crate::{Change, Entry, Lease};

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads one key.
    Read(String),
    /// Reads the keys that start with `prefix`, in order.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// The page begins after this key; empty for the first page.
        after: String,
        /// Whether an answer that is some seconds old is acceptable: it is cheaper and not rate limited.
        stale: bool,
    },
    /// Waits for changes of the keys that start with `prefix`.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Only changes after this revision are returned.
        after: u64,
        /// Longest wait for the first change.
        wait: Duration,
    },
    /// Applies all changes atomically, or none.
    Commit(Vec<Change>),
    /// Creates a lease with this time to live.
    Grant(Duration),
    /// Renews a lease.
    Renew(Lease),
    /// Revokes a lease; its keys are deleted.
    Revoke(Lease),
}

impl Call {
    /// Returns the short name of the call, for logs and metrics.
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

/// One change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A key was written.
    Put(Entry),
    /// A key was deleted, or its lease ended, at this revision.
    Delete(String, u64),
}

impl Event {
    /// Returns the revision of the change.
    pub const fn revision(&self) -> u64 {
        match self {
            Self::Put(entry) => entry.revision,
            Self::Delete(_, revision) => *revision,
        }
    }
}

/// A reply with the store's era that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The era; zero for a store that names none.
    pub era: u64,
    /// What the store replied to the call.
    pub reply: Reply,
}

/// The reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The key that was read; `None` if it does not exist.
    Entry(Option<Entry>),
    /// A page of keys.
    Page {
        /// The keys.
        entries: Vec<Entry>,
        /// Whether more keys follow.
        more: bool,
        /// Revision of the store when the page was read.
        revision: u64,
    },
    /// Changes, in order.
    Events {
        /// The changes; empty if there were none within the wait.
        events: Vec<Event>,
        /// Revision after which the next watch continues.
        revision: u64,
    },
    /// The store has compacted its history: changes after the requested revision are no longer available.
    Compacted,
    /// The commit took effect at this revision.
    Done(u64),
    /// An expected revision did not match, or the lease has ended; nothing took effect.
    Conflict,
    /// The lease that was created.
    Lease(Lease),
    /// Whether the lease still existed.
    Renewed(bool),
}
