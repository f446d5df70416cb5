//! Token bucket that limits the rate of membership pushes.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Token bucket that holds up to `burst` tokens and gains one in each period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    burst: u32,
    period: Duration,
    tokens: u32,
    next: Timestamp,
}

impl TokenBucket {
    /// Returns a full bucket.
    pub(crate) fn new(burst: u32, period: Duration) -> Self {
        Self { burst, period, tokens: burst, next: Timestamp::default() }
    }

    /// Takes one token. Returns false if the bucket is empty.
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
