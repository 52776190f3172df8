//! The claim of a request, as the store holds it.

use std::fmt;

/// Why a claim could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the claim `{0}` is malformed")]
pub struct Error(pub String);

/// The result of reading a claim.
pub type Result<T> = std::result::Result<T, Error>;

/// Who claimed a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Incarnation of the claiming daemon; random, so that no two are equal.
    pub incarnation: u64,
    /// Fingerprint of the request, so that a key reused for another one is noticed.
    pub fingerprint: u64,
    /// Where peers reach the claiming daemon, `IP:PORT`.
    pub peer_address: String,
}

impl Claim {
    /// Reads a claim from the store's bytes.
    pub fn parse(bytes: &[u8]) -> Result<Self> {
        let text = String::from_utf8_lossy(bytes);
        let error = || Error(text.to_string());
        let mut words = text.split(' ');
        let mut number = || words.next().and_then(|word| u64::from_str_radix(word, 16).ok());
        let incarnation = number().ok_or_else(error)?;
        let fingerprint = number().ok_or_else(error)?;
        let peer_address = words.next().ok_or_else(error)?.to_owned();
        Ok(Self { incarnation, fingerprint, peer_address })
    }

    /// The store's bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.to_string().into_bytes()
    }
}

impl fmt::Display for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x} {:016x} {}", self.incarnation, self.fingerprint, self.peer_address)
    }
}
