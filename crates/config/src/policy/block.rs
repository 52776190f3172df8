//! A block of callers and its home region.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::Region;
use crate::error::{Error, Result};

/// A block of callers' addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// The block, `a.b.c.d/length`.
    pub prefix: String,
    /// The region that serves the block best.
    pub region: String,
}

impl Block {
    /// The first address and the prefix length of the block; `None` if the text is no prefix.
    pub fn range(&self) -> Option<(u32, u8)> {
        let (address, length) = self.prefix.split_once('/')?;
        let address = u32::from(address.parse::<Ipv4Addr>().ok()?);
        let length = length.parse::<u8>().ok().filter(|length| *length <= 32)?;
        Some((address & mask(length), length))
    }

    pub(super) fn check(&self, name: &str, key: &str, regions: &BTreeMap<String, Region>) -> Result<()> {
        if self.range().is_none() {
            let advice = format!("`{}` is no block; write it like 10.1.0.0/16", self.prefix);
            return Err(Error::value(name, format!("{key}.prefix"), advice));
        }
        if !regions.contains_key(&self.region) {
            return Err(Error::value(name, format!("{key}.region"), format!("`{}` is no region", self.region)));
        }
        Ok(())
    }
}

/// The mask of a prefix length.
pub(crate) fn mask(length: u8) -> u32 {
    u32::MAX.checked_shl(32 - u32::from(length)).unwrap_or(0)
}
