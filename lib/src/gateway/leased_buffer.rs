//! A byte buffer whose capacity is leased from a [`BufferBudget`].
//!
//! [`BufferBudget`]: crate::gateway::buffer_budget::BufferBudget

use bytes::Bytes;

use crate::gateway::buffer_budget::BufferError;
use crate::gateway::buffer_budget::BufferLease;
use crate::gateway::buffer_budget::Result;

/// Minimum capacity of a buffer that holds bytes.
const MIN_CAPACITY_BYTES: usize = 1024;

/// Maximum capacity that an empty buffer keeps.
const MAX_RETAINED_BYTES: usize = 16 * 1024;

/// A growing buffer.
#[derive(Debug)]
pub struct LeasedBuffer {
    bytes: Vec<u8>,
    /// Start of the bytes that were not consumed.
    start: usize,
    lease: BufferLease,
}

/// Frozen bytes, which return their lease when the last reference is dropped.
struct LeasedBytes {
    bytes: Vec<u8>,
    _lease: BufferLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl LeasedBuffer {
    /// Builds an empty buffer.
    pub fn new(lease: BufferLease) -> Self {
        Self { bytes: Vec::new(), start: 0, lease }
    }

    /// Returns the bytes that were not consumed.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Appends a copy of `bytes`.
    pub fn extend(&mut self, bytes: &[u8]) -> Result<()> {
        let unconsumed = self.bytes.len() - self.start;
        let needed = unconsumed + bytes.len();
        let limit = self.lease.limit();
        if needed > limit {
            return Err(BufferError::TooLong { limit });
        }
        if self.bytes.len() + bytes.len() > self.lease.held() {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        if needed > self.lease.held() {
            let doubled = self.lease.held() * 2;
            let capacity = needed.max(doubled).max(MIN_CAPACITY_BYTES).min(limit);
            self.lease.resize(capacity)?;
            self.bytes.reserve_exact(capacity - unconsumed);
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes the first `length` bytes and returns a copy of them with a lease of its own.
    pub fn split_to(&mut self, length: usize) -> Result<Bytes> {
        let mut lease = self.lease.sibling();
        lease.resize(length)?;
        let bytes = self.as_slice()[..length].to_vec();
        self.start += length;
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            if self.lease.held() > MAX_RETAINED_BYTES {
                self.bytes = Vec::new();
                self.lease.resize(0)?;
            }
        }
        Ok(Bytes::from_owner(LeasedBytes { bytes, _lease: lease }))
    }

    /// Returns the bytes that were not consumed, with their lease.
    pub fn freeze(self) -> Bytes {
        let Self { bytes, start, lease } = self;
        Bytes::from_owner(LeasedBytes { bytes, _lease: lease }).slice(start..)
    }
}
