//! Limits this host's retries to its share of each service's retry budget.
//!
//! Load pattern: a service sheds load or loses responses while every host retries. The budget
//! applies to all hosts together. Each host spends a ratio of its own requests, which adds up
//! without coordination, and a small fixed fraction of the shared allowance. That fraction is small
//! enough for every host to be replaced once within a window.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::ServiceName;
use crate::timestamp::Timestamp;

/// Minimum number of parts that the shared allowance is divided into, since a host that starts does
/// not know of its peers.
const MIN_ALLOWANCE_PARTS: f64 = 16.0;

/// Parts of the allowance for each known host, since each may restart once within a window.
const PARTS_PER_HOST: f64 = 2.0;

/// Fraction of the ratio that is used; the rest covers requests at the edge of the window.
const USED_RATIO_FRACTION: f64 = 0.8;

/// Fraction of this host's share that hedged attempts may use; the rest is left for attempts that
/// failed.
const HEDGE_FRACTION: f64 = 0.5;

/// What a retry is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPurpose {
    /// It replaces an attempt that failed.
    Failure,
    /// It runs beside a silent attempt.
    Hedge,
}

/// Retry budget as configured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries beyond the ratio in one window, for all hosts together.
    pub allowance: f64,
}

#[derive(Clone, Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

/// Requests and retries of this host in the window, by service.
#[derive(Clone, Debug)]
pub struct RetryLimiter {
    bounds: RetryBounds,
    windows: BTreeMap<ServiceName, ServiceWindow>,
}

impl RetryLimiter {
    /// Builds a limiter with empty windows.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, windows: BTreeMap::new() }
    }

    /// Changes the budget; counted requests and retries are kept.
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Records a caller's request for a service.
    pub fn on_request(&mut self, now: Timestamp, service: &ServiceName) {
        self.window(now, service).requests.push_back(now);
    }

    /// Spends one retry of this host's share; returns whether it was granted.
    ///
    /// `hosts` is the number of hosts known to share the allowance.
    pub fn try_spend(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        hosts: u32,
        purpose: RetryPurpose,
    ) -> bool {
        let fraction = match purpose {
            RetryPurpose::Failure => 1.0,
            RetryPurpose::Hedge => HEDGE_FRACTION,
        };
        let bounds = self.bounds;
        let parts = (f64::from(hosts) * PARTS_PER_HOST).max(MIN_ALLOWANCE_PARTS);
        let window = self.window(now, service);
        let limit = bounds.ratio * USED_RATIO_FRACTION * window.requests.len() as f64
            + bounds.allowance / parts;
        if (window.retries.len() + 1) as f64 > limit * fraction {
            return false;
        }
        window.retries.push_back(now);
        true
    }

    fn window(&mut self, now: Timestamp, service: &ServiceName) -> &mut ServiceWindow {
        let span = self.bounds.window;
        let window = self.windows.entry(service.clone()).or_default();
        for times in [&mut window.requests, &mut window.retries] {
            while times.front().is_some_and(|at| now.since(*at) >= span) {
                times.pop_front();
            }
        }
        window
    }
}
