//! A link between two regions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Region;
use crate::error::{Error, Result};

/// Bytes per second in one megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// A link between two regions, shared by all traffic in each direction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The two regions that the link connects.
    pub between: [String; 2],
    /// Cap of each direction, in megabits per second.
    pub cap_mbit: f64,
}

impl Link {
    /// Whether the link connects `from` and `to`, in either order.
    pub fn connects(&self, from: &str, to: &str) -> bool {
        let [first, second] = &self.between;
        (first == from && second == to) || (first == to && second == from)
    }

    /// Returns the cap of each direction, in bytes per second.
    pub fn bytes_per_second(&self) -> f64 {
        self.cap_mbit * BYTES_PER_MBIT
    }

    pub(super) fn check(&self, name: &str, key: &str, regions: &BTreeMap<String, Region>) -> Result<()> {
        if let Some(end) = self.between.iter().find(|end| !regions.contains_key(*end)) {
            return Err(Error::value(
                name,
                format!("{key}.between"),
                format!("`{end}` is not a region; name two of `regions`"),
            ));
        }
        if self.between[0] == self.between[1] {
            return Err(Error::value(name, format!("{key}.between"), "names the same region twice; name two regions"));
        }
        if !(self.cap_mbit > 0.0 && self.cap_mbit.is_finite()) {
            return Err(Error::value(name, format!("{key}.cap_mbit"), "must be above zero"));
        }
        Ok(())
    }
}
