//! What joins the daemon to the platform that it runs on.

use std::collections::BTreeSet;
use std::time::Duration;

use base::instance::Instance;
use config::configs::Settings;
use config::policy::Policy;
use store::{Codec, Mirror, etcd};

use crate::dialect::Dialect;

/// A backend server as the platform's store tells of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// What is listed of it.
    pub instance: Instance,
    /// How much longer it was to start slowly when that was written.
    pub cold_for: Duration,
}

/// The policy as the platform's store tells of it.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyUpdate {
    /// Its revision.
    pub revision: u64,
    /// The policy.
    pub policy: Policy,
    /// What of it cannot be used or is not known, in short sentences; all else is in force.
    pub passed_over: BTreeSet<String>,
}

/// Reads the policy and the backend servers from keys that the platform's own tools write.
#[derive(Debug, Clone, Copy)]
pub struct Catalog {
    /// The policy if its revision is above the one given; an error if what is there cannot be used.
    pub read_policy: fn(&Mirror, &Settings, u64) -> Result<Option<PolicyUpdate>, String>,
    /// Where the keys begin that each name a backend server.
    pub server_prefix: &'static str,
    /// A backend server from its name and the value of its key; an error if it cannot be read.
    pub parse_server: fn(&str, &[u8], &Settings) -> Result<Server, String>,
}

/// The platform's side of a daemon.
#[derive(Debug, Clone)]
pub struct Adapter {
    /// What callers and backend servers call the things that cross the wire.
    pub dialect: Dialect,
    /// The wire form of the store.
    pub codec: Codec,
    /// Where policy and backend servers are read; `None` if the product's own key and list hold them.
    pub catalog: Option<Catalog>,
}

impl Adapter {
    /// The product's own interface and stand-ins.
    pub const fn native() -> Self {
        Self { dialect: Dialect::native(), codec: etcd::CODEC, catalog: None }
    }
}
