//! A class of work and its targets.

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

/// A class of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The service whose backend servers run the work.
    pub service: String,
    /// Path prefixes of the class; whole segments, each starting with `/`.
    pub paths: Vec<String>,
    /// Whether running the work twice is harmless.
    pub idempotent: bool,
    /// Rank in the order of loss: work of rank 0 is kept longest.
    pub rank: u8,
    /// Time within which an answer counts as good, in milliseconds.
    pub target_ms: u64,
    /// Share of answers that must be good, from 0 to 1.
    pub target_share: f64,
    /// Time after which an answer is of no use, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the work may wait behind other work but must finish.
    #[serde(default)]
    pub may_wait: bool,
}

impl Class {
    /// The length of the longest prefix that covers `path`; `None` if none does.
    pub fn covers(&self, path: &str) -> Option<usize> {
        let matching = self.paths.iter().filter(|prefix| covers(prefix, path));
        matching.map(String::len).max()
    }

    pub(super) fn check(&self, name: &str, key: &str) -> Result<()> {
        if self.service.is_empty() {
            return Err(Error::value(name, format!("{key}.service"), "must name a service"));
        }
        if self.paths.is_empty() {
            return Err(Error::value(name, format!("{key}.paths"), "must name one path at least"));
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

fn covers(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/') || rest.starts_with('?')
}
