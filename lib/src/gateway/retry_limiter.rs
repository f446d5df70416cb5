//! This host's share of each service's retry budget.
//!
//! Load pattern: a service that sheds or loses answers while every host retries. The budget is a
//! sum over all hosts, so each spends a ratio of its own requests, which adds up by itself, and a
//! fixed small part of the common allowance that fits even when every host is replaced once.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::ServiceName;
use crate::timestamp::Timestamp;

/// Parts that the common allowance is divided into at least; hosts that start know of no other.
const LEAST_ALLOWANCE_PARTS: f64 = 16.0;

/// Parts of the allowance for each known host, since each may be restarted within a window.
const PARTS_PER_HOST: f64 = 2.0;

/// Part of the ratio that is spent; the rest covers requests that the window's edge cuts off.
const RATIO_MARGIN: f64 = 0.8;

/// The budget as operators set it.
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

/// What this host has sent and retried in the window, by service.
#[derive(Clone, Debug)]
pub struct RetryLimiter {
    bounds: RetryBounds,
    windows: BTreeMap<ServiceName, ServiceWindow>,
}

impl RetryLimiter {
    /// Builds an unspent share.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, windows: BTreeMap::new() }
    }

    /// Changes the budget; what was spent stays spent.
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Records a caller's request for a service.
    pub fn on_request(&mut self, now: Timestamp, service: &ServiceName) {
        self.window(now, service).requests.push_back(now);
    }

    /// Takes one retry out of the share; returns whether it was granted.
    ///
    /// `hosts` is the number of hosts that share the allowance, as far as this one knows.
    pub fn try_spend(&mut self, now: Timestamp, service: &ServiceName, hosts: u32) -> bool {
        let bounds = self.bounds;
        let parts = (f64::from(hosts) * PARTS_PER_HOST).max(LEAST_ALLOWANCE_PARTS);
        let window = self.window(now, service);
        let limit =
            bounds.ratio * RATIO_MARGIN * window.requests.len() as f64 + bounds.allowance / parts;
        if (window.retries.len() + 1) as f64 > limit {
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
