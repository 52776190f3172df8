//! Typed messages between daemons. Field names are short because they travel with every exchange.

use serde::{Deserialize, Serialize};

/// Most member records in one message.
pub const MAX_RECORDS: usize = 6;
/// Most load reports in one message.
pub const MAX_LOADS: usize = 6;
/// Most losses in one message.
pub const MAX_LOSSES: usize = 16;
/// Most backend servers that leave in one message.
pub const MAX_LEAVING: usize = 32;

/// What is believed of a member; later ones win at the same incarnation and count of refutations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    #[serde(rename = "a")]
    Alive,
    /// It did not answer someone.
    #[serde(rename = "s")]
    Suspect,
    /// It did not answer and did not object.
    #[serde(rename = "d")]
    Dead,
    /// It said that it stops.
    #[serde(rename = "l")]
    Left,
}

/// What a daemon believes of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The member's name.
    #[serde(rename = "n")]
    pub name: String,
    /// Start of the member's process, in milliseconds of the calendar: a successor's is higher.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Raised by the member itself to contradict a suspicion.
    #[serde(rename = "b")]
    pub refutations: u32,
    /// What is believed.
    #[serde(rename = "s")]
    pub state: State,
    /// Where peers reach it, `IP:PORT`.
    #[serde(rename = "p")]
    pub peer_address: String,
    /// Its failure domain.
    #[serde(rename = "d")]
    pub domain: String,
    /// Where callers reach it, `IP:PORT`; empty if only the list of instances tells.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub caller_address: String,
}

impl Record {
    /// Whether this record says something newer of the same member than `other`.
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
    /// Age of the report when the message was made, in milliseconds.
    #[serde(rename = "t")]
    pub age_ms: u64,
}

/// An exchange between two daemons; the answer is of the same type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    #[serde(rename = "f")]
    pub from: Record,
    /// Revision of the policy that the speaker has in force.
    #[serde(rename = "v")]
    pub revision: u64,
    /// News of members.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<Record>,
    /// News of loads.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Load>,
    /// Losses of connections: a request's fingerprint and the loss's number.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub losses: Vec<(u64, u64)>,
    /// Numbers of backend servers that said that they leave.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<u32>,
}

impl Message {
    /// Whether it was sent to tell of losses or of servers that leave.
    pub const fn is_urgent(&self) -> bool {
        let tells = !self.losses.is_empty() || !self.leaving.is_empty();
        self.records.is_empty() && self.loads.is_empty() && tells
    }
}

/// What a starting daemon gets from a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// All members that the peer knows.
    pub records: Vec<Record>,
    /// The policy that the peer has in force.
    pub policy: Option<super::Document>,
    /// Numbers of backend servers that said that they leave.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<u32>,
    /// Whether the peer has a copy of the platform's store; without one it has just started and knows few members.
    #[serde(rename = "copy", default)]
    pub has_mirror: bool,
}
