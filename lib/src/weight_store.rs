//! Edge to the rate-limited store of model weights.

use std::time::Duration;

use thiserror::Error;

/// Why a transfer cannot start now.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WeightError {
    /// The store is at its rate; the value is the time until it has room.
    #[error("weight store is at its rate for {0:?}")]
    RateLimited(Duration),
    /// The store has no such weights.
    #[error("no weights named {0}")]
    UnknownWeights(String),
    /// The call failed.
    #[error("weight store failed: {0}")]
    Failed(String),
}

/// Result of a call to the weight store.
pub type Result<T> = std::result::Result<T, WeightError>;

/// The weight store.
pub trait WeightStore: Send + Sync {
    /// Reserves the store's rate for one transfer and returns its duration.
    fn reserve(&self, weights: &str) -> Result<Duration>;

    /// Returns the size of the named weights in bytes.
    fn size_bytes(&self, weights: &str) -> Result<u64>;
}
