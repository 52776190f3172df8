//! Declared properties of a service.

use serde::{Deserialize, Serialize};

/// A service that backend servers run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Maximum requests per second to a backend server of the service in slow start, over all entry instances; zero
    /// for no limit.
    pub start_per_second: f64,
    /// How long a backend server stays slow after its start, in milliseconds.
    pub start_ms: u64,
    /// Path of the health check of its backend servers; empty for none.
    pub health_path: String,
}
