//! Limits retries to a share of recent successes, so that retries cannot multiply an overload.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Tokens that one retry costs, in thousandths.
const RETRY_COST_MILLI: u64 = 1_000;

/// Tokens that are granted per second without any success, in thousandths: lets a nearly idle host
/// retry at all.
const FLOOR_MILLI_PER_SECOND: u64 = 1_000;

/// Largest balance, in retries.
const MAX_BALANCE_RETRIES: u64 = 50;

/// Shares of the budget that a host may spend.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    milli_per_success: u64,
    balance_milli: u64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Builds a budget that grants `retry_percent` retries per hundred successes.
    ///
    /// It starts with a tenth of the largest balance.
    pub fn new(retry_percent: u32) -> Self {
        Self {
            milli_per_success: u64::from(retry_percent) * RETRY_COST_MILLI / 100,
            balance_milli: MAX_BALANCE_RETRIES * RETRY_COST_MILLI / 10,
            refilled_at: Timestamp::default(),
        }
    }

    /// Changes the share for future successes.
    pub fn set_percent(&mut self, retry_percent: u32) {
        self.milli_per_success = u64::from(retry_percent) * RETRY_COST_MILLI / 100;
    }

    /// Records a request that was answered.
    pub fn on_success(&mut self) {
        self.add(self.milli_per_success);
    }

    /// Takes one retry out of the budget; returns whether it was granted.
    pub fn try_spend(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.balance_milli < RETRY_COST_MILLI {
            return false;
        }
        self.balance_milli -= RETRY_COST_MILLI;
        true
    }

    /// Returns the whole retries left.
    pub fn balance(&self) -> u64 {
        self.balance_milli / RETRY_COST_MILLI
    }

    /// Grants the floor for whole milliseconds; the rest of one stays for the next time.
    fn refill(&mut self, now: Timestamp) {
        let elapsed_ms = u64::try_from(now.since(self.refilled_at).as_millis()).unwrap_or(u64::MAX);
        self.refilled_at = self.refilled_at + Duration::from_millis(elapsed_ms);
        self.add(elapsed_ms.saturating_mul(FLOOR_MILLI_PER_SECOND) / 1_000);
    }

    fn add(&mut self, milli: u64) {
        let limit = MAX_BALANCE_RETRIES * RETRY_COST_MILLI;
        self.balance_milli = self.balance_milli.saturating_add(milli).min(limit);
    }
}
