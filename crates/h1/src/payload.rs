//! Bodies in memory, in parts of bounded size.
//!
//! Load pattern: many callers send large bodies at the same time. A single buffer that grows takes up to twice the length of its
//! body, while it grows the old one as well, and the allocator keeps such large pieces after they are freed. Parts are never
//! moved and have few sizes, so that those of one body are reused for another.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};

use crate::memory::Place;

/// Size of the first part of a body, in bytes: most bodies are small.
const MIN_PART_BYTES: usize = 4_096;
/// Maximum size of a part, in bytes: below the size from which allocators map memory of its own for a piece.
const MAX_PART_BYTES: usize = 32_768;

/// A body that is being received.
#[derive(Debug)]
pub struct Buffer {
    parts: Vec<BytesMut>,
    length: usize,
    capacity: usize,
    /// Maximum length of the body.
    max_length: usize,
}

impl Default for Buffer {
    fn default() -> Self {
        Self::new()
    }
}

impl Buffer {
    /// Creates an empty buffer for a body of unknown length.
    pub const fn new() -> Self {
        Self { parts: Vec::new(), length: 0, capacity: 0, max_length: usize::MAX }
    }

    /// Sets the announced length of the body, so that its last part is no larger than needed.
    #[must_use]
    pub const fn with_length(mut self, length: usize) -> Self {
        self.max_length = length;
        self
    }

    /// Returns the number of bytes received.
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Whether no byte was received.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the bytes of memory that the parts take.
    pub const fn capacity(&self) -> usize {
        self.capacity
    }

    /// Appends `bytes`.
    pub fn extend(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let size = self.next_part_bytes();
            let spare = self.parts.last_mut().filter(|part| part.len() < part.capacity());
            let Some(part) = spare else {
                self.capacity += size;
                self.parts.push(BytesMut::with_capacity(size));
                continue;
            };
            let (fitting, rest) = bytes.split_at(bytes.len().min(part.capacity() - part.len()));
            part.extend_from_slice(fitting);
            self.length += fitting.len();
            bytes = rest;
        }
    }

    /// Returns the whole body.
    pub fn finish(self) -> Payload {
        let parts = self.parts.into_iter().map(BytesMut::freeze).collect();
        Payload { parts, length: self.length, place: None }
    }

    /// Returns the size of the next part: as much as there is already, so that a body takes at most twice its length.
    fn next_part_bytes(&self) -> usize {
        let left = self.max_length.saturating_sub(self.length);
        self.length.clamp(MIN_PART_BYTES, MAX_PART_BYTES).min(left.max(1))
    }
}

/// A whole body, shared by all who hold it.
#[derive(Debug, Clone, Default)]
pub struct Payload {
    parts: Arc<[Bytes]>,
    length: usize,
    /// Its place in a memory budget, which is released with the last clone.
    place: Option<Arc<Place>>,
}

impl Payload {
    /// Sets the place in a memory budget that the body takes.
    #[must_use]
    pub fn with_place(mut self, place: Place) -> Self {
        self.place = Some(Arc::new(place));
        self
    }

    /// Returns the length in bytes.
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Whether the body has no bytes.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the bytes, part by part.
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().map(|part| &part[..])
    }
}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Self {
        Self { length: bytes.len(), parts: Arc::new([bytes]), place: None }
    }
}

/// What is left to send of a body, which stays where it is.
#[derive(Debug)]
pub(crate) struct Remainder {
    parts: VecDeque<Bytes>,
    length: usize,
}

impl Remainder {
    /// Creates the remainder of a body of which nothing was sent.
    pub(crate) fn new(payload: &Payload) -> Self {
        let parts = payload.parts.iter().filter(|part| !part.is_empty()).cloned().collect();
        Self { parts, length: payload.length }
    }

    /// Returns the number of bytes left.
    pub(crate) const fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing is left.
    pub(crate) const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Moves all that is left behind `out`.
    pub(crate) fn drain_into(&mut self, out: &mut BytesMut) {
        self.parts.drain(..).for_each(|part| out.extend_from_slice(&part));
        self.length = 0;
    }

    /// Returns the part to send next; empty if nothing is left.
    pub(crate) fn next(&self) -> &[u8] {
        self.parts.front().map_or(&[], |part| &part[..])
    }

    /// Drops the next `bytes` bytes, which are all in the next part.
    pub(crate) fn advance(&mut self, bytes: usize) {
        if let Some(part) = self.parts.front_mut() {
            drop(part.split_to(bytes));
            self.length -= bytes;
        }
        while self.parts.front().is_some_and(Bytes::is_empty) {
            self.parts.pop_front();
        }
    }
}
