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

/// Part of the common allowance that one life of one host may spend: hosts of one window, restarted
/// ones included, are taken to be this many at most.
const ALLOWANCE_PARTS: f64 = 16.0;

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
pub struct RetryShare {
    bounds: RetryBounds,
    windows: BTreeMap<ServiceName, ServiceWindow>,
}

impl RetryShare {
    /// Builds an unspent share.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, windows: BTreeMap::new() }
    }

    /// Records a caller's request for a service.
    pub fn on_request(&mut self, now: Timestamp, service: &ServiceName) {
        self.window(now, service).requests.push_back(now);
    }

    /// Takes one retry out of the share; returns whether it was granted.
    pub fn try_spend(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        let bounds = self.bounds;
        let window = self.window(now, service);
        let limit = bounds.ratio * RATIO_MARGIN * window.requests.len() as f64
            + bounds.allowance / ALLOWANCE_PARTS;
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
