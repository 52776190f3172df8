//! A cache of complete answers for requests that are sent again, bounded in memory.

use std::collections::{BTreeMap, VecDeque};

/// Answers by key; the oldest are evicted when the limit is exceeded.
#[derive(Debug, Clone)]
pub struct Cache<A> {
    max_bytes: u64,
    bytes: u64,
    /// Answers with their sizes in bytes.
    answers: BTreeMap<u128, (A, u64)>,
    /// Keys from the oldest to the newest answer.
    order: VecDeque<u128>,
}

impl<A: Clone> Cache<A> {
    /// Creates an empty cache for up to `max_bytes` of answers.
    pub const fn new(max_bytes: u64) -> Self {
        Self { max_bytes, bytes: 0, answers: BTreeMap::new(), order: VecDeque::new() }
    }

    /// Stores an answer of `bytes` bytes and evicts the oldest ones beyond the limit; an answer larger than the
    /// limit is not stored.
    pub fn put(&mut self, key: u128, answer: A, bytes: u64) {
        if bytes > self.max_bytes {
            return;
        }
        self.remove(key);
        self.bytes += bytes;
        self.answers.insert(key, (answer, bytes));
        self.order.push_back(key);
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.order.front().copied() else {
                return;
            };
            self.remove(oldest);
        }
    }

    /// Returns the answer of `key`; `None` if it was not stored or was evicted.
    pub fn get(&self, key: u128) -> Option<A> {
        self.answers.get(&key).map(|(answer, _)| answer.clone())
    }

    /// Returns the total size of the stored answers, in bytes.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    fn remove(&mut self, key: u128) {
        if let Some((_, bytes)) = self.answers.remove(&key) {
            self.bytes -= bytes;
            self.order.retain(|other| *other != key);
        }
    }
}
