//! Settings of dispatch to backend servers.

use serde::{Deserialize, Serialize};

use super::{check_float, check_range};
use crate::error::Result;

/// Dispatch of requests to backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Dispatch {
    /// Maximum time to connect to a backend server, in milliseconds.
    pub connect_ms: u64,
    /// Time between two reads of a backend server's load report, in milliseconds.
    pub probe_ms: u64,
    /// Maximum size of a backend server's answer, in bytes.
    pub max_answer_bytes: u64,
    /// Memory budget for all answers of backend servers that are being read, in bytes.
    pub answers_bytes: u64,
    /// Maximum number of waiting requests, over all classes.
    pub max_queued: u64,
    /// Maximum number of requests in flight at backend servers.
    pub max_in_flight: u64,
    /// Memory budget for complete answers kept for requests that callers resend, in bytes over all keys.
    pub kept_answers_bytes: u64,
    /// Number of retries that each request adds to the budget of retries, whatever its service; from 0 to 1.
    #[serde(rename = "retry_part")]
    pub retry_ratio: f64,
    /// Number of retries and hedges, together, that each request for a service adds to the service's budget, over all
    /// daemons; from 0 to 1.
    #[serde(rename = "repeat_part")]
    pub repeat_ratio: f64,
    /// Maximum number of unused retries and hedges that the budget of one service holds, over all daemons.
    #[serde(rename = "repeats_saved")]
    pub repeat_burst: f64,
    /// Number of daemons that send requests to a backend server in slow start.
    pub starters: u64,
    /// Whether a backend server that has started or recovered gets its work at a pace that follows from its answers; only for
    /// services that declare a slow start.
    pub learned_pace: bool,
    /// Whether requests may be sent to other regions without limit; the caps of the policy's links are then unused.
    pub open_links: bool,
    /// How long a request that crashed two backend servers is refused, in seconds.
    #[serde(rename = "poison_s")]
    pub quarantine_s: u64,
}

impl Default for Dispatch {
    fn default() -> Self {
        Self {
            connect_ms: 250,
            probe_ms: 1_000,
            max_answer_bytes: 8_388_608,
            answers_bytes: 67_108_864,
            max_queued: 512,
            max_in_flight: 128,
            kept_answers_bytes: 8_388_608,
            retry_ratio: 0.1,
            repeat_ratio: 1.0,
            repeat_burst: 1_000.0,
            starters: 3,
            learned_pace: false,
            open_links: false,
            quarantine_s: 600,
        }
    }
}

impl Dispatch {
    pub(super) fn check(&self, name: &str) -> Result<()> {
        check_range(name, "dispatch.connect_ms", self.connect_ms, 1, 60_000)?;
        check_range(name, "dispatch.probe_ms", self.probe_ms, 10, 60_000)?;
        check_range(name, "dispatch.max_answer_bytes", self.max_answer_bytes, 1_024, 1 << 30)?;
        check_range(name, "dispatch.answers_bytes", self.answers_bytes, 1_024, 1 << 40)?;
        check_range(name, "dispatch.max_queued", self.max_queued, 1, 100_000)?;
        check_range(name, "dispatch.max_in_flight", self.max_in_flight, 1, 4_096)?;
        check_range(name, "dispatch.kept_answers_bytes", self.kept_answers_bytes, 0, 1 << 30)?;
        check_range(name, "dispatch.starters", self.starters, 1, 1_024)?;
        check_float(name, "dispatch.retry_part", self.retry_ratio, 1.0)?;
        check_float(name, "dispatch.repeat_part", self.repeat_ratio, 1.0)?;
        check_float(name, "dispatch.repeats_saved", self.repeat_burst, 1e6)?;
        check_range(name, "dispatch.poison_s", self.quarantine_s, 1, 86_400)
    }
}
