//! What one daemon's copy of the store passes on to another's.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Entry;
use crate::call::Event;

/// Bytes of values in one message at most; a single larger value goes alone.
pub const MAX_PAGE_BYTES: usize = 400_000;

/// A value: mostly text, which is shorter on the wire than a list of numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// Text.
    Text(String),
    /// Any other bytes.
    Bytes(Vec<u8>),
}

impl From<&[u8]> for Value {
    fn from(bytes: &[u8]) -> Self {
        std::str::from_utf8(bytes).map_or_else(|_| Self::Bytes(bytes.to_vec()), |text| Self::Text(text.to_owned()))
    }
}

impl From<Value> for Vec<u8> {
    fn from(value: Value) -> Self {
        match value {
            Value::Text(text) => text.into_bytes(),
            Value::Bytes(bytes) => bytes,
        }
    }
}

/// A key as the copy holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Revision of its last change.
    #[serde(rename = "r")]
    pub revision: u64,
    /// How long ago this value was first seen, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Set for a key that is missing in the store and kept for so many milliseconds more.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub expires_in_ms: Option<u64>,
}

impl Item {
    /// The key with its value and revision.
    pub fn entry(self) -> Entry {
        Entry { key: self.key, value: self.value.into(), revision: self.revision }
    }
}

/// What has changed, or all there is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision up to which the copy knows all changes.
    #[serde(rename = "v")]
    pub revision: u64,
    /// Revision behind which the changes begin; zero for the whole.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub after: u64,
    /// How long ago the copy was last known to hold all that the store did, in milliseconds; `None` for never.
    #[serde(rename = "t")]
    pub age_ms: Option<u64>,
    /// How long the question was kept waiting, in milliseconds.
    #[serde(rename = "h")]
    pub waited_ms: u64,
    /// For how long keys that are found missing are still kept, since their writers may come back, in milliseconds.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub grace_ms: u64,
    /// Whether `items` are all keys, or a page of them, rather than those that changed.
    #[serde(rename = "a", default, skip_serializing_if = "std::ops::Not::not")]
    pub full: bool,
    /// Whether more keys follow behind the last one.
    #[serde(rename = "m", default, skip_serializing_if = "std::ops::Not::not")]
    pub more: bool,
    /// Keys that were written.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub items: Vec<Item>,
    /// Keys that were deleted, each with the revision of that.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub tombstones: Vec<(String, u64)>,
}

impl Changes {
    /// How old the copy's knowledge was when the message came, `took` after the question was sent.
    pub fn age(&self, took: Duration) -> Option<Duration> {
        let way = took.saturating_sub(Duration::from_millis(self.waited_ms));
        self.age_ms.map(|age| Duration::from_millis(age) + way)
    }

    /// Deletions, as a watch tells them.
    pub fn deletions(&self) -> impl Iterator<Item = Event> {
        self.tombstones.iter().map(|(key, revision)| Event::Delete(key.clone(), *revision))
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the serializer passes a reference")]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}
