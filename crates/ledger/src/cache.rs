//! Whole answers kept for re-sends, within a bound of memory.

use std::collections::{BTreeMap, VecDeque};

/// Answers by key; the oldest go when the bound is passed.
#[derive(Debug, Clone)]
pub struct Cache<A> {
    most_bytes: u64,
    bytes: u64,
    answers: BTreeMap<u128, (A, u64)>,
    order: VecDeque<u128>,
}

impl<A: Clone> Cache<A> {
    /// Keeps at most `most_bytes` of answers.
    pub const fn new(most_bytes: u64) -> Self {
        Self { most_bytes, bytes: 0, answers: BTreeMap::new(), order: VecDeque::new() }
    }

    /// Keeps an answer of `bytes` bytes; one larger than the bound is not kept.
    pub fn put(&mut self, key: u128, answer: A, bytes: u64) {
        if bytes > self.most_bytes {
            return;
        }
        self.remove(key);
        self.bytes += bytes;
        self.answers.insert(key, (answer, bytes));
        self.order.push_back(key);
        while self.bytes > self.most_bytes {
            let Some(oldest) = self.order.front().copied() else {
                return;
            };
            self.remove(oldest);
        }
    }

    /// The answer of `key`, if still kept.
    pub fn get(&self, key: u128) -> Option<A> {
        self.answers.get(&key).map(|(answer, _)| answer.clone())
    }

    /// Bytes kept.
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
