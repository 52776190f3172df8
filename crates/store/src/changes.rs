//! Changes that a daemon's mirror of the store sends to the mirror of another daemon.

use std::time::Duration;

use base::time::Time;
use base::version::{Version, is_zero};
use serde::{Deserialize, Serialize};

use crate::Entry;
use crate::call::Event;

/// Maximum number of bytes of values in one message; a larger value is sent in a message of its own.
pub const MAX_PAGE_BYTES: usize = 400_000;

/// A value; text is kept as such, because it is shorter in JSON than a list of numbers, and most values are text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// Valid UTF-8.
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

/// A key as the sender's mirror holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Revision of the last change.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Time since the sender first saw this value, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// For a key that is missing in the store and kept during the grace period: time until it is removed, in
    /// milliseconds. `None` for a key that exists.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub expires_in_ms: Option<u64>,
    /// Whether the value is known from an earlier era of the store only, and was not written again since.
    #[serde(rename = "c", default, skip_serializing_if = "std::ops::Not::not")]
    pub carried: bool,
}

impl Item {
    /// Returns the key with its value and revision.
    pub fn entry(self) -> Entry {
        Entry { key: self.key, value: self.value.into(), revision: self.revision }
    }
}

/// The changes after a revision, or all keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Era of the store that all revisions here belong to.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub era: u64,
    /// Revision up to which the sender knows all changes.
    #[serde(rename = "v")]
    pub revision: u64,
    /// Revision after which the changes begin; zero if all keys are sent.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub after: u64,
    /// Time since the sender's mirror was last known to be up to date, in milliseconds; `None` if it never was.
    #[serde(rename = "t")]
    pub age_ms: Option<u64>,
    /// How long the sender delayed its answer to wait for changes, in milliseconds.
    #[serde(rename = "h")]
    pub waited_ms: u64,
    /// Whether all ages and remaining times are as of the end of that wait. Earlier builds read them before the wait and
    /// do not send this field.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub read_after_wait: bool,
    /// Remaining grace period after an outage of the store, in milliseconds: missing keys are kept until it ends, since
    /// their writers may write them again. Zero if there is none.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub grace_ms: u64,
    /// Whether `items` holds all keys, or one page of them, rather than only those that changed.
    #[serde(rename = "a", default, skip_serializing_if = "std::ops::Not::not")]
    pub full: bool,
    /// Whether more keys follow after the last one.
    #[serde(rename = "m", default, skip_serializing_if = "std::ops::Not::not")]
    pub more: bool,
    /// Keys that were written.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub items: Vec<Item>,
    /// Keys that were deleted, each with the revision of the deletion.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub tombstones: Vec<(String, u64)>,
}

impl Changes {
    /// Returns the version up to which the sender knows all changes.
    pub const fn version(&self) -> Version {
        Version::new(self.era, self.revision)
    }

    /// Whether this page of all keys follows on the key `last`: it begins after it, and promises more only if it brings some.
    /// Pages that do not would never end.
    pub fn follows_on(&self, last: &str) -> bool {
        self.items.first().map_or(!self.more, |first| first.key.as_str() > last)
    }

    /// Returns this answer as sent at `now` to a request that came at `asked`; its ages must be as of `now`.
    #[must_use]
    pub fn with_wait(self, asked: Time, now: Time) -> Self {
        Self { waited_ms: now.since(asked).as_millis() as u64, ..self }
    }

    /// Returns the longest time that may have passed since the ages and the remaining times were read, if the answer
    /// arrived `elapsed` after the request was sent.
    pub fn transit(&self, elapsed: Duration) -> Duration {
        let waited = if self.read_after_wait { self.waited_ms } else { 0 };
        elapsed.saturating_sub(Duration::from_millis(waited))
    }

    /// Returns the highest age that the sender's knowledge may have when the answer arrives, `elapsed` after the request
    /// was sent. `None` if that is unknown: the sender's mirror was never known to be up to date, or the sender is of an
    /// earlier build, whose own knowledge may have come through others that state too low an age.
    pub fn age(&self, elapsed: Duration) -> Option<Duration> {
        let age = self.age_ms.filter(|_| self.read_after_wait)?;
        Some(Duration::from_millis(age) + self.transit(elapsed))
    }

    /// Returns the deletions as events of a watch.
    pub fn deletions(&self) -> impl Iterator<Item = Event> {
        self.tombstones.iter().map(|(key, revision)| Event::Delete(key.clone(), *revision))
    }
}
