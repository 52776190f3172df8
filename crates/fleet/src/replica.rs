//! The policy in force, as peers pass it on.

use std::fmt;

use base::hash;
use base::version::{self, is_zero};
use config::policy::Policy;
use serde::{Deserialize, Serialize};

/// Why a document was rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The document of this revision does not match its checksum.
    #[error("policy version {0} does not match its checksum")]
    Damaged(Version),
    /// The text is not a valid policy.
    #[error(transparent)]
    Policy(#[from] config::Error),
}

/// The result of parsing or applying a document.
pub type Result<T> = std::result::Result<T, Error>;

/// Order of policies: by the number that the operators count their policies by, then by the store's version.
///
/// A restored store gives revisions out again, and until it has the operators' latest policy again, a daemon that starts
/// reads an older one from it. So the operators' own number goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Version {
    /// The operators' number; zero if they do not count their policies.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub declared: u64,
    /// Version of the store's latest change of the policy.
    #[serde(flatten)]
    pub stored: version::Version,
}

impl Version {
    /// Creates the version of a policy that its operators count as `declared`, as of the store's version `stored`.
    pub const fn new(declared: u64, stored: version::Version) -> Self {
        Self { declared, stored }
    }
}

/// Converts the revision of a policy that its operators do not count, in a store that names no era.
impl From<u64> for Version {
    fn from(revision: u64) -> Self {
        Self::new(0, revision.into())
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}.{}", self.declared, self.stored)
    }
}

/// The text of a policy with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version of the policy.
    #[serde(flatten)]
    pub version: Version,
    /// Checksum of version and text.
    #[serde(rename = "sum")]
    pub checksum: u64,
    /// The policy as TOML.
    pub text: String,
}

impl Document {
    /// Creates a document with its checksum for `text`, which has `version`.
    pub fn new(version: impl Into<Version>, text: String) -> Self {
        let version = version.into();
        let checksum = checksum(version, &text);
        Self { version, checksum, text }
    }

    /// Verifies the checksum and parses the policy.
    pub fn parse(&self) -> Result<Policy> {
        if self.checksum != checksum(self.version, &self.text) {
            return Err(Error::Damaged(self.version));
        }
        Ok(Policy::parse(&format!("policy version {}", self.version), &self.text)?)
    }
}

/// Where a document comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The store, as this daemon knows it: the latest text of a version.
    Store,
    /// Another daemon, which may know less of the store than this one.
    Peer,
}

/// The policy in force in a daemon; its version never decreases.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    document: Option<Document>,
    /// The last version whose text was not a valid policy; `None` if there was none. A text that a peer sends may have fields of
    /// its build, so this says nothing of the store's text of that version.
    refused: Option<Version>,
}

impl Replica {
    /// Creates a replica without a policy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version in force; zero before the first policy.
    pub fn version(&self) -> Version {
        self.document.as_ref().map_or_else(Version::default, |document| document.version)
    }

    /// Returns the document in force; `None` before the first policy.
    pub const fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Whether a document of `version` should be fetched from a peer: it is newer and was not refused.
    ///
    /// One that is newer by its era alone is not: the peer may have read it from a restored store that does not have all
    /// of it again, while this daemon still knows what was lost.
    pub fn needs(&self, version: impl Into<Version>) -> bool {
        let version = version.into();
        let in_force = self.version();
        let by_era_alone = version.declared == in_force.declared && version.stored.era != in_force.stored.era;
        version > in_force && Some(version) != self.refused && !(by_era_alone && self.document.is_some())
    }

    /// Puts `document` into force if it is intact, valid and newer, and returns the policy if it is now in force. From the
    /// store, another text of the version in force counts as newer: keys that a restored store no longer has expire
    /// without a change there.
    ///
    /// A rejected document changes nothing in force. The version of an invalid policy is not fetched from peers again; that of
    /// a damaged document is, since another peer may have it intact.
    pub fn apply(&mut self, document: Document, origin: Origin) -> Result<Option<Policy>> {
        let is_other_text =
            || self.document.as_ref().is_some_and(|known| known.version == document.version && *known != document);
        let is_due = match origin {
            Origin::Store => document.version > self.version() || is_other_text(),
            Origin::Peer => self.needs(document.version),
        };
        if !is_due {
            return Ok(None);
        }
        match document.parse() {
            Ok(policy) => {
                self.document = Some(document);
                Ok(Some(policy))
            }
            Err(error @ Error::Damaged(_)) => Err(error),
            Err(error) => {
                self.refused = Some(document.version);
                Err(error)
            }
        }
    }
}

/// Returns the checksum of a document; that of a plain revision does not depend on the fields that are zero then.
fn checksum(version: Version, text: &str) -> u64 {
    let Version { declared, stored } = version;
    let sum = hash::combine(hash::bytes(text.as_bytes()), stored.revision);
    if declared == 0 && stored.era == 0 { sum } else { hash::combine(hash::combine(sum, stored.era), declared) }
}
