//! Digests of callers' keys.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};

/// Names the hash function in a digest's text.
const PREFIX: &str = "sha256:";
/// Length of a digest, in bytes.
const BYTES: usize = 32;

/// The text is no digest of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("must be `{PREFIX}` and 64 hexadecimal digits")]
pub struct Malformed;

/// The result of parsing a digest.
pub type Result<T> = std::result::Result<T, Malformed>;

/// The digest of a key. Keys are long random texts, so the digest needs no salt to hide them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Digest([u8; BYTES]);

impl Digest {
    /// Returns the digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the digest's bytes.
    pub const fn as_bytes(&self) -> &[u8; BYTES] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(PREFIX)?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Shows nothing of the digest: it identifies its key, which must not be traceable in logs.
impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

impl FromStr for Digest {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self> {
        let digits = text.strip_prefix(PREFIX).filter(|digits| digits.len() == 2 * BYTES).ok_or(Malformed)?;
        let mut bytes = [0; BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.as_bytes().chunks_exact(2)) {
            let [high, low] = [pair[0], pair[1]].map(|digit| char::from(digit).to_digit(16));
            *byte = (high.ok_or(Malformed)? << 4 | low.ok_or(Malformed)?) as u8;
        }
        Ok(Self(bytes))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
