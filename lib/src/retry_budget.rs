//! Retry budget: limits retries to a share of recent successes, so that retries do not amplify an
//! overload.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Cost of one retry, in thousandths of a token.
const RETRY_COST_MILLI: u64 = 1_000;

/// Refill rate that does not depend on successes, in thousandths of a token per second. It lets a
/// nearly idle host retry.
const REFILL_MILLI_PER_SECOND: u64 = 1_000;

/// Maximum balance, in retries.
const MAX_BALANCE_RETRIES: u64 = 50;

/// Token bucket of the retries that a host may make.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    milli_per_success: u64,
    balance_milli: u64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Creates a budget that grants `retry_percent` retries per hundred successes.
    ///
    /// The initial balance is a tenth of the maximum.
    pub fn new(retry_percent: u32) -> Self {
        Self {
            milli_per_success: u64::from(retry_percent) * RETRY_COST_MILLI / 100,
            balance_milli: MAX_BALANCE_RETRIES * RETRY_COST_MILLI / 10,
            refilled_at: Timestamp::default(),
        }
    }

    /// Sets the number of retries granted per hundred future successes.
    pub fn set_percent(&mut self, retry_percent: u32) {
        self.milli_per_success = u64::from(retry_percent) * RETRY_COST_MILLI / 100;
    }

    /// Records a request that was answered, which adds to the balance.
    pub fn on_success(&mut self) {
        self.add(self.milli_per_success);
    }

    /// Spends one retry; returns false if the balance is too small.
    pub fn try_spend(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.balance_milli < RETRY_COST_MILLI {
            return false;
        }
        self.balance_milli -= RETRY_COST_MILLI;
        true
    }

    /// Returns the number of whole retries left.
    pub fn balance(&self) -> u64 {
        self.balance_milli / RETRY_COST_MILLI
    }

    /// Adds the time-based refill for whole milliseconds. The remaining fraction of a millisecond
    /// counts toward the next refill.
    fn refill(&mut self, now: Timestamp) {
        let elapsed_ms = u64::try_from(now.since(self.refilled_at).as_millis()).unwrap_or(u64::MAX);
        self.refilled_at = self.refilled_at + Duration::from_millis(elapsed_ms);
        self.add(elapsed_ms.saturating_mul(REFILL_MILLI_PER_SECOND) / 1_000);
    }

    fn add(&mut self, milli: u64) {
        let limit = MAX_BALANCE_RETRIES * RETRY_COST_MILLI;
        self.balance_milli = self.balance_milli.saturating_add(milli).min(limit);
    }
}
