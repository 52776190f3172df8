//! Settings of the addresses for callers.

use serde::{Deserialize, Serialize};

use super::{check_address, check_float, check_range, with_port};
use crate::error::Result;

/// The addresses for callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// Address for requests, `IP:PORT`.
    pub address: String,
    /// Address for look-ups, `IP:PORT`; `None` for the port after that of `address`.
    pub lookup_address: Option<String>,
    /// Maximum number of open connections at the address for requests.
    pub max_connections: u32,
    /// Maximum number of open connections at the address for look-ups.
    pub max_lookup_connections: u32,
    /// Maximum time for a caller to send a request's header, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum time for a caller to send a request's body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Maximum time that a connection stays open without a request, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Whether request bodies in chunked transfer encoding are accepted.
    pub chunked_bodies: bool,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum size of a request header, in bytes.
    pub max_header_bytes: u64,
    /// Memory for what callers make the daemon hold at once: requests that arrive or run, and answers that they do not read; in
    /// bytes. Zero for a part of the machine's memory.
    pub memory_bytes: u64,
    /// How long callers may cache a look-up's answer, in seconds.
    pub answer_ttl_s: u64,
    /// How long callers really cache answers, in milliseconds; a planned stop waits this long.
    pub answer_kept_ms: u64,
    /// Maximum time from the start of a planned stop to its end, in milliseconds.
    pub stop_ms: u64,
    /// Number of entry instances named in a look-up's answer.
    pub answer_entries: u64,
    /// Whether requests with keys are refused while this daemon cannot know which keys were taken away.
    pub revoke_strict: bool,
    /// With `revoke_strict`, how long the daemon may be without contact to the store, in seconds.
    pub revoke_s: f64,
    /// Maximum age of what the daemon knows of the policy, in seconds, at which it refuses a request for a reason that callers
    /// take as final: no class covers it, or its key is unknown.
    pub policy_age_s: f64,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:7000".to_owned(),
            lookup_address: None,
            max_connections: 1_024,
            max_lookup_connections: 256,
            header_timeout_ms: 5_000,
            body_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
            chunked_bodies: false,
            max_body_bytes: 1_048_576,
            max_header_bytes: 16_384,
            memory_bytes: 0,
            answer_ttl_s: 30,
            answer_kept_ms: 30_000,
            stop_ms: 150_000,
            answer_entries: 3,
            revoke_strict: false,
            revoke_s: 5.0,
            policy_age_s: 3.0,
        }
    }
}

impl Callers {
    /// Returns the address for look-ups, `IP:PORT`.
    pub fn lookup_address(&self) -> String {
        self.lookup_address.clone().unwrap_or_else(|| with_port(&self.address, None))
    }

    pub(super) fn check(&self, name: &str) -> Result<()> {
        check_address(name, "callers.address", &self.address)?;
        check_address(name, "callers.lookup_address", &self.lookup_address())?;
        check_range(name, "callers.max_connections", self.max_connections.into(), 1, 100_000)?;
        check_range(name, "callers.max_lookup_connections", self.max_lookup_connections.into(), 1, 100_000)?;
        check_range(name, "callers.header_timeout_ms", self.header_timeout_ms, 10, 600_000)?;
        check_range(name, "callers.body_timeout_ms", self.body_timeout_ms, 10, 600_000)?;
        check_range(name, "callers.idle_timeout_ms", self.idle_timeout_ms, 10, 3_600_000)?;
        check_range(name, "callers.max_body_bytes", self.max_body_bytes, 1, 1 << 30)?;
        check_range(name, "callers.max_header_bytes", self.max_header_bytes, 8_192, 1 << 20)?;
        check_range(name, "callers.memory_bytes", self.memory_bytes, 0, 1 << 40)?;
        check_range(name, "callers.answer_ttl_s", self.answer_ttl_s, 1, 86_400)?;
        check_range(name, "callers.answer_kept_ms", self.answer_kept_ms, 0, 86_400_000)?;
        check_range(name, "callers.stop_ms", self.stop_ms, self.answer_kept_ms, 86_400_000)?;
        check_float(name, "callers.revoke_s", self.revoke_s, 3_600.0)?;
        check_float(name, "callers.policy_age_s", self.policy_age_s, 3_600.0)?;
        check_range(name, "callers.answer_entries", self.answer_entries, 1, 64)
    }
}
