//! The policy in force, as peers pass it on.

use base::hash;
use config::policy::Policy;
use serde::{Deserialize, Serialize};

/// Why a document was rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The document of this revision does not match its checksum.
    #[error("policy revision {0} does not match its checksum")]
    Damaged(u64),
    /// The text is not a valid policy.
    #[error(transparent)]
    Policy(#[from] config::Error),
}

/// The result of parsing or applying a document.
pub type Result<T> = std::result::Result<T, Error>;

/// The text of a policy with its revision in the store.
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
    /// Creates a document with its checksum for `text`, which has `revision` in the store.
    pub fn new(revision: u64, text: String) -> Self {
        let checksum = checksum(revision, &text);
        Self { revision, checksum, text }
    }

    /// Verifies the checksum and parses the policy.
    pub fn parse(&self) -> Result<Policy> {
        if self.checksum != checksum(self.revision, &self.text) {
            return Err(Error::Damaged(self.revision));
        }
        Ok(Policy::parse(&format!("policy revision {}", self.revision), &self.text)?)
    }
}

/// The policy in force in a daemon; its revision never decreases.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    document: Option<Document>,
    /// The last revision whose text was not a valid policy; zero if none.
    refused: u64,
}

impl Replica {
    /// Creates a replica without a policy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision in force; zero before the first policy.
    pub fn revision(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.revision)
    }

    /// Returns the document in force; `None` before the first policy.
    pub const fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Whether a document of `revision` should be fetched: it is newer and was not refused.
    pub fn needs(&self, revision: u64) -> bool {
        revision > self.revision() && revision != self.refused
    }

    /// Puts `document` into force if it is intact, valid and newer, and returns the policy if it is now in force.
    ///
    /// A rejected document changes nothing in force. The revision of an invalid policy is not fetched again; that of a
    /// damaged document is, since another peer may have it intact.
    pub fn apply(&mut self, document: Document) -> Result<Option<Policy>> {
        if !self.needs(document.revision) {
            return Ok(None);
        }
        match document.parse() {
            Ok(policy) => {
                self.document = Some(document);
                Ok(Some(policy))
            }
            Err(error @ Error::Damaged(_)) => Err(error),
            Err(error) => {
                self.refused = document.revision;
                Err(error)
            }
        }
    }
}

fn checksum(revision: u64, text: &str) -> u64 {
    hash::combine(hash::bytes(text.as_bytes()), revision)
}
