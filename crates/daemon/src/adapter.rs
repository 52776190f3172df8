//! The interface between the daemon and the platform that it runs on.

use std::collections::BTreeSet;
use std::time::Duration;

use base::instance::Instance;
use config::configs::Settings;
use config::policy::Policy;
use fleet::replica::Version;
use store::{Codec, Mirror, OrderFn, etcd};

use crate::dialect::Dialect;

/// A backend server as the platform's store has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// The server as an instance.
    pub instance: Instance,
    /// How much longer the server was to stay cold when its entry was written.
    pub cold_for: Duration,
}

/// Limits of callers that operators declare; `None` for those that they leave to the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DeclaredLimits {
    /// Maximum size of a request line with its headers, in bytes.
    pub max_header_bytes: Option<u64>,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: Option<u64>,
    /// Maximum time for a caller to send a request's header.
    pub header_timeout: Option<Duration>,
    /// Maximum time that a connection stays open without a request.
    pub idle_timeout: Option<Duration>,
}

/// The policy as the platform's store has it.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyUpdate {
    /// Version of the policy.
    pub version: Version,
    /// The policy.
    pub policy: Policy,
    /// Limits of callers. They are not part of the policy, whose text builds without them refuse if it has more fields; each
    /// daemon reads them from its own mirror.
    pub limits: DeclaredLimits,
    /// Items of the policy that cannot be used or are unknown, one sentence each; all others apply.
    pub passed_over: BTreeSet<String>,
}

/// Parsers of the policy and of backend servers, from keys that the platform's own tools write.
#[derive(Debug, Clone, Copy)]
pub struct Catalog {
    /// Returns the policy unless its version is below the one given; an error if the stored policy cannot be used.
    pub read_policy: fn(&Mirror, &Settings, Version) -> Result<Option<PolicyUpdate>, String>,
    /// Folder of the keys that the policy is read from.
    pub policy_folder: &'static str,
    /// Returns the order of a key's value among the values of that key; `None` if it has none.
    pub order: OrderFn,
    /// Prefix of the keys of backend servers, one key each.
    pub server_prefix: &'static str,
    /// Parses a backend server from its name and the value of its key; an error if it cannot be read.
    pub parse_server: fn(&str, &[u8], &Settings) -> Result<Server, String>,
}

/// The platform's side of a daemon.
#[derive(Debug, Clone)]
pub struct Adapter {
    /// Names of headers and paths on the wire to callers and backend servers.
    pub dialect: Dialect,
    /// Wire format of the store.
    pub codec: Codec,
    /// Parsers of policy and backend servers in the store; `None` if the daemon's own policy key and the list of instances
    /// hold them.
    pub catalog: Option<Catalog>,
}

impl Adapter {
    /// Returns the adapter for the daemon's own interface, as the fakes of this workspace serve it.
    pub const fn native() -> Self {
        Self { dialect: Dialect::native(), codec: etcd::CODEC, catalog: None }
    }
}
