//! Token bucket that paces a quota over all hosts.
//!
//! Load pattern: a team sends many times its limit and would spend a window's quota in a second. A
//! bucket of depth `d` that refills by `r` a second admits at most `r * w + d` in any window of length
//! `w`, wherever the window begins. Depth and refill are chosen so that this is the window's bound. The
//! level needs no history: a bucket that is assumed to be empty keeps the bound whatever was spent
//! before.

use std::time::Duration;

use crate::timestamp::Timestamp;

/// Depth of a bucket as a time of its refill, at most: a surge after a quiet time is served at once
/// for about this long.
const MAX_DEPTH_TIME: Duration = Duration::from_secs(1);

/// Largest deficit, in depths of the bucket, that is paid back if no request is larger. More can only stem
/// from a limit that was lowered meanwhile, or from hosts that did not hear of each other.
const MAX_DEFICIT_DEPTHS: f64 = 2.0;

/// Refill and depth of the bucket of one quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaPace {
    /// Units per second.
    pub rate: f64,
    /// Units that may be spent at once.
    pub depth: f64,
}

impl QuotaPace {
    /// Returns the pace at which no window of length `window` holds more than `window_units`, and at
    /// which `rate` units per second can be spent always.
    pub fn new(window_units: f64, rate: f64, window: Duration) -> Self {
        let window_s = window.as_secs_f64();
        let depth_s = MAX_DEPTH_TIME.as_secs_f64();
        let depth = window_units * depth_s / (window_s + depth_s);
        let depth = depth.min((window_units - rate * window_s).max(0.0));
        Self { rate: (window_units - depth) / window_s, depth }
    }

    /// Returns the pace of a part of the hosts.
    pub fn scaled(self, fraction: f64) -> Self {
        Self { rate: self.rate * fraction, depth: self.depth * fraction }
    }
}

/// What is spent of a bucket.
#[derive(Clone, Copy, Debug, Default)]
pub struct BucketLevel {
    /// Units below the full bucket.
    spent: f64,
    /// Units of the largest request since the bucket was last full.
    largest: f64,
    refilled_at: Option<Timestamp>,
}

impl BucketLevel {
    /// Returns the time of the last refill.
    pub fn refilled_at(&self) -> Option<Timestamp> {
        self.refilled_at
    }

    /// Returns the units that may be spent; negative if too much was spent.
    pub fn available(&self, pace: QuotaPace) -> f64 {
        pace.depth - self.spent
    }

    /// Counts units that were spent, or given back if they are negative.
    pub fn charge(&mut self, units: f64) {
        self.spent += units;
    }

    /// Counts the size of a request, which is paid back in full if it is admitted.
    pub fn on_request(&mut self, units: f64) {
        self.largest = self.largest.max(units);
    }

    /// Starts to refill the bucket, with units spent already.
    pub fn start(&mut self, now: Timestamp, spent: f64, pace: QuotaPace) {
        self.spent = spent;
        self.refill(now, Duration::ZERO, pace);
    }

    /// Refills the bucket for the time elapsed.
    pub fn refill(&mut self, now: Timestamp, elapsed: Duration, pace: QuotaPace) {
        let max_deficit = (pace.depth * MAX_DEFICIT_DEPTHS).max(self.largest);
        let spent = self.spent - pace.rate * elapsed.as_secs_f64();
        self.spent = spent.clamp(0.0, pace.depth + max_deficit);
        if self.spent == 0.0 {
            self.largest = 0.0;
        }
        self.refilled_at = Some(now);
    }
}
