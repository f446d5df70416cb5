//! A budget for buffered bytes that all of a host's responses share.
//!
//! A holder may have at most as much as is then left to the others: the dynamic threshold of
//! shared-memory switches. Responses without end run into it together, and room for small ones
//! remains.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use thiserror::Error;

/// A buffer cannot grow.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BufferError {
    /// The holder's own limit is reached.
    #[error("exceeds {limit} bytes")]
    TooLong {
        /// Limit of the holder in bytes.
        limit: usize,
    },
    /// The holder would have more than is left to the others.
    #[error("buffer budget exhausted: {wanted} bytes wanted, {free} free")]
    Exhausted {
        /// Size that the holder asked for in bytes.
        wanted: usize,
        /// Bytes that no other holder has.
        free: usize,
    },
}

/// Result of growing a buffer.
pub type Result<T> = std::result::Result<T, BufferError>;

/// The budget. Clones share it.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    total: usize,
    used: Arc<AtomicUsize>,
}

impl BufferBudget {
    /// Builds a budget of `total` bytes.
    pub fn new(total: usize) -> Self {
        Self { total, used: Arc::default() }
    }

    /// Returns the number of leased bytes.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Starts an empty lease that never holds more than `limit` bytes.
    pub fn lease(&self, limit: usize) -> BufferLease {
        BufferLease { budget: self.clone(), limit, held: 0 }
    }
}

/// Bytes of the budget in use by one holder. They return to the budget when it is dropped.
#[derive(Debug)]
pub struct BufferLease {
    budget: BufferBudget,
    limit: usize,
    held: usize,
}

impl BufferLease {
    /// Returns the number of bytes held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the limit of this holder in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Starts an empty lease of the same budget with the same limit.
    pub fn sibling(&self) -> Self {
        self.budget.lease(self.limit)
    }

    /// Grows or shrinks the lease to `bytes`. After an error it holds what it held before.
    pub fn resize(&mut self, bytes: usize) -> Result<()> {
        if bytes > self.limit {
            return Err(BufferError::TooLong { limit: self.limit });
        }
        let (total, held) = (self.budget.total, self.held);
        let resized = |used: usize| {
            let used_by_others = used - held;
            let free = total.saturating_sub(used_by_others);
            let fits = bytes <= held || bytes <= free.saturating_sub(bytes);
            fits.then_some(used_by_others + bytes)
        };
        match self.budget.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, resized) {
            Ok(_) => {
                self.held = bytes;
                Ok(())
            }
            Err(used) => {
                let free = total.saturating_sub(used - held);
                Err(BufferError::Exhausted { wanted: bytes, free })
            }
        }
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.held, Ordering::Relaxed);
    }
}
