//! Settings of the operators' port.

use serde::{Deserialize, Serialize};

use super::check_address;
use crate::error::Result;

/// The operators' port.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operators {
    /// Where to listen, `IP:PORT`.
    pub address: String,
    /// Where else to serve the metrics, `IP:PORT`; empty if nowhere.
    pub metrics_address: String,
}

impl Default for Operators {
    fn default() -> Self {
        Self { address: "127.0.0.1:7100".to_owned(), metrics_address: String::new() }
    }
}

impl Operators {
    pub(super) fn check(&self, name: &str) -> Result<()> {
        if !self.metrics_address.is_empty() {
            check_address(name, "operators.metrics_address", &self.metrics_address)?;
        }
        check_address(name, "operators.address", &self.address)
    }
}
