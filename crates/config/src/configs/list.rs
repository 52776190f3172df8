//! Settings of the platform's list of instances.

use serde::{Deserialize, Serialize};

use super::{check_address, check_range};
use crate::error::Result;

/// The platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct List {
    /// The list's address, `IP:PORT`.
    pub address: String,
    /// Time between two polls of the list, in milliseconds.
    pub poll_ms: u64,
    /// Maximum time for one poll, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for List {
    fn default() -> Self {
        Self { address: "127.0.0.1:7901".to_owned(), poll_ms: 1_000, timeout_ms: 1_000 }
    }
}

impl List {
    pub(super) fn check(&self, name: &str) -> Result<()> {
        check_address(name, "list.address", &self.address)?;
        check_range(name, "list.poll_ms", self.poll_ms, 10, 60_000)?;
        check_range(name, "list.timeout_ms", self.timeout_ms, 1, 60_000)
    }
}
