//! Settings of the operators' port.

use serde::{Deserialize, Serialize};

use super::check_address;
use crate::error::Result;

/// The operators' port.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operators {
    /// Address to listen on, `IP:PORT`.
    pub address: String,
    /// Additional address that serves the metrics, `IP:PORT`; empty for none.
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
