//! Order of what the platform's store says, also across restores of the store.
//!
//! A store that is restored from an older copy numbers its changes from the copy's revision on, so revisions are given
//! out again. It counts its restores in an era. Only the pair of both orders its changes; a revision of one era is never
//! compared with one of another.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A state of the store: its era and its revision within that era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Version {
    /// Number of the store's era; zero for a store that names none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub era: u64,
    /// Revision within the era; zero before the first change.
    pub revision: u64,
}

impl Version {
    /// Creates the version of a revision in an era.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

/// Converts the revision of a store that names no era.
impl From<u64> for Version {
    fn from(revision: u64) -> Self {
        Self::new(0, revision)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// Whether a number is zero, for fields that messages leave out then.
pub const fn is_zero(value: &u64) -> bool {
    *value == 0
}
