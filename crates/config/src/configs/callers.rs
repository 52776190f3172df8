//! Settings of the callers' port.

use serde::{Deserialize, Serialize};

use super::{check_address, check_range};
use crate::error::Result;

/// The callers' port.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// Where to listen, `IP:PORT`.
    pub address: String,
    /// Where to answer look-ups besides, `IP:PORT`; empty for nowhere else.
    pub lookup_address: String,
    /// Most connections open at once.
    pub max_connections: u32,
    /// Longest time for a caller to send a request's header, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time for a caller to send a request's body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Longest time a connection without a request is kept, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Whether request bodies may come in chunks.
    pub chunked_bodies: bool,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Largest request header, in bytes.
    pub max_header_bytes: u64,
    /// How long callers may keep a look-up's answer, in seconds.
    pub answer_ttl_s: u64,
    /// How long callers keep answers in fact, in milliseconds; a planned stop waits this long.
    pub answer_kept_ms: u64,
    /// Longest time from the start of a planned stop to its end, in milliseconds.
    pub stop_ms: u64,
    /// Entry instances named in a look-up's answer.
    pub answer_entries: u64,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:7000".to_owned(),
            lookup_address: String::new(),
            max_connections: 1_024,
            header_timeout_ms: 5_000,
            body_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
            chunked_bodies: false,
            max_body_bytes: 1_048_576,
            max_header_bytes: 16_384,
            answer_ttl_s: 30,
            answer_kept_ms: 30_000,
            stop_ms: 150_000,
            answer_entries: 3,
        }
    }
}

impl Callers {
    pub(super) fn check(&self, name: &str) -> Result<()> {
        check_address(name, "callers.address", &self.address)?;
        if !self.lookup_address.is_empty() {
            check_address(name, "callers.lookup_address", &self.lookup_address)?;
        }
        check_range(name, "callers.max_connections", self.max_connections.into(), 1, 100_000)?;
        check_range(name, "callers.header_timeout_ms", self.header_timeout_ms, 10, 600_000)?;
        check_range(name, "callers.body_timeout_ms", self.body_timeout_ms, 10, 600_000)?;
        check_range(name, "callers.idle_timeout_ms", self.idle_timeout_ms, 10, 3_600_000)?;
        check_range(name, "callers.max_body_bytes", self.max_body_bytes, 1, 1 << 30)?;
        check_range(name, "callers.max_header_bytes", self.max_header_bytes, 8_192, 1 << 20)?;
        check_range(name, "callers.answer_ttl_s", self.answer_ttl_s, 1, 86_400)?;
        check_range(name, "callers.answer_kept_ms", self.answer_kept_ms, 0, 86_400_000)?;
        check_range(name, "callers.stop_ms", self.stop_ms, self.answer_kept_ms, 86_400_000)?;
        check_range(name, "callers.answer_entries", self.answer_entries, 1, 64)
    }
}
