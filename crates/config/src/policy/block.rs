//! Address blocks of callers and their home regions.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::Region;
use crate::error::{Error, Result};

/// A block of callers' IPv4 addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// The block in CIDR notation, `a.b.c.d/length`.
    pub prefix: String,
    /// The home region: the one that serves the block best.
    pub region: String,
}

impl Block {
    /// Returns the first address and the prefix length of the block; `None` if `prefix` is not in CIDR notation.
    pub fn range(&self) -> Option<(u32, u8)> {
        let (address, length) = self.prefix.split_once('/')?;
        let address = u32::from(address.parse::<Ipv4Addr>().ok()?);
        let length = length.parse::<u8>().ok().filter(|length| *length <= 32)?;
        Some((address & mask(length), length))
    }

    pub(super) fn check(&self, name: &str, key: &str, regions: &BTreeMap<String, Region>) -> Result<()> {
        if self.range().is_none() {
            let advice = format!("`{}` is not an address block; write it like 10.1.0.0/16", self.prefix);
            return Err(Error::value(name, format!("{key}.prefix"), advice));
        }
        if !regions.contains_key(&self.region) {
            return Err(Error::value(
                name,
                format!("{key}.region"),
                format!("`{}` is not a region; name one of `regions`", self.region),
            ));
        }
        Ok(())
    }
}

/// Returns the network mask of a prefix length.
pub(crate) fn mask(length: u8) -> u32 {
    u32::MAX.checked_shl(32 - u32::from(length)).unwrap_or(0)
}
