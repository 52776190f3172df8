//! What is declared of a service.

use serde::{Deserialize, Serialize};

/// A service that backend servers run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Requests a second that a backend server of it bears while it starts, over all entry instances; zero for
    /// no limit.
    pub start_per_second: f64,
    /// How long a backend server that has just started stays slow, in milliseconds.
    pub start_ms: u64,
    /// Path of its backend servers' health answers; empty for none.
    pub health_path: String,
}
