//! A buffer of a connection, and how much memory it takes.

use bytes::BytesMut;

/// Bytes that wait to be parsed or sent.
#[derive(Debug, Default)]
pub struct Buffer {
    /// The bytes.
    pub bytes: BytesMut,
    /// Size of the allocation; `bytes` alone does not tell it once its front was taken.
    allocated: usize,
}

impl Buffer {
    /// Creates an empty buffer, which takes no memory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes room for `bytes` more.
    pub fn reserve(&mut self, bytes: usize) {
        self.bytes.reserve(bytes);
        self.record();
    }

    /// Records the size of the allocation after bytes were added.
    pub fn record(&mut self) {
        self.allocated = self.allocated.max(self.bytes.capacity());
    }

    /// Returns the bytes of memory that the buffer takes.
    pub const fn allocated(&self) -> usize {
        self.allocated
    }

    /// Frees the memory if it is more than `kept` bytes and no bytes are left in it.
    pub fn release(&mut self, kept: usize) {
        if self.bytes.is_empty() && self.allocated > kept {
            *self = Self::new();
        }
    }
}
