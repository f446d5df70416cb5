//! Generates request ids that are unique and cannot be guessed.
//!
//! Anyone with a request's id and any team's token can read the answer, so the second half of an id
//! is a keyed hash of a counter instead of the counter itself.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::RequestId;

/// Generates the request ids of one process.
pub struct RequestIdGenerator {
    origin: u64,
    secret: [u8; 32],
    count: AtomicU64,
}

impl RequestIdGenerator {
    /// Creates a generator; `secret` must be random and known only to this process.
    pub fn new(host: &HostId, incarnation: Incarnation, secret: [u8; 32]) -> Self {
        Self { origin: request_origin(host, incarnation), secret, count: AtomicU64::new(0) }
    }

    /// Returns a new id.
    pub fn next_id(&self) -> RequestId {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        let sequence = first_half(blake3::keyed_hash(&self.secret, &count.to_le_bytes()));
        RequestId { origin: self.origin, sequence }
    }
}

/// Returns the first half of an id, which all ids of one incarnation of a host share.
pub fn request_origin(host: &HostId, incarnation: Incarnation) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&incarnation.0.to_le_bytes());
    hasher.update(host.as_str().as_bytes());
    first_half(hasher.finalize())
}

fn first_half(hash: blake3::Hash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
