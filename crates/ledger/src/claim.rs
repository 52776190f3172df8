//! The claim of a request, as stored in the platform's store.

use std::fmt;

/// A stored claim that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the claim `{0}` is malformed")]
pub struct Error(pub String);

/// The result of parsing a claim.
pub type Result<T> = std::result::Result<T, Error>;

/// Which daemon claimed which request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Incarnation of the claiming daemon; random, so that no two are equal.
    pub incarnation: u64,
    /// Fingerprint of the request, to detect a key that is reused for another request.
    pub fingerprint: u64,
    /// Address of the claiming daemon for peers, `IP:PORT`.
    pub peer_address: String,
}

impl Claim {
    /// Parses a claim from its stored form.
    pub fn parse(bytes: &[u8]) -> Result<Self> {
        let text = String::from_utf8_lossy(bytes);
        let error = || Error(text.to_string());
        let mut fields = text.split(' ');
        let mut number = || fields.next().and_then(|field| u64::from_str_radix(field, 16).ok());
        let incarnation = number().ok_or_else(error)?;
        let fingerprint = number().ok_or_else(error)?;
        let peer_address = fields.next().ok_or_else(error)?.to_owned();
        Ok(Self { incarnation, fingerprint, peer_address })
    }

    /// Returns the stored form.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.to_string().into_bytes()
    }
}

impl fmt::Display for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x} {:016x} {}", self.incarnation, self.fingerprint, self.peer_address)
    }
}
