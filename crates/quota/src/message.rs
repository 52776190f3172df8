//! Messages between a daemon and the allocators that it lends its shares to. Serialized field names are short because daemons
//! exchange several of them in a second.

use serde::{Deserialize, Serialize};

/// Maximum number of accounts in one message.
pub const MAX_WANTS: usize = 64;

/// A member, by the hash of its name.
pub type Member = u64;
/// A client account, by the hash of its name.
pub type Account = u64;

/// A point in time of an allocator's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The allocator's process.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Microseconds of its clock.
    #[serde(rename = "t")]
    pub micros: u64,
}

/// Asks an allocator for tokens, and lends it the sender's share of the quotas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The sender.
    #[serde(rename = "f")]
    pub from: Member,
    /// The sender's process.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Counts the sender's messages to this allocator.
    #[serde(rename = "n")]
    pub number: u64,
    /// The sender's share of each quota, as a fraction of all; zero to lend nothing.
    #[serde(rename = "s")]
    pub share: f64,
    /// How long the share is lent, in milliseconds after `stamp`.
    #[serde(rename = "l")]
    pub lent_ms: u64,
    /// The allocators among which the sender chooses, and those of its earlier choices that may still be in force. The
    /// share of an account is lent only if all of them give the account to the receiver.
    #[serde(rename = "a")]
    pub choices: Vec<Vec<Member>>,
    /// Allocators that hold no loan of the sender any more although an earlier choice names them.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub released: Vec<Member>,
    /// The stamp of the receiver's last grant that the sender knows; without one nothing is lent yet.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub stamp: Option<Stamp>,
    /// Number of tokens that the sender wants for each account.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub wants: Vec<(Account, u32)>,
}

/// An allocator's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// When the allocator made the answer.
    #[serde(rename = "t")]
    pub stamp: Stamp,
    /// What each account that was asked for gets.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Part>,
    /// Whether the allocator has ended: it holds no loan and takes none any more.
    #[serde(rename = "e", default, skip_serializing_if = "std::ops::Not::not")]
    pub ended: bool,
}

/// Tokens for one account.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The account.
    #[serde(rename = "a")]
    pub account: Account,
    /// Number of tokens that the account gets.
    #[serde(rename = "n")]
    pub tokens: u32,
    /// Time after the request for the tokens until which they can be spent, in milliseconds.
    #[serde(rename = "l")]
    pub lifetime_ms: u64,
    /// Tokens of the account that all daemons together get in a second, at present.
    #[serde(rename = "r")]
    pub per_second: f32,
    /// Why there are no more of them.
    #[serde(rename = "v")]
    pub verdict: Verdict,
}

/// Why an account gets fewer tokens than were asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The account got all tokens that were asked for.
    #[serde(rename = "a")]
    All,
    /// Its quota is used up; further tokens are expected after this time, in milliseconds.
    #[serde(rename = "o")]
    UsedUp(u32),
    /// The receiver holds no share of the quota, or does not know the account.
    #[serde(rename = "n")]
    NoShare,
}
