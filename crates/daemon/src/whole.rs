//! A whole answer of a backend server.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Status, headers and body, complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Whole {
    /// HTTP status.
    pub status: u16,
    /// Headers that concern the caller.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl Whole {
    /// Bytes of memory that the answer takes, roughly.
    pub fn bytes(&self) -> u64 {
        let headers: usize = self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        (headers + self.body.len()) as u64
    }
}

/// A whole answer between peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed {
    /// HTTP status.
    pub status: u16,
    /// Headers that concern the caller.
    pub headers: Vec<(String, String)>,
    /// Body in base64.
    pub body: store::wire::Bytes,
}

impl From<Whole> for Packed {
    fn from(whole: Whole) -> Self {
        Self { status: whole.status, headers: whole.headers, body: store::wire::Bytes(whole.body.to_vec()) }
    }
}

impl From<Packed> for Whole {
    fn from(packed: Packed) -> Self {
        Self { status: packed.status, headers: packed.headers, body: packed.body.0.into() }
    }
}
