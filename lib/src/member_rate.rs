//! Token bucket that bounds how often membership pushes.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Allows a burst, and one more use in each period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    burst: u32,
    period: Duration,
    tokens: u32,
    next: Timestamp,
}

impl TokenBucket {
    /// Builds a full bucket.
    pub(crate) fn new(burst: u32, period: Duration) -> Self {
        Self { burst, period, tokens: burst, next: Timestamp::default() }
    }

    /// Uses one token, if there is one.
    pub(crate) fn take(&mut self, now: Timestamp) -> bool {
        if now >= self.next {
            self.next = now + self.period;
            self.tokens = self.burst.min(self.tokens + 1);
        }
        let is_allowed = self.tokens > 0;
        self.tokens -= u32::from(is_allowed);
        is_allowed
    }
}
