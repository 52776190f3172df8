//! Typed messages of the etcd v3 JSON interface, in which 64-bit numbers are strings.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes, encoded as base64.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Bytes(pub Vec<u8>);

/// A number, encoded as a decimal string.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Number(pub u64);

/// Requests a key or a range of keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct RangeRequest {
    /// The key, or the first key.
    pub key: Bytes,
    /// The exclusive end of the range; empty for a single key.
    #[serde(default)]
    pub range_end: Bytes,
}

/// Header of every response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct Header {
    /// Revision of the whole store.
    pub revision: Number,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// Revision of the last change.
    pub mod_revision: Number,
    /// The lease, or zero for none.
    pub lease: Number,
}

/// The keys of a range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct RangeResponse {
    /// The header, with the store's revision.
    pub header: Header,
    /// The keys found, in order.
    pub kvs: Vec<KeyValue>,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// The key.
    pub key: Bytes,
    /// The compared field; always `MOD`, the revision of the last change.
    pub target: String,
    /// The comparison; always `EQUAL`.
    pub result: String,
    /// The expected revision; zero if the key must not exist.
    pub mod_revision: Number,
}

/// Sets a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Put {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// The lease, or zero for none.
    #[serde(default)]
    pub lease: Number,
}

/// Deletes a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Delete {
    /// The key.
    pub key: Bytes,
}

/// One operation of a transaction; exactly one of the fields is set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Op {
    /// Sets a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_put: Option<Put>,
    /// Deletes a key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<Delete>,
}

/// A transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct TxnRequest {
    /// Conditions that must all hold.
    pub compare: Vec<Compare>,
    /// Operations applied if they do.
    pub success: Vec<Op>,
}

/// The result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct TxnResponse {
    /// The header, with the store's revision after the transaction.
    pub header: Header,
    /// Whether the conditions held.
    pub succeeded: bool,
}

/// Requests a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Number,
}

/// Refers to a lease, to renew or revoke it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Number,
}

/// A lease and its remaining time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct LeaseResponse {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Number,
    /// Remaining time, in seconds; zero if the lease has ended.
    #[serde(rename = "TTL")]
    pub ttl: Number,
}

/// The response to a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct RenewResponse {
    /// The lease.
    pub result: LeaseResponse,
}

/// Returns the exclusive end of the range of keys that start with `prefix`; a zero byte, which etcd reads as no upper
/// bound, if no key is greater than all of them.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

impl From<&str> for Bytes {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(serde::de::Error::custom)
    }
}

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map(Self).map_err(serde::de::Error::custom)
    }
}
