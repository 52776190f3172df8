//! A copy of the policy that the store accepted, as peers pass it on.

use base::hash;
use config::policy::Policy;
use serde::{Deserialize, Serialize};

/// Why a copy was not taken.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text does not match its checksum.
    #[error("the copy of revision {0} is damaged")]
    Damaged(u64),
    /// The text is no valid policy.
    #[error(transparent)]
    Policy(#[from] config::Error),
}

/// The result of taking a copy.
pub type Result<T> = std::result::Result<T, Error>;

/// A policy's text with the store's revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Revision of the policy in the store.
    pub revision: u64,
    /// Checksum of revision and text.
    #[serde(rename = "sum")]
    pub checksum: u64,
    /// The policy as TOML.
    pub text: String,
}

impl Document {
    /// A copy of `text`, which the store holds at `revision`.
    pub fn new(revision: u64, text: String) -> Self {
        let checksum = checksum(revision, &text);
        Self { revision, checksum, text }
    }

    /// Checks the copy and parses the policy.
    pub fn parse(&self) -> Result<Policy> {
        if self.checksum != checksum(self.revision, &self.text) {
            return Err(Error::Damaged(self.revision));
        }
        Ok(Policy::parse(&format!("policy revision {}", self.revision), &self.text)?)
    }
}

/// The policy in force in a daemon; its revision only rises.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    copy: Option<Document>,
    refused: u64,
}

impl Replica {
    /// A holder of nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision in force; zero before the first one.
    pub fn revision(&self) -> u64 {
        self.copy.as_ref().map_or(0, |copy| copy.revision)
    }

    /// The copy in force.
    pub const fn document(&self) -> Option<&Document> {
        self.copy.as_ref()
    }

    /// Whether a copy of `revision` is worth fetching.
    pub fn needs(&self, revision: u64) -> bool {
        revision > self.revision() && revision != self.refused
    }

    /// Takes a copy if it is whole, valid and newer; gives the policy if it is now in force.
    ///
    /// A copy that is refused changes nothing, and its revision is not fetched again.
    pub fn apply(&mut self, copy: Document) -> Result<Option<Policy>> {
        if !self.needs(copy.revision) {
            return Ok(None);
        }
        match copy.parse() {
            Ok(policy) => {
                self.copy = Some(copy);
                Ok(Some(policy))
            }
            Err(error @ Error::Damaged(_)) => Err(error),
            Err(error) => {
                self.refused = copy.revision;
                Err(error)
            }
        }
    }
}

fn checksum(revision: u64, text: &str) -> u64 {
    hash::combine(hash::bytes(text.as_bytes()), revision)
}
