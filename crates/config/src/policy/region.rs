//! A region and its failure domains.

use serde::{Deserialize, Serialize};

/// A region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Failure domains of the region.
    pub domains: Vec<String>,
}
