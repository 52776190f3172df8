//! Instances in the platform's list.

use serde::{Deserialize, Serialize};

/// The role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry instance: a daemon of hemlockcross.
    Entry,
    /// A backend server.
    Backend,
}

/// The state of an instance in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Live,
    /// About to stop; it gets no new work.
    Leaving,
}

/// One instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// The service of a backend server; empty for an entry instance.
    #[serde(default)]
    pub service: String,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub domain: String,
    /// Address for requests, `IP:PORT`: callers connect to it, or entry instances if it is a backend server.
    pub address: String,
    /// Address of an entry instance for its peers, `IP:PORT`; empty for a backend server.
    #[serde(default)]
    pub peers: String,
    /// Address of an entry instance for operators, `IP:PORT`; empty for a backend server.
    #[serde(default)]
    pub operators: String,
    /// Requests that a backend server runs concurrently; zero for an entry instance.
    #[serde(default)]
    pub slots: u32,
    /// Connections that a backend server accepts; zero for an entry instance.
    #[serde(default)]
    pub connections: u32,
    /// Start time of a backend server's process, in milliseconds since the Unix epoch; zero if unknown. A process that
    /// starts later under the same name is a different server.
    #[serde(default, rename = "born", skip_serializing_if = "is_zero")]
    pub started_at: u64,
    /// Its state in the list.
    pub state: State,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature is serde's")]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}
