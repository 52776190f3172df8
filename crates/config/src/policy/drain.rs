//! Drains that operators declare.

use serde::{Deserialize, Serialize};

/// What a drain covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// A region with all its failure domains.
    Region,
    /// A failure domain with all its instances and backend servers.
    Domain,
    /// The backend servers of a failure domain; its entry instances stay.
    Servers,
    /// One entry instance or one backend server.
    Instance,
}

/// A drain in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// What the drain covers.
    pub scope: Scope,
    /// The name of the region, failure domain, entry instance or backend server; for [`Scope::Servers`], of the
    /// failure domain.
    pub name: String,
}
