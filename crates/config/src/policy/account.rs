//! A client account: its callers' keys, and what they may do.

use std::collections::BTreeMap;

use accounts::key::Digest;
use serde::{Deserialize, Serialize};

use super::Region;
use crate::error::{Error, Result};

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct Account {
    /// Digests of the keys by which callers of the account identify themselves.
    pub keys: Vec<Digest>,
    /// Requests per second over all daemons; zero for no limit.
    pub rate: f64,
    /// Requests that may follow each other at once, in addition to the rate.
    pub burst: f64,
    /// Priority when load is shed, before that of the class: requests of rank 0 are dropped last. `None` for that of the
    /// class.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
    /// Regions that may run the account's requests; empty for all.
    pub regions: Vec<String>,
    /// Whether all requests are refused, because it is unknown where they may run.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub closed: bool,
}

impl Account {
    /// Whether the number of the account's requests is limited.
    pub fn has_quota(&self) -> bool {
        self.rate > 0.0
    }

    /// Checks the quota; errors name the policy as `name` and the account as `key`.
    pub fn check(&self, name: &str, key: &str) -> Result<()> {
        for (field, value) in [("rate", self.rate), ("burst", self.burst)] {
            if !(value >= 0.0 && value.is_finite()) {
                return Err(Error::value(name, format!("{key}.{field}"), "must be zero or above"));
            }
        }
        if self.has_quota() && self.burst < 1.0 {
            let advice = "must be at least 1 where `rate` limits requests, or none could pass";
            return Err(Error::value(name, format!("{key}.burst"), advice));
        }
        Ok(())
    }

    pub(super) fn check_regions(&self, name: &str, key: &str, regions: &BTreeMap<String, Region>) -> Result<()> {
        if let Some(region) = self.regions.iter().find(|region| !regions.contains_key(*region)) {
            let advice = format!("`{region}` is not a region; name one of `regions`");
            return Err(Error::value(name, format!("{key}.regions"), advice));
        }
        Ok(())
    }
}
