//! A class of work and its targets.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

/// A class of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each is declared on its own")]
pub struct Class {
    /// The service whose backend servers run the work; empty if `split` names several.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub service: String,
    /// Services that share the work, each with its weight.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub split: BTreeMap<String, u32>,
    /// The host that requests must name; empty for any host. Builds up to e9ecf57 pass it on with the port that it may have.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub host: String,
    /// Path prefixes of the class; each starts with `/` and covers whole path segments.
    pub paths: Vec<String>,
    /// Whether running the work twice is harmless.
    pub idempotent: bool,
    /// Priority when load is shed: requests of rank 0 are dropped last.
    pub rank: u8,
    /// Time within which an answer counts as good, in milliseconds.
    pub target_ms: u64,
    /// Share of answers that must be good, above 0 and below 1.
    pub target_share: f64,
    /// Time after which an answer is of no use, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the work may wait behind other work but must finish.
    #[serde(default)]
    pub may_wait: bool,
    /// Maximum number of backend servers that one request is sent to; zero for the daemon's own limit.
    #[serde(default, rename = "tries")]
    pub max_attempts: u32,
    /// Whether backend servers work faster on an object that they handled recently.
    #[serde(default)]
    pub affinity: bool,
    /// Regions that may run the work; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<String>,
    /// Whether requests need no key of an account.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
    /// Whether all requests are refused, because it is unknown where they may run.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub closed: bool,
}

impl Class {
    /// Returns the services that run the work.
    pub fn services(&self) -> impl Iterator<Item = &String> {
        std::iter::once(&self.service).filter(|service| !service.is_empty()).chain(self.split.keys())
    }

    /// Whether requests to `host`, which has no port, may belong to this class; host names are compared without case.
    pub fn matches_host(&self, host: &str) -> bool {
        self.host.is_empty() || host_name(&self.host).eq_ignore_ascii_case(host)
    }

    /// Returns the length of the longest prefix that covers `path`; `None` if none does.
    pub fn prefix_length(&self, path: &str) -> Option<usize> {
        let matching = self.paths.iter().filter(|prefix| is_path_prefix(prefix, path));
        matching.map(String::len).max()
    }

    /// Checks all values; errors name the policy as `name` and the class as `key`.
    pub fn check(&self, name: &str, key: &str) -> Result<()> {
        if !self.closed && self.service.is_empty() == self.split.is_empty() {
            return Err(Error::value(
                name,
                format!("{key}.service"),
                "must name a service, unless `split` names several; set one of them",
            ));
        }
        if !self.split.is_empty() && self.split.values().all(|weight| *weight == 0) {
            return Err(Error::value(
                name,
                format!("{key}.split"),
                "must give at least one service a weight above zero",
            ));
        }
        if self.paths.is_empty() {
            return Err(Error::value(name, format!("{key}.paths"), "must name at least one path"));
        }
        if let Some(path) = self.paths.iter().find(|path| !path.starts_with('/')) {
            return Err(Error::value(name, format!("{key}.paths"), format!("`{path}` must start with /")));
        }
        if !(self.target_share > 0.0 && self.target_share < 1.0) {
            return Err(Error::value(name, format!("{key}.target_share"), "must lie between 0 and 1, like 0.999"));
        }
        if self.target_ms == 0 || self.target_ms > self.deadline_ms {
            let advice = "must be above zero and at most deadline_ms";
            return Err(Error::value(name, format!("{key}.target_ms"), advice));
        }
        Ok(())
    }
}

/// Returns the name in `host` without a port and without the dot that may end a full domain name.
pub fn host_name(host: &str) -> &str {
    let port_from = host.rfind(']').map_or(0, |bracket| bracket + 1);
    let end = host[port_from..].find(':').map_or(host.len(), |colon| port_from + colon);
    let name = &host[..end];
    name.strip_suffix('.').unwrap_or(name)
}

/// Whether `prefix` covers `path` by whole path segments; `path` may end with a query.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/') || rest.starts_with('?')
}
