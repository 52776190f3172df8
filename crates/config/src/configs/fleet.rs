//! Settings of gossip between daemons.

use serde::{Deserialize, Serialize};

use super::{check_address, check_range, with_port};
use crate::error::Result;

/// Gossip between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Address to listen on for peers, `IP:PORT`.
    pub address: String,
    /// Port for requests that peers pass on, at the IP address of `address`; `None` for the port after that of `address`.
    /// Only entry instances may reach it.
    pub relay_port: Option<u16>,
    /// Peers to contact first, `IP:PORT` each.
    pub seeds: Vec<String>,
    /// Whether all daemons are starting for the first time. They may then wait a moment for each other, since none is
    /// serving yet.
    pub first_start: bool,
    /// Time between two exchanges with a peer, in milliseconds.
    pub exchange_ms: u64,
    /// Maximum time to wait for a peer's answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time after which a suspected member is considered dead, in milliseconds.
    pub suspect_ms: u64,
    /// Number of peers that a newer policy and other urgent updates are pushed to at once.
    pub fanout: u64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:7200".to_owned(),
            relay_port: None,
            seeds: Vec::new(),
            first_start: false,
            exchange_ms: 1_000,
            timeout_ms: 500,
            suspect_ms: 3_000,
            fanout: 4,
        }
    }
}

impl Fleet {
    /// Returns the address for requests that peers pass on, `IP:PORT`.
    pub fn relay_address(&self) -> String {
        with_port(&self.address, self.relay_port)
    }

    pub(super) fn check(&self, name: &str) -> Result<()> {
        check_address(name, "fleet.address", &self.address)?;
        check_address(name, "fleet.relay_port", &self.relay_address())?;
        if let Some(port) = self.relay_port {
            check_range(name, "fleet.relay_port", port.into(), 1, u16::MAX.into())?;
        }
        for seed in &self.seeds {
            check_address(name, "fleet.seeds", seed)?;
        }
        check_range(name, "fleet.exchange_ms", self.exchange_ms, 10, 60_000)?;
        check_range(name, "fleet.timeout_ms", self.timeout_ms, 1, 60_000)?;
        check_range(name, "fleet.suspect_ms", self.suspect_ms, 1, 600_000)?;
        check_range(name, "fleet.fanout", self.fanout, 1, 16)
    }
}
