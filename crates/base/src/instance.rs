//! Instances as the platform's list names them.

use serde::{Deserialize, Serialize};

/// What an instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry instance: one of our daemons.
    Entry,
    /// A backend server.
    Backend,
}

/// What the list says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Live,
    /// About to stop; no new work.
    Leaving,
}

/// One instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// The service of a backend server; empty for an entry instance.
    #[serde(default)]
    pub service: String,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub domain: String,
    /// Where callers or entry instances reach it, `IP:PORT`.
    pub address: String,
    /// Where peers reach an entry instance, `IP:PORT`; empty for a backend server.
    #[serde(default)]
    pub peers: String,
    /// Where operators reach an entry instance, `IP:PORT`; empty for a backend server.
    #[serde(default)]
    pub operators: String,
    /// Requests a backend server runs at once; zero for an entry instance.
    #[serde(default)]
    pub slots: u32,
    /// Connections a backend server takes; zero for an entry instance.
    #[serde(default)]
    pub connections: u32,
    /// Start of a backend server's process, in milliseconds of the calendar; zero if that is not told. One that
    /// starts again under its name is another server.
    #[serde(default, rename = "born", skip_serializing_if = "is_zero")]
    pub started_at: u64,
    /// What the list says of it.
    pub state: State,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature is serde's")]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}
