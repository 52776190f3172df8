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
}

impl Default for Operators {
    fn default() -> Self {
        Self { address: "127.0.0.1:7100".to_owned() }
    }
}

impl Operators {
    pub(super) fn check(&self, name: &str) -> Result<()> {
        check_address(name, "operators.address", &self.address)
    }
}
