//! Settings of the platform's key-value store.

use serde::{Deserialize, Serialize};

use super::{check_address, check_range};
use crate::error::Result;

/// The platform's key-value store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// The store's address, `IP:PORT`.
    pub address: String,
    /// Maximum time for one call, in milliseconds.
    pub timeout_ms: u64,
    /// Time between two polls of the policy by a daemon that reads it from the store, in milliseconds.
    pub poll_ms: u64,
    /// Maximum time that one watch call waits for changes, in milliseconds.
    pub watch_ms: u64,
    /// Time between two calls that check whether a watch still receives changes, in milliseconds.
    pub liveness_ms: u64,
    /// Number of daemons in a failure domain that read the policy from the store.
    pub readers: u64,
    /// How long the claim of a non-idempotent request is kept, in seconds.
    pub claim_kept_s: u64,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:7900".to_owned(),
            timeout_ms: 1_000,
            poll_ms: 2_000,
            watch_ms: 20_000,
            liveness_ms: 900,
            readers: 2,
            claim_kept_s: 86_400,
        }
    }
}

impl Platform {
    pub(super) fn check(&self, name: &str) -> Result<()> {
        check_address(name, "platform.address", &self.address)?;
        check_range(name, "platform.timeout_ms", self.timeout_ms, 1, 60_000)?;
        check_range(name, "platform.poll_ms", self.poll_ms, 10, 60_000)?;
        check_range(name, "platform.watch_ms", self.watch_ms, 10, 30_000)?;
        check_range(name, "platform.liveness_ms", self.liveness_ms, 10, 60_000)?;
        check_range(name, "platform.readers", self.readers, 1, 64)?;
        check_range(name, "platform.claim_kept_s", self.claim_kept_s, 600, 30 * 86_400)
    }
}
