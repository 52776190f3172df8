//! Messages between daemons. Serialized field names are short because every exchange carries them.

use std::net::SocketAddr;
use std::time::Duration;

use base::rate::Limit;
use base::time::Time;
use serde::{Deserialize, Serialize};

use crate::replica::Version;

/// Maximum number of member records in a message.
pub const MAX_RECORDS: usize = 6;
/// Maximum number of load reports in a message.
pub const MAX_LOADS: usize = 6;
/// Maximum number of losses in a message.
pub const MAX_LOSSES: usize = 16;
/// Maximum number of leaving backend servers in a message.
pub const MAX_LEAVING: usize = 32;
/// Maximum number of rate limits in a message.
pub const MAX_RATE_LIMITS: usize = 16;

/// State of a member; at the same incarnation and number of refutations, a later variant supersedes an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    #[serde(rename = "a")]
    Alive,
    /// It did not answer some daemon.
    #[serde(rename = "s")]
    Suspect,
    /// It did not answer and did not refute the suspicion in time.
    #[serde(rename = "d")]
    Dead,
    /// It announced that it stops.
    #[serde(rename = "l")]
    Left,
}

/// The state of a member as a daemon knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The member's name.
    #[serde(rename = "n")]
    pub name: String,
    /// Start of the member's process in calendar milliseconds; a later process under the same name has a higher one.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Incremented by the member itself to refute a suspicion.
    #[serde(rename = "b")]
    pub refutations: u32,
    /// The member's state.
    #[serde(rename = "s")]
    pub state: State,
    /// Address for peers, `IP:PORT`.
    #[serde(rename = "p")]
    pub peer_address: String,
    /// Its failure domain.
    #[serde(rename = "d")]
    pub domain: String,
    /// Address for callers, `IP:PORT`; empty if only the platform's list of instances has it.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub caller_address: String,
    /// Whether it reaches no backend server itself and passes its callers' requests to other members.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    pub without_servers: bool,
    /// Port at which it takes requests that other members pass on, at the IP address of `peer_address`; `None` for builds up
    /// to 4e2e901, which take them at their addresses for callers, and which drop the port from records that they pass on.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub relay_port: Option<u16>,
    /// Requests per second that its machine can carry; `None` for builds up to f9c6ea0, which drop it from records that they
    /// pass on.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<u32>,
    /// Whether it runs what is passed on to it only in the regions that are named with it. Builds up to f5d1856 do not, and drop
    /// this from records that they pass on.
    #[serde(rename = "h", default, skip_serializing_if = "std::ops::Not::not")]
    pub heeds_regions: bool,
}

impl Record {
    /// Creates the record of a live member that serves no callers yet.
    pub fn new(name: &str, incarnation: u64, peer_address: &str, domain: &str) -> Self {
        Self {
            name: name.to_owned(),
            incarnation,
            refutations: 0,
            state: State::Alive,
            peer_address: peer_address.to_owned(),
            domain: domain.to_owned(),
            caller_address: String::new(),
            without_servers: false,
            relay_port: None,
            capacity: None,
            heeds_regions: false,
        }
    }

    /// Returns the address at which the member takes requests that other members pass on; `None` if it is not known.
    pub fn relay_address(&self) -> Option<SocketAddr> {
        let mut address: SocketAddr = self.peer_address.parse().ok()?;
        address.set_port(self.relay_port?);
        Some(address)
    }

    /// Takes over from `other` what members of an earlier build drop from the records of the same process.
    pub(crate) fn complete_from(&mut self, other: &Self) {
        if self.incarnation == other.incarnation {
            self.relay_port = self.relay_port.or(other.relay_port);
            self.capacity = self.capacity.or(other.capacity);
            self.heeds_regions |= other.heeds_regions;
        }
    }

    /// Whether this record is newer than `other`, a record of the same member.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.refutations, self.state) > (other.incarnation, other.refutations, other.state)
    }
}

/// The load of a failure domain's backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The failure domain.
    #[serde(rename = "d")]
    pub domain: String,
    /// Requests running or waiting.
    #[serde(rename = "b")]
    pub busy: u32,
    /// Requests that can run at once.
    #[serde(rename = "s")]
    pub slots: u32,
    /// Age of the load when the message was created, in milliseconds.
    #[serde(rename = "t")]
    pub age_ms: u64,
}

/// A message of an exchange between two daemons; the answer has the same type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own record.
    #[serde(rename = "f")]
    pub from: Record,
    /// Version of the policy that the sender has in force.
    #[serde(flatten, with = "short_version")]
    pub version: Version,
    /// Records of members that changed.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<Record>,
    /// Loads of failure domains.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Load>,
    /// Losses of connections: the request's fingerprint and the number of the loss.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub losses: Vec<(u64, u64)>,
    /// Numbers of backend servers that announced that they leave.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<u32>,
    /// Rate limits of backend servers.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rate_limits: Vec<RateLimit>,
}

/// A backend server's number, the requests per second that it takes from all daemons together, and the age of the answer
/// that stated it, in milliseconds. Serialized as an array.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateLimit(u32, Option<f64>, u64);

impl RateLimit {
    /// Creates the message's form of a limit that was observed at a time of our clock.
    pub fn new(server: u32, limit: Limit, now: Time) -> Self {
        Self(server, limit.per_second, now.since(limit.observed_at).as_millis() as u64)
    }

    /// Returns the server's number and its limit at a time of our clock, if the message was received at `now`.
    pub fn received(self, now: Time) -> (u32, Limit) {
        let Self(server, per_second, age_ms) = self;
        (server, Limit { per_second, observed_at: now - Duration::from_millis(age_ms) })
    }
}

impl Message {
    /// Whether the message contains nothing but losses, leaving backend servers and rate limits, at least one of them.
    pub const fn is_urgent(&self) -> bool {
        let has_urgent = !self.losses.is_empty() || !self.leaving.is_empty() || !self.rate_limits.is_empty();
        self.records.is_empty() && self.loads.is_empty() && has_urgent
    }
}

/// The state that a starting daemon fetches from a peer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// All members that the peer knows, itself among them.
    pub records: Vec<Record>,
    /// The policy that the peer has in force; `None` before its first one.
    pub policy: Option<super::Document>,
    /// Numbers of backend servers that announced that they leave.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<u32>,
    /// Rate limits of backend servers that apply.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rate_limits: Vec<RateLimit>,
    /// Whether the peer has a mirror of the platform's store; without one it has just started and knows few members.
    #[serde(rename = "copy", default)]
    pub has_mirror: bool,
}

/// A policy's version with short field names.
mod short_version {
    use base::version::{self, is_zero};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use crate::replica::Version;

    #[derive(Serialize, Deserialize)]
    struct Short {
        #[serde(rename = "v")]
        revision: u64,
        #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
        era: u64,
        #[serde(rename = "d", default, skip_serializing_if = "is_zero")]
        declared: u64,
    }

    pub(super) fn serialize<S: Serializer>(version: &Version, serializer: S) -> Result<S::Ok, S::Error> {
        let Version { declared, stored: version::Version { era, revision } } = *version;
        Short { revision, era, declared }.serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Version, D::Error> {
        let Short { revision, era, declared } = Short::deserialize(deserializer)?;
        Ok(Version::new(declared, version::Version::new(era, revision)))
    }
}
